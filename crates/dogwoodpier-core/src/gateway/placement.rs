//! The choice of an upstream.
//!
//! Load pattern: upstreams of one service differ in speed, some fail part of their requests while
//! they look healthy, and some reject because they are full. The choice weighs the requests that
//! all instances have at an upstream with how it answered lately. A bad record fades, so that an
//! upstream that recovered is tried again.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::peer_reports::UpstreamLoad;
use super::upstreams::Upstream;

// Weight of a new observation in an average.
const SMOOTHING: f64 = 0.2;
// Time in which half of a bad record is forgotten. A few heartbeats of an upstream.
const FORGET_HALF_LIFE_MS: f64 = 2_000.0;
// Success share below which an upstream isn't trusted less: it must still be tried at times.
const MIN_SUCCESS: f64 = 0.05;
// First and longest time for which an upstream that can't be reached is avoided.
const AVOID_FIRST_MS: u64 = 300;
const AVOID_MAX_MS: u64 = 3_000;
// Time for which an upstream that rejected a request as full gets no further one, unless one of its
// requests ends: about a tenth of a long answer.
const FULL_MS: u64 = 400;
// Part of a failure that a rejection counts for: a full upstream is no bad one, but one that keeps
// rejecting is.
const FULL_WEIGHT: f64 = 0.5;
// Memory that an engine is believed to have after it rejected a request, in parts of what it would have
// held with it, and the least part of its capacity.
const ROOM_AFTER_REJECTION: f64 = 0.95;
const MIN_ROOM: f64 = 0.25;
// Time in which an engine is believed to have its whole memory again: a few long answers.
const ROOM_RECOVERY_MS: f64 = 6_000.0;
// Time for which the entry of an upstream that was replaced may stay in the store.
const REPLACED_MS: u64 = 10_000;
// Time after which peers are likely to know an upstream that has just been registered.
const UNKNOWN_MS: u64 = 500;
// Longest time for which an upstream is left alone because it asked for it: operators bound waits to
// about this, and its load has changed by then.
const MAX_PAUSE_MS: u64 = 30_000;
// Time after a success of its own in which an instance doesn't believe that an upstream is down.
const DOUBT_MS: u64 = 1_000;
// Cost of an upstream in another data centre over one in the same, in parts of a free upstream.
const REMOTE_COST: f64 = 0.15;

/// How a send to an upstream ended.
#[plain]
#[derive(Copy, Eq)]
pub enum Outcome {
    /// It answered; the time is that of the whole answer or of the first event.
    Answered {
        /// Time from the send.
        elapsed_ms: u64,
    },
    /// It answered with a failure of its own, or not properly.
    Failed,
    /// It can't be reached or went silent.
    Unreachable,
    /// It rejected the request without running it.
    Full,
    /// Another incarnation has its address.
    Replaced,
    /// A peer that was to send to it doesn't know it yet.
    Unknown,
}

#[derive(Debug)]
struct Record {
    // Moving average of the time of an answer; 0 before the first one.
    elapsed_ms: f64,
    success: f64,
    updated_ms: TimeMs,
    // This instance can't reach it, or it was replaced.
    down_deadline_ms: TimeMs,
    // It rejected a request.
    full_deadline_ms: TimeMs,
    // Peers can't reach it.
    peers_down_deadline_ms: TimeMs,
    // It asked this instance for nothing more.
    paused_deadline_ms: TimeMs,
    succeeded_ms: Option<TimeMs>,
    failures_in_a_row: u32,
    room: Option<Room>,
}

// Memory that an engine turned out to have.
#[derive(Debug)]
struct Room {
    kv_tokens: u64,
    learned_ms: TimeMs,
}

impl Record {
    fn new(now: TimeMs) -> Self {
        Self {
            elapsed_ms: 0.0,
            success: 1.0,
            updated_ms: now,
            down_deadline_ms: TimeMs::default(),
            full_deadline_ms: TimeMs::default(),
            peers_down_deadline_ms: TimeMs::default(),
            paused_deadline_ms: TimeMs::default(),
            succeeded_ms: None,
            failures_in_a_row: 0,
            room: None,
        }
    }

    fn is_avoided(&self, now: TimeMs) -> bool {
        self.down_deadline_ms
            .max(self.full_deadline_ms)
            .max(self.peers_down_deadline_ms)
            > now
    }
}

/// How upstreams answered lately, by id.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    records: BTreeMap<Arc<str>, Record>,
}

impl UpstreamHealth {
    /// Notes how a send ended.
    pub fn record_outcome(&mut self, upstream: &Arc<str>, outcome: Outcome, now: TimeMs) {
        let record = self.record(upstream, now);
        record.success = faded(record, now);
        record.updated_ms = now;
        match outcome {
            Outcome::Answered { elapsed_ms } => {
                let elapsed_ms = elapsed_ms as f64;
                if record.elapsed_ms == 0.0 {
                    record.elapsed_ms = elapsed_ms;
                }
                record.elapsed_ms += SMOOTHING * (elapsed_ms - record.elapsed_ms);
                record.success += SMOOTHING * (1.0 - record.success);
                record.failures_in_a_row = 0;
                record.succeeded_ms = Some(now);
                record.down_deadline_ms = TimeMs::default();
                record.peers_down_deadline_ms = TimeMs::default();
            }
            Outcome::Failed => record.success -= SMOOTHING * record.success,
            Outcome::Unreachable => {
                record.success -= SMOOTHING * record.success;
                let down_ms = (AVOID_FIRST_MS << record.failures_in_a_row.min(8)).min(AVOID_MAX_MS);
                record.failures_in_a_row += 1;
                record.down_deadline_ms = now.after(down_ms);
            }
            Outcome::Full => {
                record.success -= FULL_WEIGHT * SMOOTHING * record.success;
                record.full_deadline_ms = now.after(FULL_MS);
            }
            Outcome::Replaced => record.down_deadline_ms = now.after(REPLACED_MS),
            Outcome::Unknown => {
                let deadline_ms = now.after(UNKNOWN_MS);
                record.peers_down_deadline_ms = record.peers_down_deadline_ms.max(deadline_ms);
            }
        }
    }

    /// Notes that an engine rejected a request with which it would have held `kv_tokens`: something that
    /// isn't counted here takes the rest of its memory. Another request has to need less.
    pub fn record_out_of_memory(&mut self, upstream: &Arc<str>, kv_tokens: u64, now: TimeMs) {
        let kv_tokens = (kv_tokens as f64 * ROOM_AFTER_REJECTION) as u64;
        self.record(upstream, now).room = Some(Room {
            kv_tokens,
            learned_ms: now,
        });
    }

    /// Returns the memory of an engine that can be counted on, of a capacity of `kv_tokens`.
    pub fn available_kv_tokens(&self, upstream: &str, kv_tokens: u64, now: TimeMs) -> u64 {
        let room = self
            .records
            .get(upstream)
            .and_then(|record| record.room.as_ref());
        let Some(room) = room else {
            return kv_tokens;
        };
        let whole = kv_tokens as f64;
        let learned = (room.kv_tokens as f64).clamp(whole * MIN_ROOM, whole);
        // Slowly at first: what took the memory is likely still there.
        let elapsed = (now.since(room.learned_ms) as f64 / ROOM_RECOVERY_MS).min(1.0);
        let recovered = elapsed * elapsed;
        (learned + (whole - learned) * recovered) as u64
    }

    /// Notes that a request of an upstream has ended, so that one that was full has room again.
    pub fn record_freed(&mut self, upstream: &str) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.full_deadline_ms = TimeMs::default();
        }
    }

    /// Notes that a peer can't reach an upstream for the next `for_ms`.
    pub fn record_peer_unreachable(&mut self, upstream: &Arc<str>, for_ms: u64, now: TimeMs) {
        let record = self.record(upstream, now);
        let doubted = record
            .succeeded_ms
            .is_some_and(|succeeded_ms| now.since(succeeded_ms) < DOUBT_MS);
        if !doubted {
            let deadline_ms = now.after(for_ms.min(REPLACED_MS));
            record.peers_down_deadline_ms = record.peers_down_deadline_ms.max(deadline_ms);
        }
    }

    /// Notes that an upstream rejected a request and wants nothing from this instance for `for_ms`.
    pub fn record_backoff(&mut self, upstream: &Arc<str>, for_ms: u64, now: TimeMs) {
        let deadline_ms = now.after(for_ms.min(MAX_PAUSE_MS));
        let record = self.record(upstream, now);
        record.paused_deadline_ms = record.paused_deadline_ms.max(deadline_ms);
    }

    /// Returns for how long an upstream wants nothing from this instance, 0 if it takes requests.
    pub fn backoff_ms(&self, upstream: &str, now: TimeMs) -> u64 {
        let record = self.records.get(upstream);
        record.map_or(0, |record| record.paused_deadline_ms.remaining(now))
    }

    /// Returns the upstreams that want nothing from this instance, and until when.
    pub fn backoffs(&self, now: TimeMs) -> BTreeMap<Arc<str>, TimeMs> {
        let records = self.records.iter();
        let paused = records.filter(|(_, record)| record.paused_deadline_ms > now);
        paused
            .map(|(id, record)| (id.clone(), record.paused_deadline_ms))
            .collect()
    }

    /// Returns whether an upstream has answered after a time.
    pub fn has_answered_since(&self, upstream: &str, since_ms: TimeMs) -> bool {
        self.records
            .get(upstream)
            .and_then(|record| record.succeeded_ms)
            .is_some_and(|succeeded_ms| succeeded_ms > since_ms)
    }

    /// Returns whether a peer told that it can't reach an upstream.
    pub fn is_unreachable_from_peers(&self, upstream: &str, now: TimeMs) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.peers_down_deadline_ms > now)
    }

    /// Returns the upstreams that this instance itself can't reach, and for how long it avoids them.
    pub fn unreachable(&self, now: TimeMs) -> BTreeMap<Arc<str>, u64> {
        self.records
            .iter()
            .filter(|(_, record)| record.down_deadline_ms > now)
            .map(|(id, record)| (id.clone(), record.down_deadline_ms.remaining(now)))
            .collect()
    }

    fn record(&mut self, upstream: &Arc<str>, now: TimeMs) -> &mut Record {
        self.records
            .entry(upstream.clone())
            .or_insert_with(|| Record::new(now))
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.records.remove(upstream);
    }

    /// Returns whether an upstream is to be avoided for now.
    pub fn is_avoided(&self, upstream: &str, now: TimeMs) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.is_avoided(now))
    }

    /// Returns the share of sends that succeeded lately.
    pub fn success_rate(&self, upstream: &str, now: TimeMs) -> f64 {
        self.records
            .get(upstream)
            .map_or(1.0, |record| faded(record, now))
            .max(MIN_SUCCESS)
    }

    // Average time of an answer, or that of the service's other upstreams if there was none yet.
    fn elapsed_ms(&self, upstream: &str, of_service: f64) -> f64 {
        match self.records.get(upstream) {
            Some(record) if record.elapsed_ms > 0.0 => record.elapsed_ms,
            _ => of_service,
        }
    }
}

// Picks two different places out of `count` by a random number, the same one twice if there is only
// one.
fn pick_two(count: usize, draw: u64) -> Option<(usize, usize)> {
    let count = u64::try_from(count).ok()?;
    let first = draw.checked_rem(count)?;
    let offset = match count {
        1 => 0,
        _ => 1 + (draw / count) % (count - 1),
    };
    let second = (first + offset) % count;
    Some((first as usize, second as usize))
}

fn faded(record: &Record, now: TimeMs) -> f64 {
    let halvings = now.since(record.updated_ms) as f64 / FORGET_HALF_LIFE_MS;
    1.0 - (1.0 - record.success) * 0.5_f64.powf(halvings)
}

/// An upstream that may be chosen, with what all instances have there.
#[plain]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Requests of all instances there.
    pub load: UpstreamLoad,
}

// Part of the slots and of the memory up to which engines count as lightly used. A stream keeps its
// slot for seconds, so a burst that has just begun would find no room above it.
const LIGHT_USE_OF_ENGINES: f64 = 0.6;
// The same for plain services: their slots are free again after milliseconds.
const LIGHT_USE_OF_SERVICES: f64 = 1.0;

/// Returns whether upstreams that take `capacity_kv_tokens` each, if they are engines, are lightly
/// used altogether.
pub fn is_lightly_used(candidates: &[Candidate], capacity_kv_tokens: Option<u64>) -> bool {
    let mut used = UpstreamLoad::default();
    let mut slots = 0;
    for candidate in candidates {
        used.add(candidate.load);
        slots += candidate.upstream.slots;
    }
    let Some(capacity) = capacity_kv_tokens else {
        return f64::from(used.requests) < f64::from(slots) * LIGHT_USE_OF_SERVICES;
    };
    let memory = (capacity * candidates.len() as u64) as f64;
    f64::from(used.requests) < f64::from(slots) * LIGHT_USE_OF_ENGINES
        && (used.kv_tokens as f64) < memory * LIGHT_USE_OF_ENGINES
}

/// Who asks, and where it is.
pub struct Selector<'a> {
    /// Data centre of this instance.
    pub data_centre: &'a str,
    /// How upstreams answered.
    pub health: &'a UpstreamHealth,
    /// Time.
    pub now: TimeMs,
}

impl Selector<'_> {
    /// Returns an upstream of a plain service: of two that `draw`, a uniform random number, picks, the
    /// one with the lower expected time of an answer. Instances whose news of each other is old would
    /// all choose the best one.
    pub fn select_plain(&self, candidates: &[Candidate], draw: u64) -> Option<usize> {
        let free: Vec<usize> = (0..candidates.len())
            .filter(|place| {
                let upstream = &candidates[*place].upstream;
                !self.health.is_avoided(&upstream.id, self.now)
            })
            .collect();
        let (first, second) = pick_two(free.len(), draw)?;
        let drawn = [
            candidates[free[first]].clone(),
            candidates[free[second]].clone(),
        ];
        self.best_plain(&drawn)
            .map(|place| free[[first, second][place]])
    }

    /// Returns the best upstream of a plain service even if it is to be avoided.
    pub fn select_any(&self, candidates: &[Candidate]) -> Option<usize> {
        self.best_plain(candidates)
    }

    fn best_plain(&self, candidates: &[Candidate]) -> Option<usize> {
        let known: Vec<f64> = candidates
            .iter()
            .filter_map(|candidate| self.health.records.get(&candidate.upstream.id))
            .map(|record| record.elapsed_ms)
            .filter(|elapsed_ms| *elapsed_ms > 0.0)
            .collect();
        let of_service = if known.is_empty() {
            1.0
        } else {
            known.iter().sum::<f64>() / known.len() as f64
        };
        self.least(candidates, |candidate| {
            let upstream = &candidate.upstream;
            let slots = f64::from(upstream.slots.max(1));
            // Up to its slots an upstream works at full speed; beyond, requests wait in turn.
            let turns = (f64::from(candidate.load.requests) + 1.0) / slots;
            let load = 0.5 + turns.max(turns * turns);
            load * self.health.elapsed_ms(&upstream.id, of_service)
        })
    }

    /// Returns the engine to decode on: one with a free slot and room for `kv_tokens`, the least
    /// loaded.
    pub fn select_decode(
        &self,
        candidates: &[Candidate],
        kv_tokens: u64,
        capacity_kv_tokens: u64,
    ) -> Option<usize> {
        let usable: Vec<bool> = candidates
            .iter()
            .map(|candidate| {
                let used = candidate.load;
                let id = &candidate.upstream.id;
                let room = self
                    .health
                    .available_kv_tokens(id, capacity_kv_tokens, self.now);
                used.requests < candidate.upstream.slots
                    && (used.requests == 0 || used.kv_tokens + kv_tokens <= room)
            })
            .collect();
        self.least_where(candidates, &usable, |candidate| {
            1.0 + f64::from(candidate.load.requests) / f64::from(candidate.upstream.slots.max(1))
        })
    }

    /// Returns the engine to prefill on: the one with the fewest tokens to read before.
    pub fn select_prefill(&self, candidates: &[Candidate], prompt_tokens: u64) -> Option<usize> {
        self.least(candidates, |candidate| {
            (candidate.load.prefill_tokens + prompt_tokens.max(1)) as f64
        })
    }

    fn least<C>(&self, candidates: &[Candidate], cost: C) -> Option<usize>
    where
        C: Fn(&Candidate) -> f64,
    {
        self.least_where(candidates, &vec![true; candidates.len()], cost)
    }

    // Avoided upstreams are taken only if there is no other.
    fn least_where<C>(&self, candidates: &[Candidate], usable: &[bool], cost: C) -> Option<usize>
    where
        C: Fn(&Candidate) -> f64,
    {
        let weighed = candidates
            .iter()
            .enumerate()
            .filter(|(place, _)| usable[*place])
            .map(|(place, candidate)| {
                let upstream = &candidate.upstream;
                let remote = *upstream.data_centre != *self.data_centre;
                let distance = if remote { 1.0 + REMOTE_COST } else { 1.0 };
                let success = self.health.success_rate(&upstream.id, self.now);
                let avoided = self.health.is_avoided(&upstream.id, self.now);
                let cost = cost(candidate) * distance / (success * success);
                (avoided, cost, place)
            });
        weighed
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, place)| place)
    }
}
