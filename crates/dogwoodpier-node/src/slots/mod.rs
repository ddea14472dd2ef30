//! Slots: numbered rights to act, held by one node at a time.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::HandOverReply;
use dogwoodpier_proto::HandOverRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::SlotPromise;
use dogwoodpier_proto::SlotRef;

use crate::state::Node;
use crate::state::SharedNode;

/// The slots of the fleet as this node knows them.
#[derive(Default)]
pub struct Slots {}

/// A slot that this node may act on now.
#[derive(Clone, Debug)]
pub struct HeldSlot {
    /// Number of the slot.
    pub slot: u32,
    /// Version of the slot's object, its fencing number.
    pub version: u64,
    /// Version of the write by which this incarnation became holder; renewals and changes of heir
    /// leave it as it is.
    pub tenure_version: u64,
    /// Version that the write of `tenure_version` replaced, zero if it created the slot's object.
    pub superseded_version: u64,
    /// The heir that promises not to claim it, absent while this node knows no other member.
    pub heir: Option<NodeInfo>,
    /// Time until which this node may act on the slot, by its own clock.
    pub act_deadline_ms: TimeMs,
}

impl Slots {
    /// Returns the slot if this node may act on it now. Callers ask at each use and keep no copy.
    pub fn held(&self, _slot: u32, _now: TimeMs) -> Option<HeldSlot> {
        None
    }

    /// Returns the presumed holder of a slot, a hint for where to send a claim.
    pub fn holder(&self, _slot: u32) -> Option<NodeInfo> {
        None
    }

    /// Returns the heirs of the slots that this node holds, with the promises it needs from each;
    /// the heartbeat asks for them.
    pub fn promise_requests(&self, _heir: &str, _now: TimeMs) -> Vec<SlotRef> {
        Vec::new()
    }

    /// Returns the instances of the heirs that this node must send heartbeats to.
    pub fn heirs(&self) -> Vec<NodeInfo> {
        Vec::new()
    }

    /// Decides, as heir, on promises that a holder asks for.
    pub fn grant_promises(
        &self,
        _holder: &NodeInfo,
        _requests: &[SlotRef],
        _now: TimeMs,
    ) -> Vec<SlotPromise> {
        Vec::new()
    }

    /// Takes promises in that came in answer to a heartbeat sent at `sent_ms`. `heir` is who
    /// answered, since a promise of another incarnation than the heir's is none.
    pub fn take_promises(&self, _heir: &NodeInfo, _promises: &[SlotPromise], _sent_ms: TimeMs) {}

    /// Hands slots over to a joining node. Before the write that names the successor of a slot,
    /// `Claims::prepare_hand_over` passes the slot's claims on.
    pub async fn hand_over(&self, _node: &Arc<Node>, _request: HandOverRequest) -> HandOverReply {
        HandOverReply::default()
    }

    /// Returns the state as JSON.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::Value::Null
    }
}

/// Follows the slots on the platform, claims free ones, asks for hand-overs and renews.
pub async fn run(_node: SharedNode) {}

/// Hands over every slot that this node holds; part of a graceful shutdown.
pub async fn release_all(_node: &SharedNode) {}
