//! Units of quotas, asked of the instances that hold the buckets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;

use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::quota::Overdraft;
use dogwoodpier_core::gateway::routes::Workspace;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::exchange::Message;
use crate::owners;
use crate::owners::ANSWER_TIMEOUT;
use crate::owners::MAX_SILENT_ASKS;
use crate::owners::Owner;
use crate::state::Gateway;
use crate::state::SharedGateway;

// Time between two looks at which workspaces' buckets are held here.
const ADVANCE_INTERVAL: Duration = Duration::from_secs(1);

/// A question for units of a workspace.
#[wire]
pub struct QuotaAsk {
    /// Identifies the question at the instance that asks.
    pub ticket: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// Units that the request costs.
    pub units: u64,
    /// Whether upstreams have room, so that units beyond the rate may be lent.
    pub has_room: bool,
}

/// The answer to a question for units.
#[wire]
pub struct QuotaAnswer {
    /// The question.
    pub ticket: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// Units that were asked for.
    pub units: u64,
    /// Whether the units were charged.
    pub decision: Decision,
}

/// Units that were charged for a request that has not run.
#[wire]
pub struct QuotaReturn {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The units.
    pub units: u64,
}

/// Questions of this instance that are under way.
pub struct QuotaAsks {
    next_ticket: AtomicU64,
    pending: Mutex<BTreeMap<u64, oneshot::Sender<Decision>>>,
}

impl Default for QuotaAsks {
    fn default() -> Self {
        Self {
            // Answers to the process before this one may still arrive.
            next_ticket: AtomicU64::new(rand::random()),
            pending: Mutex::default(),
        }
    }
}

impl QuotaAsks {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<Decision>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Who decided on a request for units.
#[derive(Clone, Copy, Debug)]
pub enum Holder {
    /// This instance, as the owner of the workspace.
    Here,
    /// A peer.
    Peer(SocketAddr),
    /// This instance, out of its own share: no owner answered.
    Share,
}

impl Holder {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Peer(_) => "peer",
            Self::Share => "own share",
        }
    }
}

/// Why units were not charged.
#[derive(Clone, Copy, Debug)]
pub struct OverQuota {
    /// Time after which the client should come back.
    pub retry_after_ms: u64,
    /// Units that were left.
    pub level: i64,
    /// Who decided.
    pub holder: Holder,
}

/// Units that were charged for a request. They go back when it is dropped without having run.
pub struct Charge {
    gateway: SharedGateway,
    workspace: Arc<str>,
    units: u64,
    holder: Holder,
    // Sends after which the request may have run.
    runs: AtomicU32,
}

impl Charge {
    /// Notes that the request is being sent to an upstream that may run it.
    pub fn begin_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that the upstream has certainly not run it.
    pub fn take_back_run(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.runs.load(Ordering::Relaxed) > 0 {
            return;
        }
        let workspace = self.workspace.clone();
        let units = self.units;
        match self.holder {
            Holder::Here => self.gateway.beliefs().quotas.refund(&workspace, units),
            Holder::Share => {
                let mut beliefs = self.gateway.beliefs();
                beliefs.quota_shares.refund(&workspace, units);
            }
            Holder::Peer(address) => {
                let message = Message::QuotaReturn(QuotaReturn { workspace, units });
                self.gateway.tell(address, &message);
            }
        }
    }
}

/// Charges units to a workspace, or returns why not.
///
/// `has_room` tells that upstreams are lightly used, so that units beyond the rate may be lent.
pub async fn charge(
    gateway: &SharedGateway,
    workspace: &Arc<Workspace>,
    units: u64,
    has_room: bool,
) -> Result<Charge, OverQuota> {
    let (decision, holder) = decide(gateway, workspace, units, has_room).await;
    match decision {
        Decision::Rejected {
            retry_after_ms,
            level,
        } => Err(OverQuota {
            retry_after_ms,
            level,
            holder,
        }),
        Decision::Admitted => Ok(Charge {
            gateway: gateway.clone(),
            workspace: workspace.name.clone(),
            units,
            holder,
            runs: AtomicU32::new(0),
        }),
    }
}

async fn decide(
    gateway: &SharedGateway,
    workspace: &Workspace,
    units: u64,
    has_room: bool,
) -> (Decision, Holder) {
    for _ in 0..owners::MAX_OWNERS {
        let (instance, address) = match owners::choose(gateway, &workspace.name) {
            Owner::Here => {
                let decision = decide_here(gateway, workspace, units, has_room);
                return (decision, Holder::Here);
            }
            Owner::Peer { instance, address } => (instance, address),
        };
        match ask(gateway, address, workspace, units, has_room).await {
            Some(decision) => return (decision, Holder::Peer(address)),
            None => gateway.owners.suspect(gateway, &instance, &workspace.name),
        }
    }
    let now = clock::now();
    let mut beliefs = gateway.beliefs();
    let mut membership = beliefs.exchange.membership(now);
    membership.reachable = 1;
    let shares = &mut beliefs.quota_shares;
    let decision = shares.admit(workspace, units, membership, Overdraft::NONE, now);
    (decision, Holder::Share)
}

fn decide_here(gateway: &Gateway, workspace: &Workspace, units: u64, has_room: bool) -> Decision {
    let now = clock::now();
    let tolerance = match has_room {
        true => gateway.settings.load().quota_tolerance,
        false => Overdraft::NONE,
    };
    let mut beliefs = gateway.beliefs();
    let membership = beliefs.exchange.membership(now);
    beliefs
        .quotas
        .admit(workspace, units, membership, tolerance, now)
}

// Removes a question whose request no longer waits for the answer.
struct Pending<'a> {
    asks: &'a QuotaAsks,
    ticket: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.asks.lock().remove(&self.ticket);
    }
}

// Asks an owner. Returns `None` if it doesn't answer.
async fn ask(
    gateway: &SharedGateway,
    owner: SocketAddr,
    workspace: &Workspace,
    units: u64,
    has_room: bool,
) -> Option<Decision> {
    let asks = &gateway.quota_asks;
    let ticket = asks.next_ticket.fetch_add(1, Ordering::Relaxed);
    let (sender, mut answer) = oneshot::channel();
    asks.lock().insert(ticket, sender);
    let _pending = Pending { asks, ticket };
    let question = Message::QuotaAsk(QuotaAsk {
        ticket,
        workspace: workspace.name.clone(),
        units,
        has_room,
    });
    for _ in 0..MAX_SILENT_ASKS {
        gateway.tell(owner, &question);
        match tokio::time::timeout(ANSWER_TIMEOUT, &mut answer).await {
            Ok(decision) => return decision.ok(),
            Err(_) => continue,
        }
    }
    None
}

/// Answers the question of a peer.
pub fn take_ask(gateway: &Gateway, from: SocketAddr, question: &QuotaAsk) {
    let configuration = gateway.configuration.load();
    let workspace = configuration
        .as_ref()
        .and_then(|configuration| configuration.workspaces.get(&question.workspace));
    // The peer may know a newer configuration; without an answer it asks the next owner.
    let Some(workspace) = workspace else {
        return;
    };
    let decision = decide_here(gateway, workspace, question.units, question.has_room);
    let answer = QuotaAnswer {
        ticket: question.ticket,
        workspace: question.workspace.clone(),
        units: question.units,
        decision,
    };
    gateway.tell(from, &Message::QuotaAnswer(answer));
}

/// Takes the answer to a question of this instance in. Units for a request that has left, or that was
/// answered before, go back.
pub fn take_answer(gateway: &Gateway, from: SocketAddr, answer: QuotaAnswer) {
    let sender = gateway.quota_asks.lock().remove(&answer.ticket);
    let is_taken = sender.is_some_and(|sender| sender.send(answer.decision).is_ok());
    if !is_taken && answer.decision == Decision::Admitted {
        let message = Message::QuotaReturn(QuotaReturn {
            workspace: answer.workspace,
            units: answer.units,
        });
        gateway.tell(from, &message);
    }
}

/// Takes units back that were charged for a request of a peer.
pub fn take_return(gateway: &Gateway, returned: &QuotaReturn) {
    let quotas = &mut gateway.beliefs().quotas;
    quotas.refund(&returned.workspace, returned.units);
}

/// Keeps the buckets of the workspaces that this instance decides for, for as long as the process
/// lives: they fill up also while nothing is asked.
pub async fn advance(gateway: SharedGateway) {
    loop {
        tokio::time::sleep(ADVANCE_INTERVAL).await;
        let Some(configuration) = gateway.configuration.load_full() else {
            continue;
        };
        let workspaces = configuration.workspaces.values();
        let limited = workspaces.filter(|workspace| workspace.rate_per_s > 0);
        let owned: Vec<_> = limited
            .filter(|workspace| owners::is_here(&gateway, &workspace.name))
            .collect();
        let now = clock::now();
        let mut beliefs = gateway.beliefs();
        let membership = beliefs.exchange.membership(now);
        beliefs.quotas.advance(owned, membership, now);
    }
}
