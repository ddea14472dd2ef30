//! Floors: the fixed part of a limit that each slot owns.

use dogwoodpier_derive::plain;

use crate::Tokens;
use crate::TokensPerSecond;

use super::amount::MicroTokens;

/// Limit of a workspace over the whole fleet, and the number of slots that divide it.
#[plain]
#[derive(Copy, Eq, Default)]
pub struct Limit {
    /// Sustained rate.
    pub rate_tokens_per_s: TokensPerSecond,
    /// Maximum number of tokens at once.
    pub burst_tokens: Tokens,
    /// Number of slots of the fleet.
    pub slot_count: u32,
}

impl Limit {
    /// Returns the part of the rate that a slot owns, in tokens a second.
    pub fn rate_floor(&self, slot: u32) -> u64 {
        share(self.rate_tokens_per_s.0, slot, self.slot_count)
    }

    /// Returns the part of the burst that a slot owns.
    pub fn burst_floor(&self, slot: u32) -> MicroTokens {
        Tokens(share(self.burst_tokens.0, slot, self.slot_count)).into()
    }

    /// Returns the time in which the whole fleet accrues `tokens`, or `None` at a rate of zero.
    pub fn accrual_time_ms(&self, tokens: Tokens) -> Option<u64> {
        let rate = self.rate_tokens_per_s.0;
        (rate > 0).then(|| tokens.0.saturating_mul(1_000).div_ceil(rate))
    }
}

/// Returns the part of `total` that a slot owns. The parts of all slots sum to exactly `total`, and
/// no part shrinks when `total` grows. Returns zero if `slot` is not below `slot_count`.
pub fn share(total: u64, slot: u32, slot_count: u32) -> u64 {
    if slot >= slot_count {
        return 0;
    }
    let count = u64::from(slot_count);
    let remainder = u64::from(u64::from(slot) < total % count);
    total / count + remainder
}
