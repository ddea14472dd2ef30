//! Tests of the propagation of evacuations from the store and between instances.
//!
//! The store's history is the oracle: every state of an instance is one that the store had, and
//! never older than the instance's previous state.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::evacuations::Evacuations;
use dogwoodpier_core::gateway::evacuations::is_watcher;
use dogwoodpier_core::gateway::store_position::StorePosition;

const INSTANCES: usize = 4;
const KEEP_DEADLINE_MS: TimeMs = TimeMs(2_000);
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Step {
    /// The operator evacuates or restores a data centre.
    SetEvacuated(usize, bool),
    /// An instance reads a listing of the store.
    ListStore(usize),
    /// An instance's watch returns the changes since its last call.
    WatchStore(usize),
    /// A report that was composed earlier arrives, possibly again.
    DeliverReport(usize, usize),
    /// An instance composes a report.
    ComposeReport(usize),
    /// An instance restarts without any state.
    RestartInstance(usize),
    /// The store is restored from a copy that is some changes old.
    RestoreStore(usize),
}

#[derive(Default)]
struct Store {
    era: u64,
    // Evacuated data centres after each revision; the first entry is empty.
    history: Vec<BTreeSet<Arc<str>>>,
}

#[derive(Clone, Default)]
struct Instance {
    evacuations: Evacuations,
    // Era and revision of the last listing or watch.
    watched: Option<(u64, usize)>,
    // Index in the history of the newest state that the instance had.
    shown_revision: usize,
}

struct Fleet {
    store: Store,
    instances: Vec<Instance>,
    reports: Vec<Evacuations>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            store: Store {
                era: 1,
                history: vec![BTreeSet::new()],
            },
            instances: vec![Instance::default(); INSTANCES],
            reports: Vec::new(),
        }
    }

    fn position(&self, revision: usize) -> StorePosition {
        StorePosition::new(self.store.era, revision as u64)
    }

    fn newest(&self) -> usize {
        self.store.history.len() - 1
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::SetEvacuated(data_centre, evacuated) => {
                let mut state = self.store.history[self.newest()].clone();
                let name: Arc<str> = DATA_CENTRES[data_centre].into();
                match evacuated {
                    true => state.insert(name),
                    false => state.remove(&name),
                };
                self.store.history.push(state);
            }
            Step::ListStore(index) => {
                let newest = self.newest();
                let listed = self.store.history[newest].iter().cloned();
                let listed = Evacuations::from_listing(self.position(newest), listed);
                let watched = Some((self.store.era, newest));
                let instance = &mut self.instances[index];
                instance.evacuations.merge(listed, KEEP_DEADLINE_MS);
                instance.watched = watched;
            }
            Step::WatchStore(index) => self.watch(index),
            Step::DeliverReport(index, report) if !self.reports.is_empty() => {
                let report = self.reports[report % self.reports.len()].clone();
                let instance = &mut self.instances[index];
                instance.evacuations.merge(report, KEEP_DEADLINE_MS);
            }
            Step::DeliverReport(..) => {}
            Step::ComposeReport(index) => {
                self.reports.push(self.instances[index].evacuations.clone());
            }
            Step::RestartInstance(index) => self.instances[index] = Instance::default(),
            Step::RestoreStore(changes) => {
                self.store.era += 1;
                let kept = self.store.history.len().saturating_sub(changes).max(1);
                self.store.history.truncate(kept);
            }
        }
    }

    fn watch(&mut self, index: usize) {
        let newest = self.newest();
        let era = self.store.era;
        let watched = self.instances[index].watched.take();
        // A watch of an earlier era is not continued.
        let Some((_, watched_revision)) = watched.filter(|(watched, _)| *watched == era) else {
            return;
        };
        self.instances[index].watched = Some((era, newest));
        for revision in watched_revision + 1..=newest {
            let position = self.position(revision);
            let (before, after) = (
                &self.store.history[revision - 1],
                &self.store.history[revision],
            );
            let instance = &mut self.instances[index];
            for changed in before.symmetric_difference(after) {
                let evacuated = after.contains(changed);
                instance
                    .evacuations
                    .apply_change(position, changed, evacuated);
            }
        }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for instance in &mut self.instances {
            if !instance.evacuations.are_known() {
                prop_assert_eq!(instance.evacuations.data_centres().count(), 0);
                continue;
            }
            let state: BTreeSet<Arc<str>> = instance.evacuations.data_centres().cloned().collect();
            let since = &self.store.history[instance.shown_revision..];
            let found = since.iter().position(|known| *known == state);
            prop_assert!(found.is_some(), "{state:?} is older than {since:?}");
            instance.shown_revision += found.unwrap_or(0);
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = || 0..INSTANCES;
    let step = prop_oneof![
        3 => (0..DATA_CENTRES.len(), any::<bool>())
            .prop_map(|(data_centre, evacuated)| Step::SetEvacuated(data_centre, evacuated)),
        2 => instance().prop_map(Step::ListStore),
        3 => instance().prop_map(Step::WatchStore),
        5 => (instance(), any::<usize>()).prop_map(|(to, report)| Step::DeliverReport(to, report)),
        4 => instance().prop_map(Step::ComposeReport),
        1 => instance().prop_map(Step::RestartInstance),
    ];
    proptest::collection::vec(step, 1..60)
}

fn steps_with_restores() -> impl Strategy<Value = Vec<Step>> {
    let restore = (0_usize..5).prop_map(|changes| vec![Step::RestoreStore(changes)]);
    let steps = prop_oneof![3 => steps(), 1 => restore];
    proptest::collection::vec(steps, 1..8).prop_map(|steps| steps.concat())
}

proptest! {
    #![proptest_config(common::config(0x6576_6163, 512))]

    #[test]
    fn state_never_goes_back(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(&step);
            fleet.check()?;
        }
        // One instance with the newest listing that reports to the others is enough.
        fleet.apply(&Step::ListStore(0));
        fleet.apply(&Step::ComposeReport(0));
        let report = fleet.reports.len() - 1;
        let newest = fleet.store.history[fleet.newest()].clone();
        for index in 0..INSTANCES {
            fleet.apply(&Step::DeliverReport(index, report));
            let evacuations = &fleet.instances[index].evacuations;
            let state: BTreeSet<Arc<str>> = evacuations.data_centres().cloned().collect();
            prop_assert_eq!(&state, &newest);
        }
    }
}

proptest! {
    #![proptest_config(common::config(0x6572_6173, 512))]

    // Whatever was reported before the store went back, the newest listing wins everywhere, and
    // what it lacks ends after the grace time.
    #[test]
    fn newest_state_wins_after_restores(steps in steps_with_restores()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(&step);
        }
        fleet.apply(&Step::ListStore(0));
        fleet.apply(&Step::ComposeReport(0));
        let report = fleet.reports.len() - 1;
        let newest = fleet.store.history[fleet.newest()].clone();
        for index in 0..INSTANCES {
            fleet.apply(&Step::DeliverReport(index, report));
            let evacuations = &mut fleet.instances[index].evacuations;
            for data_centre in &newest {
                prop_assert!(evacuations.contains(data_centre));
            }
            evacuations.expire(KEEP_DEADLINE_MS);
            let state: BTreeSet<Arc<str>> = evacuations.data_centres().cloned().collect();
            prop_assert_eq!(&state, &newest);
        }
    }
}

#[test]
fn evacuation_is_kept_after_restore() {
    let mut evacuations = Evacuations::default();
    let before = StorePosition::new(1, 30);
    evacuations.merge(
        Evacuations::from_listing(before, ["a".into(), "b".into()]),
        KEEP_DEADLINE_MS,
    );
    let after = StorePosition::new(2, 20);
    assert!(!evacuations.merge(
        Evacuations::from_listing(after, ["b".into()]),
        KEEP_DEADLINE_MS
    ));
    assert!(evacuations.contains("a"));
    // The operator writes it again.
    let again = StorePosition::new(2, 21);
    assert!(!evacuations.apply_change(again, &"a".into(), true));
    assert!(!evacuations.expire(KEEP_DEADLINE_MS));
    assert!(evacuations.contains("a"));
    // An end in the new era counts at once.
    assert!(evacuations.apply_change(StorePosition::new(2, 22), &"a".into(), false));
    assert!(!evacuations.contains("a"));
}

#[test]
fn evacuation_that_stays_missing_ends() {
    let mut evacuations = Evacuations::default();
    let before = StorePosition::new(1, 30);
    evacuations.merge(Evacuations::from_listing(before, ["a".into()]), TimeMs(0));
    let after = StorePosition::new(2, 20);
    evacuations.merge(Evacuations::from_listing(after, []), KEEP_DEADLINE_MS);
    assert!(!evacuations.expire(TimeMs(KEEP_DEADLINE_MS.0 - 1)));
    assert!(evacuations.contains("a"));
    assert!(evacuations.expire(KEEP_DEADLINE_MS));
    assert!(!evacuations.contains("a"));
}

// Instances of earlier versions exchange plain revisions.
#[test]
fn position_in_first_era_is_the_revision() {
    for era in [0, 1] {
        let position = StorePosition::new(era, 12_345);
        assert_eq!(position.revision(), 12_345);
        assert_eq!(position, StorePosition::new(1, 12_345));
        assert!(position < StorePosition::new(2, 3));
        assert!(position.is_in_era_before(StorePosition::new(2, 3)));
        assert!(!position.is_in_era_before(StorePosition::new(1, 99_999)));
    }
    assert_eq!(StorePosition::new(7, 12_345).revision(), 12_345);
}

#[test]
fn changes_need_a_listing() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.are_known());
    let position = StorePosition::new(1, 5);
    assert!(!evacuations.apply_change(position, &"a".into(), true));
    assert!(!evacuations.contains("a"));
    let listed = Evacuations::from_listing(position, ["a".into()]);
    assert!(evacuations.merge(listed, KEEP_DEADLINE_MS));
    assert!(evacuations.are_known());
    assert!(evacuations.contains("a"));
}

#[test]
fn number_of_watchers_is_limited() {
    let names: Vec<String> = (0..300).map(|number| format!("i{number}")).collect();
    let watchers = |members: &[String]| {
        let watches = |own: &&String| {
            let peers = members.iter().filter(|peer| peer != own);
            is_watcher(own, peers.map(String::as_str))
        };
        members.iter().filter(watches).count()
    };
    assert_eq!(watchers(&names), 37);
    assert_eq!(watchers(&names[..59]), 8);
    assert_eq!(watchers(&names[..5]), 5);
    // An instance without live peers always watches.
    assert!(is_watcher("i7", []));
}
