//! Reservations at the decode engines that this node keeps.
//!
//! Each engine has a coordinator, a node that all pick by rendezvous hash. Coordinators are soft: two at once
//! may reserve a little too much, and then the engine's own refusal decides.

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

// Longest time for which a call may wait in the queue; shorter than the time a peer's call gets.
const MAX_WAIT_MS: u64 = 500;

/// Reservations and queues of the decode engines that this node keeps.
#[derive(Default)]
pub struct Coordinator {
    books: Mutex<BTreeMap<Arc<str>, Kept>>,
}

#[derive(Default)]
struct Kept {
    book: EngineReservations,
    audit: Audit,
    // Wakes the calls that wait in the queue.
    changed: Arc<Notify>,
}

/// Returns the peer that keeps an engine, or `None` if this node does.
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
    /// Grants a reservation, waits in the workspace's queue for one, or refuses early.
    pub async fn reserve(&self, node: &SharedNode, request: ReserveRequest) -> ReserveReply {
        let now = clock::now();
        let give_up_ms = now.after(request.wait_ms.min(MAX_WAIT_MS));
        let Some(ask) = parse_ask(&request, now) else {
            return ReserveReply::default();
        };
        if !node.upstreams.takes_work(&request.engine) {
            return reply(ReserveVerdict::NoEngine, 0, EngineCapacity::default());
        }
        let Some(capacity) = node.upstreams.capacity(&request.engine) else {
            // The engine's own answer decides while its size is unknown.
            return reply(ReserveVerdict::Reserved, 0, EngineCapacity::default());
        };
        loop {
            let (answer, changed) = self.ask(&request.engine, capacity, ask.clone());
            let waiting = answer.verdict == i32::from(ReserveVerdict::Waiting);
            if !waiting || clock::now() >= give_up_ms {
                count(&answer);
                return answer;
            }
            let pause = Duration::from_millis(give_up_ms.remaining(clock::now()));
            // Both ends lead to another look at the book.
            let _ = tokio::time::timeout(pause, changed).await;
        }
    }

    /// Takes reservations back.
    pub fn release(&self, request: ReleaseRequest, now: TimeMs) {
        let mut books = self.lock();
        for item in request.items {
            let (Some(kept), Ok(hold)) = (
                books.get_mut(item.engine.as_str()),
                item.hold.parse::<HoldId>(),
            ) else {
                continue;
            };
            kept.book.release(hold, now);
            kept.changed.notify_waiters();
        }
    }

    /// Returns the state as JSON.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        self.lock()
            .iter()
            .map(|(engine, kept)| {
                let (reserved, waiting) = kept.book.counts();
                serde_json::json!({
                    "engine": engine,
                    "reserved": reserved,
                    "waiting": waiting,
                    "free_sequences": kept.book.free().sequences,
                    "free_pieces": kept.book.free().pieces,
                    "wait_ms": kept.book.estimate_wait_ms("", 1, now),
                })
            })
            .collect()
    }

    // Asks the book, and returns a future that ends with the book's next change.
    fn ask(
        &self,
        engine: &str,
        capacity: EngineCapacity,
        ask: ReservationRequest,
    ) -> (ReserveReply, impl Future<Output = ()> + use<>) {
        let mut books = self.lock();
        let kept = books.entry(engine.into()).or_default();
        kept.book.set_capacity(capacity);
        let changed = kept.changed.clone().notified_owned();
        let (workspace, weight, deadline_ms) = (ask.workspace.clone(), ask.weight, ask.deadline_ms);
        let verdict = kept.book.request(ask, clock::now());
        let wait_ms = kept.book.estimate_wait_ms(&workspace, weight, deadline_ms);
        let free = kept.book.free();
        let answer = match verdict {
            ReservationDecision::Reserved => reply(ReserveVerdict::Reserved, 0, free),
            ReservationDecision::Waiting => reply(ReserveVerdict::Waiting, wait_ms, free),
            ReservationDecision::Full { wait_ms } => {
                reply(ReserveVerdict::Overloaded, wait_ms, free)
            }
            ReservationDecision::TooLarge => reply(ReserveVerdict::TooLarge, 0, free),
        };
        (answer, changed)
    }

    fn take_audit(&self, engine: &str, held: &[EngineHold], capacity: EngineCapacity, now: TimeMs) {
        if let Some(kept) = self.lock().get_mut(engine) {
            kept.book.set_capacity(capacity);
            kept.book.reconcile(held, now);
            kept.changed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Kept>> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_ask(request: &ReserveRequest, now: TimeMs) -> Option<ReservationRequest> {
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

fn count(answer: &ReserveReply) {
    let verdict = answer.verdict().as_str_name();
    counter!(counters::RESERVATIONS_TOTAL, "verdict" => verdict).increment(1);
}
