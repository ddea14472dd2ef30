//! Requests to plain services, with one buffered response each.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::client_limits::Purpose;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::retries::Attempts;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::Reply;
use dogwoodpier_process::clock;

use crate::body::ResponseBody;
use crate::client_budget::Buffer;
use crate::cold;
use crate::forwarding;
use crate::forwarding::SendOutcome;
use crate::headers;
use crate::permits;
use crate::permits::SendPermit;
use crate::plain_queue;
use crate::plain_queue::PlainSlot;
use crate::quarantine;
use crate::queues;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Holder;
use crate::state::LoadGuard;
use crate::state::SharedGateway;
use crate::upstream_speeds;
use crate::witness::Witness;

// Sends of one request, including rejected ones. More of them would only shift load between
// upstreams.
const MAX_SENDS: u32 = 3;
// Sends of one request that upstreams reject as full, if requests wait for capacity. Beyond one more,
// a request would be passed from one full upstream to the next.
const MAX_FULL_SENDS: u32 = 2;
// Permits that a request is denied before only upstreams without a limit are tried: each denial
// costs a round trip to another instance.
const MAX_DENIED_PERMITS: u32 = 3;
// Largest response; it is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
// Time after which a service that rejects is likely to have room: a few of its usual response
// times.
const NOT_RUN_RETRY_MS: u64 = 300;

/// A complete response of an upstream.
struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    is_framed: bool,
}

impl BufferedResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = headers::to_client(&self.headers);
        response
    }
}

/// Progress of a request over its sends.
#[derive(Default)]
struct Progress {
    attempts: Attempts,
    timed_out: bool,
    // Sends that upstreams rejected as full.
    full_sends: u32,
    tried: Vec<Arc<str>>,
    // An upstream's own error response, returned to the client if no later send succeeds.
    failure: Option<BufferedResponse>,
}

/// Forwards a request and returns the response.
pub async fn forward(
    gateway: &SharedGateway,
    request: &ClientRequest,
) -> Result<Response<ResponseBody>, Rejection> {
    let mut progress = Progress::default();
    loop {
        let selected = gateway
            .quarantine
            .unless_quarantined(&request.content, place(gateway, request, &progress))
            .await;
        let (slot, guard, permit) = match selected {
            Some(Ok(selected)) => selected,
            Some(Err(NotSelected {
                reason,
                retry_after_ms,
            })) => return finish(gateway, request, progress, reason, retry_after_ms),
            None => return finish(gateway, request, progress, Reason::NotRun, NOT_RUN_RETRY_MS),
        };
        progress.attempts.sends += 1;
        progress.tried.push(guard.upstream().id.clone());
        match attempt(gateway, request, &guard, &slot, permit, &mut progress).await {
            Some(response) => return Ok(response.into_response()),
            None if !is_last(&slot, &progress) && may_retry(gateway, request, &progress) => {}
            None if slot.is_queued() && progress.full_sends > 0 => {
                let rejection = plain_queue::reject(gateway, request, "full", 0);
                let retry_after_ms = rejection.retry_after_ms.unwrap_or(NOT_RUN_RETRY_MS);
                return finish(gateway, request, progress, Reason::NotRun, retry_after_ms);
            }
            None => return finish(gateway, request, progress, Reason::NotRun, NOT_RUN_RETRY_MS),
        }
    }
}

fn finish(
    gateway: &SharedGateway,
    request: &ClientRequest,
    progress: Progress,
    not_run: Reason,
    retry_after_ms: u64,
) -> Result<Response<ResponseBody>, Rejection> {
    if let Some(failure) = progress.failure {
        return Ok(failure.into_response());
    }
    let now = clock::now();
    if progress.attempts.runs == 0
        && let Some(rejection) = gateway.quarantine.rejection(&request.content)
    {
        return Err(rejection);
    }
    if progress.attempts.runs > 0 {
        let expired = progress.timed_out;
        return Err(Rejection::new(if expired {
            Reason::ExpiredMayHaveRun
        } else {
            Reason::AnswerLost
        }));
    }
    Err(Rejection::with_retry_after(
        not_run,
        retry_after_ms,
        request.deadline_ms.remaining(now),
    ))
}

// Returns whether upstreams have rejected a request as full as often as is allowed.
fn is_last(slot: &PlainSlot, progress: &Progress) -> bool {
    slot.is_queued() && progress.full_sends >= MAX_FULL_SENDS
}

fn may_retry(gateway: &SharedGateway, request: &ClientRequest, progress: &Progress) -> bool {
    progress.attempts.may_retry(&request.route)
        && progress.attempts.sends < MAX_SENDS
        && !gateway.quarantine.is_quarantined(&request.content)
        && gateway.take_retry(request)
}

/// Why no upstream was selected.
struct NotSelected {
    reason: Reason,
    retry_after_ms: u64,
}

// Waits for the capacity to send a request, and selects an upstream for it.
async fn place(
    gateway: &SharedGateway,
    request: &ClientRequest,
    progress: &Progress,
) -> Result<(PlainSlot, LoadGuard, SendPermit), NotSelected> {
    let was_sent = progress.full_sends > 0;
    let slot = plain_queue::acquire(gateway, request, was_sent)
        .await
        .map_err(|rejection| NotSelected {
            reason: rejection.reason,
            retry_after_ms: rejection.retry_after_ms.unwrap_or(NOT_RUN_RETRY_MS),
        })?;
    let (guard, permit) = select_permitted(gateway, request, &progress.tried).await?;
    Ok((slot, guard, permit))
}

// Selects an upstream that may be sent the request now. If there are only upstreams whose rate
// limit is used up, waits for one of them for as long as the response can still be on time.
async fn select_permitted(
    gateway: &SharedGateway,
    request: &ClientRequest,
    tried: &[Arc<str>],
) -> Result<(LoadGuard, SendPermit), NotSelected> {
    for denied in 0..=MAX_DENIED_PERMITS {
        let unlimited_only = denied == MAX_DENIED_PERMITS;
        let Some(guard) = select_upstream(gateway, request, tried, unlimited_only) else {
            break;
        };
        let now = clock::now();
        if let Ok(permit) = permits::acquire(gateway, request, guard.upstream(), now).await {
            return Ok((guard, permit));
        }
    }
    let Some((guard, wait_deadline_ms)) = select_next_permitted(gateway, request, tried) else {
        return Err(NotSelected {
            reason: queues::no_upstream(gateway, &request.service.name),
            retry_after_ms: NOT_RUN_RETRY_MS,
        });
    };
    match permits::acquire(gateway, request, guard.upstream(), wait_deadline_ms).await {
        Ok(permit) => Ok((guard, permit)),
        Err(denied) => {
            let remaining_ms = request.deadline_ms.remaining(clock::now());
            let service = &request.service.name;
            if let Some(retry_after_ms) = cold::retry_after_ms(gateway, service, remaining_ms) {
                return Err(NotSelected {
                    reason: Reason::UpstreamLimited,
                    retry_after_ms,
                });
            }
            // Clients that are refused at the same time must not return at the same time.
            let spread = 1.0 + rand::random::<f64>();
            let retry_after_ms = denied.retry_after_ms.max(NOT_RUN_RETRY_MS) as f64 * spread;
            Err(NotSelected {
                reason: Reason::UpstreamLimited,
                retry_after_ms: retry_after_ms as u64,
            })
        }
    }
}

// Selects the upstream that is expected to have the next permit. Also returns the time until which
// it is worth waiting for it.
fn select_next_permitted(
    gateway: &SharedGateway,
    request: &ClientRequest,
    tried: &[Arc<str>],
) -> Option<(LoadGuard, TimeMs)> {
    let now = clock::now();
    let (upstream, latency_ms) = {
        let state = gateway.state();
        let candidates = state.candidates(&request.service.name);
        let limited = candidates.into_iter().filter(|candidate| {
            let upstream = &candidate.upstream;
            state.upstream_limits.send_limit(upstream, now).is_some()
                && state.health.backoff_ms(&upstream.id, now) == 0
        });
        let next = limited.min_by_key(|candidate| {
            let upstream = &candidate.upstream;
            (
                state.health.is_avoided(&upstream.id, now),
                tried.contains(&upstream.id),
                state.upstream_limits.withheld_ms(upstream, now),
            )
        })?;
        let latency_ms = state.health.latency_ms(&next.upstream.id, 0.0);
        (next.upstream, latency_ms)
    };
    let usable_ms = request.route.objective_ms.saturating_sub(latency_ms as u64);
    let wait_deadline_ms = request
        .received_ms
        .after(usable_ms)
        .min(request.deadline_ms);
    Some((track_request(gateway, &upstream), wait_deadline_ms))
}

// `unlimited_only` leaves out the upstreams that have named a rate limit.
fn select_upstream(
    gateway: &SharedGateway,
    request: &ClientRequest,
    tried: &[Arc<str>],
    unlimited_only: bool,
) -> Option<LoadGuard> {
    let upstream = {
        let settings = gateway.settings.load();
        let state = gateway.state();
        let mut candidates = state.candidates(&request.service.name);
        let now = clock::now();
        candidates.retain(|candidate| {
            let upstream = &candidate.upstream;
            let is_limited = state.upstream_limits.send_limit(upstream, now).is_some();
            state.health.backoff_ms(&upstream.id, now) == 0 && !(unlimited_only && is_limited)
        });
        state.retain_permitted(&mut candidates, now);
        if candidates
            .iter()
            .any(|candidate| !tried.contains(&candidate.upstream.id))
        {
            candidates.retain(|candidate| !tried.contains(&candidate.upstream.id));
        }
        // Cold upstreams are slow. They get requests only if the others have no room.
        let has_room = |candidate: &Candidate| {
            let upstream = &candidate.upstream;
            !state.is_cold(upstream, now)
                && !state.health.is_avoided(&upstream.id, now)
                && candidate.load.requests < upstream.slots
        };
        if candidates.iter().any(has_room) {
            candidates.retain(|candidate| !state.is_cold(&candidate.upstream, now));
        }
        let selector = Selector {
            data_centre: &settings.data_centre,
            health: &state.health,
            now,
        };
        let service = &request.service.name;
        let index = upstream_speeds::select_plain(gateway, service, &selector, &candidates)
            .or_else(|| selector.select_any(&candidates))?;
        candidates.swap_remove(index).upstream
    };
    Some(track_request(gateway, &upstream))
}

fn track_request(gateway: &SharedGateway, upstream: &Arc<Upstream>) -> LoadGuard {
    let load = UpstreamLoad {
        requests: 1,
        ..UpstreamLoad::default()
    };
    gateway.track_load(upstream, load, Holder::Local)
}

// Sends a request once. Returns the response for the client, or records in `progress` what
// happened.
async fn attempt(
    gateway: &SharedGateway,
    request: &ClientRequest,
    guard: &LoadGuard,
    slot: &PlainSlot,
    permit: SendPermit,
    progress: &mut Progress,
) -> Option<BufferedResponse> {
    let upstream = guard.upstream();
    let started_ms = clock::now();
    let send_deadline_ms = send_deadline(request, progress.attempts.runs, started_ms);
    let outcome = forwarding::send(
        gateway,
        request,
        upstream,
        permit,
        Vec::new(),
        send_deadline_ms,
    )
    .await;
    if plain_queue::is_full(gateway, upstream, &outcome) {
        progress.full_sends += 1;
        slot.record_full(request, upstream, started_ms);
    }
    if outcome.has_not_run() {
        return None;
    }
    progress.attempts.runs += 1;
    progress.timed_out = matches!(outcome, SendOutcome::TimedOut);
    if let SendOutcome::Cut(_) = outcome {
        quarantine::handle_cut(gateway, &request.in_flight(), upstream).await;
    }
    let SendOutcome::Answered(reply) = outcome else {
        return None;
    };
    let response = match read_response(gateway, reply, upstream, send_deadline_ms).await {
        Ok(response) => response,
        Err(error) => {
            record_failure(gateway, request, upstream, error.as_str());
            match error {
                ReadError::Cut => {
                    quarantine::handle_cut(gateway, &request.in_flight(), upstream).await;
                }
                ReadError::Unproven => {
                    let in_flight = request.in_flight();
                    quarantine::handle_unproven_end(gateway, &in_flight, upstream).await;
                }
                ReadError::TooLarge | ReadError::NoMemory | ReadError::TimedOut => {}
            }
            return None;
        }
    };
    if !forwarding::is_forwardable(gateway, response.status, &response.headers) {
        record_failure(gateway, request, upstream, "the answer isn't genuine");
        return None;
    }
    // The end of an unframed response may be that of the upstream.
    if response.is_framed {
        quarantine::record_answer(gateway, &request.in_flight(), response.status.is_success());
    }
    if response.status.is_server_error() {
        gateway.record_outcome(upstream, Outcome::Failed);
        progress.failure = Some(response);
        return None;
    }
    slot.record_answer(request, upstream, started_ms);
    let elapsed_ms = clock::now().since(started_ms);
    gateway.record_outcome(upstream, Outcome::Answered { elapsed_ms });
    upstream_speeds::record_plain(gateway, upstream, elapsed_ms);
    gateway.events.write(
        "served",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "send": progress.attempts.sends,
            "elapsed_ms": elapsed_ms,
        }),
    );
    Some(response)
}

// Returns the deadline of a send. A request that may be retried leaves time for another upstream.
fn send_deadline(request: &ClientRequest, runs: u32, now: TimeMs) -> TimeMs {
    if !request.route.retry_policy.is_idempotent() || runs + 1 >= request.route.max_attempts {
        return request.deadline_ms;
    }
    request
        .deadline_ms
        .min(now.after(request.route.objective_ms))
}

fn record_failure(
    gateway: &SharedGateway,
    request: &ClientRequest,
    upstream: &Upstream,
    detail: &str,
) {
    gateway.record_outcome(upstream, Outcome::Failed);
    gateway.events.write(
        "answer_unusable",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "detail": detail,
        }),
    );
}

// Why a response could not be read.
enum ReadError {
    Cut,
    // It ended with its connection, and possibly with its upstream.
    Unproven,
    TooLarge,
    NoMemory,
    TimedOut,
}

impl ReadError {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Cut => "the answer was cut",
            Self::Unproven => "the answer may have ended with its upstream",
            Self::TooLarge => "the answer is too large",
            Self::NoMemory => "there is no memory for the answer",
            Self::TimedOut => "the answer didn't end in time",
        }
    }
}

// Reads a response to its end.
async fn read_response(
    gateway: &SharedGateway,
    reply: Reply,
    upstream: &Arc<Upstream>,
    send_deadline_ms: TimeMs,
) -> Result<BufferedResponse, ReadError> {
    let witness = Witness::begin(gateway, upstream, &reply);
    let status = reply.status;
    let is_framed = reply.is_framed;
    let headers = reply.headers.clone();
    let (mut body, connection) = reply.into_body();
    let stated_bytes = body.size_hint().upper();
    let stated_bytes = stated_bytes.map_or(MAX_RESPONSE_BYTES, |upper| {
        upper.min(MAX_RESPONSE_BYTES as u64) as usize
    });
    let limit = std::time::Duration::from_millis(send_deadline_ms.remaining(clock::now()));
    let read = async {
        let mut buffer = Buffer::new(gateway, Purpose::Response);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() {
                if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
                    return Err(ReadError::TooLarge);
                }
                buffer
                    .push(&data, stated_bytes)
                    .map_err(|_| ReadError::NoMemory)?;
                if let Some(witness) = &witness {
                    witness.record_chunk();
                }
            }
        }
        Ok(buffer.into_bytes())
    };
    let body = tokio::time::timeout(limit, read)
        .await
        .unwrap_or(Err(ReadError::TimedOut))?;
    if let Some(witness) = witness
        && !witness.outlives_response(send_deadline_ms).await
    {
        return Err(ReadError::Unproven);
    }
    connection.return_to_pool();
    Ok(BufferedResponse {
        status,
        headers,
        body,
        is_framed,
    })
}
