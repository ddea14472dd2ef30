//! Steps of a test run and their relative frequencies.

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;

use super::fleet::LONG_LEASE_MS;
use super::fleet::NODES;
use super::fleet::PROMISE_MS;
use super::fleet::SLOTS;

#[derive(Clone, Debug)]
pub enum Step {
    Wait { ms: u64 },
    RunHealthy { ms: u64 },
    Plan { node: usize, members: usize },
    Heartbeat { node: usize },
    Read { node: usize, is_watch: bool },
    Deliver { index: usize },
    Lose { index: usize },
    TimeOutWrites { node: usize },
    FailPlatformContact { node: usize },
    TogglePause { node: usize },
    Restart { node: usize },
    HandOver { to: usize, slot: u32 },
    ToggleOutage,
}

pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let wait_ms = prop_oneof![
            8 => 1_u64..200,
            8 => 200_u64..PROMISE_MS,
            4 => PROMISE_MS - 10..PROMISE_MS + 10,
            1 => LONG_LEASE_MS..LONG_LEASE_MS + 200,
        ];
        prop_oneof![
            8 => wait_ms.prop_map(|ms| Step::Wait { ms }),
            1 => (100_u64..2_000).prop_map(|ms| Step::RunHealthy { ms }),
            10 => (node.clone(), 0_usize..1 << NODES)
                .prop_map(|(node, members)| Step::Plan { node, members }),
            6 => node.clone().prop_map(|node| Step::Heartbeat { node }),
            6 => (node.clone(), proptest::bool::ANY)
                .prop_map(|(node, is_watch)| Step::Read { node, is_watch }),
            24 => (0_usize..6).prop_map(|index| Step::Deliver { index }),
            2 => (0_usize..6).prop_map(|index| Step::Lose { index }),
            3 => node.clone().prop_map(|node| Step::TimeOutWrites { node }),
            1 => node.clone().prop_map(|node| Step::FailPlatformContact { node }),
            2 => node.clone().prop_map(|node| Step::TogglePause { node }),
            1 => node.clone().prop_map(|node| Step::Restart { node }),
            3 => (node, 0..SLOTS).prop_map(|(to, slot)| Step::HandOver { to, slot }),
            1 => Just(Step::ToggleOutage),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}
