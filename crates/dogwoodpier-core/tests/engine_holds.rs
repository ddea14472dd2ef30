//! No engine may keep memory for requests that have ended, and none may free that of a running
//! request.
//!
//! A few nodes begin and end holds at simulated engines. Cancels and their acknowledgements are
//! lost, nodes are killed, cut off and restarted as another incarnation, and a coordinator audits
//! the engines. The oracle knows which requests are running. A simulated engine frees what is
//! cancelled and refuses reservations with cancelled tags.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::holds::Audit;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::holds::HoldLedger;
use dogwoodpier_core::holds::OwnerStatus;

const NODES: usize = 3;
const ENGINES: usize = 2;
const UNREACHABLE_MS: u64 = 5_000;
const GRACE_MS: u64 = 5_000;
const AUDIT_INTERVAL_MS: u64 = 1_000;
// Time until a node counts as unreachable, grace period, and one audit interval before and after.
const ORPHAN_CANCEL_BOUND_MS: u64 = UNREACHABLE_MS + GRACE_MS + 2 * AUDIT_INTERVAL_MS;
// Longest time between two tries of a cancel, and one tick.
const RETRY_BOUND_MS: u64 = 1_100;
const TICK_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    None,
    Cancels,
    Answers,
}

#[derive(Clone, Debug)]
enum Step {
    /// A request begins. Its reservation reaches the engine now or later.
    Begin {
        node: usize,
        engine: usize,
        late: bool,
    },
    /// A request ends.
    End { index: usize },
    /// The reservations in transit arrive.
    Arrive,
    /// Cancels or their acknowledgements are lost from now on.
    Lose { loss: Loss },
    /// A node crashes and restarts as another incarnation.
    Kill { node: usize },
    /// The coordinator's link to a node is cut or restored.
    Cut { node: usize, cut: bool },
    /// An engine crashes and restarts empty.
    Crash { engine: usize },
    /// Another node becomes coordinator.
    MoveCoordinator,
    /// The coordinator reads the holds of an engine and audits them later.
    List { engine: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// All faults end, and the time passes within which orphans must be cancelled.
    Settle,
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        let losses = prop_oneof![Just(Loss::None), Just(Loss::Cancels), Just(Loss::Answers)];
        prop_oneof![
            6 => (0..NODES, 0..ENGINES, proptest::bool::weighted(0.2)).prop_map(
                |(node, engine, late)| Step::Begin { node, engine, late }
            ),
            4 => (0..20_usize).prop_map(|index| Step::End { index }),
            1 => Just(Step::Arrive),
            1 => losses.prop_map(|loss| Step::Lose { loss }),
            1 => (0..NODES).prop_map(|node| Step::Kill { node }),
            1 => (0..NODES, proptest::bool::ANY).prop_map(|(node, cut)| Step::Cut { node, cut }),
            1 => (0..ENGINES).prop_map(|engine| Step::Crash { engine }),
            1 => Just(Step::MoveCoordinator),
            2 => (0..ENGINES).prop_map(|engine| Step::List { engine }),
            4 => (TICK_MS..8_000).prop_map(|ms| Step::Wait { ms }),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

struct Node {
    incarnation: u64,
    ledger: HoldLedger,
    cut: bool,
    last_contact_ms: TimeMs,
}

#[derive(Default)]
struct Engine {
    holds: BTreeSet<HoldId>,
    cancelled: BTreeSet<HoldId>,
}

struct Cluster {
    now: TimeMs,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    audits: Vec<Audit>,
    listed: Vec<(usize, Vec<HoldId>)>,
    in_transit: Vec<(usize, HoldId)>,
    // The oracle: running requests, with their node and engine.
    running: BTreeMap<HoldId, (usize, usize)>,
    loss: Loss,
    next_incarnation: u64,
    next_audit_ms: TimeMs,
}

impl Cluster {
    fn new() -> Self {
        let now = TimeMs(1_000_000);
        Self {
            now,
            nodes: (0..NODES as u64)
                .map(|incarnation| Node {
                    incarnation,
                    ledger: HoldLedger::default(),
                    cut: false,
                    last_contact_ms: now,
                })
                .collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            audits: (0..ENGINES).map(|_| Audit::default()).collect(),
            listed: Vec::new(),
            in_transit: Vec::new(),
            running: BTreeMap::new(),
            loss: Loss::None,
            next_incarnation: NODES as u64,
            next_audit_ms: now,
        }
    }

    fn begin(&mut self, node: usize, engine: usize, late: bool) {
        let incarnation = self.nodes[node].incarnation;
        let hold = self.nodes[node].ledger.begin(incarnation);
        self.running.insert(hold, (node, engine));
        if late {
            self.in_transit.push((engine, hold));
        } else {
            self.engines[engine].reserve(hold);
        }
    }

    fn end(&mut self, index: usize) {
        let Some((hold, (node, engine))) = self
            .running
            .iter()
            .nth(index)
            .map(|(hold, location)| (*hold, *location))
        else {
            return;
        };
        self.running.remove(&hold);
        let now = self.now;
        self.nodes[node].ledger.end(hold, [name(engine)], now);
    }

    fn kill(&mut self, node: usize) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        self.running.retain(|_, (owner, _)| *owner != node);
        self.nodes[node] = Node {
            incarnation,
            ledger: HoldLedger::default(),
            cut: self.nodes[node].cut,
            last_contact_ms: self.now,
        };
    }

    fn arrive(&mut self) {
        for (engine, hold) in std::mem::take(&mut self.in_transit) {
            self.engines[engine].reserve(hold);
        }
    }

    fn wait(&mut self, ms: u64) {
        let end_ms = self.now.after(ms);
        while self.now < end_ms {
            self.now = self.now.after(TICK_MS);
            for node in &mut self.nodes {
                if !node.cut {
                    node.last_contact_ms = self.now;
                }
            }
            for node in 0..NODES {
                let due = self.nodes[node].ledger.due_cancels(self.now);
                for (engine, hold) in due {
                    if self.cancel(&engine, hold) {
                        self.nodes[node].ledger.handle_cancel_ack(&engine, hold);
                    }
                }
            }
            if self.next_audit_ms <= self.now {
                self.next_audit_ms = self.now.after(AUDIT_INTERVAL_MS);
                self.audit_listed();
                for engine in 0..ENGINES {
                    let holds = self.engines[engine].holds.iter().copied().collect();
                    self.audit(engine, holds);
                }
            }
        }
    }

    // Sends a cancel and returns whether its acknowledgement arrived.
    fn cancel(&mut self, engine: &str, hold: HoldId) -> bool {
        if self.loss == Loss::Cancels {
            return false;
        }
        if let Some((node, _)) = self.running.get(&hold) {
            let unreachable_ms = self.now.since(self.nodes[*node].last_contact_ms);
            assert!(
                unreachable_ms >= UNREACHABLE_MS + GRACE_MS - AUDIT_INTERVAL_MS,
                "the hold of a running request was cancelled {unreachable_ms} ms after the last contact"
            );
        }
        self.engines[index(engine)].cancel(hold);
        self.loss != Loss::Answers
    }

    fn audit_listed(&mut self) {
        for (engine, holds) in std::mem::take(&mut self.listed) {
            self.audit(engine, holds);
        }
    }

    fn audit(&mut self, engine: usize, holds: Vec<HoldId>) {
        let owners: Vec<_> = holds
            .iter()
            .map(|hold| (*hold, self.owner_status(*hold)))
            .collect();
        for orphan in self.audits[engine].orphans(owners, GRACE_MS, self.now) {
            self.cancel(&name(engine), orphan);
        }
    }

    // Returns what the coordinator knows about the node that created a hold.
    fn owner_status(&self, hold: HoldId) -> OwnerStatus {
        let node = self
            .nodes
            .iter()
            .find(|node| node.incarnation == hold.incarnation);
        match node {
            Some(node) if !node.cut && node.ledger.is_live(hold) => OwnerStatus::InUse,
            Some(node) if !node.cut => OwnerStatus::NotInUse,
            Some(node) if self.now.since(node.last_contact_ms) < UNREACHABLE_MS => {
                OwnerStatus::InUse
            }
            _ => OwnerStatus::Unreachable,
        }
    }

    fn settle(&mut self) {
        self.loss = Loss::None;
        for node in &mut self.nodes {
            node.cut = false;
        }
        self.arrive();
        // At first without audits: the cancels of the nodes alone must free the holds that they
        // ended.
        self.next_audit_ms = self.now.after(RETRY_BOUND_MS + TICK_MS);
        self.wait(RETRY_BOUND_MS);
        for (number, engine) in self.engines.iter().enumerate() {
            for hold in &engine.holds {
                let has_owner = self
                    .nodes
                    .iter()
                    .any(|node| node.incarnation == hold.incarnation);
                assert!(
                    !has_owner || self.running.contains_key(hold),
                    "engine {number} still holds {hold}, which its node has ended"
                );
            }
        }
        self.wait(ORPHAN_CANCEL_BOUND_MS);
        for (number, engine) in self.engines.iter().enumerate() {
            for hold in &engine.holds {
                assert!(
                    self.running.get(hold).is_some_and(|(_, at)| *at == number),
                    "engine {number} still holds {hold} without a running request"
                );
            }
        }
    }
}

impl Engine {
    fn reserve(&mut self, hold: HoldId) {
        if !self.cancelled.contains(&hold) {
            self.holds.insert(hold);
        }
    }

    fn cancel(&mut self, hold: HoldId) {
        self.cancelled.insert(hold);
        self.holds.remove(&hold);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Cluster;
    type Reference = Machine;

    fn init_test(_state: &()) -> Cluster {
        Cluster::new()
    }

    fn apply(mut cluster: Cluster, _state: &(), step: Step) -> Cluster {
        match step {
            Step::Begin { node, engine, late } => cluster.begin(node, engine, late),
            Step::End { index } => cluster.end(index),
            Step::Arrive => cluster.arrive(),
            Step::Lose { loss } => cluster.loss = loss,
            Step::Kill { node } => cluster.kill(node),
            Step::Cut { node, cut } => cluster.nodes[node].cut = cut,
            Step::Crash { engine } => {
                cluster.engines[engine] = Engine::default();
                // Reservations in transit to the old process must not reach the new one.
                cluster.in_transit.retain(|(at, _)| *at != engine);
            }
            Step::MoveCoordinator => {
                cluster.audits = (0..ENGINES).map(|_| Audit::default()).collect();
                cluster.listed.clear();
            }
            Step::List { engine } => {
                let holds = cluster.engines[engine].holds.iter().copied().collect();
                cluster.listed.push((engine, holds));
            }
            Step::Wait { ms } => cluster.wait(ms),
            Step::Settle => cluster.settle(),
        }
        cluster
    }

    fn teardown(mut cluster: Cluster, _state: ()) {
        cluster.settle();
    }
}

fn name(engine: usize) -> Arc<str> {
    format!("engine-{engine}").into()
}

fn index(name: &str) -> usize {
    name.trim_start_matches("engine-")
        .parse()
        .expect("engine names are created by this test")
}

prop_state_machine! {
    #![proptest_config(common::config(0x0068_6f6c_6473, 256))]

    #[test]
    fn holds_last_as_long_as_their_request(sequential 1..60 => Machine);
}
