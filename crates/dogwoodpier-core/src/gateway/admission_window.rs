//! Adaptive limit on the requests that one instance has at the upstreams of a plain service.
//!
//! Load pattern: for some seconds, a burst brings more requests than the upstreams of a service can
//! take. Their own queues fill and they reject requests, although each of tens to hundreds of
//! instances sends only a few requests a second. An instance that learns from its own rejections
//! alone learns too slowly. It therefore starts from its share of the slots, and adjusts that by what
//! its own requests show. A share below one request sets a pace for the sends. Requests above the
//! window wait at the instance, where they are ordered, instead of at the upstreams.
//!
//! While no upstream rejects requests and none wait there, there is no limit.

use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

// Initial window relative to the instance's share, which is too low: some instances have no requests
// to send.
const INITIAL_FACTOR: f64 = 1.5;
// Bounds of the window relative to the share. An instance may have several times as many requests to
// send as the others, and one that was rejected more often by chance must not be shut out.
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 4.0;
// Lower bound of the share, which would be 0 if no upstream is known any more.
const MIN_SHARE: f64 = 0.001;
// Factors of the window after a rejection, and after a response that waited at its upstream. A
// rejection shows that a whole queue of waiting requests has to be drained, a late response that
// half of it is used.
const REJECTED_FACTOR: f64 = 0.5;
const WAITED_FACTOR: f64 = 0.8;
// Growth with a response that didn't wait, in shares. In the replay of a burst, 0.2 left capacity unused
// (166 of 18,800 requests got no response in time, 98 with 0.4), and 0.8 brought 228 rejections instead
// of 130.
const GROWTH: f64 = 0.3;
// Part of the latency objective that a request may spend at its upstream. The other part is for the
// queue at the instance, which is ordered.
const UPSTREAM_FRACTION: f64 = 0.5;
// Part of the objective from which on a response shows that the limit is needed. It is higher than
// the part that the limit aims at, so that a short wait changes nothing.
const START_FRACTION: f64 = 0.7;
// Response time relative to the usual one from which on a request has waited at its upstream.
const WAITED_LATENCY_FACTOR: f64 = 2.0;
// Time without a sign of overload after which the limit ends. Rejected callers return within a third
// of their time, so those of the longest chain of rejections are back within about this time.
const CALM_MS: u64 = 2_000;
// Weight of a new observation in the average response time.
const SMOOTHING: f64 = 0.1;
// Average response time assumed before the first response.
const INITIAL_LATENCY_MS: f64 = 30.0;
// Requests that a workspace within its share may send ahead of the window or of its pace. Those that
// are sent later make up for them.
const SHARE_ADVANCE: f64 = 1.0;
// Upstreams that are remembered as rejecting. More of them would be incarnations that are gone.
const MAX_REJECTING: usize = 1_024;

/// What is known of the upstreams of a service.
#[plain]
#[derive(Copy)]
pub struct ServiceCapacity {
    /// Slots of the available upstreams for each instance.
    pub slots_per_instance: f64,
    /// Whether all instances together have at least as many requests there as there are slots.
    pub is_busy: bool,
}

/// Why the limit of a service has started.
#[plain]
#[derive(Copy, Eq)]
pub enum Cause {
    /// An upstream rejected a request as full.
    Rejected,
    /// A request waited at an upstream.
    Waited,
}

/// The requests that an instance may have at the upstreams of one service.
#[derive(Debug, Default)]
pub struct Window {
    limit: Option<Limit>,
    // Average response time while there was no limit.
    usual_latency_ms: Option<f64>,
    // Upstreams that have rejected a request and have answered none since.
    rejecting: BTreeSet<Arc<str>>,
}

#[derive(Debug)]
struct Limit {
    // Requests at the upstreams at which the response time is the target, if all instances have as
    // many.
    share: f64,
    // Window relative to the share.
    factor: f64,
    target_ms: f64,
    // Average response time.
    latency_ms: f64,
    // Requests that were sent before this time say nothing about the window in force.
    reduced_ms: TimeMs,
    // Time of the last sign of overload.
    pressed_ms: TimeMs,
    // Sends that the pace allows, at most one; negative after sends in advance.
    credit: f64,
    credited_ms: TimeMs,
}

impl Limit {
    fn window(&self) -> f64 {
        self.share * self.factor
    }

    fn reduce(&mut self, factor: f64, sent_ms: TimeMs, now: TimeMs) {
        self.pressed_ms = now;
        if sent_ms >= self.reduced_ms {
            self.earn_credit(now);
            self.factor = (self.factor * factor).max(MIN_FACTOR);
            self.reduced_ms = now;
        }
    }

    fn grow(&mut self, now: TimeMs) {
        self.earn_credit(now);
        self.factor = (self.factor + GROWTH).min(MAX_FACTOR);
    }

    fn interval_ms(&self) -> f64 {
        self.target_ms / self.window()
    }

    fn credit_at(&self, now: TimeMs) -> f64 {
        let earned = now.since(self.credited_ms) as f64 / self.interval_ms();
        (self.credit + earned).min(1.0)
    }

    // Adds the credit earned at the pace that ends now.
    fn earn_credit(&mut self, now: TimeMs) {
        self.credit = self.credit_at(now);
        self.credited_ms = now;
    }
}

impl Window {
    /// Returns the window, if there is a limit.
    pub fn size(&self) -> Option<f64> {
        self.limit.as_ref().map(Limit::window)
    }

    /// Returns the expected time from a send to the response.
    pub fn latency_ms(&self) -> f64 {
        match &self.limit {
            Some(limit) => limit.latency_ms,
            None => self.usual_ms(),
        }
    }

    /// Returns the expected time between two sends, 0 without a limit.
    pub fn interval_ms(&self) -> f64 {
        self.limit.as_ref().map_or(0.0, Limit::interval_ms)
    }

    /// Ends the limit if there has been no sign of overload for some time. Returns whether it did.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        let is_calm = |limit: &Limit| now.since(limit.pressed_ms) >= CALM_MS;
        let ends = self.limit.as_ref().is_some_and(is_calm);
        if ends {
            self.limit = None;
        }
        ends
    }

    /// Records that an upstream rejected a request as full, which was sent at `sent_ms` and has a
    /// latency objective. Returns the cause if the limit starts.
    ///
    /// An upstream that rejects again without having answered is ignored: a full upstream answers
    /// all the time, and one that rejects everything although it is idle must not stop the others.
    pub fn record_full<C>(
        &mut self,
        upstream: &Arc<str>,
        objective_ms: u64,
        sent_ms: TimeMs,
        capacity: C,
        now: TimeMs,
    ) -> Option<Cause>
    where
        C: FnOnce() -> ServiceCapacity,
    {
        if self.rejecting.len() >= MAX_REJECTING {
            self.rejecting.clear();
        }
        if !self.rejecting.insert(upstream.clone()) {
            return None;
        }
        match &mut self.limit {
            Some(limit) => {
                limit.reduce(REJECTED_FACTOR, sent_ms, now);
                None
            }
            None => {
                self.start(capacity(), objective_ms, now);
                Some(Cause::Rejected)
            }
        }
    }

    /// Records a response to a request that was sent at `sent_ms` and has a latency objective.
    /// Returns the cause if the limit starts.
    pub fn record_answer<C>(
        &mut self,
        upstream: &Arc<str>,
        objective_ms: u64,
        sent_ms: TimeMs,
        capacity: C,
        now: TimeMs,
    ) -> Option<Cause>
    where
        C: FnOnce() -> ServiceCapacity,
    {
        self.rejecting.remove(upstream);
        let elapsed_ms = now.since(sent_ms) as f64;
        let target_ms = self.target_ms(objective_ms);
        if let Some(limit) = &mut self.limit {
            limit.latency_ms += SMOOTHING * (elapsed_ms - limit.latency_ms);
            if elapsed_ms > target_ms {
                limit.reduce(WAITED_FACTOR, sent_ms, now);
            } else if sent_ms >= limit.reduced_ms {
                limit.grow(now);
            }
            return None;
        }
        if elapsed_ms > target_ms && elapsed_ms > objective_ms as f64 * START_FRACTION {
            let capacity = capacity();
            if capacity.is_busy {
                self.start(capacity, objective_ms, now);
                return Some(Cause::Waited);
            }
        }
        let average_ms = self.usual_latency_ms.get_or_insert(elapsed_ms);
        *average_ms += SMOOTHING * (elapsed_ms - *average_ms);
        None
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: TimeMs) {
        if let Some(limit) = &mut self.limit {
            limit.earn_credit(now);
            limit.credit = (limit.credit - 1.0).max(-SHARE_ADVANCE);
        }
    }

    /// Returns whether a request may be sent while `in_flight` others are at the upstreams.
    /// `within_share` means that its workspace uses no more than its share.
    pub fn may_send(&self, in_flight: usize, within_share: bool, now: TimeMs) -> bool {
        in_flight < self.room(within_share) && self.pace_ms(within_share, now) == 0
    }

    /// Returns the number of requests that may be at the upstreams at the same time.
    pub fn room(&self, within_share: bool) -> usize {
        let Some(limit) = &self.limit else {
            return usize::MAX;
        };
        (limit.window().max(1.0) + advance(within_share)) as usize
    }

    /// Returns the time until the pace allows a send; 0 while the window is at least one request, as
    /// the responses then set the pace.
    pub fn pace_ms(&self, within_share: bool, now: TimeMs) -> u64 {
        let Some(limit) = self.limit.as_ref().filter(|limit| limit.window() < 1.0) else {
            return 0;
        };
        let missing = 1.0 - advance(within_share) - limit.credit_at(now);
        (missing.max(0.0) * limit.interval_ms()).ceil() as u64
    }

    fn start(&mut self, capacity: ServiceCapacity, objective_ms: u64, now: TimeMs) {
        let target_ms = self.target_ms(objective_ms);
        let share = capacity.slots_per_instance * target_ms / self.usual_ms();
        self.limit = Some(Limit {
            share: share.max(MIN_SHARE),
            factor: INITIAL_FACTOR,
            target_ms,
            latency_ms: self.usual_ms(),
            reduced_ms: now,
            pressed_ms: now,
            credit: 1.0,
            credited_ms: now,
        });
    }

    fn usual_ms(&self) -> f64 {
        self.usual_latency_ms.unwrap_or(INITIAL_LATENCY_MS).max(1.0)
    }

    // Returns the response time above which a request has waited at its upstream.
    fn target_ms(&self, objective_ms: u64) -> f64 {
        (objective_ms as f64 * UPSTREAM_FRACTION).max(self.usual_ms() * WAITED_LATENCY_FACTOR)
    }
}

fn advance(within_share: bool) -> f64 {
    match within_share {
        true => SHARE_ADVANCE,
        false => 0.0,
    }
}
