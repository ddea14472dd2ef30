//! Reports that instances exchange as soon as they know of each other, without waiting for the next
//! heartbeat.
//!
//! Load pattern: all instances of a fleet start at once. An owner that has heard from few of them uses
//! a small part of each quota, and heartbeats of large fleets are seconds apart. An instance that reads
//! the registration of another incarnation therefore sends it a report at once, and one that receives the
//! first report of an incarnation answers with its own. Both are ordinary reports, so an instance of an
//! earlier build understands them. Each pair of incarnations exchanges them once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

// Incarnations of a peer that are remembered. While processes of two incarnations run under one name,
// their reports alternate; with a single one, two such pairs would answer each other without end.
const MAX_INCARNATIONS: usize = 4;

/// Which incarnations of peers have been sent a report, and which addresses are to be sent one.
#[derive(Debug)]
pub struct Greetings<A> {
    // Incarnations of each peer that were sent a report outside of heartbeats, the oldest first.
    greeted: BTreeMap<Arc<str>, Vec<u64>>,
    waiting: BTreeSet<A>,
}

impl<A> Default for Greetings<A> {
    fn default() -> Self {
        Self {
            greeted: BTreeMap::new(),
            waiting: BTreeSet::new(),
        }
    }
}

impl<A> Greetings<A>
where
    A: Copy + Ord,
{
    /// Records that an incarnation of a peer is known, at an address. Returns whether this is news, so
    /// that the address is to be sent a report.
    pub fn record_peer(&mut self, instance: &Arc<str>, incarnation: u64, address: A) -> bool {
        let greeted = self.greeted.entry(instance.clone()).or_default();
        if greeted.contains(&incarnation) {
            return false;
        }
        if greeted.len() == MAX_INCARNATIONS {
            greeted.remove(0);
        }
        greeted.push(incarnation);
        self.waiting.insert(address);
        true
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, instance: &str) {
        self.greeted.remove(instance);
    }

    /// Takes up to `count` addresses that are to be sent a report.
    pub fn take(&mut self, count: usize) -> Vec<A> {
        let batch: Vec<A> = self.waiting.iter().copied().take(count).collect();
        for address in &batch {
            self.waiting.remove(address);
        }
        batch
    }
}
