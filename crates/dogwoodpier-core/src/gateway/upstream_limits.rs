//! Rate limits of upstreams: those that upstreams name in their responses, and those of cold
//! upstreams.
//!
//! Load pattern: an upstream in trouble names the requests per second that it accepts from all
//! instances together, changes the number, and stops naming one when it has recovered. Each
//! instance sees only the responses to its own requests, so instances report what they have seen
//! to their peers, and the latest observation counts. Observations are not passed on by peers:
//! their age would be lost on the way, and an old limit would come back.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::cold_upstreams::ColdUpstreams;
use super::permits::SendLimit;
use super::upstreams::Upstream;

// Time for which the end of a limit is reported: several reports of a fleet of 300 instances.
const END_REPORT_MS: u64 = 10_000;
// Observations in one report, which has to fit into a datagram.
const MAX_REPORTED_LIMITS: usize = 200;

#[plain]
#[derive(Copy)]
struct Observation {
    // `None` if the upstream stated no limit.
    limit_per_s: Option<f64>,
    observed_ms: TimeMs,
}

/// An observation of another instance.
#[wire]
#[derive(Copy)]
pub struct ReportedLimit {
    /// Start time of the upstream's incarnation.
    pub started_unix_ms: Option<u64>,
    /// Requests per second that the upstream accepts from all instances together, `None` if the
    /// limit has ended.
    pub limit_per_s: Option<f64>,
    /// Time since the observation.
    pub age_ms: u64,
}

#[derive(Debug)]
struct Entry {
    started_unix_ms: Option<u64>,
    own: Option<Observation>,
    peers: Option<Observation>,
    // Time before which no permit is expected.
    withheld_deadline_ms: TimeMs,
}

impl Entry {
    fn new(started_unix_ms: Option<u64>) -> Self {
        Self {
            started_unix_ms,
            own: None,
            peers: None,
            withheld_deadline_ms: TimeMs::default(),
        }
    }

    fn latest(&self) -> Option<Observation> {
        let observations = [self.own, self.peers].into_iter().flatten();
        // At the same time, a limit takes precedence.
        observations.max_by_key(|latest| (latest.observed_ms, latest.limit_per_s.is_some()))
    }
}

/// The limits that upstreams have named, by the id of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Upstreams that are cold or were until recently.
    pub cold: ColdUpstreams,
}

impl UpstreamLimits {
    /// Records that a response named a limit. Returns whether the limit is new or has changed.
    pub fn record_limit(&mut self, upstream: &Upstream, limit_per_s: f64, now: TimeMs) -> bool {
        let previous = self.limit_per_s(upstream);
        self.entry(&upstream.id, upstream.started_unix_ms).own = Some(Observation {
            limit_per_s: Some(limit_per_s),
            observed_ms: now,
        });
        previous != Some(limit_per_s)
    }

    /// Records a successful response without a limit to a request that was sent at `sent_ms`.
    /// Returns whether this ends a limit. It doesn't if the limit was named after `sent_ms`, since
    /// the response may be older than the one that named it.
    pub fn record_no_limit(&mut self, upstream: &Upstream, sent_ms: TimeMs) -> bool {
        if self.limit_per_s(upstream).is_none() {
            return false;
        }
        let entry = self.entry(&upstream.id, upstream.started_unix_ms);
        let is_newer = entry
            .latest()
            .is_none_or(|latest| latest.observed_ms < sent_ms);
        if is_newer {
            entry.own = Some(Observation {
                limit_per_s: None,
                observed_ms: sent_ms,
            });
        }
        is_newer
    }

    /// Records what a peer has observed of an upstream. Returns whether the limit has changed.
    pub fn record_report(
        &mut self,
        upstream: &Upstream,
        reported: ReportedLimit,
        now: TimeMs,
    ) -> bool {
        if reported.started_unix_ms != upstream.started_unix_ms {
            return false;
        }
        let previous = self.limit_per_s(upstream);
        if previous.is_none() && reported.limit_per_s.is_none() {
            return false;
        }
        let observation = Observation {
            limit_per_s: reported.limit_per_s,
            observed_ms: TimeMs(now.0.saturating_sub(reported.age_ms)),
        };
        let entry = self.entry(&upstream.id, upstream.started_unix_ms);
        let is_newer = entry
            .peers
            .is_none_or(|known| known.observed_ms < observation.observed_ms);
        if is_newer {
            entry.peers = Some(observation);
        }
        previous != self.limit_per_s(upstream)
    }

    /// Returns the observations of this instance that are the latest, for its peers: limits in
    /// force, and limits that have ended recently.
    pub fn reports(&self, now: TimeMs) -> BTreeMap<Arc<str>, ReportedLimit> {
        let own = self.entries.iter().filter_map(|(id, entry)| {
            let own = entry.own.filter(|own| entry.latest() == Some(*own))?;
            let reported = ReportedLimit {
                started_unix_ms: entry.started_unix_ms,
                limit_per_s: own.limit_per_s,
                age_ms: now.since(own.observed_ms),
            };
            Some((id.clone(), reported))
        });
        let mut reported: Vec<(Arc<str>, ReportedLimit)> = own
            .filter(|(_, reported)| {
                reported.limit_per_s.is_some() || reported.age_ms <= END_REPORT_MS
            })
            .collect();
        reported.sort_by_key(|(_, reported)| reported.age_ms);
        reported.truncate(MAX_REPORTED_LIMITS);
        reported.into_iter().collect()
    }

    /// Returns whether a peer has reported a limit of an upstream.
    pub fn is_reported_by_peers(&self, upstream: &str) -> bool {
        let reported = self.entries.get(upstream).and_then(|entry| entry.peers);
        reported.is_some_and(|reported| reported.limit_per_s.is_some())
    }

    /// Returns the limit of an upstream in requests per second, if it has named one.
    pub fn limit_per_s(&self, upstream: &Upstream) -> Option<f64> {
        let entry = self.entries.get(&upstream.id)?;
        if entry.started_unix_ms != upstream.started_unix_ms {
            return None;
        }
        entry.latest()?.limit_per_s
    }

    /// Returns the limit on the requests to an upstream, if there is one: the lower of the limit that
    /// it has named and the limit of a cold upstream.
    pub fn send_limit(&self, upstream: &Upstream, now: TimeMs) -> Option<SendLimit> {
        let named = self.limit_per_s(upstream).map(SendLimit::from);
        match (named, self.cold.limit(upstream, now)) {
            (Some(named), Some(cold)) => Some(named.lower(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Records that no permit for an upstream is expected before a time.
    pub fn withhold(&mut self, upstream: &Upstream, deadline_ms: TimeMs) {
        let entry = self.entry(&upstream.id, upstream.started_unix_ms);
        entry.withheld_deadline_ms = entry.withheld_deadline_ms.max(deadline_ms);
    }

    /// Returns the time until a permit for an upstream may be available, 0 if it has no limit.
    pub fn withheld_ms(&self, upstream: &Upstream, now: TimeMs) -> u64 {
        if self.send_limit(upstream, now).is_none() {
            return 0;
        }
        let entry = self.entries.get(&upstream.id);
        entry.map_or(0, |entry| entry.withheld_deadline_ms.remaining(now))
    }

    /// Removes the limit of an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.entries.remove(upstream);
    }

    // Returns the entry of an upstream, a new one if the upstream has restarted.
    fn entry(&mut self, id: &Arc<str>, started_unix_ms: Option<u64>) -> &mut Entry {
        let entry = self
            .entries
            .entry(id.clone())
            .or_insert_with(|| Entry::new(started_unix_ms));
        if entry.started_unix_ms != started_unix_ms {
            *entry = Entry::new(started_unix_ms);
        }
        entry
    }
}
