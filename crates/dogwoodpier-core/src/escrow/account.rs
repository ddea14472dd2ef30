//! The account of one workspace at one node: its own bucket, what it borrowed and what it expects.

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

// A lender keeps what it will need itself until it could borrow.
const RESERVE_MS: u64 = 200;
// A borrower asks ahead for the demand of this time.
const AHEAD_MS: u64 = 500;

/// Tokens taken for one request.
#[plain]
#[derive(Copy, Eq)]
pub struct Charge {
    /// Tokens taken.
    pub tokens: Tokens,
    mark: u64,
}

/// What a peer asks for.
#[plain]
#[derive(Copy, Eq)]
pub struct LoanRequest {
    /// Most tokens to lend.
    pub wanted: Tokens,
    /// True if requests wait for them. Otherwise they are asked for ahead of demand, and the lender
    /// keeps what it may need itself.
    pub is_urgent: bool,
    /// True if the lender is asked as broker: it lends on what it borrowed, too. So does any lender
    /// if requests wait.
    pub as_broker: bool,
    /// Longest validity.
    pub valid_ms: u64,
}

/// Answer to a request for tokens.
#[plain]
pub enum Admission {
    /// The tokens were taken.
    Admitted(Charge),
    /// This many tokens are missing here; none were taken.
    Short(Tokens),
    /// The request is larger than the workspace's whole burst.
    AboveBurst,
}

/// The account of one workspace at one node.
///
/// Each call gets the slots that the node may act on at `now`.
#[derive(Clone, Debug)]
pub struct Account {
    bucket: Bucket,
    borrowed: Borrowed,
    demand: Demand,
}

impl Account {
    /// Returns an account with nothing in it.
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

    /// Counts the demand of a request, once, before its first try to be admitted.
    pub fn record_demand(&mut self, cost: Tokens, now: TimeMs) {
        self.demand.note(cost, now);
    }

    /// Takes `cost`, all or nothing.
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
        // The own bucket first: a full one loses its accrual, and has no room for refunds.
        let mark = self.bucket.mark();
        let own_whole = MicroTokens::from(self.bucket.level().floor_tokens());
        let own = self.bucket.take(needed.min(own_whole));
        self.borrowed.take(needed.saturating_sub(own));
        Admission::Admitted(Charge { tokens: cost, mark })
    }

    /// Corrects a charge to what the request used.
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

    /// Lends from the own bucket and from what was borrowed. `new_id` returns a random, unique id.
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
            self.demand.expect(RESERVE_MS, now)
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
            let Some(loan) = self.borrowed.lend_on(new_id(), missing, now) else {
                break;
            };
            missing = missing.saturating_sub(loan.tokens);
            loans.push(loan);
        }
        loans
    }

    /// Ends a loan that this node made. Repeated and late settlements change nothing.
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

    /// Takes a loan in.
    pub fn receive_loan(&mut self, loan: ReceivedLoan, now: TimeMs) {
        self.borrowed.receive(loan, now);
    }

    /// Ends the loans that are spent or were kept long enough.
    pub fn settle_due(&mut self, now: TimeMs) -> Vec<Settlement> {
        self.borrowed.advance(now);
        self.borrowed.settle_due(now)
    }

    /// Ends all loans that this node holds, for a shutdown.
    pub fn settle_all(&mut self, now: TimeMs) -> Vec<Settlement> {
        self.borrowed.advance(now);
        self.borrowed.settle_all()
    }

    /// Returns how much to borrow ahead of demand.
    pub fn borrow_target(&mut self, backings: &[SlotBacking], now: TimeMs) -> Tokens {
        let burst = self.bucket.limit().burst_tokens;
        let expected = self.demand.expect(AHEAD_MS, now).min(burst);
        if expected.0 == 0 {
            return expected;
        }
        self.advance(backings, now);
        let at_hand = self.spendable() + self.bucket.accrual(AHEAD_MS, backings, now);
        expected.saturating_sub(at_hand.floor_tokens())
    }

    /// Returns whether a slot could leave now: what stays must cover the outstanding loans.
    pub fn may_release(&mut self, slot: u32, backings: &[SlotBacking], now: TimeMs) -> bool {
        self.advance(backings, now);
        self.bucket.may_release(slot, backings, now)
    }

    /// Takes out a slot's share of the level, after [`Self::may_release`] returned true.
    pub fn release(&mut self, slot: u32, backings: &[SlotBacking], now: TimeMs) -> MicroTokens {
        self.bucket.release(slot, backings, now)
    }

    /// Adds the level that came with a slot.
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

    /// Returns the whole tokens that this node could spend, as of the last call.
    ///
    /// A part of a token stays in the bucket, so that loans stay whole: what a loan has left below a
    /// token could not be returned.
    pub fn spendable(&self) -> MicroTokens {
        MicroTokens::from(self.bucket.level().floor_tokens()) + self.borrowed.available()
    }

    fn advance(&mut self, backings: &[SlotBacking], now: TimeMs) {
        self.bucket.advance(backings, now);
        self.borrowed.advance(now);
    }
}
