//! Promises that a standby gave, and the latest claim that it sent.

use crate::TimeMs;

/// Promises that this node gave for one slot, and its own claims of that slot.
#[derive(Clone, Debug, Default)]
pub struct GivenPromises {
    deadline_ms: TimeMs,
    // Highest version for which this node has sent a claim.
    claimed_version: Option<u64>,
}

impl GivenPromises {
    /// Promises not to claim the slot for `duration_ms`. Returns false, and gives no promise, if this
    /// node has sent a claim for `version` or a later one: the claim could still take effect.
    pub fn grant(&mut self, version: u64, duration_ms: u64, now: TimeMs) -> bool {
        if self
            .claimed_version
            .is_some_and(|claimed| version <= claimed)
        {
            return false;
        }
        self.deadline_ms = self.deadline_ms.max(now.after(duration_ms));
        true
    }

    /// Returns whether a promise is in force.
    pub fn in_force(&self, now: TimeMs) -> bool {
        now < self.deadline_ms
    }

    /// Records that a claim conditional on `version` is about to be sent.
    pub fn record_claim(&mut self, version: u64) {
        self.claimed_version = self.claimed_version.max(Some(version));
    }
}
