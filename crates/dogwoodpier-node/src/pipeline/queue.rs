//! Reserves a decode engine for a request, and waits in a coordinator's queue while all are full.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::selection::DecodeHint;
use dogwoodpier_core::selection::rank_decode;
use dogwoodpier_proto::ReserveVerdict;

use crate::clock;
use crate::settings::RoutingPolicy;
use crate::state::SharedNode;
use crate::upstreams::Hold;

use super::reserve::DecodeReservation;
use super::reserve::ReservationRequest;
use super::reserve::request_from_coordinator;
use super::reserve::reserve_at_engine;

// Engines with free capacity, according to the hints, that are tried before the request waits in a
// queue.
const MAX_PROBES: usize = 3;
// Queues that may turn the request away before it is refused.
const MAX_QUEUES: usize = 3;
// Time for which a coordinator queues the request before other engines are probed again.
const QUEUE_WAIT_MS: u64 = 200;
// Time to wait for an engine of the pool to become available, if there is none and no part of the
// answer has been delivered.
const NO_ENGINE_TIMEOUT_MS: u64 = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// A search for a decode engine.
struct Search<'a> {
    node: &'a SharedNode,
    request: &'a ReservationRequest,
    hold: Hold,
    // Engines that failed for this request or are leaving; tried again only if no other is left.
    excluded: BTreeSet<Arc<str>>,
    // Engines whose coordinator expects too long a wait.
    overloaded: BTreeSet<Arc<str>>,
    // The engine whose queue the request waits in or is about to join again.
    queued_at: Option<Arc<str>>,
}

enum Outcome {
    Reserved(Arc<str>),
    Overloaded { wait_ms: u64 },
    Waiting,
    Unavailable,
}

/// Reserves capacity at a decode engine of the pool, preferably one that is not in `excluded`.
/// Refuses the request as soon as no reservation can be expected in time.
pub async fn reserve_decode(
    node: &SharedNode,
    request: &ReservationRequest,
    excluded: BTreeSet<Arc<str>>,
) -> Result<DecodeReservation, Refusal> {
    let mut search = Search {
        node,
        request,
        hold: Hold::begin(node),
        excluded,
        overloaded: BTreeSet::new(),
        queued_at: None,
    };
    let engine = search.run().await?;
    search.into_reservation(engine)
}

/// Reserves capacity without a coordinator, as the baseline policies do: at the first engine in the
/// order of the policy that has free capacity. Returns `None` if there is none.
pub async fn reserve_without_coordinator(
    node: &SharedNode,
    request: &ReservationRequest,
    excluded: &BTreeSet<Arc<str>>,
) -> Option<DecodeReservation> {
    let mut hints = node.upstreams.decode_hints(&request.pool);
    hints.retain(|hint| !excluded.contains(&hint.engine));
    if hints.is_empty() {
        return None;
    }
    if node.settings.routing.policy == RoutingPolicy::RoundRobin {
        let index = node.upstreams.next_round_robin() as usize % hints.len();
        hints.rotate_left(index);
    } else {
        hints = rank_decode(hints, request.required, rand::random);
    }
    let mut hold = Hold::begin(node);
    for hint in hints {
        let Some(engine) = node.upstreams.engine(&hint.engine) else {
            continue;
        };
        match reserve_at_engine(node, &engine, request.required, &mut hold).await {
            Ok(true) => return Some(DecodeReservation { engine, hold }),
            Ok(false) => {}
            Err(_) => node.upstreams.record_failure(&hint.engine),
        }
    }
    None
}

impl Search<'_> {
    async fn run(&mut self) -> Result<Arc<str>, Refusal> {
        // Calls to engines that don't answer must not use up the time to wait for others.
        let mut no_engine_deadline_ms = None;
        let mut shortest_wait_ms = u64::MAX;
        loop {
            let now = clock::now();
            if now >= self.request.deadline_ms {
                return Err(overloaded_refusal(shortest_wait_ms));
            }
            let ranked = self.rank_engines();
            if ranked.is_empty() && self.queued_at.is_none() {
                if !self.overloaded.is_empty() {
                    return Err(overloaded_refusal(shortest_wait_ms));
                }
                self.refuse_too_large()?;
                let no_engine_deadline_ms =
                    no_engine_deadline_ms.get_or_insert_with(|| now.after(NO_ENGINE_TIMEOUT_MS));
                if now >= *no_engine_deadline_ms && !self.request.answer_begun {
                    return Err(no_engine_refusal());
                }
                self.retry_excluded();
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            if let Some(engine) = self.probe(&ranked).await {
                return Ok(engine);
            }
            let Some(engine) = self.choose_queue(&ranked) else {
                continue;
            };
            match self.request_reservation(&engine, QUEUE_WAIT_MS).await {
                Outcome::Reserved(engine) => return Ok(engine),
                Outcome::Waiting => self.queued_at = Some(engine),
                Outcome::Unavailable => self.release(&engine),
                Outcome::Overloaded { wait_ms } => {
                    shortest_wait_ms = shortest_wait_ms.min(wait_ms);
                    self.release(&engine);
                    self.overloaded.insert(engine);
                    if self.overloaded.len() >= MAX_QUEUES {
                        return Err(overloaded_refusal(shortest_wait_ms));
                    }
                }
            }
        }
    }

    // Allows the engines that failed to be tried again, with another hold: they refuse one that was
    // cancelled.
    fn retry_excluded(&mut self) {
        if !self.excluded.is_empty() {
            self.excluded.clear();
            self.hold = Hold::begin(self.node);
        }
    }

    fn rank_engines(&self) -> Vec<DecodeHint> {
        let mut hints = self.node.upstreams.decode_hints(&self.request.pool);
        hints.retain(|hint| {
            !self.excluded.contains(&hint.engine) && !self.overloaded.contains(&hint.engine)
        });
        rank_decode(hints, self.request.required, rand::random)
    }

    fn refuse_too_large(&self) -> Result<(), Refusal> {
        let hints = self.node.upstreams.decode_hints(&self.request.pool);
        let required = self.request.required;
        if hints.is_empty() || hints.iter().any(|hint| hint.capacity.fits(required)) {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalReason::TooLarge,
            "prompt and max_tokens together are larger than any engine's memory",
        ))
    }

    // Requests a reservation without queueing, at engines with free capacity according to the
    // hints.
    async fn probe(&mut self, ranked: &[DecodeHint]) -> Option<Arc<str>> {
        let candidates = ranked
            .iter()
            .filter(|hint| hint.free.fits(self.request.required))
            .filter(|hint| self.queued_at.as_ref() != Some(&hint.engine))
            .take(MAX_PROBES);
        let candidates: Vec<Arc<str>> = candidates.map(|hint| hint.engine.clone()).collect();
        for engine in candidates {
            match self.request_reservation(&engine, 0).await {
                Outcome::Reserved(engine) => return Some(engine),
                Outcome::Unavailable => self.release(&engine),
                Outcome::Overloaded { .. } | Outcome::Waiting => {}
            }
        }
        None
    }

    fn choose_queue(&self, ranked: &[DecodeHint]) -> Option<Arc<str>> {
        if let Some(engine) = &self.queued_at {
            return Some(engine.clone());
        }
        // Ranks again, because the replies to probes may have updated the hints.
        let best = self
            .rank_engines()
            .into_iter()
            .min_by_key(|hint| hint.wait_ms);
        best.or_else(|| ranked.first().cloned())
            .map(|hint| hint.engine)
            .filter(|engine| !self.excluded.contains(engine))
    }

    async fn request_reservation(&mut self, engine: &Arc<str>, wait_ms: u64) -> Outcome {
        let reply =
            request_from_coordinator(self.node, engine, self.request, &mut self.hold, wait_ms)
                .await;
        match reply.verdict() {
            ReserveVerdict::Reserved => self.reserve(engine).await,
            ReserveVerdict::Waiting => Outcome::Waiting,
            ReserveVerdict::Overloaded => Outcome::Overloaded {
                wait_ms: reply.wait_ms,
            },
            ReserveVerdict::NoEngine | ReserveVerdict::TooLarge | ReserveVerdict::Unspecified => {
                self.excluded.insert(engine.clone());
                Outcome::Unavailable
            }
        }
    }

    async fn reserve(&mut self, name: &Arc<str>) -> Outcome {
        let Some(engine) = self.node.upstreams.engine(name) else {
            self.excluded.insert(name.clone());
            return Outcome::Unavailable;
        };
        match reserve_at_engine(self.node, &engine, self.request.required, &mut self.hold).await {
            Ok(true) => Outcome::Reserved(name.clone()),
            Ok(false) => {
                // The coordinator's records differ from the engine's until its next audit. The
                // request rejoins the queue.
                self.release(name);
                tokio::time::sleep(POLL_INTERVAL).await;
                Outcome::Waiting
            }
            Err(_) => {
                self.node.upstreams.record_failure(name);
                self.excluded.insert(name.clone());
                Outcome::Unavailable
            }
        }
    }

    fn release(&mut self, engine: &Arc<str>) {
        self.hold.release_engine(engine);
        if self.queued_at.as_ref() == Some(engine) {
            self.queued_at = None;
        }
    }

    fn into_reservation(mut self, name: Arc<str>) -> Result<DecodeReservation, Refusal> {
        if let Some(queued_at) = self.queued_at.take().filter(|queued_at| *queued_at != name) {
            self.hold.release_engine(&queued_at);
        }
        let engine = self
            .node
            .upstreams
            .engine(&name)
            .ok_or_else(no_engine_refusal)?;
        Ok(DecodeReservation {
            engine,
            hold: self.hold,
        })
    }
}

fn overloaded_refusal(wait_ms: u64) -> Refusal {
    let retry_after_ms = if wait_ms == u64::MAX {
        MIN_RETRY_AFTER_MS
    } else {
        wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    };
    Refusal::not_run(
        RefusalReason::Overloaded,
        "all engines are full beyond the latency target",
    )
    .retry_after(retry_after_ms)
}

fn no_engine_refusal() -> Refusal {
    Refusal::not_run(
        RefusalReason::NoUpstream,
        "no engine of the model's pool can take the request",
    )
    .retry_after(NO_ENGINE_TIMEOUT_MS)
}
