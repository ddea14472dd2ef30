//! Samples of the speed of engines that an instance sends to the broker of their service.
//!
//! Load pattern: hundreds of instances each see a response a second. The broker's budget for messages
//! is the same in any fleet, so each instance merges what it sees of an engine until it may send
//! again.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::speed::LoadSample;
use super::speed::ObservedSpeed;
use super::speed::StatedLoad;

// Messages with samples that a broker receives a second from all instances together. With eight
// samples in each they take 8 KB/s, half of what an instance may use for control traffic.
const MESSAGES_PER_S: u64 = 20;
const MS_PER_S: u64 = 1_000;
/// Most samples in a message.
pub const MAX_SAMPLES: usize = 8;

/// What an instance has seen of the speed of an engine since its last message to the broker.
#[wire]
pub struct SpeedSample {
    /// The engine.
    pub upstream: Arc<str>,
    /// The load that it stated last.
    pub stated: Option<StatedLoad>,
    /// Time since it stated that load.
    pub age_ms: u64,
    /// How long its work took.
    pub observed: Option<ObservedSpeed>,
}

/// What an instance sees of an engine, or has seen since its last message.
#[plain]
#[derive(Copy, Default)]
pub struct SeenSpeed {
    /// The load that it stated last.
    pub stated: Option<LoadSample>,
    /// How long its work took.
    pub observed: Option<ObservedSpeed>,
}

impl SeenSpeed {
    fn merge(&mut self, later: Self) {
        self.stated = later.stated.or(self.stated);
        self.observed = match (self.observed, later.observed) {
            (Some(earlier), Some(later)) => Some(earlier.merge(later)),
            (earlier, later) => later.or(earlier),
        };
    }
}

/// Samples of the engines of one service that have not been sent yet.
#[derive(Debug, Default)]
pub struct SampleOutbox {
    seen: BTreeMap<Arc<str>, SeenSpeed>,
    next_send_ms: TimeMs,
    last_sent: Option<Arc<str>>,
}

impl SampleOutbox {
    /// Adds what was seen of an engine.
    pub fn add(&mut self, upstream: &Arc<str>, seen: SeenSpeed) {
        self.seen.entry(upstream.clone()).or_default().merge(seen);
    }

    /// Removes what was seen of an engine.
    pub fn forget(&mut self, upstream: &str) {
        self.seen.remove(upstream);
    }

    /// Takes the samples of a message, none if this instance, one of `members`, may not send one
    /// yet. The engines take turns if there are too many for one message.
    pub fn take(&mut self, members: u32, now: TimeMs) -> Vec<SpeedSample> {
        if now < self.next_send_ms || self.seen.is_empty() {
            return Vec::new();
        }
        self.next_send_ms = now.after(u64::from(members) * MS_PER_S / MESSAGES_PER_S);
        let start = match &self.last_sent {
            Some(last) => Bound::Excluded(last.clone()),
            None => Bound::Unbounded,
        };
        let after = self.seen.range((start, Bound::Unbounded));
        let in_turn = after.chain(self.seen.iter()).map(|(id, _)| id.clone());
        let count = MAX_SAMPLES.min(self.seen.len());
        let taken: Vec<Arc<str>> = in_turn.take(count).collect();
        self.last_sent = taken.last().cloned();
        let samples = taken.into_iter().filter_map(|upstream| {
            let SeenSpeed { stated, observed } = self.seen.remove(&upstream)?;
            Some(SpeedSample {
                upstream,
                stated: stated.map(|sample| sample.load),
                age_ms: stated.map_or(0, |sample| now.since(sample.received_ms)),
                observed,
            })
        });
        samples.collect()
    }
}
