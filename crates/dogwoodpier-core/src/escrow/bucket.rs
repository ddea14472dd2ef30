//! The bucket of one workspace at one node, and the loans that are made from it.

use std::collections::BTreeMap;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::Tokens;
use crate::slots::lease;

use super::amount::MicroTokens;
use super::floors::Limit;
use super::headroom::Headroom;

// Microtokens that accrue per millisecond at a rate of one token a second, reduced by the largest
// error of a clock so that a fast clock accrues no more than the rate.
const ACCRUAL_MICRO_PER_TOKEN_MS: u64 = 1_000 - lease::CLOCK_DRIFT_PPM / 1_000;

/// A slot on which a node may act and whose floors back the node's buckets.
#[plain]
#[derive(Copy, Eq)]
pub struct SlotBacking {
    /// Number of the slot.
    pub slot: u32,
    /// Time from which the slot's floors count for this node.
    pub since_ms: TimeMs,
    /// Time until which this node may act on the slot.
    pub act_deadline_ms: TimeMs,
}

/// Terms of a loan, as given by the lender.
#[plain]
pub struct LoanTerms {
    /// Random, unique id.
    pub loan_id: u64,
    /// Tokens lent.
    pub tokens: Tokens,
    /// Validity, which the borrower counts from before it sent its request.
    pub valid_ms: u64,
}

#[plain]
struct OutstandingLoan {
    amount: MicroTokens,
    deadline_ms: TimeMs,
}

/// The bucket of one workspace at one node.
///
/// Its level and its outstanding loans together never exceed the bursts of the slots that back it.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: Limit,
    level: MicroTokens,
    updated_ms: TimeMs,
    loans: BTreeMap<u64, OutstandingLoan>,
    headroom: Headroom,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn new(limit: Limit, now: TimeMs) -> Self {
        Self {
            limit,
            level: MicroTokens(0),
            updated_ms: now,
            loans: BTreeMap::new(),
            headroom: Headroom::default(),
        }
    }

    /// Returns the limit of the whole fleet.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Returns the level as of the last update.
    pub fn level(&self) -> MicroTokens {
        self.level
    }

    /// Returns the sum of the outstanding loans as of the last update.
    pub fn outstanding(&self) -> MicroTokens {
        self.loans
            .values()
            .fold(MicroTokens(0), |sum, loan| sum + loan.amount)
    }

    /// Advances the bucket to `now`: accrues tokens, ends loans and leaves out slots on which the right
    /// to act has ended.
    pub fn advance(&mut self, backings: &[SlotBacking], now: TimeMs) {
        let backings: Vec<SlotBacking> = in_force(backings, now).collect();
        // A loan that ends or a slot that begins raises the cap. Tokens that accrued before must fit
        // under the former cap, so the bucket is advanced to each of these times in turn.
        while let Some(change_ms) = self.next_change(&backings, now) {
            self.advance_to(&backings, change_ms);
        }
        self.advance_to(&backings, now);
    }

    /// Returns the tokens that the slots in force accrue in `duration_ms`.
    pub fn accrual(&self, duration_ms: u64, backings: &[SlotBacking], now: TimeMs) -> MicroTokens {
        let rate: u64 = in_force(backings, now)
            .map(|backing| self.limit.rate_floor(backing.slot))
            .sum();
        let accrued = rate.saturating_mul(duration_ms);
        MicroTokens(accrued.saturating_mul(ACCRUAL_MICRO_PER_TOKEN_MS))
    }

    /// Changes the limit. The caller must have advanced the bucket.
    pub fn set_limit(&mut self, limit: Limit, backings: &[SlotBacking], now: TimeMs) {
        self.limit = limit;
        self.advance(backings, now);
    }

    /// Takes up to `amount`, and returns how much.
    pub fn take(&mut self, amount: MicroTokens) -> MicroTokens {
        let taken = amount.min(self.level);
        self.level -= taken;
        taken
    }

    /// Returns a mark for a charge that is made now.
    pub fn mark(&self) -> u64 {
        self.headroom.mark()
    }

    /// Refunds part of a charge, as far as [`Headroom`] allows. The caller must have advanced the
    /// bucket.
    pub fn refund(&mut self, mark: u64, amount: MicroTokens) {
        self.level += self.headroom.take(mark, amount);
    }

    /// Lends up to `wanted` and keeps `reserve`. The caller must have advanced the bucket.
    pub fn lend(
        &mut self,
        loan_id: u64,
        wanted: Tokens,
        reserve: Tokens,
        valid_ms: u64,
        backings: &[SlotBacking],
        now: TimeMs,
    ) -> Option<LoanTerms> {
        let valid_ms = valid_ms.min(lease::MAX_LOAN_MS);
        let deadline_ms = now.after(valid_ms);
        // A loan must be covered by slots on which the right to act lasts at least as long.
        let covering = in_force(backings, now).filter(|b| b.act_deadline_ms >= deadline_ms);
        let room = self.cap(covering, now).saturating_sub(self.outstanding());
        let spare = self.level.min(room).floor_tokens().saturating_sub(reserve);
        let tokens = wanted.min(spare);
        if tokens.0 == 0 || self.loans.contains_key(&loan_id) {
            return None;
        }
        let amount = tokens.into();
        self.level -= amount;
        self.loans.insert(
            loan_id,
            OutstandingLoan {
                amount,
                deadline_ms,
            },
        );
        Some(LoanTerms {
            loan_id,
            tokens,
            valid_ms,
        })
    }

    /// Ends a loan and takes the unspent tokens back. Returns false, and takes nothing, if the loan isn't
    /// outstanding. The caller must have advanced the bucket.
    pub fn settle_loan(&mut self, loan_id: u64, returned: Tokens) -> bool {
        let Some(loan) = self.loans.remove(&loan_id) else {
            return false;
        };
        self.level += loan.amount.min(returned.into());
        true
    }

    /// Returns whether a slot may be given up: the other slots must still cover the outstanding loans.
    pub fn may_release(&self, slot: u32, backings: &[SlotBacking], now: TimeMs) -> bool {
        let rest = in_force(backings, now).filter(|backing| backing.slot != slot);
        self.outstanding() <= self.cap(rest, now)
    }

    /// Takes a slot's share out of the level. The caller must have advanced the bucket and checked
    /// [`Self::may_release`], and must give the slot up.
    pub fn release(&mut self, slot: u32, backings: &[SlotBacking], now: TimeMs) -> MicroTokens {
        let cap = self.cap(in_force(backings, now), now);
        let rest = in_force(backings, now).filter(|backing| backing.slot != slot);
        let room = self.cap(rest, now).saturating_sub(self.outstanding());
        let floor = self.limit.burst_floor(slot);
        let share = proportion(self.level, floor, cap).max(self.level.saturating_sub(room));
        self.take(share.min(floor))
    }

    /// Adds the level that was handed over with a slot, at most the slot's floor, since the limit may
    /// have fallen in the meantime. The caller must have advanced the bucket with the slot.
    pub fn receive(
        &mut self,
        slot: u32,
        level: MicroTokens,
        backings: &[SlotBacking],
        now: TimeMs,
    ) {
        let level = level.min(self.limit.burst_floor(slot));
        let room = self
            .cap(in_force(backings, now), now)
            .saturating_sub(self.outstanding());
        self.level = (self.level + level).min(room.max(self.level));
        self.headroom.record(room.saturating_sub(self.level));
    }

    fn advance_to(&mut self, backings: &[SlotBacking], now: TimeMs) {
        let accrued: u64 = backings
            .iter()
            .map(|backing| {
                let from_ms = self.updated_ms.max(backing.since_ms);
                self.limit
                    .rate_floor(backing.slot)
                    .saturating_mul(now.since(from_ms))
            })
            .sum();
        // Loans that end at `now`, and slots that begin at `now`, raise the cap from the next call on.
        let cap = self.cap(
            backings
                .iter()
                .copied()
                .filter(|backing| backing.since_ms < now || backing.since_ms <= self.updated_ms),
            now,
        );
        let room = cap.saturating_sub(self.outstanding());
        let level = self.level + MicroTokens(accrued.saturating_mul(ACCRUAL_MICRO_PER_TOKEN_MS));
        self.level = level.min(room);
        self.headroom.record(room.saturating_sub(self.level));
        self.updated_ms = self.updated_ms.max(now);
        self.loans.retain(|_, loan| loan.deadline_ms > now);
    }

    fn next_change(&self, backings: &[SlotBacking], now: TimeMs) -> Option<TimeMs> {
        let starts = backings.iter().map(|backing| backing.since_ms);
        let ends = self.loans.values().map(|loan| loan.deadline_ms);
        starts
            .chain(ends)
            .filter(|time_ms| *time_ms > self.updated_ms && *time_ms <= now)
            .min()
    }

    fn cap<I>(&self, backings: I, now: TimeMs) -> MicroTokens
    where
        I: IntoIterator<Item = SlotBacking>,
    {
        backings
            .into_iter()
            .filter(|backing| backing.since_ms <= now)
            .fold(MicroTokens(0), |sum, backing| {
                sum + self.limit.burst_floor(backing.slot)
            })
    }
}

fn in_force(backings: &[SlotBacking], now: TimeMs) -> impl Iterator<Item = SlotBacking> + '_ {
    backings
        .iter()
        .copied()
        .filter(move |backing| backing.act_deadline_ms > now)
}

fn proportion(amount: MicroTokens, part: MicroTokens, whole: MicroTokens) -> MicroTokens {
    if whole.0 == 0 {
        return MicroTokens(0);
    }
    let share = u128::from(amount.0) * u128::from(part.0) / u128::from(whole.0);
    MicroTokens(u64::try_from(share).unwrap_or(u64::MAX))
}
