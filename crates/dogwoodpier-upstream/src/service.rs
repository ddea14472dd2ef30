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

/// Address and timeouts of a service.
#[plain]
pub struct ServiceOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Maximum time to establish a connection.
    pub connect_timeout_ms: u64,
}

/// A call to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub uri: Uri,
    /// Headers. Hop-by-hop headers aren't passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// False if the call must not be repeated. It is then sent over a new connection.
    pub is_idempotent: bool,
    /// Maximum time until the head of the response arrives.
    pub timeout_ms: u64,
    /// Maximum time without data within the response's body.
    pub progress_timeout_ms: u64,
    /// Maximum size of the response's body.
    pub max_body_bytes: usize,
}

/// Response to a call, with its whole body.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// Status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// False if the response doesn't state how its body ends, so that it may have been truncated.
    pub is_complete: bool,
}

/// Error of a call without a complete response.
#[derive(Clone, Debug, Error)]
pub enum ServiceError {
    /// No connection was established, so the call has not run.
    #[error("service not reached, nothing was sent: {0}")]
    NotSent(String),
    /// No response arrived; the call may have run.
    #[error("no answer of the service, the call may have run: {0}")]
    NoAnswer(SendError),
    /// A response arrived, but its body is incomplete.
    #[error("answer of the service with status {status} is not whole: {cause}")]
    Truncated {
        /// Status of the response.
        status: StatusCode,
        /// Reason for which the body ended early.
        cause: BodyError,
    },
}

impl From<SendError> for ServiceError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(cause) | SendError::NotConnected(cause) => Self::NotSent(cause),
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
    /// Returns a client. It connects on the first call.
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

    /// Returns how many times the connections were dropped.
    pub fn connection_resets(&self) -> u64 {
        self.pool.connection_resets()
    }

    /// Makes a call. It is sent at most once.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        let mut request = Request::new(call.body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri;
        *request.headers_mut() = headers::end_to_end(&call.headers);
        let mut response = if call.is_idempotent {
            self.pool.send(request, call.timeout_ms).await?
        } else {
            self.pool
                .send_on_new_connection(request, call.timeout_ms)
                .await?
        };
        let body = response
            .read_body(call.max_body_bytes, call.progress_timeout_ms)
            .await
            .map_err(|cause| ServiceError::Truncated {
                status: response.status,
                cause,
            })?;
        Ok(ServiceReply {
            status: response.status,
            is_complete: response.is_framed() || has_no_body(&call.method, &response),
            headers: headers::end_to_end(&response.headers),
            body,
        })
    }
}

fn has_no_body(method: &Method, response: &StreamingResponse) -> bool {
    method == Method::HEAD
        || response.status == StatusCode::NO_CONTENT
        || response.status == StatusCode::NOT_MODIFIED
}
