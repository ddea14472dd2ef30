//! Boundaries of server-sent events in a byte stream.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;

// Ends of an event, for both kinds of line ends.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const ID_FIELD: &str = "id:";
// Longest event that is buffered until it is complete. Events of engines take a few hundred bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Splits a stream into complete events and keeps the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    // Number of bytes of `partial` that were searched and contain no end of an event.
    searched: usize,
    last_id: Option<HeaderValue>,
    // An event was too long, so a part of it was returned.
    overflowed: bool,
}

impl EventSplitter {
    /// Returns the splitter for a stream whose client already has the events up to `last_id`.
    pub fn after(last_id: Option<HeaderValue>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that are complete by now. After an event that is too long
    /// to be buffered, all bytes are returned as they arrive.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        if self.overflowed {
            return self.partial.split().freeze();
        }
        // The end of an event may have begun in the bytes that were searched before.
        let from = self.searched.saturating_sub(EVENT_ENDS[1].len());
        let end = EVENT_ENDS
            .iter()
            .filter_map(|end| last_end(&self.partial[from..], end))
            .max();
        let Some(end) = end else {
            self.searched = self.partial.len();
            if self.searched <= MAX_EVENT_BYTES {
                return Bytes::new();
            }
            self.overflowed = true;
            return self.partial.split().freeze();
        };
        let complete = self.partial.split_to(from + end).freeze();
        self.searched = self.partial.len();
        self.record_last_id(&complete);
        complete
    }

    /// Returns whether only complete events were returned, so that the stream can be resumed after
    /// them.
    pub fn can_resume(&self) -> bool {
        !self.overflowed
    }

    /// Returns the remaining bytes at the end of a stream.
    pub fn take_remainder(&mut self) -> Bytes {
        self.searched = 0;
        self.partial.split().freeze()
    }

    /// Discards the beginning of an event that was cut.
    pub fn discard_partial(&mut self) {
        self.searched = 0;
        self.partial.clear();
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<HeaderValue> {
        self.last_id.clone()
    }

    fn record_last_id(&mut self, complete: &[u8]) {
        let id = complete
            .split(|byte| *byte == b'\n')
            .filter_map(|line| std::str::from_utf8(line).ok())
            .filter_map(|line| line.strip_prefix(ID_FIELD))
            .next_back()
            .and_then(|id| HeaderValue::from_str(id.trim()).ok());
        if id.is_some() {
            self.last_id = id;
        }
    }
}

/// Counts the events of a stream that is forwarded as it arrives.
#[derive(Debug, Default)]
pub struct EventCounter {
    complete: u64,
    line: Line,
    // The event in progress has a field. A block of comments is no event.
    has_field: bool,
    has_bytes: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventCounter {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push_byte(*byte);
        }
    }

    /// Returns the number of complete events.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Returns whether the last event isn't complete.
    pub fn is_inside_event(&self) -> bool {
        self.has_bytes
    }

    fn push_byte(&mut self, byte: u8) {
        match (byte, self.line) {
            (b'\r', _) => {}
            (b'\n', Line::Empty) => {
                self.complete += u64::from(self.has_field);
                self.has_field = false;
                self.has_bytes = false;
            }
            (b'\n', _) => self.line = Line::Empty,
            (b':', Line::Empty) => self.begin_line(Line::Comment),
            (_, Line::Empty) => self.begin_line(Line::Field),
            (_, Line::Comment | Line::Field) => {}
        }
    }

    fn begin_line(&mut self, line: Line) {
        self.line = line;
        self.has_bytes = true;
        self.has_field |= line == Line::Field;
    }
}

// Returns where the last occurrence of `end` ends.
fn last_end(bytes: &[u8], end: &[u8]) -> Option<usize> {
    let start = bytes.windows(end.len()).rposition(|window| window == end)?;
    Some(start + end.len())
}
