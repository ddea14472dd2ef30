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

// Watches per freshness period, so that news is renewed well before it is old.
const WATCHES_PER_PERIOD: u64 = 6;
// Nodes of the fleet that watch at once. The others hear from their peers.
const WATCHERS: usize = 64;
// Waits of a watch without news after which a node of a large fleet asks out of turn.
const OWN_QUESTION_WAITS: u64 = 3;
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 500;

/// Follows the platform's root until the process ends.
pub async fn run(node: SharedNode) {
    loop {
        if let Err(error) = follow(&node).await {
            debug!("configuration not read from the platform: {error}");
        }
        let pause_ms = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn follow(node: &SharedNode) -> dogwoodpier_platform::Result<()> {
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
        version = consider(node, object, version, sent_ms).await?;
    }
    take_news(node, version, sent_ms);
    let wait_ms = node.settings.tuning.freshness_ms / WATCHES_PER_PERIOD;
    loop {
        skip_turns(node, wait_ms).await;
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
            version = consider(node, &change.object, version, sent_ms).await?;
        }
        take_news(node, version, sent_ms);
    }
}

// Takes in that the platform had a version, zero if it had none: then the root was never written or
// was deleted, and either way there is nothing newer than what is in force.
fn take_news(node: &SharedNode, version: u64, sent_ms: TimeMs) {
    let mut knowledge = node.config.lock();
    let version = match version {
        0 => knowledge.versions.keys(),
        _ => version,
    };
    knowledge.take_news(version, sent_ms);
}

// Lets only some nodes of a large fleet watch at a time, since the platform counts each watch. A
// node that hears no news of the others asks itself.
async fn skip_turns(node: &SharedNode, wait_ms: u64) {
    let nodes = node.peers.alive(clock::now()).len() + 1;
    while rand::rng().random_range(0..nodes) >= WATCHERS {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if node.config.platform_contact_age_ms(clock::now()) > OWN_QUESTION_WAITS * wait_ms {
            return;
        }
    }
}

// Takes in a root read from the platform, and returns the highest version read so far.
async fn consider(
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
            // Known to exist but not readable: this is no news that keys may be relied on.
            if let Some(generation) = object.value["generation"].as_u64() {
                node.config.lock().versions.observe(generation);
            }
            return Err(Error::Protocol(format!("root: {error}")));
        }
    };
    let generation = root.generation;
    node.config.lock().take_news(generation, sent_ms);
    let _fetching = node.config.fetching.lock().await;
    if node.config.lock().versions.observe(generation) {
        let parts = fetch_parts(node, &root).await?;
        if !node.config.take(root, parts, "platform") {
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
        // Parts are written before their root, so only an old read lacks one.
        let object = object.ok_or_else(|| Error::NotDone(format!("part {hash} is missing")))?;
        let part: StoredPart = serde_json::from_value(object.value)
            .map_err(|error| Error::Protocol(format!("part {hash}: {error}")))?;
        parts.insert(hash.clone(), part.text);
    }
    Ok(parts)
}

impl super::ConfigStore {
    /// Returns those parts of a root that the version in force has too.
    pub(super) fn known_parts(&self, root: &Root) -> Parts {
        let knowledge = self.lock();
        let known = |hash: &Arc<str>| {
            let text = knowledge.parts.get(hash)?;
            Some((hash.clone(), text.clone()))
        };
        root.parts.iter().filter_map(known).collect()
    }
}
