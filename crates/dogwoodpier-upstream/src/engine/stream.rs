//! The events of a decode.

use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_http::StreamingResponse;

use crate::engine::error::EngineError;
use crate::sse::SseParser;
use crate::wire::DecodeEvent;

/// A running decode. Dropping it closes its connection, which ends the decode at the engine but
/// doesn't free the hold.
pub struct DecodeStream {
    answer: StreamingResponse,
    request_id: Arc<str>,
    progress_timeout_ms: u64,
    parser: SseParser,
    ready: VecDeque<DecodeEvent>,
    is_finished: bool,
}

impl DecodeStream {
    pub(crate) fn new(
        answer: StreamingResponse,
        request_id: Arc<str>,
        progress_timeout_ms: u64,
    ) -> Self {
        Self {
            answer,
            request_id,
            progress_timeout_ms,
            parser: SseParser::default(),
            ready: VecDeque::new(),
            is_finished: false,
        }
    }

    /// Returns the next event, or `None` after the finish event.
    ///
    /// A stream that ends without a finish event is [`EngineError::Cut`], and an event of another
    /// request is [`EngineError::RequestIdMismatch`]. Places of tokens aren't checked.
    pub async fn next(&mut self) -> Result<Option<DecodeEvent>, EngineError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return self.take(event).map(Some);
            }
            if self.is_finished {
                return Ok(None);
            }
            let Some(part) = self.answer.next_chunk(self.progress_timeout_ms).await? else {
                return Err(EngineError::Cut("no finish event".to_owned()));
            };
            for data in self.parser.push(&part)? {
                self.ready.push_back(serde_json::from_str(&data)?);
            }
        }
    }

    fn take(&mut self, event: DecodeEvent) -> Result<DecodeEvent, EngineError> {
        let received = match &event {
            DecodeEvent::Token { request_id, .. } | DecodeEvent::Finish { request_id, .. } => {
                request_id
            }
        };
        if *received != self.request_id {
            return Err(EngineError::RequestIdMismatch {
                expected: self.request_id.clone(),
                received: received.clone(),
            });
        }
        if matches!(event, DecodeEvent::Finish { .. }) {
            self.is_finished = true;
            self.ready.clear();
        }
        Ok(event)
    }
}
