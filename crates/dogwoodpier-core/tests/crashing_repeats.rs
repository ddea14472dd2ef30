//! A request that crashes each upstream and is sent again through many instances, with news of it that
//! are lost, late and doubled.
//!
//! The oracle counts the crashes, and the runs that instances began which knew of enough of them.

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
const CRASHING: u64 = 7;
const LOOKUP: u64 = 8;
const MAX_CRASHES: usize = 3;
const SPREAD_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 300;

fn settings() -> SuspectSettings {
    SuspectSettings {
        crash_ms: 3_600_000,
        quarantine_ms: 3_600_000,
        same_crash_ms: 1_000,
        broadcast_ms: SPREAD_MS,
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
    // News on their way: to whom, and what.
    news: Vec<(usize, SuspectUpdate)>,
    upstreams: u64,
    crashes: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: TimeMs(1_000_000),
            tables: (0..INSTANCES).map(|_| table()).collect(),
            news: Vec::new(),
            upstreams: 0,
            crashes: 0,
        }
    }

    fn holds(&self, instance: usize, fingerprint: u64) -> bool {
        let standing = self.tables[instance].run_policy(fingerprint, self.now);
        matches!(standing, RunPolicy::Quarantined { .. })
    }

    fn tell_all(&mut self, from: usize, news: SuspectUpdate) {
        let peers = (0..INSTANCES).filter(|to| *to != from);
        self.news.extend(peers.map(|to| (to, news)));
    }

    // Runs a request on an upstream that ends meanwhile.
    fn crash(&mut self, instance: usize, fingerprint: u64) {
        self.upstreams += 1;
        let crash_id = Crash::id(self.upstreams, 1);
        if let Some(news) = self.tables[instance].record_crash(fingerprint, crash_id, self.now) {
            self.tell_all(instance, news);
        }
    }

    fn repeat(&mut self, instance: usize) {
        if !self.holds(instance, CRASHING) {
            self.crash(instance, CRASHING);
            self.crashes += 1;
        }
    }

    fn answer(&mut self, instance: usize, fingerprint: u64) {
        if let Some(news) = self.tables[instance].record_answer(fingerprint, self.now) {
            self.tell_all(instance, news);
        }
    }

    fn deliver(&mut self, which: usize, twice: bool) {
        if self.news.is_empty() {
            return;
        }
        let (to, news) = self.news.swap_remove(which % self.news.len());
        for _ in 0..=usize::from(twice) {
            self.tables[to].handle_update(news, self.now);
        }
    }

    fn lose(&mut self, which: usize) {
        if !self.news.is_empty() {
            self.news.swap_remove(which % self.news.len());
        }
    }

    // Every instance reports to all others once.
    fn exchange(&mut self) {
        self.now = self.now.after(HEARTBEAT_MS);
        for from in 0..INSTANCES {
            for news in self.tables[from].updates(self.now) {
                for to in (0..INSTANCES).filter(|to| *to != from) {
                    self.tables[to].handle_update(news, self.now);
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
    Exchange,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..INSTANCES).prop_map(Step::Repeat),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(which, twice)| Step::Deliver(which, twice)),
        3 => any::<usize>().prop_map(Step::Lose),
        2 => (1..100_u64).prop_map(Step::Wait),
        1 => Just(Step::Exchange),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(common::config(0x6372_6173, 512))]

    #[test]
    fn crashes_after_news(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            match step {
                Step::Repeat(instance) => {
                    // An instance that knows of enough crashes runs it no more.
                    let known = fleet.tables[instance].crashes_of(CRASHING, fleet.now);
                    let before = fleet.crashes;
                    fleet.repeat(instance);
                    prop_assert!(known < MAX_CRASHES || fleet.crashes == before);
                }
                Step::Deliver(which, twice) => fleet.deliver(which, twice),
                Step::Lose(which) => fleet.lose(which),
                Step::Wait(wait_ms) => fleet.now = fleet.now.after(wait_ms),
                Step::Exchange => fleet.exchange(),
            }
        }
        // The waits are shorter than the time for which news are told: one heartbeat of all is enough.
        fleet.exchange();
        let before = fleet.crashes;
        for instance in 0..INSTANCES {
            fleet.repeat(instance);
        }
        let unheard = MAX_CRASHES.saturating_sub(before) * INSTANCES;
        prop_assert!(fleet.crashes - before <= unheard, "{} after {before}", fleet.crashes);
    }
}

#[test]
fn third_crash_is_the_last() {
    let mut fleet = Fleet::new();
    for repeat in 0..10 {
        fleet.repeat(repeat % INSTANCES);
        while !fleet.news.is_empty() {
            fleet.deliver(0, false);
        }
    }
    assert_eq!(fleet.crashes, MAX_CRASHES);
}

// An instance that joins is told by the heartbeats of those who have been there.
#[test]
fn joining_instance_hears() {
    let mut fleet = Fleet::new();
    for instance in 0..MAX_CRASHES {
        fleet.repeat(instance);
        fleet.exchange();
    }
    fleet.now = fleet.now.after(10 * SPREAD_MS);
    fleet.tables[0] = table();
    fleet.exchange();
    assert!(fleet.holds(0, CRASHING));
}

// Upstreams that end by themselves while they run a lookup which is sent all the time.
#[test]
fn answered_in_between() {
    let mut fleet = Fleet::new();
    for round in 0..10 {
        fleet.crash(round % INSTANCES, LOOKUP);
        fleet.exchange();
        fleet.now = fleet.now.after(1_000);
        fleet.answer((round + 1) % INSTANCES, LOOKUP);
        fleet.exchange();
        for instance in 0..INSTANCES {
            assert!(!fleet.holds(instance, LOOKUP), "round {round}, {instance}");
        }
    }
}

// News of a crash that arrive after those of a later answer.
#[test]
fn crash_heard_after_answer() {
    let mut fleet = Fleet::new();
    for _ in 0..MAX_CRASHES {
        fleet.crash(0, LOOKUP);
    }
    let late: Vec<SuspectUpdate> = fleet.tables[0].updates(fleet.now);
    fleet.now = fleet.now.after(50);
    let mut other = table();
    other.handle_update(late[0], fleet.now);
    other.record_answer(LOOKUP, fleet.now.after(1));
    for news in late {
        other.handle_update(news, fleet.now.after(1));
    }
    assert_eq!(other.crashes_of(LOOKUP, fleet.now.after(1)), 0);
}

#[test]
fn same_incarnation_counts_once() {
    let mut table = table();
    let mut now = TimeMs(1_000_000);
    for _ in 0..MAX_CRASHES {
        table.record_crash(CRASHING, Crash::id(1, 1), now);
        now = now.after(5_000);
    }
    assert_eq!(table.crashes_of(CRASHING, now), 1);
}

// A request that goes on elsewhere before it is known whether the upstreams before have ended.
#[test]
fn probes_count() {
    let mut table = table();
    let now = TimeMs(1_000_000);
    let known = Crash::id(1, 1);
    let probes = [Crash::id(2, 1), Crash::id(3, 1)];
    table.record_crash(CRASHING, known, now);
    table.begin_probe(CRASHING, probes[0]);
    assert_eq!(table.run_policy(CRASHING, now), RunPolicy::SingleCopy);
    table.begin_probe(CRASHING, probes[1]);
    let held = RunPolicy::Quarantined {
        retry_after_ms: PROBE_MS,
    };
    assert_eq!(table.run_policy(CRASHING, now), held);
    for probe in probes {
        table.end_probe(CRASHING, probe);
        assert_eq!(table.run_policy(CRASHING, now), RunPolicy::SingleCopy);
    }
    table.end_probe(CRASHING, probes[0]);
    assert_eq!(table.run_policy(CRASHING, now), RunPolicy::SingleCopy);
}

// An upstream that goes on cuts many connections of a request that is sent often.
#[test]
fn probes_of_one_upstream() {
    let mut table = table();
    let now = TimeMs(1_000_000);
    let crash_id = Crash::id(1, 1);
    for _ in 0..10 {
        table.begin_probe(LOOKUP, crash_id);
    }
    assert_eq!(table.run_policy(LOOKUP, now), RunPolicy::Unrestricted);
    // Known to have crashed by one of them, while the others aren't over.
    table.record_crash(LOOKUP, crash_id, now);
    table.begin_probe(LOOKUP, Crash::id(2, 1));
    assert_eq!(table.run_policy(LOOKUP, now), RunPolicy::SingleCopy);
}

#[test]
fn unreasonable_times() {
    let mut table = table();
    let now = TimeMs(1_000_000);
    table.handle_update(
        SuspectUpdate::Crashed {
            fingerprint: CRASHING,
            crash_id: 1,
            expires_in_ms: u64::MAX,
        },
        now,
    );
    assert_eq!(table.crashes_of(CRASHING, now), 1);
    assert_eq!(table.crashes_of(CRASHING, now.after(3_600_000)), 0);
    table.handle_update(
        SuspectUpdate::Answered {
            fingerprint: CRASHING,
            ago_ms: u64::MAX,
        },
        now,
    );
    // An answer before the crash says nothing of it.
    assert_eq!(table.crashes_of(CRASHING, now), 1);
}
