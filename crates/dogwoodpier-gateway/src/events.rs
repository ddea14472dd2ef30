//! The boundaries of server-sent events in a stream of bytes.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &str = "id:";

/// Splits a stream into whole events and remembers the last one's id.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last_id: Option<HeaderValue>,
}

impl Events {
    /// Returns the state of a stream whose client already has the events up to `last_id`.
    pub fn after(last_id: Option<HeaderValue>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Takes bytes in and returns the whole events among all that were taken.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = self
            .partial
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(end) = end else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end + EVENT_END.len()).freeze();
        self.note_ids(&whole);
        whole
    }

    /// Returns what is left at the end of a stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets the beginning of an event that was cut.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<HeaderValue> {
        self.last_id.clone()
    }

    fn note_ids(&mut self, whole: &[u8]) {
        let id = whole
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
