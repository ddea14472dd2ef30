//! Quotas of workspaces over all instances.
//!
//! Load pattern: one workspace sends several times its rate, spread unevenly over the instances.
//! Each instance charges what it admits at once, and what its peers report that they admitted, to
//! one bucket a workspace that has the fleet's rate. A peer that has gone silent may be admitting
//! unseen, so the bucket leaves an equal share of the rate to each silent peer. An instance that
//! hears nobody is left with its own equal share, and the sum stays within the rate.
//!
//! Operators may tolerate some units beyond the rate and burst over any window. While upstreams have
//! room, a workspace is lent of these. A loan counts against the tolerance for one window and isn't
//! paid back out of the rate: small requests would be refused within it after a few large ones.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::routes::Workspace;

/// How many instances serve, and how many of them were heard lately, this one included.
#[plain]
#[derive(Copy, Eq)]
pub struct Hearing {
    /// Instances that may be admitting requests.
    pub members: u32,
    /// Those of them whose reports are fresh.
    pub heard: u32,
}

impl Hearing {
    /// The hearing of an instance that serves alone.
    pub const ALONE: Self = Self {
        members: 1,
        heard: 1,
    };

    // Share of the fleet's rate that the heard instances may use together.
    fn share(self) -> f64 {
        f64::from(self.heard.max(1)) / f64::from(self.members.max(self.heard).max(1))
    }
}

/// What a workspace may be lent beyond its rate, over the whole fleet.
#[plain]
#[derive(Copy, Eq)]
pub struct Tolerance {
    /// Units in any window.
    pub units: u64,
    /// Length of the window.
    pub window_ms: u64,
}

impl Tolerance {
    /// Returns a tolerance of which nothing is lent now. Loans before still count.
    pub fn without_loans(self) -> Self {
        Self { units: 0, ..self }
    }
}

/// Units admitted since the start of an instance, by workspace.
#[wire]
#[derive(Default, Eq)]
pub struct Totals {
    /// Within the rate and burst.
    pub charged: BTreeMap<Arc<str>, u64>,
    /// Lent beyond them.
    pub lent: BTreeMap<Arc<str>, u64>,
}

/// Result of a request to admit.
#[plain]
#[derive(Copy, Eq)]
pub enum Decision {
    /// Within the quota, and charged.
    Admitted {
        /// Units that were lent.
        lent: u64,
    },
    /// Over the quota.
    Rejected {
        /// Time until the quota would allow it, if nothing else were admitted.
        retry_after_ms: u64,
    },
}

// Units that may be used now, as of a time. Negative after peers reported more than was left.
#[derive(Debug)]
struct Bucket {
    level: f64,
    updated_ms: TimeMs,
    // Loans of the fleet by the time at which they no longer count, earliest first.
    loans: VecDeque<(TimeMs, u64)>,
    // Loans of peers that were made before are not known until a window has passed.
    lending_from_ms: TimeMs,
}

impl Bucket {
    // Returns what may still be lent now, of `units`.
    fn lendable(&mut self, units: f64, now: TimeMs) -> f64 {
        if now < self.lending_from_ms {
            return 0.0;
        }
        while self.loans.front().is_some_and(|(end_ms, _)| *end_ms <= now) {
            self.loans.pop_front();
        }
        let lent: u64 = self.loans.iter().map(|(_, units)| units).sum();
        units - lent as f64
    }
}

/// The quotas as one instance sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<Arc<str>, Bucket>,
    admitted: Totals,
}

impl Quotas {
    /// Admits a request that costs `units`, or says when to come back.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        units: u64,
        hearing: Hearing,
        tolerance: Tolerance,
        now: TimeMs,
    ) -> Decision {
        if workspace.rate_per_s == 0 {
            return Decision::Admitted { lent: 0 };
        }
        let rate_per_ms = workspace.rate_per_s as f64 * hearing.share() / 1_000.0;
        let cap = workspace.burst as f64 * hearing.share();
        let bucket = self.refilled(workspace, hearing, tolerance, now);
        // A request larger than the burst is admitted by a full bucket.
        let needed = (units as f64).min(cap);
        let mut lent = 0;
        if bucket.level < needed {
            let missing = units as f64 - bucket.level.max(0.0);
            if bucket.lendable(tolerance.units as f64 * hearing.share(), now) < missing {
                let wait_ms = (needed - bucket.level) / rate_per_ms;
                return Decision::Rejected {
                    retry_after_ms: wait_ms.ceil() as u64,
                };
            }
            lent = (missing.ceil() as u64).min(units);
            bucket
                .loans
                .push_back((now.after(tolerance.window_ms), lent));
            add(&mut self.admitted.lent, workspace, lent);
        }
        let charged = units - lent;
        self.charge(workspace, charged, hearing, tolerance, now);
        add(&mut self.admitted.charged, workspace, charged);
        Decision::Admitted { lent }
    }

    /// Charges units to a workspace's bucket, as those that a peer admitted.
    pub fn charge(
        &mut self,
        workspace: &Workspace,
        units: u64,
        hearing: Hearing,
        tolerance: Tolerance,
        now: TimeMs,
    ) {
        if workspace.rate_per_s == 0 {
            return;
        }
        self.refilled(workspace, hearing, tolerance, now).level -= units as f64;
    }

    /// Counts units that a peer has lent to a workspace.
    pub fn note_loan(
        &mut self,
        workspace: &Workspace,
        units: u64,
        hearing: Hearing,
        tolerance: Tolerance,
        now: TimeMs,
    ) {
        if workspace.rate_per_s == 0 {
            return;
        }
        let loan = (now.after(tolerance.window_ms), units);
        self.refilled(workspace, hearing, tolerance, now)
            .loans
            .push_back(loan);
    }

    /// Returns the units admitted here since the start.
    pub fn admitted(&self) -> &Totals {
        &self.admitted
    }

    /// Returns the level of a workspace's bucket as of its last use.
    pub fn level(&self, workspace: &str) -> Option<f64> {
        self.buckets.get(workspace).map(|bucket| bucket.level)
    }

    // A bucket is empty at first: what was used before this instance started is not known.
    fn refilled(
        &mut self,
        workspace: &Workspace,
        hearing: Hearing,
        tolerance: Tolerance,
        now: TimeMs,
    ) -> &mut Bucket {
        let rate_per_ms = workspace.rate_per_s as f64 * hearing.share() / 1_000.0;
        let cap = workspace.burst as f64 * hearing.share();
        let bucket = self
            .buckets
            .entry(workspace.name.clone())
            .or_insert(Bucket {
                level: 0.0,
                updated_ms: now,
                loans: VecDeque::new(),
                lending_from_ms: now.after(tolerance.window_ms),
            });
        let gained = now.since(bucket.updated_ms) as f64 * rate_per_ms;
        bucket.level = (bucket.level + gained).min(cap);
        bucket.updated_ms = bucket.updated_ms.max(now);
        bucket
    }

    /// Moves every bucket on to `now`, creating those of new workspaces.
    pub fn advance<'a, W>(
        &mut self,
        workspaces: W,
        hearing: Hearing,
        tolerance: Tolerance,
        now: TimeMs,
    ) where
        W: IntoIterator<Item = &'a Arc<Workspace>>,
    {
        for workspace in workspaces {
            if workspace.rate_per_s > 0 {
                self.refilled(workspace, hearing, tolerance, now);
            }
        }
    }
}

fn add(totals: &mut BTreeMap<Arc<str>, u64>, workspace: &Workspace, units: u64) {
    *totals.entry(workspace.name.clone()).or_default() += units;
}
