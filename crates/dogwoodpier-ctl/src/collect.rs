//! Collection of what no version needs any more.

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
/// Age at which a part that no kept version lists is deleted. An apply ends long before.
pub const PART_GRACE_S: u64 = 3_600;
// Applied versions between two collections.
const COLLECT_EVERY: u64 = 20;

/// Deletes old history and parts, once in a while. `root` was just put in force.
pub async fn collect(client: &Client, root: &Root, now_unix_s: u64) -> Result<()> {
    if !root.generation.is_multiple_of(COLLECT_EVERY) {
        return Ok(());
    }
    collect_now(client, root, now_unix_s).await
}

/// Deletes old history and parts. `root` is in force.
pub async fn collect_now(client: &Client, root: &Root, now_unix_s: u64) -> Result<()> {
    // Parts are listed before roots: a part that becomes listed in between is young.
    let parts = client.list(storage::PARTS_KIND, "").await?;
    let history = client.list(storage::HISTORY_KIND, "").await?;
    let oldest = store::history_name(root.generation.saturating_sub(KEPT_VERSIONS));
    let mut needed: BTreeSet<Arc<str>> = root.parts.iter().cloned().collect();
    for object in history.items {
        if *object.name <= *oldest {
            let expect = Precondition::Version(object.version);
            client
                .delete(storage::HISTORY_KIND, &object.name, expect)
                .await?;
        } else if let Ok(kept) = serde_json::from_value::<Root>(object.value) {
            needed.extend(kept.parts);
        }
    }
    for object in parts.items {
        let written_unix_s = serde_json::from_value::<StoredPart>(object.value)
            .map_or(now_unix_s, |part| part.written_unix_s);
        let is_old = now_unix_s.saturating_sub(written_unix_s) > PART_GRACE_S;
        if is_old && !needed.contains(&object.name) {
            // An apply that uses the part again has written it again, which the condition sees.
            let expect = Precondition::Version(object.version);
            client
                .delete(storage::PARTS_KIND, &object.name, expect)
                .await?;
        }
    }
    Ok(())
}
