//! Calls to one engine.

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

const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const MAX_MESSAGE_CHARS: usize = 200;

/// Where an engine is and how long its short calls may take.
#[plain]
pub struct EngineOptions {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Longest time to make a connection.
    pub connect_timeout_ms: u64,
    /// Longest time for a call other than a prefill, an import or a decode.
    pub call_timeout_ms: u64,
}

/// Client of one engine. Clones share connections.
#[derive(Clone)]
pub struct EngineClient {
    pool: Pool,
    call_timeout_ms: u64,
}

impl EngineClient {
    /// Returns a client; it connects with the first call.
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

    /// Returns how often the connections were dropped because one had gone silent.
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
        let answer = self
            .send(Method::POST, "/v1/reserve", request, self.call_timeout_ms)
            .await?;
        self.finish_empty(answer).await
    }

    /// Orders a decode engine to fetch a KV cache; returns once it has.
    pub async fn import(
        &self,
        request: &ImportRequest,
        timeout_ms: u64,
    ) -> Result<(), EngineError> {
        let answer = self
            .send(Method::POST, "/v1/kv/import", request, timeout_ms)
            .await?;
        self.finish_empty(answer).await
    }

    /// Starts or resumes a decode. Neither the head of the answer nor any event may take longer
    /// than `progress_timeout_ms`.
    pub async fn decode(
        &self,
        request: &DecodeRequest,
        progress_timeout_ms: u64,
    ) -> Result<DecodeStream, EngineError> {
        let answer = self
            .send(Method::POST, "/v1/decode", request, progress_timeout_ms)
            .await?;
        let answer = match self.check(answer).await {
            // The engine has no room to be short of here: the hold has it.
            Err(EngineError::Busy(_)) => {
                return Err(EngineError::NotImported(request.hold.to_string()));
            }
            checked => checked?,
        };
        Ok(DecodeStream::new(
            answer,
            request.request_id.clone(),
            progress_timeout_ms,
        ))
    }

    /// Frees all that the engine keeps for a hold. Returns whether there was something.
    pub async fn cancel(&self, request: &CancelRequest) -> Result<CancelReply, EngineError> {
        self.post("/v1/cancel", request, self.call_timeout_ms).await
    }

    /// Returns what the engine keeps.
    pub async fn holds(&self) -> Result<HoldList, EngineError> {
        self.get("/v1/holds").await
    }

    /// Returns the engine's load, as it was some time ago.
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        self.get("/v1/load").await
    }

    /// Returns changes of the prefix cache after a sequence number.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.get(&format!("/v1/cache/events?after={after}")).await
    }

    async fn get<T>(&self, path: &str) -> Result<T, EngineError>
    where
        T: DeserializeOwned,
    {
        let request = build(Method::GET, path, Bytes::new())?;
        let answer = self.pool.send(request, self.call_timeout_ms).await?;
        self.decode_json(answer).await
    }

    async fn post<Q, A>(&self, path: &str, body: &Q, timeout_ms: u64) -> Result<A, EngineError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let answer = self.send(Method::POST, path, body, timeout_ms).await?;
        self.decode_json(answer).await
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
        let request = build(method, path, serde_json::to_vec(body)?.into())?;
        Ok(self.pool.send(request, timeout_ms).await?)
    }

    async fn finish_empty(&self, answer: StreamingResponse) -> Result<(), EngineError> {
        // The body is read so that the connection can be used again.
        let mut answer = self.check(answer).await?;
        answer
            .read_body(MAX_ANSWER_BYTES, self.call_timeout_ms)
            .await?;
        Ok(())
    }

    async fn decode_json<T>(&self, answer: StreamingResponse) -> Result<T, EngineError>
    where
        T: DeserializeOwned,
    {
        let mut answer = self.check(answer).await?;
        let body = answer
            .read_body(MAX_ANSWER_BYTES, self.call_timeout_ms)
            .await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Turns an answer with an error status into an error.
    async fn check(&self, mut answer: StreamingResponse) -> Result<StreamingResponse, EngineError> {
        if answer.status == StatusCode::OK {
            return Ok(answer);
        }
        let body = answer
            .read_body(MAX_ANSWER_BYTES, self.call_timeout_ms)
            .await?;
        let message: String = String::from_utf8_lossy(&body)
            .chars()
            .take(MAX_MESSAGE_CHARS)
            .collect();
        Err(match answer.status {
            StatusCode::CONFLICT => EngineError::Busy(parse_busy(&body)),
            StatusCode::GONE | StatusCode::NOT_FOUND => EngineError::Gone(message),
            status => EngineError::Status {
                status: status.as_u16(),
                message,
            },
        })
    }
}

fn build(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>, EngineError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| EngineError::Protocol(error.to_string()))
}

/// An engine that says it is full without a number is taken to have no room at all.
fn parse_busy(body: &[u8]) -> Busy {
    serde_json::from_slice(body).unwrap_or(Busy {
        free_sequences: 0,
        free_pieces: 0,
    })
}
