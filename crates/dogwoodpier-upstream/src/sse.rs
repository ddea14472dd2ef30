//! Parser of server-sent events.

use thiserror::Error;

const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Error of a stream that isn't a valid stream of server-sent events.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SseError {
    /// An event is larger than the limit, which no event of the engines' API reaches.
    #[error("server-sent event larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event isn't UTF-8 text.
    #[error("server-sent event is not UTF-8")]
    NotText,
}

/// Incremental parser that returns the data of the events in a byte stream.
#[derive(Default)]
pub struct SseParser {
    buffer: Vec<u8>,
    data: Vec<String>,
    event_bytes: usize,
}

impl SseParser {
    /// Parses the next chunk of the stream and returns the data of the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<String>, SseError> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') {
            let line = std::str::from_utf8(&self.buffer[start..start + length])
                .map_err(|_| SseError::NotText)?
                .trim_end_matches('\r')
                .to_owned();
            start += length + 1;
            events.extend(self.parse_line(&line)?);
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(events)
    }

    /// Returns true if no event is incomplete at the end of the chunks so far.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty() && self.data.is_empty()
    }

    fn parse_line(&mut self, line: &str) -> Result<Option<String>, SseError> {
        if line.is_empty() {
            self.event_bytes = 0;
            let data = std::mem::take(&mut self.data);
            return Ok((!data.is_empty()).then(|| data.join("\n")));
        }
        // Other fields and comments are ignored.
        if let Some(data) = line.strip_prefix("data:") {
            self.event_bytes += data.len();
            if self.event_bytes > MAX_EVENT_BYTES {
                return Err(SseError::TooLarge);
            }
            self.data
                .push(data.strip_prefix(' ').unwrap_or(data).to_owned());
        }
        Ok(None)
    }
}
