//! Quotas of workspaces over all instances.
//!
//! Load pattern: one workspace sends several times its rate, spread unevenly over hundreds of
//! instances. One instance, the owner, holds the workspace's bucket and is asked for each request, so
//! that the sum is exact however many instances there are, and a share of a rate is never too small
//! for one request. An owner that hears only a part of the fleet may not be the only one, and uses
//! that part of the rate. An instance that reaches no owner has its own equal share.
//!
//! Operators may tolerate some units beyond the rate over a window. While upstreams have room, a
//! workspace is lent of these; it pays them back out of its rate before it is lent again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::routes::Workspace;

// Time for which an instance that isn't the owner of a workspace by its own knowledge, but was asked,
// keeps the bucket: peers may know better.
const ASKED_MS: u64 = 5_000;

/// How many instances serve, and how many of them were heard lately, this one included.
#[plain]
#[derive(Copy, Eq)]
pub struct Membership {
    /// Instances that may be admitting requests.
    pub members: u32,
    /// Those of them whose reports are fresh.
    pub reachable: u32,
}

impl Membership {
    /// The membership of an instance that serves alone.
    pub const ALONE: Self = Self {
        members: 1,
        reachable: 1,
    };

    // Share of the fleet's rate that the heard instances may use together.
    fn share(self) -> f64 {
        f64::from(self.reachable.max(1)) / f64::from(self.members.max(self.reachable).max(1))
    }
}

/// What a workspace may be lent beyond its rate, over the whole fleet.
#[plain]
#[derive(Copy, Eq)]
pub struct Overdraft {
    /// Units.
    pub units: u64,
}

impl Overdraft {
    /// Nothing is lent.
    pub const NONE: Self = Self { units: 0 };
}

/// Result of a request to admit.
#[wire]
#[derive(Copy, Eq)]
pub enum Decision {
    /// Within the quota, and charged.
    Admitted,
    /// Over the quota.
    Rejected {
        /// Time until the quota would allow it, if nothing else were admitted.
        retry_after_ms: u64,
        /// Units that were left, negative after some were lent.
        level: i64,
    },
}

// Units that may be used now, as of a time. Negative after peers reported more than was left.
#[derive(Debug)]
struct Bucket {
    level: f64,
    updated_ms: TimeMs,
    // Time of the last question about it.
    asked_ms: TimeMs,
}

/// The quotas as one instance sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<Arc<str>, Bucket>,
}

impl Quotas {
    /// Admits a request that costs `units`, or says when to come back.
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
        let rate_per_ms = workspace.rate_per_s as f64 * membership.share() / 1_000.0;
        let cap = workspace.burst as f64 * membership.share();
        let bucket = self.refilled(workspace, membership, now);
        bucket.asked_ms = now;
        // A request larger than the burst is admitted by a full bucket.
        let needed = (units as f64).min(cap);
        let lent = overdraft.units as f64 * membership.share();
        if bucket.level + lent < needed {
            let missing = needed - bucket.level;
            return Decision::Rejected {
                retry_after_ms: (missing / rate_per_ms).ceil() as u64,
                level: bucket.level as i64,
            };
        }
        bucket.level -= units as f64;
        Decision::Admitted
    }

    /// Gives back what was charged for a request that has not run.
    pub fn refund(&mut self, workspace: &str, units: u64) {
        // The next question cuts what is beyond the burst.
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level += units as f64;
        }
    }

    /// Returns the level of a workspace's bucket as of its last use.
    pub fn level(&self, workspace: &str) -> Option<f64> {
        self.buckets.get(workspace).map(|bucket| bucket.level)
    }

    // A bucket is empty at first: what was used before this instance started is not known.
    fn refilled(
        &mut self,
        workspace: &Workspace,
        membership: Membership,
        now: TimeMs,
    ) -> &mut Bucket {
        let rate_per_ms = workspace.rate_per_s as f64 * membership.share() / 1_000.0;
        let cap = workspace.burst as f64 * membership.share();
        let bucket = self
            .buckets
            .entry(workspace.name.clone())
            .or_insert(Bucket {
                level: 0.0,
                updated_ms: now,
                asked_ms: now,
            });
        let gained = now.since(bucket.updated_ms) as f64 * rate_per_ms;
        bucket.level = (bucket.level + gained).min(cap);
        bucket.updated_ms = bucket.updated_ms.max(now);
        bucket
    }

    /// Moves the buckets of the workspaces that this instance owns on to `now`, and forgets those of
    /// others: what their owners admit isn't known here, so that one which is owned again starts
    /// empty.
    pub fn advance<'a, W>(&mut self, owned: W, membership: Membership, now: TimeMs)
    where
        W: IntoIterator<Item = &'a Arc<Workspace>>,
    {
        let mut kept = BTreeSet::new();
        for workspace in owned {
            self.refilled(workspace, membership, now);
            kept.insert(workspace.name.clone());
        }
        self.buckets
            .retain(|name, bucket| kept.contains(name) || now.since(bucket.asked_ms) <= ASKED_MS);
    }
}
