//! What an engine did, for tests and measurements.

use dogwoodpier_derive::wire;

/// Counters of an engine.
#[wire]
#[derive(Default)]
pub struct EngineStats {
    /// Prompt tokens that prefills computed.
    pub prefill_tokens: u64,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u64,
    /// Computed tokens whose result expired before it was fetched.
    pub expired_tokens: u64,
    /// Computed tokens whose hold was cancelled before the result was fetched.
    pub cancelled_tokens: u64,
    /// Tokens of fetched KV caches whose hold was cancelled before the decode started.
    pub unused_import_tokens: u64,
    /// Prefills that ended.
    pub prefills: u64,
    /// Output tokens.
    pub decode_tokens: u64,
    /// Decodes that ended whole.
    pub finished_decodes: u64,
    /// Decodes that started.
    pub started_decodes: u64,
    /// Most sequences held at once.
    pub peak_sequences: u32,
    /// Calls refused because the engine was full.
    pub busy_refusals: u64,
    /// Holds now.
    pub holds: u32,
    /// Sequences held now.
    pub sequences: u32,
    /// KV pieces held now, without the prefix cache.
    pub pieces: u32,
}
