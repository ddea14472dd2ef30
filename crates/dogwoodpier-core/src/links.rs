//! Paces KV transfers, so that those of one node don't crowd each other on a link.
//!
//! The time that a piece takes is learned from transfers that ended. The shortest one seen is the
//! link's own; longer ones had waited for something else.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;

const US_PER_MS: u64 = 1_000;
// Part by which the learned time moves towards a longer one.
const DRIFT: u64 = 16;

/// When each engine's link is free again, as far as this node's own transfers go.
#[derive(Debug, Default)]
pub struct Links {
    free_ms: BTreeMap<Arc<str>, TimeMs>,
    piece_us: Option<u64>,
}

impl Links {
    /// Books a transfer between two engines and returns when it may start.
    pub fn schedule(
        &mut self,
        source: &Arc<str>,
        target: &Arc<str>,
        pieces: u32,
        now: TimeMs,
    ) -> TimeMs {
        let start_ms = self.free_at(source, now).max(self.free_at(target, now));
        let transfer_us = u64::from(pieces) * self.piece_us.unwrap_or(0);
        let end_ms = start_ms.after(transfer_us / US_PER_MS);
        self.free_ms.insert(source.clone(), end_ms);
        self.free_ms.insert(target.clone(), end_ms);
        start_ms
    }

    /// Takes in how long a transfer took.
    pub fn record_duration(&mut self, pieces: u32, elapsed_ms: u64) {
        let seen_us = elapsed_ms * US_PER_MS / u64::from(pieces.max(1));
        self.piece_us = Some(match self.piece_us {
            Some(known_us) if seen_us > known_us => known_us + (seen_us - known_us) / DRIFT,
            _ => seen_us,
        });
    }

    /// Returns when an engine's link is free.
    pub fn free_at(&self, engine: &str, now: TimeMs) -> TimeMs {
        self.free_ms.get(engine).copied().unwrap_or(now).max(now)
    }

    /// Drops links that are free.
    pub fn remove_idle(&mut self, now: TimeMs) {
        self.free_ms.retain(|_, free_ms| *free_ms > now);
    }
}
