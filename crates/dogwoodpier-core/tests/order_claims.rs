//! Checks that orders with an idempotency key are dispatched at most once under failures of nodes,
//! network and platform.
//!
//! Three nodes share one slot. The platform's objects, the promises between holder and standby, and
//! lost, late, duplicated or reordered messages are modelled; the code that decides on claims is the
//! real one. The checks use the list of dispatches of each key.

mod claim_fleet;
mod common;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::claim_fleet::Fleet;
use self::claim_fleet::KEYS;
use self::claim_fleet::NODES;
use self::claim_fleet::PROMISE_MS;
use self::claim_fleet::Step;

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        let index = || 0..1_000_usize;
        prop_oneof![
            8 => Just(Step::Run),
            6 => Just(Step::Heal),
            4 => any::<bool>().prop_map(Step::FailOver),
            3 => any::<bool>().prop_map(Step::LoseCopies),
            12 => Just(Step::DeliverAnswers),
            12 => (0..KEYS, node()).prop_map(|(key, node)| Step::Request(key, node)),
            4 => (index(), node()).prop_map(|(attempt, to)| Step::RepeatRequest(attempt, to)),
            2 => index().prop_map(Step::Abandon),
            1 => index().prop_map(Step::Finish),
            10 => node().prop_map(Step::RunHolder),
            6 => index().prop_map(Step::Deliver),
            1 => index().prop_map(Step::Duplicate),
            1 => index().prop_map(Step::Lose),
            2 => node().prop_map(Step::Renew),
            2 => (node(), node()).prop_map(|(node, standby)| Step::ReplaceStandby(node, standby)),
            3 => node().prop_map(Step::TakeOver),
            2 => (any::<bool>(), any::<bool>())
                .prop_map(|(copied, written)| Step::HandOver(copied, written)),
            1 => node().prop_map(Step::Crash),
            1 => node().prop_map(Step::Pause),
            1 => node().prop_map(Step::Resume),
            1 => any::<bool>().prop_map(Step::Outage),
            1 => (node(), any::<bool>()).prop_map(|(node, cut_off)| Step::CutOff(node, cut_off)),
            4 => prop_oneof![Just(300), Just(1_100), Just(3_100), Just(6_000), Just(26_000)]
                .prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct OrderClaims;

impl StateMachineTest for OrderClaims {
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
    #![proptest_config(common::config(0x6f72_6465_7273, 256))]
    #[test]
    fn keys_are_dispatched_once(sequential 1..120 => OrderClaims);
}

// Runs the steps and returns the number of dispatches.
fn dispatches_after(steps: &[Step]) -> usize {
    let mut fleet = Fleet::new();
    steps.iter().for_each(|step| fleet.apply(step));
    fleet.dispatches.len()
}

#[test]
fn orders_are_dispatched_once_through_an_outage_and_a_crash_of_the_holder() {
    let mut fleet = Fleet::new();
    let steps = [
        Step::Run,
        Step::Outage(true),
        Step::Request(0, 2),
        Step::Run,
        Step::Crash(0),
        Step::Wait(PROMISE_MS + 100),
        Step::Outage(false),
        Step::TakeOver(1),
        Step::Run,
        // The same order is repeated, and a new one arrives.
        Step::Request(0, 2),
        Step::Request(1, 2),
        Step::Run,
    ];
    steps.iter().for_each(|step| fleet.apply(step));
    let keys: Vec<usize> = fleet.dispatches.iter().map(|dispatch| dispatch.0).collect();
    assert_eq!(keys, [0, 1]);
}

#[test]
fn orders_are_dispatched_without_a_standby_while_the_platform_answers() {
    let steps = [Step::Run, Step::Crash(1), Step::Request(0, 2), Step::Run];
    assert_eq!(dispatches_after(&steps), 1);
}

#[test]
fn orders_are_dispatched_once_across_a_hand_over() {
    let steps = [
        Step::Outage(false),
        Step::Request(0, 1),
        Step::Run,
        Step::HandOver(true, true),
        Step::Run,
        Step::Request(0, 1),
        Step::Request(1, 1),
        Step::Run,
    ];
    assert_eq!(dispatches_after(&steps), 2);
}

#[test]
fn no_claim_is_granted_while_a_successor_has_the_copies() {
    let frozen = [
        Step::Run,
        Step::Request(1, 1),
        Step::HandOver(true, false),
        Step::Request(0, 1),
        Step::Run,
    ];
    assert_eq!(dispatches_after(&frozen), 0);
    let next_version = [Step::ReplaceStandby(0, 2), Step::Request(0, 1), Step::Run];
    let steps = [&frozen[..], &next_version[..]].concat();
    assert_eq!(dispatches_after(&steps), 1);
}

#[test]
fn an_abandoned_attempt_frees_its_key() {
    let steps = [
        Step::Request(0, 1),
        Step::Deliver(0),
        Step::Abandon(0),
        Step::Run,
        Step::Request(0, 2),
        Step::Run,
    ];
    assert_eq!(dispatches_after(&steps), 1);
}
