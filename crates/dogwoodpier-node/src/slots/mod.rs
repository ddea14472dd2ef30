//! Slots: numbered rights to act, held by one node at a time.
//!
//! The decisions are in [`dogwoodpier_core::slots`]. This module has the tasks that follow the
//! slots on the platform (`follow`), send the writes that the table plans (`claim`), and move slots
//! between nodes (`balance`).

mod balance;
mod claim;
mod follow;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::escrow::SlotBacking;
use dogwoodpier_core::slots::FleetView;
use dogwoodpier_core::slots::Grant;
use dogwoodpier_core::slots::Held;
use dogwoodpier_core::slots::Member;
use dogwoodpier_core::slots::PeerId;
use dogwoodpier_core::slots::SlotTable;
use dogwoodpier_core::slots::Timing;
use dogwoodpier_proto::HandOverReply;
use dogwoodpier_proto::HandOverRequest;
use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::SlotPromise;
use dogwoodpier_proto::SlotRef;

use crate::clock;
use crate::state::Node;
use crate::state::SharedNode;

pub use balance::release_all;

/// Kind of the slots' objects on the platform.
pub const SLOTS_KIND: &str = "slots";

// Renewals during one long lease. A lease is always nearly full, so slots stay in force through a
// platform outage of almost its whole length.
const RENEWALS_PER_LEASE: u64 = 15;

/// The slots of the fleet as this node knows them.
#[derive(Default)]
pub struct Slots {
    // Absent until the node has bound its peer address.
    table: Mutex<Option<SlotTable>>,
    wake: Notify,
}

/// A slot that this node may act on now.
#[derive(Clone, Debug)]
pub struct HeldSlot {
    /// Number of the slot.
    pub slot: u32,
    /// Version of the slot's object, which is its fencing number.
    pub version: u64,
    /// Version that this node's tenure replaced, or zero if it is the slot's first tenure. Renewals
    /// and changes of standby don't change it.
    pub replaced_version: u64,
    /// `replaced_version` of the previous tenure.
    pub replaced_tenure: u64,
    /// Standby that promises not to claim the slot, absent while this node knows no other member.
    pub standby: Option<NodeInfo>,
    /// Time by this node's clock until which it may act on the slot.
    pub act_deadline_ms: TimeMs,
}

impl Slots {
    /// Returns the slot if this node may act on it now. Callers must not keep the result for later
    /// uses.
    pub fn held(&self, slot: u32, now: TimeMs) -> Option<HeldSlot> {
        let held = self.read(|table| table.held(slot, now))??;
        Some(HeldSlot {
            slot: held.slot,
            version: held.version,
            replaced_version: held.replaced_version,
            replaced_tenure: held.replaced_tenure,
            standby: held.standby.as_ref().map(node_info),
            act_deadline_ms: held.act_deadline_ms,
        })
    }

    /// Returns the holder in the latest record of a slot that this node has seen, a hint where to
    /// send claims.
    pub fn holder(&self, slot: u32) -> Option<NodeInfo> {
        self.read(|table| table.record(slot).map(|record| node_info(&record.holder)))?
    }

    /// Returns the standby in the latest record of a slot that this node has seen, the likely next
    /// holder after the holder's death.
    pub fn standby(&self, slot: u32) -> Option<NodeInfo> {
        let standby = |table: &SlotTable| table.record(slot)?.standby.as_ref().map(node_info);
        self.read(standby)?
    }

    /// Returns the number of slots of the fleet, or zero while it is unknown.
    pub fn count(&self) -> u32 {
        self.read(SlotTable::count).unwrap_or(0)
    }

    /// Returns the held slots that back this node's buckets now.
    pub fn backings(&self, now: TimeMs) -> Vec<SlotBacking> {
        let held = self.read(|table| table.all_held(now)).unwrap_or_default();
        held.iter().map(backing).collect()
    }

    /// Returns the slots and versions for which the heartbeat to `standby` requests a promise.
    pub fn promise_requests(&self, standby: &str, _now: TimeMs) -> Vec<SlotRef> {
        let requests = self.read(|table| table.promise_requests(standby));
        let slot_ref = |(slot, version)| SlotRef { slot, version };
        requests.into_iter().flatten().map(slot_ref).collect()
    }

    /// Returns the current and prospective standbys, which this node must send heartbeats to.
    pub fn standbys(&self) -> Vec<NodeInfo> {
        let peers = self.read(SlotTable::promise_candidates).unwrap_or_default();
        let by_instance: BTreeMap<Arc<str>, PeerId> = peers
            .into_iter()
            .map(|(_, peer)| (peer.instance.clone(), peer))
            .collect();
        by_instance.values().map(node_info).collect()
    }

    /// Decides on promises that a holder requests from this node as standby, and returns those
    /// granted.
    pub fn grant_promises(
        &self,
        holder: &NodeInfo,
        requests: &[SlotRef],
        now: TimeMs,
    ) -> Vec<SlotPromise> {
        let holder = peer_id(holder);
        let granted = self.write(|table| {
            let grant =
                |request: &SlotRef| table.grant(&holder, request.slot, request.version, now);
            requests.iter().filter_map(grant).collect::<Vec<Grant>>()
        });
        let promise = |grant: Grant| SlotPromise {
            slot: Some(SlotRef {
                slot: grant.slot,
                version: grant.version,
            }),
            promise_ms: grant.promise_ms,
        };
        granted.into_iter().flatten().map(promise).collect()
    }

    /// Applies the promises in the answer to a heartbeat sent at `sent_ms`. `standby` is the node
    /// that answered: a promise of another incarnation than the standby's doesn't count.
    pub fn handle_promises(&self, standby: &NodeInfo, promises: &[SlotPromise], sent_ms: TimeMs) {
        let standby = peer_id(standby);
        self.write(|table| {
            for promise in promises {
                let Some(slot) = &promise.slot else {
                    continue;
                };
                let grant = Grant {
                    slot: slot.slot,
                    version: slot.version,
                    promise_ms: promise.promise_ms,
                };
                table.handle_grant(&standby, grant, sent_ms);
            }
        });
        self.wake.notify_one();
    }

    /// Hands slots over to a joining node that requests them.
    pub async fn hand_over(&self, node: &Arc<Node>, request: HandOverRequest) -> HandOverReply {
        balance::hand_over(node, request).await
    }

    /// Returns the slots' state as JSON for `/dump`.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        let slots = self.read(|table| {
            (0..table.count())
                .map(|slot| {
                    let record = table.record(slot);
                    let held = table.held(slot, now);
                    serde_json::json!({
                        "slot": slot,
                        "holder": record.map(|record| record.holder.instance.clone()),
                        "standby": record.and_then(|record| Some(record.standby.as_ref()?.instance.clone())),
                        "fencing_number": held.as_ref().map(|held| held.version),
                        "act_remaining_ms": held.map(|held| held.act_deadline_ms.remaining(now)),
                    })
                })
                .collect::<Vec<serde_json::Value>>()
        });
        serde_json::json!(slots)
    }

    // Runs `read` on the table, if there is one yet.
    pub(crate) fn read<F, R>(&self, read: F) -> Option<R>
    where
        F: FnOnce(&SlotTable) -> R,
    {
        self.lock().as_ref().map(read)
    }

    // Runs `change` on the table, if there is one yet.
    pub(crate) fn write<F, R>(&self, change: F) -> Option<R>
    where
        F: FnOnce(&mut SlotTable) -> R,
    {
        self.lock().as_mut().map(change)
    }

    fn lock(&self) -> MutexGuard<'_, Option<SlotTable>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the slots on the platform, claims free slots, renews held ones and requests hand-overs.
///
/// Must start after the peer address is bound: the bound address proves that this node's former
/// incarnation is dead, so that its slots can be claimed at once.
pub async fn run(node: SharedNode) {
    let tuning = &node.settings.tuning;
    let timing = Timing {
        promise_ms: tuning.promise_ms,
        long_lease_ms: tuning.long_lease_ms,
        renew_ms: tuning.long_lease_ms / RENEWALS_PER_LEASE,
    };
    let me = member(&node.info());
    *node.slots.lock() = Some(SlotTable::new(me, timing, clock::now()));
    tokio::join!(
        follow::run(node.clone()),
        claim::run(node.clone()),
        balance::run(node.clone()),
    );
}

fn fleet_view(node: &Node, now: TimeMs) -> FleetView {
    FleetView {
        members: node.peers.alive(now).iter().map(member).collect(),
        draining: node.drain.is_draining(),
        now,
    }
}

fn backing(held: &Held) -> SlotBacking {
    SlotBacking {
        slot: held.slot,
        since_ms: held.since_ms,
        act_deadline_ms: held.act_deadline_ms,
    }
}

fn member(info: &NodeInfo) -> Member {
    Member {
        peer: peer_id(info),
        data_centre: info.data_centre.as_str().into(),
    }
}

fn peer_id(info: &NodeInfo) -> PeerId {
    let id = info.id.clone().unwrap_or_default();
    PeerId {
        instance: id.instance.into(),
        incarnation: id.incarnation,
        peer_address: info.peer_address.as_str().into(),
    }
}

fn node_info(peer: &PeerId) -> NodeInfo {
    NodeInfo {
        id: Some(NodeId {
            instance: peer.instance.to_string(),
            incarnation: peer.incarnation,
        }),
        peer_address: peer.peer_address.to_string(),
        data_centre: String::new(),
        draining: false,
    }
}

fn slot_name(slot: u32) -> String {
    format!("{slot:05}")
}
