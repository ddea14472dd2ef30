//! Evacuations as instances hear of them from the store and from each other.
//!
//! The oracle is the store's own history: an instance never shows a state that is older than one it
//! showed before, and always one that the store had.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::gateway::evacuations::Evacuations;
use dogwoodpier_core::gateway::evacuations::is_watcher;

const INSTANCES: usize = 4;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
enum Step {
    /// The operator evacuates or restores a data centre.
    Operate(usize, bool),
    /// An instance lists.
    List(usize),
    /// An instance's watch tells the changes since its last call.
    Watch(usize),
    /// A report that was composed earlier arrives, perhaps again.
    Report(usize, usize),
    /// An instance composes a report.
    Compose(usize),
    /// An instance starts again.
    Restart(usize),
}

#[derive(Default)]
struct Store {
    // State after each revision, the first without any.
    history: Vec<BTreeSet<Arc<str>>>,
}

#[derive(Clone, Default)]
struct Instance {
    evacuations: Evacuations,
    watched: Option<usize>,
    // Index in the history of the newest state that it showed.
    shown: usize,
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
                history: vec![BTreeSet::new()],
            },
            instances: vec![Instance::default(); INSTANCES],
            reports: Vec::new(),
        }
    }

    fn newest(&self) -> usize {
        self.store.history.len() - 1
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Operate(data_centre, evacuated) => {
                let mut state = self.store.history[self.newest()].clone();
                let name: Arc<str> = DATA_CENTRES[data_centre].into();
                match evacuated {
                    true => state.insert(name),
                    false => state.remove(&name),
                };
                self.store.history.push(state);
            }
            Step::List(which) => {
                let newest = self.newest();
                let listed = self.store.history[newest].iter().cloned();
                let listed = Evacuations::from_listing(newest as u64, listed);
                self.instances[which].evacuations.merge(listed);
                self.instances[which].watched = Some(newest);
            }
            Step::Watch(which) => self.watch(which),
            Step::Report(which, report) if !self.reports.is_empty() => {
                let report = self.reports[report % self.reports.len()].clone();
                self.instances[which].evacuations.merge(report);
            }
            Step::Report(..) => {}
            Step::Compose(which) => {
                self.reports.push(self.instances[which].evacuations.clone());
            }
            Step::Restart(which) => self.instances[which] = Instance::default(),
        }
    }

    fn watch(&mut self, which: usize) {
        let newest = self.newest();
        let Some(watched) = self.instances[which].watched.replace(newest) else {
            self.instances[which].watched = None;
            return;
        };
        for revision in watched + 1..=newest {
            let (before, after) = (
                &self.store.history[revision - 1],
                &self.store.history[revision],
            );
            let instance = &mut self.instances[which];
            for changed in before.symmetric_difference(after) {
                let evacuated = after.contains(changed);
                instance
                    .evacuations
                    .apply_change(revision as u64, changed, evacuated);
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
            let since = &self.store.history[instance.shown..];
            let found = since.iter().position(|known| *known == state);
            prop_assert!(found.is_some(), "{state:?} is older than {since:?}");
            instance.shown += found.unwrap_or(0);
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = || 0..INSTANCES;
    let step = prop_oneof![
        3 => (0..DATA_CENTRES.len(), any::<bool>()).prop_map(|(which, on)| Step::Operate(which, on)),
        2 => instance().prop_map(Step::List),
        3 => instance().prop_map(Step::Watch),
        5 => (instance(), any::<usize>()).prop_map(|(to, report)| Step::Report(to, report)),
        4 => instance().prop_map(Step::Compose),
        1 => instance().prop_map(Step::Restart),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(common::config(0x6576_6163, 512))]

    #[test]
    fn never_back(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(&step);
            fleet.check()?;
        }
        // One who has listed last and tells the others is enough.
        fleet.apply(&Step::List(0));
        fleet.apply(&Step::Compose(0));
        let report = fleet.reports.len() - 1;
        let newest = fleet.store.history[fleet.newest()].clone();
        for which in 0..INSTANCES {
            fleet.apply(&Step::Report(which, report));
            let evacuations = &fleet.instances[which].evacuations;
            let state: BTreeSet<Arc<str>> = evacuations.data_centres().cloned().collect();
            prop_assert_eq!(&state, &newest);
        }
    }
}

#[test]
fn unknown_at_first() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.are_known());
    assert!(!evacuations.apply_change(5, &"a".into(), true));
    assert!(!evacuations.contains("a"));
    assert!(evacuations.merge(Evacuations::from_listing(5, ["a".into()])));
    assert!(evacuations.are_known());
    assert!(evacuations.contains("a"));
}

#[test]
fn watchers_are_few() {
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
    // One that hears nobody watches itself.
    assert!(is_watcher("i7", []));
}
