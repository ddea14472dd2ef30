//! Queue of requests that wait for a free slot.
//!
//! Load pattern: for some seconds, a burst brings twice the load that the engines can take.
//! Requests that can still be answered on time are served first, ordered by priority and then by
//! the deadline for an answer on time. Requests that are already late are served only when no other
//! request waits. A request that cannot be answered on time is rejected at once, so that its caller
//! retries when the queue has advanced. If it has been rejected before, it waits for any free slot,
//! since a late answer is worth more to its caller than none.

use dogwoodpier_derive::plain;

use crate::TimeMs;

// Weight of a new observation in an average.
const SMOOTHING: f64 = 0.1;
// Interval between two grants of a slot that is assumed before any was observed.
const INITIAL_GRANT_INTERVAL_MS: f64 = 50.0;
// Longest and shortest time after which a rejected caller is asked to retry.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
const MIN_RETRY_AFTER_MS: u64 = 500;

/// A request in the queue.
#[plain]
#[derive(Copy, Eq)]
pub struct Waiter {
    /// Identifies the request in this queue.
    pub ticket: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latest time at which the request has to get a slot to be answered on time.
    pub on_time_deadline_ms: TimeMs,
    /// Time at which the request leaves the queue if it has got no slot.
    pub queue_deadline_ms: TimeMs,
}

/// Result of adding a request to the queue.
#[plain]
#[derive(Copy, Eq)]
pub enum Enqueue {
    /// The request was added to the queue.
    Queued,
    /// The request was rejected and is not in the queue.
    Rejected {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// Queue of one service.
#[derive(Debug)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
    grant_interval_ms: f64,
    // The rate limits of the engines allow no shorter interval.
    min_grant_interval_ms: f64,
    last_grant_ms: Option<TimeMs>,
}

impl Default for WaitQueue {
    fn default() -> Self {
        Self {
            waiters: Vec::new(),
            grant_interval_ms: INITIAL_GRANT_INTERVAL_MS,
            min_grant_interval_ms: 0.0,
            last_grant_ms: None,
        }
    }
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Sets the shortest interval between two grants that the rate limits of all engines together
    /// allow, 0 without limits.
    pub fn set_min_grant_interval(&mut self, interval_ms: f64) {
        self.min_grant_interval_ms = interval_ms;
    }

    // Returns the expected interval between two grants.
    fn expected_interval_ms(&self) -> f64 {
        self.grant_interval_ms.max(self.min_grant_interval_ms)
    }

    /// Returns the expected waiting time of a new request with a priority.
    pub fn expected_wait_ms(&self, priority: u8, now: TimeMs) -> u64 {
        let ahead = self
            .waiters
            .iter()
            .filter(|waiter| waiter.priority <= priority && waiter.on_time_deadline_ms > now)
            .count();
        ((ahead + 1) as f64 * self.expected_interval_ms()) as u64
    }

    /// Adds a request that found no free slot to the queue, or rejects it. `was_rejected` states
    /// whether the request was rejected before and sent again; `jitter` is a uniform random number
    /// from 0 to 1.
    pub fn enqueue(
        &mut self,
        waiter: Waiter,
        was_rejected: bool,
        jitter: f64,
        now: TimeMs,
    ) -> Enqueue {
        let expected_ms = self.expected_wait_ms(waiter.priority, now);
        let is_on_time = now.after(expected_ms) <= waiter.on_time_deadline_ms;
        let gets_slot = now.after(expected_ms) <= waiter.queue_deadline_ms;
        if is_on_time || (was_rejected && gets_slot) {
            self.waiters.push(waiter);
            return Enqueue::Queued;
        }
        Enqueue::Rejected {
            retry_after_ms: self.retry_after_ms(jitter),
        }
    }

    /// Returns the time after which a rejected caller should retry: when the queue has advanced,
    /// spread by `jitter`, from 0 to 1, so that rejected callers do not retry at the same time.
    pub fn retry_after_ms(&self, jitter: f64) -> u64 {
        let queue_ms = (self.waiters.len() + 1) as f64 * self.expected_interval_ms();
        let after_ms = (queue_ms * (1.0 + jitter) + jitter * 2_000.0) as u64;
        after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Returns the request that gets the next free slot, without removing it from the queue.
    pub fn peek(&self, now: TimeMs) -> Option<&Waiter> {
        self.waiters.iter().min_by_key(|waiter| {
            let is_late = waiter.on_time_deadline_ms < now;
            (
                is_late,
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
            // The interval is limited, because a pause in which no request waited says nothing
            // about how fast slots become free.
            let grant_interval_ms = (now.since(last_ms) as f64).min(self.grant_interval_ms * 4.0);
            self.grant_interval_ms += SMOOTHING * (grant_interval_ms - self.grant_interval_ms);
        }
        self.last_grant_ms = (!self.waiters.is_empty()).then_some(now);
    }

    /// Removes a request that leaves the queue without a slot. Returns whether it was queued.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let previous_len = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        previous_len != self.waiters.len()
    }
}
