//! The platform as the source of configurations.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use rand::Rng;

use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StoredPart;
use dogwoodpier_core::TimeMs;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::WatchOutcome;
use dogwoodpier_platform::wire::Object;

use crate::clock;
use crate::state::SharedNode;

use super::Parts;

// Watches per freshness period, so that contact is renewed well before it counts as too old.
const WATCHES_PER_PERIOD: u64 = 6;
// Nodes of the fleet that watch at the same time, on average. The others learn of changes from their
// peers.
const CONCURRENT_WATCHERS: usize = 64;
// If the newest known contact is older than this many waits of a watch, a node of a large fleet
// watches out of turn.
const OUT_OF_TURN_WAITS: u64 = 3;
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 500;

/// Watches the configuration's root on the platform until the process ends.
pub async fn run(node: SharedNode) {
    loop {
        if let Err(error) = watch_root(&node).await {
            debug!("configuration could not be read from the platform: {error}");
        }
        let pause_ms = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn watch_root(node: &SharedNode) -> dogwoodpier_platform::Result<()> {
    let mut sent_ms = clock::now();
    node.config.lock().freshness.record_request();
    let listing = node
        .platform
        .list(storage::ROOT_KIND, storage::ROOT_NAME)
        .await?;
    node.config.lock().freshness.record_response();
    let mut revision = listing.revision;
    let mut version = 0;
    for object in &listing.items {
        version = handle_root(node, object, version, sent_ms).await?;
    }
    record_contact(node, version, sent_ms);
    let wait_ms = node.settings.tuning.freshness_ms / WATCHES_PER_PERIOD;
    loop {
        wait_for_turn(node, wait_ms).await;
        sent_ms = clock::now();
        node.config.lock().freshness.record_request();
        let outcome = node
            .platform
            .watch(&[storage::ROOT_KIND], revision, wait_ms)
            .await?;
        node.config.lock().freshness.record_response();
        let WatchOutcome::Changes(changes) = outcome else {
            return Ok(());
        };
        revision = changes.revision;
        for change in changes.changes.iter().filter(|change| !change.deleted) {
            version = handle_root(node, &change.object, version, sent_ms).await?;
        }
        record_contact(node, version, sent_ms);
    }
}

// Records that the platform had a version at `sent_ms` or later. Version zero means that it had no
// root: the root was never written or was deleted, and either way nothing is newer than what is in
// force.
fn record_contact(node: &SharedNode, version: u64, sent_ms: TimeMs) {
    let mut state = node.config.lock();
    let version = match version {
        0 => state.versions.keys(),
        _ => version,
    };
    state.record_contact(version, sent_ms);
}

// Waits until it is this node's turn to watch: only some nodes of a large fleet watch at a time, since
// the platform counts each watch. A node whose peers report no recent contact watches
// out of turn.
async fn wait_for_turn(node: &SharedNode, wait_ms: u64) {
    let nodes = node.peers.alive(clock::now()).len() + 1;
    while rand::rng().random_range(0..nodes) >= CONCURRENT_WATCHERS {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if node.config.platform_contact_age_ms(clock::now()) > OUT_OF_TURN_WAITS * wait_ms {
            return;
        }
    }
}

// Handles a root read from the platform: fetches and applies a higher version. Returns the highest
// version read so far.
async fn handle_root(
    node: &SharedNode,
    object: &Object,
    version: u64,
    sent_ms: TimeMs,
) -> dogwoodpier_platform::Result<u64> {
    if *object.name != *storage::ROOT_NAME {
        return Ok(version);
    }
    let root = match serde_json::from_value::<Root>(object.value.clone()) {
        Ok(root) => root,
        Err(error) => {
            // The version is known to exist but can't be read, so the contact doesn't confirm the keys
            // in force.
            if let Some(generation) = object.value["generation"].as_u64() {
                node.config.lock().versions.observe(generation);
            }
            return Err(Error::Protocol(format!("root: {error}")));
        }
    };
    let generation = root.generation;
    node.config.lock().record_contact(generation, sent_ms);
    let _fetch_guard = node.config.fetch_lock.lock().await;
    if node.config.lock().versions.observe(generation) {
        let parts = fetch_parts(node, &root).await?;
        if !node.config.apply(root, parts, "platform") {
            return Err(Error::Protocol(format!("parts of version {generation}")));
        }
    }
    Ok(version.max(generation))
}

// Fetches the parts of a root that are not known yet.
async fn fetch_parts(node: &SharedNode, root: &Root) -> dogwoodpier_platform::Result<Parts> {
    let mut parts = node.config.known_parts(root);
    for hash in &root.parts {
        if parts.contains_key(hash) {
            continue;
        }
        let object = node.platform.get(storage::PARTS_KIND, hash).await?;
        // Parts are written before their root, so one is missing only in an outdated read.
        let object = object.ok_or_else(|| Error::NotDone(format!("part {hash} is missing")))?;
        let part: StoredPart = serde_json::from_value(object.value)
            .map_err(|error| Error::Protocol(format!("part {hash}: {error}")))?;
        parts.insert(hash.clone(), part.text);
    }
    Ok(parts)
}

impl super::ConfigStore {
    /// Returns the parts of a root that the version in force has too.
    pub(super) fn known_parts(&self, root: &Root) -> Parts {
        let state = self.lock();
        let known = |hash: &Arc<str>| {
            let text = state.parts.get(hash)?;
            Some((hash.clone(), text.clone()))
        };
        root.parts.iter().filter_map(known).collect()
    }
}
