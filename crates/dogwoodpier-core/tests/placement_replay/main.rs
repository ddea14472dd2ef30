//! Replays of uneven upstreams: the choice by expected finish, next to least in flight, to two
//! random choices, to the choice without stated speeds, and to an oracle that knows all costs.
//!
//! The oracle places each request where it ends first, which is not the best for the requests after
//! it: prefills are faster by expected finish, which leaves the fast engines more often to others.
//! Each test prints the mean time of a request and the share of the gap to the oracle that is
//! closed, and guards against a change that closes less of it.

mod uneven;

use uneven::Figures;
use uneven::Policy;
use uneven::Scenario;
use uneven::Stage;

const SEEDS: [u64; 3] = [1, 2, 3];

// Replays a scenario with each policy and asserts the share of the gap to the oracle that is closed,
// against least in flight and against two random choices, in the mean over the seeds.
#[track_caller]
fn assert_gap_closed(name: &str, scenario: &Scenario, least_in_flight: f64, two_choices: f64) {
    let mean = |policy| mean_ms(scenario, policy);
    let by_cost_ms = mean(Policy::ByCost);
    let oracle_ms = mean(Policy::Oracle);
    let present_ms = mean(Policy::Present);
    let closed = |policy| {
        let baseline_ms = mean(policy);
        let share = (baseline_ms - by_cost_ms) / (baseline_ms - oracle_ms);
        (baseline_ms, share)
    };
    let (least_ms, least_share) = closed(Policy::LeastInFlight);
    let (two_ms, two_share) = closed(Policy::TwoChoices);
    println!(
        "{name}: by cost {by_cost_ms:.1} ms, oracle {oracle_ms:.1}, present {present_ms:.1}, \
         least in flight {least_ms:.1} (closed {least_share:.2}), \
         two choices {two_ms:.1} (closed {two_share:.2})"
    );
    assert!(
        least_share >= least_in_flight,
        "{name}: {least_share:.2} of the gap of least in flight"
    );
    assert!(
        two_share >= two_choices,
        "{name}: {two_share:.2} of the gap of two choices"
    );
}

#[test]
fn decode_engines_of_different_speed() {
    let scenario = Scenario::engines(Stage::Decode);
    assert_gap_closed("decode", &scenario, 0.7, 0.7);
}

#[test]
fn prefill_engines_of_different_speed() {
    let scenario = Scenario::engines(Stage::Prefill);
    assert_gap_closed("prefill", &scenario, 1.0, 0.95);
}

#[test]
fn equal_requests_on_changing_speeds() {
    let scenario = Scenario::plain().with_changing_speeds();
    assert_gap_closed("changing speeds", &scenario, 0.85, 0.75);
}

#[test]
fn tenth_of_requests_costs_tenfold() {
    let scenario = Scenario {
        costly_fraction: 0.1,
        ..Scenario::plain()
    };
    assert_gap_closed("tenfold cost", &scenario, 0.75, 0.4);
}

#[test]
fn half_of_instances_without_samples() {
    let scenario = Scenario {
        sampling_fraction: 0.5,
        ..Scenario::plain()
    };
    assert_gap_closed("half without samples", &scenario, 0.85, 0.6);
}

#[test]
fn figures_are_a_second_old() {
    let scenario = Scenario {
        figure_age_ms: 1_000,
        ..Scenario::plain()
    };
    assert_gap_closed("figures 1 s old", &scenario, 0.85, 0.6);
}

// A wrong figure must not draw requests to an upstream for longer than its durations take to
// disprove it.
#[test]
fn wrong_figures_cost_little() {
    for (name, stage) in [
        ("plain", Stage::Plain),
        ("decode", Stage::Decode),
        ("prefill", Stage::Prefill),
    ] {
        for figures in [Figures::Opposite, Figures::Random] {
            let scenario = Scenario {
                figures,
                ..match stage {
                    Stage::Plain => Scenario::plain(),
                    engine => Scenario::engines(engine),
                }
            };
            assert_not_worse(&format!("{name}, {figures:?} figures"), &scenario);
        }
    }
}

// Lengths of outputs that jump tenfold, up or down, must not spoil the placement until they are
// learned.
#[test]
fn wrong_lengths_cost_little() {
    for expected_ratio in [0.1, 10.0] {
        let scenario = Scenario {
            expected_ratio,
            ..Scenario::engines(Stage::Decode)
        };
        assert_not_worse(&format!("{expected_ratio} of the length"), &scenario);
    }
}

// Asserts that requests take at most a twentieth longer than with the present selection.
#[track_caller]
fn assert_not_worse(name: &str, scenario: &Scenario) {
    let by_cost_ms = mean_ms(scenario, Policy::ByCost);
    let present_ms = mean_ms(scenario, Policy::Present);
    println!("{name}: by cost {by_cost_ms:.1} ms, present {present_ms:.1}");
    assert!(by_cost_ms <= present_ms * 1.05, "{name}");
}

// Returns the mean time of a request over the seeds.
fn mean_ms(scenario: &Scenario, policy: Policy) -> f64 {
    let runs = SEEDS.map(|seed| scenario.mean_ms(policy, seed));
    runs.iter().sum::<f64>() / runs.len() as f64
}
