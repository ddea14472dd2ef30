//! The limit up to which engines are filled finds the memory that they really have.

use dogwoodpier_core::gateway::memory_limit::MemoryLimit;

const KV_TOKENS: u64 = 28_000;
const REQUEST: u64 = 3_000;
// Requests that are placed.
const ROUNDS: u64 = 4_000;

// Fills an engine that takes up to a part of its stated memory, one request after the other as room
// frees up. Returns the rejected ones in a hundred of the second half.
fn rejected_in_100(real_part: f64) -> f64 {
    let mut fill = MemoryLimit::default();
    let mut rejected = 0;
    for round in 0..ROUNDS {
        // Requests differ in size, so that engines are rarely filled to the brim.
        let held = fill.limit(KV_TOKENS) - round * 53 % 1_500;
        if held as f64 > KV_TOKENS as f64 * real_part {
            fill.record_rejected(held, KV_TOKENS);
            rejected += u64::from(round >= ROUNDS / 2);
        } else {
            fill.record_accepted();
        }
    }
    rejected as f64 * 100.0 / (ROUNDS / 2) as f64
}

#[test]
fn few_are_rejected() {
    for real_part in [0.95, 0.85, 0.7] {
        let rejected = rejected_in_100(real_part);
        assert!(rejected <= 5.0, "{rejected} in 100 at {real_part}");
    }
}

#[test]
fn whole_memory_is_used() {
    let mut fill = MemoryLimit::default();
    for _ in 0..20 {
        fill.record_rejected(KV_TOKENS, KV_TOKENS);
    }
    assert!(fill.limit(KV_TOKENS) < KV_TOKENS * 9 / 10);
    for _ in 0..1_000 {
        fill.record_accepted();
    }
    assert_eq!(fill.limit(KV_TOKENS), KV_TOKENS);
}

// An engine that rejects while it is nearly empty says nothing about the memory of the others.
#[test]
fn faulty_engine_is_no_sign() {
    let mut fill = MemoryLimit::default();
    for _ in 0..500 {
        fill.record_rejected(REQUEST, KV_TOKENS);
    }
    assert_eq!(fill.limit(KV_TOKENS), KV_TOKENS);
    for _ in 0..500 {
        fill.record_rejected(KV_TOKENS, KV_TOKENS);
    }
    assert_eq!(fill.limit(KV_TOKENS), KV_TOKENS / 2);
}
