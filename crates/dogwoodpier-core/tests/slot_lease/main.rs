//! One node at most acts on a slot at any time, and a slot that lost its holder is soon held again.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod steps;

use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use fleet::Fleet;
use fleet::NODES;
use fleet::PROMISE_MS;
use fleet::SLOTS;
use steps::Step;
use steps::Steps;

struct SlotLease;

impl StateMachineTest for SlotLease {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test(_: &()) -> Fleet {
        let mut fleet = Fleet::new();
        fleet.run_healthy(2_000);
        fleet
    }

    fn apply(mut fleet: Fleet, _: &(), step: Step) -> Fleet {
        fleet.apply(step);
        fleet.check();
        fleet
    }
}

prop_state_machine! {
    #![proptest_config(common::config(4_002, 512))]

    #[test]
    fn one_node_at_most_acts_on_a_slot(sequential 20..120 => SlotLease);
}

#[test]
fn dead_holders_slots_go_to_the_heir() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    assert_eq!(fleet.held_by_anybody(), SLOTS);
    fleet.kill(0);
    fleet.run_healthy(2 * PROMISE_MS);
    assert_eq!(fleet.held_by_anybody(), SLOTS);
}

#[test]
fn restarted_fleet_is_back_in_seconds() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    for node in 0..NODES {
        fleet.kill(node);
    }
    for node in 0..NODES {
        fleet.start(node);
    }
    fleet.run_healthy(2_000);
    assert_eq!(fleet.held_by_anybody(), SLOTS);
}

#[test]
fn next_life_of_the_heir_claims_after_the_longest_promise() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    for node in 0..NODES {
        fleet.kill(node);
    }
    // Two of three come back: each slot's holder or heir is among them.
    fleet.start(0);
    fleet.start(1);
    fleet.run_healthy(15_000);
    assert_eq!(fleet.held_by_anybody(), SLOTS);
}

#[test]
fn node_alone_holds_all_slots_and_shares_them() {
    let mut fleet = Fleet::new();
    fleet.kill(1);
    fleet.kill(2);
    fleet.run_healthy(10_000);
    assert_eq!(fleet.held_by(0), SLOTS);
    fleet.start(1);
    fleet.run_healthy(2_000);
    fleet.apply(Step::HandOver { to: 1, slot: 0 });
    fleet.run_healthy(3_000);
    assert_eq!(fleet.held_by(1), 1);
    assert_eq!(fleet.held_by(0), SLOTS - 1);
}

#[test]
fn holders_act_through_an_outage_of_the_platform() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(10_000);
    fleet.apply(Step::Outage);
    fleet.run_healthy(50_000);
    assert_eq!(fleet.held_by_anybody(), SLOTS);
}
