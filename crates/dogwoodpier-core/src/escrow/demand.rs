//! An estimate of the demand of the last seconds.

use crate::TimeMs;
use crate::Tokens;

const WINDOW_MS: u64 = 1_000;

/// Tokens asked for, as a rate over the last second or two.
#[derive(Clone, Debug)]
pub struct Demand {
    window_start_ms: TimeMs,
    window_tokens: u64,
    previous_tokens: u64,
}

impl Demand {
    /// Returns an estimate of zero.
    pub fn new(now: TimeMs) -> Self {
        Self {
            window_start_ms: now,
            window_tokens: 0,
            previous_tokens: 0,
        }
    }

    /// Counts a request for tokens.
    pub fn note(&mut self, tokens: Tokens, now: TimeMs) {
        self.roll(now);
        self.window_tokens = self.window_tokens.saturating_add(tokens.0);
    }

    /// Returns the tokens that the coming `duration_ms` will ask for if demand stays the same.
    pub fn expect(&mut self, duration_ms: u64, now: TimeMs) -> Tokens {
        self.roll(now);
        // The window before counts by the part of it that the last second still covers.
        let covered_ms = WINDOW_MS - now.since(self.window_start_ms).min(WINDOW_MS);
        let previous = self.previous_tokens.saturating_mul(covered_ms) / WINDOW_MS;
        let per_window = previous.saturating_add(self.window_tokens);
        Tokens(per_window.saturating_mul(duration_ms) / WINDOW_MS)
    }

    fn roll(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.window_start_ms);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let adjacent = elapsed_ms < 2 * WINDOW_MS;
        self.previous_tokens = if adjacent { self.window_tokens } else { 0 };
        self.window_tokens = 0;
        let skipped_ms = elapsed_ms - elapsed_ms % WINDOW_MS;
        self.window_start_ms = self.window_start_ms.after(skipped_ms);
    }
}
