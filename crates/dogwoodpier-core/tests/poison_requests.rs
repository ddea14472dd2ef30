//! Guards against a request that crashes every engine it runs on. It must be quarantined after a
//! bounded number of crashes over the whole fleet, and other requests that run beside it must be
//! answered.
//!
//! The tables of the nodes and the exclusive runs are the real ones. Engines and messages between
//! nodes are simulated. The oracle counts crashes.

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
const POISON_FINGERPRINT: u64 = 0;
const FINGERPRINTS: u64 = 8;
const KEEP_MS: u64 = 5_000;
// Once the first crash is known, the request runs once as a single copy and once alone.
const CRASHES_AFTER_FIRST_REPORT: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a request to a node.
    Send(u64, usize),
    /// A waiting request starts on an engine if its run policy allows it.
    Start(usize, usize),
    /// Every running request finishes, except the poison.
    Finish,
    /// The poison crashes the engine that it runs on.
    Crash(usize),
    /// A node sends all its reports to another.
    SendReports(usize, usize),
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
struct SentRequest {
    fingerprint: u64,
    node: usize,
    progress: Progress,
    exclusive_run: Option<ExclusiveRun>,
}

struct Fleet {
    now: TimeMs,
    tables: Vec<SuspectTable>,
    exclusive_runs: ExclusiveRuns,
    // Number of crashes of each engine.
    crash_counts: [u64; ENGINES],
    requests: Vec<SentRequest>,
    poison_crashes: usize,
    // Whether each node knows of a crash by the poison, from its own engine or from a report.
    knows_poison: [bool; NODES],
    // Runs of the poison that were started by nodes without knowledge of a crash.
    uninformed_runs: usize,
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
            exclusive_runs: ExclusiveRuns::default(),
            crash_counts: [0; ENGINES],
            requests: Vec::new(),
            poison_crashes: 0,
            knows_poison: [false; NODES],
            uninformed_runs: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        let count = self.requests.len().max(1);
        match *step {
            Step::Send(fingerprint, node) => self.requests.push(SentRequest {
                fingerprint,
                node,
                progress: Progress::Waiting,
                exclusive_run: None,
            }),
            Step::Start(request, engine) if !self.requests.is_empty() => {
                self.start(request % count, engine);
            }
            Step::Start(..) => {}
            Step::Finish => self.finish(),
            Step::Crash(engine) => self.crash_engine(engine),
            Step::SendReports(from, to) => self.send_reports(from, to),
            Step::Wait(wait_ms) => {
                self.now = self.now.after(wait_ms);
                self.renew_runs();
            }
        }
    }

    fn start(&mut self, index: usize, engine: usize) {
        let now = self.now;
        let SentRequest {
            fingerprint,
            node,
            progress,
            ..
        } = self.requests[index];
        if progress != Progress::Waiting {
            return;
        }
        let policy = self.tables[node].run_policy(fingerprint, now);
        let exclusive_run = match policy {
            RunPolicy::Unrestricted => None,
            RunPolicy::SingleCopy => Some(ExclusiveRun::OneCopy(fingerprint)),
            RunPolicy::Exclusive => Some(ExclusiveRun::Alone),
            RunPolicy::Quarantined { .. } => {
                self.release_run(index);
                self.requests[index].progress = Progress::Refused;
                return;
            }
        };
        if self.requests[index].exclusive_run != exclusive_run {
            self.release_run(index);
        }
        if let Some(exclusive_run) = exclusive_run {
            self.requests[index].exclusive_run = Some(exclusive_run);
            // The request for the run exchanges reports with the coordinator, which is node 0.
            self.send_reports(node, 0);
            self.send_reports(0, node);
            let granted = self
                .exclusive_runs
                .acquire(exclusive_run, index as u64, KEEP_MS, now);
            if !granted || self.tables[node].run_policy(fingerprint, now) != policy {
                return;
            }
        }
        if fingerprint == POISON_FINGERPRINT && !self.knows_poison[node] {
            self.uninformed_runs += 1;
        }
        self.requests[index].progress = Progress::Running(engine);
    }

    fn release_run(&mut self, index: usize) {
        let node = self.requests[index].node;
        if let Some(exclusive_run) = self.requests[index].exclusive_run.take() {
            self.send_reports(node, 0);
            self.exclusive_runs.release(exclusive_run, index as u64);
        }
    }

    fn finish(&mut self) {
        for index in 0..self.requests.len() {
            let is_running = matches!(self.requests[index].progress, Progress::Running(_));
            if is_running && self.requests[index].fingerprint != POISON_FINGERPRINT {
                self.release_run(index);
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

    fn crash_engine(&mut self, engine: usize) {
        let now = self.now;
        let running = self.running_on(engine);
        let is_poison = |index: &usize| self.requests[*index].fingerprint == POISON_FINGERPRINT;
        if !running.iter().any(is_poison) {
            return;
        }
        self.poison_crashes += 1;
        self.crash_counts[engine] += 1;
        for index in running {
            let SentRequest {
                fingerprint,
                node,
                exclusive_run,
                ..
            } = self.requests[index];
            let observer = (node as u64 * 1_000) + self.crash_counts[engine];
            let id = Crash::id(engine as u64 + 1, observer);
            let alone = exclusive_run == Some(ExclusiveRun::Alone);
            let crash = self.tables[node].observe(fingerprint, id, alone, now);
            self.tables[node].handle_report(crash, now);
            self.knows_poison[node] |= fingerprint == POISON_FINGERPRINT;
            self.requests[index].progress = Progress::Waiting;
            self.release_run(index);
        }
        // A restart of an engine takes longer than `same_crash_ms`.
        self.now = self.now.after(1_500);
        self.renew_runs();
        self.check_crash_bound();
    }

    fn send_reports(&mut self, from: usize, to: usize) {
        let now = self.now;
        let reports: Vec<Crash> = (0..FINGERPRINTS)
            .flat_map(|fingerprint| self.tables[from].reports_of(fingerprint, now))
            .collect();
        for report in reports {
            self.tables[to].handle_report(report, now);
        }
        self.knows_poison[to] |= self.knows_poison[from];
    }

    fn renew_runs(&mut self) {
        let now = self.now;
        for (index, request) in self.requests.iter().enumerate() {
            if let Some(exclusive_run) = request.exclusive_run {
                self.exclusive_runs
                    .acquire(exclusive_run, index as u64, KEEP_MS, now);
            }
        }
    }

    // However many nodes the caller uses, only runs that were started by nodes without knowledge of
    // a crash add crashes.
    fn check_crash_bound(&self) {
        let bound = self.uninformed_runs + CRASHES_AFTER_FIRST_REPORT;
        assert!(
            self.poison_crashes <= bound,
            "{} crashes, {} runs started without knowledge of a crash",
            self.poison_crashes,
            self.uninformed_runs
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
            3 => node().prop_map(|node| Step::Send(POISON_FINGERPRINT, node)),
            3 => (1..FINGERPRINTS, node()).prop_map(|(hash, node)| Step::Send(hash, node)),
            16 => (0..1_000_usize, engine()).prop_map(|(index, on)| Step::Start(index, on)),
            2 => Just(Step::Finish),
            5 => engine().prop_map(Step::Crash),
            4 => (node(), node()).prop_map(|(from, to)| Step::SendReports(from, to)),
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
    fn poison_is_quarantined_after_bounded_crashes(
        sequential 1..150 => PoisonRequests
    );
}

#[test]
fn requests_beside_a_poison_are_answered() {
    let mut fleet = Fleet::new();
    for fingerprint in 0..FINGERPRINTS {
        fleet.apply(&Step::Send(fingerprint, fingerprint as usize % NODES));
    }
    // All requests run together on one engine after another, until none is waiting.
    for round in 0..20 {
        for request in 0..FINGERPRINTS as usize {
            fleet.apply(&Step::Start(request, round % ENGINES));
        }
        fleet.apply(&Step::Crash(round % ENGINES));
        fleet.apply(&Step::Finish);
    }
    let progress: Vec<Progress> = fleet.requests.iter().map(|sent| sent.progress).collect();
    assert_eq!(progress[0], Progress::Refused);
    assert_eq!(progress[1..], [Progress::Answered; 7]);
    assert_eq!(fleet.poison_crashes, 3);
}

#[test]
fn ordinary_crash_delays_no_request() {
    let mut fleet = Fleet::new();
    for fingerprint in 0..FINGERPRINTS {
        fleet.apply(&Step::Send(fingerprint, 1));
        fleet.apply(&Step::Start(fingerprint as usize, 0));
    }
    fleet.apply(&Step::Crash(0));
    for request in 0..FINGERPRINTS as usize {
        fleet.apply(&Step::Start(request, 1));
    }
    assert_eq!(fleet.running_on(1).len(), FINGERPRINTS as usize);
}
