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
const RETRY_DELAY: Duration = Duration::from_millis(100);
// Ticks between two attempts to fetch missing claims.
const FETCH_MISSING_TICKS: u64 = 4;
// Ticks between two deletions of expired groups.
const DELETE_EXPIRED_TICKS: u64 = 20;
// Delay before a failed deletion of a group is repeated.
const DELETE_RETRY_MS: u64 = 60_000;

/// Loads the claims of each slot that this node holds, and replicates their records.
pub async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        for slot in 0..node.config.current().slot_count {
            if node.slots.held(slot, clock::now()).is_some() {
                start_slot_tasks(&node, slot);
            }
        }
    }
}

// Loads a slot's claims for each tenure, fetches missing claims and deletes expired groups.
async fn maintain(node: SharedNode, claims: Arc<SlotClaims>) {
    for tick in 0_u64.. {
        tokio::time::sleep(TICK).await;
        let Some(held) = node.slots.held(claims.slot, clock::now()) else {
            continue;
        };
        if !loading::load(&node, &claims, &held).await {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        if tick % FETCH_MISSING_TICKS == 0 {
            loading::fetch_missing(&node, &claims, &held).await;
        }
        if tick % DELETE_EXPIRED_TICKS == 0 {
            delete_expired(&node, &claims).await;
        }
    }
}

// Starts the tasks of a slot when this node first holds it.
fn start_slot_tasks(node: &SharedNode, slot: u32) {
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
            // Nothing to copy, or this node doesn't hold the slot now.
            let _ = tokio::time::timeout(TICK, claims.wake_standby.notified()).await;
            continue;
        };
        let kept = match &standby {
            Some(standby) => send_to_standby(&node, claims.slot, standby, &message).await,
            None => false,
        };
        claims.standby_failing.store(!kept, Ordering::Relaxed);
        if let Some(tenure) = lock(&claims.tenure).as_mut()
            && tenure.table.tenure_version() == message.tenure_version
        {
            tenure.table.handle_standby_reply(&message, kept);
        }
        if kept {
            claims.notify_progress();
        } else {
            claims.wake_platform.notify_one();
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn send_to_standby(
    node: &SharedNode,
    slot: u32,
    standby: &NodeInfo,
    message: &ReplicationMessage,
) -> bool {
    let request = convert::replication_request(node.id(), slot, message);
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
        let urgent = claims.standby_failing.load(Ordering::Relaxed);
        let write = claims.with_held(&node, |tenure, _, now| {
            tenure.groups.next_write(&tenure.table, urgent, now)
        });
        match write {
            Some(Some(write)) => {
                if !write_group(&node, &claims, &write).await {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            _ => {
                let _ = tokio::time::timeout(TICK, claims.wake_platform.notified()).await;
            }
        }
    }
}

// Writes a group to the platform and applies the result. Returns false if the platform didn't
// answer while the group's tenure lasts.
async fn write_group(node: &SharedNode, claims: &SlotClaims, write: &GroupWrite) -> bool {
    let precondition = match write.expected_version {
        0 => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let result = match serde_json::to_value(&write.content) {
        Ok(value) => node
            .platform
            .put(loading::CLAIMS_KIND, &write.name, &value, precondition)
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
    claims.notify_progress();
    counter!(counters::CLAIM_WRITES_TOTAL, "answered" => answered.to_string()).increment(1);
    answered
}

async fn delete_expired(node: &SharedNode, claims: &SlotClaims) {
    let expired = claims.with_held(node, |tenure, _, now| tenure.groups.take_expired(now));
    for name in expired.unwrap_or_default() {
        let result = node
            .platform
            .delete(loading::CLAIMS_KIND, &name, Precondition::Any)
            .await;
        if result.is_err() {
            claims.with_held(node, |tenure, _, now| {
                let retry_ms = now.after(DELETE_RETRY_MS);
                tenure.groups.record_loaded(name.clone(), retry_ms);
            });
        }
    }
}
