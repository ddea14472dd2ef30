//! Checks that no workspace gets more than its rate and burst, summed over all nodes, under faults.
//!
//! A few accounts exchange loans and slots over a network that delays, loses, repeats and reorders
//! messages. The oracle sums the consumed tokens: in every interval at most burst + rate * interval.

#[path = "../common/clock.rs"]
mod clock;
#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod oracle;
mod steps;

use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::fleet::BURST_TOKENS;
use self::fleet::DRIFTS_PPM;
use self::fleet::Fleet;
use self::fleet::HOUR_MS;
use self::fleet::NODES;
use self::steps::Step;
use self::steps::Steps;
use dogwoodpier_core::escrow::share;

struct RateEscrow;

impl StateMachineTest for RateEscrow {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test(_: &bool) -> Fleet {
        // The rate fills the burst in a quarter of a second, so that buckets soon reach their cap.
        Fleet::new(DRIFTS_PPM, 240)
    }

    fn apply(mut fleet: Fleet, _: &bool, step: Step) -> Fleet {
        fleet.apply(step);
        fleet.check();
        fleet
    }
}

proptest! {
    #![proptest_config(common::config(4_003, 512))]

    // While nodes apply two versions of a limit, no floor may exceed that of the larger limit.
    #[test]
    fn floors_sum_to_the_limit_and_grow_with_it(
        total in 0_u64..10_000,
        slot_count in 1_u32..200,
    ) {
        let floor = |total| (0..slot_count).map(move |slot| share(total, slot, slot_count));
        prop_assert_eq!(floor(total).sum::<u64>(), total);
        prop_assert!(floor(total).zip(floor(total + 1)).all(|(now, then)| now <= then));
    }
}

// The platform is down, so no slots are claimed or handed over, but promises and loans continue under
// a load of several times the rate. All clocks are as fast as the allowed drift permits.
#[test]
fn limit_holds_through_an_hour_of_outage() {
    const ROUND_MS: u64 = 400;
    const RATE_TOKENS_PER_S: u64 = 60;
    let mut fleet = Fleet::new([1_000; NODES], RATE_TOKENS_PER_S);
    fleet.drain(0);
    for round in 0..HOUR_MS / ROUND_MS {
        fleet.true_ms += ROUND_MS;
        for node in 0..NODES {
            fleet.renew(node);
            fleet.return_loans(node, false);
        }
        let borrower = round as usize % NODES;
        for to in 0..NODES {
            fleet.apply(Step::Borrow {
                from: borrower,
                to,
                tokens: BURST_TOKENS,
                as_broker: false,
                at_once: false,
            });
        }
        while !fleet.network.is_empty() {
            fleet.deliver(0, false);
        }
        (0..NODES).for_each(|node| fleet.drain(node));
    }
    fleet.check();
    let consumed: u64 = fleet.requests.iter().map(|request| request.tokens).sum();
    // At least 98 % of the rate must be used, too.
    assert!(
        consumed * 100 > HOUR_MS / 1_000 * RATE_TOKENS_PER_S * 98,
        "{consumed} tokens consumed"
    );
}

prop_state_machine! {
    #![proptest_config(common::config(4_001, 1_024))]

    #[test]
    fn consumed_tokens_stay_within_rate_and_burst(sequential 20..120 => RateEscrow);
}

// The lender's right to its slots ends and another node claims them before the requested validity of
// the loan is over.
#[test]
fn loan_ends_before_the_lenders_right_to_its_slots() {
    let mut fleet = Fleet::new(DRIFTS_PPM, 240);
    fleet.apply(Step::Wait { ms: 2_500 });
    fleet.apply(Step::Renew { node: 1 });
    fleet.apply(Step::Renew { node: 2 });
    fleet.apply(Step::Borrow {
        from: 1,
        to: 0,
        tokens: 20,
        as_broker: false,
        at_once: true,
    });
    fleet.apply(Step::Wait { ms: 510 });
    fleet.apply(Step::Reclaim { node: 2, slot: 0 });
    fleet.apply(Step::Reclaim { node: 2, slot: 3 });
    fleet.apply(Step::Wait { ms: 300 });
    fleet.check();
    assert!(fleet.spendable(2) >= 30, "the slots were claimed");
}

// Tokens that a lender accrues while a loan fills its cap are lost, also if its bucket is only advanced
// after the end of the loan.
#[test]
fn lender_accrues_nothing_above_its_cap_while_a_loan_is_outstanding() {
    let mut fleet = Fleet::new(DRIFTS_PPM, 240);
    fleet.apply(Step::Borrow {
        from: 1,
        to: 0,
        tokens: 20,
        as_broker: false,
        at_once: true,
    });
    assert!(fleet.spendable(1) >= 30, "the loan was granted");
    fleet.apply(Step::Wait { ms: 1_980 });
    fleet.apply(Step::RenewAll);
    fleet.apply(Step::DrainAll);
    fleet.apply(Step::Wait { ms: 40 });
    fleet.check();
}

// A claimed slot raises its new holder's cap from the claim on, not for tokens accrued before.
#[test]
fn claimed_slot_adds_no_accrual_from_before_the_claim() {
    let mut fleet = Fleet::new(DRIFTS_PPM, 240);
    fleet.apply(Step::Wait { ms: 2_980 });
    fleet.apply(Step::Renew { node: 1 });
    fleet.apply(Step::Renew { node: 2 });
    fleet.apply(Step::Drain { node: 0 });
    fleet.apply(Step::Wait { ms: 25 });
    fleet.apply(Step::Reclaim { node: 1, slot: 0 });
    fleet.apply(Step::Wait { ms: 3 });
    fleet.check();
    assert_eq!(fleet.spendable(0), 0, "the first holder's right has ended");
}

// Two requests refund their unused tokens, but the bucket had room for one refund only.
#[test]
fn refunds_share_the_room_of_the_bucket() {
    let mut fleet = Fleet::new([0; NODES], 240);
    for _ in 0..2 {
        fleet.apply(Step::Admit {
            node: 0,
            tokens: 10,
        });
    }
    fleet.apply(Step::Wait { ms: 130 });
    fleet.apply(Step::Drain { node: 0 });
    for index in [2, 1] {
        fleet.apply(Step::Settle { index, percent: 0 });
        fleet.check();
    }
    assert!(fleet.spendable(0) >= 9, "one refund fits into the bucket");
}

// A hand-over carries a level from before the limit was reduced.
#[test]
fn handed_over_level_is_within_the_floor_of_the_new_limit() {
    let mut fleet = Fleet::new([0; NODES], 240);
    fleet.apply(Step::HandOver {
        to: 1,
        slot: 0,
        at_once: false,
    });
    fleet.apply(Step::ChangeLimit {
        rate: 1,
        burst: 5,
        everywhere: true,
    });
    fleet.apply(Step::Wait { ms: 2_001 });
    fleet.apply(Step::DrainAll);
    fleet.apply(Step::Deliver {
        index: 0,
        repeat: false,
    });
    fleet.check();
}
