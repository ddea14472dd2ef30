//! Cold upstreams: what this instance reads of them, what it tells its peers, and how requests are
//! rejected while all upstreams of a service are cold.
//!
//! [`dogwoodpier_core::gateway::cold_upstreams`] decides who is cold; [`crate::permits`] limits the
//! sends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::HeaderMap;
use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::cold_upstreams::EntryState;
use dogwoodpier_core::gateway::cold_upstreams::ReportedCold;
use dogwoodpier_core::gateway::permits::SendLimit;
use dogwoodpier_core::gateway::permits::permit_rate_per_s;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_derive::wire;
use dogwoodpier_platform::wire::Object;
use dogwoodpier_process::clock;

use crate::counters;
use crate::dialect::ColdRemaining;
use crate::peer_messages::Message;
use crate::state::Gateway;
use crate::state::SharedGateway;

const MS_PER_S: f64 = 1_000.0;
// Requests for permits that all instances together send for each permit. With fewer, permits would
// lie unused while some instances have no requests.
const ASKS_PER_PERMIT: f64 = 2.0;
// Longest average pause before an instance asks again: part of the usual cold time. 550 instances then
// send an owner 275 requests a second for each cold upstream.
const MAX_ASK_PAUSE_MS: f64 = 2_000.0;
// Shortest time over which the clients of rejected requests are spread.
const MIN_SPREAD_MS: u64 = 300;
// The earliest client returns after this part of the time.
const MIN_SPREAD_FRACTION: f64 = 0.2;
// Clients wait for at most this fraction of their remaining time.
const WAIT_DIVISOR: u64 = 3;
// Longest pause before the peers are told, in which another instance may tell them.
const MAX_NEWS_PAUSE_MS: u64 = 20;
// Upstreams in one message, which has to fit into a datagram.
const MAX_REPORTED: usize = 200;
// Time between two log lines about invalid remaining times: a faulty upstream repeats them.
const INVALID_LOG_MS: u64 = 10_000;

/// Cold upstreams of which the sender has learned by itself.
#[wire]
pub struct ColdReport {
    /// Name of the sender.
    pub instance: Arc<str>,
    /// The upstreams, by id.
    pub upstreams: BTreeMap<Arc<str>, ReportedCold>,
}

/// Upstreams of which the peers have to be told.
#[derive(Default)]
pub struct ColdNews {
    ids: Mutex<BTreeSet<Arc<str>>>,
    added: Notify,
}

impl ColdNews {
    fn add(&self, id: &Arc<str>) {
        self.lock().insert(id.clone());
        self.added.notify_one();
    }

    fn take(&self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Arc<str>>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How an instance comes to read the entry of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntrySource {
    /// The upstream was unknown, so that nobody sends to it before reading the same entry.
    Unknown,
    /// Another incarnation was known.
    Restarted,
    /// The same incarnation was known.
    Known,
}

/// Invalid remaining cold times since the last log line.
#[derive(Default)]
pub struct InvalidReports {
    inner: Mutex<InvalidCount>,
}

#[derive(Default)]
struct InvalidCount {
    unlogged: u64,
    next_log_ms: TimeMs,
}

impl InvalidReports {
    // Counts a report. Returns the number of reports to log, if a line is due.
    fn record(&self, now: TimeMs) -> Option<u64> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.unlogged += 1;
        if now < inner.next_log_ms {
            return None;
        }
        inner.next_log_ms = now.after(INVALID_LOG_MS);
        Some(std::mem::take(&mut inner.unlogged))
    }
}

/// Applies the cold starts of a configuration.
pub fn configure(gateway: &Gateway, configuration: &Configuration) {
    let services = configuration.services.values();
    let cold = services.filter_map(|service| Some((service.name.clone(), service.cold_start?)));
    let instance = gateway.settings.load().instance.clone();
    let limits = &mut gateway.state().upstream_limits;
    limits.cold.configure(cold.collect(), &instance);
}

/// Records what the store entry of an upstream states. Must be called before the entry is applied, so
/// that the upstream gets nothing before its cold time is known.
pub fn record_entry(gateway: &Gateway, upstream: &Upstream, object: &Object) {
    let source = entry_source(gateway, upstream);
    let stated = (gateway.dialect.decode_cold_entry)(&object.value);
    let remaining_ms = valid(gateway, &upstream.id, stated);
    let state = EntryState {
        remaining_ms,
        version: object.version,
        is_new: source != EntrySource::Known,
        age_ms: wall_age_ms(upstream),
    };
    let now = clock::now();
    let has_changed = {
        let limits = &mut gateway.state().upstream_limits;
        limits.cold.record_entry(upstream, state, now)
    };
    if !has_changed {
        return;
    }
    let observed = match remaining_ms {
        Some(_) => "entry",
        None => "start",
    };
    match source {
        EntrySource::Unknown => drop(log_cold(gateway, upstream, observed)),
        EntrySource::Restarted | EntrySource::Known => announce(gateway, upstream, observed),
    }
}

fn entry_source(gateway: &Gateway, upstream: &Upstream) -> EntrySource {
    let state = gateway.state();
    match state.upstreams.get(&upstream.id) {
        None => EntrySource::Unknown,
        Some(known) if known.started_unix_ms == upstream.started_unix_ms => EntrySource::Known,
        Some(_) => EntrySource::Restarted,
    }
}

/// Records the remaining cold time in the headers of an upstream's response, if there is one.
pub fn record_response(gateway: &Gateway, upstream: &Upstream, headers: &HeaderMap) {
    let stated = (gateway.dialect.decode_cold_response)(headers);
    let Some(remaining_ms) = valid(gateway, &upstream.id, stated) else {
        return;
    };
    let now = clock::now();
    let has_changed = {
        let limits = &mut gateway.state().upstream_limits;
        limits.cold.record_response(upstream, remaining_ms, now)
    };
    if has_changed {
        announce(gateway, upstream, "response");
    }
}

/// Handles a peer's report of cold upstreams.
pub fn handle_report(gateway: &Gateway, report: &ColdReport) {
    let now = clock::now();
    for (id, reported) in &report.upstreams {
        let upstream = {
            let mut state = gateway.state();
            let has_changed = state.upstream_limits.cold.record_report(id, *reported, now);
            has_changed.then(|| state.upstreams.get(id).cloned())
        };
        if let Some(Some(upstream)) = upstream {
            log_cold(gateway, &upstream, "peer");
        }
    }
}

/// Returns the pause before this instance asks for another permit for a cold upstream after one was
/// denied, so that the requests of all instances together stay in proportion to the permits.
pub fn ask_pause_ms(gateway: &Gateway, limit: SendLimit) -> u64 {
    let membership = gateway.state().permit_membership(limit, clock::now());
    let asks_per_s = permit_rate_per_s(limit.rate_per_s) * ASKS_PER_PERMIT;
    let pause_ms = f64::from(membership.members) / asks_per_s * MS_PER_S;
    // From zero, so that permits are used soon after many instances have asked at the same time.
    (pause_ms.min(MAX_ASK_PAUSE_MS) * rand::random_range(0.0..2.0)) as u64
}

/// Returns the time after which the client of a rejected request should return, if all upstreams of
/// the service that could run the request are cold: spread over the time for which they stay cold.
pub fn retry_after_ms(gateway: &Gateway, service: &str, client_remaining_ms: u64) -> Option<u64> {
    let now = clock::now();
    let longest_ms = {
        let state = gateway.state();
        let running = state
            .upstreams
            .available(service)
            .filter(|upstream| upstream.stage != Some(Stage::Prefill));
        let mut longest_ms = 0;
        for upstream in running {
            match state.upstream_limits.cold.remaining_ms(upstream, now) {
                0 => return None,
                remaining_ms => longest_ms = longest_ms.max(remaining_ms),
            }
        }
        longest_ms
    };
    if longest_ms == 0 {
        return None;
    }
    metrics::counter!(counters::COLD_REJECTED_TOTAL).increment(1);
    // A client does not wait longer, so a longer spread would have them all return at that time.
    let spread_ms = longest_ms
        .max(MIN_SPREAD_MS)
        .min(client_remaining_ms / WAIT_DIVISOR);
    Some((spread_ms as f64 * rand::random_range(MIN_SPREAD_FRACTION..1.0)) as u64)
}

// Logs that an upstream is cold and has all peers told, as each of them exceeds its rate until it knows.
fn announce(gateway: &Gateway, upstream: &Upstream, source: &'static str) {
    if log_cold(gateway, upstream, source) {
        gateway.cold_news.add(&upstream.id);
    }
}

/// Tells all peers of upstreams that have become cold, for as long as the process lives. The first
/// instance that learns it tells the others; those that hear of it meanwhile are silent.
pub async fn notify_peers(gateway: SharedGateway) {
    loop {
        gateway.cold_news.added.notified().await;
        let pause_ms = rand::random_range(0..=MAX_NEWS_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let ids = gateway.cold_news.take();
        let now = clock::now();
        let upstreams: BTreeMap<Arc<str>, ReportedCold> = {
            let cold = &gateway.state().upstream_limits.cold;
            let reports = ids
                .into_iter()
                .filter_map(|id| Some((id.clone(), cold.report(&id, now)?)));
            reports.take(MAX_REPORTED).collect()
        };
        if upstreams.is_empty() {
            continue;
        }
        let message = Message::Cold(ColdReport {
            instance: gateway.settings.load().instance.clone(),
            upstreams,
        });
        for address in gateway.peer_addresses.all() {
            gateway.send_message(address, &message);
        }
    }
}

// Returns whether the upstream is cold as far as the configuration says that it can be.
fn log_cold(gateway: &Gateway, upstream: &Upstream, source: &'static str) -> bool {
    let now = clock::now();
    let (remaining_ms, limit) = {
        let cold = &gateway.state().upstream_limits.cold;
        (cold.remaining_ms(upstream, now), cold.limit(upstream, now))
    };
    if remaining_ms == 0 {
        return false;
    }
    metrics::counter!(counters::COLD_UPSTREAMS_TOTAL, "source" => source).increment(1);
    gateway.events.write(
        "upstream_cold",
        serde_json::json!({
            "upstream": &*upstream.id,
            "service": &*upstream.service,
            "remaining_ms": remaining_ms,
            "rate_per_s": limit.map(|limit| limit.rate_per_s),
            "source": source,
        }),
    );
    true
}

// Returns a stated time. One that is out of range is bounded, and one that is no number ignored; both
// are counted.
fn valid(gateway: &Gateway, id: &str, stated: Option<ColdRemaining>) -> Option<u64> {
    let stated = stated?;
    if let Some(problem) = &stated.problem {
        metrics::counter!(counters::INVALID_COLD_TOTAL).increment(1);
        if let Some(count) = gateway.invalid_cold_reports.record(clock::now()) {
            gateway.events.write(
                "invalid_cold_time",
                serde_json::json!({ "upstream": id, "problem": problem, "count": count }),
            );
        }
    }
    stated.remaining_ms
}

fn wall_age_ms(upstream: &Upstream) -> Option<u64> {
    let started_unix_ms = upstream.started_unix_ms?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    Some((now.as_millis() as u64).saturating_sub(started_unix_ms))
}
