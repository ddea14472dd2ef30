//! What a standby has promised, and what it has tried.

use crate::TimeMs;

/// The promises that this node gave for one slot, and its own claims of it.
#[derive(Clone, Debug, Default)]
pub struct Promised {
    until_ms: TimeMs,
    claimed_version: Option<u64>,
}

impl Promised {
    /// Promises not to claim the slot for `duration_ms`. Returns false, and promises nothing, if a
    /// claim that was sent could still take effect on `version`.
    pub fn grant(&mut self, version: u64, duration_ms: u64, now: TimeMs) -> bool {
        if self
            .claimed_version
            .is_some_and(|claimed| version <= claimed)
        {
            return false;
        }
        self.until_ms = self.until_ms.max(now.after(duration_ms));
        true
    }

    /// Returns whether a promise is in force.
    pub fn in_force(&self, now: TimeMs) -> bool {
        now < self.until_ms
    }

    /// Records that a claim on condition of `version` is about to be sent.
    pub fn note_claim(&mut self, version: u64) {
        self.claimed_version = self.claimed_version.max(Some(version));
    }
}
