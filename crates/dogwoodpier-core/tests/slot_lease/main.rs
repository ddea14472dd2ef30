//! Checks that at most one node acts on a slot at any time, and that a slot whose holder is gone soon
//! has a holder again.

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
    assert_eq!(fleet.held_by_all(), SLOTS);
    fleet.kill(0);
    fleet.run_healthy(2 * PROMISE_MS);
    assert_eq!(fleet.held_by_all(), SLOTS);
}

#[test]
fn restarted_fleet_holds_all_slots_within_two_seconds() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    for node in 0..NODES {
        fleet.kill(node);
    }
    for node in 0..NODES {
        fleet.start(node);
    }
    fleet.run_healthy(2_000);
    assert_eq!(fleet.held_by_all(), SLOTS);
}

#[test]
fn next_incarnation_of_the_standby_claims_after_the_longest_promise() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    for node in 0..NODES {
        fleet.kill(node);
    }
    // Two of three nodes restart, so the holder or the standby of each slot is among them.
    fleet.start(0);
    fleet.start(1);
    fleet.run_healthy(15_000);
    assert_eq!(fleet.held_by_all(), SLOTS);
}

#[test]
fn single_node_holds_all_slots_and_hands_one_over_to_a_new_node() {
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
    fleet.apply(Step::ToggleOutage);
    fleet.run_healthy(50_000);
    assert_eq!(fleet.held_by_all(), SLOTS);
}

// The successor learns of a hand-over long after it took effect. Its lease must not count from that
// time, since other nodes may have waited for the long lease since the hand-over.
#[test]
fn late_notice_of_a_hand_over_does_not_extend_the_lease() {
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
    fleet.apply(Step::Heartbeat { node: to });
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

// A write that names another standby takes effect, but its answer is lost.
#[test]
fn holder_needs_the_promise_of_a_standby_that_a_pending_write_names() {
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
        fleet.apply_writes_without_answers();
        fleet.apply(Step::TimeOutWrites { node: holder });
        fleet.apply(Step::Heartbeat { node: holder });
        fleet.deliver_all();
    }
    assert!(fleet.is_standby(0, next) && !fleet.is_standby(0, standby));
    fleet.apply(Step::Read {
        node: next,
        is_watch: false,
    });
    fleet.deliver_all();
    fleet.apply(Step::TogglePause { node: next });
    for _ in 0..5 {
        fleet.apply(Step::Wait { ms: 1_000 });
        fleet.apply(Step::Heartbeat { node: holder });
        fleet.deliver_all();
        fleet.check();
    }
    fleet.apply(Step::TogglePause { node: next });
    fleet.apply(Step::Plan {
        node: next,
        members: 0,
    });
    fleet.deliver_all();
    fleet.check();
    assert!(fleet.held_by(next) > 0);
}

// A hand-over whose write timed out may still take effect.
#[test]
fn holder_stays_stopped_while_a_hand_over_is_undecided() {
    let mut fleet = Fleet::new();
    fleet.run_healthy(5_000);
    let [from, to, _] = fleet.nodes_from_actor(0);
    fleet.apply(Step::HandOver { to, slot: 0 });
    fleet.apply(Step::TimeOutWrites { node: from });
    fleet.check();
    fleet.apply_writes_without_answers();
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
        fleet.apply(Step::Heartbeat { node: to });
        fleet.deliver_all();
        fleet.check();
    }
    assert!(fleet.acts(to, 0));
}
