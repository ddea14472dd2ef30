//! Speeds of upstreams and costs of requests: what responses show of them, samples for the brokers,
//! and the selection by them.
//!
//! Load pattern: the broker of a service places the requests of all instances on its engines, but
//! each instance sees only the responses to its own. It merges what it sees of each engine and sends
//! it to the broker at an interval that grows with the fleet, so that a broker receives the same
//! number of messages a second in any fleet.
//!
//! Nothing here is in effect for a service before one of its upstreams has stated a slowness.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::StatusCode;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::cost::CostModel;
use dogwoodpier_core::gateway::cost_placement;
use dogwoodpier_core::gateway::cost_placement::CostSelector;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::speed::LoadSample;
use dogwoodpier_core::gateway::speed::ObservedSpeed;
use dogwoodpier_core::gateway::speed::UpstreamSpeeds;
use dogwoodpier_core::gateway::speed_samples::MAX_SAMPLES;
use dogwoodpier_core::gateway::speed_samples::SampleOutbox;
use dogwoodpier_core::gateway::speed_samples::SeenSpeed;
use dogwoodpier_core::gateway::speed_samples::SpeedSample;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_derive::wire;
use dogwoodpier_http::Reply;
use dogwoodpier_process::clock;

use crate::counters;
use crate::dialect::DecodeError;
use crate::dialect::PromptSize;
use crate::engines::HELD_OUTPUT_SHARE;
use crate::owners;
use crate::owners::Owner;
use crate::peer_messages::Message;
use crate::queues::SlotRequest;
use crate::request::ClientRequest;
use crate::state::Gateway;

// Events that a stream needs for its speed to count: the first ones come in bursts.
const MIN_EVENTS: u64 = 8;
// Age up to which a stated slowness is that of a duration that has just ended: the usual duration of
// a slowdown.
const STATED_AGE_MS: u64 = 600;
// Shortest time between two events about loads that can't be decoded, and about learned speeds.
const UNREADABLE_EVENT_MS: u64 = 10_000;
const SPEEDS_EVENT_MS: u64 = 30_000;

/// Samples of the engines of one service.
#[wire]
pub struct SpeedReport {
    /// The service.
    pub service: Arc<str>,
    /// The samples.
    pub samples: Vec<SpeedSample>,
}

/// The route and the workspace by which the output length of a request is learned.
pub struct Workload {
    route: Arc<str>,
    workspace: Option<Arc<str>>,
    stated_tokens: u64,
}

impl Workload {
    /// Returns the workload of a request, `None` if its output is only the rest of another's or it
    /// states no length.
    pub fn of(gateway: &Gateway, request: &ClientRequest) -> Option<Self> {
        let last_event_id = &gateway.dialect.headers.last_event_id;
        let is_whole = !request.headers.contains_key(last_event_id);
        let stated = request.prompt.filter(|_| is_whole)?;
        Some(Self {
            route: request.route.name.clone(),
            workspace: workspace_name(request),
            stated_tokens: stated.output_tokens(),
        })
    }
}

fn workspace_name(request: &ClientRequest) -> Option<Arc<str>> {
    let workspace = request.workspace.as_ref();
    workspace.map(|workspace| workspace.name.clone())
}

/// Learned speeds and costs. The lock is never held while that of the routing state is taken.
#[derive(Default)]
pub struct LearnedCosts {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    speeds: UpstreamSpeeds,
    costs: CostModel,
    // Samples for the broker of each service.
    outboxes: BTreeMap<Arc<str>, SampleOutbox>,
    unreadable: u64,
    unreadable_event_ms: Option<TimeMs>,
    speeds_event_ms: BTreeMap<Arc<str>, TimeMs>,
}

impl LearnedCosts {
    /// Removes what is known of an upstream.
    pub fn forget(&self, upstream: &str) {
        let mut inner = self.lock();
        inner.speeds.forget(upstream);
        for outbox in inner.outboxes.values_mut() {
            outbox.forget(upstream);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records the load that a response states.
pub fn record_stated(gateway: &Gateway, upstream: &Upstream, reply: &Reply) {
    // Another incarnation than the intended one speaks for itself only.
    if reply.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let Some(decoded) = (gateway.dialect.decode_load)(&reply.headers) else {
        return;
    };
    let result = if decoded.is_ok() {
        "decoded"
    } else {
        "unreadable"
    };
    metrics::counter!(counters::STATED_LOADS_TOTAL, "result" => result).increment(1);
    match decoded {
        Ok(load) => {
            let received_ms = clock::now();
            let seen = SeenSpeed {
                stated: Some(LoadSample { load, received_ms }),
                observed: None,
            };
            record(gateway, upstream, seen, received_ms);
        }
        Err(error) => log_unreadable(gateway, upstream, &error),
    }
}

fn log_unreadable(gateway: &Gateway, upstream: &Upstream, error: &DecodeError) {
    let now = clock::now();
    let count = {
        let mut inner = gateway.learned_costs.lock();
        inner.unreadable += 1;
        let last_ms = inner.unreadable_event_ms;
        if last_ms.is_some_and(|last_ms| now.since(last_ms) < UNREADABLE_EVENT_MS) {
            return;
        }
        inner.unreadable_event_ms = Some(now);
        std::mem::take(&mut inner.unreadable)
    };
    gateway.events.write(
        "stated_load_unreadable",
        serde_json::json!({
            "upstream": &*upstream.id,
            "problem": error.to_string(),
            "count": count,
        }),
    );
}

/// Records how long an answer of a plain upstream took.
pub fn record_plain(gateway: &Gateway, upstream: &Upstream, elapsed_ms: u64) {
    record_observed(gateway, upstream, elapsed_ms.max(1) as f64);
}

/// Records how long a prefill took. `queued_tokens` are those of its prompt and of the other prompts
/// that the engine had to process at its start.
pub fn record_prefill(gateway: &Gateway, engine: &Upstream, elapsed_ms: u64, queued_tokens: u64) {
    if let Some(unit_ms) = cost_placement::prefill_unit_ms(elapsed_ms, queued_tokens) {
        record_observed(gateway, engine, unit_ms);
    }
}

/// Records a complete stream: the time from its first event to its last, and its length.
pub fn record_stream(
    gateway: &Gateway,
    engine: &Upstream,
    workload: Option<&Workload>,
    events: u64,
    elapsed_ms: u64,
) {
    if !is_enabled(gateway, &engine.service) {
        return;
    }
    if let Some(workload) = workload {
        let mut inner = gateway.learned_costs.lock();
        inner.costs.record(
            &workload.route,
            workload.workspace.as_ref(),
            workload.stated_tokens,
            events,
        );
    }
    if events >= MIN_EVENTS && elapsed_ms > 0 {
        record_observed(gateway, engine, elapsed_ms as f64 / (events - 1) as f64);
    }
}

// Returns whether the upstreams of a service are selected by cost.
fn is_enabled(gateway: &Gateway, service: &str) -> bool {
    let inner = gateway.learned_costs.lock();
    inner.speeds.is_stated(service, clock::now())
}

fn record_observed(gateway: &Gateway, upstream: &Upstream, unit_ms: f64) {
    let now = clock::now();
    let slowness = {
        let inner = gateway.learned_costs.lock();
        if !inner.speeds.is_stated(&upstream.service, now) {
            return;
        }
        let last = inner.speeds.last_stated(&upstream.id);
        last.filter(|last| now.since(last.received_ms) <= STATED_AGE_MS)
            .and_then(|last| last.load.slowness)
    };
    let seen = SeenSpeed {
        stated: None,
        observed: Some(ObservedSpeed {
            unit_ms,
            slowness,
            count: 1,
        }),
    };
    record(gateway, upstream, seen, now);
}

// Records a sample at this instance, and sends it to the broker if it is that of an engine.
fn record(gateway: &Gateway, upstream: &Upstream, seen: SeenSpeed, now: TimeMs) {
    let service = &upstream.service;
    let (is_first, is_enabled) = {
        let mut inner = gateway.learned_costs.lock();
        let is_first = inner.apply(service, &upstream.id, seen, now);
        (is_first, inner.speeds.is_stated(service, now))
    };
    if is_first {
        log_enabled(gateway, service, &upstream.id, "its answer");
    }
    if !is_enabled || upstream.stage.is_none() {
        return;
    }
    let Owner::Peer { address, .. } = owners::owner_of(gateway, service) else {
        return;
    };
    let members = gateway.state().peer_reports.membership(now).members;
    let samples = {
        let mut inner = gateway.learned_costs.lock();
        let outbox = inner.outboxes.entry(service.clone()).or_default();
        outbox.add(&upstream.id, seen);
        outbox.take(members, now)
    };
    if samples.is_empty() {
        return;
    }
    metrics::counter!(counters::SPEED_MESSAGES_TOTAL, "direction" => "sent").increment(1);
    let report = SpeedReport {
        service: service.clone(),
        samples,
    };
    gateway.send_message(address, &Message::Speeds(report));
}

impl Inner {
    // Returns whether it is the first stated slowness of the service.
    fn apply(
        &mut self,
        service: &Arc<str>,
        upstream: &Arc<str>,
        seen: SeenSpeed,
        now: TimeMs,
    ) -> bool {
        let is_first = seen.stated.is_some_and(|LoadSample { load, received_ms }| {
            self.speeds
                .record_stated(service, upstream, load, received_ms)
        });
        if let Some(observed) = seen.observed {
            self.speeds.record_observed(upstream, observed, now);
        }
        is_first
    }
}

fn log_enabled(gateway: &Gateway, service: &str, upstream: &str, source: &str) {
    gateway.events.write(
        "placement_by_cost",
        serde_json::json!({ "service": service, "upstream": upstream, "source": source }),
    );
}

/// Handles the samples of a peer. Those of upstreams that this instance does not know are ignored.
pub fn handle_report(gateway: &Gateway, report: SpeedReport) {
    metrics::counter!(counters::SPEED_MESSAGES_TOTAL, "direction" => "received").increment(1);
    let now = clock::now();
    let known: Vec<SpeedSample> = {
        let state = gateway.state();
        let samples = report.samples.into_iter().take(MAX_SAMPLES);
        let is_known = |sample: &SpeedSample| {
            let upstream = state.upstreams.get(&sample.upstream);
            upstream.is_some_and(|upstream| upstream.service == report.service)
        };
        samples.filter(is_known).collect()
    };
    for sample in known {
        let received_ms = TimeMs(now.0.saturating_sub(sample.age_ms));
        let seen = SeenSpeed {
            stated: sample.stated.map(|load| LoadSample { load, received_ms }),
            observed: sample.observed,
        };
        let is_first = {
            let mut inner = gateway.learned_costs.lock();
            inner.apply(&report.service, &sample.upstream, seen, now)
        };
        if is_first {
            log_enabled(gateway, &report.service, &sample.upstream, "a peer");
        }
    }
}

/// Returns the number of output tokens for which a request is given memory: as many as it states, or
/// more if requests of its route and workspace have written more than they stated. It is never less,
/// so that an engine is given no more requests than without the learned lengths.
pub fn output_tokens(gateway: &Gateway, request: &ClientRequest, size: PromptSize) -> u64 {
    let stated_tokens = size.output_tokens();
    let inner = gateway.learned_costs.lock();
    let service = &request.service.name;
    if !inner.speeds.is_stated(service, clock::now()) {
        return stated_tokens;
    }
    let (route, workspace) = (&request.route.name, workspace_name(request));
    let costs = &inner.costs;
    let learned = costs.expect(route, workspace.as_ref(), size.prompt_tokens, stated_tokens);
    learned.map_or(stated_tokens, |cost| {
        let learned_tokens = (cost.output_tokens as u64).min(size.max_output_tokens);
        learned_tokens.max(stated_tokens)
    })
}

// Runs `by_cost` if the upstreams of a service are selected by cost, and `by_load` otherwise.
fn select<C, L>(
    gateway: &Gateway,
    service: &Arc<str>,
    work: &'static str,
    selector: &Selector<'_>,
    by_cost: C,
    by_load: L,
) -> Option<usize>
where
    C: FnOnce(&CostSelector<'_>) -> Option<usize>,
    L: FnOnce() -> Option<usize>,
{
    let inner = gateway.learned_costs.lock();
    if !inner.speeds.is_stated(service, selector.now) {
        return by_load();
    }
    let cost_selector = CostSelector {
        selector: Selector { ..*selector },
        speeds: &inner.speeds,
        draw: rand::random(),
    };
    let selected = by_cost(&cost_selector);
    let result = if selected.is_some() {
        "selected"
    } else {
        "none"
    };
    metrics::counter!(counters::COST_PLACEMENTS_TOTAL, "work" => work, "result" => result)
        .increment(1);
    selected
}

/// Selects the engine to decode on.
pub fn select_decode(
    gateway: &Gateway,
    request: &SlotRequest,
    selector: &Selector<'_>,
    candidates: &[Candidate],
    capacity_kv_tokens: u64,
) -> Option<usize> {
    let kv_tokens = request.kv_tokens;
    let held_tokens = kv_tokens.saturating_sub(request.prompt_tokens) as f64;
    let by_cost = |by_cost: &CostSelector<'_>| {
        let output_tokens = held_tokens / HELD_OUTPUT_SHARE;
        by_cost.select_decode(candidates, kv_tokens, capacity_kv_tokens, output_tokens)
    };
    let by_load = || selector.select_decode(candidates, kv_tokens, capacity_kv_tokens);
    log_speeds(gateway, &request.service, candidates, selector.now);
    select(
        gateway,
        &request.service,
        "decode",
        selector,
        by_cost,
        by_load,
    )
}

/// Selects the engine to prefill on.
pub fn select_prefill(
    gateway: &Gateway,
    request: &SlotRequest,
    selector: &Selector<'_>,
    candidates: &[Candidate],
) -> Option<usize> {
    let prompt_tokens = request.prompt_tokens;
    let by_cost = |by_cost: &CostSelector<'_>| by_cost.select_prefill(candidates, prompt_tokens);
    let by_load = || selector.select_prefill(candidates, prompt_tokens);
    select(
        gateway,
        &request.service,
        "prefill",
        selector,
        by_cost,
        by_load,
    )
}

/// Selects an upstream of a plain service that is not avoided.
pub fn select_plain(
    gateway: &Gateway,
    service: &Arc<str>,
    selector: &Selector<'_>,
    candidates: &[Candidate],
) -> Option<usize> {
    let by_cost = |by_cost: &CostSelector<'_>| by_cost.select_plain(candidates);
    let by_load = || selector.select_plain(candidates, rand::random());
    select(gateway, service, "plain", selector, by_cost, by_load)
}

// Logs the learned speeds of the decode engines of a service from time to time.
fn log_speeds(gateway: &Gateway, service: &Arc<str>, candidates: &[Candidate], now: TimeMs) {
    let mut inner = gateway.learned_costs.lock();
    let last_ms = inner.speeds_event_ms.get(service);
    let is_due = last_ms.is_none_or(|last_ms| now.since(*last_ms) >= SPEEDS_EVENT_MS);
    let ids = candidates.iter().map(|candidate| &candidate.upstream.id);
    let engines = candidates.iter();
    let engines = engines.filter(|candidate| candidate.upstream.stage != Some(Stage::Prefill));
    if !is_due || !inner.speeds.is_stated(service, now) {
        return;
    }
    let Some(median_unit_ms) = inner.speeds.median_unit_ms(ids) else {
        return;
    };
    inner.speeds_event_ms.insert(service.clone(), now);
    let speeds = &inner.speeds;
    let by_speed = engines.map(|engine| {
        let id = &*engine.upstream.id;
        let slowness = speeds.slowness(id, Some(median_unit_ms), median_unit_ms, now);
        (slowness, id)
    });
    let mut by_speed: Vec<(f64, &str)> = by_speed.collect();
    by_speed.sort_by(|first, second| first.0.total_cmp(&second.0));
    let (Some(fastest), Some(slowest)) = (by_speed.first(), by_speed.last()) else {
        return;
    };
    let fields = serde_json::json!({
        "service": &**service,
        "engines": by_speed.len(),
        "median_event_ms": median_unit_ms,
        "fastest": fastest.1,
        "fastest_slowness": fastest.0,
        "slowest": slowest.1,
        "slowest_slowness": slowest.0,
    });
    drop(inner);
    gateway.events.write("learned_speeds", fields);
}
