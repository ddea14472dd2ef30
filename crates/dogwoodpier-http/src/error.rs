//! Errors of a request and of its answer's body.

use thiserror::Error;

/// Why a request has no answer.
#[derive(Clone, Debug, Error)]
pub enum SendError {
    /// No connection was made, so no byte of the request was sent.
    #[error("no connection, nothing was sent: {0}")]
    NotSent(String),
    /// No answer came in time; the request may have run.
    #[error("no answer within {timeout_ms} ms")]
    Timeout {
        /// Time that the request was given.
        timeout_ms: u64,
    },
    /// The connection ended before the answer; the request may have run.
    #[error("connection cut before the answer: {0}")]
    Cut(String),
    /// What came is no answer; the request may have run.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Why an answer's body can't be read to its end.
#[derive(Clone, Debug, Error)]
pub enum BodyError {
    /// Nothing came for too long.
    #[error("no progress within {timeout_ms} ms")]
    Timeout {
        /// Longest silence that was allowed.
        timeout_ms: u64,
    },
    /// The connection ended before the body did.
    #[error("body cut: {0}")]
    Cut(String),
    /// The body is larger than allowed.
    #[error("body larger than {max_bytes} bytes")]
    TooLarge {
        /// Most bytes that were allowed.
        max_bytes: usize,
    },
}
