//! Tokens that a node has borrowed, kept apart from its own bucket.
//!
//! They stay within the burst, because the lender counts each loan within its own cap until the loan
//! is settled or has ended by the lender's clock, which is after it has ended here. Nothing accrues on
//! a loan. A node may lend borrowed tokens to another node as a subloan, which stays part of the loan
//! that the tokens came from.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::Tokens;
use crate::slots::lease;

use super::amount::MicroTokens;
use super::bucket::LoanTerms;

// Part of a loan's validity after which unspent tokens are returned, in percent.
const RETURN_AFTER_PERCENT: u64 = 60;

/// A loan as received by its borrower.
#[plain]
pub struct ReceivedLoan {
    /// Id given by the lender.
    pub loan_id: u64,
    /// Address of the lender's peer service.
    pub lender_address: Arc<str>,
    /// Tokens lent.
    pub tokens: Tokens,
    /// Validity as the lender stated it.
    pub valid_ms: u64,
    /// Time before the request for the loan was sent.
    pub requested_ms: TimeMs,
}

/// The end of a loan, to be reported to its lender.
#[plain]
pub struct Settlement {
    /// Address of the lender's peer service.
    pub lender_address: Arc<str>,
    /// Id given by the lender.
    pub loan_id: u64,
    /// Tokens that were not spent.
    pub returned: Tokens,
}

#[plain]
struct HeldLoan {
    lender_address: Arc<str>,
    unspent: MicroTokens,
    subloans: BTreeMap<u64, Subloan>,
    return_ms: TimeMs,
    deadline_ms: TimeMs,
    // A settled loan is kept until its deadline, so that a repeated answer adds nothing.
    settled: bool,
}

#[plain]
struct Subloan {
    amount: MicroTokens,
    deadline_ms: TimeMs,
}

/// The loans that a node holds for one workspace.
#[derive(Clone, Debug, Default)]
pub struct Borrowed {
    loans: BTreeMap<u64, HeldLoan>,
}

impl Borrowed {
    /// Adds a loan. A repeated answer, or one that arrives after the loan's deadline, adds nothing.
    pub fn receive(&mut self, loan: ReceivedLoan, now: TimeMs) {
        let deadline_ms = lease::requester_deadline(loan.requested_ms, loan.valid_ms);
        if deadline_ms <= now || self.loans.contains_key(&loan.loan_id) {
            return;
        }
        let return_after_ms = deadline_ms.remaining(loan.requested_ms) * RETURN_AFTER_PERCENT / 100;
        let held = HeldLoan {
            lender_address: loan.lender_address,
            unspent: loan.tokens.into(),
            subloans: BTreeMap::new(),
            return_ms: loan.requested_ms.after(return_after_ms),
            deadline_ms,
            settled: false,
        };
        self.loans.insert(loan.loan_id, held);
    }

    /// Drops loans and subloans past their deadline.
    pub fn advance(&mut self, now: TimeMs) {
        self.loans.retain(|_, held| held.deadline_ms > now);
        for held in self.loans.values_mut() {
            held.subloans.retain(|_, subloan| subloan.deadline_ms > now);
        }
    }

    /// Returns the tokens that may be spent. The caller must have advanced the loans.
    pub fn available(&self) -> MicroTokens {
        self.loans
            .values()
            .fold(MicroTokens(0), |sum, held| sum + held.unspent)
    }

    /// Spends up to `amount` from the loans that end first, and returns how much.
    pub fn take(&mut self, amount: MicroTokens) -> MicroTokens {
        let mut loans: Vec<&mut HeldLoan> = self.loans.values_mut().collect();
        loans.sort_by_key(|held| held.deadline_ms);
        let mut taken = MicroTokens(0);
        for held in loans {
            let part = held.unspent.min(amount.saturating_sub(taken));
            held.unspent -= part;
            taken += part;
        }
        taken
    }

    /// Lends up to `wanted` from one of the loans, the one that ends last.
    pub fn sublend(&mut self, loan_id: u64, wanted: Tokens, now: TimeMs) -> Option<LoanTerms> {
        let held = self
            .loans
            .values_mut()
            .filter(|held| held.unspent.floor_tokens().0 > 0)
            .max_by_key(|held| held.deadline_ms)?;
        let tokens = wanted.min(held.unspent.floor_tokens());
        let valid_ms = held.deadline_ms.remaining(now);
        if tokens.0 == 0 || valid_ms == 0 {
            return None;
        }
        held.unspent -= tokens.into();
        let subloan = Subloan {
            amount: tokens.into(),
            deadline_ms: held.deadline_ms,
        };
        held.subloans.insert(loan_id, subloan);
        Some(LoanTerms {
            loan_id,
            tokens,
            valid_ms,
        })
    }

    /// Ends a subloan and takes the unspent tokens back. Returns false if no such subloan is
    /// outstanding.
    pub fn settle_loan(&mut self, loan_id: u64, returned: Tokens) -> bool {
        for held in self.loans.values_mut() {
            if let Some(subloan) = held.subloans.remove(&loan_id) {
                held.unspent += subloan.amount.min(returned.into());
                return true;
            }
        }
        false
    }

    /// Ends the loans that are spent or are due to be returned, unless a subloan is outstanding. The
    /// returned tokens can't be spent here after the call, whether or not the settlement arrives.
    pub fn settle_due(&mut self, now: TimeMs) -> Vec<Settlement> {
        let due = |held: &HeldLoan| {
            let finished = held.unspent.floor_tokens().0 == 0 || now >= held.return_ms;
            !held.settled && held.subloans.is_empty() && finished
        };
        let mut settlements = Vec::new();
        for (loan_id, held) in &mut self.loans {
            if due(held) {
                settlements.push(held.settle(*loan_id));
            }
        }
        settlements
    }

    /// Ends all loans without outstanding subloans.
    pub fn settle_all(&mut self) -> Vec<Settlement> {
        self.loans
            .iter_mut()
            .filter(|(_, held)| !held.settled && held.subloans.is_empty())
            .map(|(loan_id, held)| held.settle(*loan_id))
            .collect()
    }
}

impl HeldLoan {
    fn settle(&mut self, loan_id: u64) -> Settlement {
        let returned = self.unspent.floor_tokens();
        self.unspent = MicroTokens(0);
        self.settled = true;
        Settlement {
            lender_address: self.lender_address.clone(),
            loan_id,
            returned,
        }
    }
}
