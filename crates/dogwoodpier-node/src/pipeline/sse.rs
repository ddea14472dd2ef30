//! Renders a streamed answer as server-sent events.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dropshot::Body;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::Stream;

use dogwoodpier_core::Refusal;

use super::model::Output;
use super::model_call::Api;
use super::model_call::ModelCall;
use super::respond;

/// Server-sent events of one answer, rendered as they arrive.
pub struct EventStream<G> {
    id: String,
    call: ModelCall,
    workspace: String,
    created_s: u64,
    first: Option<Output>,
    outputs: mpsc::Receiver<Result<Output, Refusal>>,
    completion_tokens: u64,
    ended: bool,
    // Dropped once the answer is sent or the caller has left.
    _guard: G,
}

/// Returns the response that streams an answer, beginning with the part `first`. `guard` is dropped
/// with the body of the response.
pub fn stream<G>(
    id: &str,
    call: ModelCall,
    workspace: &str,
    first: Output,
    outputs: mpsc::Receiver<Result<Output, Refusal>>,
    guard: G,
) -> Response<Body>
where
    G: Send + Sync + Unpin + 'static,
{
    let events = EventStream {
        id: id.to_owned(),
        call,
        workspace: workspace.to_owned(),
        created_s: respond::unix_time_s(),
        first: Some(first),
        outputs,
        completion_tokens: 0,
        ended: false,
        _guard: guard,
    };
    let body = StreamBody::new(events).map_err(|error| match error {});
    let mut response = Response::new(Body::wrap(body));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

impl<G> Stream for EventStream<G>
where
    G: Unpin,
{
    type Item = Result<Frame<Bytes>, std::convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let output = match self.first.take() {
            Some(first) => Some(Ok(first)),
            None => match self.outputs.poll_recv(context) {
                Poll::Ready(output) => output,
                Poll::Pending => return Poll::Pending,
            },
        };
        let text = self.render(output);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))))
    }
}

impl<G> EventStream<G> {
    fn render(&mut self, output: Option<Result<Output, Refusal>>) -> String {
        match output {
            Some(Ok(Output::Token(text))) => {
                self.completion_tokens += 1;
                event(&self.chunk(Some(&text), None))
            }
            Some(Ok(Output::Finish(reason))) => {
                self.ended = true;
                let mut text = event(&self.chunk(None, Some(&reason)));
                if self.call.stream_usage {
                    text.push_str(&event(&self.usage_chunk()));
                }
                text.push_str("data: [DONE]\n\n");
                text
            }
            Some(Err(refusal)) => self.error_event(&refusal),
            // The sending task ends with a finish or a refusal, unless it panicked or could not send
            // the refusal within the write timeout.
            None => self.error_event(&Refusal::new(
                dogwoodpier_core::RefusalReason::Internal,
                dogwoodpier_core::Execution::Ran,
                "the answer was cut",
            )),
        }
    }

    // Ends the stream without `[DONE]`, so that a client cannot take a truncated answer for a
    // complete one.
    fn error_event(&mut self, refusal: &Refusal) -> String {
        self.ended = true;
        respond::count_refusal(refusal, &self.workspace);
        format!("event: error\ndata: {}\n\n", respond::error_body(refusal))
    }

    fn chunk(&self, text: Option<&str>, reason: Option<&str>) -> Value {
        let choice = match self.call.api {
            Api::Completions => json!({
                "index": 0,
                "text": text.unwrap_or_default(),
                "finish_reason": reason,
            }),
            Api::Chat => {
                let mut delta = json!({});
                if let Some(text) = text {
                    delta["content"] = text.into();
                }
                if self.completion_tokens == 1 && text.is_some() {
                    delta["role"] = "assistant".into();
                }
                json!({ "index": 0, "delta": delta, "finish_reason": reason })
            }
        };
        self.chunk_object(vec![choice])
    }

    fn usage_chunk(&self) -> Value {
        let mut chunk = self.chunk_object(Vec::new());
        chunk["usage"] = respond::usage(&self.call, self.completion_tokens);
        chunk
    }

    fn chunk_object(&self, choices: Vec<Value>) -> Value {
        let object = match self.call.api {
            Api::Completions => "text_completion",
            Api::Chat => "chat.completion.chunk",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created_s,
            "model": self.call.model,
            "choices": choices,
        })
    }
}

fn event(data: &Value) -> String {
    format!("data: {data}\n\n")
}
