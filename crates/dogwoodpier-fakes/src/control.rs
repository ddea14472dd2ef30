//! Client of the `/control/` calls of the stand-ins.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use dogwoodpier_http::BodyError;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;
use dogwoodpier_http::SendError;

const CALL_TIMEOUT_MS: u64 = 10_000;
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Error of a control call.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The request could not be sent, or no answer came.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The body of the answer could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The answer has a status other than 200.
    #[error("status {status}: {message}")]
    Status {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        message: String,
    },
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The request is malformed.
    #[error(transparent)]
    Http(#[from] http::Error),
}

/// Replaces the faults that a stand-in injects.
pub async fn set_faults<T>(address: SocketAddr, faults: &T) -> Result<(), ControlError>
where
    T: Serialize,
{
    put(address, Method::POST, "/control/faults", faults).await
}

/// Sends a JSON body to a stand-in and discards the body of the answer.
pub async fn put<T>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &T,
) -> Result<(), ControlError>
where
    T: Serialize,
{
    let body = serde_json::to_vec(body)?;
    call(address, method, path, body.into()).await?;
    Ok(())
}

/// Fetches a path and decodes its JSON body, for example that of `/control/stats`.
pub async fn get<T>(address: SocketAddr, path: &str) -> Result<T, ControlError>
where
    T: DeserializeOwned,
{
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Fetches a path and returns its body as text, with invalid UTF-8 replaced.
pub async fn get_text(address: SocketAddr, path: &str) -> Result<String, ControlError> {
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, ControlError> {
    let pool = Pool::new(PoolOptions {
        address,
        connect_timeout_ms: CALL_TIMEOUT_MS,
    });
    let request = Request::builder().method(method).uri(path).body(body)?;
    let mut answer = pool
        .send_on_new_connection(request, CALL_TIMEOUT_MS)
        .await?;
    let body = answer.read_body(MAX_ANSWER_BYTES, CALL_TIMEOUT_MS).await?;
    if answer.status == StatusCode::OK {
        return Ok(body);
    }
    Err(ControlError::Status {
        status: answer.status,
        message: String::from_utf8_lossy(&body).into_owned(),
    })
}
