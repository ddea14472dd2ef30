//! Monotonic clock of the process.

use std::sync::LazyLock;

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;

use dogwoodpier_core::TimeMs;

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

static START: LazyLock<u64> = LazyLock::new(boot_time_ms);

/// Returns the time since this function was first called, plus a fixed origin.
///
/// The clock includes time during which the machine was suspended, so that a node notices that a
/// deadline has passed meanwhile.
pub fn now() -> TimeMs {
    // The clock starts above zero, so that deadlines in the past can be represented.
    const ORIGIN_MS: u64 = 3_600_000;
    let start_ms = *START;
    TimeMs(ORIGIN_MS + boot_time_ms().saturating_sub(start_ms))
}

fn boot_time_ms() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec.unsigned_abs() * MS_PER_S + tv_nsec.unsigned_abs() / NS_PER_MS
}
