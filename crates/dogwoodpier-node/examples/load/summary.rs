//! Computes the figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use dogwoodpier_derive::wire;

use crate::arguments::Run;
use crate::deployment::Deployment;
use crate::deployment::Workspace;
use crate::record::Kind;
use crate::record::Outcome;
use crate::record::Record;
use crate::record::Records;

const MAX_TRACKED_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Share of a request's token gaps that must be within the target, in percent.
const MIN_GAPS_WITHIN_TARGET_PERCENT: usize = 95;

/// The figures of a run.
#[wire]
pub struct Summary {
    /// Deployment.
    pub deployment: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Fault under load.
    pub fault: String,
    /// Demand within rates, in percent of the capacity.
    pub load_percent: u64,
    /// The only workspace with load, if not all had it.
    pub alone: Option<String>,
    /// Measured seconds.
    pub measured_s: f64,
    /// Model requests.
    pub completions: Counts,
    /// Model requests a second that met both latency targets.
    pub goodput_per_s: f64,
    /// Tokens a second, prompts left out, of answers that met both targets.
    pub goodput_tokens_per_s: f64,
    /// Prompt tokens that engines computed, in percent of what they can over the whole load.
    pub prefill_busy_percent: f64,
    /// Output tokens of the engines, in percent of what full batches give over the whole load.
    pub decode_busy_percent: f64,
    /// Computed prompt tokens whose result was never used, in percent.
    pub wasted_prefill_percent: f64,
    /// Computed prompt tokens that expired, in percent.
    pub expired_prefill_percent: f64,
    /// Prompt tokens that came from prefix caches, in percent.
    pub cached_prompt_percent: f64,
    /// Share of each workspace's model requests within rate that met both targets, in percent.
    pub met_percent_by_workspace: BTreeMap<String, f64>,
    /// The workspace within its rate with the lowest such share.
    pub worst_workspace: String,
    /// Share of the worst workspace, in percent.
    pub worst_workspace_percent: f64,
    /// Requests within rate that were refused as above rate, of the workspaces that stay within
    /// their rates. For a workspace above its rate, the exact bucket and the fleet admit different
    /// requests.
    pub limited_within_rate: u64,
    /// Requests within rate, of the same workspaces, that were refused for other causes.
    pub refused_within_rate: u64,
    /// Requests of these workspaces that were within rate.
    pub sent_within_rate: u64,
    /// Refusals by cause.
    pub refusals: BTreeMap<String, u64>,
    /// Lost requests by cause.
    pub losses: BTreeMap<String, u64>,
    /// Times to the first token.
    pub first_token: Percentiles,
    /// Times between tokens.
    pub token_gap: Percentiles,
    /// Orders.
    pub orders: Counts,
    /// Orders that ran more than once.
    pub orders_doubled: u64,
    /// Orders that ran although they were refused with the execution `not-run`.
    pub orders_untrue: u64,
    /// Orders that were answered correctly but never ran.
    pub orders_vanished: u64,
    /// Lookups.
    pub lookups: Counts,
    /// Times to the answer of orders and lookups.
    pub service_answer: Percentiles,
    /// Calls a second on the platform by operation.
    pub platform_calls_per_s: BTreeMap<String, f64>,
}

/// Numbers of requests by outcome.
#[wire]
#[derive(Default)]
pub struct Counts {
    /// Requests.
    pub sent: u64,
    /// Requests with a complete and correct answer.
    pub whole: u64,
    /// Requests with another answer.
    pub wrong: u64,
    /// Requests refused before any part of an answer was received.
    pub refused: u64,
    /// Requests refused after part of an answer was received.
    pub broken_off: u64,
    /// Requests without a complete answer or a refusal.
    pub lost: u64,
    /// Requests within rate that met both targets.
    pub met: u64,
}

/// Percentiles of times.
#[wire]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95 of 100 are no longer.
    pub p95_ms: f64,
    /// 99 of 100 are no longer.
    pub p99_ms: f64,
}

impl Summary {
    /// Returns the figures of a run.
    pub fn of(run: &Run, records: &Records) -> Self {
        let deployment = Deployment::named(&run.deployment, run.load_percent);
        let (from, to) = records.measured;
        let measured: Vec<&Record> = records
            .requests
            .iter()
            .filter(|record| record.at >= from && record.at < to)
            .collect();
        let measured_s = (to - from).as_secs_f64();
        let completions: Vec<&Record> = of_kind(&measured, Kind::Completion);
        let met: Vec<&&Record> = completions
            .iter()
            .filter(|record| met_targets(record, &deployment))
            .collect();
        let met_tokens: usize = met.iter().map(|record| record.gaps.len() + 1).sum();
        let within_rate: Vec<&Record> = measured
            .iter()
            .filter(|record| record.within_rate)
            .filter(|record| deployment.workspaces[record.workspace].is_within_rate())
            .copied()
            .collect();
        let by_workspace = met_by_workspace(&completions, &deployment);
        let (worst_workspace, worst_workspace_percent) =
            find_worst_workspace(&by_workspace, &deployment, run);
        let stats = records.engines.values();
        let computed: u64 = stats.clone().map(|s| s.prefill_tokens).sum();
        let cached: u64 = stats.clone().map(|s| s.cached_tokens).sum();
        let expired: u64 = stats.clone().map(|s| s.expired_tokens).sum();
        let decoded: u64 = stats.clone().map(|s| s.decode_tokens).sum();
        let load_s = records.load_time.as_secs_f64();
        let dropped: u64 = stats
            .map(|s| s.cancelled_tokens + s.unused_import_tokens)
            .sum();
        Self {
            deployment: run.deployment.clone(),
            policy: run.policy.clone(),
            seed: run.seed,
            fault: format!("{:?}", run.fault),
            load_percent: run.load_percent,
            alone: run.alone.clone(),
            measured_s,
            completions: counts(&completions, &deployment),
            goodput_per_s: met.len() as f64 / measured_s,
            goodput_tokens_per_s: met_tokens as f64 / measured_s,
            prefill_busy_percent: 100.0 * computed as f64
                / (deployment.prefill_tokens_per_s() * load_s),
            decode_busy_percent: 100.0 * decoded as f64
                / (deployment.decode_tokens_per_s() * load_s),
            wasted_prefill_percent: percent(expired + dropped, computed),
            expired_prefill_percent: percent(expired, computed),
            cached_prompt_percent: percent(cached, cached + computed),
            met_percent_by_workspace: by_workspace,
            worst_workspace,
            worst_workspace_percent,
            limited_within_rate: count_refused(&within_rate, true),
            refused_within_rate: count_refused(&within_rate, false),
            sent_within_rate: within_rate.len() as u64,
            refusals: refusals(&measured),
            losses: losses(&measured),
            first_token: percentiles(completions.iter().filter_map(|record| record.first_answer)),
            token_gap: percentiles(completions.iter().flat_map(|r| r.gaps.iter().copied())),
            orders: counts(&of_kind(&measured, Kind::Order), &deployment),
            orders_doubled: records.order_runs.values().filter(|n| **n > 1).count() as u64,
            orders_untrue: count_run_despite_refusal(records),
            orders_vanished: count_answered_but_not_run(records),
            lookups: counts(&of_kind(&measured, Kind::Lookup), &deployment),
            service_answer: percentiles(
                measured
                    .iter()
                    .filter(|record| record.kind != Kind::Completion)
                    .filter_map(|record| record.first_answer),
            ),
            platform_calls_per_s: records
                .platform_calls
                .iter()
                .map(|(name, calls)| {
                    (
                        name.clone(),
                        *calls as f64 / records.load_time.as_secs_f64(),
                    )
                })
                .collect(),
        }
    }
}

fn of_kind<'a>(records: &[&'a Record], kind: Kind) -> Vec<&'a Record> {
    let matches = |record: &&&Record| record.kind == kind;
    records.iter().filter(matches).copied().collect()
}

/// Returns true if an answer is complete and correct and met both latency targets.
fn met_targets(record: &Record, deployment: &Deployment) -> bool {
    let workspace: &Workspace = &deployment.workspaces[record.workspace];
    let first_target = Duration::from_millis(workspace.first_token_target_ms);
    let gap_target = Duration::from_millis(workspace.token_gap_target_ms());
    let within = record.gaps.iter().filter(|gap| **gap <= gap_target).count();
    record.outcome == Outcome::Complete
        && record
            .first_answer
            .is_some_and(|first_answer| first_answer <= first_target)
        && within * 100 >= record.gaps.len() * MIN_GAPS_WITHIN_TARGET_PERCENT
}

fn counts(records: &[&Record], deployment: &Deployment) -> Counts {
    let mut counts = Counts::default();
    for record in records {
        counts.sent += 1;
        match &record.outcome {
            Outcome::Complete => counts.whole += 1,
            Outcome::Wrong => counts.wrong += 1,
            Outcome::Refused {
                after_start: false, ..
            } => counts.refused += 1,
            Outcome::Refused { .. } => counts.broken_off += 1,
            Outcome::Lost(_) => counts.lost += 1,
        }
        if record.within_rate && met_targets(record, deployment) {
            counts.met += 1;
        }
    }
    counts
}

fn met_by_workspace(records: &[&Record], deployment: &Deployment) -> BTreeMap<String, f64> {
    let mut shares = BTreeMap::new();
    for (index, workspace) in deployment.workspaces.iter().enumerate() {
        let own: Vec<&Record> = records
            .iter()
            .filter(|record| record.workspace == index && record.within_rate)
            .copied()
            .collect();
        if !own.is_empty() {
            let met = counts(&own, deployment).met;
            shares.insert(workspace.name.to_owned(), percent(met, own.len() as u64));
        }
    }
    shares
}

fn find_worst_workspace(
    shares: &BTreeMap<String, f64>,
    deployment: &Deployment,
    run: &Run,
) -> (String, f64) {
    deployment
        .workspaces
        .iter()
        .filter(|workspace| workspace.is_within_rate() || run.alone.is_some())
        .filter_map(|workspace| {
            let share = shares.get(workspace.name)?;
            Some((workspace.name.to_owned(), *share))
        })
        .min_by(|one, other| one.1.total_cmp(&other.1))
        .unwrap_or_default()
}

fn count_refused(records: &[&Record], by_rate: bool) -> u64 {
    let matches = |record: &&&Record| match &record.outcome {
        Outcome::Refused { code, .. } => (code == "rate_limited") == by_rate,
        _ => false,
    };
    records.iter().filter(matches).count() as u64
}

fn refusals(records: &[&Record]) -> BTreeMap<String, u64> {
    let mut by_cause = BTreeMap::new();
    for record in records {
        if let Outcome::Refused {
            code, execution, ..
        } = &record.outcome
        {
            *by_cause.entry(format!("{code} {execution}")).or_default() += 1;
        }
    }
    by_cause
}

fn losses(records: &[&Record]) -> BTreeMap<String, u64> {
    let mut by_cause = BTreeMap::new();
    for record in records {
        if let Outcome::Lost(cause) = &record.outcome {
            *by_cause.entry(cause.clone()).or_default() += 1;
        }
    }
    by_cause
}

fn count_run_despite_refusal(records: &Records) -> u64 {
    let ran = |text: &String| records.order_runs.contains_key(text);
    let told_not_run = |outcome: &Outcome| matches!(outcome, Outcome::Refused { execution, .. } if execution == "not-run");
    records
        .order_outcomes
        .iter()
        .filter(|(text, outcome)| told_not_run(outcome) && ran(text))
        .count() as u64
}

fn count_answered_but_not_run(records: &Records) -> u64 {
    records
        .order_outcomes
        .iter()
        .filter(|(text, outcome)| {
            **outcome == Outcome::Complete && !records.order_runs.contains_key(*text)
        })
        .count() as u64
}

fn percentiles<I>(times: I) -> Percentiles
where
    I: Iterator<Item = Duration>,
{
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_TRACKED_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid");
    for time in times {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(time_us.clamp(1, MAX_TRACKED_US));
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / (whole as f64).max(1.0)
}
