//! Decisions on the slots that this node holds.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::ClaimAttempt;
use dogwoodpier_core::claims::ClaimDecision;
use dogwoodpier_core::claims::ClaimKey;
use dogwoodpier_core::claims::ClaimProgress;
use dogwoodpier_core::claims::ClaimTable;
use dogwoodpier_core::claims::Groups;
use dogwoodpier_proto::ClaimItem;
use dogwoodpier_proto::ClaimReply;
use dogwoodpier_proto::ClaimRequest;
use dogwoodpier_proto::OutcomeItem;
use dogwoodpier_proto::RecordOutcomesReply;
use dogwoodpier_proto::RecordOutcomesRequest;

use crate::clock;
use crate::slots::HeldSlot;
use crate::slots::Slots;
use crate::state::SharedNode;

use super::Claims;
use super::convert;
use super::lock;

// Time in which a record must be kept in a second place. The asker's call takes a little longer.
const KEEP_TIME: Duration = Duration::from_millis(700);
const RETRY_AFTER_MS: u64 = 500;
// Time in which a new holder gets missing claims from other nodes, if any has them.
const NEW_MS: u64 = 3_000;

/// The claims of one slot that this node holds or held last.
pub struct SlotClaims {
    /// Number of the slot.
    pub slot: u32,
    /// Table and groups, absent until they are loaded.
    pub tenure: Mutex<Option<Tenure>>,
    /// Wakes the task that copies to the standby.
    pub wake_standby: Notify,
    /// Wakes the task that writes to the platform.
    pub wake_platform: Notify,
    /// True while the standby doesn't confirm copies, so that the platform must not wait.
    pub standby_fails: AtomicBool,
    // Counts the confirmations of copies.
    progress: watch::Sender<u64>,
}

/// One unbroken time of this incarnation as holder of a slot.
pub struct Tenure {
    /// Version of the slot at which this node was last seen to hold it.
    pub version: u64,
    /// The decisions.
    pub table: ClaimTable,
    /// Records on the platform.
    pub groups: Groups,
    /// When the claims were loaded.
    pub loaded_ms: TimeMs,
}

impl SlotClaims {
    /// Returns the claims of a slot before they are loaded.
    pub fn new(slot: u32) -> Self {
        Self {
            slot,
            tenure: Mutex::default(),
            wake_standby: Notify::new(),
            wake_platform: Notify::new(),
            standby_fails: AtomicBool::new(false),
            progress: watch::Sender::new(0),
        }
    }

    /// Calls `work` with the tenure, if this node may act on the slot and its claims are loaded.
    pub fn with_held<T, F>(&self, node: &SharedNode, work: F) -> Option<T>
    where
        F: FnOnce(&mut Tenure, &HeldSlot, TimeMs) -> T,
    {
        let mut tenure = lock(&self.tenure);
        let tenure = tenure.as_mut()?;
        let now = clock::now();
        let held = node.slots.held(self.slot, now)?;
        if tenure.table.tenure_version() != held.replaced_version {
            return None;
        }
        tenure.version = held.version;
        Some(work(tenure, &held, now))
    }

    // Returns whether this node holds the slot since a short time only.
    fn is_new(&self, now: TimeMs) -> bool {
        lock(&self.tenure)
            .as_ref()
            .is_some_and(|tenure| now.since(tenure.loaded_ms) < NEW_MS)
    }

    /// Tells those who wait for a record that more is kept.
    pub fn note_progress(&self) {
        self.progress.send_modify(|count| *count += 1);
    }

    /// Returns the state as JSON.
    pub fn dump(&self, slots: &Slots, now: TimeMs) -> Option<serde_json::Value> {
        let tenure = lock(&self.tenure);
        let tenure = tenure.as_ref()?;
        Some(serde_json::json!({
            "slot": self.slot,
            "held": slots.held(self.slot, now).is_some(),
            "version": tenure.version,
            "tenure_version": tenure.table.tenure_version(),
            "keys": tenure.table.len(),
            "unflushed": tenure.table.unflushed().len(),
            "standby_confirmed": tenure.table.has_standby_at(tenure.version),
            "blocked": tenure.table.is_blocked(now),
        }))
    }

    fn wake(&self) {
        self.wake_standby.notify_one();
        self.wake_platform.notify_one();
    }

    // Waits until `check` has a result, which it may have once more is kept.
    async fn wait_kept<T, F>(&self, mut check: F) -> Option<T>
    where
        F: FnMut() -> Option<T>,
    {
        let deadline = Instant::now() + KEEP_TIME;
        let mut progress = self.progress.subscribe();
        loop {
            progress.mark_unchanged();
            if let Some(result) = check() {
                return Some(result);
            }
            // The sender lives in `self`, so only the time can end the wait.
            timeout_at(deadline, progress.changed()).await.ok()?.ok()?;
        }
    }
}

// A new holder that misses claims may still get them from another node.
fn soon(verdict: ClaimDecision, claims: &SlotClaims) -> ClaimDecision {
    match verdict {
        ClaimDecision::Unavailable {
            never_dispatched, ..
        } if claims.is_new(clock::now()) => ClaimDecision::Unavailable {
            never_dispatched,
            retry_after_ms: RETRY_AFTER_MS,
        },
        verdict => verdict,
    }
}

impl Claims {
    /// Decides on claims as the holder of their slots.
    pub async fn grant(&self, node: &SharedNode, request: ClaimRequest) -> ClaimReply {
        let mut results = Vec::with_capacity(request.items.len());
        for item in request.items {
            let attempt_id = item.attempt_id;
            let verdict = self.decide(node, item).await;
            results.push(convert::result(attempt_id, &verdict));
        }
        ClaimReply { results }
    }

    async fn decide(&self, node: &SharedNode, item: ClaimItem) -> ClaimDecision {
        let unavailable = |never_dispatched| ClaimDecision::Unavailable {
            never_dispatched,
            retry_after_ms: RETRY_AFTER_MS,
        };
        let Some(claims) = self.find(item.slot) else {
            return unavailable(false);
        };
        let ask = ClaimAttempt {
            key: ClaimKey {
                workspace: item.workspace.into(),
                idempotency_key: item.idempotency_key.into(),
            },
            fingerprint: item.fingerprint,
            attempt_id: item.attempt_id,
        };
        let asked = claims.with_held(node, |tenure, held, now| {
            tenure.table.request(&ask, held.version, now)
        });
        match asked {
            None => return unavailable(false),
            Some(ClaimProgress::Decided(verdict)) => return soon(verdict, &claims),
            Some(ClaimProgress::Recorded) => claims.wake(),
        }
        let granted = || {
            claims
                .with_held(node, |tenure, held, _| {
                    let version = Some(held.version);
                    tenure.table.may_grant(&ask.key, ask.attempt_id, version)
                })
                .filter(|granted| *granted)
        };
        match claims.wait_kept(granted).await {
            Some(_) => ClaimDecision::Granted,
            None => unavailable(true),
        }
    }

    /// Takes in outcomes as the holder of their slots. Those in the answer are kept in two places.
    pub async fn take_outcomes(
        &self,
        node: &SharedNode,
        request: RecordOutcomesRequest,
    ) -> RecordOutcomesReply {
        let mut reply = RecordOutcomesReply::default();
        for item in request.items {
            let attempt_id = item.attempt_id;
            if self.take_outcome(node, item).await {
                reply.recorded_attempt_ids.push(attempt_id);
            }
        }
        reply
    }

    async fn take_outcome(&self, node: &SharedNode, item: OutcomeItem) -> bool {
        let Some(claims) = self.find(item.slot) else {
            return false;
        };
        let key = ClaimKey {
            workspace: item.workspace.into(),
            idempotency_key: item.idempotency_key.into(),
        };
        let state = convert::state(item.outcome.unwrap_or_default());
        let record = || {
            claims
                .with_held(node, |tenure, held, now| {
                    let state = state.clone();
                    tenure
                        .table
                        .record(&key, item.attempt_id, state, held.version, now)
                })
                .inspect(|_| claims.wake())
                .filter(|kept| *kept)
        };
        claims.wait_kept(record).await.is_some()
    }
}
