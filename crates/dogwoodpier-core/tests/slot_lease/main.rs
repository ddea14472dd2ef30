//! One node at most acts on a slot at any time, and a slot that lost its holder is soon held again.

#[path = "../common/clock.rs"]
mod clock;
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
fn dead_holders_slots_go_to_the_standby() {
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
fn next_life_of_the_standby_claims_after_the_longest_promise() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    for node in 0..NODES {
        fleet.kill(node);
    }
    // Two of three come back: each slot's holder or standby is among them.
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

// The successor hears of a hand-over long after it took effect; others may have waited since then.
#[test]
fn late_news_of_a_hand_over_starts_no_longer_lease() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    let [_, to, other] = fleet.nodes_from_actor(0);
    fleet.apply(Step::HandOver { to, slot: 0 });
    fleet.deliver_all();
    fleet.apply(Step::Read {
        node: other,
        is_watch: false,
    });
    fleet.deliver_all();
    fleet.apply(Step::Wait { ms: 10_000 });
    fleet.apply(Step::Read {
        node: to,
        is_watch: true,
    });
    fleet.deliver_all();
    fleet.apply(Step::Wait { ms: 50_200 });
    fleet.apply(Step::Beat { node: to });
    fleet.deliver_all();
    fleet.check();
    fleet.apply(Step::Plan {
        node: other,
        members: 0,
    });
    fleet.deliver_all();
    fleet.check();
    assert!(fleet.held_by(other) > 0);
}

// A write that names another standby took effect, but its answer is lost.
#[test]
fn holder_needs_the_promise_of_an_standby_that_may_be_named() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    let [holder, first, second] = fleet.nodes_from_actor(0);
    let (standby, next) = if fleet.is_standby(0, first) {
        (first, second)
    } else {
        (second, first)
    };
    let only_next = 1 << next;
    for _ in 0..2 {
        fleet.apply(Step::Plan {
            node: holder,
            members: only_next,
        });
        fleet.arrive_unanswered();
        fleet.apply(Step::Doubt { node: holder });
        fleet.apply(Step::Beat { node: holder });
        fleet.deliver_all();
    }
    assert!(fleet.is_standby(0, next) && !fleet.is_standby(0, standby));
    fleet.apply(Step::Read {
        node: next,
        is_watch: false,
    });
    fleet.deliver_all();
    fleet.apply(Step::Pause { node: next });
    for _ in 0..5 {
        fleet.apply(Step::Wait { ms: 1_000 });
        fleet.apply(Step::Beat { node: holder });
        fleet.deliver_all();
        fleet.check();
    }
    fleet.apply(Step::Pause { node: next });
    fleet.apply(Step::Plan {
        node: next,
        members: 0,
    });
    fleet.deliver_all();
    fleet.check();
    assert!(fleet.held_by(next) > 0);
}

// A hand-over that is given up may still take effect.
#[test]
fn holder_stays_stopped_while_a_hand_over_is_in_doubt() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    let [from, to, _] = fleet.nodes_from_actor(0);
    fleet.apply(Step::HandOver { to, slot: 0 });
    fleet.apply(Step::Doubt { node: from });
    fleet.check();
    fleet.arrive_unanswered();
    for _ in 0..2 {
        fleet.apply(Step::Read {
            node: to,
            is_watch: false,
        });
        fleet.deliver_all();
        fleet.apply(Step::Plan {
            node: to,
            members: 1 << from,
        });
        fleet.apply(Step::Beat { node: to });
        fleet.deliver_all();
        fleet.check();
    }
    assert!(fleet.acts(to, 0));
}
