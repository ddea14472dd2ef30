//! An accepted configuration must be in force everywhere within seconds and must never revert.
//!
//! Operators race, reads are outdated, answers arrive late, peers relay versions, and processes
//! pause and are replaced. The oracle is the list of accepted versions.

mod common;
mod config_fleet;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::config_fleet::Fleet;
use self::config_fleet::NODES;
use self::config_fleet::OPERATORS;
use self::config_fleet::Step;

const SEED: u64 = 0x636f_6e66_6967;

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        let operator = || 0..OPERATORS;
        let wait = || {
            let waits = prop_oneof![Just(50), Just(300), Just(1_000), Just(3_200), Just(10_000)];
            waits.prop_map(Step::Wait)
        };
        prop_oneof![
            10 => wait(),
            6 => operator().prop_map(Step::Read),
            8 => operator().prop_map(Step::Apply),
            2 => any::<bool>().prop_map(Step::Outage),
            2 => any::<bool>().prop_map(Step::OutdatedReads),
            2 => (node(), any::<bool>()).prop_map(|(node, cut)| Step::CutPlatform(node, cut)),
            2 => (node(), node(), any::<bool>()).prop_map(|(a, b, cut)| Step::CutPeer(a, b, cut)),
            1 => (node(), 0..1_500_u64).prop_map(|(node, ms)| Step::Slow(node, ms)),
            1 => node().prop_map(|node| Step::Slow(node, 0)),
            2 => node().prop_map(|node| Step::Pause(node, true)),
            4 => node().prop_map(|node| Step::Pause(node, false)),
            1 => node().prop_map(Step::Replace),
            1 => node().prop_map(Step::CutAll),
            1 => node().prop_map(Step::RestoreAll),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct ConfigVersions;

impl StateMachineTest for ConfigVersions {
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
    #![proptest_config(common::config(SEED, 256))]
    #[test]
    fn versions_never_revert(sequential 1..100 => ConfigVersions);
}
