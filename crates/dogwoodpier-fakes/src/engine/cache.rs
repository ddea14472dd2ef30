//! Prefix cache with a limited number of pieces, and the events about its content.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use dogwoodpier_upstream::wire::CacheEvent;
use dogwoodpier_upstream::wire::CacheEvents;

use crate::engine::options::EngineOptions;

const MAX_EVENTS: usize = 20_000;

/// Cached pieces by prefix hash, with least-recently-used eviction.
///
/// Events become visible after a delay, and a share of them is lost.
pub struct PrefixCache {
    /// Number of the last use of each piece, by prefix hash.
    last_use: HashMap<u64, u64>,
    /// Prefix hashes by the number of their last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Number of uses so far.
    use_count: u64,
    /// Events with the times at which they become visible.
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
    lag: Duration,
    loss_percent: u32,
    rng: StdRng,
}

impl PrefixCache {
    /// Returns an empty cache.
    pub fn new(options: &EngineOptions) -> Self {
        Self {
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            next_sequence: 0,
            lag: Duration::from_millis(options.cache_lag_ms),
            loss_percent: options.cache_loss_percent,
            rng: StdRng::seed_from_u64(options.seed),
        }
    }

    /// Returns the number of leading pieces of a prompt that are cached, and marks them as used.
    pub fn lookup(&mut self, hashes: &[u64]) -> usize {
        let hits = hashes
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count();
        // In reverse order, so that the leading pieces, which other prompts are most likely to
        // share, are evicted last.
        for hash in hashes[..hits].iter().rev() {
            self.touch(*hash);
        }
        hits
    }

    /// Stores the leading pieces of a prompt and evicts others, down to `capacity_pieces` in all.
    pub fn store(&mut self, hashes: &[u64], capacity_pieces: usize) {
        for hash in hashes.iter().take(capacity_pieces).rev() {
            if !self.touch(*hash) {
                self.publish(*hash, true);
            }
        }
        self.shrink(capacity_pieces);
    }

    /// Evicts the least recently used pieces until at most `capacity_pieces` remain.
    pub fn shrink(&mut self, capacity_pieces: usize) {
        while self.last_use.len() > capacity_pieces {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
            self.publish(hash, false);
        }
    }

    /// Returns the visible events from sequence number `after` on, and the number to ask for next.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(visible_at, event)| event.sequence >= after && *visible_at <= now)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence + 1);
        CacheEvents { events, next }
    }

    /// Marks a piece as the most recently used, and adds it if it is missing. Returns true if it
    /// was cached.
    fn touch(&mut self, hash: u64) -> bool {
        self.use_count += 1;
        let previous_use = self.last_use.insert(hash, self.use_count);
        if let Some(previous_use) = previous_use {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.use_count, hash);
        previous_use.is_some()
    }

    fn publish(&mut self, prefix_hash: u64, stored: bool) {
        let event = CacheEvent {
            sequence: self.next_sequence,
            prefix_hash,
            stored,
        };
        self.next_sequence += 1;
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now() + self.lag, event));
    }
}
