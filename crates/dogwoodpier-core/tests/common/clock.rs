//! Clocks of simulated nodes.

/// Returns the reading of a clock at a true time. Its rate deviates by `drift_ppm`.
pub fn reading(true_ms: u64, offset_ms: u64, drift_ppm: i64) -> u64 {
    let drift = i128::from(true_ms) * i128::from(drift_ppm) / 1_000_000;
    let reading = i128::from(offset_ms) + i128::from(true_ms) + drift;
    u64::try_from(reading).expect("clocks start far enough above zero for their drift")
}
