//! Copies the records of held slots to the standby and to the platform.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;

use dogwoodpier_core::claims::GroupWrite;
use dogwoodpier_core::claims::ReplicationMessage;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;
use dogwoodpier_proto::NodeInfo;

use crate::clock;
use crate::counters;
use crate::state::SharedNode;

use super::convert;
use super::holder::SlotClaims;
use super::loading;
use super::lock;

const TICK: Duration = Duration::from_millis(50);
const RETRY: Duration = Duration::from_millis(100);
// Ticks between two looks for claims that are missing, and for groups that have expired.
const COMPLETE_TICKS: u64 = 4;
const SLOW_TICKS: u64 = 20;
// A group whose delete failed is deleted later.
const DELETE_RETRY_MS: u64 = 60_000;

/// Follows the slots that this node holds: loads their claims, and copies what is new.
pub async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        for slot in 0..node.config.current().slot_count {
            if node.slots.held(slot, clock::now()).is_some() {
                follow(&node, slot);
            }
        }
    }
}

async fn maintain(node: SharedNode, claims: Arc<SlotClaims>) {
    for tick in 0_u64.. {
        tokio::time::sleep(TICK).await;
        let Some(held) = node.slots.held(claims.slot, clock::now()) else {
            continue;
        };
        if !loading::load(&node, &claims, &held).await {
            tokio::time::sleep(RETRY).await;
            continue;
        }
        if tick % COMPLETE_TICKS == 0 {
            loading::complete(&node, &claims, &held).await;
        }
        if tick % SLOW_TICKS == 0 {
            delete_expired(&node, &claims).await;
        }
    }
}

// Starts the tasks of a slot when it is held for the first time.
fn follow(node: &SharedNode, slot: u32) {
    let mut slots = lock(&node.claims.slots);
    if slots.contains_key(&slot) {
        return;
    }
    let claims = Arc::new(SlotClaims::new(slot));
    slots.insert(slot, claims.clone());
    tokio::spawn(maintain(node.clone(), claims.clone()));
    tokio::spawn(copy_to_standby(node.clone(), claims.clone()));
    tokio::spawn(copy_to_platform(node.clone(), claims));
}

async fn copy_to_standby(node: SharedNode, claims: Arc<SlotClaims>) {
    loop {
        let next = claims.with_held(&node, |tenure, held, now| {
            let message = tenure.table.replication_message(held.version, now)?;
            Some((held.standby.clone(), message))
        });
        let Some(Some((standby, message))) = next else {
            // Nothing to copy, or not the holder now.
            let _ = tokio::time::timeout(TICK, claims.wake_standby.notified()).await;
            continue;
        };
        let kept = match &standby {
            Some(standby) => send_to_standby(&node, claims.slot, standby, &message).await,
            None => false,
        };
        claims.standby_fails.store(!kept, Ordering::Relaxed);
        if let Some(tenure) = lock(&claims.tenure).as_mut()
            && tenure.table.tenure_version() == message.tenure_version
        {
            tenure.table.handle_standby_reply(&message, kept);
        }
        if kept {
            claims.note_progress();
        } else {
            claims.wake_platform.notify_one();
            tokio::time::sleep(RETRY).await;
        }
    }
}

async fn send_to_standby(
    node: &SharedNode,
    slot: u32,
    standby: &NodeInfo,
    message: &ReplicationMessage,
) -> bool {
    let request = convert::keep_request(node.id(), slot, message);
    node.peers
        .transport()
        .call(
            "keep_claims",
            &standby.peer_address,
            request,
            |mut client, request| async move { client.keep_claims(request).await },
        )
        .await
        .is_ok_and(|reply| reply.kept)
}

async fn copy_to_platform(node: SharedNode, claims: Arc<SlotClaims>) {
    loop {
        let urgent = claims.standby_fails.load(Ordering::Relaxed);
        let write = claims.with_held(&node, |tenure, _, now| {
            tenure.groups.next_write(&tenure.table, urgent, now)
        });
        match write {
            Some(Some(write)) => {
                if !write_group(&node, &claims, &write).await {
                    tokio::time::sleep(RETRY).await;
                }
            }
            _ => {
                let _ = tokio::time::timeout(TICK, claims.wake_platform.notified()).await;
            }
        }
    }
}

// Writes a group and takes in the result. Returns whether the platform answered.
async fn write_group(node: &SharedNode, claims: &SlotClaims, write: &GroupWrite) -> bool {
    let expect = match write.expected_version {
        0 => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let result = match serde_json::to_value(&write.content) {
        Ok(value) => node
            .platform
            .put(loading::KIND, &write.name, &value, expect)
            .await
            .ok(),
        Err(_) => None,
    };
    let mut tenure = lock(&claims.tenure);
    let Some(tenure) = tenure
        .as_mut()
        .filter(|tenure| tenure.table.tenure_version() == write.tenure_version)
    else {
        return true;
    };
    let answered = match result {
        Some(PutOutcome::Written { version }) => {
            tenure
                .groups
                .handle_written(&mut tenure.table, write, version);
            true
        }
        Some(PutOutcome::Conflict { current }) => {
            let version = current.map_or(0, |object| object.version);
            tenure.groups.handle_conflict(version);
            true
        }
        None => {
            tenure.groups.handle_write_unknown();
            false
        }
    };
    claims.note_progress();
    counter!(counters::CLAIM_WRITES_TOTAL, "answered" => answered.to_string()).increment(1);
    answered
}

async fn delete_expired(node: &SharedNode, claims: &SlotClaims) {
    let expired = claims.with_held(node, |tenure, _, now| tenure.groups.take_expired(now));
    for name in expired.unwrap_or_default() {
        let result = node
            .platform
            .delete(loading::KIND, &name, Precondition::Any)
            .await;
        if result.is_err() {
            claims.with_held(node, |tenure, _, now| {
                let retry_ms = now.after(DELETE_RETRY_MS);
                tenure.groups.record_loaded(name.clone(), retry_ms);
            });
        }
    }
}
