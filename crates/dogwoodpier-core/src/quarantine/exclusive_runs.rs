//! Exclusive runs of suspect requests. One node of the fleet acts as coordinator and grants them.

use std::collections::BTreeMap;

use dogwoodpier_derive::key;
use dogwoodpier_derive::plain;

use crate::TimeMs;

/// An exclusive right to run, granted to one request in the fleet at a time.
#[key]
pub enum ExclusiveRun {
    /// The right to be the only running copy of the request with this fingerprint.
    OneCopy(u64),
    /// The right to be the only suspect that runs alone.
    Alone,
}

/// The exclusive runs that this node grants, with their queues of requesters.
#[plain]
#[derive(Default)]
pub struct ExclusiveRuns {
    queues: BTreeMap<ExclusiveRun, Vec<Requester>>,
}

// The first requester of a queue holds the exclusive run.
#[plain]
struct Requester {
    id: u64,
    deadline_ms: TimeMs,
}

impl ExclusiveRuns {
    /// Requests an exclusive run or renews such a request. Returns whether the requester holds the
    /// run now, which is granted in the order of the first requests. A request that is not renewed
    /// within `keep_ms` expires.
    pub fn acquire(
        &mut self,
        run: ExclusiveRun,
        requester_id: u64,
        keep_ms: u64,
        now: TimeMs,
    ) -> bool {
        let queue = self.queues.entry(run).or_default();
        queue.retain(|requester| requester.deadline_ms > now);
        let deadline_ms = now.after(keep_ms);
        match queue
            .iter_mut()
            .find(|requester| requester.id == requester_id)
        {
            Some(requester) => requester.deadline_ms = deadline_ms,
            None => queue.push(Requester {
                id: requester_id,
                deadline_ms,
            }),
        }
        queue.first().is_some_and(|first| first.id == requester_id)
    }

    /// Releases an exclusive run, or withdraws the request for it from the queue.
    pub fn release(&mut self, run: ExclusiveRun, requester_id: u64) {
        if let Some(queue) = self.queues.get_mut(&run) {
            queue.retain(|requester| requester.id != requester_id);
            if queue.is_empty() {
                self.queues.remove(&run);
            }
        }
    }

    /// Drops all requests that were not renewed in time.
    pub fn expire(&mut self, now: TimeMs) {
        self.queues.retain(|_, queue| {
            queue.retain(|requester| requester.deadline_ms > now);
            !queue.is_empty()
        });
    }

    /// Returns the number of requesters that hold an exclusive run or wait for one.
    pub fn len(&self) -> usize {
        self.queues.values().map(Vec::len).sum()
    }

    /// Returns whether no requester holds an exclusive run or waits for one.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
