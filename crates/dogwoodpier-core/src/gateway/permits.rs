//! Permits to send requests to upstreams that have named a rate limit.
//!
//! Load pattern: an upstream accepts a few requests per second from all instances together, while
//! hundreds of instances have requests for it. A share of the limit for each instance would often be
//! less than one request and would lie unused at instances without requests. One instance, the
//! owner, therefore holds a token bucket for the upstream and issues a permit for each request. A
//! request that can wait gets a permit for a later time, so that requests are sent in the order in
//! which they asked, without polling. Instances may disagree on the owner, as one that answers slowly
//! is slow for some of them only. Issuers therefore notify each other of the permits that they issue.
//! An owner that receives reports from only a part of the fleet may not be the only owner, and issues
//! the corresponding part of the permits.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::quota::Membership;
use super::token_bucket::BucketRate;
use super::token_bucket::TokenBucket;

// Time whose permits may be used at once.
const BURST_MS: f64 = 250.0;
// The same for cold upstreams. In any second they must get less than 1.5 times their rate and 5
// requests, and a permit may be used up to a quarter of a second after it was issued.
const COLD_BURST_MS: f64 = 50.0;
// Lowest and highest rate. Without a request now and then, nobody would notice the end of a limit
// of 0.
const MIN_RATE_PER_S: f64 = 0.25;
const MAX_RATE_PER_S: f64 = 1_000_000.0;

/// Decision on whether a request may be sent to an upstream.
#[wire]
#[derive(Copy, Eq)]
pub enum PermitDecision {
    /// It may be sent after a time.
    Granted {
        /// Time to wait.
        wait_ms: u64,
    },
    /// It can't be sent in the time that it can wait.
    Denied {
        /// Time until the next permit, if no other is issued.
        retry_after_ms: u64,
    },
}

/// Limit on the requests that an upstream is sent by all instances together.
#[plain]
#[derive(Copy)]
pub struct SendLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Whether the upstream is cold, or was until recently.
    pub is_cold: bool,
}

impl SendLimit {
    /// Returns the limit of a cold upstream.
    pub fn cold(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            is_cold: true,
        }
    }

    /// Returns the limit with the lower rate of this one and another one.
    pub fn lower(self, other: Self) -> Self {
        Self {
            rate_per_s: self.rate_per_s.min(other.rate_per_s),
            is_cold: self.is_cold || other.is_cold,
        }
    }
}

impl From<f64> for SendLimit {
    /// Returns the limit that an upstream has named.
    fn from(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            is_cold: false,
        }
    }
}

/// The buckets of the upstreams for which this instance issues permits.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: BTreeMap<Arc<str>, TokenBucket>,
}

impl Permits {
    /// Issues a permit that is valid after at most `max_wait_ms`, or denies it. `limit` is the limit of
    /// the upstream.
    pub fn request<L>(
        &mut self,
        upstream: &Arc<str>,
        limit: L,
        max_wait_ms: u64,
        membership: Membership,
        now: TimeMs,
    ) -> PermitDecision
    where
        L: Into<SendLimit>,
    {
        let rate = bucket_rate(limit.into(), membership);
        let bucket = self.refilled(upstream, rate, now);
        let wait_ms = wait_for_permit_ms(bucket, rate);
        if wait_ms > max_wait_ms {
            return PermitDecision::Denied {
                retry_after_ms: wait_ms,
            };
        }
        bucket.take(1.0);
        PermitDecision::Granted { wait_ms }
    }

    /// Returns whether a permit for an upstream is available now. True if none has been requested
    /// before.
    pub fn is_available<L>(
        &self,
        upstream: &str,
        limit: L,
        membership: Membership,
        now: TimeMs,
    ) -> bool
    where
        L: Into<SendLimit>,
    {
        let rate = bucket_rate(limit.into(), membership);
        self.buckets.get(upstream).is_none_or(|bucket| {
            let mut bucket = bucket.clone();
            bucket.refill(rate, now);
            wait_for_permit_ms(&bucket, rate) == 0
        })
    }

    /// Records that another instance has issued a permit: for a time, some instances may ask the
    /// owner and others its successor.
    pub fn record_issued<L>(
        &mut self,
        upstream: &Arc<str>,
        limit: L,
        membership: Membership,
        now: TimeMs,
    ) where
        L: Into<SendLimit>,
    {
        let rate = bucket_rate(limit.into(), membership);
        self.refilled(upstream, rate, now).take(1.0);
    }

    // Returns the bucket of an upstream. A new one is empty, as it is not known what was sent before.
    fn refilled(&mut self, upstream: &Arc<str>, rate: BucketRate, now: TimeMs) -> &mut TokenBucket {
        let bucket = self
            .buckets
            .entry(upstream.clone())
            .or_insert_with(|| TokenBucket::empty(now));
        bucket.refill(rate, now);
        bucket
    }

    /// Removes the bucket of an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.buckets.remove(upstream);
    }
}

// Returns the time until a bucket holds a whole permit.
fn wait_for_permit_ms(bucket: &TokenBucket, rate: BucketRate) -> u64 {
    let missing = (1.0 - bucket.level()).max(0.0);
    (missing / rate.units_per_ms).ceil() as u64
}

/// Returns the rate at which permits are issued for a limit.
pub fn permit_rate_per_s(limit_per_s: f64) -> f64 {
    match limit_per_s.is_nan() {
        // Rates from peers are not validated.
        true => MIN_RATE_PER_S,
        false => limit_per_s.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S),
    }
}

fn bucket_rate(limit: SendLimit, membership: Membership) -> BucketRate {
    let units_per_ms = permit_rate_per_s(limit.rate_per_s) * membership.share() / 1_000.0;
    let burst_ms = match limit.is_cold {
        true => COLD_BURST_MS,
        false => BURST_MS,
    };
    BucketRate {
        units_per_ms,
        burst: (units_per_ms * burst_ms).max(1.0),
    }
}
