//! An estimate of the current demand for tokens.

use crate::TimeMs;
use crate::Tokens;

const WINDOW_MS: u64 = 1_000;

/// Tokens that requests needed within the last second, estimated from the current and the previous
/// window of one second.
#[derive(Clone, Debug)]
pub struct Demand {
    window_start_ms: TimeMs,
    window_tokens: u64,
    previous_tokens: u64,
}

impl Demand {
    /// Returns a demand of zero.
    pub fn new(now: TimeMs) -> Self {
        Self {
            window_start_ms: now,
            window_tokens: 0,
            previous_tokens: 0,
        }
    }

    /// Adds the tokens of a request.
    pub fn record(&mut self, tokens: Tokens, now: TimeMs) {
        self.advance_window(now);
        self.window_tokens = self.window_tokens.saturating_add(tokens.0);
    }

    /// Returns the tokens that requests will need in the next `duration_ms` if demand stays the same.
    pub fn estimate(&mut self, duration_ms: u64, now: TimeMs) -> Tokens {
        self.advance_window(now);
        // The previous window counts in proportion to its part within the last second.
        let covered_ms = WINDOW_MS - now.since(self.window_start_ms).min(WINDOW_MS);
        let previous = self.previous_tokens.saturating_mul(covered_ms) / WINDOW_MS;
        let per_window = previous.saturating_add(self.window_tokens);
        Tokens(per_window.saturating_mul(duration_ms) / WINDOW_MS)
    }

    fn advance_window(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.window_start_ms);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let is_next_window = elapsed_ms < 2 * WINDOW_MS;
        self.previous_tokens = if is_next_window {
            self.window_tokens
        } else {
            0
        };
        self.window_tokens = 0;
        let skipped_ms = elapsed_ms - elapsed_ms % WINDOW_MS;
        self.window_start_ms = self.window_start_ms.after(skipped_ms);
    }
}
