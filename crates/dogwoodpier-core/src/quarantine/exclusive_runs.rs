//! Turns of suspects, given out by one node for the fleet.

use std::collections::BTreeMap;

use dogwoodpier_derive::key;
use dogwoodpier_derive::plain;

use crate::TimeMs;

/// What only one request in the fleet may have at a time.
#[key]
pub enum ExclusiveRun {
    /// To be the only running copy of a request.
    OneCopy(u64),
    /// To be the only suspect that runs alone.
    Alone,
}

/// The turns that this node gives out.
#[plain]
#[derive(Default)]
pub struct ExclusiveRuns {
    queues: BTreeMap<ExclusiveRun, Vec<Waiting>>,
}

// The first of a queue has the turn.
#[plain]
struct Waiting {
    turn_id: u64,
    deadline_ms: TimeMs,
}

impl ExclusiveRuns {
    /// Asks for a turn, or to keep it: the first who asked has it. Whoever has not asked again for
    /// `keep_ms` is out.
    pub fn acquire(&mut self, turn: ExclusiveRun, turn_id: u64, keep_ms: u64, now: TimeMs) -> bool {
        let queue = self.queues.entry(turn).or_default();
        queue.retain(|waiting| waiting.deadline_ms > now);
        let deadline_ms = now.after(keep_ms);
        match queue.iter_mut().find(|waiting| waiting.turn_id == turn_id) {
            Some(waiting) => waiting.deadline_ms = deadline_ms,
            None => queue.push(Waiting {
                turn_id,
                deadline_ms,
            }),
        }
        queue.first().is_some_and(|first| first.turn_id == turn_id)
    }

    /// Gives a turn back, or leaves its queue.
    pub fn release(&mut self, turn: ExclusiveRun, turn_id: u64) {
        if let Some(queue) = self.queues.get_mut(&turn) {
            queue.retain(|waiting| waiting.turn_id != turn_id);
            if queue.is_empty() {
                self.queues.remove(&turn);
            }
        }
    }

    /// Drops those who have not asked for too long.
    pub fn expire(&mut self, now: TimeMs) {
        self.queues.retain(|_, queue| {
            queue.retain(|waiting| waiting.deadline_ms > now);
            !queue.is_empty()
        });
    }

    /// Returns the number of requests that have a turn or wait for one.
    pub fn len(&self) -> usize {
        self.queues.values().map(Vec::len).sum()
    }

    /// Returns whether nobody has a turn or waits for one.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}
