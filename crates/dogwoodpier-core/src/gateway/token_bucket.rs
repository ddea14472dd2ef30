//! Token bucket whose rate and burst are stated with each use.

use dogwoodpier_derive::plain;

use crate::TimeMs;

/// Rate and burst of a bucket.
#[plain]
#[derive(Copy)]
pub struct BucketRate {
    /// Units that the bucket gains per millisecond.
    pub units_per_ms: f64,
    /// Most units that it holds.
    pub burst: f64,
}

/// A number of units that grows with time.
#[plain]
pub struct TokenBucket {
    level: f64,
    updated_ms: TimeMs,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn empty(now: TimeMs) -> Self {
        Self {
            level: 0.0,
            updated_ms: now,
        }
    }

    /// Adds the units of the time since the last update. Returns those of them that the bucket can't
    /// hold.
    pub fn refill(&mut self, rate: BucketRate, now: TimeMs) -> f64 {
        let refill = now.since(self.updated_ms) as f64 * rate.units_per_ms;
        let level = self.level + refill;
        self.level = level.min(rate.burst);
        self.updated_ms = self.updated_ms.max(now);
        (level - rate.burst).clamp(0.0, refill)
    }

    /// Leaves out the time since the last update: it adds no units.
    pub fn skip_to(&mut self, now: TimeMs) {
        self.updated_ms = self.updated_ms.max(now);
    }

    /// Returns the units as of the last update; negative if more were taken than it held.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes units out, or puts them back if negative. The next refill limits the level to the
    /// burst.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }
}
