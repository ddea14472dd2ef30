//! Borrowing: for a request that waits, and ahead of demand.

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
// Members asked in one round.
const MAX_ASKED: usize = 32;
// A workspace of which nobody had tokens is left alone for this time.
const DRY_MS: u64 = 100;
// The broker has asked everybody a moment ago, but it may be cut off from some.
const DIRECT_INTERVAL_MS: u64 = 1_000;
const DRY_AHEAD_MS: u64 = 500;

/// Requests that wait for tokens, by workspace. One gathering at a time serves all that wait.
#[derive(Default)]
pub(super) struct Gathers {
    by_workspace: Mutex<BTreeMap<Arc<str>, Arc<Gather>>>,
}

#[derive(Default)]
struct Gather {
    waiting: Mutex<Waiting>,
    running: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct Waiting {
    wanted: Tokens,
    // Until then there is no use in asking.
    dry_deadline_ms: TimeMs,
    dry_ahead_deadline_ms: TimeMs,
    // As broker: until then collecting is no use.
    dry_broker_deadline_ms: TimeMs,
    next_direct_ms: TimeMs,
}

impl Gathers {
    fn of(&self, workspace: &str) -> Arc<Gather> {
        let mut gathers = self
            .by_workspace
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        gathers.entry(workspace.into()).or_default().clone()
    }
}

impl Waiting {
    fn direct_is_due(&mut self, now: TimeMs) -> bool {
        let due = now >= self.next_direct_ms;
        if due {
            self.next_direct_ms = now.after(DIRECT_INTERVAL_MS);
        }
        due
    }
}

impl Gather {
    // Adds to what is wanted, unless nobody had anything a moment ago.
    fn enlist(&self, short: Tokens) -> bool {
        let mut waiting = self.waiting();
        let dry = clock::now() < waiting.dry_deadline_ms;
        if !dry {
            waiting.wanted = waiting.wanted + short;
        }
        !dry
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gathers tokens that a request lacks. Returns false if there is no use in trying again.
pub(super) async fn gather(
    node: &SharedNode,
    workspace: &Arc<str>,
    short: Tokens,
    deadline_ms: TimeMs,
) -> bool {
    let gather = node.limits.gathers.of(workspace);
    if !gather.enlist(short) {
        return false;
    }
    let limit = Duration::from_millis(deadline_ms.remaining(clock::now()));
    tokio::time::timeout(limit, gather_all(node, workspace, &gather))
        .await
        .is_ok()
}

async fn gather_all(node: &SharedNode, workspace: &Arc<str>, gather: &Gather) {
    let _running = gather.running.lock().await;
    let wanted = std::mem::take(&mut gather.waiting().wanted);
    // Otherwise the gathering before has served this request as well.
    if wanted.0 == 0 {
        return;
    }
    let borrowed = borrow(node, vec![item(node, workspace, wanted, true)]).await;
    if borrowed.0 == 0 {
        gather.waiting().dry_deadline_ms = clock::now().after(DRY_MS);
    }
}

/// Borrows for some workspaces, from their brokers and then from everybody. Returns how much.
async fn borrow(node: &SharedNode, items: Vec<BorrowItem>) -> Tokens {
    let members = node.peers.alive(clock::now());
    let mut by_broker: BTreeMap<String, (Option<NodeInfo>, Vec<BorrowItem>)> = BTreeMap::new();
    for item in items {
        let broker = broker(node, &item.workspace, &members);
        let address = broker.as_ref().map(|info| info.peer_address.clone());
        let entry = by_broker.entry(address.unwrap_or_default());
        entry.or_insert((broker, Vec::new())).1.push(item);
    }
    let asks = by_broker.into_values().map(|(broker, items)| async move {
        match broker {
            Some(broker) => borrow_through(node, &broker, items).await,
            None => collect(node, items, &[]).await,
        }
    });
    sum(join_all(asks).await)
}

async fn borrow_through(node: &SharedNode, broker: &NodeInfo, items: Vec<BorrowItem>) -> Tokens {
    let answer = ask(node, broker, items.clone(), true).await;
    let broker_answered = answer.is_some();
    let borrowed = answer.unwrap_or_default();
    let now = clock::now();
    let short: Vec<BorrowItem> = items
        .into_iter()
        .filter_map(|item| {
            let got = borrowed.get(&item.workspace).copied().unwrap_or(0);
            let tokens = item.tokens.saturating_sub(got);
            (tokens > 0).then_some(BorrowItem { tokens, ..item })
        })
        .filter(|item| {
            let gather = node.limits.gathers.of(&item.workspace);
            !broker_answered || gather.waiting().direct_is_due(now)
        })
        .collect();
    let through_broker = Tokens(borrowed.values().sum());
    if short.is_empty() {
        return through_broker;
    }
    let instance = broker.id.clone().unwrap_or_default().instance;
    through_broker + collect(node, short, &[&instance]).await
}

/// Collects as broker for another member, unless that brought nothing a moment ago.
pub(super) async fn collect_as_broker(
    node: &SharedNode,
    mut items: Vec<BorrowItem>,
    borrower: &str,
) {
    let now = clock::now();
    items.retain(|item| {
        let gather = node.limits.gathers.of(&item.workspace);
        let dry = now < gather.waiting().dry_broker_deadline_ms;
        !dry
    });
    let workspaces: Vec<String> = items.iter().map(|item| item.workspace.clone()).collect();
    if items.is_empty() || collect(node, items, &[borrower]).await.0 > 0 {
        return;
    }
    for workspace in workspaces {
        let gather = node.limits.gathers.of(&workspace);
        gather.waiting().dry_broker_deadline_ms = clock::now().after(DRY_MS);
    }
}

/// Asks other members directly, first each for twice its part, then for all that is missing.
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
    let asked: Vec<&NodeInfo> = members
        .choose_multiple(&mut rand::rng(), MAX_ASKED)
        .collect();
    if asked.is_empty() {
        return Tokens(0);
    }
    let part = asked.len() as u64;
    let mut missing = items;
    let mut total = Tokens(0);
    for divisor in [part.div_ceil(2), 1] {
        let parts: Vec<BorrowItem> = missing
            .iter()
            .map(|item| BorrowItem {
                tokens: item.tokens.div_ceil(divisor),
                ..item.clone()
            })
            .collect();
        let asks = asked
            .iter()
            .map(|info| ask(node, info, parts.clone(), false));
        for borrowed in join_all(asks).await.into_iter().flatten() {
            for item in &mut missing {
                let got = borrowed.get(&item.workspace).copied().unwrap_or(0);
                item.tokens = item.tokens.saturating_sub(got);
                total = total + Tokens(got);
            }
        }
        missing.retain(|item| item.tokens > 0);
        if missing.is_empty() || divisor == 1 {
            break;
        }
    }
    total
}

// Asks one member and takes its loans in. Returns the tokens by workspace, or `None` if there is no
// answer.
async fn ask(
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
    let asked_ms = clock::now();
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
    // Loans of a lost answer end by themselves.
    Some(take_loans(node, answer.ok()?, asked_ms))
}

fn take_loans(node: &Node, reply: BorrowReply, asked_ms: TimeMs) -> BTreeMap<String, u64> {
    let mut borrowed = BTreeMap::new();
    let now = clock::now();
    for loan in reply.loans {
        *borrowed.entry(loan.workspace.clone()).or_insert(0) += loan.tokens;
        counter!(counters::BORROWED_TOKENS_TOTAL).increment(loan.tokens);
        let workspace = loan.workspace.clone();
        node.limits
            .accounts
            .with(node, &workspace, now, |account, _| {
                account.receive_loan(received(loan, asked_ms), now);
            });
    }
    borrowed
}

fn received(loan: Loan, asked_ms: TimeMs) -> ReceivedLoan {
    ReceivedLoan {
        loan_id: loan.loan_id,
        lender_address: loan.lender.unwrap_or_default().peer_address.into(),
        tokens: Tokens(loan.tokens),
        valid_ms: loan.valid_ms,
        asked_ms,
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

/// Ends the loans that `choose` returns, and tells their lenders.
pub(super) async fn return_loans<F>(node: &SharedNode, mut choose: F)
where
    F: FnMut(&mut Account, TimeMs) -> Vec<Settlement>,
{
    let now = clock::now();
    let mut by_lender: BTreeMap<Arc<str>, Vec<LoanSettlement>> = BTreeMap::new();
    node.limits
        .accounts
        .for_each(node, now, |workspace, account, _| {
            for settlement in choose(account, now) {
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
        // A settlement that is lost wastes the loan's tokens, and nothing else.
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
    // Spawned calls go on by themselves; only a shutdown cares when they end.
    let calls: Vec<tokio::task::JoinHandle<()>> = calls.collect();
    if node.drain.is_draining() {
        join_all(calls).await;
    }
}

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
        let gather = node.limits.gathers.of(workspace);
        let dry = now < gather.waiting().dry_ahead_deadline_ms;
        !dry
    });
    let asks = items.into_iter().map(|(workspace, wanted)| async move {
        let borrowed = borrow(node, vec![item(node, &workspace, wanted, false)]).await;
        if borrowed.0 * 4 < wanted.0 {
            let gather = node.limits.gathers.of(&workspace);
            gather.waiting().dry_ahead_deadline_ms = clock::now().after(DRY_AHEAD_MS);
        }
    });
    join_all(asks).await;
}

// The broker of a workspace, or none if it is this node.
fn broker(node: &Node, workspace: &str, members: &[NodeInfo]) -> Option<NodeInfo> {
    let instance = |info: &NodeInfo| info.id.clone().unwrap_or_default().instance;
    let names: Vec<String> = members.iter().map(instance).collect();
    let own = node.settings.instance.clone();
    let everybody = names.iter().map(String::as_str).chain([&*own]);
    let chosen = rendezvous::pick(workspace, everybody)?;
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
