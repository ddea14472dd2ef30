//! Reads the declarations that the platform stores.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_config::Declarations;
use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StoredPart;
use dogwoodpier_platform::Client;

use crate::error::Error;
use crate::error::Result;

/// The root in force and the version of its object.
pub struct Current {
    /// The root.
    pub root: Root,
    /// Version of the object, for conditional writes.
    pub object_version: u64,
}

/// Returns the root in force, or `None` if there is none.
pub async fn read_current(client: &Client) -> Result<Option<Current>> {
    let object = client
        .get(storage::ROOT_KIND, storage::ROOT_NAME)
        .await
        .map_err(Error::Platform)?;
    object
        .map(|object| {
            Ok(Current {
                root: serde_json::from_value(object.value).map_err(Error::Root)?,
                object_version: object.version,
            })
        })
        .transpose()
}

/// Returns the declarations whose parts a root lists.
pub async fn read_declarations(client: &Client, root: &Root) -> Result<Declarations> {
    let mut texts: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
    for hash in &root.parts {
        let object = client
            .get(storage::PARTS_KIND, hash)
            .await
            .map_err(Error::Platform)?;
        if let Some(object) = object
            && let Ok(part) = serde_json::from_value::<StoredPart>(object.value)
        {
            texts.insert(hash.clone(), part.text);
        }
    }
    Ok(storage::join(root, |hash| texts.get(hash).cloned())?)
}

/// Returns the root of a version, which is either in force or in the history.
pub async fn read_version(client: &Client, generation: u64) -> Result<Root> {
    if let Some(current) = read_current(client).await?
        && current.root.generation == generation
    {
        return Ok(current.root);
    }
    let object = client
        .get(storage::HISTORY_KIND, &history_name(generation))
        .await
        .map_err(Error::Platform)?
        .ok_or(Error::NoVersion(generation))?;
    serde_json::from_value(object.value).map_err(Error::Root)
}

/// Returns the roots in the history and the one in force, newest first.
pub async fn read_history(client: &Client) -> Result<Vec<Root>> {
    let listing = client
        .list(storage::HISTORY_KIND, "")
        .await
        .map_err(Error::Platform)?;
    let mut roots: BTreeMap<u64, Root> = listing
        .items
        .into_iter()
        .filter_map(|object| serde_json::from_value::<Root>(object.value).ok())
        .map(|root| (root.generation, root))
        .collect();
    if let Some(current) = read_current(client).await? {
        roots.insert(current.root.generation, current.root);
    }
    Ok(roots.into_values().rev().collect())
}

/// Returns the name of a version's object in the history. The names sort in order of versions.
pub fn history_name(generation: u64) -> String {
    format!("{generation:012}")
}
