//! Quarantine of requests that crash the upstreams which run them.
//!
//! [`dogwoodpier_core::quarantine`] decides. This module distinguishes crashes from connections
//! that were merely cut, and sends updates about crashes to all peers before the client gets its
//! response.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::quarantine::Crash;
use dogwoodpier_core::quarantine::PROBE_MS;
use dogwoodpier_core::quarantine::RunPolicy;
use dogwoodpier_core::quarantine::SuspectSettings;
use dogwoodpier_core::quarantine::SuspectTable;
use dogwoodpier_core::quarantine::SuspectUpdate;
use dogwoodpier_core::rendezvous;
use dogwoodpier_process::clock;

use crate::counters;
use crate::paths;
use crate::peer_messages::Message;
use crate::prompt_parts;
use crate::prompt_parts::PromptParts;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::state::Gateway;
use crate::state::SharedGateway;

// One hour, the same as for the product's own callers: it gives operators time to find the cause.
const CRASH_MS: u64 = 3_600_000;
// A restart of an upstream takes longer than the time between two reports of the same crash.
const SAME_CRASH_MS: u64 = 1_000;
// Three heartbeats of a fleet of 300 instances.
const BROADCAST_MS: u64 = 10_000;
// Takes half a megabyte. Each crash adds only the few requests that the upstream was running.
const MAX_SUSPECT_REQUESTS: usize = 5_000;
// Crashes of other requests may account for two.
const MAX_CRASHES_PER_REQUEST: usize = 3;
const MAX_LOGGED_PARTS: usize = 16;

/// Crashes during which requests of the fleet were in flight.
pub struct Quarantine {
    suspects: Mutex<SuspectTable>,
    /// The same by the parts of their prompts.
    pub parts: PromptParts,
    changes: watch::Sender<()>,
}

impl Default for Quarantine {
    fn default() -> Self {
        let settings = SuspectSettings {
            crash_ms: CRASH_MS,
            quarantine_ms: CRASH_MS,
            same_crash_ms: SAME_CRASH_MS,
            broadcast_ms: BROADCAST_MS,
            max_requests: MAX_SUSPECT_REQUESTS,
            max_crashes: MAX_CRASHES_PER_REQUEST,
        };
        Self {
            suspects: Mutex::new(SuspectTable::new(settings)),
            parts: PromptParts::default(),
            changes: watch::Sender::default(),
        }
    }
}

/// What a request has in common with others that crash upstreams for the same reason.
#[derive(Clone, Debug)]
pub struct RequestContent {
    /// Hash by which a repeated request is recognized.
    pub fingerprint: u64,
    /// Ids of the parts of its prompt that other requests may share, in order.
    pub shared_parts: Arc<[u64]>,
}

/// A request in flight at an upstream.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Id of the request, for logs.
    pub request_id: Arc<str>,
    /// Its content.
    pub content: RequestContent,
    /// Number of events of the response that this upstream has sent completely.
    pub events: u64,
    /// Whether the upstream has written so much of the answer that the parts of the prompt don't
    /// crash it.
    pub answer_underway: bool,
}

impl Quarantine {
    /// Returns whether a request must not be sent to any upstream.
    pub fn is_quarantined(&self, content: &RequestContent) -> bool {
        self.retry_after_ms(content).is_some()
    }

    /// Waits for `placement`, or returns `None` as soon as the request must not be sent to any
    /// upstream.
    pub async fn unless_quarantined<P>(
        &self,
        content: &RequestContent,
        placement: P,
    ) -> Option<P::Output>
    where
        P: Future,
    {
        let mut changes = self.changes();
        tokio::select! {
            placement = placement => Some(placement),
            Ok(_) = changes.wait_for(|()| self.is_quarantined(content)) => None,
        }
    }

    /// Returns a receiver that is notified of each new crash and each change of the quarantined parts.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Notifies those who wait that other requests may be quarantined than before. Must be called
    /// without a lock on the tables, which those who wait look at.
    pub fn signal_change(&self) {
        self.changes.send_replace(());
    }

    /// Returns the rejection of a quarantined request, or `None` if the request is not quarantined.
    pub fn rejection(&self, content: &RequestContent) -> Option<Rejection> {
        self.retry_after_ms(content)
            .map(|retry_after_ms| Rejection {
                reason: Reason::Quarantined,
                retry_after_ms: Some(retry_after_ms),
            })
    }

    /// Returns the number of requests with crashes that count against them.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns the updates to send with a heartbeat.
    pub fn pending_updates(&self) -> Vec<SuspectUpdate> {
        self.lock().updates(clock::now())
    }

    fn retry_after_ms(&self, content: &RequestContent) -> Option<u64> {
        match self.lock().run_policy(content.fingerprint, clock::now()) {
            RunPolicy::Quarantined { retry_after_ms } => Some(retry_after_ms),
            RunPolicy::Unrestricted | RunPolicy::SingleCopy | RunPolicy::Exclusive => {
                self.parts.retry_after_ms(&content.shared_parts)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks whether an upstream that cut a connection has crashed, and notifies the fleet if so.
pub async fn handle_cut(gateway: &SharedGateway, request: &InFlight, upstream: &Arc<Upstream>) {
    let cut_ms = clock::now();
    if !accepts_connections(gateway, upstream).await {
        record_crash(gateway, request, upstream);
        return;
    }
    // The process may still be closing its sockets, so it is probed again later.
    let probe = Probe::begin(gateway, request.content.fingerprint, crash_id(upstream));
    let (request, upstream) = (request.clone(), upstream.clone());
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(PROBE_MS)).await;
        let gateway = &probe.gateway;
        let answered = gateway
            .state()
            .health
            .has_answered_since(&upstream.id, cut_ms);
        if !answered && !accepts_connections(gateway, &upstream).await {
            record_crash(gateway, &request, &upstream);
        }
    });
}

// A pending check of an upstream. Dropping it ends the check.
struct Probe {
    gateway: SharedGateway,
    fingerprint: u64,
    crash_id: u64,
}

impl Probe {
    fn begin(gateway: &SharedGateway, fingerprint: u64, crash_id: u64) -> Self {
        let mut suspects = gateway.quarantine.lock();
        suspects.begin_probe(fingerprint, crash_id);
        drop(suspects);
        Self {
            gateway: gateway.clone(),
            fingerprint,
            crash_id,
        }
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        let mut suspects = self.gateway.quarantine.lock();
        suspects.end_probe(self.fingerprint, self.crash_id);
    }
}

/// Handles the end of a response that may be incomplete, as its connection ended regularly and the
/// upstream has not been proved to have outlived it. An upstream that is leaving has exited rather
/// than crashed.
pub async fn handle_unproven_end(
    gateway: &SharedGateway,
    request: &InFlight,
    upstream: &Arc<Upstream>,
) {
    let known = gateway.state().upstreams.get(&upstream.id).cloned();
    if known.is_some_and(|known| known.accepts_work) {
        handle_cut(gateway, request, upstream).await;
    }
}

async fn accepts_connections(gateway: &SharedGateway, upstream: &Upstream) -> bool {
    metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
    paths::accepts_connections(gateway, upstream).await
}

// Returns the id of a crash: an incarnation of an upstream crashes only once.
fn crash_id(upstream: &Upstream) -> u64 {
    let started_unix_ms = upstream.started_unix_ms.unwrap_or_default();
    Crash::id(
        rendezvous::weight("upstream", &upstream.id),
        rendezvous::weight("start", &started_unix_ms.to_string()),
    )
}

fn record_crash(gateway: &Gateway, request: &InFlight, upstream: &Upstream) {
    let now = clock::now();
    let fingerprint = request.content.fingerprint;
    let crash_id = crash_id(upstream);
    if !request.answer_underway {
        prompt_parts::record_crash(gateway, request, crash_id);
    }
    let (update, crashes) = {
        let mut suspects = gateway.quarantine.lock();
        let update = suspects.record_crash(fingerprint, crash_id, now);
        (update, suspects.crashes_of(fingerprint, now))
    };
    let Some(update) = update else {
        return;
    };
    gateway.quarantine.signal_change();
    metrics::counter!(counters::CRASHES_TOTAL).increment(1);
    broadcast(gateway, update);
    gateway.events.write(
        "request_suspected",
        serde_json::json!({
            "request_id": &*request.request_id,
            "fingerprint": format!("{fingerprint:016x}"),
            "upstream": &*upstream.id,
            "crashes": crashes,
            "events": request.events,
            "answer_underway": request.answer_underway,
            "shared_parts": logged_parts(&request.content.shared_parts),
            "quarantined": gateway.quarantine.is_quarantined(&request.content),
        }),
    );
}

// Returns the last shared parts of a prompt, in the form that requests name them.
fn logged_parts(parts: &[u64]) -> Vec<String> {
    prompt_parts::format_parts(&parts[parts.len().saturating_sub(MAX_LOGGED_PARTS)..])
}

/// Records that an upstream responded to a request, which therefore did not cause the earlier
/// crashes. The parts of its prompt didn't either if the response has an answer.
pub fn record_answer(gateway: &Gateway, request: &InFlight, has_answer: bool) {
    let fingerprint = request.content.fingerprint;
    if has_answer {
        prompt_parts::record_answer(gateway, &request.content.shared_parts);
    }
    let update = gateway
        .quarantine
        .lock()
        .record_answer(fingerprint, clock::now());
    let Some(update) = update else {
        return;
    };
    broadcast(gateway, update);
    gateway.events.write(
        "request_acquitted",
        serde_json::json!({
            "request_id": &*request.request_id,
            "fingerprint": format!("{fingerprint:016x}"),
        }),
    );
}

/// Handles a peer's updates about suspects.
pub fn handle_updates(gateway: &Gateway, updates: &[SuspectUpdate]) {
    let now = clock::now();
    for update in updates {
        let changed = gateway.quarantine.lock().handle_update(*update, now);
        if changed {
            gateway.quarantine.signal_change();
            log_update(gateway, *update);
        }
    }
}

fn log_update(gateway: &Gateway, update: SuspectUpdate) {
    match update {
        SuspectUpdate::Crashed { fingerprint, .. } => gateway.events.write(
            "suspect_heard",
            serde_json::json!({
                "fingerprint": format!("{fingerprint:016x}"),
                "crashes": gateway.quarantine.lock().crashes_of(fingerprint, clock::now()),
            }),
        ),
        SuspectUpdate::Answered {
            fingerprint,
            ago_ms,
        } => gateway.events.write(
            "acquittal_heard",
            serde_json::json!({
                "fingerprint": format!("{fingerprint:016x}"),
                "ago_ms": ago_ms,
            }),
        ),
    }
}

fn broadcast(gateway: &Gateway, update: SuspectUpdate) {
    for address in gateway.peer_addresses.all() {
        gateway.send_message(address, &Message::Suspect(update));
    }
}
