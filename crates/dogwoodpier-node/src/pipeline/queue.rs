//! Finds a decode engine for a request, and waits in a coordinator's queue while all are full.

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

use super::reserve::Seat;
use super::reserve::Wanted;
use super::reserve::ask_coordinator;
use super::reserve::take_room;

// Engines with room by the hints that are asked before the request waits in a queue.
const PROBES: usize = 3;
// Queues that are asked before the request is refused.
const MAX_QUEUES: usize = 3;
// Time in one queue before other engines are looked at again.
const WAIT_MS: u64 = 200;
// Time to wait for an engine of the pool to come back, when there is none.
const NO_ENGINE_MS: u64 = 1_000;
const POLL: Duration = Duration::from_millis(25);
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// A search for a decode engine.
struct Search<'a> {
    node: &'a SharedNode,
    wanted: &'a Wanted,
    hold: Hold,
    // Engines that failed for this request or are leaving; tried again only if there is no other.
    unfit: BTreeSet<Arc<str>>,
    // Engines whose queue would take too long.
    full: BTreeSet<Arc<str>>,
    // The engine in whose queue the request has a place.
    queued_at: Option<Arc<str>>,
}

enum Outcome {
    Seated(Arc<str>),
    Full { wait_ms: u64 },
    Waiting,
    Unfit,
}

/// Returns a reservation at an engine of the pool that is not among `unfit`, or refuses as soon as
/// it is clear that none will come in time.
pub async fn find_seat(
    node: &SharedNode,
    wanted: &Wanted,
    unfit: BTreeSet<Arc<str>>,
) -> Result<Seat, Refusal> {
    let mut search = Search {
        node,
        wanted,
        hold: Hold::begin(node),
        unfit,
        full: BTreeSet::new(),
        queued_at: None,
    };
    let engine = search.run().await?;
    search.seat(engine)
}

/// Returns a reservation without a coordinator, as the baselines do: at the first engine in their order
/// that has room, or `None`.
pub async fn find_unkept_seat(
    node: &SharedNode,
    wanted: &Wanted,
    unfit: &BTreeSet<Arc<str>>,
) -> Option<Seat> {
    let mut hints = node.upstreams.decode_hints(&wanted.pool);
    hints.retain(|hint| !unfit.contains(&hint.engine));
    if hints.is_empty() {
        return None;
    }
    if node.settings.routing.policy == RoutingPolicy::RoundRobin {
        let turn = node.upstreams.next_round_robin() as usize % hints.len();
        hints.rotate_left(turn);
    } else {
        hints = rank_decode(hints, wanted.room, rand::random);
    }
    let mut hold = Hold::begin(node);
    for hint in hints {
        let Some(engine) = node.upstreams.engine(&hint.engine) else {
            continue;
        };
        match take_room(node, &engine, wanted.room, &mut hold).await {
            Ok(true) => return Some(Seat { engine, hold }),
            Ok(false) => {}
            Err(_) => node.upstreams.record_failure(&hint.engine),
        }
    }
    None
}

impl Search<'_> {
    async fn run(&mut self) -> Result<Arc<str>, Refusal> {
        let no_engine_deadline_ms = clock::now().after(NO_ENGINE_MS);
        let mut shortest_wait_ms = u64::MAX;
        loop {
            let now = clock::now();
            if now >= self.wanted.deadline_ms {
                return Err(overloaded(shortest_wait_ms));
            }
            let ranked = self.ranked();
            if ranked.is_empty() && self.queued_at.is_none() {
                if !self.full.is_empty() {
                    return Err(overloaded(shortest_wait_ms));
                }
                self.refuse_too_large()?;
                if now >= no_engine_deadline_ms {
                    return Err(no_engine());
                }
                self.unfit.clear();
                tokio::time::sleep(POLL).await;
                continue;
            }
            if let Some(engine) = self.probe(&ranked).await {
                return Ok(engine);
            }
            let Some(engine) = self.queue_to_join(&ranked) else {
                continue;
            };
            match self.ask(&engine, WAIT_MS).await {
                Outcome::Seated(engine) => return Ok(engine),
                Outcome::Waiting => self.queued_at = Some(engine),
                Outcome::Unfit => self.leave(&engine),
                Outcome::Full { wait_ms } => {
                    shortest_wait_ms = shortest_wait_ms.min(wait_ms);
                    self.leave(&engine);
                    self.full.insert(engine);
                    if self.full.len() >= MAX_QUEUES {
                        return Err(overloaded(shortest_wait_ms));
                    }
                }
            }
        }
    }

    fn ranked(&self) -> Vec<DecodeHint> {
        let mut hints = self.node.upstreams.decode_hints(&self.wanted.pool);
        hints
            .retain(|hint| !self.unfit.contains(&hint.engine) && !self.full.contains(&hint.engine));
        rank_decode(hints, self.wanted.room, rand::random)
    }

    fn refuse_too_large(&self) -> Result<(), Refusal> {
        let hints = self.node.upstreams.decode_hints(&self.wanted.pool);
        let room = self.wanted.room;
        if hints.is_empty() || hints.iter().any(|hint| hint.capacity.fits(room)) {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalReason::TooLarge,
            "prompt and max_tokens together are larger than any engine's memory",
        ))
    }

    // Asks engines that have room by the hints for a reservation without a wait.
    async fn probe(&mut self, ranked: &[DecodeHint]) -> Option<Arc<str>> {
        let candidates = ranked
            .iter()
            .filter(|hint| hint.free.fits(self.wanted.room))
            .filter(|hint| self.queued_at.as_ref() != Some(&hint.engine))
            .take(PROBES);
        let candidates: Vec<Arc<str>> = candidates.map(|hint| hint.engine.clone()).collect();
        for engine in candidates {
            match self.ask(&engine, 0).await {
                Outcome::Seated(engine) => return Some(engine),
                Outcome::Unfit => self.leave(&engine),
                Outcome::Full { .. } | Outcome::Waiting => {}
            }
        }
        None
    }

    fn queue_to_join(&self, ranked: &[DecodeHint]) -> Option<Arc<str>> {
        if let Some(engine) = &self.queued_at {
            return Some(engine.clone());
        }
        // The probes may have changed the hints.
        let best = self.ranked().into_iter().min_by_key(|hint| hint.wait_ms);
        best.or_else(|| ranked.first().cloned())
            .map(|hint| hint.engine)
            .filter(|engine| !self.unfit.contains(engine))
    }

    async fn ask(&mut self, engine: &Arc<str>, wait_ms: u64) -> Outcome {
        let reply = ask_coordinator(self.node, engine, self.wanted, &mut self.hold, wait_ms).await;
        match reply.verdict() {
            ReserveVerdict::Reserved => self.take(engine).await,
            ReserveVerdict::Waiting => Outcome::Waiting,
            ReserveVerdict::Overloaded => Outcome::Full {
                wait_ms: reply.wait_ms,
            },
            ReserveVerdict::NoEngine | ReserveVerdict::TooLarge | ReserveVerdict::Unspecified => {
                self.unfit.insert(engine.clone());
                Outcome::Unfit
            }
        }
    }

    async fn take(&mut self, name: &Arc<str>) -> Outcome {
        let Some(engine) = self.node.upstreams.engine(name) else {
            self.unfit.insert(name.clone());
            return Outcome::Unfit;
        };
        match take_room(self.node, &engine, self.wanted.room, &mut self.hold).await {
            Ok(true) => Outcome::Seated(name.clone()),
            Ok(false) => {
                // The coordinator's book was wrong; its next audit mends it.
                self.leave(name);
                tokio::time::sleep(POLL).await;
                Outcome::Waiting
            }
            Err(_) => {
                self.node.upstreams.record_failure(name);
                self.unfit.insert(name.clone());
                Outcome::Unfit
            }
        }
    }

    fn leave(&mut self, engine: &Arc<str>) {
        self.hold.release_engine(engine);
        if self.queued_at.as_ref() == Some(engine) {
            self.queued_at = None;
        }
    }

    fn seat(mut self, name: Arc<str>) -> Result<Seat, Refusal> {
        if let Some(queued_at) = self.queued_at.take().filter(|queued_at| *queued_at != name) {
            self.hold.release_engine(&queued_at);
        }
        let engine = self.node.upstreams.engine(&name).ok_or_else(no_engine)?;
        Ok(Seat {
            engine,
            hold: self.hold,
        })
    }
}

fn overloaded(wait_ms: u64) -> Refusal {
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

fn no_engine() -> Refusal {
    Refusal::not_run(
        RefusalReason::NoUpstream,
        "no engine of the model's pool can take the request",
    )
    .retry_after(NO_ENGINE_MS)
}
