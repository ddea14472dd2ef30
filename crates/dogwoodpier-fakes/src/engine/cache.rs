//! Prefix cache in limited pieces, and its events.

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

/// Cached pieces by prefix hash, least recently used first to go.
pub struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_sequence: u64,
    lag: Duration,
    loss_percent: u32,
    random: StdRng,
}

impl PrefixCache {
    /// Returns an empty cache.
    pub fn new(options: &EngineOptions) -> Self {
        Self {
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            next_sequence: 0,
            lag: Duration::from_millis(options.cache_lag_ms),
            loss_percent: options.cache_loss_percent,
            random: StdRng::seed_from_u64(options.seed),
        }
    }

    /// Returns how many leading pieces of a prompt are cached, and marks them as used.
    pub fn lookup(&mut self, hashes: &[u64]) -> usize {
        let hits = hashes
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count();
        // From the end, so that the pieces that others share stay longest.
        for hash in hashes[..hits].iter().rev() {
            self.touch(*hash);
        }
        hits
    }

    /// Stores the pieces of a prompt in at most `capacity_pieces`.
    pub fn store(&mut self, hashes: &[u64], capacity_pieces: usize) {
        for hash in hashes.iter().take(capacity_pieces).rev() {
            if !self.touch(*hash) {
                self.publish(*hash, true);
            }
        }
        self.shrink(capacity_pieces);
    }

    /// Drops the least recently used pieces over `capacity_pieces`.
    pub fn shrink(&mut self, capacity_pieces: usize) {
        while self.last_use.len() > capacity_pieces {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&hash);
            self.publish(hash, false);
        }
    }

    /// Returns the published events after a sequence number.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let now = Instant::now();
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(visible, event)| event.sequence >= after && *visible <= now)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence + 1);
        CacheEvents { events, next }
    }

    /// Marks a piece as used just now; returns whether it was there.
    fn touch(&mut self, hash: u64) -> bool {
        self.clock += 1;
        let earlier = self.last_use.insert(hash, self.clock);
        if let Some(earlier) = earlier {
            self.by_use.remove(&earlier);
        }
        self.by_use.insert(self.clock, hash);
        earlier.is_some()
    }

    fn publish(&mut self, prefix_hash: u64, stored: bool) {
        let event = CacheEvent {
            sequence: self.next_sequence,
            prefix_hash,
            stored,
        };
        self.next_sequence += 1;
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now() + self.lag, event));
    }
}
