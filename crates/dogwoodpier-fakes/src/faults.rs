//! Helpers for faults that are configured by a count or a delay.

use std::time::Duration;

/// Consumes one of the remaining faults and returns true; returns false if none remains.
pub(crate) fn take_one(remaining: &mut u32) -> bool {
    let has_fault = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    has_fault
}

/// Sleeps for `delay_ms`. A delay of zero returns at once, because the timer would round it up to a
/// millisecond.
pub(crate) async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
