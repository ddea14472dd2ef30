//! Orders to a stand-in over its control calls.

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

const TIMEOUT_MS: u64 = 10_000;
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a control call failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The call has no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer can't be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The answer is an error.
    #[error("status {status}: {message}")]
    Status {
        /// Status.
        status: StatusCode,
        /// Body.
        message: String,
    },
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The request is malformed.
    #[error(transparent)]
    Http(#[from] http::Error),
}

/// Sets the faults of a stand-in, in place of those in force.
pub async fn set_faults<T>(address: SocketAddr, faults: &T) -> Result<(), ControlError>
where
    T: Serialize,
{
    put(address, Method::POST, "/control/faults", faults).await
}

/// Sends a JSON body to a stand-in.
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

/// Reads a JSON body, for example of `/control/stats`.
pub async fn get<T>(address: SocketAddr, path: &str) -> Result<T, ControlError>
where
    T: DeserializeOwned,
{
    let body = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Reads a text body.
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
        connect_timeout_ms: TIMEOUT_MS,
    });
    let request = Request::builder().method(method).uri(path).body(body)?;
    let mut answer = pool.send_on_new_connection(request, TIMEOUT_MS).await?;
    let body = answer.read_body(MAX_ANSWER_BYTES, TIMEOUT_MS).await?;
    if answer.status == StatusCode::OK {
        return Ok(body);
    }
    Err(ControlError::Status {
        status: answer.status,
        message: String::from_utf8_lossy(&body).into_owned(),
    })
}
