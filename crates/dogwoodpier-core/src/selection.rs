//! Choice of engines by hints on their load.
//!
//! Hints lag behind, so a choice may be wrong. The coordinator and the engine make the final
//! decision. Random numbers are passed in and spread nodes with equal hints over equal engines.

use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::reservations::EngineCapacity;

const MS_PER_S: u64 = 1_000;
const PERMILLE: u64 = 1_000;
// Smaller load differences are not significant, because hints lag behind.
const LOAD_STEP_PERMILLE: u64 = 50;
const ESTIMATE_STEP_MS: u64 = 2;

/// What is known about a decode engine.
#[plain]
pub struct DecodeHint {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Capacity of the engine.
    pub capacity: EngineCapacity,
    /// Capacity that is presumably free.
    pub free: EngineCapacity,
    /// Estimated wait for a reservation if the engine is full.
    pub wait_ms: u64,
}

/// What is known about a prefill engine, for one prompt.
#[plain]
pub struct PrefillHint {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// Number of prompt tokens that are presumably queued there.
    pub queued_tokens: u64,
    /// Number of tokens of the prompt that are presumably in its prefix cache.
    pub cached_tokens: u64,
    /// Prefill speed, zero if unknown.
    pub tokens_per_s: u64,
    /// Time until its link is free for the transfer.
    pub link_wait_ms: u64,
}

/// Orders decode engines, best first: those with enough free capacity by load, then the others by
/// wait. Engines of known capacity that could never fit the request are left out.
pub fn rank_decode<F>(
    mut hints: Vec<DecodeHint>,
    required: EngineCapacity,
    mut random: F,
) -> Vec<DecodeHint>
where
    F: FnMut() -> u64,
{
    hints.retain(|hint| hint.capacity == EngineCapacity::default() || hint.capacity.fits(required));
    hints.sort_by_cached_key(|hint| {
        let full = !hint.free.fits(required);
        let step = if full {
            hint.wait_ms
        } else {
            load_permille(hint) / LOAD_STEP_PERMILLE
        };
        (full, step, random())
    });
    hints
}

/// Orders prefill engines by the estimated time until their result is transferred, shortest first.
pub fn rank_prefill<F>(
    mut hints: Vec<PrefillHint>,
    prompt_tokens: u64,
    mut random: F,
) -> Vec<PrefillHint>
where
    F: FnMut() -> u64,
{
    hints.sort_by_cached_key(|hint| {
        (
            estimate_prefill_ms(hint, prompt_tokens) / ESTIMATE_STEP_MS,
            random(),
        )
    });
    hints
}

/// Returns the estimated time until the result of a prefill engine is transferred.
pub fn estimate_prefill_ms(hint: &PrefillHint, prompt_tokens: u64) -> u64 {
    let missing_tokens = prompt_tokens.saturating_sub(hint.cached_tokens);
    let tokens = hint.queued_tokens + missing_tokens;
    // If the speed is unknown, the estimate is still proportional to the number of tokens.
    let compute_ms = tokens * MS_PER_S / hint.tokens_per_s.max(1);
    compute_ms.max(hint.link_wait_ms)
}

fn load_permille(hint: &DecodeHint) -> u64 {
    let share = |free: u32, all: u32| PERMILLE - u64::from(free) * PERMILLE / u64::from(all.max(1));
    share(
        hint.free.sequences.min(hint.capacity.sequences),
        hint.capacity.sequences,
    )
    .max(share(
        hint.free.pieces.min(hint.capacity.pieces),
        hint.capacity.pieces,
    ))
}
