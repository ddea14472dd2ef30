//! Current speed of each upstream, learned from observed durations and stated figures.
//!
//! Load pattern: upstreams of one service differ for good in speed (a factor of 2.4 between
//! engines), and each of them is also slower for some hundred milliseconds at a time. Some state in
//! their responses how long work takes at the moment. A stated figure is a sample of a quantity that
//! changes many times a second, so its effect fades with its age, towards the upstream's average.
//!
//! Two estimates are kept of the time that a unit of work takes: one of durations divided by the
//! slowness stated along with them, and one of durations alone. The one that has predicted recent
//! durations better counts, so that an upstream whose stated figures are wrong is judged by its
//! durations.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

// Time in which the effect of a stated figure halves: half of a usual slowdown of 600 ms.
const STATED_HALF_LIFE_MS: f64 = 300.0;
// Usual duration of a slowdown. Work that takes longer is affected for a part of its time only.
const SLOWDOWN_MS: f64 = 600.0;
// Bounds of the slowness of an upstream relative to the others, stated or learned. Engines differ by
// a factor of 2.4 and slowdowns add one of 2.5, so beyond this a figure is taken to be wrong.
const MIN_SLOWNESS: f64 = 0.1;
const MAX_SLOWNESS: f64 = 10.0;
// Observations after which an average changes no faster: single durations vary by about a half.
const MAX_WEIGHT: f64 = 20.0;
// Time in which the weight of past observations halves, so that a lasting change of speed is learned
// within a few observations also at an upstream that was avoided for it.
const WEIGHT_HALF_LIFE_MS: f64 = 30_000.0;
// Number of observations by which a new average is drawn towards the median of the service.
const PRIOR_WEIGHT: f64 = 1.0;
// Largest deviation of one observation from the average, as a factor, and number of observations
// from which on it is bounded. A first one that is wrong would otherwise count for twenty more.
const MAX_DEVIATION: f64 = 4.0;
const BOUNDED_WEIGHT: f64 = 2.5;
// Bounds of the time for a unit of work. Beyond a millisecond per million tokens or 1,000 s per event
// it is taken to be wrong.
const MIN_UNIT_MS: f64 = 1e-6;
const MAX_UNIT_MS: f64 = 1e6;
// Weight of a new observation in the average error of a prediction.
const ERROR_SMOOTHING: f64 = 0.1;
// Weight of a new figure in the average of stated figures.
const STATED_SMOOTHING: f64 = 0.1;
// Time for which a service counts as one whose upstreams state a slowness, after the last such
// figure: longer than a pause of the traffic of an instance.
const STATED_RETENTION_MS: u64 = 300_000;
// Bounds of the upstreams and services that are remembered: twice the upstreams of the design size.
const MAX_UPSTREAMS: usize = 8_800;
const MAX_SERVICES: usize = 1_000;

/// The load that an upstream states in a response.
#[wire]
#[derive(Copy)]
pub struct StatedLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// How long work currently takes, relative to the usual time.
    pub slowness: Option<f64>,
}

/// A stated load and the time at which it was received.
#[plain]
#[derive(Copy)]
pub struct LoadSample {
    /// The load.
    pub load: StatedLoad,
    /// Time at which it was received.
    pub received_ms: TimeMs,
}

/// Observed time that work took at an upstream.
#[wire]
#[derive(Copy)]
pub struct ObservedSpeed {
    /// Milliseconds per unit of work.
    pub unit_ms: f64,
    /// Slowness that the upstream stated at that time.
    pub slowness: Option<f64>,
    /// Number of observations.
    pub count: u8,
}

impl ObservedSpeed {
    /// Adds a later observation, as the geometric mean of both.
    pub fn merge(self, later: Self) -> Self {
        let (count, added) = (f64::from(self.count), f64::from(later.count));
        let mean = |first: f64, second: f64| {
            ((first.ln() * count + second.ln() * added) / (count + added).max(1.0)).exp()
        };
        Self {
            unit_ms: mean(self.unit_ms, later.unit_ms),
            slowness: match (self.slowness, later.slowness) {
                (Some(first), Some(second)) => Some(mean(first, second)),
                (first, second) => first.or(second),
            },
            count: self.count.saturating_add(later.count),
        }
    }

    fn is_valid(&self) -> bool {
        (MIN_UNIT_MS..=MAX_UNIT_MS).contains(&self.unit_ms) && self.count > 0
    }
}

// A moving average of logarithms, with the average error of its predictions.
#[derive(Clone, Copy, Debug, Default)]
struct LogAverage {
    value: f64,
    weight: f64,
    squared_error: f64,
}

impl LogAverage {
    fn record(&mut self, observed: f64, count: f64, kept_fraction: f64) {
        self.weight *= kept_fraction;
        if self.weight == 0.0 {
            self.value = observed;
        }
        let mut deviation = observed - self.value;
        if self.weight >= BOUNDED_WEIGHT {
            let bound = MAX_DEVIATION.ln();
            deviation = deviation.clamp(-bound, bound);
        }
        if self.weight >= PRIOR_WEIGHT {
            self.squared_error += ERROR_SMOOTHING * (deviation * deviation - self.squared_error);
        }
        self.weight = (self.weight + count).min(MAX_WEIGHT);
        self.value += deviation * (count / self.weight).min(1.0);
    }
}

#[derive(Debug, Default)]
struct Record {
    sample: Option<LoadSample>,
    // Average logarithm of the stated slowness.
    stated_average: Option<f64>,
    // Times for a unit of work divided by the stated slowness, and as they are.
    corrected: LogAverage,
    uncorrected: LogAverage,
    updated_ms: TimeMs,
}

impl Record {
    fn is_trusted(&self) -> bool {
        self.corrected.squared_error <= self.uncorrected.squared_error
    }

    // Returns the logarithm of the usual time for a unit of work, and its weight.
    fn usual(&self) -> (f64, f64) {
        match self.is_trusted() {
            true => {
                let stated = self.stated_average.unwrap_or(0.0);
                (self.corrected.value + stated, self.corrected.weight)
            }
            false => (self.uncorrected.value, self.uncorrected.weight),
        }
    }

    // Returns the logarithm of the factor by which work that takes `work_ms` is expected to take
    // longer now than usual.
    fn current(&self, work_ms: f64, now: TimeMs) -> f64 {
        let (Some(sample), Some(average)) = (self.sample, self.stated_average) else {
            return 0.0;
        };
        let Some(slowness) = sample.load.slowness.filter(|_| self.is_trusted()) else {
            return 0.0;
        };
        let affected_fraction = (SLOWDOWN_MS / work_ms.max(1.0)).min(1.0);
        (bounded(slowness).ln() - average) * sample.weight(now) * affected_fraction
    }
}

impl LoadSample {
    /// Returns the part of the sample's effect that is left at its age.
    pub fn weight(&self, now: TimeMs) -> f64 {
        0.5_f64.powf(now.since(self.received_ms) as f64 / STATED_HALF_LIFE_MS)
    }
}

fn bounded(slowness: f64) -> f64 {
    slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS)
}

/// What is known of the speed of upstreams, by their ids.
#[derive(Debug, Default)]
pub struct UpstreamSpeeds {
    records: BTreeMap<Arc<str>, Record>,
    // Time of the last stated slowness, by service.
    stated_ms: BTreeMap<Arc<str>, TimeMs>,
}

impl UpstreamSpeeds {
    /// Records a load that an upstream of `service` stated at `received_ms`. An older one than the
    /// last is ignored. Returns whether it is the first slowness of the service.
    pub fn record_stated(
        &mut self,
        service: &Arc<str>,
        upstream: &Arc<str>,
        load: StatedLoad,
        received_ms: TimeMs,
    ) -> bool {
        let record = self.record(upstream, received_ms);
        let last = record.sample;
        if last.is_some_and(|last| last.received_ms > received_ms) {
            return false;
        }
        let slowness = load.slowness.filter(|slowness| slowness.is_finite());
        let load = StatedLoad { slowness, ..load };
        record.sample = Some(LoadSample { load, received_ms });
        let Some(slowness) = slowness else {
            return false;
        };
        let stated = bounded(slowness).ln();
        let average = record.stated_average.get_or_insert(stated);
        *average += STATED_SMOOTHING * (stated - *average);
        let is_first = !self.is_stated(service, received_ms);
        if self.stated_ms.len() < MAX_SERVICES || self.stated_ms.contains_key(service) {
            self.stated_ms.insert(service.clone(), received_ms);
        }
        is_first
    }

    /// Records how long work took at an upstream.
    pub fn record_observed(&mut self, upstream: &Arc<str>, observed: ObservedSpeed, now: TimeMs) {
        if !observed.is_valid() {
            return;
        }
        let record = self.record(upstream, now);
        let elapsed_ms = now.since(record.updated_ms) as f64;
        record.updated_ms = record.updated_ms.max(now);
        let kept_fraction = 0.5_f64.powf(elapsed_ms / WEIGHT_HALF_LIFE_MS);
        let slowness = observed.slowness.filter(|slowness| slowness.is_finite());
        let average = record.stated_average.unwrap_or(0.0);
        let stated = slowness.map_or(average, |slowness| bounded(slowness).ln());
        let unit = observed.unit_ms.ln();
        let count = f64::from(observed.count);
        record.corrected.record(unit - stated, count, kept_fraction);
        record.uncorrected.record(unit, count, kept_fraction);
    }

    /// Returns whether an upstream of a service has recently stated a slowness.
    pub fn is_stated(&self, service: &str, now: TimeMs) -> bool {
        self.stated_ms
            .get(service)
            .is_some_and(|stated_ms| now.since(*stated_ms) <= STATED_RETENTION_MS)
    }

    /// Returns the load that an upstream stated last.
    pub fn last_stated(&self, upstream: &str) -> Option<LoadSample> {
        self.records.get(upstream)?.sample
    }

    /// Returns the load that an upstream stated last, unless its stated figures are wrong.
    pub fn sample(&self, upstream: &str) -> Option<LoadSample> {
        let record = self.records.get(upstream)?;
        record.sample.filter(|_| record.is_trusted())
    }

    /// Returns the usual time for a unit of work at the median of the upstreams, `None` before the
    /// first observation.
    pub fn median_unit_ms<'a, U>(&self, upstreams: U) -> Option<f64>
    where
        U: IntoIterator<Item = &'a Arc<str>>,
    {
        let records = upstreams.into_iter().filter_map(|id| self.records.get(id));
        let mut usual: Vec<f64> = records
            .map(Record::usual)
            .filter(|(_, weight)| *weight > 0.0)
            .map(|(value, _)| value)
            .collect();
        let middle = usual.len() / 2;
        if usual.is_empty() {
            return None;
        }
        let (_, median, _) = usual.select_nth_unstable_by(middle, f64::total_cmp);
        Some(median.exp())
    }

    /// Returns how long work that usually takes `work_ms` is expected to take now at an upstream,
    /// relative to an upstream that needs `median_unit_ms` for a unit of work.
    pub fn slowness(
        &self,
        upstream: &str,
        median_unit_ms: Option<f64>,
        work_ms: f64,
        now: TimeMs,
    ) -> f64 {
        let Some(record) = self.records.get(upstream) else {
            return 1.0;
        };
        let (usual, weight) = record.usual();
        let relative = match median_unit_ms {
            Some(median_unit_ms) if weight > 0.0 => {
                (usual - median_unit_ms.ln()) * weight / (weight + PRIOR_WEIGHT)
            }
            // Without durations, the upstream's own figure is all that is known of it.
            _ => record.stated_average.unwrap_or(0.0),
        };
        bounded((relative + record.current(work_ms, now)).exp())
    }

    /// Returns how much longer work of `work_ms` is expected to take now at an upstream than usually
    /// there, as a factor.
    pub fn current_slowness(&self, upstream: &str, work_ms: f64, now: TimeMs) -> f64 {
        let record = self.records.get(upstream);
        record.map_or(1.0, |record| bounded(record.current(work_ms, now).exp()))
    }

    /// Removes what is known of an upstream.
    pub fn forget(&mut self, upstream: &str) {
        self.records.remove(upstream);
    }

    /// Returns the number of upstreams of which something is known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing is known of any upstream.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record(&mut self, upstream: &Arc<str>, now: TimeMs) -> &mut Record {
        if self.records.len() >= MAX_UPSTREAMS && !self.records.contains_key(upstream) {
            let by_age = self
                .records
                .iter()
                .min_by_key(|(_, known)| known.updated_ms);
            if let Some(oldest) = by_age.map(|(id, _)| id.clone()) {
                self.records.remove(&oldest);
            }
        }
        self.records
            .entry(upstream.clone())
            .or_insert_with(|| Record {
                updated_ms: now,
                ..Record::default()
            })
    }
}
