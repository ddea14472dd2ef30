//! Configuration of the property tests of this crate.

use std::env;
use std::str::FromStr;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed. The environment variables `DOGWOODPIER_TEST_SEED` and
/// `PROPTEST_CASES` override the seed and the number of cases.
pub fn config(seed: u64, cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(from_env("DOGWOODPIER_TEST_SEED").unwrap_or(seed)),
        cases: from_env("PROPTEST_CASES").unwrap_or(cases),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

fn from_env<T>(name: &str) -> Option<T>
where
    T: FromStr,
{
    env::var(name).ok()?.parse().ok()
}
