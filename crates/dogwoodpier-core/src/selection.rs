//! Choice of engines from hints.
//!
//! Hints lag, so the choice need not be right: the coordinator and the engine decide. Randomness is
//! passed in and spreads nodes with equal hints over equal engines.

use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::reservations::EngineCapacity;

const MS_PER_S: u64 = 1_000;
const PERMILLE: u64 = 1_000;
// Load differences below this are noise to a lagging hint.
const LOAD_STEP_PERMILLE: u64 = 50;
const PRICE_STEP_MS: u64 = 2;

/// What is known of a decode engine.
#[plain]
pub struct DecodeHint {
    /// Name.
    pub engine: Arc<str>,
    /// Size.
    pub capacity: EngineCapacity,
    /// Room presumed free.
    pub free: EngineCapacity,
    /// Estimated wait for a reservation if the engine is full.
    pub wait_ms: u64,
}

/// What is known of a prefill engine, for one prompt.
#[plain]
pub struct PrefillHint {
    /// Name.
    pub engine: Arc<str>,
    /// Prompt tokens presumed to wait there.
    pub queued_tokens: u64,
    /// Tokens of the prompt presumed in its prefix cache.
    pub cached_tokens: u64,
    /// Speed, zero if unknown.
    pub tokens_per_s: u64,
    /// Time until its link is free for the transfer.
    pub link_wait_ms: u64,
}

/// Orders decode engines, best first: those with room by load, then the others by wait.
pub fn rank_decode<F>(
    mut hints: Vec<DecodeHint>,
    room: EngineCapacity,
    mut draw: F,
) -> Vec<DecodeHint>
where
    F: FnMut() -> u64,
{
    hints.retain(|hint| hint.capacity == EngineCapacity::default() || hint.capacity.fits(room));
    hints.sort_by_cached_key(|hint| {
        let full = !hint.free.fits(room);
        let step = if full {
            hint.wait_ms
        } else {
            load_permille(hint) / LOAD_STEP_PERMILLE
        };
        (full, step, draw())
    });
    hints
}

/// Orders prefill engines by the time to a transferred result, shortest first.
pub fn rank_prefill<F>(
    mut hints: Vec<PrefillHint>,
    prompt_tokens: u64,
    mut draw: F,
) -> Vec<PrefillHint>
where
    F: FnMut() -> u64,
{
    hints.sort_by_cached_key(|hint| (price_ms(hint, prompt_tokens) / PRICE_STEP_MS, draw()));
    hints
}

/// Returns the estimated time to a transferred result.
pub fn price_ms(hint: &PrefillHint, prompt_tokens: u64) -> u64 {
    let missing_tokens = prompt_tokens.saturating_sub(hint.cached_tokens);
    let tokens = hint.queued_tokens + missing_tokens;
    // Without a known speed the order by tokens is still right.
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
