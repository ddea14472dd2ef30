//! A withdrawn key must stop working everywhere within a bound, also on nodes that are cut off. An
//! outage of the platform for all nodes must not stop valid keys.
//!
//! Each version withdraws a key. The oracle is the time at which each version was accepted. Cuts
//! never separate a majority of the nodes from a running platform, because the nodes can't
//! distinguish that case from an outage.

mod common;
mod config_fleet;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::freshness::Freshness;
use dogwoodpier_core::freshness::KeyValidity;
use dogwoodpier_core::freshness::VersionReport;
use dogwoodpier_core::versions::Versions;

use self::config_fleet::Fleet;
use self::config_fleet::LIMIT_MS;
use self::config_fleet::NODES;
use self::config_fleet::OPERATORS;
use self::config_fleet::Step;

const SEED: u64 = 0x66_7265_7368;

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
            6 => operator().prop_map(Step::Apply),
            3 => any::<bool>().prop_map(Step::Outage),
            1 => any::<bool>().prop_map(Step::OutdatedReads),
            1 => node().prop_map(Step::Replace),
            4 => (node(), any::<bool>()).prop_map(|(node, cut)| Step::CutPlatform(node, cut)),
            2 => node().prop_map(Step::CutAll),
            2 => node().prop_map(Step::RestoreAll),
            2 => (node(), node(), any::<bool>()).prop_map(|(a, b, cut)| Step::CutPeer(a, b, cut)),
            1 => (node(), 0..1_500_u64).prop_map(|(node, ms)| Step::Slow(node, ms)),
            1 => node().prop_map(|node| Step::Slow(node, 0)),
            4 => node().prop_map(|node| Step::Pause(node, true)),
            6 => node().prop_map(|node| Step::Pause(node, false)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct KeyFreshness;

impl StateMachineTest for KeyFreshness {
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
    fn withdrawn_keys_stop_within_the_bound(sequential 1..100 => KeyFreshness);
}

#[test]
fn keys_are_stale_in_an_outage_if_a_newer_version_is_known() {
    let mut versions = Versions::default();
    let mut freshness = Freshness::new(LIMIT_MS, LIMIT_MS);
    versions.activate(1);
    let now = TimeMs(100_000);
    for peer in ["node-1", "node-2"] {
        freshness.handle_outage_report(peer, true, now);
    }
    freshness.review(NODES - 1, now);
    assert_eq!(freshness.key_validity(&versions, now), KeyValidity::Outage);
    versions.observe(2);
    assert_eq!(freshness.key_validity(&versions, now), KeyValidity::Stale);
}

#[test]
fn keys_of_a_single_node_turn_stale_in_an_outage() {
    let mut versions = Versions::default();
    let mut freshness = Freshness::new(LIMIT_MS, LIMIT_MS);
    versions.activate(1);
    let now = TimeMs(100_000);
    let report = VersionReport {
        version: 1,
        contact_ms: now,
    };
    freshness.handle_version_report(report, &mut versions);
    freshness.review(0, now);
    assert_eq!(freshness.key_validity(&versions, now), KeyValidity::Fresh);
    let later = now.after(LIMIT_MS + 1);
    freshness.review(0, later);
    assert_eq!(freshness.key_validity(&versions, later), KeyValidity::Stale);
}
