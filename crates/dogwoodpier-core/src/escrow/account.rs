//! The account of one workspace at one node: its own bucket, the loans that it holds and its expected
//! demand.

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::Tokens;

use super::amount::MicroTokens;
use super::borrowed::Borrowed;
use super::borrowed::ReceivedLoan;
use super::borrowed::Settlement;
use super::bucket::Bucket;
use super::bucket::LoanTerms;
use super::bucket::SlotBacking;
use super::demand::Demand;
use super::floors::Limit;

// A lender keeps the tokens that its own demand needs in this time; by then it could borrow itself.
const RESERVE_DEMAND_MS: u64 = 200;
// A node borrows ahead for the demand of this time.
const BORROW_AHEAD_MS: u64 = 500;

/// Tokens taken for one request.
#[plain]
#[derive(Copy, Eq)]
pub struct Charge {
    /// Tokens taken.
    pub tokens: Tokens,
    mark: u64,
}

/// A peer's request for a loan.
#[plain]
#[derive(Copy, Eq)]
pub struct LoanRequest {
    /// Maximum number of tokens to lend.
    pub wanted: Tokens,
    /// True if requests are waiting for the tokens. Otherwise they are requested ahead of demand, and
    /// the lender keeps the tokens that it may need itself.
    pub is_urgent: bool,
    /// True if the lender acts as broker, which also lends tokens that it has borrowed. Any lender does
    /// so for an urgent request.
    pub as_broker: bool,
    /// Maximum validity of a loan.
    pub valid_ms: u64,
}

/// Result of a request for tokens.
#[plain]
pub enum Admission {
    /// The tokens were taken.
    Admitted(Charge),
    /// This number of tokens is missing at this node; none were taken.
    Short(Tokens),
    /// The request is larger than the workspace's whole burst.
    AboveBurst,
}

/// The account of one workspace at one node.
///
/// The caller passes to each call the slots on which the node may act at `now`.
#[derive(Clone, Debug)]
pub struct Account {
    bucket: Bucket,
    borrowed: Borrowed,
    demand: Demand,
}

impl Account {
    /// Returns an account without tokens.
    pub fn new(limit: Limit, now: TimeMs) -> Self {
        Self {
            bucket: Bucket::new(limit, now),
            borrowed: Borrowed::default(),
            demand: Demand::new(now),
        }
    }

    /// Returns the node's own bucket.
    pub fn bucket(&self) -> &Bucket {
        &self.bucket
    }

    /// Changes the limit from now on.
    pub fn set_limit(&mut self, limit: Limit, backings: &[SlotBacking], now: TimeMs) {
        if limit != *self.bucket.limit() {
            self.advance(backings, now);
            self.bucket.set_limit(limit, backings, now);
        }
    }

    /// Adds a request to the demand. Must be called once per request, before the first
    /// [`Self::admit`] for it.
    pub fn record_demand(&mut self, cost: Tokens, now: TimeMs) {
        self.demand.record(cost, now);
    }

    /// Takes the tokens of a request, either all or none.
    pub fn admit(&mut self, cost: Tokens, backings: &[SlotBacking], now: TimeMs) -> Admission {
        if cost > self.bucket.limit().burst_tokens {
            return Admission::AboveBurst;
        }
        self.advance(backings, now);
        let needed = MicroTokens::from(cost);
        let missing = needed.saturating_sub(self.spendable());
        if missing > MicroTokens(0) {
            return Admission::Short(missing.ceil_tokens());
        }
        // The own bucket is used first: a full one loses its accrual and has no room for refunds.
        let mark = self.bucket.mark();
        let own_whole_tokens = MicroTokens::from(self.bucket.level().floor_tokens());
        let own = self.bucket.take(needed.min(own_whole_tokens));
        self.borrowed.take(needed.saturating_sub(own));
        Admission::Admitted(Charge { tokens: cost, mark })
    }

    /// Corrects a charge to the tokens that the request used. A difference is taken from the own bucket
    /// or refunded to it, as far as the bucket allows.
    pub fn settle(
        &mut self,
        charge: Charge,
        actual: Tokens,
        backings: &[SlotBacking],
        now: TimeMs,
    ) {
        self.advance(backings, now);
        if actual > charge.tokens {
            self.bucket.take((actual - charge.tokens).into());
        } else {
            let unused = charge.tokens - actual;
            self.bucket.refund(charge.mark, unused.into());
        }
    }

    /// Lends from the own bucket and, as a broker or for an urgent request, from borrowed tokens.
    /// `new_id` returns a random, unique id.
    pub fn lend<F>(
        &mut self,
        request: LoanRequest,
        backings: &[SlotBacking],
        now: TimeMs,
        mut new_id: F,
    ) -> Vec<LoanTerms>
    where
        F: FnMut() -> u64,
    {
        self.advance(backings, now);
        let reserve = if request.is_urgent {
            Tokens(0)
        } else {
            self.demand.estimate(RESERVE_DEMAND_MS, now)
        };
        let LoanRequest {
            wanted, valid_ms, ..
        } = request;
        let own = self
            .bucket
            .lend(new_id(), wanted, reserve, valid_ms, backings, now);
        let mut loans = Vec::from_iter(own);
        let mut missing = Tokens(wanted.0 - loans.iter().map(|loan| loan.tokens.0).sum::<u64>());
        while (request.is_urgent || request.as_broker) && missing.0 > 0 {
            let Some(loan) = self.borrowed.sublend(new_id(), missing, now) else {
                break;
            };
            missing = missing.saturating_sub(loan.tokens);
            loans.push(loan);
        }
        loans
    }

    /// Ends a loan that this node made. Repeated and late settlements have no effect.
    pub fn settle_loan(
        &mut self,
        loan_id: u64,
        returned: Tokens,
        backings: &[SlotBacking],
        now: TimeMs,
    ) {
        self.advance(backings, now);
        if !self.bucket.settle_loan(loan_id, returned) {
            self.borrowed.settle_loan(loan_id, returned);
        }
    }

    /// Adds a loan that this node received.
    pub fn receive_loan(&mut self, loan: ReceivedLoan, now: TimeMs) {
        self.borrowed.receive(loan, now);
    }

    /// Ends the loans that are spent or are due to be returned.
    pub fn settle_due(&mut self, now: TimeMs) -> Vec<Settlement> {
        self.borrowed.advance(now);
        self.borrowed.settle_due(now)
    }

    /// Ends all loans that this node holds and has not lent to other nodes, for a shutdown.
    pub fn settle_all(&mut self, now: TimeMs) -> Vec<Settlement> {
        self.borrowed.advance(now);
        self.borrowed.settle_all()
    }

    /// Returns how much to borrow ahead of demand.
    pub fn borrow_target(&mut self, backings: &[SlotBacking], now: TimeMs) -> Tokens {
        let burst = self.bucket.limit().burst_tokens;
        let expected = self.demand.estimate(BORROW_AHEAD_MS, now).min(burst);
        if expected.0 == 0 {
            return expected;
        }
        self.advance(backings, now);
        let available = self.spendable() + self.bucket.accrual(BORROW_AHEAD_MS, backings, now);
        expected.saturating_sub(available.floor_tokens())
    }

    /// Returns whether a slot may be given up now: the other slots must cover the outstanding loans.
    pub fn may_release(&mut self, slot: u32, backings: &[SlotBacking], now: TimeMs) -> bool {
        self.advance(backings, now);
        self.bucket.may_release(slot, backings, now)
    }

    /// Takes a slot's share out of the level. [`Self::may_release`] must have returned true before.
    pub fn release(&mut self, slot: u32, backings: &[SlotBacking], now: TimeMs) -> MicroTokens {
        self.bucket.release(slot, backings, now)
    }

    /// Adds the level that was handed over with a slot.
    pub fn receive(
        &mut self,
        slot: u32,
        level: MicroTokens,
        backings: &[SlotBacking],
        now: TimeMs,
    ) {
        self.advance(backings, now);
        self.bucket.receive(slot, level, backings, now);
    }

    /// Returns the tokens that this node could spend, as of the last update.
    ///
    /// Fractions of a token in the own bucket don't count, so that only whole tokens are taken from
    /// loans: a remainder of less than a token could not be returned to the lender.
    pub fn spendable(&self) -> MicroTokens {
        MicroTokens::from(self.bucket.level().floor_tokens()) + self.borrowed.available()
    }

    fn advance(&mut self, backings: &[SlotBacking], now: TimeMs) {
        self.bucket.advance(backings, now);
        self.borrowed.advance(now);
    }
}
