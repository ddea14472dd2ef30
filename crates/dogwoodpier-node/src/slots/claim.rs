//! Sends the writes that the slot table plans: claims, renewals and changes of standby.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use log::info;
use log::warn;
use metrics::counter;
use metrics::gauge;
use rand::Rng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::slots::Acquired;
use dogwoodpier_core::slots::PeerId;
use dogwoodpier_core::slots::SlotTable;
use dogwoodpier_core::slots::Write;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;

use crate::clock;
use crate::counters;
use crate::peers;
use crate::state::SharedNode;

use super::SLOTS_KIND;
use super::follow;
use super::slot_name;

const TICK_MS: u64 = 100;
// Maximum number of writes in one round, so that a restart of the whole fleet stays within the
// platform's rate limit.
const MAX_WRITES_PER_ROUND: usize = 8;
const RETRY_MIN_MS: u64 = 300;
const RETRY_MAX_MS: u64 = 900;

/// Sends the writes that the table plans until the process ends.
pub(super) async fn run(node: SharedNode) {
    let mut requested = BTreeSet::new();
    loop {
        let tick = Duration::from_millis(TICK_MS);
        // Both a wake-up and a timeout start a new round.
        let _ = tokio::time::timeout(tick, node.slots.wake.notified()).await;
        let now = clock::now();
        let view = super::fleet_view(&node, now);
        let writes = node
            .slots
            .write(|table| table.plan(&view, MAX_WRITES_PER_ROUND, rand::random));
        let held = node.slots.read(|table| table.all_held(now).len());
        gauge!(counters::SLOTS_HELD_COUNT).set(held.unwrap_or(0) as f64);
        request_first_promises(&node, &mut requested);
        let results: Vec<bool> = futures_util::future::join_all(
            writes.into_iter().flatten().map(|write| send(&node, write)),
        )
        .await;
        if results.contains(&false) {
            let pause_ms = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// Sends one write and applies its result to the slot table. Returns false if the platform didn't
/// carry the write out or didn't answer.
pub(super) async fn send(node: &SharedNode, write: Write) -> bool {
    let name = slot_name(write.slot);
    let precondition = match write.if_version {
        0 => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let sent_ms = clock::now();
    let result = match serde_json::to_value(&write.record) {
        Ok(value) => {
            node.platform
                .put(SLOTS_KIND, &name, &value, precondition)
                .await
        }
        Err(error) => Err(Error::NotDone(error.to_string())),
    };
    let now = clock::now();
    let (outcome, answered) = match result {
        Ok(PutOutcome::Written { version }) => {
            let acquired = node
                .slots
                .write(|table| table.handle_write_applied(write, version, now));
            handle_acquired(node, acquired.flatten(), now);
            ("written", true)
        }
        Ok(PutOutcome::Conflict { current }) => {
            node.slots
                .write(|table| table.handle_write_rejected(&write));
            if let Some(object) = current {
                follow::apply_object(node, &object, sent_ms);
            }
            ("conflict", true)
        }
        Err(Error::NotDone(_)) => {
            node.slots
                .write(|table| table.handle_write_rejected(&write));
            ("not_done", false)
        }
        Err(error) => {
            warn!(
                "result of the write of slot {} is unknown: {error}",
                write.slot
            );
            node.slots.write(|table| table.handle_write_unknown(&write));
            ("unknown", false)
        }
    };
    counter!(counters::SLOT_WRITES_TOTAL, "result" => outcome).increment(1);
    node.slots.wake.notify_one();
    answered
}

/// Adds the levels of a slot that this node has acquired to the buckets.
pub(super) fn handle_acquired(node: &SharedNode, acquired: Option<Acquired>, now: TimeMs) {
    if let Some(acquired) = acquired {
        info!("slot {} acquired by this node", acquired.slot);
        node.limits.add_slot(node, acquired, now);
    }
}

// Requests the first promise of each new standby at once, since a slot can't be used without one.
// `requested` are the slots and incarnations whose promises were requested before.
fn request_first_promises(node: &SharedNode, requested: &mut BTreeSet<(u32, u64)>) {
    let peers = node
        .slots
        .read(SlotTable::promise_candidates)
        .unwrap_or_default();
    let mut new_standbys = BTreeMap::new();
    for (slot, peer) in &peers {
        if !requested.contains(&(*slot, peer.incarnation)) {
            new_standbys.insert(peer.incarnation, peer.clone());
        }
    }
    for standby in new_standbys.values() {
        tokio::spawn(peers::send_heartbeat(
            node.clone(),
            super::node_info(standby),
        ));
    }
    let pair = |(slot, peer): &(u32, PeerId)| (*slot, peer.incarnation);
    *requested = peers.iter().map(pair).collect();
}
