//! Counters of an engine, for tests and measurements.

use dogwoodpier_derive::wire;

/// Counters of an engine.
#[wire]
#[derive(Default)]
pub struct EngineStats {
    /// Prompt tokens that were computed.
    pub prefill_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Computed tokens of prefills that passed their deadline or whose result expired before it
    /// was fetched.
    pub expired_tokens: u64,
    /// Computed tokens of prefills whose hold was cancelled before the result was fetched.
    pub cancelled_tokens: u64,
    /// Prompt tokens of fetched KV caches whose hold was cancelled before the decode started.
    pub unused_import_tokens: u64,
    /// Prefills that were computed to their end.
    pub prefills: u64,
    /// Output tokens that were sent, without duplicates.
    pub decode_tokens: u64,
    /// Decodes that produced their whole answer.
    pub finished_decodes: u64,
    /// Decodes that were started.
    pub started_decodes: u64,
    /// Maximum number of sequences held at once.
    pub peak_sequences: u32,
    /// Calls that were rejected because the engine had too little free capacity.
    pub busy_refusals: u64,
    /// Current holds.
    pub holds: u32,
    /// Sequences currently held.
    pub sequences: u32,
    /// KV pieces currently held, without the prefix cache.
    pub pieces: u32,
}
