//! Generation requests: first a slot of a decode engine, then the prefill, then the stream.
//!
//! A prefilled KV cache lives for a fraction of a second, so the prefill starts only once the
//! request has a slot to decode it and a connection to that engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::routes::RetryPolicy;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::ConnectionReturn;
use dogwoodpier_http::Reply;
use dogwoodpier_http::SendError;
use dogwoodpier_process::clock;

use crate::body::ResponseBody;
use crate::broker;
use crate::cold;
use crate::counters;
use crate::dialect::PromptSize;
use crate::forwarding;
use crate::forwarding::SendOutcome;
use crate::headers;
use crate::permits;
use crate::prefill;
use crate::prefill::Progress;
use crate::quarantine;
use crate::queues;
use crate::queues::Placement;
use crate::queues::SlotRequest;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::sse::EventCounter;
use crate::sse::EventSplitter;
use crate::state::Gateway;
use crate::state::LoadGuard;
use crate::state::SharedGateway;
use crate::stream::Relay;
use crate::stream::ResumeState;
use crate::stream_origins;
use crate::stream_origins::Recorded;
use crate::upstream_speeds;
use crate::upstream_speeds::Workload;
use crate::witness::Witness;

const EVENT_STREAM: &str = "text/event-stream";
// Placements of one request, including those whose engines rejected it.
const MAX_PLACEMENTS: u32 = 4;
// Assumed time from a free slot to the first event, used before the first measurement.
const DEFAULT_FIRST_EVENT_MS: f64 = 200.0;
const FIRST_EVENT_SMOOTHING_FACTOR: f64 = 0.1;
// Time for which a request stays queued after it can no longer be on time.
const LATE_GRACE_MS: u64 = 250;
// Longest time in the queue for a request whose client was refused before.
const RETURNED_WAIT_MS: u64 = 2_200;
// Stated waits vary with the clients' own delays. Only a larger difference shows that a client was
// refused before.
const RETURNED_MARGIN_MS: u64 = 250;
/// Average part of its expected output that a running request holds in memory: the requests of an
/// engine are at different points of their output.
pub const HELD_OUTPUT_SHARE: f64 = 0.8;

/// Statistics on the routes and services with engines.
#[derive(Default)]
pub struct TimingStats {
    inner: Mutex<TimingStatsInner>,
}

#[derive(Default)]
struct TimingStatsInner {
    // Longest wait that clients stated, by route.
    longest_wait_ms: BTreeMap<Arc<str>, u64>,
    // Moving average of the time from a free slot to the first event, by service.
    first_event_ms: BTreeMap<Arc<str>, f64>,
}

impl TimingStats {
    /// Returns for how long the client has been trying: the difference between the longest stated
    /// wait of the route and that of this request, as a client that retries has less time left.
    pub fn elapsed_before(&self, request: &ClientRequest) -> u64 {
        let mut inner = self.lock();
        let longest_ms = inner
            .longest_wait_ms
            .entry(request.route.name.clone())
            .or_default();
        *longest_ms = (*longest_ms).max(request.client_wait_ms);
        *longest_ms - request.client_wait_ms
    }

    fn first_event_ms(&self, service: &str) -> f64 {
        let inner = self.lock();
        inner
            .first_event_ms
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_FIRST_EVENT_MS)
    }

    fn record_first_event(&self, service: &Arc<str>, elapsed_ms: u64) {
        let mut inner = self.lock();
        let average_ms = inner
            .first_event_ms
            .entry(service.clone())
            .or_insert(DEFAULT_FIRST_EVENT_MS);
        *average_ms += FIRST_EVENT_SMOOTHING_FACTOR * (elapsed_ms as f64 - *average_ms);
    }

    fn lock(&self) -> MutexGuard<'_, TimingStatsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The continuation of a stream at another engine.
pub struct ResumedStream {
    /// Body of the engine's response.
    pub body: Incoming,
    /// Whether the head states how the body ends.
    pub is_framed: bool,
    /// Witness of the response, if it is not framed.
    pub witness: Option<Witness>,
    /// Returns the connection to the pool at the end.
    pub connection: ConnectionReturn,
    /// Load at the engine.
    pub guard: LoadGuard,
}

/// Resumes a stream that was cut, at another engine of the software version of `failed`, after the
/// last event that the client has received.
pub async fn resume(
    gateway: &SharedGateway,
    request: &ClientRequest,
    runs: u32,
    failed: &Upstream,
    last_event: Option<HeaderValue>,
) -> Option<ResumedStream> {
    let version = resumable_version(gateway, failed)?;
    let service = &request.service.name;
    let may_run = runs < request.route.max_attempts
        && !gateway.quarantine.is_quarantined(&request.content)
        && queues::has_decode_engine(gateway, service, Some(&version), Some(&failed.id));
    if !may_run || !gateway.take_retry(request) {
        return None;
    }
    let now = clock::now();
    let progress = Progress {
        failed_engine: Some(failed.id.clone()),
        version: Some(version),
        ..Progress::default()
    };
    let slot_request = SlotRequest {
        // The client sees a pause until then, so it is pointless to wait beyond its objective.
        on_time_deadline_ms: now.after(request.route.objective_ms),
        queue_deadline_ms: now.after(request.route.objective_ms),
        returned: true,
        ..slot_request(gateway, request, &progress)
    };
    let placement = broker::place(gateway, slot_request);
    let placement = gateway
        .quarantine
        .unless_quarantined(&request.content, placement)
        .await?
        .ok()?;
    let names = &gateway.dialect.headers;
    let extra_headers = last_event.map(|last| (names.last_event_id.clone(), last));
    let extra_headers = extra_headers.into_iter().collect();
    let upstream = placement.decode.upstream().clone();
    let wait_deadline_ms = now.after(request.route.objective_ms);
    let permit = permits::acquire(gateway, request, &upstream, wait_deadline_ms)
        .await
        .ok()?;
    let outcome = forwarding::send(
        gateway,
        request,
        &upstream,
        permit,
        extra_headers,
        request.deadline_ms,
    )
    .await;
    if let SendOutcome::Cut(_) = outcome {
        quarantine::handle_cut(gateway, &request.in_flight(), &upstream).await;
    }
    let SendOutcome::Answered(reply) = outcome else {
        return None;
    };
    if !forwarding::is_forwardable(gateway, reply.status, &reply.headers) {
        gateway.record_outcome(&upstream, Outcome::Failed);
        return None;
    }
    if !reply.status.is_success() {
        return None;
    }
    gateway.events.write(
        "stream_resumed",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "version": &*upstream.software_version,
            "pause_ms": clock::now().since(now),
        }),
    );
    let is_framed = reply.is_framed;
    let witness = Witness::begin(gateway, &upstream, &reply);
    let (body, connection) = reply.into_body();
    Some(ResumedStream {
        body,
        is_framed,
        witness,
        connection,
        guard: placement.decode,
    })
}

// Returns the software version that wrote the events of an engine. It is unknown if the engine has
// started again with another one, as they may be those of either.
fn resumable_version(gateway: &Gateway, engine: &Upstream) -> Option<Arc<str>> {
    let state = gateway.state();
    let known = state.upstreams.get(&engine.id);
    known
        .is_none_or(|known| known.software_version == engine.software_version)
        .then(|| engine.software_version.clone())
}

/// Forwards a generation request and returns the response.
pub async fn generate(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
) -> Result<Response<ResponseBody>, Rejection> {
    let service = &request.service.name;
    if !queues::has_decode_engine(gateway, service, None, None) {
        return Err(Rejection::with_retry_after(
            queues::no_upstream(gateway, service),
            queues::NO_ENGINE_RETRY_MS,
            request.deadline_ms.remaining(clock::now()),
        ));
    }
    let mut progress = Progress {
        version: stream_origins::required_version(gateway, request).await?,
        ..Progress::default()
    };
    if !queues::has_decode_engine(gateway, service, progress.version.as_ref(), None) {
        return Err(Rejection::new(Reason::VersionGone));
    }
    for placements in 1..=MAX_PLACEMENTS {
        if request.deadline_ms <= clock::now() {
            break;
        }
        let slot_request = slot_request(gateway, request, &progress);
        let started_ms = clock::now();
        let backoff_ms = queues::backoff_ms(gateway, service, progress.version.as_ref());
        if backoff_ms > slot_request.queue_deadline_ms.remaining(started_ms) {
            return Err(reject(gateway, request, &progress, backoff_ms));
        }
        let placement = broker::place(gateway, slot_request);
        let placement = gateway
            .quarantine
            .unless_quarantined(&request.content, placement)
            .await;
        let waited_ms = clock::now().since(started_ms);
        metrics::histogram!(counters::WAIT_MS).record(waited_ms as f64);
        let placement = match placement {
            Some(Ok(placement)) => placement,
            Some(Err(refusal)) => {
                return Err(reject(gateway, request, &progress, refusal.retry_after_ms));
            }
            None => break,
        };
        progress.failed_engine = Some(placement.decode.upstream().id.clone());
        if let Some(response) = run(gateway, request, placement, &mut progress).await {
            return Ok(response);
        }
        if progress.unrecorded {
            break;
        }
        // An engine that could not be reached costs no retry, as nothing was sent to it.
        let costs_retry = progress.attempts.send_costs_retry();
        if !progress.attempts.may_retry(&request.route)
            || placements == MAX_PLACEMENTS
            || gateway.quarantine.is_quarantined(&request.content)
            || (costs_retry && !gateway.take_retry(request))
        {
            break;
        }
    }
    if progress.attempts.runs == 0
        && let Some(rejection) = gateway.quarantine.rejection(&request.content)
    {
        return Err(rejection);
    }
    Err(reject(
        gateway,
        request,
        &progress,
        queues::NO_ENGINE_RETRY_MS,
    ))
}

fn reject(
    gateway: &Gateway,
    request: &ClientRequest,
    progress: &Progress,
    retry_after_ms: u64,
) -> Rejection {
    let remaining_ms = request.deadline_ms.remaining(clock::now());
    let cold_ms = match progress.attempts.runs {
        0 => cold::retry_after_ms(gateway, &request.service.name, remaining_ms),
        _ => None,
    };
    let retry_after_ms = cold_ms.unwrap_or(retry_after_ms);
    match (progress.attempts.runs, progress.timed_out) {
        (0, _) if progress.unrecorded => {
            Rejection::with_retry_after(Reason::VersionNotRecorded, retry_after_ms, remaining_ms)
        }
        (0, _) => Rejection::with_retry_after(Reason::Overloaded, retry_after_ms, remaining_ms),
        (_, true) => Rejection::new(Reason::ExpiredMayHaveRun),
        (_, false) => Rejection::new(Reason::AnswerLost),
    }
}

fn slot_request(gateway: &Gateway, request: &ClientRequest, progress: &Progress) -> SlotRequest {
    let size = request.prompt.unwrap_or(PromptSize {
        prompt_tokens: 1,
        max_output_tokens: 1,
        expected_output_tokens: None,
    });
    let expected = upstream_speeds::output_tokens(gateway, request, size);
    let service = &request.service.name;
    let elapsed_ms = gateway.timing_stats.elapsed_before(request);
    let first_event_ms = gateway.timing_stats.first_event_ms(service) as u64;
    let usable_ms = request
        .route
        .objective_ms
        .saturating_sub(elapsed_ms)
        .saturating_sub(first_event_ms);
    let returned = elapsed_ms > RETURNED_MARGIN_MS;
    let wait_ms = if returned {
        RETURNED_WAIT_MS
    } else {
        usable_ms + LATE_GRACE_MS
    };
    SlotRequest {
        request_id: request.id_text().into(),
        service: service.clone(),
        prompt_tokens: size.prompt_tokens,
        kv_tokens: size.prompt_tokens + (expected as f64 * HELD_OUTPUT_SHARE) as u64,
        priority: request.priority,
        on_time_deadline_ms: request.received_ms.after(usable_ms),
        queue_deadline_ms: request.received_ms.after(wait_ms).min(request.deadline_ms),
        returned,
        excluded_engine: progress.failed_engine.clone(),
        backoffs: gateway.state().health.backoffs(clock::now()),
        data_centre: gateway.settings.load().data_centre.clone(),
        version: progress.version.clone(),
    }
}

// Runs a request at its placement. Returns the response, or records in `progress` what happened.
async fn run(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
    placement: Placement,
    progress: &mut Progress,
) -> Option<Response<ResponseBody>> {
    let Placement {
        mut decode,
        prefill,
    } = placement;
    let slot_granted_ms = clock::now();
    if let Err(error) = forwarding::ensure_connected(gateway, decode.upstream()).await {
        decode.set_result(match error {
            // Nothing is known of the upstream.
            SendError::NotSent(_) => broker::GrantOutcome::Withheld,
            _ => broker::GrantOutcome::Unreachable,
        });
        if !matches!(error, SendError::NotSent(_)) {
            gateway.record_outcome(decode.upstream(), Outcome::Unreachable);
        }
        gateway.events.write(
            "engine_unreachable",
            serde_json::json!({
                "request_id": request.id_text(),
                "upstream": &*decode.upstream().id,
                "detail": error.to_string(),
            }),
        );
        return None;
    }
    // Before the prefill, whose cache would expire during a wait for a permit.
    let wait_deadline_ms = request.received_ms.after(request.route.objective_ms);
    let upstream = decode.upstream().clone();
    let Ok(permit) = permits::acquire(gateway, request, &upstream, wait_deadline_ms).await else {
        decode.set_result(broker::GrantOutcome::Withheld);
        return None;
    };
    // The store answers during the prefill.
    let recording = stream_origins::record(gateway, request, &upstream);
    let cache_source = match progress.take_reusable_cache(request, &upstream) {
        Some(cache) => Some(cache),
        None => prefill::run_prefill(gateway, request, prefill, &decode, progress).await,
    };
    match recording.finish().await {
        Recorded::AnyVersion => {}
        Recorded::OneVersion => progress.version = Some(upstream.software_version.clone()),
        Recorded::Default(version) => {
            decode.set_result(broker::GrantOutcome::Withheld);
            progress.version = Some(version);
            return None;
        }
        Recorded::Failed => {
            decode.set_result(broker::GrantOutcome::Withheld);
            progress.unrecorded = true;
            return None;
        }
    }
    // An update on suspects may have arrived during the wait for the placement or the prefill.
    if gateway.quarantine.is_quarantined(&request.content) {
        return None;
    }
    let names = &gateway.dialect.headers;
    let extra_headers = cache_source.map(|cache_source| (names.cache_source.clone(), cache_source));
    let extra_headers = extra_headers.into_iter().collect();
    let outcome = forwarding::send(
        gateway,
        request,
        &upstream,
        permit,
        extra_headers,
        request.deadline_ms,
    )
    .await;
    progress.attempts.sends += 1;
    match outcome {
        SendOutcome::Answered(reply) => {
            let runs = progress.attempts.runs + 1;
            let accepted = accept(gateway, request, reply, decode, slot_granted_ms, runs);
            progress.attempts.runs += u32::from(accepted.is_none());
            return accepted;
        }
        SendOutcome::NotSent(_) => decode.set_result(broker::GrantOutcome::Unreachable),
        SendOutcome::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => {
            decode.set_result(broker::GrantOutcome::Replaced);
        }
        SendOutcome::NotExecuted(_) | SendOutcome::Withheld => {
            decode.set_result(broker::GrantOutcome::Full)
        }
        SendOutcome::NoPath(_) | SendOutcome::NoPermit => {
            decode.set_result(broker::GrantOutcome::Withheld);
        }
        // The grant ends unused.
        SendOutcome::Quarantined => {}
        SendOutcome::Cut(_) => {
            progress.attempts.runs += 1;
            decode.set_failed();
            quarantine::handle_cut(gateway, &request.in_flight(), &upstream).await;
        }
        SendOutcome::Lost(_) => {
            progress.attempts.runs += 1;
            decode.set_failed();
        }
        SendOutcome::TimedOut => {
            progress.attempts.runs += 1;
            progress.timed_out = true;
        }
    }
    None
}

// Turns the head of an engine's response into the response to the client, or returns `None` if it
// can't be used.
fn accept(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
    reply: Reply,
    mut decode: LoadGuard,
    slot_granted_ms: TimeMs,
    runs: u32,
) -> Option<Response<ResponseBody>> {
    let forwardable = forwarding::is_forwardable(gateway, reply.status, &reply.headers);
    let now = clock::now();
    let elapsed_ms = now.since(slot_granted_ms);
    if forwardable && reply.status.is_success() {
        gateway.record_outcome(decode.upstream(), Outcome::Answered { elapsed_ms });
        gateway
            .timing_stats
            .record_first_event(&request.service.name, elapsed_ms);
    } else {
        gateway.record_outcome(decode.upstream(), Outcome::Failed);
        decode.set_failed();
    }
    if !forwardable {
        return None;
    }
    let status = reply.status;
    let mut headers = headers::to_client(&reply.headers);
    let resume = resumable(gateway, request, status, runs);
    if resume.is_some() {
        // A resumed stream may be longer or shorter than the first engine's would have been.
        headers.remove(header::CONTENT_LENGTH);
    }
    let is_framed = reply.is_framed;
    let witness = Witness::begin(gateway, decode.upstream(), &reply);
    let (body, connection) = reply.into_body();
    let relay = Relay {
        gateway: gateway.clone(),
        in_flight: request.in_flight(),
        workload: Workload::of(gateway, request),
        body,
        connection: Some(connection),
        guard: decode,
        deadline_ms: request.deadline_ms,
        is_framed,
        witness,
        is_success: status.is_success(),
        begun_ms: now,
        bytes: 0,
        last_chunk_ms: now,
        longest_gap_ms: 0,
        events: is_event_stream(status, &headers).then(EventCounter::default),
        resume,
    };
    let mut response = Response::new(ResponseBody::streamed(relay.into_body()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Some(response)
}

fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|content_type| content_type.to_str().ok());
    status.is_success()
        && content_type.is_some_and(|content_type| content_type.starts_with(EVENT_STREAM))
}

fn resumable(
    gateway: &Gateway,
    request: &Arc<ClientRequest>,
    status: StatusCode,
    runs: u32,
) -> Option<ResumeState> {
    let may_resume = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    let last_event = request.headers.get(&gateway.dialect.headers.last_event_id);
    (may_resume && status.is_success()).then(|| ResumeState {
        request: request.clone(),
        runs,
        events: EventSplitter::after(last_event.cloned()),
    })
}
