//! Tokens that a node holds on loan, apart from its own bucket.
//!
//! They stay within the burst by construction: the lender counts each loan within its own cap until
//! it is settled or has ended by the lender's clock, which is after it ended here. Nothing accrues on
//! a loan. Tokens lent on stay part of the loan that they came from.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::Tokens;
use crate::slots::lease;

use super::amount::MicroTokens;
use super::bucket::LoanTerms;

// Share of a loan's life after which unspent tokens go back, in percent.
const KEEP_PERCENT: u64 = 60;

/// A loan as its borrower received it.
#[plain]
pub struct ReceivedLoan {
    /// Id that the lender gave.
    pub loan_id: u64,
    /// Address of the lender's peer service.
    pub lender_address: Arc<str>,
    /// Tokens lent.
    pub tokens: Tokens,
    /// Validity as the lender stated it.
    pub valid_ms: u64,
    /// Time from before the request for the loan was sent.
    pub asked_ms: TimeMs,
}

/// The end of a loan, for its lender.
#[plain]
pub struct Settlement {
    /// Address of the lender's peer service.
    pub lender_address: Arc<str>,
    /// Id that the lender gave.
    pub loan_id: u64,
    /// Tokens that were not spent.
    pub returned: Tokens,
}

#[plain]
struct Pot {
    lender_address: Arc<str>,
    unspent: MicroTokens,
    lent_on: BTreeMap<u64, Sublease>,
    return_ms: TimeMs,
    deadline_ms: TimeMs,
    // A settled loan stays known until its deadline, so that a repeated answer adds nothing.
    settled: bool,
}

#[plain]
struct Sublease {
    amount: MicroTokens,
    deadline_ms: TimeMs,
}

/// The loans that a node holds for one workspace.
#[derive(Clone, Debug, Default)]
pub struct Borrowed {
    pots: BTreeMap<u64, Pot>,
}

impl Borrowed {
    /// Takes a loan in. A repeated or late answer adds nothing.
    pub fn receive(&mut self, loan: ReceivedLoan, now: TimeMs) {
        let deadline_ms = lease::requester_deadline(loan.asked_ms, loan.valid_ms);
        if deadline_ms <= now || self.pots.contains_key(&loan.loan_id) {
            return;
        }
        let keep_ms = deadline_ms.remaining(loan.asked_ms) * KEEP_PERCENT / 100;
        let pot = Pot {
            lender_address: loan.lender_address,
            unspent: loan.tokens.into(),
            lent_on: BTreeMap::new(),
            return_ms: loan.asked_ms.after(keep_ms),
            deadline_ms,
            settled: false,
        };
        self.pots.insert(loan.loan_id, pot);
    }

    /// Forgets loans past their deadline.
    pub fn advance(&mut self, now: TimeMs) {
        self.pots.retain(|_, pot| pot.deadline_ms > now);
        for pot in self.pots.values_mut() {
            pot.lent_on.retain(|_, sublease| sublease.deadline_ms > now);
        }
    }

    /// Returns the tokens that may be spent. The caller has advanced the loans.
    pub fn available(&self) -> MicroTokens {
        self.pots
            .values()
            .fold(MicroTokens(0), |sum, pot| sum + pot.unspent)
    }

    /// Spends up to `amount` from the loans that end first, and returns how much.
    pub fn take(&mut self, amount: MicroTokens) -> MicroTokens {
        let mut pots: Vec<&mut Pot> = self.pots.values_mut().collect();
        pots.sort_by_key(|pot| pot.deadline_ms);
        let mut taken = MicroTokens(0);
        for pot in pots {
            let part = pot.unspent.min(amount.saturating_sub(taken));
            pot.unspent -= part;
            taken += part;
        }
        taken
    }

    /// Lends on up to `wanted` from one loan, the one that lasts longest.
    pub fn lend_on(&mut self, loan_id: u64, wanted: Tokens, now: TimeMs) -> Option<LoanTerms> {
        let pot = self
            .pots
            .values_mut()
            .filter(|pot| pot.unspent.floor_tokens().0 > 0)
            .max_by_key(|pot| pot.deadline_ms)?;
        let tokens = wanted.min(pot.unspent.floor_tokens());
        let valid_ms = pot.deadline_ms.remaining(now);
        if tokens.0 == 0 || valid_ms == 0 {
            return None;
        }
        pot.unspent -= tokens.into();
        let sublease = Sublease {
            amount: tokens.into(),
            deadline_ms: pot.deadline_ms,
        };
        pot.lent_on.insert(loan_id, sublease);
        Some(LoanTerms {
            loan_id,
            tokens,
            valid_ms,
        })
    }

    /// Ends a loan that was lent on, and takes back what was not spent. Returns false if no such
    /// loan is outstanding.
    pub fn settle_loan(&mut self, loan_id: u64, returned: Tokens) -> bool {
        for pot in self.pots.values_mut() {
            if let Some(sublease) = pot.lent_on.remove(&loan_id) {
                pot.unspent += sublease.amount.min(returned.into());
                return true;
            }
        }
        false
    }

    /// Ends the loans that are spent or were kept long enough. What is returned leaves this node
    /// with the call, whether or not the settlement arrives.
    pub fn settle_due(&mut self, now: TimeMs) -> Vec<Settlement> {
        let due = |pot: &Pot| {
            let over = pot.unspent.floor_tokens().0 == 0 || now >= pot.return_ms;
            !pot.settled && pot.lent_on.is_empty() && over
        };
        let mut settlements = Vec::new();
        for (loan_id, pot) in &mut self.pots {
            if due(pot) {
                settlements.push(pot.settle(*loan_id));
            }
        }
        settlements
    }

    /// Ends all loans of which nothing is lent on.
    pub fn settle_all(&mut self) -> Vec<Settlement> {
        self.pots
            .iter_mut()
            .filter(|(_, pot)| !pot.settled && pot.lent_on.is_empty())
            .map(|(loan_id, pot)| pot.settle(*loan_id))
            .collect()
    }
}

impl Pot {
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
