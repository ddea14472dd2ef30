//! The replay: instances, upstreams and callers in steps of one millisecond.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::admission_window::ServiceCapacity;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::plain_queue;
use dogwoodpier_core::gateway::plain_queue::Enqueue;
use dogwoodpier_core::gateway::plain_queue::PlainQueue;
use dogwoodpier_core::gateway::plain_queue::SendEnd;
use dogwoodpier_core::gateway::plain_queue::Waiter;
use dogwoodpier_core::gateway::retries::RetryBudget;
use dogwoodpier_core::gateway::retries::RetryOptions;
use dogwoodpier_core::gateway::upstreams::Upstream;

use super::load::Day;
use super::load::HOT;
use super::load::Totals;
use super::load::WORKSPACES;

const UPSTREAMS: usize = 4;
const SLOTS: usize = 6;
const QUEUE_LEN: usize = 24;
const WORK_MS: u64 = 30;
const OBJECTIVE_MS: u64 = 150;
const DEADLINE_MS: u64 = 1_000;
const REPORT_MS_PER_INSTANCE: u64 = 10;
const NETWORK_MS: u64 = 2;
const MAX_SENDS: u32 = 3;
const MAX_FULL: u32 = 2;
const PLAIN_RETRY_MS: u64 = 300;
const RETRY_DIVISOR: u64 = 3;
const RETRIES: RetryOptions = RetryOptions {
    ratio: 0.2,
    allowance: 186.0,
    window_ms: 10_000,
};

/// How requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// To the selected upstream at once, and to others when it is full.
    SelectOnly,
    /// Through the queue of the instance.
    Queue,
}

#[derive(Clone, Debug)]
struct Request {
    workspace: usize,
    priority: u8,
    first_ms: u64,
    instance: usize,
    received_ms: u64,
    sends: u32,
    rejected_by: Vec<usize>,
    returned: bool,
}

#[derive(Debug)]
enum Event {
    Arrive(Request),
    Reach(Send),
    Finish { upstream: usize, send: Send },
    Answer { send: Send, is_full: bool },
    Wake { instance: usize },
}

#[derive(Clone, Debug)]
struct Send {
    request: Request,
    upstream: usize,
    ticket: u64,
    sent_ms: u64,
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Send>,
}

#[derive(Default)]
struct Instance {
    health: UpstreamHealth,
    own: [u32; UPSTREAMS],
    reported: [u32; UPSTREAMS],
    queue: PlainQueue,
    waiting: BTreeMap<u64, Request>,
    retries: RetryBudget,
}

struct Replay {
    policy: Policy,
    now: u64,
    random: StdRng,
    upstreams: Vec<Arc<Upstream>>,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    // Sum of the reported loads of all instances.
    reported: [u32; UPSTREAMS],
    events: BTreeMap<(u64, u64), Event>,
    next_number: u64,
    totals: Totals,
}

/// Replays a day.
pub fn run(day: &Day, policy: Policy) -> Totals {
    let upstream = |number: usize| {
        Arc::new(Upstream {
            id: format!("u{number}").into(),
            service: "plain".into(),
            address: "127.0.0.1:80".parse().expect("an address"),
            data_centre: "a".into(),
            software_version: "v1".into(),
            slots: SLOTS as u32,
            accepts_work: true,
            stage: None,
            started_unix_ms: None,
        })
    };
    let mut replay = Replay {
        policy,
        now: 0,
        random: StdRng::seed_from_u64(day.seed),
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
        servers: (0..UPSTREAMS).map(|_| Server::default()).collect(),
        instances: (0..day.instances).map(|_| Instance::default()).collect(),
        reported: [0; UPSTREAMS],
        events: BTreeMap::new(),
        next_number: 0,
        totals: Totals {
            on_time: vec![0; WORKSPACES],
            sent: vec![0; WORKSPACES],
            ..Totals::default()
        },
    };
    let end_ms = day.arrivals.keys().last().copied().unwrap_or(0) + 2 * DEADLINE_MS;
    for now in 0..end_ms {
        replay.now = now;
        replay.report();
        while let Some(entry) = replay
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let event = entry.remove();
            replay.handle(event);
        }
        for (workspace, priority) in day.arrivals.get(&now).into_iter().flatten() {
            replay.totals.requests += 1;
            replay.totals.sent[*workspace] += 1;
            replay.arrive(Request {
                workspace: *workspace,
                priority: *priority,
                first_ms: now,
                instance: 0,
                received_ms: now,
                sends: 0,
                rejected_by: Vec::new(),
                returned: false,
            });
        }
    }
    replay.totals
}

impl Replay {
    // Every instance reports once in a while, each at its own time.
    fn report(&mut self) {
        let report_ms = self.instances.len() as u64 * REPORT_MS_PER_INSTANCE;
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if (self.now + number as u64 * 97).is_multiple_of(report_ms) {
                for upstream in 0..UPSTREAMS {
                    self.reported[upstream] -= instance.reported[upstream];
                    self.reported[upstream] += instance.own[upstream];
                }
                instance.reported = instance.own;
            }
        }
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_number += 1;
        let key = (self.now + delay_ms, self.next_number);
        self.events.insert(key, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Reach(send) => self.reach(send),
            Event::Finish { upstream, send } => {
                self.servers[upstream].running -= 1;
                self.start(upstream);
                let is_full = false;
                self.after(NETWORK_MS, Event::Answer { send, is_full });
            }
            Event::Answer { send, is_full } => self.answer(send, is_full),
            Event::Wake { instance } => self.dispatch(instance),
        }
    }

    fn reach(&mut self, send: Send) {
        let upstream = send.upstream;
        let server = &mut self.servers[upstream];
        if server.running >= SLOTS && server.waiting.len() >= QUEUE_LEN {
            self.totals.rejected_sends += 1;
            let is_full = true;
            self.after(NETWORK_MS, Event::Answer { send, is_full });
            return;
        }
        server.waiting.push_back(send);
        self.start(upstream);
    }

    fn start(&mut self, upstream: usize) {
        let server = &mut self.servers[upstream];
        if server.running < SLOTS
            && let Some(send) = server.waiting.pop_front()
        {
            server.running += 1;
            self.after(WORK_MS, Event::Finish { upstream, send });
        }
    }

    // A request reaches an instance, for the first time or after a rejection.
    fn arrive(&mut self, mut request: Request) {
        request.instance = self.random.random_range(0..self.instances.len());
        request.received_ms = self.now;
        let retries = &mut self.instances[request.instance].retries;
        retries.count_request(&"plain".into(), &RETRIES, TimeMs(self.now));
        match self.policy {
            Policy::SelectOnly => self.send(request, 0),
            Policy::Queue => self.enqueue(request),
        }
    }

    fn enqueue(&mut self, request: Request) {
        let now = TimeMs(self.now);
        self.next_number += 1;
        let ticket = self.next_number;
        let jitter = self.random.random();
        let max_retry_ms = self.remaining_ms(&request) / RETRY_DIVISOR;
        let instance = &mut self.instances[request.instance];
        let number = request.instance;
        let latency_ms = instance.queue.window().latency_ms() as u64;
        let start_ms = match request.returned {
            true => request.received_ms,
            false => request.first_ms,
        };
        let waiter = Waiter {
            ticket,
            priority: request.priority,
            workspace: format!("w{}", request.workspace).into(),
            weight: 1,
            was_rejected: request.returned || request.sends > 0,
            send_deadline_ms: TimeMs(start_ms + OBJECTIVE_MS.saturating_sub(latency_ms)),
        };
        let send_deadline_ms = waiter.send_deadline_ms;
        match instance.queue.enqueue(waiter, max_retry_ms, jitter, now) {
            Enqueue::Queued => {
                instance.waiting.insert(ticket, request);
                self.dispatch(number);
                let wait_ms = send_deadline_ms.remaining(now);
                if self.instances[number].waiting.contains_key(&ticket) {
                    self.after(wait_ms, Event::Wake { instance: number });
                }
            }
            Enqueue::Rejected { retry_after_ms, .. } => self.reject(request, retry_after_ms),
        }
    }

    fn dispatch(&mut self, number: usize) {
        let now = TimeMs(self.now);
        while let Some(ticket) = self.instances[number].queue.next(now) {
            let request = self.instances[number].waiting.remove(&ticket);
            self.send(request.expect("a request waits"), ticket);
        }
        let expired: Vec<u64> = self.instances[number].expired(now);
        for ticket in expired {
            let instance = &mut self.instances[number];
            instance.queue.remove(ticket);
            let request = instance.waiting.remove(&ticket).expect("a request waits");
            let jitter = self.random.random();
            let max_ms = self.remaining_ms(&request) / RETRY_DIVISOR;
            self.reject(request, plain_queue::retry_after_ms(max_ms, jitter));
        }
        if let Some(pace_ms) = self.instances[number].queue.next_ms(now) {
            self.after(pace_ms.max(1), Event::Wake { instance: number });
        }
    }

    fn remaining_ms(&self, request: &Request) -> u64 {
        (request.first_ms + DEADLINE_MS).saturating_sub(self.now)
    }

    fn reject(&mut self, mut request: Request, retry_after_ms: u64) {
        self.totals.rejections += 1;
        let retry_after_ms = retry_after_ms.min(self.remaining_ms(&request) / RETRY_DIVISOR);
        if self.remaining_ms(&request) < retry_after_ms + OBJECTIVE_MS {
            self.totals.lost += 1;
            self.totals.lost_of_others += u32::from(request.workspace != HOT);
            return;
        }
        request.returned = true;
        request.sends = 0;
        request.rejected_by.clear();
        self.after(retry_after_ms, Event::Arrive(request));
    }

    fn send(&mut self, mut request: Request, ticket: u64) {
        let instance = &mut self.instances[request.instance];
        let all = self.upstreams.iter().enumerate();
        let candidates: Vec<(usize, Candidate)> = all
            .filter(|(index, _)| !request.rejected_by.contains(index))
            .map(|(index, upstream)| {
                let peers = self.reported[index] - instance.reported[index];
                let load = UpstreamLoad {
                    requests: peers + instance.own[index],
                    ..UpstreamLoad::default()
                };
                let upstream = upstream.clone();
                (index, Candidate { upstream, load })
            })
            .collect();
        let (indices, candidates): (Vec<usize>, Vec<Candidate>) = candidates.into_iter().unzip();
        let selector = Selector {
            data_centre: "a",
            health: &instance.health,
            now: TimeMs(self.now),
        };
        let chosen = selector
            .select_plain(&candidates, self.random.random())
            .or_else(|| selector.select_any(&candidates));
        let upstream = indices[chosen.expect("an upstream is left")];
        instance.own[upstream] += 1;
        request.sends += 1;
        self.totals.sends += 1;
        let send = Send {
            request,
            upstream,
            ticket,
            sent_ms: self.now,
        };
        self.after(NETWORK_MS, Event::Reach(send));
    }

    fn answer(&mut self, send: Send, is_full: bool) {
        let now = TimeMs(self.now);
        let sent_ms = TimeMs(send.sent_ms);
        let number = send.request.instance;
        let instances = self.instances.len();
        let slots = (UPSTREAMS * SLOTS) as f64;
        let instance = &mut self.instances[number];
        let id = self.upstreams[send.upstream].id.clone();
        let outcome = match is_full {
            true => Outcome::Full,
            false => Outcome::Answered {
                elapsed_ms: now.since(sent_ms),
            },
        };
        instance.health.record_outcome(&id, outcome, now);
        instance.own[send.upstream] -= 1;
        // The end of any request ends the time for which its upstream is avoided, as in the gateway.
        instance.health.record_freed(&id);
        let in_flight: u32 = (0..UPSTREAMS)
            .map(|index| self.reported[index] - instance.reported[index] + instance.own[index])
            .sum();
        let capacity = || ServiceCapacity {
            slots_per_instance: slots / instances as f64,
            is_busy: f64::from(in_flight + 1) >= slots,
        };
        let end = SendEnd {
            ticket: send.ticket,
            upstream: &id,
            objective_ms: OBJECTIVE_MS,
            sent_ms,
        };
        match is_full {
            true => {
                instance.queue.record_full(&end, capacity, now);
                self.handle_full(send);
            }
            false => {
                instance.queue.record_answer(&end, capacity, now);
                self.totals.served += 1;
                let is_late = self.now - send.request.first_ms > OBJECTIVE_MS;
                self.totals.late += u32::from(is_late);
                self.totals.on_time[send.request.workspace] += u32::from(!is_late);
            }
        }
        if self.policy == Policy::Queue {
            self.dispatch(number);
        }
    }

    fn handle_full(&mut self, send: Send) {
        let mut request = send.request;
        request.rejected_by.push(send.upstream);
        let max_sends = match self.policy {
            Policy::SelectOnly => MAX_SENDS,
            Policy::Queue => MAX_FULL,
        };
        let may_retry = request.sends < max_sends && {
            let members = self.instances.len() as u32;
            let now = TimeMs(self.now);
            let retries = &mut self.instances[request.instance].retries;
            retries.take_retry(&"plain".into(), &RETRIES, members, 0.0, now)
        };
        match self.policy {
            Policy::SelectOnly if may_retry => self.send(request, 0),
            Policy::SelectOnly => self.reject(request, PLAIN_RETRY_MS),
            Policy::Queue if may_retry => self.enqueue(request),
            Policy::Queue => {
                let jitter = self.random.random();
                let max_ms = self.remaining_ms(&request) / RETRY_DIVISOR;
                self.reject(request, plain_queue::retry_after_ms(max_ms, jitter));
            }
        }
    }
}

impl Instance {
    // Returns the requests that can't be on time any more.
    fn expired(&self, now: TimeMs) -> Vec<u64> {
        self.queue.expired(now)
    }
}
