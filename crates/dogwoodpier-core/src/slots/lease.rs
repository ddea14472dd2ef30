//! Maximum lengths of promises and loans, and the safety margins for clock drift.
//!
//! Nodes share no clock. When a node grants a duration, the requester counts it from before it sent
//! the request, shortened by a margin, and the granting node counts it from when it answered. So the
//! requester always stops first, as long as each clock's rate is accurate within
//! [`CLOCK_DRIFT_PPM`].

use crate::TimeMs;

/// Largest error of a clock's rate that is tolerated, in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 1_000;

/// Longest promise that any node gives or relies on.
pub const MAX_PROMISE_MS: u64 = 10_000;

/// Longest loan that any node gives.
pub const MAX_LOAN_MS: u64 = 5_000;

// Both nodes read their clocks in whole milliseconds, so each reading may be off by up to 1 ms.
const ROUNDING_MS: u64 = 2;

/// Returns when the requester must stop if it sent its request at `requested_ms` and was granted
/// `granted_ms`.
pub fn requester_deadline(requested_ms: TimeMs, granted_ms: u64) -> TimeMs {
    requested_ms.after(granted_ms.saturating_sub(margin(granted_ms)))
}

/// Returns how long to wait on this node's clock until `duration_ms`, counted from the same moment
/// or an earlier one, have certainly passed on another node's clock.
pub fn with_clock_drift(duration_ms: u64) -> u64 {
    duration_ms + margin(duration_ms)
}

fn margin(duration_ms: u64) -> u64 {
    (duration_ms * 2 * CLOCK_DRIFT_PPM).div_ceil(1_000_000) + ROUNDING_MS
}
