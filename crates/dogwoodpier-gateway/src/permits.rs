//! Permits to send requests to upstreams that have named a rate limit, requested from the instances
//! that issue them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::counters;
use crate::owners;
use crate::owners::OwnerReply;
use crate::peer_messages::Message;
use crate::request::ClientRequest;
use crate::state::Gateway;

// Time after which an owner that did not answer has been replaced, or knows a new upstream.
const NO_DECISION_RETRY_MS: u64 = 250;

/// A request for a permit.
#[wire]
pub struct PermitRequest {
    /// Identifies the request at the instance that sends it.
    pub ticket: u64,
    /// The upstream.
    pub upstream: Arc<str>,
    /// Limit of the upstream, as the sender knows it.
    pub limit_per_s: f64,
    /// Time for which the request can wait.
    pub max_wait_ms: u64,
}

/// Notice of a permit, for the instances that others may ask for permits for the same upstream.
#[wire]
pub struct PermitNotice {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Limit by which the permit was issued.
    pub limit_per_s: f64,
}

/// The answer to a request for a permit.
#[wire]
pub struct PermitAnswer {
    /// Ticket of the request.
    pub ticket: u64,
    /// Whether the permit was issued.
    pub decision: PermitDecision,
}

/// Permission to send one request to an upstream.
#[must_use]
pub struct SendPermit(());

/// A permit was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPermit {
    /// Time until the next permit, if no other is issued.
    pub retry_after_ms: u64,
}

/// Gets a permit to send a request to an upstream, at once if the upstream has named no limit. Waits
/// until `wait_deadline_ms` at most.
///
/// # Errors
///
/// Fails if there is no permit in time, or if the upstream takes no requests any more.
pub async fn acquire(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    wait_deadline_ms: TimeMs,
) -> Result<SendPermit, NoPermit> {
    let now = clock::now();
    let max_wait_ms = wait_deadline_ms.remaining(now);
    let (limit_per_s, withheld_ms) = {
        let limits = &gateway.state().upstream_limits;
        match limits.limit_per_s(upstream) {
            None => return Ok(SendPermit(())),
            Some(limit_per_s) => (limit_per_s, limits.withheld_ms(upstream, now)),
        }
    };
    if withheld_ms > max_wait_ms {
        return Err(NoPermit {
            retry_after_ms: withheld_ms,
        });
    }
    let decision = decide(gateway, upstream, limit_per_s, max_wait_ms).await;
    log_decision(gateway, request, upstream, limit_per_s, decision);
    match decision {
        PermitDecision::Granted { wait_ms: 0 } => Ok(SendPermit(())),
        PermitDecision::Granted { wait_ms } => {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            let upstreams = &gateway.state().upstreams;
            let known = upstreams.get(&upstream.id);
            match known.is_some_and(|known| upstreams.is_available(known)) {
                true => Ok(SendPermit(())),
                false => Err(NoPermit { retry_after_ms: 0 }),
            }
        }
        PermitDecision::Denied { retry_after_ms } => {
            let deadline_ms = clock::now().after(retry_after_ms);
            let limits = &mut gateway.state().upstream_limits;
            limits.withhold(upstream, deadline_ms);
            Err(NoPermit { retry_after_ms })
        }
    }
}

// Returns the name whose owner issues the permits for an upstream. For engines it is that of their
// service, so that its broker knows which of them have permits left.
fn owned_name(upstream: &Upstream) -> &Arc<str> {
    match upstream.stage {
        Some(_) => &upstream.service,
        None => &upstream.id,
    }
}

async fn decide(
    gateway: &Gateway,
    upstream: &Upstream,
    limit_per_s: f64,
    max_wait_ms: u64,
) -> PermitDecision {
    let message = |ticket| {
        Message::PermitAsk(PermitRequest {
            ticket,
            upstream: upstream.id.clone(),
            limit_per_s,
            max_wait_ms,
        })
    };
    let pending = &gateway.pending_permit_requests;
    match owners::ask(gateway, owned_name(upstream), pending, message).await {
        OwnerReply::Local => decide_locally(gateway, &upstream.id, limit_per_s, max_wait_ms),
        OwnerReply::Peer { answer, .. } => answer,
        OwnerReply::NoAnswer => PermitDecision::Denied {
            retry_after_ms: NO_DECISION_RETRY_MS,
        },
    }
}

fn decide_locally(
    gateway: &Gateway,
    id: &str,
    asked_limit_per_s: f64,
    max_wait_ms: u64,
) -> PermitDecision {
    let now = clock::now();
    let mut state = gateway.state();
    let Some(upstream) = state.upstreams.get(id).cloned() else {
        return PermitDecision::Denied {
            retry_after_ms: NO_DECISION_RETRY_MS,
        };
    };
    let known_limit_per_s = state.upstream_limits.limit_per_s(&upstream);
    let limit_per_s = known_limit_per_s.unwrap_or(asked_limit_per_s);
    let membership = state.peer_reports.membership(now);
    let permits = &mut state.permits;
    let decision = permits.request(&upstream.id, limit_per_s, max_wait_ms, membership, now);
    drop(state);
    if let PermitDecision::Granted { .. } = decision {
        let notice = Message::PermitNotice(PermitNotice {
            upstream: upstream.id.clone(),
            limit_per_s,
        });
        for address in owners::candidates(gateway, owned_name(&upstream)) {
            gateway.send_message(address, &notice);
        }
    }
    decision
}

/// Handles a peer's notice of a permit.
pub fn handle_notice(gateway: &Gateway, notice: &PermitNotice) {
    let now = clock::now();
    let mut state = gateway.state();
    let Some(upstream) = state.upstreams.get(&notice.upstream).cloned() else {
        return;
    };
    let membership = state.peer_reports.membership(now);
    let permits = &mut state.permits;
    permits.record_issued(&upstream.id, notice.limit_per_s, membership, now);
}

fn log_decision(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    limit_per_s: f64,
    decision: PermitDecision,
) {
    let (result, wait_ms) = match decision {
        PermitDecision::Granted { wait_ms } => ("granted", wait_ms),
        PermitDecision::Denied { retry_after_ms } => ("denied", retry_after_ms),
    };
    metrics::counter!(counters::PERMITS_TOTAL, "result" => result).increment(1);
    gateway.events.write(
        "permit",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "result": result,
            "wait_ms": wait_ms,
            "limit_per_s": limit_per_s,
        }),
    );
}

/// Answers the permit request of a peer.
pub fn handle_request(gateway: &Gateway, from: SocketAddr, request: &PermitRequest) {
    let PermitRequest {
        ticket,
        upstream,
        limit_per_s,
        max_wait_ms,
    } = request;
    let answer = PermitAnswer {
        ticket: *ticket,
        decision: decide_locally(gateway, upstream, *limit_per_s, *max_wait_ms),
    };
    gateway.send_message(from, &Message::PermitAnswer(answer));
}

/// Handles the answer to a permit request of this instance. A permit that arrives too late is not
/// returned: the upstream gets one request less.
pub fn handle_answer(gateway: &Gateway, answer: PermitAnswer) {
    let pending = &gateway.pending_permit_requests;
    if !pending.deliver(answer.ticket, answer.decision) {
        log::debug!("answer for a permit request that was dropped");
    }
}
