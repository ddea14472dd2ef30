//! Newtypes for the units that decisions are made in.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;

use dogwoodpier_derive::key;

/// A point in time in milliseconds on the clock of one process.
///
/// The zero point is arbitrary, so values of different processes must never be compared. Only
/// durations may be sent to other processes.
#[key]
#[derive(Default)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the time `duration_ms` after this one, saturating at the maximum.
    pub fn after(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds from `earlier` to this time, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds left until this deadline, zero once it has passed.
    pub fn remaining(self, now: Self) -> u64 {
        self.0.saturating_sub(now.0)
    }
}

/// A count of model tokens.
#[key]
#[derive(Default)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns the difference, zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens", self.0)
    }
}

/// A rate in model tokens per second.
#[key]
#[derive(Default)]
pub struct TokensPerSecond(pub u64);

/// A count of KV cache pieces, the unit in which an engine allocates its memory.
#[key]
#[derive(Default)]
pub struct Pieces(pub u32);
