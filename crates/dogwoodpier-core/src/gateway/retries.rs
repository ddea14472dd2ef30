//! The budget of retries.
//!
//! Load pattern: upstreams fail or reject much of what they get, and each failure asks for another
//! send. The budget allows a share of the requests of the last window, plus this instance's part of
//! a fixed allowance, so that the fleet's sum stays bounded without any message.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

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
    /// of instances that share the allowance.
    pub fn take_retry(
        &mut self,
        service: &Arc<str>,
        options: &RetryOptions,
        members: u32,
        now: TimeMs,
    ) -> bool {
        self.part(service, options, now);
        let parts = &self.services[service];
        let requests: u64 = parts.iter().map(|part| part.requests).sum();
        let retries: u64 = parts.iter().map(|part| part.retries).sum();
        let allowed =
            options.ratio * requests as f64 + options.allowance / f64::from(members.max(1));
        if (retries + 1) as f64 > allowed {
            return false;
        }
        self.part(service, options, now).retries += 1;
        true
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
