//! Guards against a part of prompts that crashes one upstream after another, although no two
//! requests with it are alike, and against the refusal of sound requests that share their other
//! parts with it or that crashes have cut.

mod common;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::quarantine::PartAnswer;
use dogwoodpier_core::quarantine::PartCrash;
use dogwoodpier_core::quarantine::PartSettings;
use dogwoodpier_core::quarantine::PartTable;

const MIN_CRASHES: usize = 3;
const CRASH_MS: u64 = 600_000;
const ANSWER_MS: u64 = 10_000;
const BROADCAST_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 300;
const MAX_CRASHES: usize = 8;
const INSTANCES: usize = 5;
// The crashing part, a part that most requests share, and further shared parts.
const CRASHING: u64 = 1;
const FIRST: u64 = 2;
const OTHER: u64 = 3;
// Crashes that users tolerate before a part must no longer reach upstreams.
const TOLERATED_CRASHES: usize = 5;

fn settings() -> PartSettings {
    PartSettings {
        min_crashes: MIN_CRASHES,
        min_requests: 2,
        crash_ms: CRASH_MS,
        common_cause_ms: 100,
        answer_ms: ANSWER_MS,
        broadcast_ms: BROADCAST_MS,
        max_crashes: MAX_CRASHES,
        max_suspects: 16,
        max_parts: 4,
        max_answered: 100,
    }
}

// One instance that observes everything itself.
struct Observer {
    table: PartTable,
    now: TimeMs,
    crashes: u64,
    requests: u64,
}

impl Observer {
    fn new() -> Self {
        Self {
            table: PartTable::new(settings()),
            now: TimeMs(1_000_000),
            crashes: 0,
            requests: 0,
        }
    }

    fn wait(&mut self, duration_ms: u64) {
        self.now = self.now.after(duration_ms);
        self.table.expire(self.now);
    }

    // An upstream crashes while it begins to answer requests with these parts.
    fn crash(&mut self, suspects: &[&[u64]]) {
        self.crashes += 1;
        for parts in suspects {
            self.requests += 1;
            let fingerprint = self.requests;
            self.crash_with(fingerprint, parts);
        }
        self.wait(1_000);
    }

    fn crash_with(&mut self, fingerprint: u64, parts: &[u64]) {
        let crash = PartCrash {
            crash_id: self.crashes,
            fingerprint,
            parts: parts.to_vec(),
            ago_ms: 0,
        };
        self.table.record_crash(crash, self.now);
    }

    fn answer(&mut self, parts: &[u64]) {
        self.table.record_answer(parts, self.now);
    }

    fn rejects(&self, parts: &[u64]) -> bool {
        self.table.find_quarantined(parts, self.now).is_some()
    }
}

#[test]
fn crashing_part_is_found() {
    let mut observer = Observer::new();
    for other in 10..10 + MIN_CRASHES as u64 {
        assert!(!observer.rejects(&[other, CRASHING]));
        observer.answer(&[FIRST]);
        observer.crash(&[&[other, CRASHING], &[FIRST]]);
    }
    assert!(observer.rejects(&[99, CRASHING, 98]));
    assert!(!observer.rejects(&[FIRST, 99]));
    assert!(!observer.rejects(&[10]));
}

// Both parts were in each suspect, and neither was ever answered.
#[test]
fn parts_that_occur_together_are_rejected_together() {
    let mut observer = Observer::new();
    for _ in 0..MIN_CRASHES {
        observer.crash(&[&[FIRST, CRASHING]]);
    }
    assert!(observer.rejects(&[FIRST, CRASHING]));
    assert!(!observer.rejects(&[FIRST]));
    assert!(!observer.rejects(&[OTHER, CRASHING]));
    // An answer or one more crash tells which part it is.
    let mut answered = observer.table.clone();
    answered.record_answer(&[FIRST], observer.now);
    assert!(
        answered
            .find_quarantined(&[OTHER, CRASHING], observer.now)
            .is_some()
    );
    observer.crash(&[&[OTHER, CRASHING]]);
    assert!(observer.rejects(&[CRASHING]));
    assert!(!observer.rejects(&[FIRST]));
    assert!(!observer.rejects(&[OTHER]));
}

// A part of most requests is among the suspects of all crashes, also in sound requests, and no
// request with it was answered yet.
#[test]
fn most_specific_part_is_rejected() {
    let mut observer = Observer::new();
    for own in 10..10 + MIN_CRASHES as u64 {
        observer.crash(&[&[FIRST, CRASHING], &[FIRST, own]]);
    }
    assert!(observer.rejects(&[FIRST, CRASHING]));
    assert!(!observer.rejects(&[FIRST]));
    assert!(!observer.rejects(&[FIRST, OTHER]));
}

#[test]
fn two_crashing_parts_are_found() {
    let mut observer = Observer::new();
    for _ in 0..MIN_CRASHES {
        observer.answer(&[FIRST]);
        observer.crash(&[&[FIRST, CRASHING]]);
        observer.crash(&[&[FIRST, OTHER]]);
    }
    assert!(observer.rejects(&[FIRST, CRASHING]));
    assert!(observer.rejects(&[FIRST, OTHER]));
    assert!(!observer.rejects(&[FIRST]));
}

// The first crashes are attributed to a part that happened to be in all suspects.
#[test]
fn attribution_changes_with_evidence() {
    let mut observer = Observer::new();
    for _ in 0..MIN_CRASHES {
        observer.crash(&[&[CRASHING, OTHER]]);
    }
    observer.crash(&[&[CRASHING]]);
    assert!(observer.rejects(&[CRASHING]));
    assert!(!observer.rejects(&[OTHER]));
}

#[test]
fn answer_clears_earlier_and_soon_following_crashes() {
    let mut observer = Observer::new();
    observer.crash(&[&[OTHER]]);
    observer.crash(&[&[OTHER]]);
    observer.answer(&[OTHER]);
    observer.wait(ANSWER_MS - 1);
    observer.crash(&[&[OTHER]]);
    assert!(!observer.rejects(&[OTHER]));
    // It doesn't clear crashes for ever.
    for _ in 0..MIN_CRASHES {
        observer.crash(&[&[OTHER]]);
    }
    assert!(observer.rejects(&[OTHER]));
}

// Upstreams that fail at the same moment have a cause in common that is no request.
#[test]
fn crashes_at_once_count_as_one() {
    let mut observer = Observer::new();
    for fingerprint in 1..=10 {
        observer.crashes += 1;
        observer.crash_with(fingerprint, &[OTHER]);
        observer.now = observer.now.after(5);
    }
    assert!(!observer.rejects(&[OTHER]));
}

// Repeats of one request are recognized by their fingerprint, which says nothing of other requests.
#[test]
fn repeats_of_one_request_do_not_count_against_its_parts() {
    let mut observer = Observer::new();
    for _ in 0..2 * MIN_CRASHES {
        observer.crashes += 1;
        observer.crash_with(7, &[OTHER]);
        observer.wait(1_000);
    }
    assert!(!observer.rejects(&[OTHER]));
}

// Several requests in flight at one upstream see the same crash.
#[test]
fn suspects_of_one_crash_count_once() {
    let mut observer = Observer::new();
    let suspects: [&[u64]; 6] = [&[OTHER]; 6];
    observer.crash(&suspects);
    assert!(!observer.rejects(&[OTHER]));
}

#[test]
fn quarantine_ends() {
    let mut observer = Observer::new();
    for _ in 0..MIN_CRASHES {
        observer.crash(&[&[CRASHING]]);
    }
    observer.wait(CRASH_MS - MIN_CRASHES as u64 * 1_000 - 1);
    assert!(observer.rejects(&[CRASHING]));
    observer.wait(1);
    assert!(!observer.rejects(&[CRASHING]));
}

// Crashes of other causes don't push out the evidence against quarantined parts.
#[test]
fn quarantine_outlasts_other_crashes() {
    let mut observer = Observer::new();
    for _ in 0..MIN_CRASHES {
        observer.crash(&[&[CRASHING]]);
    }
    for own in 100..100 + 3 * MAX_CRASHES as u64 {
        observer.crash(&[&[own]]);
    }
    assert!(observer.rejects(&[CRASHING]));
}

// The evidence is what an instance keeps in the store over a restart.
#[test]
fn evidence_restores_quarantine() {
    let mut observer = Observer::new();
    for own in 50..50 + MIN_CRASHES as u64 {
        observer.crash(&[&[FIRST, CRASHING], &[own]]);
    }
    let mut restarted = PartTable::new(settings());
    for crash in observer.table.evidence(observer.now) {
        restarted.handle_crash(crash, observer.now);
    }
    assert!(
        restarted
            .find_quarantined(&[FIRST, CRASHING], observer.now)
            .is_some()
    );
    assert!(restarted.find_quarantined(&[FIRST], observer.now).is_none());
}

#[test]
fn peer_is_told_of_answers_that_it_lacks() {
    let mut table = PartTable::new(settings());
    let now = TimeMs(1_000_000);
    table.record_answer(&[FIRST], now);
    let crash = PartCrash {
        crash_id: 1,
        fingerprint: 1,
        parts: vec![FIRST, CRASHING],
        ago_ms: 0,
    };
    let cleared = table.handle_crash(crash, now.after(500));
    let answer = PartAnswer {
        part: FIRST,
        ago_ms: 500,
    };
    assert_eq!(cleared, [answer]);
}

// A fleet whose messages are lost, late and duplicated.
struct Fleet {
    now: TimeMs,
    tables: Vec<PartTable>,
    in_transit: Vec<(usize, Message)>,
    crashes: u64,
    requests: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Crash(PartCrash),
    Answer(PartAnswer),
}

#[derive(Clone, Debug)]
enum Step {
    Crashing { instance: usize, other: u64 },
    // A sound request that is answered, or cut by the crash of another kind of request.
    Sound { instance: usize, parts: Vec<u64> },
    Deliver { index: usize, again: bool },
    Lose { index: usize },
    Wait { duration_ms: u64 },
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: TimeMs(1_000_000),
            tables: (0..INSTANCES).map(|_| PartTable::new(settings())).collect(),
            in_transit: Vec::new(),
            crashes: 0,
            requests: 0,
        }
    }

    fn send(&mut self, from: usize, message: &Message) {
        let peers = (0..INSTANCES).filter(|to| *to != from);
        self.in_transit
            .extend(peers.map(|to| (to, message.clone())));
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Crash(crash) => {
                for answer in self.tables[to].handle_crash(crash, now) {
                    self.send(to, &Message::Answer(answer));
                }
            }
            Message::Answer(answer) => {
                self.tables[to].handle_answer(answer, now);
            }
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Crashing { instance, other } => {
                let parts = vec![FIRST, CRASHING, other];
                if self.tables[instance]
                    .find_quarantined(&parts, self.now)
                    .is_some()
                {
                    return;
                }
                self.crashes += 1;
                self.requests += 1;
                let crash = PartCrash {
                    crash_id: self.crashes,
                    fingerprint: self.requests,
                    parts,
                    ago_ms: 0,
                };
                if let Some(crash) = self.tables[instance].record_crash(crash, self.now) {
                    self.send(instance, &Message::Crash(crash));
                }
                self.now = self.now.after(150);
            }
            Step::Sound { instance, parts } => {
                for answer in self.tables[instance].record_answer(&parts, self.now) {
                    self.send(instance, &Message::Answer(answer));
                }
            }
            Step::Deliver { index, again } => {
                if let Some(index) = index.checked_rem(self.in_transit.len()) {
                    let (to, message) = match again {
                        true => self.in_transit[index].clone(),
                        false => self.in_transit.swap_remove(index),
                    };
                    self.receive(to, message);
                }
            }
            Step::Lose { index } => {
                if let Some(index) = index.checked_rem(self.in_transit.len()) {
                    self.in_transit.swap_remove(index);
                }
            }
            Step::Wait { duration_ms } => self.now = self.now.after(duration_ms),
        }
    }

    // All instances send their recent observations, and all messages arrive.
    fn exchange_heartbeats(&mut self) {
        self.now = self.now.after(HEARTBEAT_MS);
        for from in 0..INSTANCES {
            let crashes = self.tables[from].recent_crashes(self.now);
            let answers = self.tables[from].recent_answers(self.now);
            let crashes = crashes.into_iter().map(Message::Crash);
            let answers = answers.into_iter().map(Message::Answer);
            for message in crashes.chain(answers) {
                self.send(from, &message);
            }
        }
        while let Some((to, message)) = self.in_transit.pop() {
            self.receive(to, message);
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let sound = (0..INSTANCES, 20_u64..30).prop_map(|(instance, own)| Step::Sound {
        instance,
        parts: vec![FIRST, own],
    });
    let step = prop_oneof![
        4 => (0..INSTANCES, 10_u64..20)
            .prop_map(|(instance, other)| Step::Crashing { instance, other }),
        3 => sound,
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, again)| Step::Deliver { index, again }),
        2 => any::<usize>().prop_map(|index| Step::Lose { index }),
        2 => (0_u64..500).prop_map(|duration_ms| Step::Wait { duration_ms }),
    ];
    proptest::collection::vec(step, 0..80)
}

proptest! {
    #![proptest_config(common::config(0x7061_7274, 300))]

    // Whatever was lost before, the instances let at most a few more crashing requests through once
    // their messages arrive, and all of them serve sound requests.
    #[test]
    fn fleet_agrees_on_crashing_part(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.run(step);
        }
        fleet.exchange_heartbeats();
        let before = fleet.crashes;
        for number in 0..3 * INSTANCES {
            let other = 100 + number as u64;
            fleet.run(Step::Crashing { instance: number % INSTANCES, other });
            fleet.exchange_heartbeats();
        }
        let further = fleet.crashes - before;
        prop_assert!(further <= TOLERATED_CRASHES as u64, "{further} further crashes");
        for instance in 0..INSTANCES {
            let table = &fleet.tables[instance];
            prop_assert!(table.find_quarantined(&[FIRST, CRASHING, 77], fleet.now).is_some());
            prop_assert!(table.find_quarantined(&[FIRST, 20], fleet.now).is_none());
            prop_assert!(table.find_quarantined(&[FIRST, 10], fleet.now).is_none());
        }
    }
}
