//! An attempt to dispatch, at the node that the caller asked.

use dogwoodpier_derive::plain;

use crate::TimeMs;

/// One attempt to dispatch a request with an idempotency key.
#[plain]
pub struct Attempt {
    /// Random id; it stays the same when the holder is asked again.
    pub attempt_id: u64,
    /// Time after which a grant is no longer used.
    pub dispatch_deadline_ms: TimeMs,
}

impl Attempt {
    /// Returns an attempt that starts now. The claim outlives its dispatch deadline by a whole
    /// window, since the holder counts both from a later moment.
    pub fn new(attempt_id: u64, dispatch_ms: u64, now: TimeMs) -> Self {
        Self {
            attempt_id,
            dispatch_deadline_ms: now.after(dispatch_ms),
        }
    }

    /// Returns whether a grant may still be used. Must be asked right before the dispatch: the
    /// process may have been paused since the grant came.
    pub fn may_dispatch(&self, now: TimeMs) -> bool {
        now < self.dispatch_deadline_ms
    }
}
