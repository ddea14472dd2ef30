//! Every workspace must receive its share of a full queue, whatever the others send.
//!
//! The oracle sums the service that each workspace received, divided by its weight, while two of
//! them wait. In every interval the sums of the two may differ by no more than one request of each.

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
use dogwoodpier_core::Tokens;
use dogwoodpier_core::fair_queue::FairQueue;
use dogwoodpier_core::fair_queue::Waiting;

const WORKSPACES: usize = 4;
const MAX_COST_TOKENS: u64 = 500;
const ROUNDING_TOKENS: f64 = 0.01;

#[derive(Clone, Debug)]
enum Step {
    /// A workspace sends a burst of equal requests.
    Push {
        workspace: usize,
        cost_tokens: u64,
        deadline_ms: u64,
        count: usize,
    },
    /// The engine serves some requests.
    Serve { count: usize },
    /// All callers of a workspace cancel their requests.
    CancelAll { workspace: usize },
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = [u32; WORKSPACES];
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        proptest::array::uniform4(1..5_u32).boxed()
    }

    fn transitions(_weights: &Self::State) -> BoxedStrategy<Step> {
        prop_oneof![
            5 => (0..WORKSPACES, 1..=MAX_COST_TOKENS, 0..1_000_u64, 1..12_usize).prop_map(
                |(workspace, cost_tokens, deadline_ms, count)| Step::Push {
                    workspace,
                    cost_tokens,
                    deadline_ms,
                    count
                }
            ),
            5 => (1..10_usize).prop_map(|count| Step::Serve { count }),
            1 => (0..WORKSPACES).prop_map(|workspace| Step::CancelAll { workspace }),
            1 => Just(Step::Serve { count: 200 }),
        ]
        .boxed()
    }

    fn apply(weights: Self::State, _step: &Step) -> Self::State {
        weights
    }
}

/// Lead in weighted service of one workspace over another since both began to wait, with its
/// extremes.
#[derive(Clone, Copy, Default)]
struct Lead {
    now: f64,
    min: f64,
    max: f64,
}

struct Engine {
    weights: [u32; WORKSPACES],
    queue: FairQueue<u64>,
    next_item: u64,
    // Deadlines of the waiting requests, by workspace and item.
    waiting: [BTreeMap<u64, TimeMs>; WORKSPACES],
    leads: BTreeMap<(usize, usize), Lead>,
    served: BTreeSet<u64>,
}

impl Engine {
    fn push(&mut self, workspace: usize, cost_tokens: u64, deadline_ms: u64) {
        let item = self.next_item;
        self.next_item += 1;
        let deadline_ms = TimeMs(deadline_ms);
        self.waiting[workspace].insert(item, deadline_ms);
        self.queue.push(Waiting {
            workspace: name(workspace),
            weight: self.weights[workspace],
            cost_tokens: Tokens(cost_tokens),
            deadline_ms,
            item,
        });
        self.remove_leads_without_waiting();
    }

    fn serve(&mut self) {
        let expected = self.queue.peek().map(|next| next.item);
        let Some(served) = self.queue.pop() else {
            assert!(self.waiting.iter().all(BTreeMap::is_empty));
            return;
        };
        assert_eq!(Some(served.item), expected);
        let workspace = index(&served.workspace);
        let earliest = self.waiting[workspace].values().min();
        assert_eq!(
            Some(&served.deadline_ms),
            earliest,
            "the request served is not the one with the earliest deadline"
        );
        assert!(self.served.insert(served.item), "request served twice");
        let share = served.cost_tokens.0 as f64 / f64::from(self.weights[workspace]);
        for other in 0..WORKSPACES {
            if other != workspace && !self.waiting[other].is_empty() {
                self.update_lead(workspace, other, share);
            }
        }
        self.waiting[workspace].remove(&served.item);
        self.remove_leads_without_waiting();
    }

    fn update_lead(&mut self, workspace: usize, other: usize, share: f64) {
        let (pair, change) = if workspace < other {
            ((workspace, other), share)
        } else {
            ((other, workspace), -share)
        };
        let lead = self.leads.entry(pair).or_default();
        lead.now += change;
        lead.min = lead.min.min(lead.now);
        lead.max = lead.max.max(lead.now);
    }

    fn cancel_all(&mut self, workspace: usize) {
        let name = name(workspace);
        let removed = self.queue.remove_where(|waiting| waiting.workspace == name);
        assert_eq!(removed.len(), self.waiting[workspace].len());
        self.waiting[workspace].clear();
        self.remove_leads_without_waiting();
    }

    fn remove_leads_without_waiting(&mut self) {
        let waiting = &self.waiting;
        self.leads
            .retain(|(one, other), _| !waiting[*one].is_empty() && !waiting[*other].is_empty());
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Engine;
    type Reference = Machine;

    fn init_test(weights: &[u32; WORKSPACES]) -> Engine {
        Engine {
            weights: *weights,
            queue: FairQueue::default(),
            next_item: 0,
            waiting: std::array::from_fn(|_| BTreeMap::new()),
            leads: BTreeMap::new(),
            served: BTreeSet::new(),
        }
    }

    fn apply(mut engine: Engine, _weights: &[u32; WORKSPACES], step: Step) -> Engine {
        match step {
            Step::Push {
                workspace,
                cost_tokens,
                deadline_ms,
                count,
            } => {
                for _ in 0..count {
                    engine.push(workspace, cost_tokens, deadline_ms);
                }
            }
            Step::Serve { count } => {
                for _ in 0..count {
                    engine.serve();
                }
            }
            Step::CancelAll { workspace } => engine.cancel_all(workspace),
        }
        engine
    }

    fn check_invariants(engine: &Engine, _weights: &[u32; WORKSPACES]) {
        let waiting: usize = engine.waiting.iter().map(BTreeMap::len).sum();
        assert_eq!(engine.queue.len(), waiting);
        for ((one, other), lead) in &engine.leads {
            let largest =
                |workspace: &usize| MAX_COST_TOKENS as f64 / f64::from(engine.weights[*workspace]);
            let bound = largest(one) + largest(other) + ROUNDING_TOKENS;
            let difference = lead.max - lead.min;
            assert!(
                difference <= bound,
                "workspaces {one} and {other} differ by {difference} in weighted service, more than {bound}"
            );
        }
    }
}

fn name(workspace: usize) -> Arc<str> {
    format!("workspace-{workspace}").into()
}

fn index(name: &str) -> usize {
    name.trim_start_matches("workspace-")
        .parse()
        .expect("workspace names are created by this test")
}

prop_state_machine! {
    #![proptest_config(common::config(0x6661_6972_5f71, 512))]

    #[test]
    fn service_follows_the_weights(sequential 1..60 => Machine);
}
