//! Errors of requests and response bodies.

use thiserror::Error;

/// Error of a request that got no response.
#[derive(Clone, Debug, Error)]
pub enum SendError {
    /// No connection was established, so no byte of the request was sent.
    #[error("no connection, nothing was sent: {0}")]
    NotSent(String),
    /// The server couldn't be connected to, so no byte of the request was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// No response arrived in time; the request may have run.
    #[error("no answer within {timeout_ms} ms")]
    Timeout {
        /// Timeout of the request.
        timeout_ms: u64,
    },
    /// The connection ended before the response; the request may have run.
    #[error("connection cut before the answer: {0}")]
    Cut(String),
    /// The received bytes are no valid response; the request may have run.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Error of a response body that can't be read to its end.
#[derive(Clone, Debug, Error)]
pub enum BodyError {
    /// No data arrived for too long.
    #[error("no progress within {timeout_ms} ms")]
    Timeout {
        /// Maximum time between two chunks.
        timeout_ms: u64,
    },
    /// The connection ended before the body did.
    #[error("body cut: {0}")]
    Cut(String),
    /// The body is larger than allowed.
    #[error("body larger than {max_bytes} bytes")]
    TooLarge {
        /// Maximum size.
        max_bytes: usize,
    },
}
