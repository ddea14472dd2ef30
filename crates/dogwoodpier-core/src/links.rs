//! Paces KV transfers, so that those of this node don't crowd each other on a link.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;

const MS_PER_S: u64 = 1_000;

/// When each engine's link is free again, as far as this node's own transfers go.
#[derive(Debug, Default)]
pub struct Links {
    free_ms: BTreeMap<Arc<str>, TimeMs>,
}

impl Links {
    /// Books a transfer between two engines and returns when it may start.
    pub fn book(
        &mut self,
        source: &Arc<str>,
        target: &Arc<str>,
        bytes: u64,
        link_bytes_per_s: u64,
        now: TimeMs,
    ) -> TimeMs {
        let start_ms = self.free_at(source, now).max(self.free_at(target, now));
        let byte_ms = bytes.saturating_mul(MS_PER_S);
        if let Some(duration_ms) = byte_ms.checked_div(link_bytes_per_s) {
            let end_ms = start_ms.after(duration_ms);
            self.free_ms.insert(source.clone(), end_ms);
            self.free_ms.insert(target.clone(), end_ms);
        }
        start_ms
    }

    /// Returns when an engine's link is free.
    pub fn free_at(&self, engine: &str, now: TimeMs) -> TimeMs {
        self.free_ms.get(engine).copied().unwrap_or(now).max(now)
    }

    /// Drops links that are free.
    pub fn forget_free(&mut self, now: TimeMs) {
        self.free_ms.retain(|_, free_ms| *free_ms > now);
    }
}
