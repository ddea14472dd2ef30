//! Queue of the requests of one instance to a plain service that is full.
//!
//! Load pattern: for some seconds, a burst brings more requests than the upstreams of a service can
//! take, most of them from one workspace. A request waits here for as long as its response can still
//! be on time. The order is that of priority, then that of the least recent use by the workspace,
//! and in a workspace that of the deadline, with requests first that were rejected before. Only the
//! first request in this order may be sent. A request that would wait for too long is rejected on
//! arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::admission_window::Cause;
use super::admission_window::ServiceCapacity;
use super::admission_window::Window;
use super::workspace_use::WorkspaceUse;

// Longest time after which a rejected caller is asked to return: the load has changed by then.
const MAX_RETRY_MS: u64 = 600;

/// A request in the queue.
#[plain]
#[derive(Eq)]
pub struct Waiter {
    /// Identifies the request in this queue.
    pub ticket: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace that the request belongs to.
    pub workspace: Arc<str>,
    /// Weight of the workspace.
    pub weight: u32,
    /// Whether the request was rejected before, by the gateway or by an upstream.
    pub was_rejected: bool,
    /// Time at which it leaves the queue if it was not sent: the latest at which it has to be sent
    /// for a response that is on time.
    pub send_deadline_ms: TimeMs,
}

/// Returns the time after which a rejected caller should retry, at most `max_ms`. The times are spread
/// by `jitter`, a uniform random number from 0 to 1, so that callers don't return at the same time.
pub fn retry_after_ms(max_ms: u64, jitter: f64) -> u64 {
    let max_ms = max_ms.min(MAX_RETRY_MS) as f64;
    (max_ms * (1.0 + jitter) / 2.0) as u64
}

/// Result of adding a request to the queue.
#[plain]
#[derive(Copy, Eq)]
pub enum Enqueue {
    /// The request was added to the queue.
    Queued,
    /// The request was rejected and is not in the queue.
    Rejected {
        /// Expected time in the queue.
        expected_ms: u64,
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
}

/// A send of a request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct SendEnd<'a> {
    /// Identifies the request in its queue.
    pub ticket: u64,
    /// Upstream that it was sent to.
    pub upstream: &'a Arc<str>,
    /// Latency objective of the request.
    pub objective_ms: u64,
    /// Time at which it was sent to the upstream.
    pub sent_ms: TimeMs,
}

/// Queue of one service, with the requests that were sent from it.
#[derive(Debug, Default)]
pub struct PlainQueue {
    window: Window,
    uses: WorkspaceUse,
    waiters: Vec<Waiter>,
    // Times at which the requests at the upstreams were sent, by ticket.
    sent: BTreeMap<u64, TimeMs>,
}

impl PlainQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of requests at the upstreams.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Returns the window of the service.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Adds a request to the queue, or rejects it if it can't be sent before its deadline. A request
    /// that can be sent at once is never rejected. `max_retry_ms` is the longest time that the
    /// caller accepts to be asked to wait; `jitter` is a uniform random number from 0 to 1.
    pub fn enqueue(
        &mut self,
        waiter: Waiter,
        max_retry_ms: u64,
        jitter: f64,
        now: TimeMs,
    ) -> Enqueue {
        let expected_ms = self.expected_wait_ms(&waiter, now);
        if expected_ms == 0 || now.after(expected_ms) <= waiter.send_deadline_ms {
            self.waiters.push(waiter);
            return Enqueue::Queued;
        }
        Enqueue::Rejected {
            expected_ms,
            retry_after_ms: retry_after_ms(max_retry_ms, jitter),
        }
    }

    /// Removes the request that may be sent now, if any, and counts it as sent.
    pub fn next(&mut self, now: TimeMs) -> Option<u64> {
        self.expire(now);
        let index = self.first(now)?;
        let first = &self.waiters[index];
        let within_share = self.is_within_share(first, now);
        if !self.window.may_send(self.sent.len(), within_share, now) {
            return None;
        }
        let first = self.waiters.swap_remove(index);
        self.uses.record(&first.workspace, first.weight, now);
        self.window.record_send(now);
        self.sent.insert(first.ticket, now);
        Some(first.ticket)
    }

    /// Returns the time until the first request may be sent because of the time alone, if that is
    /// all that it waits for.
    pub fn next_ms(&self, now: TimeMs) -> Option<u64> {
        let first = &self.waiters[self.first(now)?];
        let within_share = self.is_within_share(first, now);
        let has_room = self.sent.len() < self.window.room(within_share);
        has_room.then(|| self.window.pace_ms(within_share, now))
    }

    /// Returns the requests whose deadlines have passed, which leave the queue.
    pub fn expired(&self, now: TimeMs) -> Vec<u64> {
        let waiters = self.waiters.iter();
        let expired = waiters.filter(|waiter| waiter.send_deadline_ms <= now);
        expired.map(|waiter| waiter.ticket).collect()
    }

    /// Removes a request that leaves the queue without being sent, or that has ended. Returns whether
    /// it was known.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let previous_len = self.waiters.len();
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        let was_sent = self.sent.remove(&ticket).is_some();
        was_sent || previous_len != self.waiters.len()
    }

    /// Records that an upstream rejected a request as full, which was sent at `sent_ms` and has a
    /// latency objective. Returns the cause if the limit starts.
    pub fn record_full<C>(&mut self, end: &SendEnd<'_>, capacity: C, now: TimeMs) -> Option<Cause>
    where
        C: FnOnce() -> ServiceCapacity,
    {
        self.sent.remove(&end.ticket);
        let SendEnd {
            upstream,
            objective_ms,
            sent_ms,
            ..
        } = *end;
        self.window
            .record_full(upstream, objective_ms, sent_ms, capacity, now)
    }

    /// Records a response. Returns the cause if the limit starts.
    pub fn record_answer<C>(&mut self, end: &SendEnd<'_>, capacity: C, now: TimeMs) -> Option<Cause>
    where
        C: FnOnce() -> ServiceCapacity,
    {
        self.sent.remove(&end.ticket);
        let SendEnd {
            upstream,
            objective_ms,
            sent_ms,
            ..
        } = *end;
        self.window
            .record_answer(upstream, objective_ms, sent_ms, capacity, now)
    }

    /// Ends the limit if there has been no sign of overload for some time. Returns whether it did.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        self.window.expire(now)
    }

    fn is_within_share(&self, waiter: &Waiter, now: TimeMs) -> bool {
        self.window.size().is_some() && self.uses.is_within_share(&waiter.workspace, now)
    }

    // Returns the index of the first request.
    fn first(&self, now: TimeMs) -> Option<usize> {
        let keys = self.waiters.iter().map(|waiter| self.key(waiter, now));
        let first = keys.enumerate().min_by(|(_, a), (_, b)| a.cmp_order(b));
        first.map(|(index, _)| index)
    }

    fn key<'a>(&self, waiter: &'a Waiter, now: TimeMs) -> OrderKey<'a> {
        OrderKey {
            used: self.uses.of(&waiter.workspace, now),
            waiter,
        }
    }

    // Returns the expected time in the queue of a request that is added now, if no others follow.
    fn expected_wait_ms(&self, waiter: &Waiter, now: TimeMs) -> u64 {
        let own = self.key(waiter, now);
        let keys = self.waiters.iter().map(|other| self.key(other, now));
        let ahead = keys.filter(|other| other.cmp_order(&own).is_lt()).count();
        let within_share = self.is_within_share(waiter, now);
        let room = self.window.room(within_share);
        let pace_ms = self.window.pace_ms(within_share, now);
        let ahead_ms = (ahead as f64 * self.window.interval_ms()) as u64;
        if self.sent.len() < room {
            return pace_ms + ahead_ms;
        }
        // The responses to the oldest requests have to come first.
        let mut sent: Vec<TimeMs> = self.sent.values().copied().collect();
        sent.sort_unstable();
        let missing = self.sent.len() - room;
        let answered_ms = sent[missing].after(self.window.latency_ms() as u64);
        // An answer that is overdue may come at any moment.
        answered_ms.remaining(now).max(pace_ms).max(1) + ahead_ms
    }
}

struct OrderKey<'a> {
    used: f64,
    waiter: &'a Waiter,
}

impl OrderKey<'_> {
    fn cmp_order(&self, other: &Self) -> std::cmp::Ordering {
        let rest = |waiter: &Waiter| (!waiter.was_rejected, waiter.send_deadline_ms, waiter.ticket);
        self.waiter
            .priority
            .cmp(&other.waiter.priority)
            .then(self.used.total_cmp(&other.used))
            .then_with(|| rest(self.waiter).cmp(&rest(other.waiter)))
    }
}
