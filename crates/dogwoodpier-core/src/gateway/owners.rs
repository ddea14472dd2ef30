//! Which instance decides for a service or a workspace.
//!
//! Load pattern: what is shared by the whole fleet, as the slots of a service's engines or the quota
//! of a workspace, is asked for with each request. One instance answers for each such name, so that
//! the messages of a request don't grow with the fleet. Instances differ: the smallest have a
//! fraction of the processor and link of the largest and would be overrun, so that owners are taken
//! among the larger ones. An owner that doesn't answer is left alone for a while, longer each time.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;
use crate::rendezvous;

// Part of the largest capacity that an owner has at least.
const OWNER_CAPACITY: f64 = 0.5;
// Owners that are suspected at once are few; with fewer large instances small ones serve too.
const MIN_OWNERS: usize = 2;
// Time for which an owner that didn't answer isn't asked, at first and at most.
const SUSPECT_FIRST_MS: u64 = 1_500;
const SUSPECT_MAX_MS: u64 = 12_000;

/// Returns the `count` instances that decide for `name`, the first choice first. `members` are the
/// instances that may be relied on, with what they can carry.
pub fn rank_owners<'a, M>(name: &str, members: M, count: usize) -> Vec<Arc<str>>
where
    M: IntoIterator<Item = (&'a Arc<str>, f64)>,
{
    let mut members: Vec<(&Arc<str>, f64)> = members.into_iter().collect();
    let largest = members.iter().map(|(_, capacity)| *capacity);
    let least = largest.fold(0.0, f64::max) * OWNER_CAPACITY;
    let large = members.iter().filter(|(_, capacity)| *capacity >= least);
    if large.count() >= MIN_OWNERS {
        members.retain(|(_, capacity)| *capacity >= least);
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
    // Time for which it was last left alone.
    last_ms: u64,
}

/// Owners that didn't answer lately.
#[derive(Debug, Default)]
pub struct UnresponsiveOwners {
    by_instance: BTreeMap<Arc<str>, Suspicion>,
}

impl UnresponsiveOwners {
    /// Notes that an owner didn't answer.
    pub fn record_timeout(&mut self, instance: &Arc<str>, now: TimeMs) {
        let suspicion = self
            .by_instance
            .entry(instance.clone())
            .or_insert(Suspicion {
                deadline_ms: TimeMs::default(),
                last_ms: 0,
            });
        if suspicion.deadline_ms > now {
            // A second question that was asked at the same time.
            return;
        }
        // One that answered in between starts anew.
        let is_again = now.since(suspicion.deadline_ms) < suspicion.last_ms;
        suspicion.last_ms = match is_again {
            true => (suspicion.last_ms * 2).min(SUSPECT_MAX_MS),
            false => SUSPECT_FIRST_MS,
        };
        suspicion.deadline_ms = now.after(suspicion.last_ms);
    }

    /// Returns whether an owner isn't to be asked for now.
    pub fn contains(&self, instance: &str, now: TimeMs) -> bool {
        self.by_instance
            .get(instance)
            .is_some_and(|suspicion| suspicion.deadline_ms > now)
    }
}
