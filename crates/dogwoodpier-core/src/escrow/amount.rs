//! Amounts of tokens with the precision of a bucket.

use std::ops::Add;
use std::ops::AddAssign;
use std::ops::SubAssign;

use dogwoodpier_derive::key;

use crate::Tokens;

const MICRO_PER_TOKEN: u64 = 1_000_000;

/// An amount in millionths of a token, so that low rates lose nothing to rounding.
#[key]
#[derive(Default)]
pub struct MicroTokens(pub u64);

impl MicroTokens {
    /// Returns the whole tokens in this amount, rounded down.
    pub fn floor_tokens(self) -> Tokens {
        Tokens(self.0 / MICRO_PER_TOKEN)
    }

    /// Returns the whole tokens that cover this amount, rounded up.
    pub fn ceil_tokens(self) -> Tokens {
        Tokens(self.0.div_ceil(MICRO_PER_TOKEN))
    }

    /// Returns the difference, zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Tokens> for MicroTokens {
    fn from(tokens: Tokens) -> Self {
        Self(tokens.0.saturating_mul(MICRO_PER_TOKEN))
    }
}

impl Add for MicroTokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for MicroTokens {
    fn add_assign(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}

impl SubAssign for MicroTokens {
    fn sub_assign(&mut self, other: Self) {
        self.0 -= other.0;
    }
}
