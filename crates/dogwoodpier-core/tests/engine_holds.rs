//! No engine keeps memory for requests that are gone, and none loses that of a request alive.
//!
//! A few nodes make and end holds at model engines; cancels and their answers are lost, nodes are
//! killed, cut off and come back as another incarnation, and a coordinator audits the engines. The
//! oracle knows which requests live. The engine is its plain model: it frees what is cancelled and
//! refuses cancelled tags.

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
const SILENCE_MS: u64 = 5_000;
const GRACE_MS: u64 = 5_000;
const AUDIT_INTERVAL_MS: u64 = 1_000;
// Silence, grace, and an audit on each side.
const BOUND_MS: u64 = SILENCE_MS + GRACE_MS + 2 * AUDIT_INTERVAL_MS;
// The longest pause between two tries of a cancel, and a tick.
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
    /// A request begins; its reservation reaches the engine now or later.
    Begin {
        node: usize,
        engine: usize,
        late: bool,
    },
    /// A request ends.
    End { index: usize },
    /// Reservations that were on the way arrive.
    Arrive,
    /// Cancels or their answers are lost from now on.
    Lose { loss: Loss },
    /// A node dies and comes back as another incarnation.
    Kill { node: usize },
    /// The coordinator can't reach a node, or can again.
    Cut { node: usize, cut: bool },
    /// An engine crashes and comes back empty.
    Crash { engine: usize },
    /// Another node becomes coordinator.
    MoveCoordinator,
    /// The coordinator reads what an engine holds and judges it later.
    List { engine: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// The network heals and the bound passes.
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
    heard_ms: TimeMs,
}

#[derive(Default)]
struct Engine {
    holds: BTreeSet<HoldId>,
    cancelled: BTreeSet<HoldId>,
}

struct World {
    now: TimeMs,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    audits: Vec<Audit>,
    listed: Vec<(usize, Vec<HoldId>)>,
    on_the_way: Vec<(usize, HoldId)>,
    // The oracle: requests that live, with their node and engine.
    alive: BTreeMap<HoldId, (usize, usize)>,
    loss: Loss,
    next_incarnation: u64,
    next_audit_ms: TimeMs,
}

impl World {
    fn new() -> Self {
        let now = TimeMs(1_000_000);
        Self {
            now,
            nodes: (0..NODES as u64)
                .map(|incarnation| Node {
                    incarnation,
                    ledger: HoldLedger::default(),
                    cut: false,
                    heard_ms: now,
                })
                .collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            audits: (0..ENGINES).map(|_| Audit::default()).collect(),
            listed: Vec::new(),
            on_the_way: Vec::new(),
            alive: BTreeMap::new(),
            loss: Loss::None,
            next_incarnation: NODES as u64,
            next_audit_ms: now,
        }
    }

    fn begin(&mut self, node: usize, engine: usize, late: bool) {
        let incarnation = self.nodes[node].incarnation;
        let hold = self.nodes[node].ledger.begin(incarnation);
        self.alive.insert(hold, (node, engine));
        if late {
            self.on_the_way.push((engine, hold));
        } else {
            self.engines[engine].reserve(hold);
        }
    }

    fn end(&mut self, index: usize) {
        let Some((hold, (node, engine))) = self
            .alive
            .iter()
            .nth(index)
            .map(|(hold, place)| (*hold, *place))
        else {
            return;
        };
        self.alive.remove(&hold);
        let now = self.now;
        self.nodes[node].ledger.end(hold, [name(engine)], now);
    }

    fn kill(&mut self, node: usize) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        self.alive.retain(|_, (owner, _)| *owner != node);
        self.nodes[node] = Node {
            incarnation,
            ledger: HoldLedger::default(),
            cut: self.nodes[node].cut,
            heard_ms: self.now,
        };
    }

    fn arrive(&mut self) {
        for (engine, hold) in std::mem::take(&mut self.on_the_way) {
            self.engines[engine].reserve(hold);
        }
    }

    fn wait(&mut self, ms: u64) {
        let end_ms = self.now.after(ms);
        while self.now < end_ms {
            self.now = self.now.after(TICK_MS);
            for node in &mut self.nodes {
                if !node.cut {
                    node.heard_ms = self.now;
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
                self.judge_listed();
                for engine in 0..ENGINES {
                    let holds = self.engines[engine].holds.iter().copied().collect();
                    self.judge(engine, holds);
                }
            }
        }
    }

    // Sends a cancel and returns whether its answer came.
    fn cancel(&mut self, engine: &str, hold: HoldId) -> bool {
        if self.loss == Loss::Cancels {
            return false;
        }
        if let Some((node, _)) = self.alive.get(&hold) {
            let silent_ms = self.now.since(self.nodes[*node].heard_ms);
            assert!(
                silent_ms >= SILENCE_MS + GRACE_MS - AUDIT_INTERVAL_MS,
                "a request alive lost its memory, its node was silent for {silent_ms} ms"
            );
        }
        self.engines[index(engine)].cancel(hold);
        self.loss != Loss::Answers
    }

    fn judge_listed(&mut self) {
        for (engine, holds) in std::mem::take(&mut self.listed) {
            self.judge(engine, holds);
        }
    }

    fn judge(&mut self, engine: usize, holds: Vec<HoldId>) {
        let owners: Vec<_> = holds
            .iter()
            .map(|hold| (*hold, self.owner(*hold)))
            .collect();
        for orphan in self.audits[engine].orphans(owners, GRACE_MS, self.now) {
            self.cancel(&name(engine), orphan);
        }
    }

    // What the coordinator knows of the node that made a hold.
    fn owner(&self, hold: HoldId) -> OwnerStatus {
        let node = self
            .nodes
            .iter()
            .find(|node| node.incarnation == hold.incarnation);
        match node {
            Some(node) if !node.cut && node.ledger.is_live(hold) => OwnerStatus::InUse,
            Some(node) if !node.cut => OwnerStatus::NotInUse,
            Some(node) if self.now.since(node.heard_ms) < SILENCE_MS => OwnerStatus::InUse,
            _ => OwnerStatus::Unreachable,
        }
    }

    fn settle(&mut self) {
        self.loss = Loss::None;
        for node in &mut self.nodes {
            node.cut = false;
        }
        self.arrive();
        // First without audits: nodes alone must free what they ended.
        self.next_audit_ms = self.now.after(RETRY_BOUND_MS + TICK_MS);
        self.wait(RETRY_BOUND_MS);
        for (number, engine) in self.engines.iter().enumerate() {
            for hold in &engine.holds {
                let has_owner = self
                    .nodes
                    .iter()
                    .any(|node| node.incarnation == hold.incarnation);
                assert!(
                    !has_owner || self.alive.contains_key(hold),
                    "engine {number} still holds {hold}, which its node ended"
                );
            }
        }
        self.wait(BOUND_MS);
        for (number, engine) in self.engines.iter().enumerate() {
            for hold in &engine.holds {
                assert!(
                    self.alive.get(hold).is_some_and(|(_, at)| *at == number),
                    "engine {number} still holds {hold} for nobody"
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
    type SystemUnderTest = World;
    type Reference = Machine;

    fn init_test(_state: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _state: &(), step: Step) -> World {
        match step {
            Step::Begin { node, engine, late } => world.begin(node, engine, late),
            Step::End { index } => world.end(index),
            Step::Arrive => world.arrive(),
            Step::Lose { loss } => world.loss = loss,
            Step::Kill { node } => world.kill(node),
            Step::Cut { node, cut } => world.nodes[node].cut = cut,
            Step::Crash { engine } => {
                world.engines[engine] = Engine::default();
                // A late reservation must not come back to life at the new process.
                world.on_the_way.retain(|(at, _)| *at != engine);
            }
            Step::MoveCoordinator => {
                world.audits = (0..ENGINES).map(|_| Audit::default()).collect();
                world.listed.clear();
            }
            Step::List { engine } => {
                let holds = world.engines[engine].holds.iter().copied().collect();
                world.listed.push((engine, holds));
            }
            Step::Wait { ms } => world.wait(ms),
            Step::Settle => world.settle(),
        }
        world
    }

    fn teardown(mut world: World, _state: ()) {
        world.settle();
    }
}

fn name(engine: usize) -> Arc<str> {
    format!("engine-{engine}").into()
}

fn index(name: &str) -> usize {
    name.trim_start_matches("engine-")
        .parse()
        .expect("names are made by this test")
}

prop_state_machine! {
    #![proptest_config(common::config(0x0068_6f6c_6473, 256))]

    #[test]
    fn memory_ends_with_its_request(sequential 1..60 => Machine);
}
