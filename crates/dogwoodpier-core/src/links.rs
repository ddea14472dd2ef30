//! Paces KV transfers, so that the transfers of one node don't compete with each other for a link.
//!
//! The transfer time of a piece is learned from completed transfers. The shortest time is taken as
//! the link's own, because longer ones include waits for other traffic.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;

const US_PER_MS: u64 = 1_000;
// Divisor of the moving average: a longer time moves the estimate by one part in this many.
const SMOOTHING_DIVISOR: u64 = 16;

/// Times at which the links of engines are free again, as far as this node's own transfers use
/// them.
#[derive(Debug, Default)]
pub struct Links {
    free_ms: BTreeMap<Arc<str>, TimeMs>,
    piece_us: Option<u64>,
}

impl Links {
    /// Schedules a transfer between two engines and returns the time at which it may start.
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

    /// Records the duration of a completed transfer.
    pub fn record_duration(&mut self, pieces: u32, elapsed_ms: u64) {
        let measured_us = elapsed_ms * US_PER_MS / u64::from(pieces.max(1));
        self.piece_us = Some(match self.piece_us {
            Some(estimated_us) if measured_us > estimated_us => {
                estimated_us + (measured_us - estimated_us) / SMOOTHING_DIVISOR
            }
            _ => measured_us,
        });
    }

    /// Returns the time at which an engine's link is free.
    pub fn free_at(&self, engine: &str, now: TimeMs) -> TimeMs {
        self.free_ms.get(engine).copied().unwrap_or(now).max(now)
    }

    /// Drops the entries of links that are free.
    pub fn remove_idle(&mut self, now: TimeMs) {
        self.free_ms.retain(|_, free_ms| *free_ms > now);
    }
}
