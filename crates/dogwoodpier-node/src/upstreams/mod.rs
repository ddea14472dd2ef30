//! Upstreams: which there are, what is known of their load, and holds to cancel.

mod cache;
mod cancels;
mod directory;
mod hold;
mod polling;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::holds::HoldLedger;
use dogwoodpier_core::links::Links;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_core::selection::DecodeHint;
use dogwoodpier_core::selection::PrefillHint;
use dogwoodpier_proto::CheckHoldsReply;
use dogwoodpier_proto::CheckHoldsRequest;
use dogwoodpier_proto::FetchUpstreamsReply;
use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::ReleaseItem;

use self::directory::Directory;

pub use directory::Engine;
pub use directory::Service;
pub use hold::Hold;
pub use polling::run;

/// The upstreams of all pools as this node knows them.
#[derive(Default)]
pub struct Upstreams {
    directory: Mutex<Directory>,
    ledger: Mutex<HoldLedger>,
    releases: Mutex<Vec<ReleaseItem>>,
    links: Mutex<Links>,
    turn: AtomicU64,
    // Wakes the task that sends cancels and releases.
    wake: Notify,
}

impl Upstreams {
    /// Returns the platform's list of upstreams for a peer that has none.
    pub fn listed_reply(&self) -> FetchUpstreamsReply {
        let listed = self.directory().listed();
        let known = !listed.is_empty();
        let upstreams = known.then(|| serde_json::to_vec(&listed).unwrap_or_default());
        FetchUpstreamsReply {
            upstreams: upstreams.unwrap_or_default(),
        }
    }

    /// Returns the plain services of a pool that may get new work, in random order.
    pub fn services(&self, pool: &str) -> Vec<Service> {
        self.directory().services(pool)
    }

    /// Returns an engine by name, also one that is leaving or unhealthy.
    pub fn engine(&self, name: &str) -> Option<Engine> {
        self.directory().engine(name)
    }

    /// Returns whether an engine may get new work.
    pub fn takes_work(&self, name: &str) -> bool {
        self.directory().takes_work(name)
    }

    /// Returns the decode engines that may get new work.
    pub fn decode_hints(&self, pool: &str) -> Vec<DecodeHint> {
        self.directory().decode_hints(pool)
    }

    /// Returns the prefill engines that may get new work, with what is known of `prompt` there.
    pub fn prefill_hints(
        &self,
        pool: &str,
        model: &str,
        prompt: &str,
        now: TimeMs,
    ) -> Vec<PrefillHint> {
        let mut hints = self.directory().prefill_hints(pool, model, prompt);
        let links = lock(&self.links);
        for hint in &mut hints {
            hint.link_wait_ms = links.free_at(&hint.engine, now).since(now);
        }
        hints
    }

    /// Returns whether an upstream is a decode engine.
    pub fn is_decode(&self, name: &str) -> bool {
        self.directory().is_decode(name)
    }

    /// Returns the names of all engines that are listed.
    pub fn engines(&self) -> Vec<Arc<str>> {
        self.directory().engines()
    }

    /// Returns the size of a decode engine, if a load report has told it.
    pub fn capacity(&self, engine: &str) -> Option<EngineCapacity> {
        self.directory().capacity(engine)
    }

    /// Returns the tokens in a KV piece of a pool's engines, or a guess before the first report.
    pub fn tokens_per_piece(&self, pool: &str) -> u32 {
        self.directory().tokens_per_piece(pool)
    }

    /// Takes in what a coordinator or an engine just said about its room.
    pub fn note_room(&self, engine: &str, free: EngineCapacity, wait_ms: u64, now: TimeMs) {
        self.directory().note_room(engine, free, wait_ms, now);
    }

    /// Notes that a call to an upstream failed: it gets no new work until it answers again.
    pub fn note_failure(&self, name: &str) {
        self.directory().note_failure(name);
    }

    /// Returns a number that changes each time the upstream is found failed.
    pub fn start_of(&self, name: &str) -> u64 {
        self.directory().start_of(name)
    }

    /// Counts the tokens of a prefill that was sent; [`Upstreams::prefill_ended`] ends it.
    pub fn prefill_sent(&self, engine: &str, hold: HoldId, tokens: u64, now: TimeMs) {
        self.directory().prefill_sent(engine, hold, tokens, now);
    }

    /// Ends the count of a prefill's tokens.
    pub fn prefill_ended(&self, engine: &str, hold: HoldId) {
        self.directory().prefill_ended(engine, hold);
    }

    /// Notes that an engine has computed a prompt, which is in its cache now.
    pub fn prefill_computed(&self, engine: &str, model: &str, prompt: &str) {
        self.directory().prefill_computed(engine, model, prompt);
    }

    /// Books the links between two engines and returns when the transfer may start.
    pub fn book_link(
        &self,
        source: &Arc<str>,
        target: &Arc<str>,
        pieces: u32,
        now: TimeMs,
    ) -> TimeMs {
        lock(&self.links).schedule(source, target, pieces, now)
    }

    /// Takes in how long a transfer took.
    pub fn note_transfer(&self, pieces: u32, elapsed_ms: u64) {
        lock(&self.links).record_duration(pieces, elapsed_ms);
    }

    /// Returns the next turn of choices that go round.
    pub fn next_turn(&self) -> u64 {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    /// Answers which holds of this incarnation are in use.
    pub fn check_holds(&self, own: NodeId, request: &CheckHoldsRequest) -> CheckHoldsReply {
        let asked = request.asked.clone().unwrap_or_default();
        let used_sequences = if asked.incarnation == own.incarnation {
            let ledger = lock(&self.ledger);
            request
                .sequences
                .iter()
                .copied()
                .filter(|sequence| {
                    ledger.is_live(HoldId {
                        incarnation: own.incarnation,
                        sequence: *sequence,
                    })
                })
                .collect()
        } else {
            Vec::new()
        };
        CheckHoldsReply {
            answerer: Some(own),
            used_sequences,
        }
    }

    /// Returns whether this node still uses one of its own holds.
    pub fn uses_hold(&self, hold: HoldId) -> bool {
        lock(&self.ledger).is_live(hold)
    }

    /// Cancels a hold at one engine until the engine acknowledges it.
    pub fn cancel(&self, engine: &Arc<str>, hold: HoldId, now: TimeMs) {
        lock(&self.ledger).cancel(engine.clone(), hold, now);
        self.wake.notify_one();
    }

    /// Returns the state as JSON.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        let (holds, cancels) = lock(&self.ledger).counts();
        serde_json::json!({
            "holds": holds,
            "cancels": cancels,
            "upstreams": self.directory().dump(now),
        })
    }

    fn begin_hold(&self, incarnation: u64) -> HoldId {
        lock(&self.ledger).begin(incarnation)
    }

    fn end_hold(&self, hold: HoldId, engines: HashSet<Arc<str>>, now: TimeMs) {
        lock(&self.ledger).end(hold, engines, now);
        self.wake.notify_one();
    }

    fn release(&self, engine: &Arc<str>, hold: HoldId) {
        lock(&self.releases).push(ReleaseItem {
            engine: engine.to_string(),
            hold: hold.to_string(),
        });
        self.wake.notify_one();
    }

    fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
