//! Event streams of decodes.

use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_http::StreamingResponse;

use crate::engine::error::EngineError;
use crate::sse::SseParser;
use crate::wire::DecodeEvent;

/// Event stream of a running decode. Dropping it closes its connection, which ends the decode at the
/// engine but doesn't free the hold.
pub struct DecodeStream {
    response: StreamingResponse,
    request_id: Arc<str>,
    progress_timeout_ms: u64,
    parser: SseParser,
    pending: VecDeque<DecodeEvent>,
    is_finished: bool,
}

impl DecodeStream {
    pub(crate) fn new(
        response: StreamingResponse,
        request_id: Arc<str>,
        progress_timeout_ms: u64,
    ) -> Self {
        Self {
            response,
            request_id,
            progress_timeout_ms,
            parser: SseParser::default(),
            pending: VecDeque::new(),
            is_finished: false,
        }
    }

    /// Returns the next event, or `None` after the finish event.
    ///
    /// Returns [`EngineError::Cut`] if the stream ends without a finish event, and
    /// [`EngineError::RequestIdMismatch`] for an event of another request. The indices of tokens
    /// aren't checked.
    pub async fn next(&mut self) -> Result<Option<DecodeEvent>, EngineError> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return self.check_event(event).map(Some);
            }
            if self.is_finished {
                return Ok(None);
            }
            let Some(chunk) = self.response.next_chunk(self.progress_timeout_ms).await? else {
                return Err(EngineError::Cut("no finish event".to_owned()));
            };
            for data in self.parser.push(&chunk)? {
                self.pending.push_back(serde_json::from_str(&data)?);
            }
        }
    }

    fn check_event(&mut self, event: DecodeEvent) -> Result<DecodeEvent, EngineError> {
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
            self.pending.clear();
        }
        Ok(event)
    }
}
