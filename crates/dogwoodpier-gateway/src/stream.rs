//! Streamed responses from engines to clients.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use thiserror::Error;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_http::ConnectionReturn;
use dogwoodpier_process::clock;

use crate::engines;
use crate::prompt_parts;
use crate::quarantine;
use crate::quarantine::InFlight;
use crate::request::ClientRequest;
use crate::sse::EventCounter;
use crate::sse::EventSplitter;
use crate::state::LoadGuard;
use crate::state::SharedGateway;
use crate::upstream_speeds;
use crate::upstream_speeds::Workload;
use crate::witness::Witness;

/// A response ended early; the client's connection is closed without a regular end of the body.
#[derive(Debug, Error)]
#[error("response was cut: {0}")]
pub struct StreamCut(pub &'static str);

// A part of a prompt that crashes an engine does so when the engine begins to write. After so many
// events and so much time an answer is well under way.
const UNDERWAY_EVENTS: u64 = 3;
const UNDERWAY_MS: u64 = 250;

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, StreamCut>> + Send>>;

/// The body of an engine's response. Dropping it cancels the request at the engine.
pub struct UpstreamBody {
    chunks: Chunks,
    ended: bool,
}

impl UpstreamBody {
    /// Returns a body that consists of `chunks`.
    pub fn new<S>(chunks: S) -> Self
    where
        S: Stream<Item = Result<Bytes, StreamCut>> + Send + 'static,
    {
        Self {
            chunks: Box::pin(chunks),
            ended: false,
        }
    }

    /// Returns the next chunk.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(chunk) = self.chunks.as_mut().poll_next(context) else {
            return Poll::Pending;
        };
        self.ended = !matches!(chunk, Some(Ok(_)));
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    /// Returns whether the end of the body was reached.
    pub fn is_end_stream(&self) -> bool {
        self.ended
    }
}

/// The state of a response that is being streamed.
pub struct Relay {
    /// Gateway.
    pub gateway: SharedGateway,
    /// The request.
    pub in_flight: InFlight,
    /// Whose output lengths the response is one of; absent if it is not whole.
    pub workload: Option<Workload>,
    /// Body of the engine's response.
    pub body: Incoming,
    /// Returns the connection to the pool at the end; absent after it.
    pub connection: Option<ConnectionReturn>,
    /// Load at the engine.
    pub guard: LoadGuard,
    /// Time at which the response is cut.
    pub deadline_ms: TimeMs,
    /// Whether the head states how the body ends.
    pub is_framed: bool,
    /// Witness of the response, if it is not framed and has not ended.
    pub witness: Option<Witness>,
    /// Whether the status is a success.
    pub is_success: bool,
    /// Time at which the engine that sends the response began it.
    pub begun_ms: TimeMs,
    /// Bytes forwarded.
    pub bytes: u64,
    /// Time of the last chunk.
    pub last_chunk_ms: TimeMs,
    /// Longest time between two chunks.
    pub longest_gap_ms: u64,
    /// Counts the events that the engine has sent; absent if the response is no stream of events.
    pub events: Option<EventCounter>,
    /// Present if the stream may be resumed at another engine after a cut.
    pub resume: Option<ResumeState>,
}

/// State that is needed to resume a stream at another engine.
pub struct ResumeState {
    /// The request.
    pub request: Arc<ClientRequest>,
    /// Number of engines that have run it.
    pub runs: u32,
    /// Splits the forwarded stream into events.
    pub events: EventSplitter,
}

impl Relay {
    /// Returns the body for the client.
    pub fn into_body(self) -> UpstreamBody {
        UpstreamBody::new(unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                None => None,
                Some(Ok(chunk)) => Some((Ok(chunk), Some(relay))),
                Some(Err(cut)) => Some((Err(cut), None)),
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamCut>> {
        loop {
            if self.is_finished() {
                return None;
            }
            let limit = Duration::from_millis(self.deadline_ms.remaining(clock::now()));
            let Ok(frame) = tokio::time::timeout(limit, self.body.frame()).await else {
                self.log_end("deadline");
                return Some(Err(StreamCut("the deadline passed")));
            };
            match frame {
                None if !self.ends_early().await => return self.finish().map(Ok),
                None | Some(Err(_)) => {
                    self.log_end("cut by the upstream");
                    self.guard.set_failed();
                    let upstream = self.guard.upstream();
                    self.gateway.record_outcome(upstream, Outcome::Failed);
                    if frame.is_none() && self.is_between_events() {
                        let request = &self.in_flight;
                        quarantine::handle_unproven_end(&self.gateway, request, upstream).await;
                    } else {
                        quarantine::handle_cut(&self.gateway, &self.in_flight, upstream).await;
                    }
                    if !self.resume().await {
                        return Some(Err(StreamCut("the upstream's connection ended")));
                    }
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.count_events(&data);
                    // The server for clients reads a body no further than its stated length.
                    let is_last = self.resume.is_none() && self.body.is_end_stream();
                    if is_last && self.ends_early().await {
                        continue;
                    }
                    if let Some(chunk) = self.forwardable(data) {
                        self.record_chunk(chunk.len());
                        if is_last {
                            self.finish();
                        }
                        return Some(Ok(chunk));
                    }
                }
            }
        }
    }

    // Returns the bytes after the last event of a complete response, or ends the response if there
    // are none.
    fn finish(&mut self) -> Option<Bytes> {
        let resume = self.resume.as_mut();
        let remainder = resume.map(|resume| resume.events.take_remainder());
        if let Some(remainder) = remainder.filter(|remainder| !remainder.is_empty()) {
            self.record_chunk(remainder.len());
            return Some(remainder);
        }
        if let Some(connection) = self.connection.take() {
            connection.return_to_pool();
        }
        // The end of an unframed response may be that of the engine.
        if self.is_framed || self.in_flight.answer_underway {
            quarantine::record_answer(&self.gateway, &self.in_flight, self.has_answer());
        }
        self.record_speed();
        self.log_end("complete");
        None
    }

    fn is_finished(&self) -> bool {
        self.connection.is_none()
    }

    // Returns whether a response that has ended without an error is incomplete.
    async fn ends_early(&mut self) -> bool {
        let events = self.events.as_ref();
        if !self.is_between_events() {
            return true;
        }
        if self.is_framed {
            return false;
        }
        if events.is_some_and(|events| events.complete() == 0) {
            return true;
        }
        match self.witness.take() {
            Some(witness) => !witness.outlives_response(self.deadline_ms).await,
            None => true,
        }
    }

    fn is_between_events(&self) -> bool {
        let events = self.events.as_ref();
        !events.is_some_and(EventCounter::is_inside_event)
    }

    // Returns whether the engine has written an answer, which an error or an empty stream is not.
    fn has_answer(&self) -> bool {
        self.is_success
            && self
                .events
                .as_ref()
                .is_none_or(|events| events.complete() > 0)
    }

    fn count_events(&mut self, data: &[u8]) {
        if let Some(witness) = &self.witness {
            witness.record_chunk();
        }
        let Some(events) = &mut self.events else {
            return;
        };
        events.push(data);
        self.in_flight.events = events.complete();
        let elapsed_ms = clock::now().since(self.begun_ms);
        let is_underway = events.complete() >= UNDERWAY_EVENTS && elapsed_ms >= UNDERWAY_MS;
        if is_underway && !self.in_flight.answer_underway {
            self.in_flight.answer_underway = true;
            prompt_parts::record_answer(&self.gateway, &self.in_flight.content.shared_parts);
        }
    }

    // Returns the part of a chunk that can be forwarded: only complete events, if the stream may be
    // resumed.
    fn forwardable(&mut self, data: Bytes) -> Option<Bytes> {
        let Some(resume) = &mut self.resume else {
            return Some(data);
        };
        let complete = resume.events.push(&data);
        (!complete.is_empty()).then_some(complete)
    }

    // Resumes the stream at another engine after the last complete event. Returns false if that is
    // not possible.
    async fn resume(&mut self) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        if !resume.events.can_resume() {
            return false;
        }
        resume.events.discard_partial();
        let last_event = resume.events.last_id();
        let resumed = engines::resume(
            &self.gateway,
            &resume.request,
            resume.runs,
            self.guard.upstream(),
            last_event,
        );
        let Some(next) = resumed.await else {
            return false;
        };
        resume.runs += 1;
        self.body = next.body;
        self.is_framed = next.is_framed;
        self.witness = next.witness;
        self.connection = Some(next.connection);
        self.guard = next.guard;
        self.events = Some(EventCounter::default());
        self.begun_ms = clock::now();
        self.workload = None;
        self.in_flight.events = 0;
        self.in_flight.answer_underway = false;
        true
    }

    fn record_speed(&self) {
        let Some(events) = self.events.as_ref().filter(|_| self.is_success) else {
            return;
        };
        upstream_speeds::record_stream(
            &self.gateway,
            self.guard.upstream(),
            self.workload.as_ref(),
            events.complete(),
            self.last_chunk_ms.since(self.begun_ms),
        );
    }

    fn record_chunk(&mut self, bytes: usize) {
        let now = clock::now();
        self.bytes += bytes as u64;
        self.longest_gap_ms = self.longest_gap_ms.max(now.since(self.last_chunk_ms));
        self.last_chunk_ms = now;
    }

    fn log_end(&self, outcome: &str) {
        self.gateway.events.write(
            "stream_ended",
            serde_json::json!({
                "request_id": &*self.in_flight.request_id,
                "upstream": &*self.guard.upstream().id,
                "outcome": outcome,
                "bytes": self.bytes,
                "longest_gap_ms": self.longest_gap_ms,
            }),
        );
    }
}
