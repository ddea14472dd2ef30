//! Small requests must be able to use the capacity of an engine that is left free while a large
//! request waits for it, without starving the large one.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_core::reservations::EngineHold;
use dogwoodpier_core::reservations::EngineReservations;
use dogwoodpier_core::reservations::ReservationDecision;
use dogwoodpier_core::reservations::ReservationRequest;

const CAPACITY: EngineCapacity = EngineCapacity {
    sequences: 20,
    pieces: 1_000,
};
const START: TimeMs = TimeMs(1_000_000);
const DEADLINE_MS: u64 = 60_000;

fn hold(sequence: u64) -> HoldId {
    HoldId {
        incarnation: 7,
        sequence,
    }
}

fn reservation_request(sequence: u64, workspace: &str, pieces: u32) -> ReservationRequest {
    ReservationRequest {
        hold: hold(sequence),
        workspace: Arc::from(workspace),
        weight: 1,
        cost_tokens: Tokens(u64::from(pieces) * 16),
        capacity: EngineCapacity {
            sequences: 1,
            pieces,
        },
        deadline_ms: START.after(DEADLINE_MS),
        may_wait: true,
    }
}

#[test]
fn small_requests_bypass_a_blocked_one() {
    let mut engine = EngineReservations::new(CAPACITY);
    assert_eq!(
        engine.request(reservation_request(1, "tenders", 700), START),
        ReservationDecision::Reserved
    );
    assert_eq!(
        engine.request(reservation_request(2, "tenders", 700), START),
        ReservationDecision::Waiting
    );
    engine.grant(START);
    assert_eq!(
        engine.request(reservation_request(3, "order-desk", 50), START),
        ReservationDecision::Reserved
    );
    assert_eq!(
        engine.request(reservation_request(4, "order-desk", 50), START.after(100)),
        ReservationDecision::Reserved
    );
}

#[test]
fn blocked_request_is_not_starved() {
    let mut engine = EngineReservations::new(CAPACITY);
    engine.request(reservation_request(1, "tenders", 700), START);
    engine.request(reservation_request(2, "tenders", 700), START);
    engine.grant(START);
    let mut now = START;
    let mut last = ReservationDecision::Reserved;
    for sequence in 3..15 {
        now = now.after(100);
        // The blocked request keeps its place in the queue by being repeated.
        assert_eq!(
            engine.request(reservation_request(2, "tenders", 700), now),
            ReservationDecision::Waiting
        );
        last = engine.request(reservation_request(sequence, "order-desk", 10), now);
    }
    assert_eq!(
        last,
        ReservationDecision::Waiting,
        "small requests bypass the blocked one without limit"
    );
    engine.release(hold(1), now);
    assert_eq!(
        engine.request(reservation_request(2, "tenders", 700), now),
        ReservationDecision::Reserved
    );
}

#[test]
fn release_frees_a_hold_found_by_an_audit() {
    let mut engine = EngineReservations::new(CAPACITY);
    let reported = EngineHold {
        hold: hold(9),
        capacity: EngineCapacity {
            sequences: 1,
            pieces: 900,
        },
    };
    engine.reconcile(&[reported], START);
    assert_eq!(engine.free().pieces, 100);
    engine.release(hold(9), START);
    assert_eq!(engine.free(), CAPACITY);
}
