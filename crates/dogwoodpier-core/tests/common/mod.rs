//! What the tests of this crate share.

use std::env;
use std::str::FromStr;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed. `DOGWOODPIER_TEST_SEED` and `PROPTEST_CASES` replace
/// seed and number of cases.
pub fn config(seed: u64, cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(from_env("DOGWOODPIER_TEST_SEED").unwrap_or(seed)),
        cases: from_env("PROPTEST_CASES").unwrap_or(cases),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

fn from_env<T>(name: &str) -> Option<T>
where
    T: FromStr,
{
    env::var(name).ok()?.parse().ok()
}

/// Returns the reading of a clock whose rate is off by `drift_ppm`, at a true time.
pub fn clock(true_ms: u64, offset_ms: u64, drift_ppm: i64) -> u64 {
    let drift = i128::from(true_ms) * i128::from(drift_ppm) / 1_000_000;
    let reading = i128::from(offset_ms) + i128::from(true_ms) + drift;
    u64::try_from(reading).expect("clocks start well above zero")
}
