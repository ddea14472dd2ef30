//! A caller of the system, for tests and measurements.

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
/// A caller is patient: what takes this long counts as lost.
const TIMEOUT_MS: u64 = 180_000;
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const EXECUTION_HEADER: &str = "x-dogwoodpier-execution";
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const DONE: &str = "[DONE]";

/// Why a call has no answer that can be read.
#[derive(Debug, Error)]
pub enum CallError {
    /// The call has no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer is cut.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The answer is no stream of events.
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
    /// Returns true if no node was reached, so that nothing was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Send(SendError::NotSent(_)))
    }
}

/// A caller with a key at one node.
#[derive(Clone)]
pub struct TestClient {
    pool: Pool,
    key: Option<String>,
}

/// A request to a model.
#[plain]
pub struct Completion {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u64,
    /// Time that the caller gives the request.
    pub deadline_ms: Option<u64>,
}

/// A refusal in the API's error form.
#[plain]
pub struct Rejection {
    /// Status of the answer, 200 if the refusal ended a stream.
    pub status: StatusCode,
    /// Error code, for example `rate_limited`.
    pub code: String,
    /// What is known of the execution: `not-run`, `unknown` or `ran`.
    pub execution: String,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
    /// What to do.
    pub message: String,
}

/// A streamed answer of a model, as far as it came.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// When the request was sent.
    pub sent: Instant,
    /// Texts of the tokens with the times at which they came.
    pub tokens: Vec<(Instant, String)>,
    /// Why the answer ends; absent if it isn't whole.
    pub finish_reason: Option<String>,
    /// The refusal, if there is one.
    pub refused: Option<Rejection>,
    /// What else ended the answer early.
    pub error: Option<CallError>,
}

impl StreamedAnswer {
    /// Returns true if the answer came whole: with a reason and the mark of the end.
    pub fn is_complete(&self) -> bool {
        self.finish_reason.is_some() && self.refused.is_none() && self.error.is_none()
    }

    /// Returns the text so far.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|(_, text)| text.as_str()).collect()
    }
}

/// An answer of a plain service or a refusal.
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
    /// Returns the refusal, `None` if the answer isn't one.
    pub fn rejection(&self) -> Option<Rejection> {
        read_refusal(self.status, &serde_json::from_slice(&self.body).ok()?).map(|refused| {
            let header = |name| self.headers.get(name)?.to_str().ok();
            Rejection {
                execution: header(EXECUTION_HEADER).unwrap_or_default().to_owned(),
                retry_after_ms: header(RETRY_AFTER_MS_HEADER).and_then(|text| text.parse().ok()),
                ..refused
            }
        })
    }
}

impl TestClient {
    /// Returns a caller at a node's address for callers.
    pub fn new(address: SocketAddr, key: Option<&str>) -> Self {
        Self {
            pool: Pool::new(PoolOptions {
                address,
                connect_timeout_ms: CONNECT_TIMEOUT_MS,
            }),
            key: key.map(str::to_owned),
        }
    }

    /// Calls a path with more headers, over a connection of its own.
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

    /// Asks a model for a streamed answer and reads it to its end.
    pub async fn complete(&self, completion: &Completion) -> StreamedAnswer {
        self.complete_with(completion, |_| true).await
    }

    /// Asks a model for a streamed answer and reads it until `goes_on` returns false, which gets
    /// the number of tokens so far; the connection is closed then.
    pub async fn complete_with<G>(&self, completion: &Completion, goes_on: G) -> StreamedAnswer
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
        if let Err(error) = self.read_stream(completion, &mut streamed, goes_on).await {
            streamed.error = Some(error);
        }
        streamed
    }

    async fn read_stream<G>(
        &self,
        completion: &Completion,
        streamed: &mut StreamedAnswer,
        goes_on: G,
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
            streamed.refused = Some(refusal_of(&mut answer).await?);
            return Ok(());
        }
        let mut parser = SseParser::default();
        while let Some(part) = answer.next_chunk(TIMEOUT_MS).await? {
            for data in parser.push(&part)? {
                if streamed.take(&data)? {
                    return Ok(());
                }
            }
            if !goes_on(streamed.tokens.len()) {
                return Ok(());
            }
        }
        // The end of the connection without the mark of the end is a cut.
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
    /// Takes an event; returns true after the mark of the end.
    fn take(&mut self, data: &str) -> Result<bool, CallError> {
        if data == DONE {
            return Ok(true);
        }
        let event: Value = serde_json::from_str(data)?;
        if let Some(refused) = read_refusal(StatusCode::OK, &event) {
            self.refused = Some(refused);
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

async fn refusal_of(answer: &mut StreamingResponse) -> Result<Rejection, CallError> {
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

fn read_refusal(status: StatusCode, body: &Value) -> Option<Rejection> {
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
