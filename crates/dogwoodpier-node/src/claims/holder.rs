//! Decisions on claims of the slots that this node holds.

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

// Time within which a record must be confirmed by the standby or the platform. Shorter than the
// default `peer_timeout_ms`, so that the requester's call still gets an answer.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);
const RETRY_AFTER_MS: u64 = 500;
// Time within which a new holder gets missing claims from other nodes, if any of them has them.
const RECENT_TAKEOVER_MS: u64 = 3_000;

/// Claims of one slot that this node holds or has held.
pub struct SlotClaims {
    /// Number of the slot.
    pub slot: u32,
    /// Table and groups of the tenure, absent until they are loaded.
    pub tenure: Mutex<Option<Tenure>>,
    /// Wakes the task that copies records to the standby.
    pub wake_standby: Notify,
    /// Wakes the task that writes records to the platform.
    pub wake_platform: Notify,
    /// True while the standby doesn't confirm copies, which makes writes to the platform urgent.
    pub standby_failing: AtomicBool,
    // Counts confirmations by the standby and attempted writes to the platform.
    replication_progress: watch::Sender<u64>,
}

/// Uninterrupted period in which this incarnation holds a slot.
pub struct Tenure {
    /// Latest version of the slot's object under which this node has acted on the slot.
    pub version: u64,
    /// Claims and their states.
    pub table: ClaimTable,
    /// Groups of records on the platform.
    pub groups: Groups,
    /// Time at which the claims were loaded.
    pub loaded_ms: TimeMs,
}

impl SlotClaims {
    /// Creates the claims of a slot, not loaded yet.
    pub fn new(slot: u32) -> Self {
        Self {
            slot,
            tenure: Mutex::default(),
            wake_standby: Notify::new(),
            wake_platform: Notify::new(),
            standby_failing: AtomicBool::new(false),
            replication_progress: watch::Sender::new(0),
        }
    }

    /// Calls `work` with the tenure if this node may act on the slot and its claims are loaded for
    /// the current tenure. Returns `None` otherwise.
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

    // Returns whether the claims were loaded less than `RECENT_TAKEOVER_MS` ago.
    fn is_recent_takeover(&self, now: TimeMs) -> bool {
        lock(&self.tenure)
            .as_ref()
            .is_some_and(|tenure| now.since(tenure.loaded_ms) < RECENT_TAKEOVER_MS)
    }

    /// Wakes the calls that wait for a record to be replicated.
    pub fn notify_progress(&self) {
        self.replication_progress.send_modify(|count| *count += 1);
    }

    /// Returns the slot's state as JSON, or `None` if its claims are not loaded.
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

    // Calls `check` now and after each change of `replication_progress`, and returns its first
    // result. Returns `None` after `REPLICATION_TIMEOUT`.
    async fn wait_replicated<T, F>(&self, mut check: F) -> Option<T>
    where
        F: FnMut() -> Option<T>,
    {
        let deadline = Instant::now() + REPLICATION_TIMEOUT;
        let mut progress = self.replication_progress.subscribe();
        loop {
            progress.mark_unchanged();
            if let Some(result) = check() {
                return Some(result);
            }
            // `self` owns the sender, so the channel stays open and only the timeout ends the wait.
            timeout_at(deadline, progress.changed()).await.ok()?.ok()?;
        }
    }
}

// Shortens the retry delay of a holder that has just taken over: it may still get the missing
// claims from another node.
fn shorten_retry_after_takeover(decision: ClaimDecision, claims: &SlotClaims) -> ClaimDecision {
    match decision {
        ClaimDecision::Unavailable {
            never_dispatched, ..
        } if claims.is_recent_takeover(clock::now()) => ClaimDecision::Unavailable {
            never_dispatched,
            retry_after_ms: RETRY_AFTER_MS,
        },
        decision => decision,
    }
}

impl Claims {
    /// Decides claims as the holder of their slots.
    pub async fn grant(&self, node: &SharedNode, request: ClaimRequest) -> ClaimReply {
        let mut results = Vec::with_capacity(request.items.len());
        for item in request.items {
            let attempt_id = item.attempt_id;
            let decision = self.decide(node, item).await;
            results.push(convert::claim_result(attempt_id, &decision));
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
        let attempt = ClaimAttempt {
            key: ClaimKey {
                workspace: item.workspace.into(),
                idempotency_key: item.idempotency_key.into(),
            },
            fingerprint: item.fingerprint,
            attempt_id: item.attempt_id,
        };
        let progress = claims.with_held(node, |tenure, held, now| {
            tenure.table.request(&attempt, held.version, now)
        });
        match progress {
            None => return unavailable(false),
            Some(ClaimProgress::Decided(decision)) => {
                return shorten_retry_after_takeover(decision, &claims);
            }
            Some(ClaimProgress::Recorded) => claims.wake(),
        }
        let granted = || {
            claims
                .with_held(node, |tenure, held, _| {
                    let version = Some(held.version);
                    tenure
                        .table
                        .may_grant(&attempt.key, attempt.attempt_id, version)
                })
                .filter(|granted| *granted)
        };
        match claims.wait_replicated(granted).await {
            Some(_) => ClaimDecision::Granted,
            None => unavailable(true),
        }
    }

    /// Records outcomes as the holder of their slots. The reply lists the attempts whose outcomes
    /// are stored in two places.
    pub async fn record_outcomes(
        &self,
        node: &SharedNode,
        request: RecordOutcomesRequest,
    ) -> RecordOutcomesReply {
        let mut reply = RecordOutcomesReply::default();
        for item in request.items {
            let attempt_id = item.attempt_id;
            if self.record_outcome(node, item).await {
                reply.recorded_attempt_ids.push(attempt_id);
            }
        }
        reply
    }

    async fn record_outcome(&self, node: &SharedNode, item: OutcomeItem) -> bool {
        let Some(claims) = self.find(item.slot) else {
            return false;
        };
        let key = ClaimKey {
            workspace: item.workspace.into(),
            idempotency_key: item.idempotency_key.into(),
        };
        let state = convert::record_state(item.outcome.unwrap_or_default());
        let record = || {
            claims
                .with_held(node, |tenure, held, now| {
                    let state = state.clone();
                    tenure
                        .table
                        .record(&key, item.attempt_id, state, held.version, now)
                })
                .inspect(|_| claims.wake())
                .filter(|replicated| *replicated)
        };
        claims.wait_replicated(record).await.is_some()
    }
}
