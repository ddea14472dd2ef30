//! Measures how many requests are refused although a single central bucket would admit them.
//!
//! Each line is a seeded run of the accounts of a fleet with one millisecond between nodes:
//! `cargo run --release -p dogwoodpier-core --example escrow_report [seeds]`.

mod fleet;
mod scenario;

use fleet::Outcome;
use scenario::Failure;
use scenario::Lending;
use scenario::Pattern;
use scenario::Scenario;

const DEFAULT_SEEDS: u64 = 3;

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    println!("Refused although within rate, in percent of what a central bucket admits: lowest to");
    println!("highest of {seeds} seeds. Borrow calls are of the whole fleet.\n");
    report_patterns(seeds);
    report_failures(seeds);
    report_slots_and_promises(seeds);
}

fn report_patterns(seeds: u64) {
    print_heading("Load patterns, 8 nodes, 32 slots, no failure (no call goes to the platform)");
    for (rate, burst) in [(50_000, 50_000), (2_000, 4_000)] {
        for load_percent in [70, 95, 150] {
            for pattern in [Pattern::Even, Pattern::Skewed, Pattern::OneNode] {
                for lending in [Lending::FloorsOnly, Lending::Loans] {
                    let scenario = Scenario {
                        rate_tokens_per_s: rate,
                        burst_tokens: burst,
                        load_percent,
                        pattern,
                        lending,
                        ..Scenario::default()
                    };
                    print_row(&scenario, seeds);
                }
            }
        }
    }
}

fn report_failures(seeds: u64) {
    print_heading("One of 8 nodes dead; 10 s from its death");
    for failure in [Failure::Reclaimed, Failure::PlatformOut] {
        for load_percent in [70, 95] {
            for pattern in [Pattern::Even, Pattern::Skewed, Pattern::OneNode] {
                let scenario = Scenario {
                    load_percent,
                    pattern,
                    failure,
                    ..Scenario::default()
                };
                print_row(&scenario, seeds);
            }
        }
    }
}

fn report_slots_and_promises(seeds: u64) {
    print_heading("Slots and promise length; even load of 120 %, 90 % used; one of 8 nodes dead");
    for slot_count in [8, 32, 128] {
        for promise_ms in [1_000, 3_000, 10_000] {
            let scenario = Scenario {
                load_percent: 120,
                slot_count,
                promise_ms,
                failure: Failure::Reclaimed,
                ..Scenario::default()
            };
            print_row(&scenario, seeds);
        }
    }
}

fn print_heading(text: &str) {
    println!("\n{text}\n");
    println!(
        "| rate tokens/s | burst | load % | pattern | lending | failure | slots | promise ms | refused within rate % | tokens admitted / central | borrow calls/s |"
    );
    println!("| --: | --: | --: | :-- | :-- | :-- | --: | --: | --: | --: | --: |");
}

fn print_row(scenario: &Scenario, seeds: u64) {
    let outcomes: Vec<Outcome> = (1..=seeds).map(|seed| fleet::run(scenario, seed)).collect();
    let range = |measure: fn(&Outcome) -> f64| {
        let values = outcomes.iter().map(measure);
        let low = values.clone().fold(f64::INFINITY, f64::min);
        let high = values.fold(0.0, f64::max);
        format!("{low:.2} to {high:.2}")
    };
    println!(
        "| {} | {} | {} | {:?} | {:?} | {:?} | {} | {} | {} | {} | {} |",
        scenario.rate_tokens_per_s,
        scenario.burst_tokens,
        scenario.load_percent,
        scenario.pattern,
        scenario.lending,
        scenario.failure,
        scenario.slot_count,
        scenario.promise_ms,
        range(Outcome::refused_within_rate_percent),
        range(Outcome::admitted_ratio),
        range(Outcome::borrow_calls_per_s),
    );
}
