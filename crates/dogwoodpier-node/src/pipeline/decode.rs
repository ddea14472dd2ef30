//! Follows a decode stream and hands its tokens on, each once and in order.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thiserror::Error;
use tokio::sync::mpsc;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::delivery::Delivery;
use dogwoodpier_core::delivery::StreamEvent;
use dogwoodpier_core::delivery::StreamFault;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::wire::DecodeEvent;
use dogwoodpier_upstream::wire::DecodeRequest;

use crate::counters;

use super::model::Output;
use super::reserve::Seat;

// Events of other requests in one stream before it counts as broken.
const MAX_CROSSED: u32 = 64;

/// Why a decode ended before its answer was whole.
#[derive(Debug, Error)]
pub enum DecodeFailure {
    /// The engine or the connection to it failed.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The events don't make a whole answer.
    #[error(transparent)]
    Stream(#[from] StreamFault),
    /// The caller no longer takes the answer.
    #[error("the caller has left or takes nothing")]
    CallerGone,
}

/// Bounds of one decode.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most output tokens of the whole answer.
    pub max_tokens: u64,
    /// Longest silence of the engine.
    pub progress_timeout_ms: u64,
    /// Longest time for the caller to take the next part, once the parts that may wait for it are
    /// used up.
    pub write_timeout_ms: u64,
}

/// Decodes at the seat's engine until the answer is whole. `on_token` hears of each token that was
/// handed on.
pub async fn decode<F>(
    seat: &Seat,
    stream_id: &Arc<str>,
    bounds: Bounds,
    delivery: &mut Delivery,
    outputs: &mpsc::Sender<Result<Output, Refusal>>,
    mut on_token: F,
) -> Result<(), DecodeFailure>
where
    F: FnMut(),
{
    let request = DecodeRequest {
        hold: seat.hold.tag().clone(),
        request_id: stream_id.clone(),
        max_tokens: bounds.max_tokens,
        resume_from: delivery.delivered_tokens(),
    };
    delivery.resume(stream_id.clone());
    let mut stream = seat
        .engine
        .client
        .decode(&request, bounds.progress_timeout_ms)
        .await?;
    let mut crossed = 0;
    loop {
        let event = match stream.next().await {
            Ok(Some(event)) => event,
            Ok(None) => {
                delivery.end()?;
                return Ok(());
            }
            Err(EngineError::RequestIdMismatch { .. }) if crossed < MAX_CROSSED => {
                crossed += 1;
                counter!(counters::IGNORED_EVENTS_TOTAL).increment(1);
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        let progress = delivery.handle_event(stream_event(event))?;
        for text in progress.tokens {
            send(outputs, Output::Token(text), bounds).await?;
            counter!(counters::OUTPUT_TOKENS_TOTAL).increment(1);
            on_token();
        }
        if let Some(reason) = progress.finished {
            return send(outputs, Output::Finish(reason), bounds).await;
        }
    }
}

async fn send(
    outputs: &mpsc::Sender<Result<Output, Refusal>>,
    output: Output,
    bounds: Bounds,
) -> Result<(), DecodeFailure> {
    let limit = Duration::from_millis(bounds.write_timeout_ms);
    match tokio::time::timeout(limit, outputs.send(Ok(output))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(DecodeFailure::CallerGone),
    }
}

fn stream_event(event: DecodeEvent) -> StreamEvent {
    match event {
        DecodeEvent::Token {
            request_id,
            index,
            text,
        } => StreamEvent::Token {
            request_id,
            index,
            text,
        },
        DecodeEvent::Finish {
            request_id,
            completion_tokens,
            reason,
        } => StreamEvent::Finish {
            request_id,
            completion_tokens,
            reason,
        },
    }
}
