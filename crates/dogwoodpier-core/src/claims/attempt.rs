//! An attempt to dispatch, at the node that received the caller's request.

use dogwoodpier_derive::plain;

use crate::TimeMs;

/// One attempt to dispatch a request with an idempotency key.
#[plain]
pub struct Attempt {
    /// Random id, which stays the same when the request to the holder is repeated.
    pub attempt_id: u64,
    /// Time from which a grant must no longer be used.
    pub dispatch_deadline_ms: TimeMs,
}

impl Attempt {
    /// Returns an attempt that starts now. The holder keeps its claim for `dispatch_ms` and the whole
    /// window, counted from a later moment. So the claim lasts for at least the whole window after the
    /// dispatch deadline.
    pub fn new(attempt_id: u64, dispatch_ms: u64, now: TimeMs) -> Self {
        Self {
            attempt_id,
            dispatch_deadline_ms: now.after(dispatch_ms),
        }
    }

    /// Returns whether a grant may still be used. Must be checked right before the dispatch, since the
    /// process may have been paused after the grant arrived.
    pub fn may_dispatch(&self, now: TimeMs) -> bool {
        now < self.dispatch_deadline_ms
    }
}
