//! Rates and bursts of workspaces, counted in tokens over the whole fleet.

use std::sync::Arc;

use dogwoodpier_core::Refusal;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_proto::BorrowReply;
use dogwoodpier_proto::BorrowRequest;
use dogwoodpier_proto::SettleLoansRequest;

use crate::state::SharedNode;

/// Token buckets of the slots that this node holds, and its loans.
#[derive(Default)]
pub struct Limits {}

/// Tokens that were taken for one request.
#[derive(Debug)]
pub struct Permit {
    /// Workspace that pays.
    pub workspace: Arc<str>,
    /// Tokens taken.
    pub charged_tokens: Tokens,
}

impl Limits {
    /// Takes `cost` from the workspace's bucket, borrowing from peers if need be. Waits no longer
    /// than is worth while, and never past `deadline_ms`.
    pub async fn admit(
        &self,
        _node: &SharedNode,
        workspace: &Arc<str>,
        cost: Tokens,
        _deadline_ms: TimeMs,
    ) -> Result<Permit, Refusal> {
        Ok(Permit {
            workspace: workspace.clone(),
            charged_tokens: cost,
        })
    }

    /// Gives back what a request didn't use. `actual` is what it used.
    pub fn settle(&self, _permit: Permit, _actual: Tokens, _now: TimeMs) {}

    /// Lends tokens to a peer.
    pub async fn lend(&self, _node: &SharedNode, _request: BorrowRequest) -> BorrowReply {
        BorrowReply::default()
    }

    /// Takes back unspent tokens of loans.
    pub fn settle_loans(&self, _request: SettleLoansRequest, _now: TimeMs) {}

    /// Returns the state as JSON.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::Value::Null
    }
}

/// Settles loans and asks ahead for tokens that the demand of the last seconds will need.
pub async fn run(_node: SharedNode) {}
