//! Rate limits that upstreams name in their responses.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::upstreams::Upstream;

/// What a response said about the rate limit of an upstream.
#[plain]
#[derive(Copy)]
pub struct Observation {
    /// Requests per second that the upstream accepts from all instances together, `None` without
    /// a limit.
    pub rate_per_s: Option<f64>,
    /// Latest time at which the upstream is known to have stated this.
    pub observed_ms: TimeMs,
}

#[derive(Debug)]
struct Entry {
    started_unix_ms: Option<u64>,
    own: Option<Observation>,
}

/// The limits that upstreams have named, by the id of the upstream.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    entries: BTreeMap<Arc<str>, Entry>,
}

impl UpstreamLimits {
    /// Records that a response named a limit. Returns whether the limit is new or has changed.
    pub fn record_limit(&mut self, upstream: &Upstream, rate_per_s: f64, now: TimeMs) -> bool {
        let before = self.rate_per_s(upstream);
        let entry = self.entry(upstream);
        entry.own = Some(Observation {
            rate_per_s: Some(rate_per_s),
            observed_ms: now,
        });
        before != Some(rate_per_s)
    }

    /// Records a successful response without a limit to a request that was sent at `sent_ms`.
    /// Returns whether this ends a limit. A request that was sent before the limit was last named
    /// doesn't: its response may have overtaken, or be older than, the one that named it.
    pub fn record_no_limit(&mut self, upstream: &Upstream, sent_ms: TimeMs) -> bool {
        if self.rate_per_s(upstream).is_none() {
            return false;
        }
        let entry = self.entry(upstream);
        if entry
            .own
            .is_some_and(|observation| observation.observed_ms >= sent_ms)
        {
            return false;
        }
        entry.own = Some(Observation {
            rate_per_s: None,
            observed_ms: sent_ms,
        });
        true
    }

    /// Returns the limit of an upstream in requests per second, if it has named one.
    pub fn rate_per_s(&self, upstream: &Upstream) -> Option<f64> {
        let entry = self.entries.get(&upstream.id)?;
        if entry.started_unix_ms != upstream.started_unix_ms {
            return None;
        }
        entry.own?.rate_per_s
    }

    /// Removes the limit of an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.entries.remove(upstream);
    }

    // Returns the entry of an upstream, a new one if the upstream has restarted.
    fn entry(&mut self, upstream: &Upstream) -> &mut Entry {
        let new = || Entry {
            started_unix_ms: upstream.started_unix_ms,
            own: None,
        };
        let entry = self.entries.entry(upstream.id.clone()).or_insert_with(new);
        if entry.started_unix_ms != upstream.started_unix_ms {
            *entry = new();
        }
        entry
    }
}
