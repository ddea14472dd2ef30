//! Answers that refuse a request, and what they say about its execution.

use std::sync::Arc;

use dogwoodpier_derive::wire;

/// What is known about the execution of a refused or failed request at its upstream.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte of the request can have reached an upstream.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran, but its answer could not be delivered whole.
    Ran,
}

impl Execution {
    /// Returns the value of the `x-dogwoodpier-execution` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Why a request was refused or failed. The name in snake case is the API's error code.
#[wire]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    InvalidRequest,
    /// The body or a header is larger than allowed.
    TooLarge,
    /// The caller sent its request too slowly.
    RequestTimeout,
    /// No route matches the path.
    NoRoute,
    /// No key came with the request, or it is unknown or withdrawn.
    InvalidKey,
    /// The key's workspace may not use this model or route.
    Forbidden,
    /// The node can't tell whether keys are still valid.
    KeysStale,
    /// The workspace is above its rate.
    RateLimited,
    /// The request is larger than the workspace's whole burst.
    AboveBurst,
    /// The request crashed several upstreams.
    Quarantined,
    /// The queue can't meet the request's deadline.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// No upstream of the pool can take the request.
    NoUpstream,
    /// The upstream failed or its answer was incomplete.
    UpstreamFailed,
    /// A request with the same idempotency key is still running or its outcome is unknown.
    ClaimPending,
    /// The same idempotency key came with a different request.
    ClaimMismatch,
    /// No node can grant the idempotency key at present.
    ClaimUnavailable,
    /// The node is shutting down.
    ShuttingDown,
    /// The node met an internal error.
    Internal,
}

/// The final answer to a request that is not served.
#[wire]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// What is known about the execution at an upstream.
    pub execution: Execution,
    /// When a new try makes sense, in milliseconds from the answer.
    pub retry_after_ms: Option<u64>,
    /// A sentence for the caller that says what to do.
    pub message: Arc<str>,
}

impl Refusal {
    /// Returns a refusal of a request of which nothing was sent to any upstream.
    pub fn not_run(reason: RefusalReason, message: impl Into<Arc<str>>) -> Self {
        Self::new(reason, Execution::NotRun, message)
    }

    /// Returns a refusal with the given knowledge of the execution.
    pub fn new(reason: RefusalReason, execution: Execution, message: impl Into<Arc<str>>) -> Self {
        Self {
            reason,
            execution,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// Adds when to come back.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
