//! The line of requests that wait for a free slot.
//!
//! Load pattern: a burst brings twice what the engines can take, for some seconds. Requests that can
//! still be on time go first, the most urgent and then the earliest objective before the others;
//! those that can't go only when no other waits. A request that can't be on time is told so at
//! once and comes back when the line has moved on, unless it has come back already: then it waits
//! for any free slot, since a late answer is worth more to its caller than none.

use dogwoodpier_derive::plain;

use crate::TimeMs;

// Weight of a new observation in an average.
const SMOOTHING: f64 = 0.1;
// Pace that is assumed before any was observed.
const FIRST_INTERVAL_MS: f64 = 50.0;
// Longest wait that is announced to a caller.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
const MIN_RETRY_AFTER_MS: u64 = 500;

/// A request in the line.
#[plain]
#[derive(Copy, Eq)]
pub struct Waiter {
    /// Identifies the request in this line.
    pub ticket: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Latest time to get a slot for an answer that is on time.
    pub on_time_deadline_ms: TimeMs,
    /// Time at which the request leaves the line without a slot.
    pub queue_deadline_ms: TimeMs,
}

/// What a new request is to do.
#[plain]
#[derive(Copy, Eq)]
pub enum Enqueue {
    /// Join the line.
    Queued,
    /// Refuse.
    Rejected {
        /// Time after which the caller should come back.
        retry_after_ms: u64,
    },
}

/// The line of one service.
#[derive(Debug)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
    interval_ms: f64,
    last_grant_ms: Option<TimeMs>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            interval_ms: FIRST_INTERVAL_MS,
            last_grant_ms: None,
        }
    }
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the wait that a request with a priority can expect.
    pub fn expected_wait_ms(&self, priority: u8, now: TimeMs) -> u64 {
        let ahead = self
            .waiters
            .iter()
            .filter(|waiter| waiter.priority <= priority && waiter.on_time_deadline_ms > now)
            .count();
        ((ahead + 1) as f64 * self.interval_ms) as u64
    }

    /// Decides on a request that found no free slot. `returned` tells that it was refused before;
    /// `spread` is a uniform random number from 0 to 1.
    pub fn enqueue(&mut self, waiter: Waiter, returned: bool, spread: f64, now: TimeMs) -> Enqueue {
        let expected_ms = self.expected_wait_ms(waiter.priority, now);
        let on_time = now.after(expected_ms) <= waiter.on_time_deadline_ms;
        let fits = now.after(expected_ms) <= waiter.queue_deadline_ms;
        if on_time || (returned && fits) {
            self.waiters.push(waiter);
            return Enqueue::Queued;
        }
        Enqueue::Rejected {
            retry_after_ms: self.retry_after_ms(spread),
        }
    }

    /// Returns when a refused caller should come back: after the line has moved on, spread so that
    /// refused callers don't return together.
    pub fn retry_after_ms(&self, spread: f64) -> u64 {
        let line_ms = (self.waiters.len() + 1) as f64 * self.interval_ms;
        let after_ms = (line_ms * (1.0 + spread) + spread * 2_000.0) as u64;
        after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Returns the request that gets the next free slot, without removing it.
    pub fn peek(&self, now: TimeMs) -> Option<&Waiter> {
        self.waiters.iter().min_by_key(|waiter| {
            let late = waiter.on_time_deadline_ms < now;
            (
                late,
                waiter.priority,
                waiter.on_time_deadline_ms,
                waiter.ticket,
            )
        })
    }

    /// Removes a request that got a slot.
    pub fn dequeue(&mut self, ticket: u64, now: TimeMs) {
        if !self.remove(ticket) {
            return;
        }
        if let Some(last_ms) = self.last_grant_ms {
            // A pause in which nothing waited says nothing about the pace.
            let interval_ms = (now.since(last_ms) as f64).min(self.interval_ms * 4.0);
            self.interval_ms += SMOOTHING * (interval_ms - self.interval_ms);
        }
        self.last_grant_ms = (!self.waiters.is_empty()).then_some(now);
    }

    /// Removes a request that leaves without a slot. Returns whether it was there.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        before != self.waiters.len()
    }
}
