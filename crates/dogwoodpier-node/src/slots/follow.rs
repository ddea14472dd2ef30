//! The platform's view of the slots: one listing, then a watch.

use std::collections::BTreeSet;
use std::time::Duration;

use log::debug;
use log::warn;
use rand::Rng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::slots::SlotRecord;
use dogwoodpier_platform::Result;
use dogwoodpier_platform::WatchOutcome;
use dogwoodpier_platform::wire::Object;

use crate::clock;
use crate::state::SharedNode;

use super::SLOTS_KIND;
use super::claim;

const WATCH_WAIT_MS: u64 = 10_000;
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 500;
const NO_CONFIG_WAIT_MS: u64 = 50;
// Between two watches, for each member: the changes of a large fleet come in batches, and its
// watches stay within what the platform takes.
const PAUSE_PER_MEMBER_MS: u64 = 4;
// A change says nothing of the time at which it was the newest.
const UNKNOWN_TIME: TimeMs = TimeMs(0);

/// Follows the slots until the process ends.
pub(super) async fn run(node: SharedNode) {
    wait_for_count(&node).await;
    loop {
        if let Err(error) = follow(&node).await {
            debug!("slots not read from the platform: {error}");
            let now = clock::now();
            node.slots
                .write(|table| table.handle_platform_unreachable(now));
        }
        let pause_ms = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

// The number of slots is fixed by the first configuration.
async fn wait_for_count(node: &SharedNode) {
    loop {
        let slot_count = node.config.current().slot_count;
        if slot_count > 0 {
            node.slots.write(|table| table.set_count(slot_count));
            return;
        }
        tokio::time::sleep(Duration::from_millis(NO_CONFIG_WAIT_MS)).await;
    }
}

async fn follow(node: &SharedNode) -> Result<()> {
    let asked_ms = clock::now();
    let listing = node.platform.list(SLOTS_KIND, "").await?;
    let mut present = BTreeSet::new();
    for object in &listing.items {
        present.extend(take(node, object, asked_ms));
    }
    let now = clock::now();
    node.slots.write(|table| {
        (0..table.count())
            .filter(|slot| !present.contains(slot))
            .for_each(|slot| table.handle_missing(slot, now));
    });
    node.slots.wake.notify_one();
    let mut revision = listing.revision;
    loop {
        let outcome = node
            .platform
            .watch(&[SLOTS_KIND], revision, WATCH_WAIT_MS)
            .await?;
        let WatchOutcome::Changes(changes) = outcome else {
            return Ok(());
        };
        revision = changes.revision;
        for change in changes.changes.iter().filter(|change| !change.deleted) {
            take(node, &change.object, UNKNOWN_TIME);
        }
        node.slots.wake.notify_one();
        let members = node.peers.alive(clock::now()).len() as u64;
        let pause_ms = PAUSE_PER_MEMBER_MS * (members + 1);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Takes in an object that was asked for at `asked_ms`, and returns its slot.
pub(super) fn take(node: &SharedNode, object: &Object, asked_ms: TimeMs) -> Option<u32> {
    let slot = object.name.parse::<u32>().ok()?;
    let record = match serde_json::from_value::<SlotRecord>(object.value.clone()) {
        Ok(record) => record,
        Err(error) => {
            warn!("slot {slot} can't be read: {error}");
            return Some(slot);
        }
    };
    let now = clock::now();
    let acquired = node
        .slots
        .write(|table| table.handle_object(slot, object.version, record, asked_ms, now));
    claim::take_acquired(node, acquired.flatten(), now);
    Some(slot)
}
