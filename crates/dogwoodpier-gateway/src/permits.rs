//! Permits to send requests to upstreams that have named a rate limit or are cold, requested from the
//! instances that issue them.
//!
//! A permit for a cold upstream is issued by its only owner. If that one does not answer, nothing is
//! sent: a successor could not know what the owner issues at the same time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::permits::SendLimit;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::cold;
use crate::counters;
use crate::owners;
use crate::owners::OwnerReply;
use crate::peer_messages::Message;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::RoutingState;

// Time after which an owner that did not answer has been replaced, or knows a new upstream.
const NO_DECISION_RETRY_MS: u64 = 250;
// Longest wait for a permit for a cold upstream. Permits that were issued ahead by an owner that has
// since ended add to those of its successor.
const MAX_COLD_WAIT_MS: u64 = 200;
// Time after which a permit for a cold upstream is no longer valid: a prefill at a warm engine fits
// into it. The sends of a second may use the permits of this time more, which fits into the 1.5 times
// the rate that a cold upstream stands.
const COLD_PERMIT_VALID_MS: u64 = 300;

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
pub struct SendPermit {
    // Time at which it was issued, `None` if the upstream had no limit.
    issued_ms: Option<TimeMs>,
}

/// A permit was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPermit {
    /// Time until the next permit, if no other is issued.
    pub retry_after_ms: u64,
}

/// Returns whether a request may be sent with a permit. For a cold upstream, the permit must have been
/// issued recently, and after it was known that the upstream is cold.
pub fn is_valid(gateway: &Gateway, upstream: &Upstream, permit: &SendPermit) -> bool {
    let now = clock::now();
    let limit = gateway.state().upstream_limits.send_limit(upstream, now);
    let is_recent = |issued_ms| now.since(issued_ms) <= COLD_PERMIT_VALID_MS;
    !limit.is_some_and(|limit| limit.is_cold) || permit.issued_ms.is_some_and(is_recent)
}

/// Returns `permit` if it is valid, or else another one, if there is one soon.
///
/// # Errors
///
/// Fails if there is none.
pub async fn renew(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    permit: SendPermit,
) -> Result<SendPermit, NoPermit> {
    if is_valid(gateway, upstream, &permit) {
        return Ok(permit);
    }
    let wait_deadline_ms = clock::now().after(MAX_COLD_WAIT_MS);
    acquire(
        gateway,
        request,
        upstream,
        wait_deadline_ms.min(request.deadline_ms),
    )
    .await
}

/// Gets a permit to send a request to an upstream, at once if the upstream has no limit. Waits until
/// `wait_deadline_ms` at most.
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
    let (limit, withheld_ms) = {
        let limits = &gateway.state().upstream_limits;
        match limits.send_limit(upstream, now) {
            None => return Ok(SendPermit { issued_ms: None }),
            Some(limit) => (limit, limits.withheld_ms(upstream, now)),
        }
    };
    let max_wait_ms = match limit.is_cold {
        true => wait_deadline_ms.remaining(now).min(MAX_COLD_WAIT_MS),
        false => wait_deadline_ms.remaining(now),
    };
    if withheld_ms > max_wait_ms {
        return Err(NoPermit {
            retry_after_ms: withheld_ms,
        });
    }
    let decision = decide(gateway, upstream, limit, max_wait_ms).await;
    log_decision(gateway, request, upstream, limit, decision);
    match decision {
        PermitDecision::Granted { wait_ms: 0 } => Ok(SendPermit {
            issued_ms: Some(now),
        }),
        PermitDecision::Granted { wait_ms } => {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            let upstreams = &gateway.state().upstreams;
            let known = upstreams.get(&upstream.id);
            match known.is_some_and(|known| upstreams.is_available(known)) {
                true => Ok(SendPermit {
                    issued_ms: Some(now.after(wait_ms)),
                }),
                false => Err(NoPermit { retry_after_ms: 0 }),
            }
        }
        PermitDecision::Denied { retry_after_ms } => {
            let retry_after_ms = match limit.is_cold {
                true => retry_after_ms.max(cold::ask_pause_ms(gateway, limit)),
                false => retry_after_ms,
            };
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
    limit: SendLimit,
    max_wait_ms: u64,
) -> PermitDecision {
    let message = |ticket| {
        Message::PermitAsk(PermitRequest {
            ticket,
            upstream: upstream.id.clone(),
            limit_per_s: limit.rate_per_s,
            max_wait_ms,
        })
    };
    let pending = &gateway.pending_permit_requests;
    let name = owned_name(upstream);
    let reply = match limit.is_cold {
        true => owners::ask_sole(gateway, name, pending, message).await,
        false => owners::ask(gateway, name, pending, message).await,
    };
    match reply {
        OwnerReply::Local => decide_locally(gateway, &upstream.id, limit.rate_per_s, max_wait_ms),
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
    let limit = issuing_limit(&state, &upstream, asked_limit_per_s, now);
    if limit.is_cold && !state.peers_known {
        // Others may be issuing permits.
        return PermitDecision::Denied {
            retry_after_ms: NO_DECISION_RETRY_MS,
        };
    }
    let membership = state.permit_membership(limit, now);
    let permits = &mut state.permits;
    let decision = permits.request(&upstream.id, limit, max_wait_ms, membership, now);
    drop(state);
    if let PermitDecision::Granted { .. } = decision {
        let notice = Message::PermitNotice(PermitNotice {
            upstream: upstream.id.clone(),
            limit_per_s: limit.rate_per_s,
        });
        let name = owned_name(&upstream);
        let notified = match limit.is_cold {
            true => owners::sole_candidates(gateway, name),
            false => owners::candidates(gateway, name),
        };
        for address in notified {
            gateway.send_message(address, &notice);
        }
    }
    decision
}

// Returns the limit by which permits for an upstream are issued. If the sender of a request knows that
// the upstream is cold, this instance may not know it yet.
fn issuing_limit(
    state: &RoutingState,
    upstream: &Upstream,
    asked_limit_per_s: f64,
    now: TimeMs,
) -> SendLimit {
    let limits = &state.upstream_limits;
    let known = limits.send_limit(upstream, now);
    if !limits.cold.is_configured(&upstream.service) {
        return known.unwrap_or(asked_limit_per_s.into());
    }
    let asked = SendLimit::cold(asked_limit_per_s);
    known.map_or(asked, |known| known.lower(asked))
}

/// Handles a peer's notice of a permit.
pub fn handle_notice(gateway: &Gateway, notice: &PermitNotice) {
    let now = clock::now();
    let mut state = gateway.state();
    let Some(upstream) = state.upstreams.get(&notice.upstream).cloned() else {
        return;
    };
    let limit = match state.upstream_limits.cold.is_configured(&upstream.service) {
        true => issuing_limit(&state, &upstream, notice.limit_per_s, now),
        false => notice.limit_per_s.into(),
    };
    let membership = state.permit_membership(limit, now);
    let permits = &mut state.permits;
    permits.record_issued(&upstream.id, limit, membership, now);
}

fn log_decision(
    gateway: &Gateway,
    request: &ClientRequest,
    upstream: &Upstream,
    limit: SendLimit,
    decision: PermitDecision,
) {
    let (result, wait_ms) = match decision {
        PermitDecision::Granted { wait_ms } => ("granted", wait_ms),
        PermitDecision::Denied { retry_after_ms } => ("denied", retry_after_ms),
    };
    metrics::counter!(counters::PERMITS_TOTAL, "result" => result).increment(1);
    // Tens of permits a second are issued for each cold upstream, so these are only counted.
    if limit.is_cold {
        metrics::counter!(counters::COLD_PERMITS_TOTAL, "result" => result).increment(1);
        return;
    }
    gateway.events.write(
        "permit",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "result": result,
            "wait_ms": wait_ms,
            "limit_per_s": limit.rate_per_s,
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
