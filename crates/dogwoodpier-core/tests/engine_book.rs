//! A coordinator's book fills the room that is left beside a large request, without starving it.

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
const LONG_MS: u64 = 60_000;

fn hold(sequence: u64) -> HoldId {
    HoldId {
        incarnation: 7,
        sequence,
    }
}

fn ask(sequence: u64, workspace: &str, pieces: u32) -> ReservationRequest {
    ReservationRequest {
        hold: hold(sequence),
        workspace: Arc::from(workspace),
        weight: 1,
        cost_tokens: Tokens(u64::from(pieces) * 16),
        capacity: EngineCapacity {
            sequences: 1,
            pieces,
        },
        deadline_ms: START.after(LONG_MS),
        may_wait: true,
    }
}

#[test]
fn small_requests_pass_a_blocked_one() {
    let mut book = EngineReservations::new(CAPACITY);
    assert_eq!(
        book.request(ask(1, "tenders", 700), START),
        ReservationDecision::Reserved
    );
    assert_eq!(
        book.request(ask(2, "tenders", 700), START),
        ReservationDecision::Waiting
    );
    book.grant(START);
    assert_eq!(
        book.request(ask(3, "order-desk", 50), START),
        ReservationDecision::Reserved
    );
    assert_eq!(
        book.request(ask(4, "order-desk", 50), START.after(100)),
        ReservationDecision::Reserved
    );
}

#[test]
fn a_blocked_request_is_not_starved() {
    let mut book = EngineReservations::new(CAPACITY);
    book.request(ask(1, "tenders", 700), START);
    book.request(ask(2, "tenders", 700), START);
    book.grant(START);
    let mut now = START;
    let mut last = ReservationDecision::Reserved;
    for sequence in 3..15 {
        now = now.after(100);
        // The asker keeps its place by asking.
        assert_eq!(
            book.request(ask(2, "tenders", 700), now),
            ReservationDecision::Waiting
        );
        last = book.request(ask(sequence, "order-desk", 10), now);
    }
    assert_eq!(
        last,
        ReservationDecision::Waiting,
        "small requests pass for ever"
    );
    book.release(hold(1), now);
    assert_eq!(
        book.request(ask(2, "tenders", 700), now),
        ReservationDecision::Reserved
    );
}

#[test]
fn a_release_ends_what_an_audit_found() {
    let mut book = EngineReservations::new(CAPACITY);
    let found = EngineHold {
        hold: hold(9),
        capacity: EngineCapacity {
            sequences: 1,
            pieces: 900,
        },
    };
    book.reconcile(&[found], START);
    assert_eq!(book.free().pieces, 100);
    book.release(hold(9), START);
    assert_eq!(book.free(), CAPACITY);
}
