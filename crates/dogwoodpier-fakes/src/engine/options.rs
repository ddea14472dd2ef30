//! How an engine's stand-in behaves.

use std::net::SocketAddr;

use dogwoodpier_derive::plain;

/// What an engine does.
#[plain]
#[derive(Copy, Eq)]
pub enum EngineRole {
    /// Only prefills.
    Prefill,
    /// Only decodes.
    Decode,
    /// Prefills and decodes.
    Both,
}

impl EngineRole {
    /// Returns true if the engine takes prefills.
    pub fn prefills(self) -> bool {
        self != Self::Decode
    }

    /// Returns true if the engine takes decodes.
    pub fn decodes(self) -> bool {
        self != Self::Prefill
    }
}

/// Speeds and sizes of an engine.
#[plain]
pub struct EngineOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// What the engine does.
    pub role: EngineRole,
    /// Most decode sequences.
    pub max_sequences: u32,
    /// Most KV pieces.
    pub max_pieces: u32,
    /// Tokens in a KV piece.
    pub tokens_per_piece: u32,
    /// Prefill speed, shared by the queue.
    pub prefill_tokens_per_s: u64,
    /// Time between two tokens of a lone sequence.
    pub token_gap_us: u64,
    /// Time that each sequence of the batch adds to the gap.
    pub token_gap_per_sequence_us: u64,
    /// Life of a prefill's result.
    pub prefill_ttl_ms: u64,
    /// Bytes that a transfer sends for a KV piece.
    pub bytes_per_piece: u64,
    /// Rate of the engine's link, each way.
    pub link_bytes_per_s: u64,
    /// Time between two load reports.
    pub load_interval_ms: u64,
    /// Time until a cache event is published.
    pub cache_lag_ms: u64,
    /// Cache events that are lost, in percent.
    pub cache_loss_percent: u32,
    /// Seed of the losses.
    pub seed: u64,
}

impl EngineOptions {
    /// Returns an engine of the usual speed and size on any port of this host.
    pub fn new(role: EngineRole) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            role,
            max_sequences: 20,
            max_pieces: 4_000,
            tokens_per_piece: 16,
            prefill_tokens_per_s: 16_000,
            token_gap_us: 15_000,
            token_gap_per_sequence_us: 700,
            prefill_ttl_ms: 800,
            bytes_per_piece: 64,
            link_bytes_per_s: 1_000_000,
            load_interval_ms: 300,
            cache_lag_ms: 500,
            cache_loss_percent: 5,
            seed: 1,
        }
    }
}
