//! Detection of a partition between this instance and all upstreams.
//!
//! An upstream that can't be connected to may be down, or this instance may have lost its links. Only
//! a look at several upstreams at once tells: as long as one of them accepts a connection, the links
//! work. Responses over open connections prove nothing, as these may live on while new ones are
//! refused.

use dogwoodpier_derive::plain;

use crate::TimeMs;

// Upstreams that must refuse connections at the same time, if there are so many.
const MIN_FAILED: usize = 2;
// Time for which the result of a check holds.
const CHECK_VALIDITY_MS: u64 = 1_000;

/// Result of connecting to several upstreams at the same time.
#[plain]
#[derive(Copy, Eq)]
pub struct Check {
    /// Upstreams that were tried, all of them different.
    pub tried: usize,
    /// Upstreams that accepted the connection.
    pub connected: usize,
}

/// What this instance knows of its links to upstreams.
#[derive(Debug, Default)]
pub struct PartitionDetector {
    is_partitioned: bool,
    // Time of the last connection that was established directly.
    connected_ms: Option<TimeMs>,
    checked_ms: Option<TimeMs>,
    // Time of the last response of any upstream.
    responded_ms: Option<TimeMs>,
}

impl PartitionDetector {
    /// Returns whether this instance has lost its links to all upstreams.
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }

    /// Records a connection that was established directly. Returns whether it ends a partition.
    pub fn record_connected(&mut self, now: TimeMs) -> bool {
        self.connected_ms = Some(now);
        std::mem::take(&mut self.is_partitioned)
    }

    /// Records a response.
    pub fn record_response(&mut self, now: TimeMs) {
        self.responded_ms = Some(now);
    }

    /// Returns whether no upstream has responded since `since_ms`.
    pub fn is_silent_since(&self, since_ms: TimeMs) -> bool {
        self.responded_ms
            .is_none_or(|responded_ms| responded_ms < since_ms)
    }

    /// Returns whether a failure to connect is worth a check: there is no partition yet, and no
    /// recent check has shown that there is none.
    pub fn needs_check(&self, now: TimeMs) -> bool {
        let is_recent = self
            .checked_ms
            .is_some_and(|checked_ms| now.since(checked_ms) < CHECK_VALIDITY_MS);
        !self.is_partitioned && !is_recent
    }

    /// Records a check that began at `begun_ms`. `known` is the number of known upstreams. Returns
    /// whether a partition begins.
    pub fn record_check(
        &mut self,
        check: Check,
        known: usize,
        begun_ms: TimeMs,
        now: TimeMs,
    ) -> bool {
        if check.connected > 0 {
            self.checked_ms = Some(now);
            self.record_connected(now);
            return false;
        }
        let has_connected = self
            .connected_ms
            .is_some_and(|connected_ms| connected_ms > begun_ms);
        let is_lost = check.tried >= MIN_FAILED.min(known) && check.tried > 0 && !has_connected;
        let has_begun = is_lost && !self.is_partitioned;
        self.is_partitioned |= is_lost;
        has_begun
    }
}
