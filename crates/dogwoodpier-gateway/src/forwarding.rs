//! One send of a request to an upstream, and what it tells about whether the request ran.

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
use dogwoodpier_http::Destination;
use dogwoodpier_http::Reply;
use dogwoodpier_http::SendError;
use dogwoodpier_process::clock;

use crate::counters;
use crate::request::ClientRequest;
use crate::state::Gateway;

// Time left below which a send is pointless: the upstream would stop before it began.
const MIN_SEND_MS: u64 = 5;
const MS_PER_S: f64 = 1_000.0;

/// How a send ended.
pub enum Sent {
    /// The upstream answered this request.
    Answered(Reply),
    /// Nothing of the request reached the upstream.
    NotSent(String),
    /// The upstream wants nothing from this instance for now, so nothing was sent.
    Withheld,
    /// The upstream rejected the request and has not run it.
    NotExecuted(StatusCode),
    /// The upstream's connection ended before the answer; the request may have run.
    Cut(String),
    /// What came is no answer to this request; it may have run.
    Lost(String),
    /// No answer came in time; the request may have run.
    TimedOut,
}

impl Sent {
    /// Returns the name for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotSent(_) => "not_sent",
            Self::Withheld => "withheld",
            Self::NotExecuted(_) => "not_executed",
            Self::Cut(_) => "cut",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether the request certainly hasn't run there.
    pub fn has_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Withheld | Self::NotExecuted(_)
        )
    }
}

/// Headers that are set for one send.
pub type Extra = Vec<(HeaderName, HeaderValue)>;

/// Sends a request to an upstream that is to run it, and waits for the head of the answer until
/// `limit_ms`.
pub async fn send(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    extra: Extra,
    limit_ms: TimeMs,
) -> Sent {
    if let Some(charge) = &request.charge {
        charge.begin_run();
    }
    let sent = send_unpaid(gateway, request, upstream, extra, limit_ms).await;
    if let Some(charge) = &request.charge
        && sent.has_not_run()
    {
        charge.take_back_run();
    }
    sent
}

/// Like [`send`], for a call that doesn't run the request: it costs nothing of a quota.
pub async fn send_unpaid(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    extra: Extra,
    limit_ms: TimeMs,
) -> Sent {
    let started_ms = clock::now();
    let sent = try_send(gateway, request, upstream, extra, limit_ms).await;
    let elapsed_ms = clock::now().since(started_ms);
    metrics::counter!(counters::SENDS_TOTAL, "result" => sent.as_str()).increment(1);
    metrics::histogram!(counters::SEND_MS).record(elapsed_ms as f64);
    match &sent {
        Sent::Answered(_) | Sent::Withheld => {}
        Sent::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => {
            gateway.note(upstream, Outcome::Replaced);
        }
        Sent::NotExecuted(_) => gateway.note(upstream, Outcome::Full),
        Sent::NotSent(_) | Sent::TimedOut => gateway.note(upstream, Outcome::Unreachable),
        Sent::Cut(_) | Sent::Lost(_) => gateway.note(upstream, Outcome::Failed),
    }
    if !matches!(sent, Sent::Answered(_)) {
        log_failure(gateway, request, upstream, &sent, elapsed_ms);
    }
    sent
}

fn log_failure(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    sent: &Sent,
    elapsed_ms: u64,
) {
    let detail = match sent {
        Sent::NotSent(detail) | Sent::Cut(detail) | Sent::Lost(detail) => detail.clone(),
        Sent::NotExecuted(status) => format!("status {}", status.as_u16()),
        Sent::Answered(_) | Sent::Withheld | Sent::TimedOut => String::new(),
    };
    gateway.events.write(
        "send_failed",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "address": upstream.address.to_string(),
            "result": sent.as_str(),
            "detail": detail,
            "elapsed_ms": elapsed_ms,
        }),
    );
}

async fn try_send(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    extra: Extra,
    limit_ms: TimeMs,
) -> Sent {
    let now = clock::now();
    let remaining_ms = request.deadline_ms.remaining(now);
    let limit = Duration::from_millis(limit_ms.remaining(now));
    if remaining_ms < MIN_SEND_MS {
        return Sent::NotSent("no time left".to_owned());
    }
    // It may have been chosen before it asked for a pause.
    if gateway.beliefs().records.backoff_ms(&upstream.id, now) > 0 {
        return Sent::Withheld;
    }
    let outgoing = match build(gateway, request, upstream, extra, remaining_ms) {
        Ok(outgoing) => outgoing,
        Err(error) => return Sent::NotSent(error.to_string()),
    };
    let to = destination(gateway, upstream);
    match tokio::time::timeout(limit, gateway.connections.send(&to, outgoing)).await {
        Err(_) => Sent::TimedOut,
        Ok(Err(SendError::NotSent(detail))) => Sent::NotSent(detail),
        Ok(Err(SendError::Cut(detail))) => Sent::Cut(detail),
        Ok(Err(error)) => Sent::Lost(error.to_string()),
        Ok(Ok(reply)) => {
            note_advice(gateway, upstream, &reply);
            classify(gateway, request, reply)
        }
    }
}

// Notes what an upstream says of itself beside its answer.
fn note_advice(gateway: &Gateway, upstream: &Upstream, reply: &Reply) {
    let names = &gateway.dialect.headers;
    let now = clock::now();
    if reply.headers.contains_key(&names.leaving) {
        let started_unix_ms = upstream.started_unix_ms;
        let mut beliefs = gateway.beliefs();
        if beliefs
            .upstreams
            .mark_draining(&upstream.id, started_unix_ms)
        {
            drop(beliefs);
            gateway.events.write(
                "upstream_leaving",
                serde_json::json!({ "upstream": &*upstream.id, "source": "its answer" }),
            );
        }
    }
    let turned_away = reply.status == StatusCode::SERVICE_UNAVAILABLE
        && reply.headers.contains_key(&names.not_executed);
    let pause_ms = reply.headers.get(header::RETRY_AFTER).and_then(seconds_ms);
    if let (true, Some(pause_ms)) = (turned_away, pause_ms) {
        let mut beliefs = gateway.beliefs();
        beliefs.records.record_backoff(&upstream.id, pause_ms, now);
        drop(beliefs);
        gateway.events.write(
            "upstream_paused",
            serde_json::json!({ "upstream": &*upstream.id, "asked_ms": pause_ms }),
        );
    }
}

// Reads a number of seconds, with or without a fraction. Dates are not used between these servers.
fn seconds_ms(value: &HeaderValue) -> Option<u64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let is_time = seconds.is_finite() && seconds > 0.0;
    is_time.then_some((seconds * MS_PER_S) as u64)
}

/// Returns where to send what is for an upstream.
pub fn destination(gateway: &Gateway, upstream: &Upstream) -> Destination {
    Destination {
        id: upstream.id.clone(),
        address: upstream.address,
        connect_timeout_ms: gateway.settings.load().timing.connect_timeout_ms,
    }
}

/// Makes sure that there is a connection to an upstream, before work is done that would be lost
/// without one.
pub async fn prepare(gateway: &Gateway, upstream: &Upstream) -> Result<(), SendError> {
    let to = destination(gateway, upstream);
    if gateway.connections.prepare(&to).await? {
        metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
    }
    Ok(())
}

fn build(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    extra: Extra,
    remaining_ms: u64,
) -> http::Result<Request<Full<Bytes>>> {
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
    for (name, value) in extra {
        headers.insert(name, value);
    }
    Ok(outgoing)
}

fn origin_form(target: &http::Uri) -> &str {
    target.path_and_query().map_or("/", |path| path.as_str())
}

fn classify(gateway: &Gateway, request: &ClientRequest, reply: Reply) -> Sent {
    let names = &gateway.dialect.headers;
    if reply.connected {
        metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
    }
    let not_executed = reply.headers.contains_key(&names.not_executed)
        || reply.status == StatusCode::MISDIRECTED_REQUEST;
    if not_executed {
        return Sent::NotExecuted(reply.status);
    }
    if reply.headers.get(&names.request_id) != Some(&request.id) {
        return Sent::Lost("the answer belongs to another request".to_owned());
    }
    Sent::Answered(reply)
}

/// Returns whether an answer that a client is to get is one that its upstream stands for, and
/// doesn't promise what the gateway can't know.
pub fn is_genuine(gateway: &Gateway, status: StatusCode, headers: &HeaderMap) -> bool {
    let promises_not_run = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    headers.contains_key(&gateway.dialect.headers.signature) && !promises_not_run
}
