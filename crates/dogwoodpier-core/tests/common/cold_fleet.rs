//! Instances that send requests to one cold upstream, over a network that loses, delays and repeats
//! messages. The oracle is the upstream, which counts the requests that arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::cold_upstreams::EntryState;
use dogwoodpier_core::gateway::cold_upstreams::ReportedCold;
use dogwoodpier_core::gateway::owners;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::permits::Permits;
use dogwoodpier_core::gateway::permits::SendLimit;
use dogwoodpier_core::gateway::upstream_limits::UpstreamLimits;

use super::cold_scenario::Fault;
use super::cold_scenario::Scenario;
use super::cold_scenario::UPSTREAM;
use super::cold_scenario::cold_start;
use super::cold_scenario::upstream;

const STEP_MS: u64 = 5;
const END_MS: u64 = 12_000;
// Time after which the demand changes.
const DEMAND_MS: u64 = 600;
// Time between two joint sends.
const JOINT_MS: u64 = 2_500;
const REWRITE_MS: u64 = 1_200;
// Time within which a change of the entry is read: the delay of a watch and of a batch.
const MAX_READ_MS: u64 = 500;
const REGISTRY_MS: u64 = 1_000;
// As in the gateway.
const ANSWER_TIMEOUT_MS: u64 = 80;
const MAX_WAIT_MS: u64 = 200;
const PERMIT_VALID_MS: u64 = 300;
const NOTIFIED: usize = 3;

#[derive(Clone, Debug)]
enum Message {
    Report(Box<Report>),
    Ask {
        ticket: u64,
        rate_per_s: f64,
    },
    Answer {
        ticket: u64,
        decision: PermitDecision,
    },
    Notice {
        rate_per_s: f64,
    },
    Cold(ReportedCold),
}

struct Instance {
    // Time from which it runs.
    starts_ms: u64,
    incarnation: u64,
    peer_reports: PeerReports,
    limits: UpstreamLimits,
    permits: Permits,
    // Whether it knows the upstream and its peers.
    knows_upstream: bool,
    knows_peers: bool,
    next_read_ms: u64,
    asked: BTreeMap<u64, u64>,
}

impl Instance {
    fn new(number: usize, scenario: &Scenario, starts_ms: u64, incarnation: u64) -> Self {
        let mut limits = UpstreamLimits::default();
        let services = [("desk".into(), cold_start(scenario.rate_per_s))];
        limits.cold.configure(services.into(), &name(number));
        let options = PeerReportOptions {
            heartbeat_ms: scenario.heartbeat_ms,
            ..PeerReportOptions::default()
        };
        Self {
            starts_ms,
            incarnation,
            peer_reports: PeerReports::new(options),
            limits,
            permits: Permits::default(),
            knows_upstream: false,
            knows_peers: false,
            next_read_ms: starts_ms,
            asked: BTreeMap::new(),
        }
    }
}

/// The instances, the network, the store and the upstream.
pub struct ColdFleet {
    scenario: Scenario,
    random: StdRng,
    instances: Vec<Instance>,
    in_flight: Vec<(u64, usize, usize, Message)>,
    // Permits, with the times of their use.
    sends: Vec<u64>,
    arrivals_ms: Vec<u64>,
    // Periods in which the upstream is cold and every instance that reads the store knows it.
    cold: Vec<(u64, u64)>,
    // Content of the store.
    registered: Vec<usize>,
    entry: EntryState,
    cold_until_ms: u64,
    sequence: u64,
    // Probability that an instance has a request in a step.
    demand: f64,
}

impl ColdFleet {
    /// Creates a fleet before its start.
    pub fn new(scenario: Scenario) -> Self {
        let instances = (0..scenario.size)
            .map(|number| Instance::new(number, &scenario, 0, 1))
            .collect();
        Self {
            random: StdRng::seed_from_u64(scenario.seed),
            instances,
            in_flight: Vec::new(),
            sends: Vec::new(),
            arrivals_ms: Vec::new(),
            cold: Vec::new(),
            registered: (0..scenario.size).collect(),
            entry: EntryState {
                remaining_ms: Some(0),
                version: 0,
                is_new: false,
                age_ms: None,
            },
            cold_until_ms: 0,
            sequence: 0,
            demand: 0.3,
            scenario,
        }
    }

    /// Runs the scenario. The upstream starts after a second, and once more later on.
    pub fn run(&mut self) {
        let cold_again = self.scenario.faults.iter().filter_map(|fault| match fault {
            Fault::ColdAgain { at_ms } => Some(*at_ms),
            _ => None,
        });
        let cold_starts: Vec<u64> = cold_again.chain([1_000, 6_000]).collect();
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            let step_ms = now_ms..now_ms + STEP_MS;
            if cold_starts.iter().any(|at_ms| step_ms.contains(at_ms)) {
                self.start_cold(now_ms);
            }
            if now_ms.is_multiple_of(REWRITE_MS) {
                self.rewrite(now_ms);
            }
            self.apply_faults(now_ms);
            if self.scenario.has_pauses && now_ms.is_multiple_of(DEMAND_MS) {
                let busy = self.random.random_bool(0.5);
                self.demand = if busy { 0.3 } else { 0.0 };
            }
            self.deliver(now_ms);
            for number in 0..self.instances.len() {
                if self.instances[number].starts_ms <= now_ms {
                    self.step(number, now_ms);
                }
            }
            let (due, later) = std::mem::take(&mut self.sends)
                .into_iter()
                .partition(|at_ms| *at_ms <= now_ms);
            self.sends = later;
            let due: Vec<u64> = due;
            self.arrivals_ms.extend(due.iter().map(|_| now_ms));
        }
    }

    /// Returns the most requests that reached the upstream in a second while it was cold.
    pub fn most_in_a_second(&self) -> usize {
        let is_cold = |at_ms: &u64| {
            let mut periods = self.cold.iter();
            periods.any(|(from_ms, until_ms)| (*from_ms..*until_ms).contains(at_ms))
        };
        let counted: Vec<u64> = self.arrivals_ms.iter().copied().filter(is_cold).collect();
        let windows = counted.iter().map(|from_ms| {
            let window = *from_ms..from_ms + 1_000;
            counted.iter().filter(|at| window.contains(at)).count()
        });
        windows.max().unwrap_or(0)
    }

    fn start_cold(&mut self, now_ms: u64) {
        self.cold_until_ms = now_ms + 3_000;
        self.rewrite(now_ms);
        // During an outage nobody can know it yet.
        let known_ms = now_ms + MAX_READ_MS + STEP_MS;
        if !self.is_store_away(now_ms..known_ms) {
            self.cold.push((known_ms, self.cold_until_ms));
        }
    }

    fn rewrite(&mut self, now_ms: u64) {
        self.entry.version += 1;
        self.entry.remaining_ms = Some(self.cold_until_ms.saturating_sub(now_ms));
    }

    fn is_store_away(&self, times: std::ops::Range<u64>) -> bool {
        self.scenario.faults.iter().any(|fault| match fault {
            Fault::StoreOutage { from_ms, for_ms } => {
                times.start < from_ms + for_ms && *from_ms < times.end
            }
            _ => false,
        })
    }

    fn apply_faults(&mut self, now_ms: u64) {
        let is_now = |at_ms: u64| (now_ms..now_ms + STEP_MS).contains(&at_ms);
        for fault in self.scenario.faults.clone() {
            match fault {
                Fault::Restart {
                    at_ms,
                    instance,
                    for_ms,
                } if is_now(at_ms) => self.restart(instance, now_ms + for_ms),
                Fault::RestartAll { at_ms, for_ms } if is_now(at_ms) => {
                    for instance in 0..self.instances.len() {
                        let spread_ms = self.random.random_range(0..300);
                        self.restart(instance, now_ms + for_ms + spread_ms);
                    }
                }
                Fault::Leave { at_ms, instance } if is_now(at_ms) => {
                    self.restart(instance, u64::MAX);
                }
                Fault::Join { at_ms } if is_now(at_ms) => {
                    let number = self.instances.len();
                    let instance = Instance::new(number, &self.scenario, now_ms, 1);
                    self.instances.push(instance);
                    self.registered.push(number);
                }
                _ => {}
            }
        }
    }

    fn restart(&mut self, instance: usize, starts_ms: u64) {
        let number = instance % self.instances.len();
        let incarnation = self.instances[number].incarnation + 1;
        self.instances[number] = Instance::new(number, &self.scenario, starts_ms, incarnation);
    }

    fn is_cut(&self, from: usize, to: usize, now_ms: u64) -> bool {
        let half = self.instances.len() / 2;
        self.scenario.faults.iter().any(|fault| match fault {
            Fault::Partition {
                from_ms,
                for_ms,
                one_way,
            } => {
                (*from_ms..from_ms + for_ms).contains(&now_ms)
                    && (from < half) != (to < half)
                    && (!one_way || from < half)
            }
            _ => false,
        })
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        if self.is_cut(from, to, now_ms) || self.random.random_bool(self.scenario.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.scenario.duplication));
        for _ in 0..copies {
            let delay_ms = self.random.random_range(0..self.scenario.max_delay_ms);
            self.in_flight
                .push((now_ms + delay_ms, from, to, message.clone()));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.in_flight = later;
        for (_, from, to, message) in due {
            if self.instances[to].starts_ms <= now_ms {
                self.receive(from, to, message, now_ms);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let now = TimeMs(now_ms);
        match message {
            Message::Report(report) => self.instances[to].peer_reports.handle_report(*report, now),
            Message::Ask { ticket, rate_per_s } => {
                let decision = self.decide(to, rate_per_s, now_ms);
                self.send(to, from, Message::Answer { ticket, decision }, now_ms);
            }
            Message::Answer { ticket, decision } => {
                if let Some(asked_ms) = self.instances[to].asked.remove(&ticket) {
                    self.use_decision(to, asked_ms, decision, now_ms);
                }
            }
            Message::Notice { rate_per_s } => {
                let instance = &mut self.instances[to];
                let membership = instance.peer_reports.registered_membership(now);
                let limit = SendLimit::cold(rate_per_s);
                let permits = &mut instance.permits;
                permits.record_issued(&UPSTREAM.into(), limit, membership, now);
            }
            Message::Cold(reported) => {
                let cold = &mut self.instances[to].limits.cold;
                cold.record_report(&UPSTREAM.into(), reported, now);
            }
        }
    }

    fn decide(&mut self, issuer: usize, asked_per_s: f64, now_ms: u64) -> PermitDecision {
        let now = TimeMs(now_ms);
        let instance = &mut self.instances[issuer];
        if !instance.knows_peers {
            return PermitDecision::Denied { retry_after_ms: 1 };
        }
        let known = instance.limits.send_limit(&upstream(1), now);
        let asked = SendLimit::cold(asked_per_s);
        let limit = known.map_or(asked, |known| known.lower(asked));
        let membership = instance.peer_reports.registered_membership(now);
        let permits = &mut instance.permits;
        let decision = permits.request(&UPSTREAM.into(), limit, MAX_WAIT_MS, membership, now);
        if let PermitDecision::Granted { .. } = decision {
            let peers = instance.peer_reports.registered_peers();
            let own = name(issuer);
            let members = peers.chain(std::iter::once((&own, 1.0)));
            let notified = owners::rank_owners(UPSTREAM, members, NOTIFIED);
            let rate_per_s = limit.rate_per_s;
            for peer in notified.iter().filter(|peer| **peer != own) {
                self.send(issuer, number(peer), Message::Notice { rate_per_s }, now_ms);
            }
        }
        decision
    }

    fn use_decision(
        &mut self,
        number: usize,
        asked_ms: u64,
        decision: PermitDecision,
        now_ms: u64,
    ) {
        let PermitDecision::Granted { wait_ms } = decision else {
            return;
        };
        if now_ms > asked_ms + ANSWER_TIMEOUT_MS || self.instances[number].starts_ms > now_ms {
            return;
        }
        // A permit may be kept for a time, such as that of a prefill.
        let first_ms = now_ms + wait_ms;
        let last_ms = (asked_ms + wait_ms + PERMIT_VALID_MS).max(first_ms);
        let joint_ms = first_ms.next_multiple_of(JOINT_MS);
        let at_ms = if self.scenario.has_joint_sends {
            if joint_ms <= last_ms {
                joint_ms
            } else {
                first_ms
            }
        } else if self.random.random_bool(0.5) {
            first_ms
        } else {
            self.random.random_range(first_ms..=last_ms)
        };
        self.sends.push(at_ms);
    }

    fn step(&mut self, number: usize, now_ms: u64) {
        let now = TimeMs(now_ms);
        if now_ms >= self.instances[number].next_read_ms && !self.is_store_away(now_ms..now_ms + 1)
        {
            self.read(number, now_ms);
        }
        let heartbeat_ms = self.scenario.heartbeat_ms / STEP_MS * STEP_MS;
        let phase_ms = (number as u64 * 365) % heartbeat_ms / STEP_MS * STEP_MS;
        if now_ms % heartbeat_ms == phase_ms || now_ms == self.instances[number].starts_ms {
            self.report(number, now_ms);
        }
        let instance = &mut self.instances[number];
        instance
            .asked
            .retain(|_, asked_ms| now_ms <= *asked_ms + ANSWER_TIMEOUT_MS);
        if !instance.knows_upstream || !self.random.random_bool(self.demand) {
            return;
        }
        match self.instances[number].limits.send_limit(&upstream(1), now) {
            None => self.sends.push(now_ms),
            Some(limit) => self.ask(number, limit, now_ms),
        }
    }

    fn ask(&mut self, number: usize, limit: SendLimit, now_ms: u64) {
        let now = TimeMs(now_ms);
        let own = name(number);
        let peers = self.instances[number]
            .peer_reports
            .sole_owner_candidates(now);
        let members = peers.chain(std::iter::once((&own, 1.0)));
        let owner = owners::rank_owners(UPSTREAM, members, 1).remove(0);
        if owner == own {
            let decision = self.decide(number, limit.rate_per_s, now_ms);
            self.use_decision(number, now_ms, decision, now_ms);
            return;
        }
        let ticket = self.random.random();
        self.instances[number].asked.insert(ticket, now_ms);
        let rate_per_s = limit.rate_per_s;
        let message = Message::Ask { ticket, rate_per_s };
        self.send(number, self::number(&owner), message, now_ms);
    }

    // Reads the store: the entry often, the registrations now and then.
    fn read(&mut self, number: usize, now_ms: u64) {
        let now = TimeMs(now_ms);
        let registered = self.registered.clone();
        let reads_registry = !self.instances[number].knows_peers
            || self
                .random
                .random_bool(MAX_READ_MS as f64 / REGISTRY_MS as f64 / 2.0);
        // The upstreams may be known before the peers are.
        let reads_registry = reads_registry && self.random.random_bool(0.7);
        let entry = self.entry;
        let pause_ms = self.random.random_range(MAX_READ_MS / 2..MAX_READ_MS);
        let instance = &mut self.instances[number];
        instance.next_read_ms = now_ms + pause_ms;
        if reads_registry {
            for peer in registered.into_iter().filter(|peer| *peer != number) {
                instance.peer_reports.register(&name(peer), 1.0, now);
            }
            instance.knows_peers = true;
        }
        let is_news = instance.limits.cold.record_entry(&upstream(1), entry, now);
        instance.knows_upstream = true;
        if !is_news {
            return;
        }
        let Some(reported) = instance.limits.cold.report(UPSTREAM, now) else {
            return;
        };
        for peer in (0..self.instances.len()).filter(|peer| *peer != number) {
            self.send(number, peer, Message::Cold(reported), now_ms);
        }
    }

    fn report(&mut self, number: usize, now_ms: u64) {
        // Only peers whose addresses are known are reported to.
        if !self.instances[number].knows_peers {
            return;
        }
        self.sequence += 1;
        let report = Box::new(Report {
            instance: name(number),
            incarnation: self.instances[number].incarnation,
            sequence: self.sequence,
            capacity: 1.0,
            leaving: false,
            uses: Default::default(),
            uses_valid_ms: 1_000,
            tickets: Default::default(),
            down_for_ms: Default::default(),
            leaving_upstreams: Default::default(),
            seen_revisions: Default::default(),
            suspects: Vec::new(),
            evacuations: Default::default(),
        });
        for peer in (0..self.instances.len()).filter(|peer| *peer != number) {
            self.send(number, peer, Message::Report(report.clone()), now_ms);
        }
    }
}

fn name(instance: usize) -> Arc<str> {
    format!("n{instance}").into()
}

fn number(name: &str) -> usize {
    let digits = name.strip_prefix('n');
    digits
        .and_then(|digits| digits.parse().ok())
        .expect("the name of an instance is a letter and its number")
}
