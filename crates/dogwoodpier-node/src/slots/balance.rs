//! Hands slots over to nodes that join, and away from a node that shuts down.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;

use dogwoodpier_core::slots::HandOver;
use dogwoodpier_core::slots::PeerId;
use dogwoodpier_proto::HandOverReply;
use dogwoodpier_proto::HandOverRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::SlotRef;

use crate::clock;
use crate::state::Node;
use crate::state::SharedNode;

use super::claim;
use super::peer_id;

const BALANCE_INTERVAL_MS: u64 = 500;
// Maximum number of slots handed over in one call, so that each call stays short.
const MAX_SLOTS_PER_CALL: u32 = 8;
// Time for which a shutdown tries to hand over its slots. Loans that a slot backs end well within
// it.
const RELEASE_TIMEOUT_MS: u64 = 8_000;
const RELEASE_RETRY_MS: u64 = 50;

/// Requests slots from other nodes while this node holds fewer than its fair share.
pub(super) async fn run(node: SharedNode) {
    loop {
        tokio::time::sleep(Duration::from_millis(BALANCE_INTERVAL_MS)).await;
        if !node.drain.is_draining() {
            request_slots(&node).await;
        }
    }
}

async fn request_slots(node: &SharedNode) {
    let now = clock::now();
    let members = node.peers.alive(now);
    let Some((count, own)) = node
        .slots
        .read(|table| (table.count(), table.assigned_slots().len() as u32))
    else {
        return;
    };
    let nodes = members.len() as u32 + 1;
    let fair_share = count / nodes;
    if own >= fair_share {
        return;
    }
    let held = slots_by_instance(node);
    let held_by = |info: &NodeInfo| {
        let instance = info.id.clone().unwrap_or_default().instance;
        held.get(instance.as_str()).copied().unwrap_or(0)
    };
    let Some(donor) = members.iter().max_by_key(|info| held_by(info)) else {
        return;
    };
    if held_by(donor) <= fair_share {
        return;
    }
    let request = HandOverRequest {
        successor: Some(node.info()),
        slots_wanted: (fair_share - own)
            .min(held_by(donor) - fair_share)
            .min(MAX_SLOTS_PER_CALL),
    };
    // A failed call is repeated in the next round. This node learns of its new slots from the
    // platform.
    let _ = node
        .peers
        .transport()
        .call(
            "hand_over",
            &donor.peer_address,
            request,
            |mut client, request| async move { client.hand_over(request).await },
        )
        .await;
}

fn slots_by_instance(node: &Node) -> BTreeMap<Arc<str>, u32> {
    let mut held = BTreeMap::new();
    node.slots.read(|table| {
        for record in (0..table.count()).filter_map(|slot| table.record(slot)) {
            *held.entry(record.holder.instance.clone()).or_insert(0) += 1;
        }
    });
    held
}

/// Hands over as many slots as the successor requests, but keeps this node's fair share.
pub(super) async fn hand_over(node: &Arc<Node>, request: HandOverRequest) -> HandOverReply {
    let mut reply = HandOverReply::default();
    let Some(successor) = request.successor else {
        return reply;
    };
    let now = clock::now();
    let members = node.peers.alive(now);
    let known = members.iter().any(|info| info.id == successor.id);
    let nodes = members.len() as u32 + 1 + u32::from(!known);
    let Some((count, assigned)) = node
        .slots
        .read(|table| (table.count(), table.assigned_slots()))
    else {
        return reply;
    };
    let surplus = (assigned.len() as u32).saturating_sub(count / nodes);
    let wanted = request.slots_wanted.min(surplus).min(MAX_SLOTS_PER_CALL);
    let successor = peer_id(&successor);
    for slot in assigned {
        if reply.slots.len() as u32 >= wanted {
            break;
        }
        // Runs in a task, since the server drops this call when its caller times out, and a write
        // whose result is never handled would block the slot permanently.
        let (node, successor) = (node.clone(), successor.clone());
        let task = tokio::spawn(async move { hand_over_slot(&node, slot, &successor).await });
        if let Ok(Some(version)) = task.await {
            reply.slots.push(SlotRef { slot, version });
        }
    }
    reply
}

// Hands one slot over. Returns the slot's new version if its record names the successor as holder.
async fn hand_over_slot(node: &SharedNode, slot: u32, successor: &PeerId) -> Option<u64> {
    if !node
        .slots
        .read(|table| table.may_hand_over(slot, clock::now()))?
    {
        return None;
    }
    let info = super::node_info(successor);
    if !node.claims.prepare_hand_over(node, slot, &info).await {
        return None;
    }
    let now = clock::now();
    let view = super::fleet_view(node, now);
    let write = node.limits.release_slot(node, slot, now, |table, levels| {
        let standby = table.standby_after(slot, successor, &view);
        let hand_over = HandOver {
            slot,
            successor: successor.clone(),
            standby,
            levels,
            write_id: rand::random(),
        };
        table.hand_over(hand_over, now)
    });
    let Some(write) = write else {
        node.claims.cancel_hand_over(node, slot, &info).await;
        return None;
    };
    claim::send(node, write).await;
    node.slots.read(|table| {
        let record = table.record(slot)?;
        let version = table.version(slot);
        record
            .holder
            .is_same_incarnation_as(successor)
            .then_some(version)
    })?
}

/// Hands over every slot that this node holds, as part of a graceful shutdown.
///
/// Slots that no node takes or whose write to the platform fails stay with this node until their
/// standbys' promises end and the standbys claim them.
pub async fn release_all(node: &SharedNode) {
    node.limits.return_all(node).await;
    let deadline_ms = clock::now().after(RELEASE_TIMEOUT_MS);
    let mut handed_over: u32 = 0;
    loop {
        let now = clock::now();
        let assigned = node
            .slots
            .read(|table| table.assigned_slots())
            .unwrap_or_default();
        let members = node.peers.alive(now);
        if assigned.is_empty() || members.is_empty() || now >= deadline_ms {
            info!("{handed_over} slots handed over, {} left", assigned.len());
            return;
        }
        for slot in assigned {
            let Some(successor) = least_loaded_peer(node, &members) else {
                continue;
            };
            handed_over += u32::from(hand_over_slot(node, slot, &successor).await.is_some());
        }
        let pause = Duration::from_millis(RELEASE_RETRY_MS);
        tokio::time::sleep(pause).await;
    }
}

// Returns the member that holds the fewest slots.
fn least_loaded_peer(node: &Node, members: &[NodeInfo]) -> Option<PeerId> {
    let held = slots_by_instance(node);
    let peers = members.iter().map(peer_id);
    peers.min_by_key(|peer| held.get(&peer.instance).copied().unwrap_or(0))
}
