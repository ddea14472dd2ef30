//! Steps of a test run and their relative frequencies.

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::ReferenceStateMachine;

use super::fleet::LOAN_MS;
use super::fleet::NODES;
use super::fleet::PROMISE_MS;
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
    Borrow {
        from: usize,
        to: usize,
        tokens: u64,
        as_broker: bool,
        at_once: bool,
    },
    Deliver {
        index: usize,
        repeat: bool,
    },
    Lose {
        index: usize,
    },
    ToggleLink {
        from: usize,
        to: usize,
    },
    ReturnLoans {
        node: usize,
        all: bool,
    },
    TogglePause {
        node: usize,
    },
    Renew {
        node: usize,
    },
    RenewAll,
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
        at_once: bool,
    },
    ChangeLimit {
        rate: u64,
        burst: u64,
        everywhere: bool,
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
    // True if limits change during the run, in which case the oracle's bound is looser.
    type State = bool;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<bool> {
        proptest::bool::weighted(0.3).boxed()
    }

    fn transitions(limits_change: &bool) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let slot = 0..SLOTS;
        let flag = proptest::bool::ANY;
        let wait_ms = prop_oneof![
            4 => 1_u64..50,
            4 => 50_u64..500,
            2 => 500_u64..PROMISE_MS + 50,
            1 => LOAN_MS - 150..LOAN_MS,
        ];
        let steps = prop_oneof![
            8 => wait_ms.prop_map(|ms| Step::Wait { ms }),
            4 => (node.clone(), 1_u64..40).prop_map(|(node, tokens)| Step::Admit { node, tokens }),
            3 => node.clone().prop_map(|node| Step::Drain { node }),
            3 => Just(Step::DrainAll),
            6 => (0_usize..4, prop_oneof![Just(0), 0_u64..=100])
                .prop_map(|(index, percent)| Step::Settle { index, percent }),
            9 => (node.clone(), node.clone(), 1_u64..60, flag, flag).prop_map(
                |(from, to, tokens, as_broker, at_once)| Step::Borrow {
                    from,
                    to,
                    tokens,
                    as_broker,
                    at_once
                }
            ),
            14 => (0_usize..3, proptest::bool::weighted(0.2))
                .prop_map(|(index, repeat)| Step::Deliver { index, repeat }),
            1 => (0_usize..3).prop_map(|index| Step::Lose { index }),
            1 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::ToggleLink { from, to }),
            4 => (node.clone(), flag).prop_map(|(node, all)| Step::ReturnLoans { node, all }),
            1 => node.clone().prop_map(|node| Step::TogglePause { node }),
            2 => node.clone().prop_map(|node| Step::Renew { node }),
            3 => Just(Step::RenewAll),
            1 => slot.clone().prop_map(|slot| Step::RenewSlot { slot }),
            4 => (node.clone(), slot.clone())
                .prop_map(|(node, slot)| Step::Reclaim { node, slot }),
            3 => (node.clone(), slot, flag)
                .prop_map(|(to, slot, at_once)| Step::HandOver { to, slot, at_once }),
        ];
        let limit_steps = prop_oneof![
            (1_u64..300, 1_u64..120, flag).prop_map(|(rate, burst, everywhere)| {
                Step::ChangeLimit {
                    rate,
                    burst,
                    everywhere,
                }
            }),
            node.prop_map(|node| Step::ApplyLimit { node }),
        ];
        if *limits_change {
            prop_oneof![10 => steps, 1 => limit_steps].boxed()
        } else {
            steps.boxed()
        }
    }

    fn apply(state: bool, _: &Step) -> bool {
        state
    }
}
