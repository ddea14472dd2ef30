//! Upstreams: their directory and load, and the holds of this node at engines.

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

/// The upstreams of all pools, as known to this node.
#[derive(Default)]
pub struct Upstreams {
    directory: Mutex<Directory>,
    ledger: Mutex<HoldLedger>,
    releases: Mutex<Vec<ReleaseItem>>,
    links: Mutex<Links>,
    round_robin: AtomicU64,
    // Wakes the task that sends cancels and releases.
    wake: Notify,
}

impl Upstreams {
    /// Returns the platform's list of upstreams for a peer that has none, empty if this node has
    /// none either.
    pub fn listed_reply(&self) -> FetchUpstreamsReply {
        let listed = self.directory().listed();
        let has_list = !listed.is_empty();
        let upstreams = has_list.then(|| serde_json::to_vec(&listed).unwrap_or_default());
        FetchUpstreamsReply {
            upstreams: upstreams.unwrap_or_default(),
        }
    }

    /// Returns the available plain services of a pool, in random order.
    pub fn services(&self, pool: &str) -> Vec<Service> {
        self.directory().services(pool)
    }

    /// Returns an engine by name, even if it is leaving or unhealthy.
    pub fn engine(&self, name: &str) -> Option<Engine> {
        self.directory().engine(name)
    }

    /// Returns whether an upstream accepts new requests according to the platform, whether this node
    /// reaches it or not.
    pub fn accepts_work(&self, name: &str) -> bool {
        self.directory().accepts_work(name)
    }

    /// Returns load hints of the available decode engines of a pool.
    pub fn decode_hints(&self, pool: &str) -> Vec<DecodeHint> {
        self.directory().decode_hints(pool)
    }

    /// Returns load hints of the available prefill engines of a pool, with the tokens of `prompt`
    /// that each has presumably cached.
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

    /// Returns the names of all known engines, including those that were listed recently.
    pub fn engines(&self) -> Vec<Arc<str>> {
        self.directory().engines()
    }

    /// Returns the capacity of an engine, if a load report has been received.
    pub fn capacity(&self, engine: &str) -> Option<EngineCapacity> {
        self.directory().capacity(engine)
    }

    /// Returns the number of tokens in a KV piece of a pool's engines, or a default before the
    /// first load report.
    pub fn tokens_per_piece(&self, pool: &str) -> u32 {
        self.directory().tokens_per_piece(pool)
    }

    /// Updates the free capacity and estimated wait of an engine from the reply of its coordinator
    /// or of the engine itself.
    pub fn update_free_capacity(
        &self,
        engine: &str,
        free: EngineCapacity,
        wait_ms: u64,
        now: TimeMs,
    ) {
        self.directory()
            .update_free_capacity(engine, free, wait_ms, now);
    }

    /// Records a failed call to an upstream. An engine gets no new requests until its next load
    /// report.
    pub fn record_failure(&self, name: &str) {
        self.directory().record_failure(name);
    }

    /// Returns a counter that increases each time an upstream is found to have failed.
    pub fn failure_count(&self, name: &str) -> u64 {
        self.directory().failure_count(name)
    }

    /// Records the tokens of a prefill as queued at an engine until
    /// [`Upstreams::record_prefill_ended`].
    pub fn record_prefill_sent(&self, engine: &str, hold: HoldId, tokens: u64, now: TimeMs) {
        self.directory()
            .record_prefill_sent(engine, hold, tokens, now);
    }

    /// Records that a prefill has ended.
    pub fn record_prefill_ended(&self, engine: &str, hold: HoldId) {
        self.directory().record_prefill_ended(engine, hold);
    }

    /// Records that an engine has computed a prompt, whose prefixes it has now cached.
    pub fn record_prefill_computed(&self, engine: &str, model: &str, prompt: &str) {
        self.directory()
            .record_prefill_computed(engine, model, prompt);
    }

    /// Reserves the links of two engines for a transfer and returns when it may start.
    pub fn reserve_link(
        &self,
        source: &Arc<str>,
        target: &Arc<str>,
        pieces: u32,
        now: TimeMs,
    ) -> TimeMs {
        lock(&self.links).schedule(source, target, pieces, now)
    }

    /// Records how long a transfer took.
    pub fn record_transfer(&self, pieces: u32, elapsed_ms: u64) {
        lock(&self.links).record_duration(pieces, elapsed_ms);
    }

    /// Returns the next counter value for round-robin choices.
    pub fn next_round_robin(&self) -> u64 {
        self.round_robin.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns which of the requested holds are in use. The reply is empty if the request names
    /// another incarnation of this node.
    pub fn check_holds(&self, own: NodeId, request: &CheckHoldsRequest) -> CheckHoldsReply {
        let requested = request.asked.clone().unwrap_or_default();
        let used_sequences = if requested.incarnation == own.incarnation {
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
    pub fn is_hold_in_use(&self, hold: HoldId) -> bool {
        lock(&self.ledger).is_live(hold)
    }

    /// Cancels a hold at one engine; the cancel is repeated until the engine acknowledges it.
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
