//! Client of a plain service.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use thiserror::Error;

use dogwoodpier_derive::plain;
use dogwoodpier_http::BodyError;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;
use dogwoodpier_http::SendError;
use dogwoodpier_http::StreamingResponse;

use crate::headers;

/// Where a service is.
#[plain]
pub struct ServiceOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Longest time to make a connection.
    pub connect_timeout_ms: u64,
}

/// One call to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub uri: Uri,
    /// Headers; those of one connection aren't passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// False if the call may not be repeated; it then gets a connection of its own.
    pub is_idempotent: bool,
    /// Longest time to the head of the answer.
    pub timeout_ms: u64,
    /// Longest silence within the answer's body.
    pub progress_timeout_ms: u64,
    /// Largest body of an answer.
    pub max_body_bytes: usize,
}

/// The answer to a call, with its body read to the end.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// False if nothing in the answer tells that the body is whole.
    pub is_complete: bool,
}

/// Why a call has no whole answer.
#[derive(Clone, Debug, Error)]
pub enum ServiceError {
    /// No connection was made, so the call certainly didn't run.
    #[error("service not reached, nothing was sent: {0}")]
    NotSent(String),
    /// The call may have run; no answer came.
    #[error("no answer of the service, the call may have run: {0}")]
    NoAnswer(SendError),
    /// The call was answered, but the answer's body is not whole.
    #[error("answer of the service with status {status} is not whole: {cause}")]
    Truncated {
        /// Status of the answer.
        status: StatusCode,
        /// What ended the body.
        cause: BodyError,
    },
}

impl From<SendError> for ServiceError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) => Self::NotSent(cause),
            SendError::Timeout { .. } | SendError::Cut(_) | SendError::Unreadable(_) => {
                Self::NoAnswer(error)
            }
        }
    }
}

/// Client of one service. Clones share connections.
#[derive(Clone)]
pub struct ServiceClient {
    pool: Pool,
}

impl ServiceClient {
    /// Returns a client; it connects with the first call.
    pub fn new(options: ServiceOptions) -> Self {
        Self {
            pool: Pool::new(PoolOptions {
                address: options.address,
                connect_timeout_ms: options.connect_timeout_ms,
            }),
        }
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Returns how often the connections were dropped because one had gone silent.
    pub fn connection_resets(&self) -> u64 {
        self.pool.connection_resets()
    }

    /// Makes one call, once: nothing is sent a second time.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        let mut request = Request::new(call.body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri;
        *request.headers_mut() = headers::end_to_end(&call.headers);
        let mut answer = if call.is_idempotent {
            self.pool.send(request, call.timeout_ms).await?
        } else {
            self.pool
                .send_on_new_connection(request, call.timeout_ms)
                .await?
        };
        let body = answer
            .read_body(call.max_body_bytes, call.progress_timeout_ms)
            .await
            .map_err(|cause| ServiceError::Truncated {
                status: answer.status,
                cause,
            })?;
        Ok(ServiceReply {
            status: answer.status,
            is_complete: answer.is_framed() || has_no_body(&call.method, &answer),
            headers: headers::end_to_end(&answer.headers),
            body,
        })
    }
}

fn has_no_body(method: &Method, answer: &StreamingResponse) -> bool {
    method == Method::HEAD
        || answer.status == StatusCode::NO_CONTENT
        || answer.status == StatusCode::NOT_MODIFIED
}
