//! Assignment of services and workspaces to the instances that decide for them, their owners.
//!
//! Load pattern: every request needs a decision about a resource that the whole fleet shares, such
//! as the slots of a service's engines or the quota of a workspace. One instance owns each such
//! resource, so that the number of messages for a request does not grow with the fleet. Instances
//! differ: the smallest have a fraction of the processor and link of the largest and would be
//! overloaded as owners, so owners are chosen among the larger ones. An owner that does not answer
//! is suspected and gets no requests for a time that doubles on repeated timeouts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;
use crate::rendezvous;

// Lowest capacity of an owner, relative to the largest capacity in the fleet.
const MIN_OWNER_CAPACITY_FRACTION: f64 = 0.5;
// If fewer instances than this are large enough, all instances are eligible. Two are enough because
// few owners are suspected at the same time.
const MIN_OWNERS: usize = 2;
// Time for which an owner that did not answer gets no requests: the initial and the longest one.
const INITIAL_SUSPICION_MS: u64 = 1_500;
const MAX_SUSPICION_MS: u64 = 12_000;

/// Returns the first `count` instances in the order of preference as owners of `name`. `members`
/// are the live instances with their relative capacities.
pub fn rank_owners<'a, M>(name: &str, members: M, count: usize) -> Vec<Arc<str>>
where
    M: IntoIterator<Item = (&'a Arc<str>, f64)>,
{
    let mut members: Vec<(&Arc<str>, f64)> = members.into_iter().collect();
    let capacities = members.iter().map(|(_, capacity)| *capacity);
    let min_capacity = capacities.fold(0.0, f64::max) * MIN_OWNER_CAPACITY_FRACTION;
    let large = members
        .iter()
        .filter(|(_, capacity)| *capacity >= min_capacity);
    if large.count() >= MIN_OWNERS {
        members.retain(|(_, capacity)| *capacity >= min_capacity);
    }
    members.sort_by_cached_key(|(member, _)| {
        std::cmp::Reverse((rendezvous::weight(name, member), (*member).clone()))
    });
    let names = members.into_iter().map(|(member, _)| member.clone());
    names.take(count).collect()
}

#[derive(Debug)]
struct Suspicion {
    deadline_ms: TimeMs,
    // Length of the last suspicion.
    duration_ms: u64,
}

/// Owners that did not answer recently.
#[derive(Debug, Default)]
pub struct UnresponsiveOwners {
    suspicions: BTreeMap<Arc<str>, Suspicion>,
}

impl UnresponsiveOwners {
    /// Records that an owner did not answer in time.
    pub fn record_timeout(&mut self, instance: &Arc<str>, now: TimeMs) {
        let suspicion = self
            .suspicions
            .entry(instance.clone())
            .or_insert(Suspicion {
                deadline_ms: TimeMs::default(),
                duration_ms: 0,
            });
        if suspicion.deadline_ms > now {
            // Another request that was in flight when the suspicion began.
            return;
        }
        // The time doubles only if the owner times out again soon after the last suspicion has
        // ended. Otherwise it is assumed to have answered in between.
        let is_repeated = now.since(suspicion.deadline_ms) < suspicion.duration_ms;
        suspicion.duration_ms = match is_repeated {
            true => (suspicion.duration_ms * 2).min(MAX_SUSPICION_MS),
            false => INITIAL_SUSPICION_MS,
        };
        suspicion.deadline_ms = now.after(suspicion.duration_ms);
    }

    /// Returns whether an owner is suspected at `now` and must get no requests.
    pub fn contains(&self, instance: &str, now: TimeMs) -> bool {
        self.suspicions
            .get(instance)
            .is_some_and(|suspicion| suspicion.deadline_ms > now)
    }
}
