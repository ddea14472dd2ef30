//! Reads a decode stream and delivers each of its tokens once and in order.

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
use super::reserve::DecodeReservation;

// Events with the id of another request that are ignored in one stream before it fails.
const MAX_MISMATCHED_EVENTS: u32 = 64;

/// Why a decode ended before its answer was complete.
#[derive(Debug, Error)]
pub enum DecodeFailure {
    /// The engine or the connection to it failed.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The events do not form a complete answer.
    #[error(transparent)]
    Stream(#[from] StreamFault),
    /// The caller has left or has not read the answer for too long.
    #[error("the caller has left or takes nothing")]
    CallerGone,
}

/// Limits of one decode.
#[derive(Clone, Copy, Debug)]
pub struct DecodeLimits {
    /// Maximum number of output tokens of the whole answer.
    pub max_tokens: u64,
    /// Longest time without an event of the engine.
    pub progress_timeout_ms: u64,
    /// Longest time for the caller to take a part while the output buffer is full.
    pub write_timeout_ms: u64,
}

/// Decodes at the engine of the reservation until the answer is complete. Calls `on_token` after
/// each delivered token.
pub async fn decode<F>(
    reservation: &DecodeReservation,
    stream_id: &Arc<str>,
    limits: DecodeLimits,
    delivery: &mut Delivery,
    outputs: &mpsc::Sender<Result<Output, Refusal>>,
    mut on_token: F,
) -> Result<(), DecodeFailure>
where
    F: FnMut(),
{
    let request = DecodeRequest {
        hold: reservation.hold.tag().clone(),
        request_id: stream_id.clone(),
        max_tokens: limits.max_tokens,
        resume_from: delivery.delivered_tokens(),
    };
    delivery.resume(stream_id.clone());
    let mut stream = reservation
        .engine
        .client
        .decode(&request, limits.progress_timeout_ms)
        .await?;
    let mut mismatched_events = 0;
    loop {
        let event = match stream.next().await {
            Ok(Some(event)) => event,
            Ok(None) => {
                delivery.end()?;
                return Ok(());
            }
            Err(EngineError::RequestIdMismatch { .. })
                if mismatched_events < MAX_MISMATCHED_EVENTS =>
            {
                mismatched_events += 1;
                counter!(counters::IGNORED_EVENTS_TOTAL).increment(1);
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        let progress = delivery.handle_event(stream_event(event))?;
        for text in progress.tokens {
            send(outputs, Output::Token(text), limits).await?;
            counter!(counters::OUTPUT_TOKENS_TOTAL).increment(1);
            on_token();
        }
        if let Some(reason) = progress.finished {
            return send(outputs, Output::Finish(reason), limits).await;
        }
    }
}

async fn send(
    outputs: &mpsc::Sender<Result<Output, Refusal>>,
    output: Output,
    limits: DecodeLimits,
) -> Result<(), DecodeFailure> {
    let limit = Duration::from_millis(limits.write_timeout_ms);
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
