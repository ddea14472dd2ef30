//! Requests to plain services, with one buffered response each.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::retries::Attempts;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::Reply;
use dogwoodpier_process::clock;

use crate::body::ResponseBody;
use crate::forwarding;
use crate::forwarding::SendOutcome;
use crate::headers;
use crate::quarantine;
use crate::queues;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Holder;
use crate::state::LoadGuard;
use crate::state::SharedGateway;

// Sends of one request, including rejected ones. More of them would only shift load between
// upstreams.
const MAX_SENDS: u32 = 3;
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
        let Some(guard) = select_upstream(gateway, request, &progress.tried) else {
            let reason = queues::no_upstream(gateway, &request.service.name);
            return finish(request, progress, reason);
        };
        progress.attempts.sends += 1;
        progress.tried.push(guard.upstream().id.clone());
        match attempt(gateway, request, &guard, &mut progress).await {
            Some(response) => return Ok(response.into_response()),
            None if may_retry(gateway, request, &progress) => {}
            None => return finish(request, progress, Reason::NotRun),
        }
    }
}

fn finish(
    request: &ClientRequest,
    progress: Progress,
    not_run: Reason,
) -> Result<Response<ResponseBody>, Rejection> {
    if let Some(failure) = progress.failure {
        return Ok(failure.into_response());
    }
    let now = clock::now();
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
        NOT_RUN_RETRY_MS,
        request.deadline_ms.remaining(now),
    ))
}

fn may_retry(gateway: &SharedGateway, request: &ClientRequest, progress: &Progress) -> bool {
    progress.attempts.may_retry(&request.route)
        && progress.attempts.sends < MAX_SENDS
        && !gateway.quarantine.is_quarantined(request.fingerprint)
        && gateway.take_retry(request)
}

fn select_upstream(
    gateway: &SharedGateway,
    request: &ClientRequest,
    tried: &[Arc<str>],
) -> Option<LoadGuard> {
    let upstream = {
        let settings = gateway.settings.load();
        let state = gateway.state();
        let mut candidates = state.candidates(&request.service.name);
        let now = clock::now();
        candidates.retain(|candidate| state.health.backoff_ms(&candidate.upstream.id, now) == 0);
        if candidates
            .iter()
            .any(|candidate| !tried.contains(&candidate.upstream.id))
        {
            candidates.retain(|candidate| !tried.contains(&candidate.upstream.id));
        }
        let selector = Selector {
            data_centre: &settings.data_centre,
            health: &state.health,
            now,
        };
        let index = selector
            .select_plain(&candidates, rand::random())
            .or_else(|| selector.select_any(&candidates))?;
        candidates.swap_remove(index).upstream
    };
    let load = UpstreamLoad {
        requests: 1,
        ..UpstreamLoad::default()
    };
    Some(gateway.track_load(&upstream, load, Holder::Local))
}

// Sends a request once. Returns the response for the client, or records in `progress` what
// happened.
async fn attempt(
    gateway: &SharedGateway,
    request: &ClientRequest,
    guard: &LoadGuard,
    progress: &mut Progress,
) -> Option<BufferedResponse> {
    let upstream = guard.upstream();
    let started_ms = clock::now();
    let send_deadline_ms = send_deadline(request, progress.attempts.runs, started_ms);
    let outcome = forwarding::send(gateway, request, upstream, Vec::new(), send_deadline_ms).await;
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
    let response = match read_response(reply, send_deadline_ms).await {
        Ok(response) => response,
        Err(error) => {
            record_failure(gateway, request, upstream, error.as_str());
            if let ReadError::Cut = error {
                quarantine::handle_cut(gateway, &request.in_flight(), upstream).await;
            }
            return None;
        }
    };
    if !forwarding::is_forwardable(gateway, response.status, &response.headers) {
        record_failure(gateway, request, upstream, "the answer isn't genuine");
        return None;
    }
    quarantine::record_answer(gateway, request.id_text(), request.fingerprint);
    if response.status.is_server_error() {
        gateway.record_outcome(upstream, Outcome::Failed);
        progress.failure = Some(response);
        return None;
    }
    let elapsed_ms = clock::now().since(started_ms);
    gateway.record_outcome(upstream, Outcome::Answered { elapsed_ms });
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
    TooLarge,
    TimedOut,
}

impl ReadError {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Cut => "the answer was cut",
            Self::TooLarge => "the answer is too large",
            Self::TimedOut => "the answer didn't end in time",
        }
    }
}

// Reads a response to its end.
async fn read_response(
    reply: Reply,
    send_deadline_ms: TimeMs,
) -> Result<BufferedResponse, ReadError> {
    let status = reply.status;
    let headers = reply.headers.clone();
    let (mut body, connection) = reply.into_body();
    let limit = std::time::Duration::from_millis(send_deadline_ms.remaining(clock::now()));
    let read = async {
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| ReadError::Cut)?.into_data() {
                buffer.extend_from_slice(&data);
            }
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(ReadError::TooLarge);
            }
        }
        Ok(buffer.freeze())
    };
    let body = tokio::time::timeout(limit, read)
        .await
        .unwrap_or(Err(ReadError::TimedOut))?;
    connection.return_to_pool();
    Ok(BufferedResponse {
        status,
        headers,
        body,
    })
}
