//! Answers that refuse a request, with what is known about its execution.

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
    /// The request ran, but its answer could not be delivered completely.
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
    /// The request has no key, or its key is unknown or withdrawn.
    InvalidKey,
    /// The key's workspace may not use this model or route.
    Forbidden,
    /// The node can't tell whether keys are still valid.
    KeysStale,
    /// The workspace exceeds its rate limit.
    RateLimited,
    /// The cost of the request exceeds the burst limit of the workspace.
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
    /// An internal error occurred in the node.
    Internal,
}

/// The final answer to a request that is not served.
#[wire]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// What is known about the execution at an upstream.
    pub execution: Execution,
    /// Time from the answer after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// A message that tells the caller what to do.
    pub message: Arc<str>,
}

impl Refusal {
    /// Returns a refusal of a request that was not sent to any upstream, not even in part.
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

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
