//! A streamed answer on its way from an engine to a client.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use thiserror::Error;

use dogwoodpier_core::TimeMs;
use dogwoodpier_http::Returning;
use dogwoodpier_process::clock;

use crate::state::SharedGateway;
use crate::state::UseGuard;

/// The answer ends before its end; the client's connection is closed without one.
#[derive(Debug, Error)]
#[error("the answer was cut: {0}")]
pub struct Cut(pub &'static str);

type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>> + Send + Sync>>;

/// The body of an engine's answer. Dropping it cancels the request at the engine.
pub struct UpstreamBody {
    parts: Parts,
    ended: bool,
}

impl UpstreamBody {
    /// Returns a body that consists of `parts`.
    pub fn new<S>(parts: S) -> Self
    where
        S: Stream<Item = Result<Bytes, Cut>> + Send + Sync + 'static,
    {
        Self {
            parts: Box::pin(parts),
            ended: false,
        }
    }

    /// Returns the next part.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(part) = self.parts.as_mut().poll_next(context) else {
            return Poll::Pending;
        };
        self.ended = !matches!(part, Some(Ok(_)));
        Poll::Ready(part.map(|part| part.map(Frame::data)))
    }

    /// Returns whether the end was reached.
    pub fn is_end_stream(&self) -> bool {
        self.ended
    }
}

/// What a streamed answer needs on its way.
pub struct Relay {
    /// Gateway.
    pub gateway: SharedGateway,
    /// Identity of the request.
    pub request_id: String,
    /// Body of the engine's answer.
    pub body: Incoming,
    /// Connection to give back at the end.
    pub returning: Option<Returning>,
    /// Place at the engine.
    pub guard: UseGuard,
    /// Time at which the answer is cut.
    pub deadline_ms: TimeMs,
    /// Bytes forwarded.
    pub bytes: u64,
    /// Time of the last part.
    pub last_part_ms: TimeMs,
    /// Longest time between two parts.
    pub longest_gap_ms: u64,
}

impl Relay {
    /// Returns the body for the client.
    pub fn into_body(self) -> UpstreamBody {
        UpstreamBody::new(unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                None => None,
                Some(Ok(part)) => Some((Ok(part), Some(relay))),
                Some(Err(cut)) => Some((Err(cut), None)),
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            let limit = Duration::from_millis(self.deadline_ms.remaining(clock::now()));
            let Ok(frame) = tokio::time::timeout(limit, self.body.frame()).await else {
                self.log_end("deadline");
                return Some(Err(Cut("the deadline passed")));
            };
            match frame {
                None => {
                    if let Some(returning) = self.returning.take() {
                        returning.give_back();
                    }
                    self.log_end("complete");
                    return None;
                }
                Some(Err(_)) => {
                    self.log_end("cut by the upstream");
                    return Some(Err(Cut("the upstream's connection ended")));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.count(data.len());
                        return Some(Ok(data));
                    }
                }
            }
        }
    }

    fn count(&mut self, bytes: usize) {
        let now = clock::now();
        self.bytes += bytes as u64;
        self.longest_gap_ms = self.longest_gap_ms.max(now.since(self.last_part_ms));
        self.last_part_ms = now;
    }

    fn log_end(&self, outcome: &str) {
        self.gateway.events.write(
            "stream_ended",
            serde_json::json!({
                "request_id": self.request_id,
                "upstream": &*self.guard.upstream().id,
                "outcome": outcome,
                "bytes": self.bytes,
                "longest_gap_ms": self.longest_gap_ms,
            }),
        );
    }
}
