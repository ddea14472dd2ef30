//! Options of a stand-in for an engine.

use std::net::SocketAddr;

use dogwoodpier_derive::plain;

/// Stages that an engine serves.
#[plain]
#[derive(Copy, Eq)]
pub enum EngineRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Both,
}

impl EngineRole {
    /// Returns true if the engine serves prefills.
    pub fn prefills(self) -> bool {
        self != Self::Decode
    }

    /// Returns true if the engine serves decodes.
    pub fn decodes(self) -> bool {
        self != Self::Prefill
    }
}

/// Speed, capacity and simulated imperfections of an engine.
#[plain]
pub struct EngineOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Stages that the engine serves.
    pub role: EngineRole,
    /// Maximum number of concurrent decode sequences.
    pub max_sequences: u32,
    /// Maximum number of KV pieces.
    pub max_pieces: u32,
    /// Tokens in a KV piece.
    pub tokens_per_piece: u32,
    /// Prefill throughput, shared by all queued prefills.
    pub prefill_tokens_per_s: u64,
    /// Base time of a decode step, excluding the time per sequence.
    pub token_gap_us: u64,
    /// Time that each sequence of the batch adds to a decode step.
    pub token_gap_per_sequence_us: u64,
    /// Time until a prefill result that isn't fetched expires.
    pub prefill_ttl_ms: u64,
    /// Bytes that a transfer sends for a KV piece.
    pub bytes_per_piece: u64,
    /// Bandwidth of the engine's link, in each direction.
    pub link_bytes_per_s: u64,
    /// Interval between load reports.
    pub load_interval_ms: u64,
    /// Delay until a cache event is published.
    pub cache_lag_ms: u64,
    /// Share of cache events that are lost, in percent.
    pub cache_loss_percent: u32,
    /// Seed of the random losses of cache events.
    pub seed: u64,
}

impl EngineOptions {
    /// Returns the default options, with a free port of this host.
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
