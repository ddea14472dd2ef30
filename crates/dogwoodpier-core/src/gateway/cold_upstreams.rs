//! Upstreams that have just started and accept only a few requests per second.
//!
//! Load pattern: an upstream that has started is slow for some seconds and crashes well above a rate
//! that it accepts from all instances together, while hundreds of instances have requests for it. It
//! states the time for which it stays cold in its store entry, which is rewritten about once a second
//! and read up to a second later, and in some of its responses. It may become cold again at any
//! time. Instances that have read this tell the others, as each of them exceeds the rate until it
//! knows. After the cold time, the rate grows in steps, and the limit ends at a different time at
//! each instance, so that the upstream does not get its full share from all of them at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;
use crate::rendezvous;

use super::permits::SendLimit;
use super::routes::ColdStart;
use super::upstreams::Upstream;

/// Longest remaining time that is accepted from an upstream: twenty times the usual cold time.
pub const MAX_COLD_MS: u64 = 60_000;
// Age of what an entry states: it is rewritten every 1.2 s and read in batches of up to 1.2 s.
const MAX_ENTRY_AGE_MS: u64 = 2_400;
// Difference between two deadlines for the same cold time. Only a larger one is news for the peers.
const DEADLINE_TOLERANCE_MS: u64 = 500;
// Largest difference between the wall clocks of an upstream and an instance.
const MAX_CLOCK_SKEW_MS: u64 = 2_000;
// After the cold time, the rate doubles with each step. The last step is up to one step longer,
// depending on the instance.
const WARM_UP_STEP_MS: u64 = 500;
const WARM_UP_FACTORS: [f64; 2] = [2.0, 4.0];
// Entries above which those of warm upstreams are dropped: peers may report upstreams that never
// become known.
const MAX_ENTRIES: usize = 10_000;

/// What another instance has learned of a cold upstream.
#[wire]
#[derive(Copy, Eq)]
pub struct ReportedCold {
    /// Start time of the upstream's incarnation.
    pub started_unix_ms: Option<u64>,
    /// Time for which the upstream stays cold.
    pub remaining_ms: u64,
    /// Time since the upstream was observed.
    pub age_ms: u64,
}

/// What an entry in the store states of an upstream.
#[plain]
#[derive(Copy, Eq)]
pub struct EntryState {
    /// Remaining cold time, if stated.
    pub remaining_ms: Option<u64>,
    /// Version of the entry.
    pub version: u64,
    /// Whether this incarnation of the upstream was unknown.
    pub is_new: bool,
    /// Time since the start of the incarnation by the wall clock, if known.
    pub age_ms: Option<u64>,
}

#[plain]
#[derive(Copy, Eq)]
enum Observer {
    Entry,
    Response,
    Peer,
}

#[plain]
#[derive(Copy, Eq)]
struct Observation {
    started_unix_ms: Option<u64>,
    // End of the cold time.
    deadline_ms: TimeMs,
    observed_ms: TimeMs,
    observer: Observer,
}

#[derive(Debug, Default)]
struct Entry {
    latest: Option<Observation>,
    // Version of the store entry that was read last.
    version: Option<u64>,
    presumed: Option<Presumed>,
    // What a peer has reported last.
    reported: Option<Observation>,
}

// A new incarnation that has not stated whether it is cold. The configuration may be read later than
// its entry.
#[plain]
#[derive(Copy, Eq)]
struct Presumed {
    started_unix_ms: Option<u64>,
    seen_ms: TimeMs,
    age_ms: Option<u64>,
}

/// Phase of an upstream that was cold.
#[plain]
#[derive(Copy)]
enum Phase {
    Cold { remaining_ms: u64 },
    WarmUp { factor: f64 },
    Warm,
}

/// The upstreams that are cold or were until recently, by id.
#[derive(Debug, Default)]
pub struct ColdUpstreams {
    services: BTreeMap<Arc<str>, ColdStart>,
    entries: BTreeMap<Arc<str>, Entry>,
    instance: Arc<str>,
}

impl ColdUpstreams {
    /// Sets the services whose upstreams start cold, and the name of this instance.
    pub fn configure(&mut self, services: BTreeMap<Arc<str>, ColdStart>, instance: &Arc<str>) {
        self.services = services;
        self.instance = instance.clone();
    }

    /// Records what the store entry of an upstream states. A new incarnation that states nothing is
    /// cold for the time that its service's upstreams usually are. Returns whether the upstream is
    /// cold for longer than was known.
    pub fn record_entry(&mut self, upstream: &Upstream, state: EntryState, now: TimeMs) -> bool {
        self.make_room(&upstream.id, now);
        let known = self.entries.entry(upstream.id.clone()).or_default();
        let Some(remaining_ms) = state.remaining_ms else {
            if state.is_new {
                known.presumed = Some(Presumed {
                    started_unix_ms: upstream.started_unix_ms,
                    seen_ms: now,
                    age_ms: state.age_ms,
                });
            }
            return state.is_new && self.remaining_ms(upstream, now) > 0;
        };
        if known.knows_later_incarnation(upstream, now) {
            return false;
        }
        let is_same_incarnation = known
            .latest
            .is_some_and(|latest| latest.started_unix_ms == upstream.started_unix_ms);
        // A listing repeats entries, whose remaining time counts from the first reading.
        if known.version == Some(state.version) && is_same_incarnation {
            return false;
        }
        known.version = Some(state.version);
        let observation = Observation {
            started_unix_ms: upstream.started_unix_ms,
            deadline_ms: now.after(remaining_ms.min(MAX_COLD_MS)),
            observed_ms: now,
            observer: Observer::Entry,
        };
        let is_outdated = known.latest.is_some_and(|latest| {
            // The entry may have been written before the response or before the peer's observation.
            is_same_incarnation
                && latest.observer != Observer::Entry
                && now.since(latest.observed_ms) < MAX_ENTRY_AGE_MS
                && observation.deadline_ms < latest.deadline_ms
        });
        !is_outdated && known.replace(observation, now)
    }

    /// Records the remaining cold time in a response. Returns whether the upstream is cold for longer
    /// than was known.
    pub fn record_response(&mut self, upstream: &Upstream, remaining_ms: u64, now: TimeMs) -> bool {
        let known = self.entries.entry(upstream.id.clone()).or_default();
        let observation = Observation {
            started_unix_ms: upstream.started_unix_ms,
            deadline_ms: now.after(remaining_ms.min(MAX_COLD_MS)),
            observed_ms: now,
            observer: Observer::Response,
        };
        !known.knows_later_incarnation(upstream, now) && known.replace(observation, now)
    }

    /// Records what a peer has learned. It only extends the cold time, since each instance reads the
    /// end itself. Returns whether the upstream is cold for longer than was known.
    pub fn record_report(&mut self, id: &Arc<str>, reported: ReportedCold, now: TimeMs) -> bool {
        self.make_room(id, now);
        let known = self.entries.entry(id.clone()).or_default();
        let observation = Observation {
            started_unix_ms: reported.started_unix_ms,
            deadline_ms: now.after(reported.remaining_ms.min(MAX_COLD_MS)),
            observed_ms: TimeMs(now.0.saturating_sub(reported.age_ms)),
            observer: Observer::Peer,
        };
        known.reported = Some(observation);
        let is_outdated = known.latest.is_some_and(|latest| {
            let is_earlier_incarnation = observation.started_unix_ms < latest.started_unix_ms;
            let is_same = observation.started_unix_ms == latest.started_unix_ms;
            is_earlier_incarnation
                || (is_same
                    && (observation.observed_ms <= latest.observed_ms
                        || observation.deadline_ms <= latest.deadline_ms))
        });
        !is_outdated && known.replace(observation, now)
    }

    /// Returns what this instance itself has learned of an upstream, for its peers. `None` if the
    /// upstream is not cold or a peer has reported the same.
    pub fn report(&self, id: &str, now: TimeMs) -> Option<ReportedCold> {
        let entry = self.entries.get(id)?;
        let latest = entry.latest?;
        let is_reported = entry.reported.is_some_and(|reported| {
            reported.started_unix_ms >= latest.started_unix_ms
                && latest.deadline_ms.since(reported.deadline_ms) <= DEADLINE_TOLERANCE_MS
        });
        let is_news = latest.deadline_ms > now && !is_reported;
        is_news.then(|| ReportedCold {
            started_unix_ms: latest.started_unix_ms,
            remaining_ms: latest.deadline_ms.remaining(now),
            age_ms: now.since(latest.observed_ms),
        })
    }

    /// Returns the limit of an upstream that is cold or was until recently.
    pub fn limit(&self, upstream: &Upstream, now: TimeMs) -> Option<SendLimit> {
        let service = self.services.get(&upstream.service)?;
        match self.phase(upstream, now) {
            Phase::Cold { .. } => Some(SendLimit::cold(service.rate_per_s)),
            Phase::WarmUp { factor } => Some(SendLimit::cold(service.rate_per_s * factor)),
            Phase::Warm => None,
        }
    }

    /// Returns the time for which an upstream stays cold, 0 if it is not.
    pub fn remaining_ms(&self, upstream: &Upstream, now: TimeMs) -> u64 {
        if !self.services.contains_key(&upstream.service) {
            return 0;
        }
        match self.phase(upstream, now) {
            Phase::Cold { remaining_ms } => remaining_ms,
            Phase::WarmUp { .. } | Phase::Warm => 0,
        }
    }

    /// Returns whether a service has upstreams that start cold.
    pub fn is_configured(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Removes an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.entries.remove(upstream);
    }

    fn make_room(&mut self, id: &str, now: TimeMs) {
        if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(id) {
            return;
        }
        self.entries.retain(|_, entry| {
            let latest = entry.latest;
            latest.is_some_and(|latest| latest.deadline_ms > now)
        });
    }

    fn phase(&self, upstream: &Upstream, now: TimeMs) -> Phase {
        let known = self.entries.get(&upstream.id);
        let Some(latest) = known.and_then(|entry| self.latest(upstream, entry)) else {
            return Phase::Warm;
        };
        // What is known of a later incarnation counts before its entry is read, as requests for the
        // earlier one reach it.
        if latest.started_unix_ms < upstream.started_unix_ms {
            return Phase::Warm;
        }
        if latest.deadline_ms > now {
            return Phase::Cold {
                remaining_ms: latest.deadline_ms.remaining(now),
            };
        }
        let warm_ms = now.since(latest.deadline_ms);
        let last = WARM_UP_FACTORS.len() - 1;
        let step = (warm_ms / WARM_UP_STEP_MS) as usize;
        if step <= last {
            return Phase::WarmUp {
                factor: WARM_UP_FACTORS[step],
            };
        }
        let spread_ms = rendezvous::weight(&upstream.id, &self.instance) % WARM_UP_STEP_MS;
        let end_ms = WARM_UP_FACTORS.len() as u64 * WARM_UP_STEP_MS + spread_ms;
        match warm_ms < end_ms {
            true => Phase::WarmUp {
                factor: WARM_UP_FACTORS[last],
            },
            false => Phase::Warm,
        }
    }

    // Returns what was learned last of an upstream. An incarnation that has stated nothing is taken to
    // be cold for the usual time.
    fn latest(&self, upstream: &Upstream, entry: &Entry) -> Option<Observation> {
        let presumed = entry.presumed.filter(|presumed| {
            let latest = entry.latest;
            latest.is_none_or(|latest| latest.started_unix_ms < presumed.started_unix_ms)
        });
        let Some(presumed) = presumed else {
            return entry.latest;
        };
        let service = self.services.get(&upstream.service)?;
        let longest_age_ms = service.duration_ms + MAX_CLOCK_SKEW_MS;
        let may_be_cold = presumed.age_ms.is_none_or(|age_ms| age_ms < longest_age_ms);
        may_be_cold.then(|| Observation {
            started_unix_ms: presumed.started_unix_ms,
            deadline_ms: presumed.seen_ms.after(service.duration_ms),
            observed_ms: presumed.seen_ms,
            observer: Observer::Entry,
        })
    }
}

impl Entry {
    // Returns whether what is read of an incarnation may have been written before a later one started.
    // After a time, an earlier start means that the clock of the upstream was set back.
    fn knows_later_incarnation(&self, upstream: &Upstream, now: TimeMs) -> bool {
        self.latest.is_some_and(|latest| {
            latest.started_unix_ms > upstream.started_unix_ms
                && now.since(latest.observed_ms) < MAX_ENTRY_AGE_MS
        })
    }

    // Replaces what is known. Returns whether the upstream is cold for longer than was known.
    fn replace(&mut self, observation: Observation, now: TimeMs) -> bool {
        let same = self
            .latest
            .filter(|latest| latest.started_unix_ms == observation.started_unix_ms);
        let is_cold = observation.deadline_ms > now;
        self.presumed = None;
        if !is_cold {
            // The upstream was not cold, or its slow start has begun.
            self.latest = same.map(|latest| Observation {
                deadline_ms: latest.deadline_ms.min(now),
                observed_ms: observation.observed_ms,
                observer: observation.observer,
                ..latest
            });
            return false;
        }
        let known_ms = same.map_or(now, |latest| latest.deadline_ms.max(now));
        self.latest = Some(observation);
        let is_new = same.is_none_or(|latest| latest.deadline_ms <= now);
        is_new || observation.deadline_ms.since(known_ms) > DEADLINE_TOLERANCE_MS
    }
}
