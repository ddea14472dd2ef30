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
//! spare capacity, a workspace may overdraw its bucket by this number. The debt is repaid out of
//! its rate before the workspace can overdraw again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
        /// Units that are left; negative while the bucket is overdrawn.
        level: i64,
    },
}

// The level is negative after an overdraft or a request larger than the burst.
#[derive(Debug)]
struct Bucket {
    tokens: TokenBucket,
    // Time of the last request for admission.
    last_request_ms: TimeMs,
}

/// Buckets of the workspaces on one instance.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<Arc<str>, Bucket>,
}

impl Quotas {
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
        let overdraft_units = overdraft.units as f64 * membership.share();
        let level = bucket.tokens.level();
        if level + overdraft_units < needed {
            let missing = needed - level;
            return Decision::Rejected {
                retry_after_ms: (missing / rate.units_per_ms).ceil() as u64,
                level: level as i64,
            };
        }
        bucket.tokens.take(units as f64);
        Decision::Admitted
    }

    /// Refunds the units charged for a request that has not run.
    pub fn refund(&mut self, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.tokens.take(-(units as f64));
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
                last_request_ms: now,
            });
        bucket.tokens.refill(rate, now);
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

fn bucket_rate(workspace: &Workspace, membership: Membership) -> BucketRate {
    BucketRate {
        units_per_ms: workspace.rate_per_s as f64 * membership.share() / 1_000.0,
        burst: workspace.burst as f64 * membership.share(),
    }
}
