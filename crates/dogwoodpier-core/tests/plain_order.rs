//! Order and bounds of the queue for plain services that are full.
//!
//! Guards against requests that overtake more urgent ones or workspaces that used less, against
//! workspaces that starve, and against a limit that never lets a request through.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::admission_window::Cause;
use dogwoodpier_core::gateway::admission_window::ServiceCapacity;
use dogwoodpier_core::gateway::plain_queue;
use dogwoodpier_core::gateway::plain_queue::Enqueue;
use dogwoodpier_core::gateway::plain_queue::PlainQueue;
use dogwoodpier_core::gateway::plain_queue::SendEnd;
use dogwoodpier_core::gateway::plain_queue::Waiter;

const OBJECTIVE_MS: u64 = 150;
// Time in which remembered use decays.
const DECAY_MS: f64 = 2_000.0;
const FAR_MS: TimeMs = TimeMs(1 << 40);

fn waiter(ticket: u64, workspace: &str, priority: u8) -> Waiter {
    Waiter {
        ticket,
        priority,
        workspace: workspace.into(),
        weight: 1,
        was_rejected: false,
        send_deadline_ms: FAR_MS,
    }
}

fn capacity(slots_per_instance: f64) -> ServiceCapacity {
    ServiceCapacity {
        slots_per_instance,
        is_busy: true,
    }
}

fn end(ticket: u64, upstream: &Arc<str>, sent_ms: u64) -> SendEnd<'_> {
    SendEnd {
        ticket,
        upstream,
        objective_ms: OBJECTIVE_MS,
        sent_ms: TimeMs(sent_ms),
    }
}

fn push(queue: &mut PlainQueue, waiter: Waiter, now: u64) {
    let result = queue.enqueue(waiter, 300, 0.5, TimeMs(now));
    assert_eq!(result, Enqueue::Queued);
}

// Returns a queue with a limit, after a rejection at time 0.
fn limited(slots_per_instance: f64) -> PlainQueue {
    let mut queue = PlainQueue::default();
    push(&mut queue, waiter(u64::MAX, "first", 0), 0);
    assert_eq!(queue.next(TimeMs(0)), Some(u64::MAX));
    let started = queue.record_full(
        &end(u64::MAX, &"u".into(), 0),
        || capacity(slots_per_instance),
        TimeMs(0),
    );
    assert_eq!(started, Some(Cause::Rejected));
    queue
}

#[derive(Clone, Debug)]
enum Step {
    Enqueue {
        workspace: usize,
        priority: u8,
        deadline_ms: u64,
        was_rejected: bool,
    },
    Answer {
        elapsed_ms: u64,
    },
    Reject {
        upstream: usize,
    },
    Leave {
        index: usize,
    },
    Wait {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0..4_usize, 0..3_u8, 10_000..20_000_u64, any::<bool>()).prop_map(
            |(workspace, priority, deadline_ms, was_rejected)| Step::Enqueue {
                workspace,
                priority,
                deadline_ms,
                was_rejected,
            }
        ),
        3 => (0..200_u64).prop_map(|elapsed_ms| Step::Answer { elapsed_ms }),
        2 => (0..3_usize).prop_map(|upstream| Step::Reject { upstream }),
        1 => (0..20_usize).prop_map(|index| Step::Leave { index }),
        3 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
        // Far longer than use is remembered.
        1 => (100_000..2_000_000_u64).prop_map(|ms| Step::Wait { ms }),
    ];
    proptest::collection::vec(step, 1..150)
}

// The oracle: the requests that wait, and when each workspace has sent one.
#[derive(Default)]
struct Oracle {
    waiting: BTreeMap<u64, Waiter>,
    sends: BTreeMap<Arc<str>, Vec<u64>>,
    in_flight: Vec<u64>,
}

impl Oracle {
    fn used(&self, workspace: &Arc<str>, now: u64) -> f64 {
        let sends = self.sends.get(workspace).into_iter().flatten();
        sends
            .map(|sent_ms| (-((now - sent_ms) as f64) / DECAY_MS).exp())
            .sum()
    }

    fn check_sent(&mut self, ticket: u64, now: u64) {
        let sent = self.waiting.remove(&ticket).expect("a request waits");
        let used = self.used(&sent.workspace, now);
        for other in self.waiting.values() {
            assert!(sent.priority <= other.priority, "{sent:?} before {other:?}");
            if sent.priority < other.priority {
                continue;
            }
            let other_used = self.used(&other.workspace, now);
            assert!(used <= other_used + 1e-6, "{sent:?} before {other:?}");
            if sent.workspace == other.workspace {
                let rank = |waiter: &Waiter| {
                    (!waiter.was_rejected, waiter.send_deadline_ms, waiter.ticket)
                };
                assert!(rank(&sent) < rank(other), "{sent:?} before {other:?}");
            }
        }
        self.sends.entry(sent.workspace).or_default().push(now);
        self.in_flight.push(ticket);
    }
}

proptest! {
    // Whatever happens, the request that is sent is the first in the order, and a limit lets every
    // request through in the end.
    #[test]
    fn first_request_is_sent(steps in steps(), slots_per_instance in 0.0..8.0_f64) {
        let mut queue = PlainQueue::default();
        let mut oracle = Oracle::default();
        let mut now = 1_000;
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Enqueue { workspace, priority, deadline_ms, was_rejected } => {
                    let added = Waiter {
                        was_rejected,
                        send_deadline_ms: TimeMs(now + deadline_ms),
                        ..waiter(number as u64, &format!("w{workspace}"), priority)
                    };
                    if queue.enqueue(added.clone(), 300, 0.5, TimeMs(now)) == Enqueue::Queued {
                        oracle.waiting.insert(number as u64, added);
                    }
                }
                Step::Answer { elapsed_ms } => if let Some(ticket) = oracle.in_flight.pop() {
                    let upstream = "u0".into();
                    let end = end(ticket, &upstream, now.saturating_sub(elapsed_ms));
                    queue.record_answer(&end, || capacity(slots_per_instance), TimeMs(now));
                }
                Step::Reject { upstream } => if let Some(ticket) = oracle.in_flight.pop() {
                    let upstream = format!("u{upstream}").into();
                    let end = end(ticket, &upstream, now);
                    queue.record_full(&end, || capacity(slots_per_instance), TimeMs(now));
                }
                Step::Leave { index } => {
                    let ticket = oracle.waiting.keys().nth(index).copied();
                    if let Some(ticket) = ticket {
                        oracle.waiting.remove(&ticket);
                        assert!(queue.remove(ticket));
                    }
                }
                Step::Wait { ms } => now += ms,
            }
            while let Some(ticket) = queue.next(TimeMs(now)) {
                oracle.check_sent(ticket, now);
            }
            prop_assert_eq!(queue.len(), oracle.waiting.len());
            prop_assert_eq!(queue.in_flight(), oracle.in_flight.len());
        }
        for ticket in oracle.in_flight.drain(..) {
            assert!(queue.remove(ticket));
        }
        let mut sent = 0;
        for _ in 0..oracle.waiting.len() {
            // The limit ends after two seconds without a sign of overload.
            now += 2_000;
            while let Some(ticket) = queue.next(TimeMs(now)) {
                queue.remove(ticket);
                sent += 1;
            }
        }
        prop_assert_eq!(sent, oracle.waiting.len());
    }

    // While a workspace always has a request waiting, each of the others gets no more than one send
    // beyond its weight between two of its sends.
    #[test]
    fn no_workspace_starves(
        weights in proptest::collection::vec(1..5_u32, 2..6),
        interval_ms in 1..50_u64,
    ) {
        let mut queue = PlainQueue::default();
        let names: Vec<String> = (0..weights.len()).map(|number| format!("w{number}")).collect();
        let mut ticket = 0;
        let mut owners = BTreeMap::new();
        let mut since: Vec<BTreeMap<usize, u32>> = vec![BTreeMap::new(); weights.len()];
        let add = |queue: &mut PlainQueue, ticket: &mut u64, owner: usize, now| {
            let weight = weights[owner];
            *ticket += 1;
            push(queue, Waiter { weight, ..waiter(*ticket, &names[owner], 1) }, now);
            (*ticket, owner)
        };
        owners.extend((0..weights.len()).map(|owner| add(&mut queue, &mut ticket, owner, 0)));
        for round in 1..200 {
            let now = round * interval_ms;
            let sent = queue.next(TimeMs(now)).expect("there is no limit");
            queue.remove(sent);
            let owner = owners[&sent];
            for (other, counts) in since.iter_mut().enumerate().filter(|(other, _)| *other != owner) {
                let count = counts.entry(owner).or_default();
                *count += 1;
                let bound = weights[owner].div_ceil(weights[other]) + 1;
                prop_assert!(*count <= bound, "{} sends of {owner} before {other}", *count);
            }
            since[owner].clear();
            let (ticket, owner) = add(&mut queue, &mut ticket, owner, now);
            owners.insert(ticket, owner);
        }
    }

    // Callers that are rejected at the same time don't return at the same time, or later than they
    // are willing to.
    #[test]
    fn retry_times_are_spread(max_ms in 0..10_000_u64, jitter in 0.0..1.0_f64) {
        let after_ms = plain_queue::retry_after_ms(max_ms, jitter);
        prop_assert!(after_ms <= max_ms);
        prop_assert!(plain_queue::retry_after_ms(333, 0.9) - plain_queue::retry_after_ms(333, 0.1) > 100);
    }
}

// A workspace that used little may send ahead of the window, but not ahead of a more urgent request.
#[test]
fn urgent_request_is_not_overtaken_within_share() {
    let mut queue = limited(0.3);
    let mut now = 0;
    for ticket in 0..4 {
        now += 1_000;
        push(&mut queue, waiter(ticket, "hot", 1), now);
        assert_eq!(queue.next(TimeMs(now)), Some(ticket));
        queue.remove(ticket);
        // Keeps the limit in force.
        queue.record_full(
            &end(9, &format!("u{ticket}").into(), now),
            || capacity(0.3),
            TimeMs(now),
        );
    }
    push(&mut queue, waiter(10, "hot", 1), now);
    push(&mut queue, waiter(11, "other", 2), now);
    assert_eq!(queue.next(TimeMs(now)), None);
    // Of equal urgency, it goes ahead.
    push(&mut queue, waiter(12, "other", 1), now);
    assert_eq!(queue.next(TimeMs(now)), Some(12));
}

// A rejection is only for requests that would wait for too long: a late response is worth more.
#[test]
fn late_request_is_sent_if_there_is_capacity() {
    let mut queue = limited(1.0);
    let late = Waiter {
        send_deadline_ms: TimeMs(0),
        ..waiter(1, "late", 1)
    };
    push(&mut queue, late.clone(), 500);
    assert_eq!(queue.next(TimeMs(500)), Some(1));
    for ticket in 2..9 {
        push(&mut queue, waiter(ticket, "other", 1), 500);
    }
    while queue.next(TimeMs(500)).is_some() {}
    let late = Waiter {
        ticket: 10,
        workspace: "other".into(),
        ..late
    };
    let result = queue.enqueue(late, 300, 0.5, TimeMs(500));
    assert!(
        matches!(
            result,
            Enqueue::Rejected {
                retry_after_ms: 1..=300,
                ..
            }
        ),
        "{result:?}"
    );
}

// An upstream that rejects everything although it is idle must not stop requests to the others.
#[test]
fn faulty_upstream_does_not_close_the_window() {
    let mut queue = limited(4.0);
    let initial = queue.window().size().expect("a limit");
    let (faulty, sound): (Arc<str>, Arc<str>) = ("u".into(), "sound".into());
    for number in 0..50 {
        let now = 10 + number * 30;
        push(&mut queue, waiter(number, "w", 1), now);
        assert_eq!(queue.next(TimeMs(now)), Some(number));
        let end = match number % 2 {
            0 => end(number, &faulty, now),
            _ => end(number, &sound, now - 5),
        };
        match number % 2 {
            0 => queue.record_full(&end, || capacity(4.0), TimeMs(now)),
            _ => queue.record_answer(&end, || capacity(4.0), TimeMs(now)),
        };
        let size = queue.window().size().expect("a limit");
        assert!(size >= initial, "{size}");
    }
    assert!(queue.expire(TimeMs(2_000)));
    push(&mut queue, waiter(100, "w", 1), 2_000);
    assert_eq!(queue.next(TimeMs(2_000)), Some(100));
    // It still rejects, which is no news.
    let again = queue.record_full(&end(100, &faulty, 2_000), || capacity(4.0), TimeMs(2_001));
    assert_eq!(again, None);
    assert_eq!(queue.window().size(), None);
}

// Slow responses alone are no overload while there are free slots.
#[test]
fn slow_response_of_idle_service_starts_no_limit() {
    let mut queue = PlainQueue::default();
    let upstream = "u".into();
    let idle = || ServiceCapacity {
        is_busy: false,
        ..capacity(1.0)
    };
    queue.record_answer(&end(1, &upstream, 0), idle, TimeMs(30));
    assert_eq!(
        queue.record_answer(&end(2, &upstream, 0), idle, TimeMs(140)),
        None
    );
    let started = queue.record_answer(&end(3, &upstream, 0), || capacity(1.0), TimeMs(140));
    assert_eq!(started, Some(Cause::Waited));
}
