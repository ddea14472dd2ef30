//! The budget of retries.
//!
//! Load pattern: upstreams fail or reject much of what they get, and each failure asks for another
//! send. The budget allows a share of the requests of the last window, plus this instance's part of
//! a fixed allowance, so that the fleet's sum stays bounded without any message. The first prefill of
//! a request is no retry unless no engine accepts it, which is known only afterwards: it is charged
//! while it is under way, a part of the budget stays for these, and once it is used up, engines read
//! prompts themselves.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::routes::Route;

/// Part of an engine service's budget that stays for rejected prefills: a quarter, as a prefill is
/// rejected far less often than a decode.
pub const PREFILL_RESERVE: f64 = 0.25;

// Counts are kept by this many parts of a window.
const PARTS: u64 = 10;

/// Bounds of the budget.
#[plain]
#[derive(Copy)]
pub struct RetryOptions {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in a window besides, by the whole fleet.
    pub allowance: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// What was sent of one request so far.
#[plain]
#[derive(Copy, Default, Eq)]
pub struct Attempts {
    /// Upstreams that have run it or may have.
    pub runs: u32,
    /// Sends to upstreams that answer it.
    pub sends: u32,
    /// Sends to engines that only prefill it.
    pub prefills: u32,
}

impl Attempts {
    /// Returns whether a request of a route may be sent again: while it certainly hasn't run, or as
    /// often as the route allows if it may run more than once.
    pub fn may_retry(&self, route: &Route) -> bool {
        self.runs == 0 || (route.retry_policy.is_idempotent() && self.runs < route.max_attempts)
    }

    /// Returns whether the next send takes a retry out of the budget, also if the one before was
    /// rejected.
    pub fn send_costs_retry(&self) -> bool {
        self.sends > 0
    }

    /// Returns whether the next prefill takes a retry out of the budget.
    pub fn prefill_costs_retry(&self) -> bool {
        self.prefills > 0
    }
}

#[derive(Debug, Default)]
struct Part {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Requests and retries of the last window, by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<Arc<str>, VecDeque<Part>>,
}

impl RetryBudget {
    /// Counts a request of a client for a service.
    pub fn count_request(&mut self, service: &Arc<str>, options: &RetryOptions, now: TimeMs) {
        self.part(service, options, now).requests += 1;
    }

    /// Takes one retry out of the budget, or returns false if none is left. `members` is the number
    /// of instances that share the allowance. `kept` is the part of the budget, from 0 to 1, that
    /// stays, in whole retries, for sends which turn out to be retries only afterwards.
    pub fn take_retry(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        kept: f64,
        now: TimeMs,
    ) -> bool {
        let (taken, allowed) = self.level(service, options, members, now);
        if taken + 1.0 > allowed - (allowed * kept).floor() {
            return false;
        }
        self.charge(service, options, now);
        true
    }

    fn charge(&mut self, service: &Arc<str>, options: &RetryOptions, now: TimeMs) {
        self.part(service, options, now).retries += 1;
    }

    /// Gives back a retry that was taken for a prefill which was accepted.
    pub fn refund(&mut self, service: &Arc<str>) {
        let parts = self.services.get_mut(service).into_iter().flatten();
        if let Some(part) = parts.rev().find(|part| part.retries > 0) {
            part.retries -= 1;
        }
    }

    /// Takes a retry for a prefill, or returns false if nothing is left. Any part of one will do: an
    /// instance of a large fleet often has less than a whole one.
    pub fn take_prefill_retry(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        now: TimeMs,
    ) -> bool {
        let (taken, allowed) = self.level(service, options, members, now);
        if taken >= allowed {
            return false;
        }
        self.charge(service, options, now);
        true
    }

    // Returns the retries taken in the window and those allowed.
    fn level(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        now: TimeMs,
    ) -> (f64, f64) {
        self.part(service, options, now);
        let parts = &self.services[service];
        let requests: u64 = parts.iter().map(|part| part.requests).sum();
        let retries: u64 = parts.iter().map(|part| part.retries).sum();
        let allowed =
            options.ratio * requests as f64 + options.allowance / f64::from(members.max(1));
        (retries as f64, allowed)
    }

    fn part(&mut self, service: &Arc<str>, options: &RetryOptions, now: TimeMs) -> &mut Part {
        let number = now.0 / (options.window_ms / PARTS).max(1);
        let parts = self.services.entry(service.clone()).or_default();
        while parts
            .front()
            .is_some_and(|part| part.number + PARTS <= number)
        {
            parts.pop_front();
        }
        if parts.back().is_none_or(|part| part.number != number) {
            parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
