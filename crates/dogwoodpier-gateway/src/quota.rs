//! Quota units, requested from the instances that own the workspaces' buckets.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::quota::Overdraft;
use dogwoodpier_core::gateway::routes::Workspace;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::counters;
use crate::owners;
use crate::owners::OwnerReply;
use crate::peer_messages::Message;
use crate::state::Gateway;
use crate::state::SharedGateway;

// A fraction of the time after which an instance that has observed nothing has stood still.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
// The buckets that this instance owns are updated once a second: a large fleet has thousands of
// workspaces whose owner has to be found.
const OBSERVATIONS_PER_ADVANCE: u32 = 4;
// Observations after the start with an update each: a bucket that begins a second later lacks the units
// of that second.
const STARTING_OBSERVATIONS: u32 = 8;

// Requests whose repeated answer came before the first one, which may still arrive: more than messages
// change their order in the time of a few round trips.
const MAX_REPEATED_TICKETS: usize = 64;

/// A request for units of a workspace.
#[wire]
pub struct QuotaRequest {
    /// Identifies the request at the instance that sends it.
    pub ticket: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// Units that the request costs.
    pub units: u64,
    /// Whether upstreams have room, so that units beyond the rate may be lent.
    pub has_room: bool,
}

/// The answer to a request for units.
#[wire]
pub struct QuotaAnswer {
    /// Ticket of the request.
    pub ticket: u64,
    /// The workspace.
    pub workspace: Arc<str>,
    /// Units that were requested.
    pub units: u64,
    /// Whether the units were charged.
    pub decision: Decision,
}

/// Units that are returned because the charged request has not run.
#[wire]
pub struct QuotaRefund {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The units.
    pub units: u64,
}

/// Tickets of the requests of this instance that were answered when they were repeated.
#[derive(Default)]
pub struct RepeatedTickets {
    tickets: Mutex<VecDeque<u64>>,
}

impl RepeatedTickets {
    fn record(&self, ticket: u64) {
        let mut tickets = self.lock();
        tickets.push_back(ticket);
        if tickets.len() > MAX_REPEATED_TICKETS {
            tickets.pop_front();
        }
    }

    fn contains(&self, ticket: u64) -> bool {
        self.lock().contains(&ticket)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<u64>> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Which instance decided on a request for units.
#[derive(Clone, Copy, Debug)]
pub enum DecidedBy {
    /// This instance, as the owner of the workspace.
    Local,
    /// A peer.
    Peer(SocketAddr),
    /// This instance, from its own share, as no owner answered.
    LocalShare,
}

impl DecidedBy {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Local => "here",
            Self::Peer(_) => "peer",
            Self::LocalShare => "own share",
        }
    }
}

/// A request for units was rejected.
#[derive(Clone, Copy, Debug)]
pub struct OverQuota {
    /// Time after which the client should retry.
    pub retry_after_ms: u64,
    /// Level of the bucket: units that were left.
    pub level: i64,
    /// Instance that decided.
    pub decided_by: DecidedBy,
}

/// Units charged for a request. They are returned if it is dropped without a possible run of the
/// request.
pub struct Charge {
    gateway: SharedGateway,
    workspace: Arc<str>,
    units: u64,
    decided_by: DecidedBy,
    // Sends after which the request may have run.
    runs: AtomicU32,
}

impl Charge {
    /// Records that the request is being sent to an upstream that may run it.
    pub fn record_run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the upstream has certainly not run the request.
    pub fn cancel_run(&self) {
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
        match self.decided_by {
            DecidedBy::Local => self.gateway.state().quotas.refund(&workspace, units),
            DecidedBy::LocalShare => {
                let mut state = self.gateway.state();
                state.quota_shares.refund(&workspace, units);
            }
            DecidedBy::Peer(address) => {
                let message = Message::QuotaReturn(QuotaRefund { workspace, units });
                self.gateway.send_message(address, &message);
            }
        }
    }
}

/// Charges units to a workspace.
///
/// `has_room` means that upstreams are lightly used, so that units beyond the rate may be lent.
///
/// # Errors
///
/// Fails if the workspace is over its quota.
pub async fn charge(
    gateway: &SharedGateway,
    workspace: &Arc<Workspace>,
    units: u64,
    has_room: bool,
) -> Result<Charge, OverQuota> {
    let (decision, decided_by) = decide(gateway, workspace, units, has_room).await;
    match decision {
        Decision::Rejected {
            retry_after_ms,
            level,
        } => Err(OverQuota {
            retry_after_ms,
            level,
            decided_by,
        }),
        Decision::Admitted => Ok(Charge {
            gateway: gateway.clone(),
            workspace: workspace.name.clone(),
            units,
            decided_by,
            runs: AtomicU32::new(0),
        }),
    }
}

async fn decide(
    gateway: &SharedGateway,
    workspace: &Workspace,
    units: u64,
    has_room: bool,
) -> (Decision, DecidedBy) {
    let message = |ticket| {
        Message::QuotaAsk(QuotaRequest {
            ticket,
            workspace: workspace.name.clone(),
            units,
            has_room,
        })
    };
    let pending = &gateway.pending_quota_requests;
    match owners::ask(gateway, &workspace.name, pending, message).await {
        OwnerReply::Local => {
            let decision = decide_locally(gateway, workspace, units, has_room);
            (decision, DecidedBy::Local)
        }
        OwnerReply::Peer { address, answer } => (answer, DecidedBy::Peer(address)),
        OwnerReply::NoAnswer => {
            let now = clock::now();
            observe(gateway);
            let mut state = gateway.state();
            let mut membership = state.peer_reports.membership(now);
            membership.reachable = 1;
            let shares = &mut state.quota_shares;
            let decision = shares.admit(workspace, units, membership, Overdraft::NONE, now);
            (decision, DecidedBy::LocalShare)
        }
    }
}

fn decide_locally(
    gateway: &Gateway,
    workspace: &Workspace,
    units: u64,
    has_room: bool,
) -> Decision {
    let now = clock::now();
    let tolerance = match has_room {
        true => gateway.settings.load().quota_tolerance,
        false => Overdraft::NONE,
    };
    observe(gateway);
    let mut state = gateway.state();
    let membership = state.peer_reports.membership(now);
    state
        .quotas
        .admit(workspace, units, membership, tolerance, now)
}

// Notes that this instance runs, before it decides on units.
fn observe(gateway: &Gateway) {
    let now = clock::now();
    let has_stood_still = {
        let mut state = gateway.state();
        state.peer_reports.observe(now);
        state.quota_shares.observe(now);
        state.quotas.observe(now)
    };
    if has_stood_still {
        metrics::counter!(counters::STANDSTILLS_TOTAL).increment(1);
        gateway
            .events
            .write("stood_still", serde_json::json!({ "source": "quotas" }));
    }
}

/// Answers the quota request of a peer.
pub fn handle_request(gateway: &Gateway, from: SocketAddr, request: &QuotaRequest) {
    let configuration = gateway.configuration.load();
    let workspace = configuration
        .as_ref()
        .and_then(|configuration| configuration.workspaces.get(&request.workspace));
    // The peer may know a newer configuration. Without an answer it asks the next owner.
    let Some(workspace) = workspace else {
        return;
    };
    let now = clock::now();
    let answer = |decision| QuotaAnswer {
        ticket: request.ticket,
        workspace: request.workspace.clone(),
        units: request.units,
        decision,
    };
    let before = gateway.state().quota_decisions.get(request.ticket, now);
    if let Some(decision) = before {
        metrics::counter!(counters::QUOTA_REPEATS_TOTAL).increment(1);
        gateway.send_message(from, &Message::QuotaRepeat(answer(decision)));
        return;
    }
    let decision = decide_locally(gateway, workspace, request.units, request.has_room);
    let mut state = gateway.state();
    state.quota_decisions.insert(request.ticket, decision, now);
    drop(state);
    gateway.send_message(from, &Message::QuotaAnswer(answer(decision)));
}

/// Handles the answer to a request that this instance has repeated. Unlike the first answer, it stands
/// for no charge of its own.
pub fn handle_repeat(gateway: &Gateway, answer: &QuotaAnswer) {
    let pending = &gateway.pending_quota_requests;
    if pending.deliver(answer.ticket, answer.decision) {
        gateway.repeated_tickets.record(answer.ticket);
    }
}

/// Handles the answer to a quota request of this instance. Returns the units if the request has
/// been dropped or was answered before.
pub fn handle_answer(gateway: &Gateway, from: SocketAddr, answer: QuotaAnswer) {
    let pending = &gateway.pending_quota_requests;
    let is_delivered = pending.deliver(answer.ticket, answer.decision)
        || gateway.repeated_tickets.contains(answer.ticket);
    if !is_delivered && answer.decision == Decision::Admitted {
        let message = Message::QuotaReturn(QuotaRefund {
            workspace: answer.workspace,
            units: answer.units,
        });
        gateway.send_message(from, &message);
    }
}

/// Handles the return of units that were charged for a peer's request.
pub fn handle_refund(gateway: &Gateway, refund: &QuotaRefund) {
    let quotas = &mut gateway.state().quotas;
    quotas.refund(&refund.workspace, refund.units);
}

/// Advances the buckets of the workspaces that this instance owns, for as long as the process
/// lives: they refill even while no units are requested.
pub async fn advance(gateway: SharedGateway) {
    let mut observations: u32 = 0;
    loop {
        tokio::time::sleep(OBSERVATION_INTERVAL).await;
        observe(&gateway);
        observations = observations.saturating_add(1);
        let is_starting = observations <= STARTING_OBSERVATIONS;
        if !is_starting && !observations.is_multiple_of(OBSERVATIONS_PER_ADVANCE) {
            continue;
        }
        let Some(configuration) = gateway.configuration.load_full() else {
            continue;
        };
        let workspaces = configuration.workspaces.values();
        let limited = workspaces.filter(|workspace| workspace.rate_per_s > 0);
        let owned: Vec<_> = limited
            .filter(|workspace| owners::is_local(&gateway, &workspace.name))
            .collect();
        let now = clock::now();
        let mut state = gateway.state();
        let membership = state.peer_reports.membership(now);
        state.quotas.advance(owned, membership, now);
    }
}
