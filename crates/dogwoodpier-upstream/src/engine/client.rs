//! Client of one engine.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Serialize;
use serde::de::DeserializeOwned;

use dogwoodpier_derive::plain;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;
use dogwoodpier_http::StreamingResponse;

use crate::engine::error::EngineError;
use crate::engine::stream::DecodeStream;
use crate::wire::Busy;
use crate::wire::CacheEvents;
use crate::wire::CancelReply;
use crate::wire::CancelRequest;
use crate::wire::DecodeRequest;
use crate::wire::HoldList;
use crate::wire::ImportRequest;
use crate::wire::LoadReport;
use crate::wire::PrefillReply;
use crate::wire::PrefillRequest;
use crate::wire::ReserveRequest;

const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
const MAX_ERROR_MESSAGE_CHARS: usize = 200;

/// Address and timeouts of an engine.
#[plain]
pub struct EngineOptions {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Maximum time to establish a connection.
    pub connect_timeout_ms: u64,
    /// Timeout of calls other than prefill, import and decode.
    pub call_timeout_ms: u64,
}

/// Client of one engine. Clones share connections.
#[derive(Clone)]
pub struct EngineClient {
    pool: Pool,
    call_timeout_ms: u64,
}

impl EngineClient {
    /// Returns a client. It connects on the first call.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            pool: Pool::new(PoolOptions {
                address: options.address,
                connect_timeout_ms: options.connect_timeout_ms,
            }),
            call_timeout_ms: options.call_timeout_ms,
        }
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Returns how many times the connections were dropped.
    pub fn connection_resets(&self) -> u64 {
        self.pool.connection_resets()
    }

    /// Computes the KV cache of a prompt.
    pub async fn prefill(
        &self,
        request: &PrefillRequest,
        timeout_ms: u64,
    ) -> Result<PrefillReply, EngineError> {
        self.post("/v1/prefill", request, timeout_ms).await
    }

    /// Reserves sequences and pieces at a decode engine.
    pub async fn reserve(&self, request: &ReserveRequest) -> Result<(), EngineError> {
        let response = self
            .send(Method::POST, "/v1/reserve", request, self.call_timeout_ms)
            .await?;
        self.discard_body(response).await
    }

    /// Makes a decode engine fetch a KV cache. Returns once it has been fetched.
    pub async fn import(
        &self,
        request: &ImportRequest,
        timeout_ms: u64,
    ) -> Result<(), EngineError> {
        let response = self
            .send(Method::POST, "/v1/kv/import", request, timeout_ms)
            .await?;
        self.discard_body(response).await
    }

    /// Starts or resumes a decode. Fails if the head of the response or any of the events takes
    /// longer than `progress_timeout_ms`.
    pub async fn decode(
        &self,
        request: &DecodeRequest,
        progress_timeout_ms: u64,
    ) -> Result<DecodeStream, EngineError> {
        let response = self
            .send(Method::POST, "/v1/decode", request, progress_timeout_ms)
            .await?;
        let response = match self.check(response).await {
            // Not a lack of room, which the hold has reserved already: the KV cache is missing.
            Err(EngineError::Busy(_)) => {
                return Err(EngineError::NotImported(request.hold.to_string()));
            }
            checked => checked?,
        };
        Ok(DecodeStream::new(
            response,
            request.request_id.clone(),
            progress_timeout_ms,
        ))
    }

    /// Frees everything that the engine keeps for a hold. Returns whether there was anything to free.
    pub async fn cancel(&self, request: &CancelRequest) -> Result<CancelReply, EngineError> {
        self.post("/v1/cancel", request, self.call_timeout_ms).await
    }

    /// Returns the holds for which the engine keeps anything.
    pub async fn holds(&self) -> Result<HoldList, EngineError> {
        self.get("/v1/holds").await
    }

    /// Returns a report of the engine's load, which may be somewhat old.
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        self.get("/v1/load").await
    }

    /// Returns the changes of the prefix cache after a sequence number.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.get(&format!("/v1/cache/events?after={after}")).await
    }

    async fn get<T>(&self, path: &str) -> Result<T, EngineError>
    where
        T: DeserializeOwned,
    {
        let request = build_request(Method::GET, path, Bytes::new())?;
        let response = self.pool.send(request, self.call_timeout_ms).await?;
        self.decode_json(response).await
    }

    async fn post<Q, A>(&self, path: &str, body: &Q, timeout_ms: u64) -> Result<A, EngineError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let response = self.send(Method::POST, path, body, timeout_ms).await?;
        self.decode_json(response).await
    }

    async fn send<Q>(
        &self,
        method: Method,
        path: &str,
        body: &Q,
        timeout_ms: u64,
    ) -> Result<StreamingResponse, EngineError>
    where
        Q: Serialize,
    {
        let request = build_request(method, path, serde_json::to_vec(body)?.into())?;
        Ok(self.pool.send(request, timeout_ms).await?)
    }

    async fn discard_body(&self, response: StreamingResponse) -> Result<(), EngineError> {
        // The body has to be read for the connection to be reused.
        let mut response = self.check(response).await?;
        response
            .read_body(MAX_RESPONSE_BYTES, self.call_timeout_ms)
            .await?;
        Ok(())
    }

    async fn decode_json<T>(&self, response: StreamingResponse) -> Result<T, EngineError>
    where
        T: DeserializeOwned,
    {
        let mut response = self.check(response).await?;
        let body = response
            .read_body(MAX_RESPONSE_BYTES, self.call_timeout_ms)
            .await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the response if its status is 200, otherwise an error.
    async fn check(
        &self,
        mut response: StreamingResponse,
    ) -> Result<StreamingResponse, EngineError> {
        if response.status == StatusCode::OK {
            return Ok(response);
        }
        let body = response
            .read_body(MAX_RESPONSE_BYTES, self.call_timeout_ms)
            .await?;
        let message: String = String::from_utf8_lossy(&body)
            .chars()
            .take(MAX_ERROR_MESSAGE_CHARS)
            .collect();
        Err(match response.status {
            StatusCode::CONFLICT => EngineError::Busy(parse_busy(&body)),
            StatusCode::GONE | StatusCode::NOT_FOUND => EngineError::Gone(message),
            status => EngineError::Status {
                status: status.as_u16(),
                message,
            },
        })
    }
}

fn build_request(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>, EngineError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| EngineError::Protocol(error.to_string()))
}

/// Returns the free capacity from the body of a 409 response, or none if the body can't be decoded.
fn parse_busy(body: &[u8]) -> Busy {
    serde_json::from_slice(body).unwrap_or(Busy {
        free_sequences: 0,
        free_pieces: 0,
    })
}
