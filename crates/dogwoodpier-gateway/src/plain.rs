//! Requests to plain services: one whole answer each.

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

use crate::body::AnswerBody;
use crate::forwarding;
use crate::forwarding::Sent;
use crate::headers;
use crate::lines;
use crate::quarantine;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Holder;
use crate::state::SharedGateway;
use crate::state::UseGuard;

// Sends for one request, those that were rejected included. More would only move load around.
const MAX_SENDS: u32 = 3;
// Largest answer that is held back until it is whole.
const MAX_ANSWER_BYTES: usize = 1 << 20;
// Time after which a rejecting service is likely to have room: a few of its usual answers.
const NOT_RUN_RETRY_MS: u64 = 300;

/// A whole answer of an upstream.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = headers::to_client(&self.headers);
        response
    }
}

/// What became of a request so far.
#[derive(Default)]
struct Progress {
    attempts: Attempts,
    timed_out: bool,
    tried: Vec<Arc<str>>,
    // An upstream's own failure, given to the client if nothing better comes.
    failure: Option<Answer>,
}

/// Forwards a request and returns the answer.
pub async fn forward(
    gateway: &SharedGateway,
    request: &ClientRequest,
) -> Result<Response<AnswerBody>, Rejection> {
    let mut progress = Progress::default();
    loop {
        let Some(guard) = choose(gateway, request, &progress.tried) else {
            let reason = lines::no_upstream(gateway, &request.service.name);
            return finish(request, progress, reason);
        };
        progress.attempts.sends += 1;
        progress.tried.push(guard.upstream().id.clone());
        match attempt(gateway, request, &guard, &mut progress).await {
            Some(answer) => return Ok(answer.into_response()),
            None if may_retry(gateway, request, &progress) => {}
            None => return finish(request, progress, Reason::NotRun),
        }
    }
}

fn finish(
    request: &ClientRequest,
    progress: Progress,
    not_run: Reason,
) -> Result<Response<AnswerBody>, Rejection> {
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
    Err(Rejection::come_back(
        not_run,
        NOT_RUN_RETRY_MS,
        request.deadline_ms.remaining(now),
    ))
}

fn may_retry(gateway: &SharedGateway, request: &ClientRequest, progress: &Progress) -> bool {
    progress.attempts.may_retry(&request.route)
        && progress.attempts.sends < MAX_SENDS
        && !gateway.quarantine.holds(request.fingerprint)
        && gateway.take_retry(request)
}

fn choose(
    gateway: &SharedGateway,
    request: &ClientRequest,
    tried: &[Arc<str>],
) -> Option<UseGuard> {
    let upstream = {
        let settings = gateway.settings.load();
        let beliefs = gateway.beliefs();
        let mut candidates = beliefs.candidates(&request.service.name);
        let now = clock::now();
        candidates.retain(|candidate| beliefs.records.backoff_ms(&candidate.upstream.id, now) == 0);
        if candidates
            .iter()
            .any(|candidate| !tried.contains(&candidate.upstream.id))
        {
            candidates.retain(|candidate| !tried.contains(&candidate.upstream.id));
        }
        let chooser = Selector {
            data_centre: &settings.data_centre,
            health: &beliefs.records,
            now,
        };
        let place = chooser
            .select_plain(&candidates, rand::random())
            .or_else(|| chooser.select_any(&candidates))?;
        candidates.swap_remove(place).upstream
    };
    let used = UpstreamLoad {
        requests: 1,
        ..UpstreamLoad::default()
    };
    Some(gateway.begin_use(&upstream, used, Holder::Own))
}

// Sends a request once. Returns the answer for the client, or notes in `progress` what happened.
async fn attempt(
    gateway: &SharedGateway,
    request: &ClientRequest,
    guard: &UseGuard,
    progress: &mut Progress,
) -> Option<Answer> {
    let upstream = guard.upstream();
    let started_ms = clock::now();
    let limit_ms = send_limit(request, progress.attempts.runs, started_ms);
    let sent = forwarding::send(gateway, request, upstream, Vec::new(), limit_ms).await;
    if sent.has_not_run() {
        return None;
    }
    progress.attempts.runs += 1;
    progress.timed_out = matches!(sent, Sent::TimedOut);
    if let Sent::Cut(_) = sent {
        quarantine::note_cut(gateway, &request.in_flight(), upstream).await;
    }
    let Sent::Answered(reply) = sent else {
        return None;
    };
    let answer = match read_whole(reply, limit_ms).await {
        Ok(answer) => answer,
        Err(problem) => {
            note_failure(gateway, request, upstream, problem.as_str());
            if let Unread::Cut = problem {
                quarantine::note_cut(gateway, &request.in_flight(), upstream).await;
            }
            return None;
        }
    };
    if !forwarding::is_genuine(gateway, answer.status, &answer.headers) {
        note_failure(gateway, request, upstream, "the answer isn't genuine");
        return None;
    }
    quarantine::note_answered(gateway, request.id_text(), request.fingerprint);
    if answer.status.is_server_error() {
        gateway.note(upstream, Outcome::Failed);
        progress.failure = Some(answer);
        return None;
    }
    let elapsed_ms = clock::now().since(started_ms);
    gateway.note(upstream, Outcome::Answered { elapsed_ms });
    gateway.events.write(
        "served",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "send": progress.attempts.sends,
            "elapsed_ms": elapsed_ms,
        }),
    );
    Some(answer)
}

// A request that may be repeated leaves time for another upstream.
fn send_limit(request: &ClientRequest, runs: u32, now: TimeMs) -> TimeMs {
    if !request.route.retry_policy.is_idempotent() || runs + 1 >= request.route.max_attempts {
        return request.deadline_ms;
    }
    request
        .deadline_ms
        .min(now.after(request.route.objective_ms))
}

fn note_failure(
    gateway: &SharedGateway,
    request: &ClientRequest,
    upstream: &Upstream,
    detail: &str,
) {
    gateway.note(upstream, Outcome::Failed);
    gateway.events.write(
        "answer_unusable",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "detail": detail,
        }),
    );
}

// Why an answer wasn't read to its end.
enum Unread {
    Cut,
    TooLarge,
    TimedOut,
}

impl Unread {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Cut => "the answer was cut",
            Self::TooLarge => "the answer is too large",
            Self::TimedOut => "the answer didn't end in time",
        }
    }
}

// Reads an answer to its end.
async fn read_whole(reply: Reply, limit_ms: TimeMs) -> Result<Answer, Unread> {
    let status = reply.status;
    let headers = reply.headers.clone();
    let (mut body, returning) = reply.into_body();
    let limit = std::time::Duration::from_millis(limit_ms.remaining(clock::now()));
    let read = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| Unread::Cut)?.into_data() {
                whole.extend_from_slice(&data);
            }
            if whole.len() > MAX_ANSWER_BYTES {
                return Err(Unread::TooLarge);
            }
        }
        Ok(whole.freeze())
    };
    let body = tokio::time::timeout(limit, read)
        .await
        .unwrap_or(Err(Unread::TimedOut))?;
    returning.return_to_pool();
    Ok(Answer {
        status,
        headers,
        body,
    })
}
