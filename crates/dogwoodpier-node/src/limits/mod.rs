//! Rate and burst limits of workspaces, in tokens over the whole fleet.
//!
//! The decisions are in [`dogwoodpier_core::escrow`]. This module has the accounts of this node
//! (`accounts`), the calls that borrow and return tokens (`borrow`), and the answers to calls of
//! borrowing peers (`lend`).

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
use self::borrow::BorrowQueues;

// Attempts to borrow the tokens that one request lacks. The second attempt serves a request whose
// borrowed tokens other requests have spent first.
const MAX_BORROW_ATTEMPTS: usize = 2;
const RETRY_AFTER_MIN_MS: u64 = 50;
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// Token accounts of the workspaces on this node, and the requests that wait for borrowed tokens.
#[derive(Default)]
pub struct Limits {
    accounts: Accounts,
    borrow_queues: BorrowQueues,
}

/// Tokens taken for one request.
#[derive(Debug)]
pub struct Permit {
    /// Workspace that is charged.
    pub workspace: Arc<str>,
    /// Tokens taken.
    pub charged_tokens: Tokens,
    charge: Charge,
}

impl Limits {
    /// Takes `cost` from the workspace's account, and borrows missing tokens from peers.
    ///
    /// Refuses the request after `MAX_BORROW_ATTEMPTS`, as soon as borrowing is backed off because
    /// no peer had tokens, and at `deadline_ms`.
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
        let mut borrow_attempts = 0;
        let result = loop {
            match self.try_admit(node, workspace, cost)? {
                Admission::Admitted(charge) => break Ok(charge),
                Admission::AboveBurst => break Err(above_burst()),
                Admission::Short(short) => {
                    let give_up =
                        borrow_attempts >= MAX_BORROW_ATTEMPTS || clock::now() >= deadline_ms;
                    if give_up || !borrow::borrow_missing(node, workspace, short, deadline_ms).await
                    {
                        break Err(self.rate_limited(node, workspace, cost));
                    }
                    borrow_attempts += 1;
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

    /// Corrects the charge for a request to `actual`, the tokens that it used.
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

    /// Ends loans of this node and takes their unspent tokens back.
    pub fn settle_loans(&self, node: &Node, request: SettleLoansRequest, now: TimeMs) {
        for settlement in request.settlements {
            let returned = Tokens(settlement.returned_tokens);
            self.accounts
                .with(node, &settlement.workspace, now, |account, backings| {
                    account.settle_loan(settlement.loan_id, returned, backings, now);
                });
        }
    }

    /// Returns the limits' state as JSON for `/dump`.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        self.accounts.dump(now)
    }

    /// Adds the levels of an acquired slot to the accounts.
    pub(crate) fn add_slot(&self, node: &Node, acquired: Acquired, now: TimeMs) {
        self.accounts.add_slot(node, acquired, now);
    }

    /// Takes a slot's share out of all accounts and passes it to `hand_over`, which returns the
    /// write that hands the slot over, in one atomic step. Returns `None` if the slot may not be
    /// handed over, an outstanding loan still depends on it, or `hand_over` returns `None`.
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

    /// Ends all loans that this node has received and returns their tokens, at a shutdown.
    pub(crate) async fn return_all(&self, node: &SharedNode) {
        borrow::return_loans(node, Account::settle_all).await;
    }

    fn try_admit(
        &self,
        node: &Node,
        workspace: &Arc<str>,
        cost: Tokens,
    ) -> Result<Admission, Refusal> {
        // Read after any wait, so that a node that was paused doesn't act on outdated state.
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

/// Settles loans and borrows ahead the tokens that the recent demand predicts, until the process
/// ends.
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
