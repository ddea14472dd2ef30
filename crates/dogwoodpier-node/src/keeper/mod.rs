//! Reservations at the decode engines that this node keeps.

use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::ReleaseRequest;
use dogwoodpier_proto::ReserveReply;
use dogwoodpier_proto::ReserveRequest;

use crate::state::SharedNode;

/// Reservations and queues of the decode engines that this node keeps.
#[derive(Default)]
pub struct Keeper {}

impl Keeper {
    /// Grants a reservation, waits in the workspace's queue for one, or refuses early.
    pub async fn reserve(&self, _node: &SharedNode, _request: ReserveRequest) -> ReserveReply {
        ReserveReply::default()
    }

    /// Takes reservations back.
    pub fn release(&self, _request: ReleaseRequest, _now: TimeMs) {}

    /// Returns the state as JSON.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::Value::Null
    }
}

/// Compares what engines hold with live incarnations and cancels orphans.
pub async fn run(_node: SharedNode) {}
