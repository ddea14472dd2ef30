//! A client of the system, for tests and measurements.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;
use tokio::time::Instant;

use dogwoodpier_derive::plain;
use dogwoodpier_http::BodyError;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;
use dogwoodpier_http::SendError;
use dogwoodpier_http::StreamingResponse;
use dogwoodpier_upstream::sse::SseError;
use dogwoodpier_upstream::sse::SseParser;

const CONNECT_TIMEOUT_MS: u64 = 5_000;
/// Timeout for the head of an answer and for each chunk of its body. It is long, so that only lost
/// requests exceed it.
const TIMEOUT_MS: u64 = 180_000;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const EXECUTION_HEADER: &str = "x-dogwoodpier-execution";
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const END_OF_STREAM: &str = "[DONE]";

/// Error of a call without a complete, readable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request could not be sent, or no answer came.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The body of the answer could not be read to its end.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The answer is not a valid stream of server-sent events.
    #[error(transparent)]
    Sse(#[from] SseError),
    /// A message can't be encoded or decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The request is malformed.
    #[error(transparent)]
    Http(#[from] http::Error),
}

impl CallError {
    /// Returns true if no connection to the node was made, so that nothing was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Send(SendError::NotSent(_) | SendError::NotConnected(_))
        )
    }
}

/// A client of one node, with an optional API key.
#[derive(Clone)]
pub struct TestClient {
    pool: Pool,
    key: Option<String>,
}

/// A completion request to a model.
#[plain]
pub struct Completion {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Time budget of the request, sent in the `x-deadline-ms` header; not sent if absent.
    pub deadline_ms: Option<u64>,
}

/// A rejection in the API's error format.
#[plain]
pub struct Rejection {
    /// Status of the answer, 200 if the rejection ended a stream.
    pub status: StatusCode,
    /// Error code, for example `rate_limited`.
    pub code: String,
    /// Whether the request was executed: `not-run`, `unknown` or `ran`.
    pub execution: String,
    /// Delay after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// Human-readable message.
    pub message: String,
}

/// A streamed answer of a model, as far as it was received.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Texts of the tokens with their times of arrival.
    pub tokens: Vec<(Instant, String)>,
    /// Finish reason; absent if the answer is incomplete.
    pub finish_reason: Option<String>,
    /// The rejection, if the request was rejected.
    pub refused: Option<Rejection>,
    /// Any other error that ended the answer early.
    pub error: Option<CallError>,
}

impl StreamedAnswer {
    /// Returns true if the answer is complete: it has a finish reason and the end-of-stream marker.
    pub fn is_complete(&self) -> bool {
        self.finish_reason.is_some() && self.refused.is_none() && self.error.is_none()
    }

    /// Returns the text that was received.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|(_, text)| text.as_str()).collect()
    }
}

/// An unstreamed answer: that of a plain service, or a rejection.
#[derive(Debug)]
pub struct PlainAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl PlainAnswer {
    /// Returns the rejection, or `None` if the answer isn't one.
    pub fn rejection(&self) -> Option<Rejection> {
        parse_rejection(self.status, &serde_json::from_slice(&self.body).ok()?).map(|rejection| {
            let header = |name| self.headers.get(name)?.to_str().ok();
            Rejection {
                execution: header(EXECUTION_HEADER).unwrap_or_default().to_owned(),
                retry_after_ms: header(RETRY_AFTER_MS_HEADER).and_then(|text| text.parse().ok()),
                ..rejection
            }
        })
    }
}

impl TestClient {
    /// Returns a client that connects to a node's caller address.
    pub fn new(address: SocketAddr, key: Option<&str>) -> Self {
        Self {
            pool: Pool::new(PoolOptions {
                address,
                connect_timeout_ms: CONNECT_TIMEOUT_MS,
            }),
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request with extra headers, over a new connection, and reads the whole answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<PlainAnswer, CallError> {
        let request = self.request(method, path, headers, body)?;
        let mut answer = self
            .pool
            .send_on_new_connection(request, TIMEOUT_MS)
            .await?;
        let body = answer.read_body(MAX_BODY_BYTES, TIMEOUT_MS).await?;
        Ok(PlainAnswer {
            status: answer.status,
            headers: answer.headers,
            body,
        })
    }

    /// Requests a streamed completion and reads it to its end.
    pub async fn complete(&self, completion: &Completion) -> StreamedAnswer {
        self.complete_with(completion, |_| true).await
    }

    /// Requests a streamed completion and reads it to its end, or until `should_continue` returns
    /// false for the number of tokens received so far; the connection is closed then.
    pub async fn complete_with<G>(
        &self,
        completion: &Completion,
        should_continue: G,
    ) -> StreamedAnswer
    where
        G: Fn(usize) -> bool,
    {
        let mut streamed = StreamedAnswer {
            sent: Instant::now(),
            tokens: Vec::new(),
            finish_reason: None,
            refused: None,
            error: None,
        };
        if let Err(error) = self
            .read_stream(completion, &mut streamed, should_continue)
            .await
        {
            streamed.error = Some(error);
        }
        streamed
    }

    async fn read_stream<G>(
        &self,
        completion: &Completion,
        streamed: &mut StreamedAnswer,
        should_continue: G,
    ) -> Result<(), CallError>
    where
        G: Fn(usize) -> bool,
    {
        let body = json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let deadline = completion.deadline_ms.map(|ms| ms.to_string());
        let headers: Vec<(&str, &str)> = deadline
            .iter()
            .map(|ms| (DEADLINE_HEADER, ms.as_str()))
            .collect();
        let body = body.to_string().into();
        let request = self.request(Method::POST, "/v1/completions", &headers, body)?;
        let mut answer = self
            .pool
            .send_on_new_connection(request, TIMEOUT_MS)
            .await?;
        if answer.status != StatusCode::OK {
            streamed.refused = Some(read_rejection(&mut answer).await?);
            return Ok(());
        }
        let mut parser = SseParser::default();
        while let Some(chunk) = answer.next_chunk(TIMEOUT_MS).await? {
            for data in parser.push(&chunk)? {
                if streamed.apply_event(&data)? {
                    return Ok(());
                }
            }
            if !should_continue(streamed.tokens.len()) {
                return Ok(());
            }
        }
        // The connection ended without the end-of-stream marker, so the answer is incomplete.
        streamed.finish_reason = None;
        Ok(())
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Request<Bytes>, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(request.body(body)?)
    }
}

impl StreamedAnswer {
    /// Applies an event; returns true if it ends the stream.
    fn apply_event(&mut self, data: &str) -> Result<bool, CallError> {
        if data == END_OF_STREAM {
            return Ok(true);
        }
        let event: Value = serde_json::from_str(data)?;
        if let Some(rejection) = parse_rejection(StatusCode::OK, &event) {
            self.refused = Some(rejection);
            return Ok(true);
        }
        let choice = &event["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        } else if let Some(text) = choice["text"].as_str() {
            self.tokens.push((Instant::now(), text.to_owned()));
        }
        Ok(false)
    }
}

async fn read_rejection(answer: &mut StreamingResponse) -> Result<Rejection, CallError> {
    let body = answer.read_body(MAX_BODY_BYTES, TIMEOUT_MS).await?;
    let plain = PlainAnswer {
        status: answer.status,
        headers: answer.headers.clone(),
        body,
    };
    Ok(plain.rejection().unwrap_or_else(|| Rejection {
        status: plain.status,
        code: "not in the error form".to_owned(),
        execution: String::new(),
        retry_after_ms: None,
        message: String::from_utf8_lossy(&plain.body).into_owned(),
    }))
}

fn parse_rejection(status: StatusCode, body: &Value) -> Option<Rejection> {
    let error = body.get("error")?;
    let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    Some(Rejection {
        status,
        code: text("code"),
        execution: text("execution"),
        retry_after_ms: error["retry_after_ms"].as_u64(),
        message: text("message"),
    })
}
