//! Borrows tokens from other members, for waiting requests and ahead of demand.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::join_all;
use metrics::counter;
use rand::seq::IndexedRandom;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::Account;
use dogwoodpier_core::escrow::ReceivedLoan;
use dogwoodpier_core::escrow::Settlement;
use dogwoodpier_core::rendezvous;
use dogwoodpier_proto::BorrowItem;
use dogwoodpier_proto::BorrowReply;
use dogwoodpier_proto::BorrowRequest;
use dogwoodpier_proto::Loan;
use dogwoodpier_proto::LoanSettlement;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::SettleLoansRequest;

use crate::clock;
use crate::counters;
use crate::state::Node;
use crate::state::SharedNode;

const TICK_MS: u64 = 100;
// Maximum number of members called in one round.
const MAX_LENDERS: usize = 32;
// Time without borrowing for a workspace after no member had tokens of it.
const EMPTY_BACKOFF_MS: u64 = 100;
// Minimum time between two rounds of direct calls after an answer of the broker. The broker has
// called the other members already, but it may be cut off from some of them.
const DIRECT_INTERVAL_MS: u64 = 1_000;
// Time without borrowing ahead for a workspace after less than a quarter of the tokens was lent.
const AHEAD_BACKOFF_MS: u64 = 500;

/// Requests that wait for borrowed tokens, by workspace. One call at a time borrows for all
/// requests of a workspace that wait.
#[derive(Default)]
pub(super) struct BorrowQueues {
    by_workspace: Mutex<BTreeMap<Arc<str>, Arc<BorrowQueue>>>,
}

#[derive(Default)]
struct BorrowQueue {
    state: Mutex<BorrowState>,
    running: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct BorrowState {
    wanted: Tokens,
    // Until then no tokens are borrowed for waiting requests.
    backoff_deadline_ms: TimeMs,
    // Until then no tokens are borrowed ahead of demand.
    ahead_backoff_deadline_ms: TimeMs,
    // Until then this node collects no tokens as broker.
    broker_backoff_deadline_ms: TimeMs,
    next_direct_ms: TimeMs,
}

impl BorrowQueues {
    fn queue(&self, workspace: &str) -> Arc<BorrowQueue> {
        let mut queues = self
            .by_workspace
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        queues.entry(workspace.into()).or_default().clone()
    }
}

impl BorrowState {
    // Returns whether other members may be called directly now, and if so starts the next interval.
    fn try_start_direct_round(&mut self, now: TimeMs) -> bool {
        let due = now >= self.next_direct_ms;
        if due {
            self.next_direct_ms = now.after(DIRECT_INTERVAL_MS);
        }
        due
    }
}

impl BorrowQueue {
    // Adds to the wanted tokens and returns true, unless borrowing is backed off.
    fn add_wanted(&self, short: Tokens) -> bool {
        let mut state = self.state();
        let backed_off = clock::now() < state.backoff_deadline_ms;
        if !backed_off {
            state.wanted = state.wanted + short;
        }
        !backed_off
    }

    fn state(&self) -> std::sync::MutexGuard<'_, BorrowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Borrows the tokens that a request lacks. Returns false if the request should not try again,
/// because its deadline has passed or a recent attempt found no member with tokens.
pub(super) async fn borrow_missing(
    node: &SharedNode,
    workspace: &Arc<str>,
    short: Tokens,
    deadline_ms: TimeMs,
) -> bool {
    let queue = node.limits.borrow_queues.queue(workspace);
    if !queue.add_wanted(short) {
        return false;
    }
    let limit = Duration::from_millis(deadline_ms.remaining(clock::now()));
    tokio::time::timeout(limit, borrow_wanted(node, workspace, &queue))
        .await
        .is_ok()
}

// Borrows the tokens that all waiting requests of a workspace lack.
async fn borrow_wanted(node: &SharedNode, workspace: &Arc<str>, queue: &BorrowQueue) {
    let _running = queue.running.lock().await;
    let wanted = std::mem::take(&mut queue.state().wanted);
    // Zero if the previous call has already borrowed for this request as well.
    if wanted.0 == 0 {
        return;
    }
    let borrowed = borrow(node, vec![item(node, workspace, wanted, true)]).await;
    if borrowed.0 == 0 {
        queue.state().backoff_deadline_ms = clock::now().after(EMPTY_BACKOFF_MS);
    }
}

/// Borrows tokens for some workspaces through their brokers, or directly from other members where
/// this node is the broker. Returns the number of borrowed tokens.
async fn borrow(node: &SharedNode, items: Vec<BorrowItem>) -> Tokens {
    let members = node.peers.alive(clock::now());
    let mut by_broker: BTreeMap<String, (Option<NodeInfo>, Vec<BorrowItem>)> = BTreeMap::new();
    for item in items {
        let broker = broker(node, &item.workspace, &members);
        let address = broker.as_ref().map(|info| info.peer_address.clone());
        let entry = by_broker.entry(address.unwrap_or_default());
        entry.or_insert((broker, Vec::new())).1.push(item);
    }
    let calls = by_broker.into_values().map(|(broker, items)| async move {
        match broker {
            Some(broker) => borrow_through(node, &broker, items).await,
            None => collect(node, items, &[]).await,
        }
    });
    sum(join_all(calls).await)
}

// Borrows through a broker, and then borrows directly from other members what is still missing.
// After an answer of the broker, direct calls are limited by `DIRECT_INTERVAL_MS`.
async fn borrow_through(node: &SharedNode, broker: &NodeInfo, items: Vec<BorrowItem>) -> Tokens {
    let answer = request_loans(node, broker, items.clone(), true).await;
    let broker_answered = answer.is_some();
    let borrowed = answer.unwrap_or_default();
    let now = clock::now();
    let short: Vec<BorrowItem> = items
        .into_iter()
        .filter_map(|item| {
            let lent = borrowed.get(&item.workspace).copied().unwrap_or(0);
            let tokens = item.tokens.saturating_sub(lent);
            (tokens > 0).then_some(BorrowItem { tokens, ..item })
        })
        .filter(|item| {
            let queue = node.limits.borrow_queues.queue(&item.workspace);
            !broker_answered || queue.state().try_start_direct_round(now)
        })
        .collect();
    let through_broker = Tokens(borrowed.values().sum());
    if short.is_empty() {
        return through_broker;
    }
    let instance = broker.id.clone().unwrap_or_default().instance;
    through_broker + collect(node, short, &[&instance]).await
}

/// Collects tokens as broker for another member, unless a recent attempt yielded none.
pub(super) async fn collect_as_broker(
    node: &SharedNode,
    mut items: Vec<BorrowItem>,
    borrower: &str,
) {
    let now = clock::now();
    items.retain(|item| {
        let queue = node.limits.borrow_queues.queue(&item.workspace);
        let backed_off = now < queue.state().broker_backoff_deadline_ms;
        !backed_off
    });
    let workspaces: Vec<String> = items.iter().map(|item| item.workspace.clone()).collect();
    if items.is_empty() || collect(node, items, &[borrower]).await.0 > 0 {
        return;
    }
    for workspace in workspaces {
        let queue = node.limits.borrow_queues.queue(&workspace);
        queue.state().broker_backoff_deadline_ms = clock::now().after(EMPTY_BACKOFF_MS);
    }
}

/// Borrows from other members directly. Requests twice an equal share from each of them first, then
/// all that is still missing.
pub(super) async fn collect(
    node: &SharedNode,
    items: Vec<BorrowItem>,
    excluded: &[&str],
) -> Tokens {
    let mut members = node.peers.alive(clock::now());
    members.retain(|info| {
        let instance = info.id.clone().unwrap_or_default().instance;
        !excluded.contains(&instance.as_str())
    });
    let lenders: Vec<&NodeInfo> = members
        .choose_multiple(&mut rand::rng(), MAX_LENDERS)
        .collect();
    if lenders.is_empty() {
        return Tokens(0);
    }
    let lender_count = lenders.len() as u64;
    let mut missing = items;
    let mut total = Tokens(0);
    for divisor in [lender_count.div_ceil(2), 1] {
        let shares: Vec<BorrowItem> = missing
            .iter()
            .map(|item| BorrowItem {
                tokens: item.tokens.div_ceil(divisor),
                ..item.clone()
            })
            .collect();
        let calls = lenders
            .iter()
            .map(|lender| request_loans(node, lender, shares.clone(), false));
        for borrowed in join_all(calls).await.into_iter().flatten() {
            for item in &mut missing {
                let lent = borrowed.get(&item.workspace).copied().unwrap_or(0);
                item.tokens = item.tokens.saturating_sub(lent);
                total = total + Tokens(lent);
            }
        }
        missing.retain(|item| item.tokens > 0);
        if missing.is_empty() || divisor == 1 {
            break;
        }
    }
    total
}

// Requests loans from one member and adds them to the accounts. Returns the tokens by workspace, or
// `None` if the member does not answer.
async fn request_loans(
    node: &SharedNode,
    lender: &NodeInfo,
    items: Vec<BorrowItem>,
    as_broker: bool,
) -> Option<BTreeMap<String, u64>> {
    let request = BorrowRequest {
        borrower: Some(node.id()),
        items,
        as_broker,
    };
    let requested_ms = clock::now();
    let answer = node
        .peers
        .transport()
        .call(
            "borrow",
            &lender.peer_address,
            request,
            |mut client, request| async move { client.borrow(request).await },
        )
        .await;
    // Loans whose answer is lost expire without a settlement.
    Some(receive_loans(node, answer.ok()?, requested_ms))
}

fn receive_loans(node: &Node, reply: BorrowReply, requested_ms: TimeMs) -> BTreeMap<String, u64> {
    let mut borrowed = BTreeMap::new();
    let now = clock::now();
    for loan in reply.loans {
        *borrowed.entry(loan.workspace.clone()).or_insert(0) += loan.tokens;
        counter!(counters::BORROWED_TOKENS_TOTAL).increment(loan.tokens);
        let workspace = loan.workspace.clone();
        node.limits
            .accounts
            .with(node, &workspace, now, |account, _| {
                account.receive_loan(received_loan(loan, requested_ms), now);
            });
    }
    borrowed
}

fn received_loan(loan: Loan, requested_ms: TimeMs) -> ReceivedLoan {
    ReceivedLoan {
        loan_id: loan.loan_id,
        lender_address: loan.lender.unwrap_or_default().peer_address.into(),
        tokens: Tokens(loan.tokens),
        valid_ms: loan.valid_ms,
        requested_ms,
    }
}

/// Returns loans that are spent or no longer needed, and borrows ahead, until the process ends.
pub(super) async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        node.limits.accounts.open_all(&node, clock::now());
        return_loans(&node, Account::settle_due).await;
        if !node.drain.is_draining() {
            borrow_ahead(&node).await;
        }
    }
}

/// Sends the settlements that `settle` returns for each account to the loans' lenders. Waits for
/// their answers only while this node drains.
pub(super) async fn return_loans<F>(node: &SharedNode, mut settle: F)
where
    F: FnMut(&mut Account, TimeMs) -> Vec<Settlement>,
{
    let now = clock::now();
    let mut by_lender: BTreeMap<Arc<str>, Vec<LoanSettlement>> = BTreeMap::new();
    node.limits
        .accounts
        .for_each(node, now, |workspace, account, _| {
            for settlement in settle(account, now) {
                let message = LoanSettlement {
                    loan_id: settlement.loan_id,
                    returned_tokens: settlement.returned.0,
                    workspace: workspace.to_string(),
                };
                let lender = by_lender.entry(settlement.lender_address).or_default();
                lender.push(message);
            }
        });
    let calls = by_lender.into_iter().map(|(address, settlements)| {
        let request = SettleLoansRequest {
            borrower: Some(node.id()),
            settlements,
        };
        let node = node.clone();
        // A lost settlement only wastes the unspent tokens of its loan.
        tokio::spawn(async move {
            let _ = node
                .peers
                .transport()
                .call(
                    "settle_loans",
                    &address,
                    request,
                    |mut client, request| async move { client.settle_loans(request).await },
                )
                .await;
        })
    });
    // The spawned calls run on their own. A shutdown must wait until they have ended.
    let calls: Vec<tokio::task::JoinHandle<()>> = calls.collect();
    if node.drain.is_draining() {
        join_all(calls).await;
    }
}

// Borrows the tokens that the recent demand of each workspace predicts.
async fn borrow_ahead(node: &SharedNode) {
    let now = clock::now();
    let mut items = Vec::new();
    node.limits
        .accounts
        .for_each(node, now, |workspace, account, backings| {
            let wanted = account.borrow_target(backings, now);
            if wanted.0 > 0 {
                items.push((workspace.clone(), wanted));
            }
        });
    items.retain(|(workspace, _)| {
        let queue = node.limits.borrow_queues.queue(workspace);
        let backed_off = now < queue.state().ahead_backoff_deadline_ms;
        !backed_off
    });
    let calls = items.into_iter().map(|(workspace, wanted)| async move {
        let borrowed = borrow(node, vec![item(node, &workspace, wanted, false)]).await;
        if borrowed.0 * 4 < wanted.0 {
            let queue = node.limits.borrow_queues.queue(&workspace);
            queue.state().ahead_backoff_deadline_ms = clock::now().after(AHEAD_BACKOFF_MS);
        }
    });
    join_all(calls).await;
}

// Returns the broker of a workspace, or `None` if it is this node.
fn broker(node: &Node, workspace: &str, members: &[NodeInfo]) -> Option<NodeInfo> {
    let instance = |info: &NodeInfo| info.id.clone().unwrap_or_default().instance;
    let names: Vec<String> = members.iter().map(instance).collect();
    let own = node.settings.instance.clone();
    let candidates = names.iter().map(String::as_str).chain([&*own]);
    let chosen = rendezvous::pick(workspace, candidates)?;
    members
        .iter()
        .find(|info| instance(info) == chosen)
        .cloned()
}

fn item(node: &Node, workspace: &Arc<str>, tokens: Tokens, is_urgent: bool) -> BorrowItem {
    BorrowItem {
        workspace: workspace.to_string(),
        tokens: tokens.0,
        config_version: node.config.current().version,
        is_urgent,
    }
}

fn sum(amounts: Vec<Tokens>) -> Tokens {
    Tokens(amounts.iter().map(|amount| amount.0).sum())
}
