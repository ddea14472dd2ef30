//! Selection of upstreams by expected finish.
//!
//! Load pattern: upstreams of one service differ for good in speed and slow down for some hundred
//! milliseconds at a time, and what an instance knows of their load is up to a second old. Each
//! upstream is weighed by the time at which it is expected to finish the request: the work ahead of
//! the request, and the request itself, at the upstream's current speed. The choice is random, with
//! a probability that falls steeply with that time. Upstreams that are nearly equal are thereby
//! chosen nearly equally often, and instances with the same old figures don't all choose the same
//! one.

use super::placement::Candidate;
use super::placement::REMOTE_SURCHARGE_FRACTION;
use super::placement::Selector;
use super::speed::UpstreamSpeeds;

// Power of the expected time by which the probability of a choice falls, for a broker, which knows
// the load. Of two upstreams of which one takes 1.5 times as long, it chooses that one in 1 of 27
// cases.
const BROKER_STEEPNESS: f64 = 8.0;
// The same for the two plain upstreams that an instance compares. In the replay of 20 instances with
// figures a second old, 1.0 made requests a half slower, as the fast upstreams were always drawn.
const INSTANCE_STEEPNESS: f64 = 0.25;
// Most part of the estimated load that a stated load accounts for, so that an upstream that states
// a wrong one is still weighed by the requests known to be there.
const MAX_STATED_FRACTION: f64 = 0.25;
// Assumed time for a unit of work before the first observation. Only the ratio of the times counts.
const DEFAULT_UNIT_MS: f64 = 1.0;

/// Selects upstreams by expected finish.
pub struct CostSelector<'a> {
    /// What is known of the health of the upstreams and of this instance.
    pub selector: Selector<'a>,
    /// What is known of the speed of the upstreams.
    pub speeds: &'a UpstreamSpeeds,
    /// A uniform random number.
    pub draw: u64,
}

// Expected times at a candidate, as long as nothing fails there.
struct Work {
    // Time of the request at the median of the upstreams.
    usual_ms: f64,
    // Time of the request alone.
    own_ms: f64,
    // Time of the request and of the work ahead of it.
    finish_ms: f64,
}

impl CostSelector<'_> {
    /// Returns the engine to decode on, of those with a free slot and memory for `kv_tokens` as
    /// in [`Selector::select_decode`]. `output_tokens` is the expected output of the request.
    pub fn select_decode(
        &self,
        candidates: &[Candidate],
        kv_tokens: u64,
        capacity_kv_tokens: u64,
        output_tokens: f64,
    ) -> Option<usize> {
        let usable = |candidate: &Candidate| {
            self.selector
                .may_decode(candidate, kv_tokens, capacity_kv_tokens)
        };
        let own_units = output_tokens.max(1.0);
        // All requests of an engine progress at the same time, each slower the more there are.
        let ahead = |candidate: &Candidate| {
            own_units * f64::from(candidate.load.requests)
                / f64::from(candidate.upstream.slots.max(1))
        };
        let work = self.engine_work(candidates, own_units, ahead);
        self.draw_earliest(&self.times(candidates, usable, work))
    }

    /// Returns the engine to prefill on. It processes the prompts one after the other.
    pub fn select_prefill(&self, candidates: &[Candidate], prompt_tokens: u64) -> Option<usize> {
        let ahead = |candidate: &Candidate| candidate.load.prefill_tokens as f64;
        let work = self.engine_work(candidates, prompt_tokens.max(1) as f64, ahead);
        self.draw_earliest(&self.times(candidates, |_| true, work))
    }

    /// Returns an upstream of a plain service that is not avoided: of two random ones, the one that
    /// is expected to finish first.
    pub fn select_plain(&self, candidates: &[Candidate]) -> Option<usize> {
        let Selector { health, now, .. } = self.selector;
        let usable = |candidate: &Candidate| !health.is_avoided(&candidate.upstream.id, now);
        let usual_ms = health.mean_latency_ms(candidates);
        let work = |candidate: &Candidate| {
            let id = &candidate.upstream.id;
            // The average time to an answer includes the waits there, which the reports of peers
            // show late.
            let average_ms = health.latency_ms(id, usual_ms);
            let own_ms = average_ms * self.speeds.current_slowness(id, average_ms, now);
            let load = plain_load_factor(self.requests_at(candidate), candidate.upstream.slots);
            Work {
                usual_ms,
                own_ms,
                finish_ms: own_ms * load,
            }
        };
        let mut all = self.times(candidates, usable, work);
        let (first, second) = uniform_pair(self.draw);
        let idle_finish = |times: &Times| times.own_ms;
        let first = *draw_by(&all, idle_finish, INSTANCE_STEEPNESS, first)?;
        all.retain(|times| times.index != first.index);
        let second = draw_by(&all, idle_finish, INSTANCE_STEEPNESS, second).copied();
        let earlier = second.filter(|second| second.finish_ms < first.finish_ms);
        Some(earlier.unwrap_or(first).index)
    }

    // Returns the times at engines, which process `own_units` after those that are ahead.
    fn engine_work<A>(
        &self,
        candidates: &[Candidate],
        own_units: f64,
        ahead_units: A,
    ) -> impl Fn(&Candidate) -> Work
    where
        A: Fn(&Candidate) -> f64,
    {
        let ids = candidates.iter().map(|candidate| &candidate.upstream.id);
        let median_unit_ms = self.speeds.median_unit_ms(ids);
        let usual_ms = own_units * median_unit_ms.unwrap_or(DEFAULT_UNIT_MS);
        move |candidate| {
            let id = &candidate.upstream.id;
            let finish_ms = usual_ms * (1.0 + ahead_units(candidate) / own_units);
            let now = self.selector.now;
            let slowness = self.speeds.slowness(id, median_unit_ms, finish_ms, now);
            Work {
                usual_ms,
                own_ms: usual_ms * slowness,
                finish_ms: finish_ms * slowness,
            }
        }
    }

    fn draw_earliest(&self, all: &[Times]) -> Option<usize> {
        let (draw, _) = uniform_pair(self.draw);
        draw_by(all, |times| times.finish_ms, BROKER_STEEPNESS, draw).map(|drawn| drawn.index)
    }

    // Returns the estimated number of requests at an upstream: those that the instances have
    // reported, corrected by what the upstream has stated.
    fn requests_at(&self, candidate: &Candidate) -> f64 {
        let reported = f64::from(candidate.load.requests);
        let Some(sample) = self.speeds.sample(&candidate.upstream.id) else {
            return reported;
        };
        let stated = f64::from(sample.load.running) + f64::from(sample.load.waiting);
        // The service is bounded by its queue, so more than a few times its slots is a wrong figure.
        let stated = stated.min(f64::from(candidate.upstream.slots.max(1)) * 8.0);
        let weight = sample.weight(self.selector.now) * MAX_STATED_FRACTION;
        reported + (stated - reported) * weight
    }

    // Returns the usable candidates with their times, those that are avoided only if there is no
    // other.
    fn times<U, W>(&self, candidates: &[Candidate], usable: U, work: W) -> Vec<Times>
    where
        U: Fn(&Candidate) -> bool,
        W: Fn(&Candidate) -> Work,
    {
        let Selector { health, now, .. } = self.selector;
        let times = |index: usize| {
            let candidate = &candidates[index];
            let id = &candidate.upstream.id;
            let work = work(candidate);
            // A fixed time rather than a part of the finish, as the distance of an upstream does not
            // grow with its queue.
            let distance_ms = match *candidate.upstream.data_centre == *self.selector.data_centre {
                true => 0.0,
                false => work.usual_ms * REMOTE_SURCHARGE_FRACTION,
            };
            let success_rate = health.success_rate(id, now);
            let attempts = 1.0 / (success_rate * success_rate);
            Times {
                index,
                is_avoided: health.is_avoided(id, now),
                own_ms: (work.own_ms + distance_ms) * attempts,
                finish_ms: (work.finish_ms + distance_ms) * attempts,
            }
        };
        let mut all: Vec<Times> = (0..candidates.len())
            .filter(|index| usable(&candidates[*index]))
            .map(times)
            .collect();
        if all.iter().any(|times| !times.is_avoided) {
            all.retain(|times| !times.is_avoided);
        }
        all
    }
}

// Expected times of a request at a candidate, with the distance and with repeats after failures.
#[derive(Clone, Copy)]
struct Times {
    index: usize,
    is_avoided: bool,
    // Without the work ahead.
    own_ms: f64,
    finish_ms: f64,
}

/// Returns the time for a unit of prefill work: `elapsed_ms` divided by the tokens of the prompt and
/// of the prompts that were ahead of it. `None` if there is nothing to divide by.
pub fn prefill_unit_ms(elapsed_ms: u64, queued_tokens: u64) -> Option<f64> {
    (queued_tokens > 0 && elapsed_ms > 0).then(|| elapsed_ms as f64 / queued_tokens as f64)
}

// Returns the factor by which the time of a plain request grows with `requests` others. Up to its
// number of slots an upstream works at full speed; beyond it requests queue, so the factor grows
// quadratically.
pub(super) fn plain_load_factor(requests: f64, slots: u32) -> f64 {
    let load_per_slot = (requests + 1.0) / f64::from(slots.max(1));
    0.5 + load_per_slot.max(load_per_slot * load_per_slot)
}

// Draws one of the candidates with a probability proportional to the inverse of a time to a power.
// `draw` is uniform between 0 and 1.
fn draw_by<T>(all: &[Times], time_ms: T, steepness: f64, draw: f64) -> Option<&Times>
where
    T: Fn(&Times) -> f64,
{
    let earliest_ms = all.iter().map(&time_ms).min_by(f64::total_cmp)?;
    let weight =
        |times: &Times| (earliest_ms / time_ms(times).max(f64::MIN_POSITIVE)).powf(steepness);
    let total: f64 = all.iter().map(weight).sum();
    let mut left = draw * total;
    let drawn = all.iter().find(|times| {
        left -= weight(times);
        left <= 0.0
    });
    drawn.or(all.last())
}

// Splits a random number into two that are uniform between 0 and 1.
fn uniform_pair(draw: u64) -> (f64, f64) {
    let fraction = |bits: u64| (bits & u64::from(u32::MAX)) as f64 / f64::from(u32::MAX);
    (fraction(draw >> 32), fraction(draw))
}
