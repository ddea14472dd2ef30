//! Tracks the prompt prefixes that an engine has presumably cached.

use std::collections::HashSet;
use std::collections::VecDeque;

use dogwoodpier_upstream::wire::CacheEvents;

// Prefixes tracked for each engine; the oldest are evicted first.
const MAX_PREFIXES: usize = 16_384;

/// Prefixes that one engine has presumably cached.
#[derive(Default)]
pub struct PrefixHints {
    cached: HashSet<u64>,
    // In order of insertion; may contain prefixes that are no longer in `cached`.
    order: VecDeque<u64>,
    after_sequence: u64,
}

impl PrefixHints {
    /// Returns the sequence number after which to request cache events.
    pub fn after_sequence(&self) -> u64 {
        self.after_sequence
    }

    /// Applies cache events published by the engine.
    pub fn apply_events(&mut self, events: &CacheEvents) {
        // A lower sequence number means that the engine has restarted with an empty cache.
        if events.next < self.after_sequence {
            self.cached.clear();
            self.order.clear();
        }
        for event in &events.events {
            if event.stored {
                self.add(event.prefix_hash);
            } else {
                self.cached.remove(&event.prefix_hash);
            }
        }
        self.after_sequence = events.next;
    }

    /// Records a prefix as cached.
    pub fn add(&mut self, prefix_hash: u64) {
        if self.cached.insert(prefix_hash) {
            self.order.push_back(prefix_hash);
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.cached.remove(&oldest);
            }
        }
    }

    /// Returns the number of a prompt's leading prefixes that are presumably cached.
    pub fn count_leading(&self, prefix_hashes: &[u64]) -> usize {
        prefix_hashes
            .iter()
            .take_while(|prefix_hash| self.cached.contains(prefix_hash))
            .count()
    }
}
