//! Writes the figures as tables and as JSON.

use std::collections::BTreeMap;
use std::path::Path;

use crate::summary::Counts;
use crate::summary::Percentiles;
use crate::summary::Summary;

/// A figure that runs are compared by.
type Figure = (&'static str, fn(&Summary) -> f64);

const FIGURES: [Figure; 8] = [
    ("goodput req/s", |s| s.goodput_per_s),
    ("goodput tok/s", |s| s.goodput_tokens_per_s),
    ("wasted prefill %", |s| s.wasted_prefill_percent),
    ("worst workspace %", |s| s.worst_workspace_percent),
    ("limited within rate", |s| s.limited_within_rate as f64),
    ("refused within rate", |s| s.refused_within_rate as f64),
    ("first token p95 ms", |s| s.first_token.p95_ms),
    ("token gap p95 ms", |s| s.token_gap.p95_ms),
];

/// Prints the figures of one run.
pub fn print_run(summary: &Summary) {
    println!(
        "\n{} policy {} seed {} load {}% fault {} {}",
        summary.deployment,
        summary.policy,
        summary.seed,
        summary.load_percent,
        summary.fault,
        summary.alone.as_deref().unwrap_or("all workspaces"),
    );
    println!(
        "  goodput            {:.2} req/s, {:.0} tokens/s",
        summary.goodput_per_s, summary.goodput_tokens_per_s
    );
    println!(
        "  engines busy       prefill {:.0} %, decode {:.0} %",
        summary.prefill_busy_percent, summary.decode_busy_percent
    );
    println!(
        "  wasted prefill     {:.2} % ({:.2} % expired), {:.1} % of prompts cached",
        summary.wasted_prefill_percent,
        summary.expired_prefill_percent,
        summary.cached_prompt_percent
    );
    println!(
        "  worst workspace    {} with {:.1} % of its requests within rate",
        summary.worst_workspace, summary.worst_workspace_percent
    );
    for (workspace, met) in &summary.met_percent_by_workspace {
        println!("    {workspace:<16} {met:.1} % met both targets");
    }
    println!(
        "  refused within rate {} as above rate, {} for other causes, of {}",
        summary.limited_within_rate, summary.refused_within_rate, summary.sent_within_rate
    );
    print_percentiles("first token", &summary.first_token);
    print_percentiles("between tokens", &summary.token_gap);
    print_counts("model requests", &summary.completions);
    print_counts("orders", &summary.orders);
    println!(
        "    doubled {}, ran though told not-run {}, answered but never ran {}",
        summary.orders_doubled, summary.orders_untrue, summary.orders_vanished
    );
    print_counts("lookups", &summary.lookups);
    print_percentiles("service answers", &summary.service_answer);
    println!("  refusals           {:?}", summary.refusals);
    println!("  losses             {:?}", summary.losses);
    println!("  platform calls/s   {:.1?}", summary.platform_calls_per_s);
}

/// Prints the policies side by side: mean, minimum and maximum over the seeds.
pub fn print_comparison(summaries: &[Summary]) {
    let mut groups: BTreeMap<(&str, &str), BTreeMap<&str, Vec<&Summary>>> = BTreeMap::new();
    for summary in summaries.iter().filter(|summary| summary.alone.is_none()) {
        groups
            .entry((&summary.deployment, &summary.fault))
            .or_default()
            .entry(&summary.policy)
            .or_default()
            .push(summary);
    }
    for ((deployment, fault), policies) in groups {
        println!("\n{deployment}, fault {fault}: mean (least to largest) over the seeds");
        print!("  {:<20}", "");
        for policy in policies.keys() {
            print!("{policy:>28}");
        }
        println!();
        for (name, figure) in FIGURES {
            print!("  {name:<20}");
            for runs in policies.values() {
                print!("{:>28}", format_mean_and_range(runs, figure));
            }
            println!();
        }
    }
}

/// Writes all figures as JSON.
pub fn write_json(path: &Path, summaries: &[Summary]) -> anyhow::Result<()> {
    std::fs::write(path, serde_json::to_string_pretty(summaries)?)?;
    Ok(())
}

fn format_mean_and_range(runs: &[&Summary], figure: fn(&Summary) -> f64) -> String {
    let values: Vec<f64> = runs.iter().map(|run| figure(run)).collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let minimum = values.iter().copied().fold(f64::INFINITY, f64::min);
    let maximum = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.2} ({minimum:.2} to {maximum:.2})")
}

fn print_percentiles(name: &str, percentiles: &Percentiles) {
    println!(
        "  {name:<18} p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
        percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms
    );
}

fn print_counts(name: &str, counts: &Counts) {
    println!(
        "  {name:<18} sent {}, whole {}, wrong {}, refused {}, broken off {}, lost {}",
        counts.sent, counts.whole, counts.wrong, counts.refused, counts.broken_off, counts.lost
    );
}
