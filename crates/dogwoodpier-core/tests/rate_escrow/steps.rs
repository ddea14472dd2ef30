//! The steps that a run is made of, and how often each comes.

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;

use super::fleet::NODES;
use super::fleet::SLOTS;

#[derive(Clone, Debug)]
pub enum Step {
    Wait {
        ms: u64,
    },
    Admit {
        node: usize,
        tokens: u64,
    },
    Settle {
        index: usize,
        percent: u64,
    },
    Ask {
        from: usize,
        to: usize,
        tokens: u64,
        as_broker: bool,
    },
    Deliver {
        index: usize,
        repeat: bool,
    },
    Lose {
        index: usize,
    },
    Cut {
        from: usize,
        to: usize,
    },
    ReturnLoans {
        node: usize,
    },
    Pause {
        node: usize,
    },
    Renew {
        node: usize,
    },
    RenewSlot {
        slot: u32,
    },
    Reclaim {
        node: usize,
        slot: u32,
    },
    HandOver {
        to: usize,
        slot: u32,
    },
    ChangeLimit {
        rate: u64,
        burst: u64,
    },
    ApplyLimit {
        node: usize,
    },
    Drain {
        node: usize,
    },
    DrainAll,
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
        let slot = 0..SLOTS;
        prop_oneof![
            6 => prop_oneof![1_u64..50, 50_u64..500, 500_u64..3_200]
                .prop_map(|ms| Step::Wait { ms }),
            4 => (node.clone(), 1_u64..40).prop_map(|(node, tokens)| Step::Admit { node, tokens }),
            4 => node.clone().prop_map(|node| Step::Drain { node }),
            2 => Just(Step::DrainAll),
            4 => (0_usize..4, 0_u64..=100)
                .prop_map(|(index, percent)| Step::Settle { index, percent }),
            8 => (node.clone(), node.clone(), 1_u64..60, proptest::bool::ANY).prop_map(
                |(from, to, tokens, as_broker)| Step::Ask { from, to, tokens, as_broker }
            ),
            16 => (0_usize..3, proptest::bool::weighted(0.2))
                .prop_map(|(index, repeat)| Step::Deliver { index, repeat }),
            1 => (0_usize..3).prop_map(|index| Step::Lose { index }),
            1 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Cut { from, to }),
            4 => node.clone().prop_map(|node| Step::ReturnLoans { node }),
            1 => node.clone().prop_map(|node| Step::Pause { node }),
            4 => node.clone().prop_map(|node| Step::Renew { node }),
            2 => slot.clone().prop_map(|slot| Step::RenewSlot { slot }),
            4 => (node.clone(), slot.clone())
                .prop_map(|(node, slot)| Step::Reclaim { node, slot }),
            3 => (node.clone(), slot).prop_map(|(to, slot)| Step::HandOver { to, slot }),
            1 => (1_u64..60, 1_u64..120)
                .prop_map(|(rate, burst)| Step::ChangeLimit { rate, burst }),
            1 => node.prop_map(|node| Step::ApplyLimit { node }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}
