//! Reservations at the decode engines that this node coordinates.
//!
//! Each engine has a coordinator, which every node picks by rendezvous hash. Nodes may pick
//! different coordinators for a time. Two coordinators of one engine may reserve too much of it,
//! and the engine then rejects requests itself.

mod audit;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use metrics::counter;
use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::holds::Audit;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::rendezvous;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_core::reservations::EngineHold;
use dogwoodpier_core::reservations::EngineReservations;
use dogwoodpier_core::reservations::ReservationDecision;
use dogwoodpier_core::reservations::ReservationRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::ReleaseRequest;
use dogwoodpier_proto::ReserveReply;
use dogwoodpier_proto::ReserveRequest;
use dogwoodpier_proto::ReserveVerdict;

use crate::clock;
use crate::counters;
use crate::state::SharedNode;

pub use audit::run;

// Maximum time for which a call waits in the queue. Shorter than the default `peer_timeout_ms`, so
// that a waiting peer still gets an answer.
const MAX_WAIT_MS: u64 = 500;

/// Reservations and queues of the decode engines that this node coordinates.
#[derive(Default)]
pub struct Coordinator {
    engines: Mutex<BTreeMap<Arc<str>, CoordinatedEngine>>,
}

#[derive(Default)]
struct CoordinatedEngine {
    reservations: EngineReservations,
    audit: Audit,
    // Wakes the calls that wait in the queue.
    changed: Arc<Notify>,
}

/// Returns the peer that coordinates an engine, or `None` if this node does or no node is
/// available.
pub fn coordinator_of(node: &SharedNode, engine: &str) -> Option<NodeInfo> {
    let own_name = &*node.settings.instance;
    let alive = node.peers.alive(clock::now());
    let own = (!node.drain.is_draining()).then_some(own_name);
    let names = alive
        .iter()
        .filter_map(|info| info.id.as_ref().map(|id| id.instance.as_str()));
    let picked = rendezvous::pick(engine, names.chain(own))?;
    if picked == own_name {
        return None;
    }
    alive
        .iter()
        .find(|info| info.id.as_ref().is_some_and(|id| id.instance == picked))
        .cloned()
}

impl Coordinator {
    /// Grants a reservation, waits for one in the workspace's queue, or refuses it at once.
    pub async fn reserve(&self, node: &SharedNode, request: ReserveRequest) -> ReserveReply {
        let now = clock::now();
        let wait_deadline_ms = now.after(request.wait_ms.min(MAX_WAIT_MS));
        let Some(reservation) = parse_request(&request, now) else {
            return ReserveReply::default();
        };
        // An engine that this node can't reach may still be reached by the one that asks.
        if !node.upstreams.accepts_work(&request.engine) {
            return reply(ReserveVerdict::NoEngine, 0, EngineCapacity::default());
        }
        let Some(capacity) = node.upstreams.capacity(&request.engine) else {
            // While the engine's capacity is unknown, the engine itself admits or rejects requests.
            return reply(ReserveVerdict::Reserved, 0, EngineCapacity::default());
        };
        loop {
            let (reply, changed) = self.try_reserve(&request.engine, capacity, reservation.clone());
            let waiting = reply.verdict == i32::from(ReserveVerdict::Waiting);
            if !waiting || clock::now() >= wait_deadline_ms {
                count_verdict(&reply);
                return reply;
            }
            let pause = Duration::from_millis(wait_deadline_ms.remaining(clock::now()));
            // The reservation is tried again after a change and after the timeout.
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }

    /// Releases reservations.
    pub fn release(&self, request: ReleaseRequest, now: TimeMs) {
        let mut engines = self.lock();
        for item in request.items {
            let (Some(engine), Ok(hold)) = (
                engines.get_mut(item.engine.as_str()),
                item.hold.parse::<HoldId>(),
            ) else {
                continue;
            };
            engine.reservations.release(hold, now);
            engine.changed.notify_waiters();
        }
    }

    /// Returns the coordinated engines' state as JSON for `/dump`.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        self.lock()
            .iter()
            .map(|(name, engine)| {
                let (reserved, waiting) = engine.reservations.counts();
                serde_json::json!({
                    "engine": name,
                    "reserved": reserved,
                    "waiting": waiting,
                    "free_sequences": engine.reservations.free().sequences,
                    "free_pieces": engine.reservations.free().pieces,
                    "wait_ms": engine.reservations.estimate_wait_ms("", 1, now),
                })
            })
            .collect()
    }

    // Requests a reservation, and returns the reply with a future that ends with the next change of
    // the engine's reservations.
    fn try_reserve(
        &self,
        name: &str,
        capacity: EngineCapacity,
        request: ReservationRequest,
    ) -> (ReserveReply, impl Future<Output = ()> + use<>) {
        let mut engines = self.lock();
        let engine = engines.entry(name.into()).or_default();
        engine.reservations.set_capacity(capacity);
        let changed = engine.changed.clone().notified_owned();
        let (workspace, weight, deadline_ms) = (
            request.workspace.clone(),
            request.weight,
            request.deadline_ms,
        );
        let decision = engine.reservations.request(request, clock::now());
        let wait_ms = engine
            .reservations
            .estimate_wait_ms(&workspace, weight, deadline_ms);
        let free = engine.reservations.free();
        let reply = match decision {
            ReservationDecision::Reserved => reply(ReserveVerdict::Reserved, 0, free),
            ReservationDecision::Waiting => reply(ReserveVerdict::Waiting, wait_ms, free),
            ReservationDecision::Full { wait_ms } => {
                reply(ReserveVerdict::Overloaded, wait_ms, free)
            }
            ReservationDecision::TooLarge => reply(ReserveVerdict::TooLarge, 0, free),
        };
        (reply, changed)
    }

    // Corrects the reservations of an engine by the holds that it has listed.
    fn reconcile(&self, name: &str, held: &[EngineHold], capacity: EngineCapacity, now: TimeMs) {
        if let Some(engine) = self.lock().get_mut(name) {
            engine.reservations.set_capacity(capacity);
            engine.reservations.reconcile(held, now);
            engine.changed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, CoordinatedEngine>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_request(request: &ReserveRequest, now: TimeMs) -> Option<ReservationRequest> {
    Some(ReservationRequest {
        hold: request.hold.parse().ok()?,
        workspace: request.workspace.as_str().into(),
        weight: request.weight,
        cost_tokens: Tokens(request.cost_tokens),
        capacity: EngineCapacity {
            sequences: request.sequences,
            pieces: request.pieces,
        },
        deadline_ms: now.after(request.deadline_in_ms),
        may_wait: request.wait_ms > 0,
    })
}

fn reply(verdict: ReserveVerdict, wait_ms: u64, free: EngineCapacity) -> ReserveReply {
    ReserveReply {
        verdict: verdict.into(),
        wait_ms,
        free_sequences: free.sequences,
        free_pieces: free.pieces,
    }
}

fn count_verdict(reply: &ReserveReply) {
    let verdict = reply.verdict().as_str_name();
    counter!(counters::RESERVATIONS_TOTAL, "verdict" => verdict).increment(1);
}
