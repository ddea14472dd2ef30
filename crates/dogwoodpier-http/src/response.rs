//! Responses whose bodies are read in chunks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::error::BodyError;
use crate::pool::PoolShared;

/// A response whose head has been read. Dropping it before the end of its body closes the connection.
pub struct StreamingResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    generation: Generation,
}

/// The generation of a pool's connections that a response arrived on.
pub(crate) struct Generation {
    pub(crate) pool: Arc<PoolShared>,
    pub(crate) number: u64,
}

impl StreamingResponse {
    pub(crate) fn new(response: Response<Incoming>, generation: Generation) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status,
            headers: head.headers,
            body,
            generation,
        }
    }

    /// Returns true if the head states how the body ends, so that a body read without an error is
    /// known to be complete.
    pub fn is_framed(&self) -> bool {
        is_framed(&self.headers)
    }

    /// Returns the next chunk of the body, or `None` at its end. If no data arrives for `timeout_ms`,
    /// returns an error and drops the pool's connections.
    pub async fn next_chunk(&mut self, timeout_ms: u64) -> Result<Option<Bytes>, BodyError> {
        let limit = Duration::from_millis(timeout_ms);
        loop {
            let frame = match tokio::time::timeout(limit, self.body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    self.generation
                        .pool
                        .reset_connections(self.generation.number);
                    return Err(BodyError::Timeout { timeout_ms });
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(BodyError::Cut(error.to_string())),
                Some(Ok(frame)) => {
                    // Trailers are ignored.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body. Fails if it is larger than `max_bytes`, or if no data arrives for
    /// `timeout_ms`.
    pub async fn read_body(
        &mut self,
        max_bytes: usize,
        timeout_ms: u64,
    ) -> Result<Bytes, BodyError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk(timeout_ms).await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(BodyError::TooLarge { max_bytes });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Returns whether the headers of a response state how its body ends. Other bodies end with their
/// connection, whether they are complete or not.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
