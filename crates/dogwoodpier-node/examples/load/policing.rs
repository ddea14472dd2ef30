//! Determines with one exact token bucket for each workspace which requests are within its rate.

use std::time::Duration;

use crate::deployment::Workspace;
use crate::schedule::Payload;

/// Exact token bucket of a workspace. Requests that exceed it take no tokens.
pub struct ReferenceBucket {
    rate_tokens_per_s: f64,
    burst_tokens: f64,
    level_tokens: f64,
    at: Duration,
}

impl ReferenceBucket {
    /// Returns a full bucket.
    pub fn new(workspace: &Workspace) -> Self {
        let burst_tokens = workspace.burst_tokens() as f64;
        Self {
            rate_tokens_per_s: workspace.rate_tokens_per_s as f64,
            burst_tokens,
            level_tokens: burst_tokens,
            at: Duration::ZERO,
        }
    }

    /// Returns whether a request is within rate and burst, and takes its tokens if it is. Times
    /// must not decrease.
    pub fn admits(&mut self, at: Duration, cost_tokens: u64) -> bool {
        let refilled_tokens = (at - self.at).as_secs_f64() * self.rate_tokens_per_s;
        self.level_tokens = (self.level_tokens + refilled_tokens).min(self.burst_tokens);
        self.at = at;
        let cost_tokens = cost_tokens as f64;
        let admits = cost_tokens <= self.level_tokens;
        if admits {
            self.level_tokens -= cost_tokens;
        }
        admits
    }
}

/// Returns the tokens that a request is charged with on admission.
pub fn cost_tokens(payload: &Payload) -> u64 {
    match payload {
        Payload::Completion {
            prompt_tokens,
            max_tokens,
            ..
        } => prompt_tokens + max_tokens,
        Payload::Order(_) | Payload::Lookup(_) => crate::deployment::CALL_TOKENS,
    }
}
