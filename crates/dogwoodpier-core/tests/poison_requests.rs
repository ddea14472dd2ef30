//! A request that crashes each engine is stopped after a bounded number of crashes over the whole
//! fleet, and innocent requests beside it are answered.
//!
//! The nodes' tables and the turns are the real ones; engines and the news between nodes are a model.
//! The oracle counts crashes.

mod common;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::quarantine::Crash;
use dogwoodpier_core::quarantine::ExclusiveRun;
use dogwoodpier_core::quarantine::ExclusiveRuns;
use dogwoodpier_core::quarantine::RunPolicy;
use dogwoodpier_core::quarantine::SuspectSettings;
use dogwoodpier_core::quarantine::SuspectTable;

const NODES: usize = 6;
const ENGINES: usize = 3;
const POISON: u64 = 0;
const FINGERPRINTS: u64 = 8;
const KEEP_MS: u64 = 5_000;
// A suspect of one crash runs once more, and alone once more.
const CRASHES_AFTER_FIRST_NEWS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a request to a node.
    Send(u64, usize),
    /// A waiting request tries to run on an engine.
    Try(usize, usize),
    /// Every request that runs and can end does.
    Finish,
    /// The poison crashes the engine that it runs on.
    Burn(usize),
    /// A node hears of all reports of another.
    Gossip(usize, usize),
    Wait(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Progress {
    Waiting,
    Running(usize),
    Answered,
    Refused,
}

#[derive(Debug)]
struct Sent {
    fingerprint: u64,
    node: usize,
    progress: Progress,
    turn: Option<ExclusiveRun>,
}

struct Fleet {
    now: TimeMs,
    tables: Vec<SuspectTable>,
    turns: ExclusiveRuns,
    // Crashes of each engine so far.
    starts: [u64; ENGINES],
    requests: Vec<Sent>,
    poison_crashes: usize,
    // Nodes that have seen the poison crash an engine, or heard of it.
    heard: [bool; NODES],
    // Runs of the poison that other nodes began.
    unaware_runs: usize,
}

impl Fleet {
    fn new() -> Self {
        let settings = SuspectSettings {
            crash_ms: 600_000,
            quarantine_ms: 3_600_000,
            same_crash_ms: 1_000,
            broadcast_ms: 10_000,
            max_requests: 1_000,
            max_crashes: 4,
        };
        Self {
            now: TimeMs(1_000_000),
            tables: vec![SuspectTable::new(settings); NODES],
            turns: ExclusiveRuns::default(),
            starts: [0; ENGINES],
            requests: Vec::new(),
            poison_crashes: 0,
            heard: [false; NODES],
            unaware_runs: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        let count = self.requests.len().max(1);
        match *step {
            Step::Send(fingerprint, node) => self.requests.push(Sent {
                fingerprint,
                node,
                progress: Progress::Waiting,
                turn: None,
            }),
            Step::Try(request, engine) if !self.requests.is_empty() => {
                self.start(request % count, engine);
            }
            Step::Try(..) => {}
            Step::Finish => self.finish(),
            Step::Burn(engine) => self.burn(engine),
            Step::Gossip(from, to) => self.tell(from, to),
            Step::Wait(wait_ms) => {
                self.now = self.now.after(wait_ms);
                self.renew();
            }
        }
    }

    fn start(&mut self, index: usize, engine: usize) {
        let now = self.now;
        let Sent {
            fingerprint,
            node,
            progress,
            ..
        } = self.requests[index];
        if progress != Progress::Waiting {
            return;
        }
        let standing = self.tables[node].run_policy(fingerprint, now);
        let turn = match standing {
            RunPolicy::Unrestricted => None,
            RunPolicy::SingleCopy => Some(ExclusiveRun::OneCopy(fingerprint)),
            RunPolicy::Exclusive => Some(ExclusiveRun::Alone),
            RunPolicy::Quarantined { .. } => {
                self.leave(index);
                self.requests[index].progress = Progress::Refused;
                return;
            }
        };
        if self.requests[index].turn != turn {
            self.leave(index);
        }
        if let Some(turn) = turn {
            self.requests[index].turn = Some(turn);
            // The ask exchanges reports with the node that gives out turns, the first one.
            self.tell(node, 0);
            self.tell(0, node);
            let granted = self.turns.acquire(turn, index as u64, KEEP_MS, now);
            if !granted || self.tables[node].run_policy(fingerprint, now) != standing {
                return;
            }
        }
        if fingerprint == POISON && !self.heard[node] {
            self.unaware_runs += 1;
        }
        self.requests[index].progress = Progress::Running(engine);
    }

    fn leave(&mut self, index: usize) {
        let node = self.requests[index].node;
        if let Some(turn) = self.requests[index].turn.take() {
            self.tell(node, 0);
            self.turns.release(turn, index as u64);
        }
    }

    fn finish(&mut self) {
        for index in 0..self.requests.len() {
            let is_running = matches!(self.requests[index].progress, Progress::Running(_));
            if is_running && self.requests[index].fingerprint != POISON {
                self.leave(index);
                self.requests[index].progress = Progress::Answered;
            }
        }
    }

    fn running_on(&self, engine: usize) -> Vec<usize> {
        let on = Progress::Running(engine);
        (0..self.requests.len())
            .filter(|index| self.requests[*index].progress == on)
            .collect()
    }

    fn burn(&mut self, engine: usize) {
        let now = self.now;
        let running = self.running_on(engine);
        let is_poison = |index: &usize| self.requests[*index].fingerprint == POISON;
        if !running.iter().any(is_poison) {
            return;
        }
        self.poison_crashes += 1;
        self.starts[engine] += 1;
        for index in running {
            let Sent {
                fingerprint,
                node,
                turn,
                ..
            } = self.requests[index];
            let observer = (node as u64 * 1_000) + self.starts[engine];
            let id = Crash::id(engine as u64 + 1, observer);
            let alone = turn == Some(ExclusiveRun::Alone);
            let crash = self.tables[node].observe(fingerprint, id, alone, now);
            self.tables[node].handle_report(crash, now);
            self.heard[node] |= fingerprint == POISON;
            self.requests[index].progress = Progress::Waiting;
            self.leave(index);
        }
        // An engine takes longer to start again than two reports of one crash are apart.
        self.now = self.now.after(1_500);
        self.renew();
        self.check();
    }

    fn tell(&mut self, from: usize, to: usize) {
        let now = self.now;
        let reports: Vec<Crash> = (0..FINGERPRINTS)
            .flat_map(|fingerprint| self.tables[from].reports_of(fingerprint, now))
            .collect();
        for report in reports {
            self.tables[to].handle_report(report, now);
        }
        self.heard[to] |= self.heard[from];
    }

    fn renew(&mut self) {
        let now = self.now;
        for (index, request) in self.requests.iter().enumerate() {
            if let Some(turn) = request.turn {
                self.turns.acquire(turn, index as u64, KEEP_MS, now);
            }
        }
    }

    // However many nodes its caller asks, only runs that began before the news add crashes.
    fn check(&self) {
        let bound = self.unaware_runs + CRASHES_AFTER_FIRST_NEWS;
        assert!(
            self.poison_crashes <= bound,
            "{} crashes, {} runs began without news",
            self.poison_crashes,
            self.unaware_runs
        );
    }
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        let engine = || 0..ENGINES;
        prop_oneof![
            3 => node().prop_map(|node| Step::Send(POISON, node)),
            3 => (1..FINGERPRINTS, node()).prop_map(|(print, node)| Step::Send(print, node)),
            16 => (0..1_000_usize, engine()).prop_map(|(request, on)| Step::Try(request, on)),
            2 => Just(Step::Finish),
            5 => engine().prop_map(Step::Burn),
            4 => (node(), node()).prop_map(|(from, to)| Step::Gossip(from, to)),
            2 => prop_oneof![Just(100), Just(2_000)].prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct PoisonRequests;

impl StateMachineTest for PoisonRequests {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        fleet.apply(&step);
        fleet
    }
}

prop_state_machine! {
    #![proptest_config(common::config(0x706f_6973_6f6e, 256))]
    #[test]
    fn a_poison_is_stopped_after_a_bounded_number_of_crashes(
        sequential 1..150 => PoisonRequests
    );
}

#[test]
fn innocent_requests_beside_a_poison_are_answered() {
    let mut fleet = Fleet::new();
    for fingerprint in 0..FINGERPRINTS {
        fleet.apply(&Step::Send(fingerprint, fingerprint as usize % NODES));
    }
    // All run on one engine again and again, until nobody waits.
    for round in 0..20 {
        for request in 0..FINGERPRINTS as usize {
            fleet.apply(&Step::Try(request, round % ENGINES));
        }
        fleet.apply(&Step::Burn(round % ENGINES));
        fleet.apply(&Step::Finish);
    }
    let progress: Vec<Progress> = fleet.requests.iter().map(|sent| sent.progress).collect();
    assert_eq!(progress[0], Progress::Refused);
    assert_eq!(progress[1..], [Progress::Answered; 7]);
    assert_eq!(fleet.poison_crashes, 3);
}

#[test]
fn an_ordinary_crash_delays_nobody() {
    let mut fleet = Fleet::new();
    for fingerprint in 0..FINGERPRINTS {
        fleet.apply(&Step::Send(fingerprint, 1));
        fleet.apply(&Step::Try(fingerprint as usize, 0));
    }
    fleet.apply(&Step::Burn(0));
    for request in 0..FINGERPRINTS as usize {
        fleet.apply(&Step::Try(request, 1));
    }
    assert_eq!(fleet.running_on(1).len(), FINGERPRINTS as usize);
}
