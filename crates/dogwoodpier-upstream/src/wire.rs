//! Messages of the model engines' API.
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | `POST /v1/prefill` | [`PrefillRequest`] | 200 [`PrefillReply`], 409 [`Busy`] |
//! | `POST /v1/reserve` | [`ReserveRequest`] | 200, 409 [`Busy`] |
//! | `POST /v1/kv/import` | [`ImportRequest`] | 200, 410 if the prefill's result no longer exists |
//! | `GET /v1/kv/{handle}` | | 200 raw bytes, 404 |
//! | `POST /v1/decode` | [`DecodeRequest`] | 200 server-sent events, each a [`DecodeEvent`]; 409 without import |
//! | `POST /v1/cancel` | [`CancelRequest`] | 200 [`CancelReply`] |
//! | `GET /v1/holds` | | 200 [`HoldList`] |
//! | `GET /v1/load` | | 200 [`LoadReport`] |
//! | `GET /v1/cache/events?after=N` | | 200 [`CacheEvents`] |
//!
//! Everything that an engine keeps for a request is tagged with the request's hold, a string
//! `{incarnation:016x}-{sequence}` that the node chooses. Cancelling a hold frees everything with this
//! tag at the engine. Later calls with a cancelled hold are rejected with 410.

use std::sync::Arc;

use dogwoodpier_derive::wire;

/// Asks a prefill engine to compute the KV cache of a prompt.
#[wire]
pub struct PrefillRequest {
    /// Tag of everything that the engine keeps for the request.
    pub hold: Arc<str>,
    /// Model to run.
    pub model: Arc<str>,
    /// Prompt, with the tokens delivered so far when a decode is resumed.
    pub prompt: Arc<str>,
    /// Priority; larger values go first.
    pub priority: i32,
    /// Time after which the result is no longer needed.
    pub deadline_in_ms: u64,
}

/// Result of a prefill.
#[wire]
pub struct PrefillReply {
    /// Identifies the KV cache at this engine.
    pub kv_handle: Arc<str>,
    /// Size of the KV cache.
    pub pieces: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Time after which the engine drops the result.
    pub expires_in_ms: u64,
}

/// Response of an engine that is full.
#[wire]
pub struct Busy {
    /// Free decode sequences.
    pub free_sequences: u32,
    /// Free KV pieces.
    pub free_pieces: u32,
}

/// Reserves capacity at a decode engine.
#[wire]
pub struct ReserveRequest {
    /// Tag of the reservation.
    pub hold: Arc<str>,
    /// Decode sequences to reserve.
    pub sequences: u32,
    /// KV pieces to reserve, for prompt and output.
    pub pieces: u32,
}

/// Makes a decode engine fetch a KV cache from a prefill engine.
#[wire]
pub struct ImportRequest {
    /// Tag of the reservation that the KV cache fills.
    pub hold: Arc<str>,
    /// Address "ip:port" of the prefill engine.
    pub source: Arc<str>,
    /// Handle from [`PrefillReply`].
    pub kv_handle: Arc<str>,
}

/// Starts or resumes a decode on an imported KV cache.
#[wire]
pub struct DecodeRequest {
    /// Tag of the reservation.
    pub hold: Arc<str>,
    /// Id that each event carries.
    pub request_id: Arc<str>,
    /// Maximum number of output tokens of the whole answer, including those delivered before.
    pub max_tokens: u64,
    /// Output tokens that the caller has already received; the next event has this index.
    pub resume_from: u64,
}

/// An event of a decode stream.
#[wire]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum DecodeEvent {
    /// One output token.
    Token {
        /// Id from the request.
        request_id: Arc<str>,
        /// Index in the whole answer, from zero.
        index: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// End of a complete answer. A stream that ends without this event was cut.
    Finish {
        /// Id from the request.
        request_id: Arc<str>,
        /// Tokens of the whole answer.
        completion_tokens: u64,
        /// Why the answer ends, `length` or `stop`.
        reason: Arc<str>,
    },
}

/// Frees everything that an engine keeps for a hold.
#[wire]
pub struct CancelRequest {
    /// Tag to free.
    pub hold: Arc<str>,
}

/// Response to a cancel.
#[wire]
pub struct CancelReply {
    /// True if anything was freed.
    pub released: bool,
}

/// Everything that an engine keeps, by hold.
#[wire]
pub struct HoldList {
    /// One entry per hold.
    pub holds: Vec<HoldEntry>,
}

/// What an engine keeps for one hold.
#[wire]
pub struct HoldEntry {
    /// Tag of the hold.
    pub hold: Arc<str>,
    /// Decode sequences.
    pub sequences: u32,
    /// KV pieces.
    pub pieces: u32,
    /// Time since the hold was made.
    pub age_ms: u64,
}

/// An engine's load at an earlier time.
#[wire]
pub struct LoadReport {
    /// Age of the report.
    pub age_ms: u64,
    /// Decode sequences running or reserved.
    pub sequences: u32,
    /// Maximum number of decode sequences.
    pub max_sequences: u32,
    /// KV pieces in use.
    pub pieces: u32,
    /// Maximum number of KV pieces.
    pub max_pieces: u32,
    /// Prompt tokens in the prefill queue.
    pub queued_prompt_tokens: u64,
    /// Prefill throughput.
    pub prefill_tokens_per_s: u64,
    /// Tokens in a KV piece.
    pub tokens_per_piece: u32,
}

/// Changes of an engine's prefix cache. They are published late, and some may be missing.
#[wire]
pub struct CacheEvents {
    /// Events, ordered by sequence number.
    pub events: Vec<CacheEvent>,
    /// Sequence number after which the next call continues.
    pub next: u64,
}

/// One change of a prefix cache.
#[wire]
pub struct CacheEvent {
    /// Sequence number.
    pub sequence: u64,
    /// Hash of the prefix, see [`crate::prefix::prefix_hashes`].
    pub prefix_hash: u64,
    /// True if the prefix was stored, false if it was dropped.
    pub stored: bool,
}
