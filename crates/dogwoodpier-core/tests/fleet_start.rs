//! Replays the start of all instances of a fleet with the quota of one workspace. Guards against
//! requests that are rejected because their owner has not heard from the other instances yet.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::greetings::Greetings;
use dogwoodpier_core::gateway::owners;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::quota::Membership;
use dogwoodpier_core::gateway::quota::Overdraft;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::routes::QuotaUnit;
use dogwoodpier_core::gateway::routes::Workspace;

const RATE_PER_S: u64 = 50_000;
const COST: u64 = 500;
// The instances start, and read the registrations of before, within this time.
const START_SPREAD_MS: u64 = 200;
const DURATION_MS: u64 = 3_000;
const MAX_DELAY_MS: u64 = 25;
// Instances send so many reports every 5 ms outside of heartbeats.
const BATCH_SIZE: usize = 32;
const BATCH_PAUSE_MS: u64 = 5;

fn name(instance: usize) -> Arc<str> {
    format!("n{instance}").into()
}

fn workspace() -> Workspace {
    Workspace {
        name: "firm".into(),
        priority: None,
        unit: QuotaUnit::Tokens { default_tokens: 1 },
        rate_per_s: RATE_PER_S,
        burst: RATE_PER_S,
    }
}

struct Instance {
    started_ms: u64,
    peer_reports: PeerReports,
    greetings: Greetings<usize>,
    quotas: Quotas,
    sequence: u64,
    reported_ms: u64,
}

struct Fleet {
    instances: Vec<Instance>,
    // Time of arrival, receiver and sender of each report.
    in_flight: BinaryHeap<Reverse<(u64, usize, usize)>>,
    random: StdRng,
    loss: f64,
    are_greeted: bool,
    greetings: u64,
}

#[derive(Debug)]
struct Outcome {
    admitted: u64,
    rejected: u64,
    // Time after the last start until the owner had heard from all.
    heard_ms: Option<u64>,
    greetings: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64, loss: f64, are_greeted: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let instances = (0..size).map(|_| Instance {
            started_ms: random.random_range(0..START_SPREAD_MS),
            peer_reports: PeerReports::new(PeerReportOptions::default()),
            greetings: Greetings::default(),
            quotas: Quotas::default(),
            sequence: 0,
            reported_ms: 0,
        });
        Self {
            instances: instances.collect(),
            in_flight: BinaryHeap::new(),
            random,
            loss,
            are_greeted,
            greetings: 0,
        }
    }

    fn send(&mut self, from: usize, to: usize, now_ms: u64) {
        if !self.random.random_bool(self.loss) {
            let delay_ms = self.random.random_range(1..MAX_DELAY_MS);
            self.in_flight.push(Reverse((now_ms + delay_ms, to, from)));
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = TimeMs(now_ms);
        let size = self.instances.len();
        for number in 0..size {
            let instance = &mut self.instances[number];
            if instance.started_ms == now_ms {
                instance.reported_ms = now_ms;
                for peer in (0..size).filter(|peer| *peer != number) {
                    instance.peer_reports.register(&name(peer), 1.0, now);
                    // The registrations are those of the incarnations before.
                    instance.greetings.record_peer(&name(peer), 1, peer);
                }
            }
            let heartbeat_ms = instance.peer_reports.heartbeat_ms();
            let is_running = instance.started_ms <= now_ms;
            if is_running && now_ms >= instance.reported_ms + heartbeat_ms {
                instance.reported_ms = now_ms;
                for peer in (0..size).filter(|peer| *peer != number) {
                    self.send(number, peer, now_ms);
                }
            }
            if self.are_greeted && now_ms.is_multiple_of(BATCH_PAUSE_MS) {
                let greeted = self.instances[number].greetings.take(BATCH_SIZE);
                self.greetings += greeted.len() as u64;
                for peer in greeted {
                    self.send(number, peer, now_ms);
                }
            }
        }
        while let Some(Reverse((at_ms, to, from))) = self.in_flight.peek().copied()
            && at_ms <= now_ms
        {
            self.in_flight.pop();
            self.receive(from, to, now);
        }
    }

    fn receive(&mut self, from: usize, to: usize, now: TimeMs) {
        self.instances[from].sequence += 1;
        let sequence = self.instances[from].sequence;
        let receiver = &mut self.instances[to];
        if receiver.started_ms > now.0 {
            return;
        }
        receiver.greetings.record_peer(&name(from), 2, from);
        let report = Report {
            instance: name(from),
            incarnation: 2,
            sequence,
            capacity: 1.0,
            leaving: false,
            uses: BTreeMap::new(),
            uses_valid_ms: 1_000,
            tickets: BTreeMap::new(),
            down_for_ms: BTreeMap::new(),
            leaving_upstreams: BTreeMap::new(),
            seen_revisions: BTreeMap::new(),
            suspects: Vec::new(),
            evacuations: Default::default(),
        };
        receiver.peer_reports.handle_report(report, now);
    }

    // Sends requests at nine tenths of the rate once all instances serve.
    fn run(mut self) -> Outcome {
        let size = self.instances.len();
        let names: Vec<Arc<str>> = (0..size).map(name).collect();
        let members = names.iter().map(|name| (name, 1.0));
        let owner = owners::rank_owners("firm", members, 1).remove(0);
        let owner: usize = owner[1..].parse().expect("a number");
        let mut outcome = Outcome {
            admitted: 0,
            rejected: 0,
            heard_ms: None,
            greetings: 0,
        };
        let interval_ms = COST * 1_000 * 10 / (RATE_PER_S * 9);
        for now_ms in 0..DURATION_MS {
            self.step(now_ms);
            if now_ms < START_SPREAD_MS {
                continue;
            }
            let owner = &mut self.instances[owner];
            let membership = owner.peer_reports.membership(TimeMs(now_ms));
            let Membership { members, reachable } = membership;
            assert_eq!(members as usize, size);
            if reachable == members {
                outcome.heard_ms.get_or_insert(now_ms - START_SPREAD_MS);
            }
            if now_ms.is_multiple_of(interval_ms) {
                let now = TimeMs(now_ms);
                let none = Overdraft::NONE;
                match owner
                    .quotas
                    .admit(&workspace(), COST, membership, none, now)
                {
                    Decision::Admitted => outcome.admitted += 1,
                    Decision::Rejected { .. } => outcome.rejected += 1,
                }
            }
        }
        outcome.greetings = self.greetings / size as u64;
        outcome
    }
}

#[test]
fn requests_within_the_quota_are_admitted_after_a_start() {
    for size in [73, 82, 295] {
        let before = Fleet::new(size, 1, 0.0, false).run();
        let after = Fleet::new(size, 1, 0.0, true).run();
        println!("{size} instances: heartbeats {before:?}, greetings {after:?}");
        // Greetings and answers take a round trip and the time of their batches.
        let batches_ms = 2 * (size / BATCH_SIZE + 1) as u64 * BATCH_PAUSE_MS;
        let limit_ms = batches_ms + 2 * MAX_DELAY_MS;
        assert!(after.heard_ms.is_some_and(|heard_ms| heard_ms <= limit_ms));
        assert!(after.rejected <= 10, "{after:?}");
        assert!(before.rejected > 2 * after.rejected, "{before:?}");
        // Each pair exchanges a greeting, an answer, and an answer to the new incarnation.
        assert!(after.greetings <= 2 * size as u64, "{after:?}");
    }
}

// A lost greeting must cost no more than the wait for a heartbeat.
#[test]
fn lost_greetings_are_made_up_for() {
    for seed in 0..10 {
        let outcome = Fleet::new(73, seed, 0.02, true).run();
        assert!(outcome.heard_ms.is_some(), "seed {seed}: {outcome:?}");
        // Nearly the whole rate is used meanwhile.
        assert!(outcome.rejected <= 15, "seed {seed}: {outcome:?}");
    }
}

// Processes of two incarnations may run under one name, as when an old one was paused. Two such pairs
// must not answer each other without end.
#[test]
fn alternating_incarnations_are_answered_once() {
    let mut greetings = Greetings::default();
    let peer = name(1);
    let mut answers = 0;
    for round in 0..100 {
        answers += u32::from(greetings.record_peer(&peer, 1 + round % 2, 7));
    }
    assert_eq!(answers, 2);
    assert_eq!(greetings.take(BATCH_SIZE), [7]);
    assert!(greetings.take(BATCH_SIZE).is_empty());
}
