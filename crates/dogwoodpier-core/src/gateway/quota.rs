//! Quotas of workspaces across all instances.
//!
//! Load pattern: one workspace sends several times its rate, spread unevenly over hundreds of
//! instances. One instance, the owner, holds the workspace's token bucket and decides on each
//! request, so that the total is exact however many instances there are, and a share of a rate is
//! never too small for one request. An owner that receives reports from only a part of the fleet
//! may not be the only owner, and uses the corresponding part of the rate. An instance that cannot
//! reach an owner uses its own equal share.
//!
//! Operators may tolerate a number of units beyond the rate over a window. While upstreams have
//! spare capacity, a workspace is lent up to this number of units that its bucket doesn't hold. What
//! was lent stays apart from the bucket, so that large prompts that were lent units don't shut out
//! requests that the bucket itself would admit, as when upstreams of other services are busy. It is
//! repaid out of the part of the rate that the full bucket can't hold, before more is lent. The units
//! that run over any time are those of the rate, the burst and the tolerated number at most.
//!
//! An owner that stood still doesn't know what other instances have admitted in the meantime, so its
//! buckets don't refill for that time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::routes::Workspace;
use super::token_bucket::BucketRate;
use super::token_bucket::TokenBucket;

// Time for which an instance keeps the bucket of a workspace that it does not consider its own,
// after a peer has requested units of it: the peer may have a more recent view of the fleet.
const UNOWNED_BUCKET_RETENTION_MS: u64 = 5_000;

/// How many instances are members of the fleet and how many of them are reachable, this one
/// included.
#[plain]
#[derive(Copy, Eq)]
pub struct Membership {
    /// Instances that may be admitting requests at the moment.
    pub members: u32,
    /// Those of them that have sent a report within the liveness timeout.
    pub reachable: u32,
}

impl Membership {
    /// The membership of an instance that serves alone.
    pub const ALONE: Self = Self {
        members: 1,
        reachable: 1,
    };

    /// Returns the share of the fleet's rate that the reachable instances may use together.
    pub fn share(self) -> f64 {
        f64::from(self.reachable.max(1)) / f64::from(self.members.max(self.reachable).max(1))
    }
}

/// Number of units by which a workspace may overdraw its quota, over the whole fleet.
#[plain]
#[derive(Copy, Eq)]
pub struct Overdraft {
    /// Number of units.
    pub units: u64,
}

impl Overdraft {
    /// No overdraft.
    pub const NONE: Self = Self { units: 0 };
}

/// Decision on whether a request is within its workspace's quota.
#[wire]
#[derive(Copy, Eq)]
pub enum Decision {
    /// Within the quota, and charged to it.
    Admitted,
    /// Over the quota.
    Rejected {
        /// Time until the quota would allow it, if nothing else were admitted.
        retry_after_ms: u64,
        /// Units that are left, without those that are lent; negative after a request larger than the
        /// burst.
        level: i64,
    },
}

// The level is negative after a request larger than the burst.
#[derive(Debug)]
struct Bucket {
    tokens: TokenBucket,
    // Burst at the last update.
    burst: f64,
    // Units that were lent and aren't repaid.
    lent: f64,
    // Time of the last request for admission.
    last_request_ms: TimeMs,
}

/// Buckets of the workspaces on one instance.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<Arc<str>, Bucket>,
    observed_ms: Option<TimeMs>,
}

// Time between two observations after which the instance has stood still. Until then, the units that two
// owners admit for the same time are less than the tenth by which a quota may be exceeded over 8 s.
const MAX_OBSERVATION_GAP_MS: u64 = 1_000;

/// Returns whether an instance that last ran at `observed_ms` has stood still until `now`.
pub fn has_stood_still(observed_ms: Option<TimeMs>, now: TimeMs) -> bool {
    observed_ms.is_some_and(|before| now.since(before) > MAX_OBSERVATION_GAP_MS)
}

impl Quotas {
    /// Notes that the instance runs. After a standstill, the buckets go on from where they were.
    /// Returns whether there was one.
    pub fn observe(&mut self, now: TimeMs) -> bool {
        let has_stood_still = has_stood_still(self.observed_ms.replace(now), now);
        if has_stood_still {
            for bucket in self.buckets.values_mut() {
                bucket.tokens.skip_to(now);
            }
        }
        has_stood_still
    }

    /// Admits and charges a request that costs `units`, or rejects it with the time after which to
    /// retry.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        units: u64,
        membership: Membership,
        overdraft: Overdraft,
        now: TimeMs,
    ) -> Decision {
        if workspace.rate_per_s == 0 {
            return Decision::Admitted;
        }
        let rate = bucket_rate(workspace, membership);
        let bucket = self.refilled(workspace, rate, now);
        bucket.last_request_ms = now;
        // A request that is larger than the burst is admitted if the bucket is full.
        let needed = (units as f64).min(rate.burst);
        let lendable = (overdraft.units as f64 * membership.share() - bucket.lent).max(0.0);
        match bucket.lend(units as f64, needed, lendable) {
            Some(lent) => {
                bucket.lent += lent;
                bucket.tokens.take(units as f64 - lent);
                Decision::Admitted
            }
            None => Decision::Rejected {
                retry_after_ms: bucket.refill_ms(needed, rate),
                level: bucket.tokens.level() as i64,
            },
        }
    }

    /// Refunds the units charged for a request that has not run.
    pub fn refund(&mut self, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.refund(units as f64);
        }
    }

    /// Returns the level of a workspace's bucket as of its last update.
    pub fn level(&self, workspace: &str) -> Option<f64> {
        self.buckets
            .get(workspace)
            .map(|bucket| bucket.tokens.level())
    }

    // Returns a workspace's bucket, refilled up to `now`. A new bucket is empty, because the usage
    // before is not known.
    fn refilled(&mut self, workspace: &Workspace, rate: BucketRate, now: TimeMs) -> &mut Bucket {
        let bucket = self
            .buckets
            .entry(workspace.name.clone())
            .or_insert(Bucket {
                tokens: TokenBucket::empty(now),
                burst: rate.burst,
                lent: 0.0,
                last_request_ms: now,
            });
        let excess = bucket.tokens.refill(rate, now);
        bucket.burst = rate.burst;
        bucket.lent = (bucket.lent - excess).max(0.0);
        bucket
    }

    /// Refills the buckets of the workspaces that this instance owns up to `now`, and drops the
    /// buckets of others. What their owners admit is not known here, so a bucket starts empty when
    /// its workspace is owned again.
    pub fn advance<'a, W>(&mut self, owned: W, membership: Membership, now: TimeMs)
    where
        W: IntoIterator<Item = &'a Arc<Workspace>>,
    {
        let mut owned_names = BTreeSet::new();
        for workspace in owned {
            self.refilled(workspace, bucket_rate(workspace, membership), now);
            owned_names.insert(workspace.name.clone());
        }
        self.buckets.retain(|name, bucket| {
            owned_names.contains(name)
                || now.since(bucket.last_request_ms) <= UNOWNED_BUCKET_RETENTION_MS
        });
    }
}

// Time for which a decision is remembered: far longer than an asker repeats a request and messages are
// under way.
const DECISION_RETENTION_MS: u64 = 1_000;

/// Recent decisions on requests of peers. A peer repeats a request if the answer is late, and must not
/// be charged for it again: until the second charge is refunded, it shuts out other requests.
#[derive(Debug, Default)]
pub struct RecentDecisions {
    by_ticket: BTreeMap<u64, Decision>,
    // Tickets with the time of their decision, the oldest first.
    order: VecDeque<(TimeMs, u64)>,
}

impl RecentDecisions {
    /// Returns the decision on a request that has arrived before.
    pub fn get(&mut self, ticket: u64, now: TimeMs) -> Option<Decision> {
        while let Some((decided_ms, oldest)) = self.order.front().copied()
            && now.since(decided_ms) > DECISION_RETENTION_MS
        {
            self.order.pop_front();
            self.by_ticket.remove(&oldest);
        }
        self.by_ticket.get(&ticket).copied()
    }

    /// Remembers the decision on a request that has not arrived before.
    pub fn insert(&mut self, ticket: u64, decision: Decision, now: TimeMs) {
        self.by_ticket.insert(ticket, decision);
        self.order.push_back((now, ticket));
    }
}

impl Bucket {
    // Returns how many units of a request are lent, `None` if the request isn't admitted. `lendable`
    // units are left to be lent.
    fn lend(&self, units: f64, needed: f64, lendable: f64) -> Option<f64> {
        let level = self.tokens.level();
        if needed <= level {
            Some(0.0)
        } else if units <= lendable {
            Some(units)
        } else if units > lendable + self.lent && needed <= level + lendable {
            // Larger than all that may be lent. The bucket pays the rest.
            Some(lendable)
        } else {
            None
        }
    }

    // Returns the time until the bucket holds a number of units, if nothing else is admitted.
    fn refill_ms(&self, needed: f64, rate: BucketRate) -> u64 {
        let missing = needed - self.tokens.level();
        (missing / rate.units_per_ms).ceil() as u64
    }

    // Puts units back into the bucket, up to the burst. The rest repays what was lent.
    fn refund(&mut self, units: f64) {
        let room = (self.burst - self.tokens.level()).max(0.0);
        let returned = units.min(room);
        self.tokens.take(-returned);
        self.lent = (self.lent - (units - returned)).max(0.0);
    }
}

fn bucket_rate(workspace: &Workspace, membership: Membership) -> BucketRate {
    BucketRate {
        units_per_ms: workspace.rate_per_s as f64 * membership.share() / 1_000.0,
        burst: workspace.burst as f64 * membership.share(),
    }
}
