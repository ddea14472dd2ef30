//! Clocks of model nodes.

/// Returns the reading of a clock whose rate is off by `drift_ppm`, at a true time.
pub fn reading(true_ms: u64, offset_ms: u64, drift_ppm: i64) -> u64 {
    let drift = i128::from(true_ms) * i128::from(drift_ppm) / 1_000_000;
    let reading = i128::from(offset_ms) + i128::from(true_ms) + drift;
    u64::try_from(reading).expect("clocks start well above zero")
}
