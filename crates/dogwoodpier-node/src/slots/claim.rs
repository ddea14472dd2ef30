//! The writes that the table plans: claims, renewals, changes of standby.

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
// Writes in one round, so that a restart of the whole fleet stays within the platform's rate.
const MAX_WRITES: usize = 8;
const PAUSE_MIN_MS: u64 = 300;
const PAUSE_MAX_MS: u64 = 900;

/// Sends the writes that the table plans until the process ends.
pub(super) async fn run(node: SharedNode) {
    let mut asked = BTreeSet::new();
    loop {
        let tick = Duration::from_millis(TICK_MS);
        // Either way there is something to look at.
        let _ = tokio::time::timeout(tick, node.slots.wake.notified()).await;
        let now = clock::now();
        let outlook = super::outlook(&node, now);
        let writes = node
            .slots
            .write(|table| table.plan(&outlook, MAX_WRITES, rand::random));
        let held = node.slots.read(|table| table.all_held(now).len());
        gauge!(counters::SLOTS_HELD_COUNT).set(held.unwrap_or(0) as f64);
        ask_new_standbys(&node, &mut asked);
        let results: Vec<bool> =
            futures_util::future::join_all(writes.into_iter().flatten().map(|w| send(&node, w)))
                .await;
        if results.contains(&false) {
            let pause_ms = rand::rng().random_range(PAUSE_MIN_MS..PAUSE_MAX_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// Sends one write and takes in what becomes of it. Returns false if the platform didn't answer.
pub(super) async fn send(node: &SharedNode, write: Write) -> bool {
    let name = slot_name(write.slot);
    let expect = match write.if_version {
        0 => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let asked_ms = clock::now();
    let result = match serde_json::to_value(&write.record) {
        Ok(value) => node.platform.put(SLOTS_KIND, &name, &value, expect).await,
        Err(error) => Err(Error::NotDone(error.to_string())),
    };
    let now = clock::now();
    let (outcome, answered) = match result {
        Ok(PutOutcome::Written { version }) => {
            let acquired = node
                .slots
                .write(|table| table.handle_write_applied(write, version, now));
            take_acquired(node, acquired.flatten(), now);
            ("written", true)
        }
        Ok(PutOutcome::Conflict { current }) => {
            node.slots
                .write(|table| table.handle_write_rejected(&write));
            if let Some(object) = current {
                follow::take(node, &object, asked_ms);
            }
            ("conflict", true)
        }
        Err(Error::NotDone(_)) => {
            node.slots
                .write(|table| table.handle_write_rejected(&write));
            ("not_done", false)
        }
        Err(error) => {
            warn!("write of slot {} has no answer: {error}", write.slot);
            node.slots.write(|table| table.handle_write_unknown(&write));
            ("unknown", false)
        }
    };
    counter!(counters::SLOT_WRITES_TOTAL, "result" => outcome).increment(1);
    node.slots.wake.notify_one();
    answered
}

/// Gives the buckets the levels that came with a slot.
pub(super) fn take_acquired(node: &SharedNode, acquired: Option<Acquired>, now: TimeMs) {
    if let Some(acquired) = acquired {
        info!("slot {} came to this node", acquired.slot);
        node.limits.take_slot(node, acquired, now);
    }
}

// Asks for the first promise at once, since a slot can't be used without.
fn ask_new_standbys(node: &SharedNode, asked: &mut BTreeSet<(u32, u64)>) {
    let peers = node
        .slots
        .read(SlotTable::promise_candidates)
        .unwrap_or_default();
    let mut new_standbys = BTreeMap::new();
    for (slot, peer) in &peers {
        if !asked.contains(&(*slot, peer.incarnation)) {
            new_standbys.insert(peer.incarnation, peer.clone());
        }
    }
    for standby in new_standbys.values() {
        tokio::spawn(peers::beat(node.clone(), super::node_info(standby)));
    }
    let pair = |(slot, peer): &(u32, PeerId)| (*slot, peer.incarnation);
    *asked = peers.iter().map(pair).collect();
}
