//! A single send of a request to an upstream, and whether the request may have run there.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::Reply;
use dogwoodpier_http::SendError;
use dogwoodpier_process::clock;

use crate::cold;
use crate::counters;
use crate::paths;
use crate::permits;
use crate::permits::SendPermit;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::upstream_speeds;

// Least time left for a send: with less, the upstream would give up before it began.
const MIN_SEND_MS: u64 = 5;
const MS_PER_S: f64 = 1_000.0;

/// How a send ended.
pub enum SendOutcome {
    /// The upstream responded to this request.
    Answered(Reply),
    /// Nothing of the request reached the upstream.
    NotSent(String),
    /// Nothing was sent, as this instance has no path to any upstream.
    NoPath(String),
    /// Nothing was sent, as the upstream asked this instance to back off.
    Withheld,
    /// Nothing was sent, as the upstream is cold and the permit for it is no longer valid.
    NoPermit,
    /// Nothing was sent, as the request or a part of its prompt is quarantined.
    Quarantined,
    /// The upstream rejected the request and has not run it.
    NotExecuted(StatusCode),
    /// The connection closed before a response came; the request may have run.
    Cut(String),
    /// The response does not belong to this request; it may have run.
    Lost(String),
    /// No response came in time; the request may have run.
    TimedOut,
}

impl SendOutcome {
    /// Returns the name for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent(_) => "not_sent",
            Self::NoPath(_) => "no_path",
            Self::Withheld => "withheld",
            Self::NoPermit => "no_permit",
            Self::Quarantined => "quarantined",
            Self::NotExecuted(_) => "not_executed",
            Self::Cut(_) => "cut",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether the request has certainly not run at the upstream.
    pub fn has_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_)
                | Self::NoPath(_)
                | Self::Withheld
                | Self::NoPermit
                | Self::Quarantined
                | Self::NotExecuted(_)
        )
    }
}

/// Headers that are added to a single send.
pub type ExtraHeaders = Vec<(HeaderName, HeaderValue)>;

/// Sends a request to an upstream that is to run it, and waits until `send_deadline_ms` for the head of the
/// response. Counts the run against the request's quota charge.
pub async fn send(
    gateway: &SharedGateway,
    request: &ClientRequest,
    upstream: &Upstream,
    permit: SendPermit,
    extra_headers: ExtraHeaders,
    send_deadline_ms: TimeMs,
) -> SendOutcome {
    if let Some(charge) = &request.charge {
        charge.record_run();
    }
    let outcome = send_uncharged(
        gateway,
        request,
        upstream,
        permit,
        extra_headers,
        send_deadline_ms,
    )
    .await;
    if let Some(charge) = &request.charge
        && outcome.has_not_run()
    {
        charge.cancel_run();
    }
    outcome
}

/// Like [`send`], for a call that does not run the request and so does not use up its charge.
pub async fn send_uncharged(
    gateway: &SharedGateway,
    request: &ClientRequest,
    upstream: &Upstream,
    permit: SendPermit,
    extra_headers: ExtraHeaders,
    send_deadline_ms: TimeMs,
) -> SendOutcome {
    let started_ms = clock::now();
    let outcome = match permits::renew(gateway, request, upstream, permit).await {
        Ok(permit) => {
            try_send(
                gateway,
                request,
                upstream,
                &permit,
                extra_headers,
                send_deadline_ms,
            )
            .await
        }
        Err(_) => SendOutcome::NoPermit,
    };
    let elapsed_ms = clock::now().since(started_ms);
    metrics::counter!(counters::SENDS_TOTAL, "result" => outcome.as_str()).increment(1);
    metrics::histogram!(counters::SEND_MS).record(elapsed_ms as f64);
    let limit = {
        let limits = &gateway.state().upstream_limits;
        limits.send_limit(upstream, clock::now())
    };
    if let Some(limit) = limit {
        metrics::counter!(counters::LIMITED_SENDS_TOTAL, "result" => outcome.as_str()).increment(1);
        if limit.is_cold {
            metrics::counter!(counters::COLD_SENDS_TOTAL, "result" => outcome.as_str())
                .increment(1);
        }
    }
    match &outcome {
        SendOutcome::Answered(_)
        | SendOutcome::NoPath(_)
        | SendOutcome::Withheld
        | SendOutcome::NoPermit
        | SendOutcome::Quarantined => {}
        // The upstream may have answered on a path that is lost.
        SendOutcome::TimedOut if gateway.state().partition.is_partitioned() => {}
        SendOutcome::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => {
            gateway.record_outcome(upstream, Outcome::Replaced);
        }
        SendOutcome::NotExecuted(_) => gateway.record_outcome(upstream, Outcome::Full),
        SendOutcome::NotSent(_) | SendOutcome::TimedOut => {
            gateway.record_outcome(upstream, Outcome::Unreachable)
        }
        SendOutcome::Cut(_) | SendOutcome::Lost(_) => {
            gateway.record_outcome(upstream, Outcome::Failed)
        }
    }
    if !matches!(outcome, SendOutcome::Answered(_)) {
        log_failure(gateway, request, upstream, &outcome, elapsed_ms);
    }
    outcome
}

fn log_failure(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    outcome: &SendOutcome,
    elapsed_ms: u64,
) {
    let detail = match outcome {
        SendOutcome::NotSent(detail)
        | SendOutcome::NoPath(detail)
        | SendOutcome::Cut(detail)
        | SendOutcome::Lost(detail) => detail.clone(),
        SendOutcome::NotExecuted(status) => format!("status {}", status.as_u16()),
        SendOutcome::Answered(_)
        | SendOutcome::Withheld
        | SendOutcome::NoPermit
        | SendOutcome::Quarantined
        | SendOutcome::TimedOut => String::new(),
    };
    gateway.events.write(
        "send_failed",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "address": upstream.address.to_string(),
            "result": outcome.as_str(),
            "detail": detail,
            "elapsed_ms": elapsed_ms,
        }),
    );
}

async fn try_send(
    gateway: &SharedGateway,
    request: &ClientRequest,
    upstream: &Upstream,
    // Used up by this send.
    permit: &SendPermit,
    extra_headers: ExtraHeaders,
    send_deadline_ms: TimeMs,
) -> SendOutcome {
    let now = clock::now();
    let remaining_ms = request.deadline_ms.remaining(now);
    if remaining_ms < MIN_SEND_MS {
        return SendOutcome::NotSent("no time left".to_owned());
    }
    // Peers may have reported crashes after the request was admitted.
    if gateway.quarantine.is_quarantined(&request.content) {
        return SendOutcome::Quarantined;
    }
    // The upstream may have asked for a pause after it was selected.
    if gateway.state().health.backoff_ms(&upstream.id, now) > 0 {
        return SendOutcome::Withheld;
    }
    let build = || build(gateway, request, upstream, &extra_headers);
    let result = match send_by(gateway, upstream, send_deadline_ms, build).await {
        Err(SendFailure::NoConnection {
            by_relay: false, ..
        }) if paths::check(gateway, upstream).await
            && permits::is_valid(gateway, upstream, permit) =>
        {
            send_by(gateway, upstream, send_deadline_ms, build).await
        }
        result => result,
    };
    match result {
        Ok(reply) => {
            gateway.state().partition.record_response(clock::now());
            if !answers(gateway, request, &reply) {
                return SendOutcome::Lost("the answer belongs to another request".to_owned());
            }
            apply_response_hints(gateway, upstream, &reply);
            record_limit(gateway, upstream, &reply, now);
            upstream_speeds::record_stated(gateway, upstream, &reply);
            // Another incarnation than the intended one speaks for itself only.
            if reply.status != StatusCode::MISDIRECTED_REQUEST {
                cold::record_response(gateway, upstream, &reply.headers);
            }
            classify(gateway, reply)
        }
        Err(SendFailure::Invalid(error)) => SendOutcome::NotSent(error.to_string()),
        Err(SendFailure::NoConnection { detail, .. }) => SendOutcome::NotSent(detail),
        Err(SendFailure::TimedOut) => SendOutcome::TimedOut,
        Err(SendFailure::Failed(SendError::NotSent(detail))) => SendOutcome::NoPath(detail),
        Err(SendFailure::Failed(SendError::Cut(detail))) => SendOutcome::Cut(detail),
        Err(SendFailure::Failed(error)) => SendOutcome::Lost(error.to_string()),
    }
}

// Why a request got no response.
enum SendFailure {
    // The request can't be built.
    Invalid(http::Error),
    // No connection to the upstream could be established.
    NoConnection { detail: String, by_relay: bool },
    TimedOut,
    Failed(SendError),
}

// Sends a request by the path that is in use, and waits for the head of the response.
async fn send_by<B>(
    gateway: &SharedGateway,
    upstream: &Upstream,
    send_deadline_ms: TimeMs,
    build: B,
) -> Result<Reply, SendFailure>
where
    B: Fn() -> http::Result<Request<Full<Bytes>>>,
{
    let outgoing = build().map_err(SendFailure::Invalid)?;
    let to = paths::destination(gateway, upstream);
    let limit = Duration::from_millis(send_deadline_ms.remaining(clock::now()));
    let sent = tokio::time::timeout(limit, gateway.connections.send(&to, outgoing));
    let result = tokio::select! {
        biased;
        result = sent => result,
        never = check_silence(gateway, upstream) => match never {},
    };
    match result {
        Err(_) => Err(SendFailure::TimedOut),
        Ok(Err(SendError::NotConnected(detail))) => Err(SendFailure::NoConnection {
            detail,
            by_relay: !to.relays.is_empty(),
        }),
        Ok(Err(error)) => Err(SendFailure::Failed(error)),
        Ok(Ok(reply)) => {
            if reply.connected {
                metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
                paths::record_connected(gateway, &to);
            }
            Ok(reply)
        }
    }
}

// Handles the hints in the headers of an upstream's response: that the upstream is leaving, or
// that this instance is to back off.
fn apply_response_hints(gateway: &Gateway, upstream: &Upstream, reply: &Reply) {
    let names = &gateway.dialect.headers;
    let now = clock::now();
    if reply.headers.contains_key(&names.leaving) {
        let started_unix_ms = upstream.started_unix_ms;
        let mut state = gateway.state();
        if state.upstreams.mark_draining(&upstream.id, started_unix_ms) {
            drop(state);
            gateway.events.write(
                "upstream_leaving",
                serde_json::json!({ "upstream": &*upstream.id, "source": "its answer" }),
            );
        }
    }
    let is_rejected = reply.status == StatusCode::SERVICE_UNAVAILABLE
        && reply.headers.contains_key(&names.not_executed);
    let pause_ms = reply.headers.get(header::RETRY_AFTER).and_then(seconds_ms);
    if let (true, Some(pause_ms)) = (is_rejected, pause_ms) {
        let mut state = gateway.state();
        state.health.record_backoff(&upstream.id, pause_ms, now);
        drop(state);
        gateway.events.write(
            "upstream_paused",
            serde_json::json!({ "upstream": &*upstream.id, "asked_ms": pause_ms }),
        );
    }
}

// Records the rate limit that a response names, or the end of the limit if it names none.
fn record_limit(gateway: &Gateway, upstream: &Upstream, reply: &Reply, sent_ms: TimeMs) {
    // Another incarnation than the intended one speaks for itself only.
    if reply.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let named = reply.headers.get(&gateway.dialect.headers.rate_limit);
    let limit_per_s = named.and_then(decimal);
    let now = clock::now();
    let mut state = gateway.state();
    let has_changed = match (named, limit_per_s) {
        (_, Some(limit_per_s)) => state
            .upstream_limits
            .record_limit(upstream, limit_per_s, now),
        // Failures may lack the header although the limit holds.
        (None, _) if reply.status.is_success() => {
            state.upstream_limits.record_no_limit(upstream, sent_ms)
        }
        (None, _) => false,
        (Some(_), None) => {
            drop(state);
            gateway.events.write(
                "upstream_limit_unreadable",
                serde_json::json!({ "upstream": &*upstream.id, "value": format!("{named:?}") }),
            );
            return;
        }
    };
    drop(state);
    if has_changed {
        gateway.report_needed.notify_one();
        log_limit(gateway, upstream, limit_per_s, "its answer");
    }
}

/// Logs that an upstream has named, changed or ended a rate limit.
pub fn log_limit(gateway: &Gateway, upstream: &Upstream, limit_per_s: Option<f64>, source: &str) {
    gateway.events.write(
        "upstream_limit",
        serde_json::json!({
            "upstream": &*upstream.id,
            "limit_per_s": limit_per_s,
            "source": source,
        }),
    );
}

// Reads a decimal number of seconds. Upstreams do not send dates in this header.
fn seconds_ms(value: &HeaderValue) -> Option<u64> {
    let seconds = decimal(value).filter(|seconds| *seconds > 0.0)?;
    Some((seconds * MS_PER_S) as u64)
}

// Reads a decimal number that is not negative.
fn decimal(value: &HeaderValue) -> Option<f64> {
    let number: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Opens a connection to an upstream if there is none, before work is done that would be lost
/// without one.
pub async fn ensure_connected(
    gateway: &SharedGateway,
    upstream: &Upstream,
) -> Result<(), SendError> {
    let to = paths::destination(gateway, upstream);
    let result = match gateway.connections.prepare(&to).await {
        Err(SendError::NotConnected(_))
            if to.relays.is_empty() && paths::check(gateway, upstream).await =>
        {
            let to = paths::destination(gateway, upstream);
            gateway.connections.prepare(&to).await
        }
        Ok(true) => {
            paths::record_connected(gateway, &to);
            Ok(true)
        }
        result => result,
    };
    if result? {
        metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
    }
    Ok(())
}

// Has the links checked if the response is late and no other comes.
async fn check_silence(gateway: &SharedGateway, upstream: &Upstream) -> Infallible {
    paths::check_if_silent(gateway, upstream).await;
    std::future::pending().await
}

fn build(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    extra_headers: &ExtraHeaders,
) -> http::Result<Request<Full<Bytes>>> {
    let remaining_ms = request.deadline_ms.remaining(clock::now());
    let names = &gateway.dialect.headers;
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(origin_form(&request.target))
        .body(Full::new(request.body.clone()))?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(&names.remaining_ms, HeaderValue::from(remaining_ms));
    headers.insert(
        &names.expected_upstream,
        HeaderValue::from_str(&upstream.id)?,
    );
    for (name, value) in extra_headers {
        headers.insert(name, value.clone());
    }
    Ok(outgoing)
}

fn origin_form(target: &http::Uri) -> &str {
    target.path_and_query().map_or("/", |path| path.as_str())
}

// Returns whether a response is that to a request. A faulty upstream may send an earlier response
// once more, a refusal as well as any other.
fn answers(gateway: &Gateway, request: &ClientRequest, reply: &Reply) -> bool {
    match reply.headers.get(&gateway.dialect.headers.request_id) {
        Some(id) => *id == request.id,
        // Over a connection without an earlier request, it can only be the response to this one.
        None => is_refusal(gateway, reply) && !reply.was_used,
    }
}

fn is_refusal(gateway: &Gateway, reply: &Reply) -> bool {
    reply
        .headers
        .contains_key(&gateway.dialect.headers.not_executed)
        || reply.status == StatusCode::MISDIRECTED_REQUEST
}

fn classify(gateway: &Gateway, reply: Reply) -> SendOutcome {
    match is_refusal(gateway, &reply) {
        true => SendOutcome::NotExecuted(reply.status),
        false => SendOutcome::Answered(reply),
    }
}

/// Returns whether a response may be passed on to a client: it bears its upstream's signature, and
/// its status does not claim that the request has not run, which the gateway can't verify.
pub fn is_forwardable(gateway: &Gateway, status: StatusCode, headers: &HeaderMap) -> bool {
    let claims_not_run = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    headers.contains_key(&gateway.dialect.headers.signature) && !claims_not_run
}
