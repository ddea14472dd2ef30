//! Faults that are ordered by number or time.

use std::time::Duration;

/// Uses up one of a number of faults; returns false if none is left.
pub(crate) fn take_one(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

/// Waits, without the timer's millisecond if there is nothing to wait for.
pub(crate) async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
