//! Guards against a request that crashes one upstream after another: its caller sends it again
//! through many instances, while the updates between the instances are lost, late and duplicated.
//!
//! The oracle counts the crashes and checks that no instance runs the request after it has learned
//! of enough of them.

mod common;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::quarantine::Crash;
use dogwoodpier_core::quarantine::PROBE_MS;
use dogwoodpier_core::quarantine::RunPolicy;
use dogwoodpier_core::quarantine::SuspectSettings;
use dogwoodpier_core::quarantine::SuspectTable;
use dogwoodpier_core::quarantine::SuspectUpdate;

const INSTANCES: usize = 6;
const CRASHING_FINGERPRINT: u64 = 7;
const LOOKUP_FINGERPRINT: u64 = 8;
const MAX_CRASHES: usize = 3;
const BROADCAST_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 300;

fn settings() -> SuspectSettings {
    SuspectSettings {
        crash_ms: 3_600_000,
        quarantine_ms: 3_600_000,
        same_crash_ms: 1_000,
        broadcast_ms: BROADCAST_MS,
        max_requests: 1_000,
        max_crashes: MAX_CRASHES,
    }
}

fn table() -> SuspectTable {
    SuspectTable::new(settings())
}

struct Fleet {
    now: TimeMs,
    tables: Vec<SuspectTable>,
    // Updates in transit, with the index of the receiver.
    in_transit: Vec<(usize, SuspectUpdate)>,
    upstreams: u64,
    crashes: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: TimeMs(1_000_000),
            tables: (0..INSTANCES).map(|_| table()).collect(),
            in_transit: Vec::new(),
            upstreams: 0,
            crashes: 0,
        }
    }

    fn quarantines(&self, instance: usize, fingerprint: u64) -> bool {
        let policy = self.tables[instance].run_policy(fingerprint, self.now);
        matches!(policy, RunPolicy::Quarantined { .. })
    }

    fn send_to_peers(&mut self, from: usize, update: SuspectUpdate) {
        let peers = (0..INSTANCES).filter(|to| *to != from);
        self.in_transit.extend(peers.map(|to| (to, update)));
    }

    // Runs a request on a new upstream that crashes before it answers.
    fn crash(&mut self, instance: usize, fingerprint: u64) {
        self.upstreams += 1;
        let crash_id = Crash::id(self.upstreams, 1);
        if let Some(update) = self.tables[instance].record_crash(fingerprint, crash_id, self.now) {
            self.send_to_peers(instance, update);
        }
    }

    fn repeat(&mut self, instance: usize) {
        if !self.quarantines(instance, CRASHING_FINGERPRINT) {
            self.crash(instance, CRASHING_FINGERPRINT);
            self.crashes += 1;
        }
    }

    fn answer(&mut self, instance: usize, fingerprint: u64) {
        if let Some(update) = self.tables[instance].record_answer(fingerprint, self.now) {
            self.send_to_peers(instance, update);
        }
    }

    fn deliver(&mut self, index: usize, twice: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        let (to, update) = self.in_transit.swap_remove(index % self.in_transit.len());
        for _ in 0..=usize::from(twice) {
            self.tables[to].handle_update(update, self.now);
        }
    }

    fn lose(&mut self, index: usize) {
        if !self.in_transit.is_empty() {
            self.in_transit.swap_remove(index % self.in_transit.len());
        }
    }

    // Every instance sends one heartbeat to all others.
    fn exchange_heartbeats(&mut self) {
        self.now = self.now.after(HEARTBEAT_MS);
        for from in 0..INSTANCES {
            for update in self.tables[from].updates(self.now) {
                for to in (0..INSTANCES).filter(|to| *to != from) {
                    self.tables[to].handle_update(update, self.now);
                }
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Repeat(usize),
    Deliver(usize, bool),
    Lose(usize),
    Wait(u64),
    ExchangeHeartbeats,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..INSTANCES).prop_map(Step::Repeat),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(index, twice)| Step::Deliver(index, twice)),
        3 => any::<usize>().prop_map(Step::Lose),
        2 => (1..100_u64).prop_map(Step::Wait),
        1 => Just(Step::ExchangeHeartbeats),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(common::config(0x6372_6173, 512))]

    #[test]
    fn crashes_are_bounded_under_message_loss(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            match step {
                Step::Repeat(instance) => {
                    // An instance that knows of enough crashes must not run the request.
                    let known = fleet.tables[instance].crashes_of(CRASHING_FINGERPRINT, fleet.now);
                    let before = fleet.crashes;
                    fleet.repeat(instance);
                    prop_assert!(known < MAX_CRASHES || fleet.crashes == before);
                }
                Step::Deliver(index, twice) => fleet.deliver(index, twice),
                Step::Lose(index) => fleet.lose(index),
                Step::Wait(wait_ms) => fleet.now = fleet.now.after(wait_ms),
                Step::ExchangeHeartbeats => fleet.exchange_heartbeats(),
            }
        }
        // All waits together are shorter than the broadcast time, so one heartbeat from each
        // instance delivers every update.
        fleet.exchange_heartbeats();
        let before = fleet.crashes;
        for instance in 0..INSTANCES {
            fleet.repeat(instance);
        }
        let allowed = MAX_CRASHES.saturating_sub(before) * INSTANCES;
        prop_assert!(
            fleet.crashes - before <= allowed,
            "{} crashes, {before} of them before the last heartbeats",
            fleet.crashes
        );
    }
}

#[test]
fn request_is_quarantined_after_three_crashes() {
    let mut fleet = Fleet::new();
    for repeat in 0..10 {
        fleet.repeat(repeat % INSTANCES);
        while !fleet.in_transit.is_empty() {
            fleet.deliver(0, false);
        }
    }
    assert_eq!(fleet.crashes, MAX_CRASHES);
}

// A joining instance learns of older crashes from the heartbeats of its peers.
#[test]
fn joining_instance_learns_of_old_crashes() {
    let mut fleet = Fleet::new();
    for instance in 0..MAX_CRASHES {
        fleet.repeat(instance);
        fleet.exchange_heartbeats();
    }
    fleet.now = fleet.now.after(10 * BROADCAST_MS);
    fleet.tables[0] = table();
    fleet.exchange_heartbeats();
    assert!(fleet.quarantines(0, CRASHING_FINGERPRINT));
}

// Upstreams crash for other reasons while they run a lookup that is sent all the time.
#[test]
fn request_answered_between_crashes_is_not_quarantined() {
    let mut fleet = Fleet::new();
    for round in 0..10 {
        fleet.crash(round % INSTANCES, LOOKUP_FINGERPRINT);
        fleet.exchange_heartbeats();
        fleet.now = fleet.now.after(1_000);
        fleet.answer((round + 1) % INSTANCES, LOOKUP_FINGERPRINT);
        fleet.exchange_heartbeats();
        for instance in 0..INSTANCES {
            assert!(
                !fleet.quarantines(instance, LOOKUP_FINGERPRINT),
                "round {round}, instance {instance}"
            );
        }
    }
}

// The update on a crash arrives after a later answer.
#[test]
fn late_update_on_crash_before_answer_is_ignored() {
    let mut fleet = Fleet::new();
    for _ in 0..MAX_CRASHES {
        fleet.crash(0, LOOKUP_FINGERPRINT);
    }
    let late_updates: Vec<SuspectUpdate> = fleet.tables[0].updates(fleet.now);
    fleet.now = fleet.now.after(50);
    let mut other = table();
    other.handle_update(late_updates[0], fleet.now);
    other.record_answer(LOOKUP_FINGERPRINT, fleet.now.after(1));
    for update in late_updates {
        other.handle_update(update, fleet.now.after(1));
    }
    assert_eq!(other.crashes_of(LOOKUP_FINGERPRINT, fleet.now.after(1)), 0);
}

#[test]
fn crash_of_same_incarnation_counts_once() {
    let mut table = table();
    let mut now = TimeMs(1_000_000);
    for _ in 0..MAX_CRASHES {
        table.record_crash(CRASHING_FINGERPRINT, Crash::id(1, 1), now);
        now = now.after(5_000);
    }
    assert_eq!(table.crashes_of(CRASHING_FINGERPRINT, now), 1);
}

// A request is sent to another upstream before it is known whether the earlier ones crashed.
#[test]
fn running_probes_count_as_crashes() {
    let mut table = table();
    let now = TimeMs(1_000_000);
    let known = Crash::id(1, 1);
    let probes = [Crash::id(2, 1), Crash::id(3, 1)];
    table.record_crash(CRASHING_FINGERPRINT, known, now);
    table.begin_probe(CRASHING_FINGERPRINT, probes[0]);
    assert_eq!(
        table.run_policy(CRASHING_FINGERPRINT, now),
        RunPolicy::SingleCopy
    );
    table.begin_probe(CRASHING_FINGERPRINT, probes[1]);
    let quarantined = RunPolicy::Quarantined {
        retry_after_ms: PROBE_MS,
    };
    assert_eq!(table.run_policy(CRASHING_FINGERPRINT, now), quarantined);
    for probe in probes {
        table.end_probe(CRASHING_FINGERPRINT, probe);
        assert_eq!(
            table.run_policy(CRASHING_FINGERPRINT, now),
            RunPolicy::SingleCopy
        );
    }
    table.end_probe(CRASHING_FINGERPRINT, probes[0]);
    assert_eq!(
        table.run_policy(CRASHING_FINGERPRINT, now),
        RunPolicy::SingleCopy
    );
}

// An upstream that keeps running cuts many connections of a request that is sent often.
#[test]
fn probes_of_one_upstream_count_once() {
    let mut table = table();
    let now = TimeMs(1_000_000);
    let crash_id = Crash::id(1, 1);
    for _ in 0..10 {
        table.begin_probe(LOOKUP_FINGERPRINT, crash_id);
    }
    assert_eq!(
        table.run_policy(LOOKUP_FINGERPRINT, now),
        RunPolicy::Unrestricted
    );
    // One probe finds that the upstream has crashed, while the others are still running.
    table.record_crash(LOOKUP_FINGERPRINT, crash_id, now);
    table.begin_probe(LOOKUP_FINGERPRINT, Crash::id(2, 1));
    assert_eq!(
        table.run_policy(LOOKUP_FINGERPRINT, now),
        RunPolicy::SingleCopy
    );
}

#[test]
fn excessive_times_in_updates_are_limited() {
    let mut table = table();
    let now = TimeMs(1_000_000);
    table.handle_update(
        SuspectUpdate::Crashed {
            fingerprint: CRASHING_FINGERPRINT,
            crash_id: 1,
            expires_in_ms: u64::MAX,
        },
        now,
    );
    assert_eq!(table.crashes_of(CRASHING_FINGERPRINT, now), 1);
    assert_eq!(
        table.crashes_of(CRASHING_FINGERPRINT, now.after(3_600_000)),
        0
    );
    table.handle_update(
        SuspectUpdate::Answered {
            fingerprint: CRASHING_FINGERPRINT,
            ago_ms: u64::MAX,
        },
        now,
    );
    // An answer from before the crash does not clear it.
    assert_eq!(table.crashes_of(CRASHING_FINGERPRINT, now), 1);
}
