//! Hints of the prompt prefixes that an engine has cached.

use std::collections::HashSet;
use std::collections::VecDeque;

use dogwoodpier_upstream::wire::CacheEvents;

// Prefixes remembered for one engine; the oldest are forgotten.
const MAX_PREFIXES: usize = 16_384;

/// Prefixes that one engine is presumed to have cached.
#[derive(Default)]
pub struct PrefixHints {
    known: HashSet<u64>,
    // In order of arrival; may hold prefixes that were dropped since.
    order: VecDeque<u64>,
    next_event: u64,
}

impl PrefixHints {
    /// Returns the number to ask events after.
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Takes in published events.
    pub fn take_events(&mut self, events: &CacheEvents) {
        // A number that falls back is a new start of the engine, with an empty cache.
        if events.next < self.next_event {
            self.known.clear();
            self.order.clear();
        }
        for event in &events.events {
            if event.stored {
                self.add(event.prefix_hash);
            } else {
                self.known.remove(&event.prefix_hash);
            }
        }
        self.next_event = events.next;
    }

    /// Adds a prefix.
    pub fn add(&mut self, prefix_hash: u64) {
        if self.known.insert(prefix_hash) {
            self.order.push_back(prefix_hash);
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Returns how many of a prompt's leading prefixes are presumed cached.
    pub fn leading(&self, prefix_hashes: &[u64]) -> usize {
        prefix_hashes
            .iter()
            .take_while(|prefix_hash| self.known.contains(prefix_hash))
            .count()
    }
}
