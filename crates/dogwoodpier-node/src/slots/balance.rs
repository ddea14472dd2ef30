//! Moving slots between nodes: to one that joins, and away from one that shuts down.

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
// Slots that move in one call, so that each call stays short.
const MAX_MOVED: u32 = 8;
// Loans that a slot stands behind end within this time, with room to spare.
const RELEASE_MS: u64 = 8_000;
const RELEASE_RETRY_MS: u64 = 50;

/// Asks for slots while this node holds fewer than its fair share.
pub(super) async fn run(node: SharedNode) {
    loop {
        tokio::time::sleep(Duration::from_millis(BALANCE_INTERVAL_MS)).await;
        if !node.drain.is_draining() {
            ask_for_slots(&node).await;
        }
    }
}

async fn ask_for_slots(node: &SharedNode) {
    let now = clock::now();
    let members = node.peers.alive(now);
    let Some((count, mine)) = node
        .slots
        .read(|t| (t.count(), t.assigned_slots().len() as u32))
    else {
        return;
    };
    let nodes = members.len() as u32 + 1;
    let fair = count / nodes;
    if mine >= fair {
        return;
    }
    let held = held_by_instance(node);
    let held_by = |info: &NodeInfo| {
        let instance = info.id.clone().unwrap_or_default().instance;
        held.get(instance.as_str()).copied().unwrap_or(0)
    };
    let Some(richest) = members.iter().max_by_key(|info| held_by(info)) else {
        return;
    };
    if held_by(richest) <= fair {
        return;
    }
    let request = HandOverRequest {
        successor: Some(node.info()),
        slots_wanted: (fair - mine).min(held_by(richest) - fair).min(MAX_MOVED),
    };
    // A failed call is made again in the next round; what was moved shows on the platform.
    let _ = node
        .peers
        .transport()
        .call(
            "hand_over",
            &richest.peer_address,
            request,
            |mut client, request| async move { client.hand_over(request).await },
        )
        .await;
}

fn held_by_instance(node: &Node) -> BTreeMap<Arc<str>, u32> {
    let mut held = BTreeMap::new();
    node.slots.read(|table| {
        for record in (0..table.count()).filter_map(|slot| table.record(slot)) {
            *held.entry(record.holder.instance.clone()).or_insert(0) += 1;
        }
    });
    held
}

/// Hands over as many slots as the successor asks for, down to the own fair share.
pub(super) async fn hand_over(node: &Arc<Node>, request: HandOverRequest) -> HandOverReply {
    let mut reply = HandOverReply::default();
    let Some(successor) = request.successor else {
        return reply;
    };
    let now = clock::now();
    let members = node.peers.alive(now);
    let known = members.iter().any(|info| info.id == successor.id);
    let nodes = members.len() as u32 + 1 + u32::from(!known);
    let Some((count, named)) = node.slots.read(|t| (t.count(), t.assigned_slots())) else {
        return reply;
    };
    let surplus = (named.len() as u32).saturating_sub(count / nodes);
    let wanted = request.slots_wanted.min(surplus).min(MAX_MOVED);
    let successor = peer_id(&successor);
    for slot in named {
        if reply.slots.len() as u32 >= wanted {
            break;
        }
        // A task of its own: the server drops this call when its caller gives up, and a write whose
        // answer is never taken in would stop the slot for good.
        let (node, successor) = (node.clone(), successor.clone());
        let given = tokio::spawn(async move { give(&node, slot, &successor).await });
        if let Ok(Some(version)) = given.await {
            reply.slots.push(SlotRef { slot, version });
        }
    }
    reply
}

// Returns the slot's new version if it certainly went to the successor.
async fn give(node: &SharedNode, slot: u32, successor: &PeerId) -> Option<u64> {
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
    let outlook = super::outlook(node, now);
    let write = node.limits.release_slot(node, slot, now, |table, levels| {
        let standby = table.standby_after(slot, successor, &outlook);
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

/// Hands over every slot that this node holds; part of a graceful shutdown.
///
/// Slots that nobody takes, or that the platform can't move, stay: their standbys claim them once the
/// promises are over.
pub async fn release_all(node: &SharedNode) {
    node.limits.return_all(node).await;
    let deadline_ms = clock::now().after(RELEASE_MS);
    let mut moved: u32 = 0;
    loop {
        let now = clock::now();
        let named = node
            .slots
            .read(|table| table.assigned_slots())
            .unwrap_or_default();
        let members = node.peers.alive(now);
        if named.is_empty() || members.is_empty() || now >= deadline_ms {
            info!("{moved} slots handed over, {} left", named.len());
            return;
        }
        for slot in named {
            let Some(successor) = poorest(node, &members) else {
                continue;
            };
            moved += u32::from(give(node, slot, &successor).await.is_some());
        }
        let pause = Duration::from_millis(RELEASE_RETRY_MS);
        tokio::time::sleep(pause).await;
    }
}

fn poorest(node: &Node, members: &[NodeInfo]) -> Option<PeerId> {
    let held = held_by_instance(node);
    let peers = members.iter().map(peer_id);
    peers.min_by_key(|peer| held.get(&peer.instance).copied().unwrap_or(0))
}
