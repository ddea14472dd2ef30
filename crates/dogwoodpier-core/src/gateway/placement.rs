//! Selection of upstreams.
//!
//! Load pattern: upstreams of one service differ in speed, some fail part of their requests while
//! they look healthy, and some reject requests because they are full. The selection combines the
//! load of all instances on an upstream with the outcomes of recent requests. The effect of
//! failures decays, so that an upstream that has recovered is tried again.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::cost_placement::plain_load_factor;
use super::peer_reports::UpstreamLoad;
use super::upstreams::Upstream;

// Weight of a new observation in an average.
const SMOOTHING: f64 = 0.2;
// Time in which the effect of failures on the success rate halves: a few heartbeats of an upstream.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
// Lower bound of the success rate, so that a failing upstream is still tried occasionally.
const MIN_SUCCESS_RATE: f64 = 0.05;
// Initial and longest time for which an upstream that cannot be reached is avoided.
const INITIAL_UNREACHABLE_AVOIDANCE_MS: u64 = 300;
const MAX_UNREACHABLE_AVOIDANCE_MS: u64 = 3_000;
// Time for which an upstream that rejected a request as full is avoided, unless one of its requests
// ends before: about a tenth of the duration of a long answer.
const FULL_AVOIDANCE_MS: u64 = 400;
// Weight of a rejection relative to a failure: being full once is no fault, but an upstream that
// keeps rejecting requests has to be avoided.
const FULL_FAILURE_WEIGHT: f64 = 0.5;
// Estimated memory of an engine that rejected a request, relative to what it would have held with
// that request, and lower bound of the estimate, relative to the engine's capacity.
const MEMORY_AFTER_REJECTION_FRACTION: f64 = 0.95;
const MIN_MEMORY_FRACTION: f64 = 0.25;
// Time after a rejection until an engine is assumed to have its whole memory again: the duration of
// a few long answers.
const MEMORY_RECOVERY_MS: f64 = 6_000.0;
// Time for which a replaced upstream is avoided, as its entry may stay in the store for this long.
// Also the longest time for which a peer's report that an upstream is unreachable counts.
const REPLACED_AVOIDANCE_MS: u64 = 10_000;
// Time for which an upstream that a peer does not know yet is avoided. By then the peers are likely
// to know an upstream that has just been registered.
const UNKNOWN_AVOIDANCE_MS: u64 = 500;
// Longest backoff that an upstream can ask for: operators limit waiting times to about this, and
// the upstream's load has changed by then.
const MAX_BACKOFF_MS: u64 = 30_000;
// Time after a success during which an instance ignores reports of peers that the upstream is
// unreachable.
const RECENT_SUCCESS_MS: u64 = 1_000;
// Additional cost of an upstream in another data centre, relative to its cost in the same one.
pub(super) const REMOTE_SURCHARGE_FRACTION: f64 = 0.15;

/// Outcome of a request that was sent to an upstream.
#[plain]
#[derive(Copy, Eq)]
pub enum Outcome {
    /// It answered.
    Answered {
        /// Time from sending the request to the whole answer, or to the first event of a stream.
        elapsed_ms: u64,
    },
    /// It reported a failure of its own, or its answer was invalid or incomplete.
    Failed,
    /// It could not be reached or did not answer in time.
    Unreachable,
    /// It rejected the request without running it.
    Full,
    /// Another incarnation now uses its address.
    Replaced,
    /// A peer that should have sent the request does not know the upstream yet.
    Unknown,
}

#[derive(Debug)]
struct HealthRecord {
    // Moving average of the time to an answer; 0 before the first one.
    latency_ms: f64,
    success_rate: f64,
    updated_ms: TimeMs,
    // Set when this instance cannot reach the upstream or it was replaced.
    unreachable_deadline_ms: TimeMs,
    // Set when it rejected a request as full.
    full_deadline_ms: TimeMs,
    // Set when peers cannot reach it or do not know it yet.
    peers_unreachable_deadline_ms: TimeMs,
    // Set when it asked this instance to send no more requests for a time.
    backoff_deadline_ms: TimeMs,
    succeeded_ms: Option<TimeMs>,
    unreachable_since_success: u32,
    memory: Option<MemoryEstimate>,
}

// Memory that an engine is assumed to have after a rejection.
#[derive(Debug)]
struct MemoryEstimate {
    kv_tokens: u64,
    estimated_ms: TimeMs,
}

impl HealthRecord {
    fn new(now: TimeMs) -> Self {
        Self {
            latency_ms: 0.0,
            success_rate: 1.0,
            updated_ms: now,
            unreachable_deadline_ms: TimeMs::default(),
            full_deadline_ms: TimeMs::default(),
            peers_unreachable_deadline_ms: TimeMs::default(),
            backoff_deadline_ms: TimeMs::default(),
            succeeded_ms: None,
            unreachable_since_success: 0,
            memory: None,
        }
    }

    fn is_avoided(&self, now: TimeMs) -> bool {
        self.unreachable_deadline_ms
            .max(self.full_deadline_ms)
            .max(self.peers_unreachable_deadline_ms)
            > now
    }
}

/// Recent outcomes of requests to upstreams, by the id of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    records: BTreeMap<Arc<str>, HealthRecord>,
}

impl UpstreamHealth {
    /// Records the outcome of a request to an upstream.
    pub fn record_outcome(&mut self, upstream: &Arc<str>, outcome: Outcome, now: TimeMs) {
        let record = self.record(upstream, now);
        record.success_rate = decayed_success_rate(record, now);
        record.updated_ms = now;
        match outcome {
            Outcome::Answered { elapsed_ms } => {
                let elapsed_ms = elapsed_ms as f64;
                if record.latency_ms == 0.0 {
                    record.latency_ms = elapsed_ms;
                }
                record.latency_ms += SMOOTHING * (elapsed_ms - record.latency_ms);
                record.success_rate += SMOOTHING * (1.0 - record.success_rate);
                record.unreachable_since_success = 0;
                record.succeeded_ms = Some(now);
                record.unreachable_deadline_ms = TimeMs::default();
                record.peers_unreachable_deadline_ms = TimeMs::default();
            }
            Outcome::Failed => record.success_rate -= SMOOTHING * record.success_rate,
            Outcome::Unreachable => {
                record.success_rate -= SMOOTHING * record.success_rate;
                let avoidance_ms = (INITIAL_UNREACHABLE_AVOIDANCE_MS
                    << record.unreachable_since_success.min(8))
                .min(MAX_UNREACHABLE_AVOIDANCE_MS);
                record.unreachable_since_success += 1;
                record.unreachable_deadline_ms = now.after(avoidance_ms);
            }
            Outcome::Full => {
                record.success_rate -= FULL_FAILURE_WEIGHT * SMOOTHING * record.success_rate;
                record.full_deadline_ms = now.after(FULL_AVOIDANCE_MS);
            }
            Outcome::Replaced => record.unreachable_deadline_ms = now.after(REPLACED_AVOIDANCE_MS),
            Outcome::Unknown => {
                let deadline_ms = now.after(UNKNOWN_AVOIDANCE_MS);
                record.peers_unreachable_deadline_ms =
                    record.peers_unreachable_deadline_ms.max(deadline_ms);
            }
        }
    }

    /// Records that an engine rejected a request with which it would have held `kv_tokens`. The
    /// rest of its memory is in use by something that is not counted here, so the next request has
    /// to fit into less.
    pub fn record_out_of_memory(&mut self, upstream: &Arc<str>, kv_tokens: u64, now: TimeMs) {
        let kv_tokens = (kv_tokens as f64 * MEMORY_AFTER_REJECTION_FRACTION) as u64;
        self.record(upstream, now).memory = Some(MemoryEstimate {
            kv_tokens,
            estimated_ms: now,
        });
    }

    /// Returns the estimated memory of an engine whose capacity is `kv_tokens`.
    pub fn available_kv_tokens(&self, upstream: &str, kv_tokens: u64, now: TimeMs) -> u64 {
        let memory = self
            .records
            .get(upstream)
            .and_then(|record| record.memory.as_ref());
        let Some(memory) = memory else {
            return kv_tokens;
        };
        let capacity = kv_tokens as f64;
        let estimate = (memory.kv_tokens as f64).clamp(capacity * MIN_MEMORY_FRACTION, capacity);
        // Quadratic, so slow at first: what took up the memory is likely still there.
        let elapsed_fraction =
            (now.since(memory.estimated_ms) as f64 / MEMORY_RECOVERY_MS).min(1.0);
        let recovered_fraction = elapsed_fraction * elapsed_fraction;
        (estimate + (capacity - estimate) * recovered_fraction) as u64
    }

    /// Records that a request on an upstream has ended, so that it is no longer avoided as full.
    pub fn record_freed(&mut self, upstream: &str) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.full_deadline_ms = TimeMs::default();
        }
    }

    /// Records that a peer cannot reach an upstream and avoids it for the next `for_ms`. Ignored if
    /// this instance has recently had an answer from the upstream.
    pub fn record_peer_unreachable(&mut self, upstream: &Arc<str>, for_ms: u64, now: TimeMs) {
        let record = self.record(upstream, now);
        let has_recent_success = record
            .succeeded_ms
            .is_some_and(|succeeded_ms| now.since(succeeded_ms) < RECENT_SUCCESS_MS);
        if !has_recent_success {
            let deadline_ms = now.after(for_ms.min(REPLACED_AVOIDANCE_MS));
            record.peers_unreachable_deadline_ms =
                record.peers_unreachable_deadline_ms.max(deadline_ms);
        }
    }

    /// Records that an upstream rejected a request and asked this instance to back off for
    /// `for_ms`.
    pub fn record_backoff(&mut self, upstream: &Arc<str>, for_ms: u64, now: TimeMs) {
        let deadline_ms = now.after(for_ms.min(MAX_BACKOFF_MS));
        let record = self.record(upstream, now);
        record.backoff_deadline_ms = record.backoff_deadline_ms.max(deadline_ms);
    }

    /// Returns for how long this instance has to back off from an upstream, 0 if not at all.
    pub fn backoff_ms(&self, upstream: &str, now: TimeMs) -> u64 {
        let record = self.records.get(upstream);
        record.map_or(0, |record| record.backoff_deadline_ms.remaining(now))
    }

    /// Returns the upstreams from which this instance has to back off, and until when.
    pub fn backoffs(&self, now: TimeMs) -> BTreeMap<Arc<str>, TimeMs> {
        let records = self.records.iter();
        let backing_off = records.filter(|(_, record)| record.backoff_deadline_ms > now);
        backing_off
            .map(|(id, record)| (id.clone(), record.backoff_deadline_ms))
            .collect()
    }

    /// Returns whether an upstream has answered this instance after `since_ms`.
    pub fn has_answered_since(&self, upstream: &str, since_ms: TimeMs) -> bool {
        self.records
            .get(upstream)
            .and_then(|record| record.succeeded_ms)
            .is_some_and(|succeeded_ms| succeeded_ms > since_ms)
    }

    /// Returns whether an upstream is avoided because peers cannot reach it or do not know it yet.
    pub fn is_unreachable_from_peers(&self, upstream: &str, now: TimeMs) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.peers_unreachable_deadline_ms > now)
    }

    /// Forgets which upstreams this instance could not reach, as the cause was its own links.
    pub fn forget_unreachable(&mut self) {
        for record in self.records.values_mut() {
            record.unreachable_deadline_ms = TimeMs::default();
            record.unreachable_since_success = 0;
        }
    }

    /// Returns the upstreams that this instance itself cannot reach or that were replaced, with the
    /// remaining time for which it avoids them.
    pub fn unreachable(&self, now: TimeMs) -> BTreeMap<Arc<str>, u64> {
        self.records
            .iter()
            .filter(|(_, record)| record.unreachable_deadline_ms > now)
            .map(|(id, record)| (id.clone(), record.unreachable_deadline_ms.remaining(now)))
            .collect()
    }

    fn record(&mut self, upstream: &Arc<str>, now: TimeMs) -> &mut HealthRecord {
        self.records
            .entry(upstream.clone())
            .or_insert_with(|| HealthRecord::new(now))
    }

    /// Removes the record of an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.records.remove(upstream);
    }

    /// Returns whether an upstream is currently avoided.
    pub fn is_avoided(&self, upstream: &str, now: TimeMs) -> bool {
        self.records
            .get(upstream)
            .is_some_and(|record| record.is_avoided(now))
    }

    /// Returns the recent success rate of requests to an upstream.
    pub fn success_rate(&self, upstream: &str, now: TimeMs) -> f64 {
        self.records
            .get(upstream)
            .map_or(1.0, |record| decayed_success_rate(record, now))
            .max(MIN_SUCCESS_RATE)
    }

    /// Returns the mean over the candidates of the average time to an answer, 1 before the first.
    pub(super) fn mean_latency_ms(&self, candidates: &[Candidate]) -> f64 {
        let latencies_ms: Vec<f64> = candidates
            .iter()
            .filter_map(|candidate| self.records.get(&candidate.upstream.id))
            .map(|record| record.latency_ms)
            .filter(|latency_ms| *latency_ms > 0.0)
            .collect();
        if latencies_ms.is_empty() {
            return 1.0;
        }
        latencies_ms.iter().sum::<f64>() / latencies_ms.len() as f64
    }

    /// Returns the average time to an answer, or `default_ms` before the first answer.
    pub fn latency_ms(&self, upstream: &str, default_ms: f64) -> f64 {
        match self.records.get(upstream) {
            Some(record) if record.latency_ms > 0.0 => record.latency_ms,
            _ => default_ms,
        }
    }
}

// Picks two different indices below `count` by a random number, the same one twice if there is only
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

fn decayed_success_rate(record: &HealthRecord, now: TimeMs) -> f64 {
    let half_lives = now.since(record.updated_ms) as f64 / FAILURE_HALF_LIFE_MS;
    1.0 - (1.0 - record.success_rate) * 0.5_f64.powf(half_lives)
}

/// An upstream that may be selected, with the load of all instances on it.
#[plain]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Load of all instances on the upstream.
    pub load: UpstreamLoad,
}

// Use of the slots and of the memory below which engines count as lightly used, relative to the
// total. A stream keeps its slot for seconds, so above this a burst that has just begun would find
// too few free slots.
const LIGHT_ENGINE_USE_FRACTION: f64 = 0.6;
// The same for plain services, whose slots are free again after milliseconds.
const LIGHT_SERVICE_USE_FRACTION: f64 = 1.0;

/// Returns whether the candidates together are lightly used. `capacity_kv_tokens` is the memory of
/// each of them, if they are engines.
pub fn is_lightly_used(candidates: &[Candidate], capacity_kv_tokens: Option<u64>) -> bool {
    let mut used = UpstreamLoad::default();
    let mut slots = 0;
    for candidate in candidates {
        used.add(candidate.load);
        slots += candidate.upstream.slots;
    }
    let Some(capacity) = capacity_kv_tokens else {
        return f64::from(used.requests) < f64::from(slots) * LIGHT_SERVICE_USE_FRACTION;
    };
    let memory = (capacity * candidates.len() as u64) as f64;
    f64::from(used.requests) < f64::from(slots) * LIGHT_ENGINE_USE_FRACTION
        && (used.kv_tokens as f64) < memory * LIGHT_ENGINE_USE_FRACTION
}

/// Selects upstreams for an instance.
pub struct Selector<'a> {
    /// Data centre of this instance.
    pub data_centre: &'a str,
    /// Recent outcomes of requests to the upstreams.
    pub health: &'a UpstreamHealth,
    /// Current time.
    pub now: TimeMs,
}

impl Selector<'_> {
    /// Returns an upstream of a plain service that is not avoided: of two that `draw`, a uniform
    /// random number, picks, the one with the lower expected time to an answer. If they compared
    /// all upstreams, instances whose reports of each other are old would all select the same one.
    pub fn select_plain(&self, candidates: &[Candidate], draw: u64) -> Option<usize> {
        let eligible: Vec<usize> = (0..candidates.len())
            .filter(|index| {
                let upstream = &candidates[*index].upstream;
                !self.health.is_avoided(&upstream.id, self.now)
            })
            .collect();
        let (first, second) = pick_two(eligible.len(), draw)?;
        let drawn = [
            candidates[eligible[first]].clone(),
            candidates[eligible[second]].clone(),
        ];
        self.best_plain(&drawn)
            .map(|index| eligible[[first, second][index]])
    }

    /// Returns the upstream of a plain service with the lowest cost. One that is avoided is
    /// returned only if all are.
    pub fn select_any(&self, candidates: &[Candidate]) -> Option<usize> {
        self.best_plain(candidates)
    }

    fn best_plain(&self, candidates: &[Candidate]) -> Option<usize> {
        let default_ms = self.health.mean_latency_ms(candidates);
        self.cheapest(candidates, |candidate| {
            let upstream = &candidate.upstream;
            let load = plain_load_factor(f64::from(candidate.load.requests), upstream.slots);
            load * self.health.latency_ms(&upstream.id, default_ms)
        })
    }

    /// Returns the engine to decode on: the least loaded one with a free slot and memory for
    /// `kv_tokens`. An idle engine is eligible whatever its memory.
    pub fn select_decode(
        &self,
        candidates: &[Candidate],
        kv_tokens: u64,
        capacity_kv_tokens: u64,
    ) -> Option<usize> {
        let usable: Vec<bool> = candidates
            .iter()
            .map(|candidate| self.may_decode(candidate, kv_tokens, capacity_kv_tokens))
            .collect();
        self.cheapest_where(candidates, &usable, |candidate| {
            1.0 + f64::from(candidate.load.requests) / f64::from(candidate.upstream.slots.max(1))
        })
    }

    // Returns whether an engine has a free slot and memory for a request of `kv_tokens`.
    pub(super) fn may_decode(
        &self,
        candidate: &Candidate,
        kv_tokens: u64,
        capacity_kv_tokens: u64,
    ) -> bool {
        let used = candidate.load;
        let id = &candidate.upstream.id;
        let memory = self
            .health
            .available_kv_tokens(id, capacity_kv_tokens, self.now);
        used.requests < candidate.upstream.slots
            && (used.requests == 0 || used.kv_tokens + kv_tokens <= memory)
    }

    /// Returns the engine to prefill on: the one with the fewest prompt tokens to process before
    /// the request is prefilled.
    pub fn select_prefill(&self, candidates: &[Candidate], prompt_tokens: u64) -> Option<usize> {
        self.cheapest(candidates, |candidate| {
            (candidate.load.prefill_tokens + prompt_tokens.max(1)) as f64
        })
    }

    fn cheapest<C>(&self, candidates: &[Candidate], cost: C) -> Option<usize>
    where
        C: Fn(&Candidate) -> f64,
    {
        self.cheapest_where(candidates, &vec![true; candidates.len()], cost)
    }

    // Returns the usable candidate with the lowest cost, increased for a low success rate and for
    // another data centre. Avoided upstreams are selected only if there is no other.
    fn cheapest_where<C>(&self, candidates: &[Candidate], usable: &[bool], cost: C) -> Option<usize>
    where
        C: Fn(&Candidate) -> f64,
    {
        let costs = candidates
            .iter()
            .enumerate()
            .filter(|(index, _)| usable[*index])
            .map(|(index, candidate)| {
                let upstream = &candidate.upstream;
                let is_remote = *upstream.data_centre != *self.data_centre;
                let distance_factor = if is_remote {
                    1.0 + REMOTE_SURCHARGE_FRACTION
                } else {
                    1.0
                };
                let success_rate = self.health.success_rate(&upstream.id, self.now);
                let is_avoided = self.health.is_avoided(&upstream.id, self.now);
                let cost = cost(candidate) * distance_factor / (success_rate * success_rate);
                (is_avoided, cost, index)
            });
        costs
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, index)| index)
    }
}
