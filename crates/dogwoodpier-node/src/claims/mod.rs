//! Claims of idempotency keys: at most one dispatch for each key of a workspace.
//!
//! `requester` requests claims and reports outcomes, `holder` decides claims of the slots that this
//! node holds, `replication` copies its records to the standby and the platform, `standby` stores
//! the copies of other holders, and `loading` loads the table of a slot that this node has taken
//! over.

mod convert;
mod holder;
mod loading;
mod replication;
mod requester;
mod standby;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::Replica;
use dogwoodpier_proto::RecordedOutcome;

use crate::slots::Slots;

use self::holder::SlotClaims;

pub use self::replication::run;

/// Maximum time from a claim to its dispatch.
const DISPATCH_TIMEOUT_MS: u64 = 10_000;

/// Claims of the slots that this node holds, and copies stored for other holders.
#[derive(Default)]
pub struct Claims {
    slots: Mutex<BTreeMap<u32, Arc<SlotClaims>>>,
    copies: Mutex<BTreeMap<u32, Replica>>,
    // Outcomes that no holder has confirmed yet.
    unrecorded: AtomicUsize,
}

/// The right to dispatch one request once.
#[derive(Debug)]
pub struct Grant {
    /// Workspace.
    pub workspace: Arc<str>,
    /// Key that the caller sent.
    pub idempotency_key: Arc<str>,
    /// Random id of the attempt, which is sent to the upstream as the request's id.
    pub attempt_id: u64,
    /// Slot that the key belongs to.
    pub slot: u32,
    /// Time from which the grant may no longer be used.
    pub dispatch_deadline_ms: TimeMs,
}

/// Result of a successful call of [`Claims::claim`].
#[derive(Debug)]
pub enum Claimed {
    /// The request may be dispatched once.
    Granted(Grant),
    /// An earlier request with the same key has this outcome.
    Recorded(RecordedOutcome),
}

impl Grant {
    /// Returns whether the grant may still be used. Must be called right before the dispatch.
    pub fn may_dispatch(&self, now: TimeMs) -> bool {
        now < self.dispatch_deadline_ms
    }
}

impl Claims {
    /// Returns the number of outcomes that no holder has confirmed yet.
    pub fn unrecorded(&self) -> usize {
        self.unrecorded.load(Ordering::SeqCst)
    }

    /// Returns the claims' state as JSON for `/dump`.
    pub fn dump(&self, slots: &Slots, now: TimeMs) -> serde_json::Value {
        let slots: Vec<serde_json::Value> = self
            .all()
            .into_iter()
            .filter_map(|claims| claims.dump(slots, now))
            .collect();
        let copies: BTreeMap<u32, usize> = lock(&self.copies)
            .iter()
            .map(|(slot, copies)| (*slot, copies.len()))
            .collect();
        serde_json::json!({
            "slots": slots,
            "copies": copies,
            "unrecorded": self.unrecorded(),
        })
    }

    fn all(&self) -> Vec<Arc<SlotClaims>> {
        lock(&self.slots).values().cloned().collect()
    }

    fn find(&self, slot: u32) -> Option<Arc<SlotClaims>> {
        lock(&self.slots).get(&slot).cloned()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
