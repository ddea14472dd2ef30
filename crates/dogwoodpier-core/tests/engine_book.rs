//! A coordinator's book fills the room that is left beside a large request, without starving it.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::reservations::Ask;
use dogwoodpier_core::reservations::EngineBook;
use dogwoodpier_core::reservations::Held;
use dogwoodpier_core::reservations::Room;
use dogwoodpier_core::reservations::Verdict;

const CAPACITY: Room = Room {
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

fn ask(sequence: u64, workspace: &str, pieces: u32) -> Ask {
    Ask {
        hold: hold(sequence),
        workspace: Arc::from(workspace),
        weight: 1,
        cost_tokens: Tokens(u64::from(pieces) * 16),
        room: Room {
            sequences: 1,
            pieces,
        },
        deadline_ms: START.after(LONG_MS),
        may_wait: true,
    }
}

#[test]
fn small_requests_pass_a_blocked_one() {
    let mut book = EngineBook::new(CAPACITY);
    assert_eq!(book.ask(ask(1, "tenders", 700), START), Verdict::Reserved);
    assert_eq!(book.ask(ask(2, "tenders", 700), START), Verdict::Waiting);
    book.grant(START);
    assert_eq!(book.ask(ask(3, "order-desk", 50), START), Verdict::Reserved);
    assert_eq!(
        book.ask(ask(4, "order-desk", 50), START.after(100)),
        Verdict::Reserved
    );
}

#[test]
fn a_blocked_request_is_not_starved() {
    let mut book = EngineBook::new(CAPACITY);
    book.ask(ask(1, "tenders", 700), START);
    book.ask(ask(2, "tenders", 700), START);
    book.grant(START);
    let mut now = START;
    let mut last = Verdict::Reserved;
    for sequence in 3..15 {
        now = now.after(100);
        // The asker keeps its place by asking.
        assert_eq!(book.ask(ask(2, "tenders", 700), now), Verdict::Waiting);
        last = book.ask(ask(sequence, "order-desk", 10), now);
    }
    assert_eq!(last, Verdict::Waiting, "small requests pass for ever");
    book.release(hold(1), now);
    assert_eq!(book.ask(ask(2, "tenders", 700), now), Verdict::Reserved);
}

#[test]
fn a_release_ends_what_an_audit_found() {
    let mut book = EngineBook::new(CAPACITY);
    let found = Held {
        hold: hold(9),
        room: Room {
            sequences: 1,
            pieces: 900,
        },
    };
    book.take_audit(&[found], START);
    assert_eq!(book.free().pieces, 100);
    book.release(hold(9), START);
    assert_eq!(book.free(), CAPACITY);
}
