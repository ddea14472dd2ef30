//! Lengths and margins of leases, promises and loans.
//!
//! Nodes share no clock. Of two sides that agree on a duration, the asking side counts it from before
//! it sent, shortened by the margin, and the granting side from when it answered. So the side that
//! must stop always stops first, as long as each clock's rate is right within [`CLOCK_DRIFT_PPM`].

use crate::TimeMs;

/// Largest error of a clock's rate in parts per million.
pub const CLOCK_DRIFT_PPM: u64 = 1_000;

/// Longest promise that any node gives or counts on.
pub const MAX_PROMISE_MS: u64 = 10_000;

/// Longest loan that any node gives.
pub const MAX_LOAN_MS: u64 = 5_000;

// Both sides read their clocks in whole milliseconds.
const ROUNDING_MS: u64 = 2;

/// Returns when the asking side must stop, having asked at `asked_ms` for a grant of `granted_ms`.
pub fn requester_deadline(asked_ms: TimeMs, granted_ms: u64) -> TimeMs {
    asked_ms.after(granted_ms.saturating_sub(margin(granted_ms)))
}

/// Returns a duration after which another node, counting `duration_ms` on its own clock from an
/// earlier moment, has stopped.
pub fn with_clock_drift(duration_ms: u64) -> u64 {
    duration_ms + margin(duration_ms)
}

fn margin(duration_ms: u64) -> u64 {
    (duration_ms * 2 * CLOCK_DRIFT_PPM).div_ceil(1_000_000) + ROUNDING_MS
}
