//! Messages of the model engines' API.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | `POST /v1/prefill` | [`PrefillRequest`] | 200 [`PrefillReply`], 409 [`Busy`] |
//! | `POST /v1/reserve` | [`ReserveRequest`] | 200, 409 [`Busy`] |
//! | `POST /v1/kv/import` | [`ImportRequest`] | 200, 410 if the prefill's result is gone |
//! | `GET /v1/kv/{handle}` | | 200 raw bytes, 404 |
//! | `POST /v1/decode` | [`DecodeRequest`] | 200 server-sent events, each a [`DecodeEvent`]; 409 without import |
//! | `POST /v1/cancel` | [`CancelRequest`] | 200 [`CancelReply`] |
//! | `GET /v1/holds` | | 200 [`HoldList`] |
//! | `GET /v1/load` | | 200 [`LoadReport`] |
//! | `GET /v1/cache/events?after=N` | | 200 [`CacheEvents`] |
//!
//! Everything that an engine keeps for a request is tagged with the request's hold, a string
//! `{incarnation:016x}-{sequence}` that the node chooses. A cancel of a hold frees all of it at this
//! engine, and a later call with a cancelled hold is refused with 410.

use std::sync::Arc;

use dogwoodpier_derive::wire;

/// Asks a prefill engine to compute the KV cache of a prompt.
#[wire]
pub struct PrefillRequest {
    /// Tag of what the engine keeps.
    pub hold: Arc<str>,
    /// Model to run.
    pub model: Arc<str>,
    /// Prompt, with the tokens delivered so far when a decode is resumed.
    pub prompt: Arc<str>,
    /// Larger goes first.
    pub priority: i32,
    /// Time after which the result is useless.
    pub deadline_in_ms: u64,
}

/// The result of a prefill.
#[wire]
pub struct PrefillReply {
    /// Names the KV cache at this engine.
    pub kv_handle: Arc<str>,
    /// Size of the KV cache.
    pub pieces: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Time after which the engine drops the result.
    pub expires_in_ms: u64,
}

/// Says that an engine is full.
#[wire]
pub struct Busy {
    /// Decode sequences free now.
    pub free_sequences: u32,
    /// KV pieces free now.
    pub free_pieces: u32,
}

/// Reserves room at a decode engine.
#[wire]
pub struct ReserveRequest {
    /// Tag of the reservation.
    pub hold: Arc<str>,
    /// Decode sequences.
    pub sequences: u32,
    /// KV pieces for prompt and output.
    pub pieces: u32,
}

/// Orders a decode engine to fetch a KV cache from a prefill engine.
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
    /// Id that each event repeats.
    pub request_id: Arc<str>,
    /// Most output tokens of the whole answer.
    pub max_tokens: u64,
    /// Output tokens that the caller has already got; the next event has this index.
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
        /// Place in the whole answer, from zero.
        index: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The end of a whole answer; a stream that ends without it was cut.
    Finish {
        /// Id from the request.
        request_id: Arc<str>,
        /// Tokens of the whole answer.
        completion_tokens: u64,
        /// Why the answer ends, `length` or `stop`.
        reason: Arc<str>,
    },
}

/// Frees all that an engine keeps for a hold.
#[wire]
pub struct CancelRequest {
    /// Tag to free.
    pub hold: Arc<str>,
}

/// Acknowledges a cancel.
#[wire]
pub struct CancelReply {
    /// True if something was freed.
    pub released: bool,
}

/// What an engine keeps.
#[wire]
pub struct HoldList {
    /// One entry a hold.
    pub holds: Vec<HoldEntry>,
}

/// What an engine keeps for one hold.
#[wire]
pub struct HoldEntry {
    /// Tag.
    pub hold: Arc<str>,
    /// Decode sequences.
    pub sequences: u32,
    /// KV pieces.
    pub pieces: u32,
    /// Time since the hold was made.
    pub age_ms: u64,
}

/// An engine's load, as it was some time ago.
#[wire]
pub struct LoadReport {
    /// Age of the report.
    pub age_ms: u64,
    /// Decode sequences running or reserved.
    pub sequences: u32,
    /// Most decode sequences.
    pub max_sequences: u32,
    /// KV pieces in use.
    pub pieces: u32,
    /// Most KV pieces.
    pub max_pieces: u32,
    /// Prompt tokens that wait for their prefill.
    pub queued_prompt_tokens: u64,
    /// Prefill speed.
    pub prefill_tokens_per_s: u64,
    /// Tokens in a KV piece.
    pub tokens_per_piece: u32,
}

/// Changes of an engine's prefix cache, published late and with gaps.
#[wire]
pub struct CacheEvents {
    /// Events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number to ask after next.
    pub next: u64,
}

/// One change of a prefix cache.
#[wire]
pub struct CacheEvent {
    /// Sequence number.
    pub sequence: u64,
    /// Hash of the prefix, see `prefix_hashes`.
    pub prefix_hash: u64,
    /// True if stored, false if dropped.
    pub stored: bool,
}
