//! Responses of the gateway itself.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::body::ResponseBody;

// Clients are asked to wait for at most this fraction of their remaining time.
const RETRY_AFTER_DIVISOR: u64 = 3;
// Time after which a client that reached a stopping instance finds another one.
const STOPPING_RETRY_MS: u64 = 100;

/// Why the gateway rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration has been read yet.
    NoConfiguration,
    /// The instance is shutting down.
    ShuttingDown,
    /// The request is malformed.
    Malformed,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body didn't arrive in time.
    BodyTimeout,
    /// Bodies of other requests take too much memory.
    NoMemory,
    /// No route matches the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The workspace is over its quota.
    OverQuota,
    /// Earlier runs of the request crashed the upstreams that ran it.
    Quarantined,
    /// All data centres with upstreams of the service are evacuated.
    Evacuated,
    /// No upstream of the service accepts work.
    NoUpstream,
    /// The software version that began the stream to be resumed is unknown.
    VersionUnknown,
    /// No upstream has the software version that began the stream to be resumed.
    VersionGone,
    /// It could not be recorded which software version begins the stream.
    VersionNotRecorded,
    /// All upstreams are full and the wait would be too long.
    Overloaded,
    /// The rate limits that upstreams have named allow no request in time.
    UpstreamLimited,
    /// Upstreams rejected the request or could not be reached; it has not run.
    NotRun,
    /// The deadline passed while an upstream may be running the request.
    ExpiredMayHaveRun,
    /// An upstream may have run the request, and its response is lost.
    AnswerLost,
}

impl Reason {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::ShuttingDown
            | Self::NoMemory
            | Self::Quarantined
            | Self::Evacuated
            | Self::NoUpstream
            | Self::VersionUnknown
            | Self::VersionGone
            | Self::VersionNotRecorded
            | Self::Overloaded
            | Self::UpstreamLimited
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::ExpiredMayHaveRun => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::ShuttingDown => "shutting_down",
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::NoMemory => "no_memory",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverQuota => "over_quota",
            Self::Quarantined => "quarantined",
            Self::Evacuated => "evacuated",
            Self::NoUpstream => "no_upstream",
            Self::VersionUnknown => "version_unknown",
            Self::VersionGone => "version_gone",
            Self::VersionNotRecorded => "version_not_recorded",
            Self::Overloaded => "overloaded",
            Self::UpstreamLimited => "upstream_limited",
            Self::NotRun => "not_run",
            Self::ExpiredMayHaveRun => "expired_may_have_run",
            Self::AnswerLost => "answer_lost",
        }
    }
}

/// Returns the longest time that clients with `remaining_ms` left are willing to wait before a retry.
pub fn max_retry_ms(remaining_ms: u64) -> u64 {
    remaining_ms / RETRY_AFTER_DIVISOR
}

/// The rejection of a request by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Reason of the rejection.
    pub reason: Reason,
    /// Time after which the client should retry, if that may help.
    pub retry_after_ms: Option<u64>,
}

impl Rejection {
    /// Returns a rejection without a time to retry.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// Returns a rejection that asks the client to retry after a time, limited to the fraction of
    /// `remaining_ms` that clients are willing to wait.
    pub fn with_retry_after(reason: Reason, retry_after_ms: u64, remaining_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms: Some(retry_after_ms.min(max_retry_ms(remaining_ms))),
        }
    }

    /// Returns the rejection of an instance that is shutting down; the client finds another one.
    pub fn shutting_down() -> Self {
        Self::with_retry_after(Reason::ShuttingDown, STOPPING_RETRY_MS, u64::MAX)
    }

    /// Returns the response.
    pub fn response(self) -> Response<ResponseBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.reason.as_str());
        let mut response = Response::new(ResponseBody::full(Bytes::from(text)));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(retry_after_ms) = self.retry_after_ms {
            let after_s = Duration::from_millis(retry_after_ms).as_secs_f64();
            // Digits and a decimal point are always a valid header value.
            if let Ok(value) = HeaderValue::from_str(&format!("{after_s:.3}")) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
