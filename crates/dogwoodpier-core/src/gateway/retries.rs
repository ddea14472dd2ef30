//! Retry budget.
//!
//! Load pattern: upstreams fail or reject many requests, and each failure causes another attempt.
//! The budget allows a share of the requests of the last window, plus this instance's part of a
//! fixed allowance, so that the total of the fleet stays bounded without any messages. The first
//! prefill of a request counts as a retry only if no engine accepts it, which is known only
//! afterwards. It is therefore charged while it is in flight, and a part of the budget is reserved
//! for such prefills. Once the budget is used up, decode engines process prompts themselves.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::routes::Route;

/// Fraction of an engine service's budget that is reserved for rejected prefills. It is small
/// because prefills are rejected far less often than decodes.
pub const PREFILL_RESERVE: f64 = 0.25;

// The counts of a window are kept in this many buckets.
const BUCKETS_PER_WINDOW: u64 = 10;

/// Limits of the retry budget.
#[plain]
#[derive(Copy)]
pub struct RetryOptions {
    /// Retries allowed per request of the window.
    pub ratio: f64,
    /// Additional retries allowed in a window to the whole fleet together.
    pub allowance: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// Attempts to run one request so far.
#[plain]
#[derive(Copy, Default, Eq)]
pub struct Attempts {
    /// Upstreams that have run the request or may have run it.
    pub runs: u32,
    /// Sends to upstreams that would answer it.
    pub sends: u32,
    /// Sends to engines that only prefill it.
    pub prefills: u32,
}

impl Attempts {
    /// Returns whether a request of a route may be sent again: always while it certainly has not
    /// run, and otherwise up to the route's limit if it is idempotent.
    pub fn may_retry(&self, route: &Route) -> bool {
        self.runs == 0 || (route.retry_policy.is_idempotent() && self.runs < route.max_attempts)
    }

    /// Returns whether the next send takes a retry out of the budget, which holds for every send
    /// after the first, even if the one before was rejected.
    pub fn send_costs_retry(&self) -> bool {
        self.sends > 0
    }

    /// Returns whether the next prefill takes a retry out of the budget.
    pub fn prefill_costs_retry(&self) -> bool {
        self.prefills > 0
    }
}

#[derive(Debug, Default)]
struct WindowBucket {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Counts of requests and retries in the last window, by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<Arc<str>, VecDeque<WindowBucket>>,
}

impl RetryBudget {
    /// Counts a client's request to a service.
    pub fn count_request(&mut self, service: &Arc<str>, options: &RetryOptions, now: TimeMs) {
        self.current_bucket(service, options, now).requests += 1;
    }

    /// Takes one retry out of the budget, or returns `false` if none is left. `members` is the
    /// number of instances that share the allowance. `reserved_fraction`, from 0 to 1, is the part
    /// of the budget that is reserved, rounded down to whole retries, for sends that turn out to be
    /// retries only afterwards.
    pub fn take_retry(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        reserved_fraction: f64,
        now: TimeMs,
    ) -> bool {
        let (taken, allowed) = self.usage(service, options, members, now);
        if taken + 1.0 > allowed - (allowed * reserved_fraction).floor() {
            return false;
        }
        self.charge(service, options, now);
        true
    }

    fn charge(&mut self, service: &Arc<str>, options: &RetryOptions, now: TimeMs) {
        self.current_bucket(service, options, now).retries += 1;
    }

    /// Refunds a retry that was taken for a prefill which was accepted.
    pub fn refund(&mut self, service: &Arc<str>) {
        let buckets = self.services.get_mut(service).into_iter().flatten();
        if let Some(bucket) = buckets.rev().find(|bucket| bucket.retries > 0) {
            bucket.retries -= 1;
        }
    }

    /// Takes a retry for a prefill, or returns `false` if nothing is left. A fraction of a retry is
    /// enough: an instance of a large fleet often has less than a whole one.
    pub fn take_prefill_retry(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        now: TimeMs,
    ) -> bool {
        let (taken, allowed) = self.usage(service, options, members, now);
        if taken >= allowed {
            return false;
        }
        self.charge(service, options, now);
        true
    }

    // Returns the number of retries taken in the window and the number allowed.
    fn usage(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        now: TimeMs,
    ) -> (f64, f64) {
        self.current_bucket(service, options, now);
        let buckets = &self.services[service];
        let requests: u64 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed =
            options.ratio * requests as f64 + options.allowance / f64::from(members.max(1));
        (retries as f64, allowed)
    }

    fn current_bucket(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        now: TimeMs,
    ) -> &mut WindowBucket {
        let index = now.0 / (options.window_ms / BUCKETS_PER_WINDOW).max(1);
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets
            .front()
            .is_some_and(|bucket| bucket.index + BUCKETS_PER_WINDOW <= index)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.index != index) {
            buckets.push_back(WindowBucket {
                index,
                ..WindowBucket::default()
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
