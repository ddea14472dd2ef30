//! Rates and bursts of workspaces, counted in tokens over the whole fleet.
//!
//! The decisions are in [`dogwoodpier_core::escrow`]. Here are the accounts of this node (`accounts`),
//! the calls that borrow and return tokens (`borrow`), and the answers to those calls (`lend`).

mod accounts;
mod borrow;
mod lend;

use std::collections::BTreeMap;
use std::sync::Arc;

use metrics::counter;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::Account;
use dogwoodpier_core::escrow::Admission;
use dogwoodpier_core::escrow::Charge;
use dogwoodpier_core::escrow::MicroTokens;
use dogwoodpier_core::slots::Acquired;
use dogwoodpier_core::slots::SlotTable;
use dogwoodpier_core::slots::Write;
use dogwoodpier_proto::BorrowReply;
use dogwoodpier_proto::BorrowRequest;
use dogwoodpier_proto::SettleLoansRequest;

use crate::clock;
use crate::counters;
use crate::state::Node;
use crate::state::SharedNode;

use self::accounts::Accounts;
use self::borrow::Gathers;

// Tries to gather tokens for one request: one more after others were quicker.
const MAX_GATHERS: usize = 2;
const RETRY_AFTER_MIN_MS: u64 = 50;
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// Token buckets of the slots that this node holds, and its loans.
#[derive(Default)]
pub struct Limits {
    accounts: Accounts,
    gathers: Gathers,
}

/// Tokens that were taken for one request.
#[derive(Debug)]
pub struct Permit {
    /// Workspace that pays.
    pub workspace: Arc<str>,
    /// Tokens taken.
    pub charged_tokens: Tokens,
    charge: Charge,
}

impl Limits {
    /// Takes `cost` from the workspace's bucket, borrowing from peers if need be. Waits no longer
    /// than is worth while, and never past `deadline_ms`.
    pub async fn admit(
        &self,
        node: &SharedNode,
        workspace: &Arc<str>,
        cost: Tokens,
        deadline_ms: TimeMs,
    ) -> Result<Permit, Refusal> {
        let now = clock::now();
        self.accounts
            .with(node, workspace, now, |account, _| {
                account.record_demand(cost, now);
            })
            .ok_or_else(unknown_workspace)?;
        let mut gathers = 0;
        let result = loop {
            match self.try_admit(node, workspace, cost)? {
                Admission::Admitted(charge) => break Ok(charge),
                Admission::AboveBurst => break Err(above_burst()),
                Admission::Short(short) => {
                    let in_vain = gathers >= MAX_GATHERS || clock::now() >= deadline_ms;
                    if in_vain || !borrow::gather(node, workspace, short, deadline_ms).await {
                        break Err(self.rate_limited(node, workspace, cost));
                    }
                    gathers += 1;
                }
            }
        };
        let outcome = if result.is_ok() {
            "admitted"
        } else {
            "refused"
        };
        counter!(counters::LIMIT_TOKENS_TOTAL, "outcome" => outcome).increment(cost.0);
        result.map(|charge| Permit {
            workspace: workspace.clone(),
            charged_tokens: cost,
            charge,
        })
    }

    /// Gives back what a request didn't use. `actual` is what it used.
    pub fn settle(&self, node: &Node, permit: Permit, actual: Tokens, now: TimeMs) {
        self.accounts
            .with(node, &permit.workspace, now, |account, backings| {
                account.settle(permit.charge, actual, backings, now);
            });
    }

    /// Lends tokens to a peer.
    pub async fn lend(&self, node: &SharedNode, request: BorrowRequest) -> BorrowReply {
        lend::lend(node, request).await
    }

    /// Takes back unspent tokens of loans.
    pub fn settle_loans(&self, node: &Node, request: SettleLoansRequest, now: TimeMs) {
        for settlement in request.settlements {
            let returned = Tokens(settlement.returned_tokens);
            self.accounts
                .with(node, &settlement.workspace, now, |account, backings| {
                    account.settle_loan(settlement.loan_id, returned, backings, now);
                });
        }
    }

    /// Returns the state as JSON.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        self.accounts.dump(now)
    }

    /// Adds the levels that came with a slot.
    pub(crate) fn take_slot(&self, node: &Node, acquired: Acquired, now: TimeMs) {
        self.accounts.take_slot(node, acquired, now);
    }

    /// Takes a slot's share of all buckets out and lets `hand_over` write it down, in one step. None
    /// if a loan still stands on the slot, or `hand_over` declines.
    pub(crate) fn release_slot<F>(
        &self,
        node: &Node,
        slot: u32,
        now: TimeMs,
        hand_over: F,
    ) -> Option<Write>
    where
        F: FnOnce(&mut SlotTable, BTreeMap<Arc<str>, MicroTokens>) -> Option<Write>,
    {
        self.accounts.release_slot(node, slot, now, hand_over)
    }

    /// Returns all borrowed tokens, for a shutdown.
    pub(crate) async fn return_all(&self, node: &SharedNode) {
        borrow::return_loans(node, Account::settle_all).await;
    }

    fn try_admit(
        &self,
        node: &Node,
        workspace: &Arc<str>,
        cost: Tokens,
    ) -> Result<Admission, Refusal> {
        // The time is read here, after any wait: a node that was paused acts on nothing old.
        let now = clock::now();
        self.accounts
            .with(node, workspace, now, |account, backings| {
                account.admit(cost, backings, now)
            })
            .ok_or_else(unknown_workspace)
    }

    fn rate_limited(&self, node: &Node, workspace: &Arc<str>, cost: Tokens) -> Refusal {
        let now = clock::now();
        let retry_after_ms = self
            .accounts
            .with(node, workspace, now, |account, _| {
                let short = MicroTokens::from(cost).saturating_sub(account.spendable());
                account
                    .bucket()
                    .limit()
                    .accrual_time_ms(short.ceil_tokens())
            })
            .flatten()
            .unwrap_or(RETRY_AFTER_MAX_MS)
            .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        Refusal::not_run(
            RefusalReason::RateLimited,
            "the workspace is above its rate; come back when Retry-After says",
        )
        .retry_after(retry_after_ms)
    }
}

/// Settles loans and asks ahead for tokens that the demand of the last seconds will need.
pub async fn run(node: SharedNode) {
    borrow::run(node).await;
}

fn above_burst() -> Refusal {
    Refusal::not_run(
        RefusalReason::AboveBurst,
        "the request needs more tokens than the workspace's whole burst; make it smaller",
    )
}

fn unknown_workspace() -> Refusal {
    Refusal::not_run(
        RefusalReason::InvalidKey,
        "the key's workspace no longer exists",
    )
}
