//! Deletes versions that are no longer kept in the history, and parts that no kept version lists.

use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StoredPart;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::Result;

use crate::store;

/// Versions that the history keeps.
pub const KEPT_VERSIONS: u64 = 1_000;
/// Age above which a part that no kept version lists is deleted. It is much longer than an apply takes,
/// so the parts of a running apply are never deleted.
pub const PART_GRACE_S: u64 = 3_600;
// Number of versions from one collection to the next.
const VERSIONS_PER_COLLECTION: u64 = 20;

/// Deletes old versions and parts if a collection is due at the version of `root`, which was just put
/// in force.
pub async fn collect_if_due(client: &Client, root: &Root, now_unix_s: u64) -> Result<()> {
    if !root.generation.is_multiple_of(VERSIONS_PER_COLLECTION) {
        return Ok(());
    }
    collect(client, root, now_unix_s).await
}

/// Deletes old versions and parts. `root` is in force.
pub async fn collect(client: &Client, root: &Root, now_unix_s: u64) -> Result<()> {
    // Parts are listed before the history: a part that a root starts to use in between was written too
    // recently to be deleted.
    let parts = client.list(storage::PARTS_KIND, "").await?;
    let history = client.list(storage::HISTORY_KIND, "").await?;
    let newest_expired = store::history_name(root.generation.saturating_sub(KEPT_VERSIONS));
    let mut needed: BTreeSet<Arc<str>> = root.parts.iter().cloned().collect();
    for object in history.items {
        if *object.name <= *newest_expired {
            let precondition = Precondition::Version(object.version);
            client
                .delete(storage::HISTORY_KIND, &object.name, precondition)
                .await?;
        } else if let Ok(former) = serde_json::from_value::<Root>(object.value) {
            needed.extend(former.parts);
        }
    }
    for object in parts.items {
        let written_unix_s = serde_json::from_value::<StoredPart>(object.value)
            .map_or(now_unix_s, |part| part.written_unix_s);
        let is_old = now_unix_s.saturating_sub(written_unix_s) > PART_GRACE_S;
        if is_old && !needed.contains(&object.name) {
            // An apply that reuses the part writes it again, so its version changes and the condition
            // fails.
            let precondition = Precondition::Version(object.version);
            client
                .delete(storage::PARTS_KIND, &object.name, precondition)
                .await?;
        }
    }
    Ok(())
}
