//! Follows the slots' objects on the platform: one listing, then a watch.

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
// Pause between two watches, multiplied by the number of members: a large fleet gets its changes in
// batches, and its watches stay within the platform's rate limit.
const WATCH_PAUSE_PER_MEMBER_MS: u64 = 4;
// A change of a watch doesn't state when its version was the newest one.
const UNKNOWN_TIME: TimeMs = TimeMs(0);

/// Follows the slots until the process ends, and lists them again after each error or lost watch.
pub(super) async fn run(node: SharedNode) {
    wait_for_count(&node).await;
    loop {
        if let Err(error) = follow(&node).await {
            debug!("cannot read the slots from the platform: {error}");
            let now = clock::now();
            node.slots
                .write(|table| table.handle_platform_unreachable(now));
        }
        let pause_ms = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

// Waits for the first configuration, which fixes the number of slots.
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
    let requested_ms = clock::now();
    let listing = node.platform.list(SLOTS_KIND, "").await?;
    let mut present = BTreeSet::new();
    for object in &listing.items {
        present.extend(apply_object(node, object, requested_ms));
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
            apply_object(node, &change.object, UNKNOWN_TIME);
        }
        node.slots.wake.notify_one();
        let members = node.peers.alive(clock::now()).len() as u64;
        let pause_ms = WATCH_PAUSE_PER_MEMBER_MS * (members + 1);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Applies the object of a slot, requested at `requested_ms`, to the slot table and returns the
/// slot's number.
pub(super) fn apply_object(
    node: &SharedNode,
    object: &Object,
    requested_ms: TimeMs,
) -> Option<u32> {
    let slot = object.name.parse::<u32>().ok()?;
    let record = match serde_json::from_value::<SlotRecord>(object.value.clone()) {
        Ok(record) => record,
        Err(error) => {
            warn!("cannot decode the record of slot {slot}: {error}");
            return Some(slot);
        }
    };
    let now = clock::now();
    let acquired = node
        .slots
        .write(|table| table.handle_object(slot, object.version, record, requested_ms, now));
    claim::handle_acquired(node, acquired.flatten(), now);
    Some(slot)
}
