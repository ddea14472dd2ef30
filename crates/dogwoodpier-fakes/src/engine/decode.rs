//! Decodes. All running sequences form one batch; each step produces one token of each sequence and
//! takes longer the more sequences there are.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::Instant;

use dogwoodpier_upstream::wire::DecodeEvent;
use dogwoodpier_upstream::wire::DecodeRequest;

use crate::engine::api::Engine;
use crate::engine::state::State;
use crate::engine::text::TextState;
use crate::faults::take_one;
use crate::respond;
use crate::respond::BodyChunk;
use crate::server::Answer;
use crate::server::Cut;

/// Events that are buffered for a slow reader. A sequence pauses while its buffer is full.
const MAX_BUFFERED_EVENTS: usize = 64;

/// A running decode.
pub struct Sequence {
    /// Hold that the decode belongs to.
    pub hold: Arc<str>,
    request_id: Arc<str>,
    text: TextState,
    next_index: u64,
    end_index: u64,
    reason: Arc<str>,
    /// Remaining tokens until the stream is cut by an injected fault; absent for no such fault.
    cut_after: Option<u64>,
    events: mpsc::Sender<BodyChunk>,
}

/// Result of one step of a sequence.
#[derive(PartialEq)]
enum Step {
    /// The sequence goes on.
    Running,
    /// The answer is complete; the hold is released.
    Finished,
    /// The reader disconnected or the stream was cut; the hold stays until it is cancelled.
    Stopped,
}

/// Starts a decode from the KV cache that was imported into the reservation.
pub fn serve(engine: &Engine, request: DecodeRequest) -> Answer {
    let (events, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let mut state = engine.lock();
    if state.is_cancelled(&request.hold) {
        return respond::text(StatusCode::GONE, "hold was cancelled");
    }
    let Some(reservation) = state.reservations.get_mut(&request.hold) else {
        return respond::text(StatusCode::GONE, "no such hold");
    };
    let Some(imported) = reservation.imported.take() else {
        return respond::text(StatusCode::CONFLICT, "no KV cache was imported");
    };
    if imported.text.crashes_decode {
        drop(state);
        engine.crash.now();
        return Err(Cut);
    }
    let stop_after = imported.text.stop_after.unwrap_or(u64::MAX);
    let reason = if stop_after < request.max_tokens {
        "stop"
    } else {
        "length"
    };
    let is_cut = take_one(&mut state.faults.cut_streams);
    let cut_after = is_cut.then_some(state.faults.cut_after_tokens);
    state.stats.started_decodes += 1;
    state.running.push(Sequence {
        hold: request.hold,
        request_id: request.request_id,
        text: imported.text,
        next_index: request.resume_from,
        end_index: stop_after.min(request.max_tokens),
        reason: reason.into(),
        cut_after,
        events,
    });
    engine.decode_wake.notify_one();
    respond::stream("text/event-stream", receiver)
}

/// Runs the decode steps of the batch.
pub async fn run(engine: Arc<Engine>) {
    let mut step_end = Instant::now();
    loop {
        let batch = engine.lock().running.len();
        if batch == 0 {
            engine.decode_wake.notified().await;
            continue;
        }
        step_end = step_end.max(Instant::now()) + engine.step_time(batch);
        tokio::time::sleep_until(step_end).await;
        engine.wait_while_hanging().await;
        step(&engine);
    }
}

fn step(engine: &Engine) {
    let mut state = engine.lock();
    let mut running = std::mem::take(&mut state.running);
    let ids: Vec<Arc<str>> = running.iter().map(|s| s.request_id.clone()).collect();
    let mut index = 0;
    running.retain_mut(|sequence| {
        let other_id = &ids[(index + 1) % ids.len()];
        index += 1;
        match sequence.advance(&mut state, other_id) {
            Step::Running => true,
            Step::Finished => {
                state.reservations.remove(&sequence.hold);
                state.stats.finished_decodes += 1;
                engine.prefill_wake.notify_one();
                sequence.send_finish();
                false
            }
            Step::Stopped => false,
        }
    });
    state.running = running;
}

impl Sequence {
    fn advance(&mut self, state: &mut State, other_id: &Arc<str>) -> Step {
        if self.events.is_closed() {
            return Step::Stopped;
        }
        // One token may be sent twice and followed by the finish event, so three events need room.
        if self.events.capacity() < 3 {
            return Step::Running;
        }
        if self.cut_after == Some(0) {
            let _ = self.events.try_send(Err(Cut));
            return Step::Stopped;
        }
        if self.next_index >= self.end_index {
            return Step::Finished;
        }
        let is_crossed = take_one(&mut state.faults.cross_tokens);
        let request_id = match is_crossed {
            true if *other_id == self.request_id => &format!("not-{other_id}").into(),
            true => other_id,
            false => &self.request_id,
        };
        let event = DecodeEvent::Token {
            request_id: request_id.clone(),
            index: self.next_index,
            text: self.text.next_token().into(),
        };
        if send(&self.events, &event).is_err() {
            return Step::Stopped;
        }
        if take_one(&mut state.faults.duplicate_tokens) {
            let _ = send(&self.events, &event);
        }
        state.stats.decode_tokens += 1;
        self.next_index += 1;
        self.cut_after = self.cut_after.map(|left| left - 1);
        if self.next_index >= self.end_index {
            return Step::Finished;
        }
        Step::Running
    }

    fn send_finish(&self) {
        let event = DecodeEvent::Finish {
            request_id: self.request_id.clone(),
            completion_tokens: self.end_index.max(self.next_index),
            reason: self.reason.clone(),
        };
        // Sending fails if the reader has disconnected, which needs no handling.
        let _ = send(&self.events, &event);
    }
}

fn send(
    events: &mpsc::Sender<BodyChunk>,
    event: &DecodeEvent,
) -> Result<(), TrySendError<BodyChunk>> {
    let text = serde_json::to_string(event).unwrap_or_default();
    events.try_send(Ok(Bytes::from(format!("data: {text}\n\n"))))
}

impl Engine {
    /// Returns the duration of one step of a batch, with the slowdown fault applied.
    fn step_time(&self, batch: usize) -> Duration {
        let per_sequence_us = self.options.token_gap_per_sequence_us * batch as u64;
        self.apply_slowdown(Duration::from_micros(
            self.options.token_gap_us + per_sequence_us,
        ))
    }
}
