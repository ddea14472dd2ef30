//! Puts declarations in force: writes the parts first, then the root on the condition that it hasn't
//! changed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::Rng;
use serde::Serialize;
use serde_json::Value;

use dogwoodpier_config::Declarations;
use dogwoodpier_config::diff;
use dogwoodpier_config::diff::Change;
use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StorageError;
use dogwoodpier_config::storage::StoredPart;
use dogwoodpier_derive::plain;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;

use crate::error::Conflict;
use crate::error::Error;
use crate::error::Result;
use crate::garbage;
use crate::store;
use crate::store::Current;

const MAX_PUT_ATTEMPTS: u32 = 4;

/// A request to put declarations in force.
#[plain]
pub struct ApplyRequest {
    /// Checked declarations.
    pub declarations: Declarations,
    /// Version that the operator read, zero if there was none.
    pub expect_version: u64,
    /// Message of the operator about the change.
    pub message: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
}

/// Result of an apply.
#[plain]
pub enum Outcome {
    /// The declarations are in force as a new version.
    Applied {
        /// The new version.
        version: u64,
        /// The fields that changed.
        changes: Vec<Change>,
    },
    /// The declarations in force are already the same, and nothing was written.
    Same {
        /// Version in force.
        version: u64,
    },
}

/// Puts declarations in force if the version that the operator read is still in force. Of several
/// concurrent changes one succeeds, and the others return [`Error::Conflict`].
pub async fn apply(client: &Client, request: &ApplyRequest) -> Result<Outcome> {
    if request.message.trim().is_empty() {
        let message = "--message is empty: say in a sentence what changes and why";
        return Err(Error::Argument(message.to_owned()));
    }
    let current = store::read_current(client).await?;
    let generation = current
        .as_ref()
        .map_or(0, |current| current.root.generation);
    if generation != request.expect_version {
        return Err(conflict(client, request, false).await?);
    }
    let before = match &current {
        Some(current) => read_if_complete(client, current).await?,
        None => None,
    };
    if let Some(before) = &before {
        check_slots(before, &request.declarations)?;
    }
    // Parts of the current root are stored already and needn't be written again.
    let stored_parts: &[Arc<str>] = match (&current, &before) {
        (Some(current), Some(_)) => &current.root.parts,
        _ => &[],
    };
    let before = before.unwrap_or_default();
    let changes = diff::diff(&before, &request.declarations);
    if current.is_some() && changes.is_empty() {
        return Ok(Outcome::Same {
            version: generation,
        });
    }
    let version = write(client, request, current.as_ref(), stored_parts).await?;
    Ok(Outcome::Applied { version, changes })
}

/// Returns an error if the number of slots changes.
pub fn check_slots(before: &Declarations, after: &Declarations) -> Result<()> {
    let before = before.fleet.slot_count;
    let after = after.fleet.slot_count;
    if before == after {
        return Ok(());
    }
    Err(Error::Refused(format!(
        "fleet.slot_count can't change from {before} to {after}: each slot holds a fixed share of \
         every limit, and shares of two divisions could add up to more than the limit. \
         Set it back to {before}."
    )))
}

// Returns the declarations in force, or `None` if a part is missing or corrupt on the platform. It must
// still be possible to apply a new version then. The check of the number of slots is skipped in this
// case, but nodes check it too.
async fn read_if_complete(client: &Client, current: &Current) -> Result<Option<Declarations>> {
    match store::read_declarations(client, &current.root).await {
        Ok(declarations) => Ok(Some(declarations)),
        Err(Error::Stored(StorageError::Missing(_) | StorageError::Corrupt(_))) => Ok(None),
        Err(error) => Err(error),
    }
}

// Writes the parts and the root, and returns the new version.
async fn write(
    client: &Client,
    request: &ApplyRequest,
    current: Option<&Current>,
    stored_parts: &[Arc<str>],
) -> Result<u64> {
    let now_unix_s = unix_time_s();
    let parts = storage::split(&request.declarations);
    let stored_parts: BTreeSet<&Arc<str>> = stored_parts.iter().collect();
    for part in parts
        .iter()
        .filter(|part| !stored_parts.contains(&part.hash))
    {
        let stored = StoredPart {
            text: part.text.as_str().into(),
            written_unix_s: now_unix_s,
        };
        put_with_retries(
            client,
            storage::PARTS_KIND,
            &part.hash,
            &stored,
            Precondition::Any,
        )
        .await?;
    }
    let former_version = match current {
        Some(current) => {
            // Every root is added to the history before another one replaces it, whoever wrote it.
            add_to_history(client, &current.root).await?;
            current.root.generation
        }
        None => latest_version_in_history(client).await?,
    };
    let root = Root {
        generation: former_version + 1,
        parts: parts.iter().map(|part| part.hash.clone()).collect(),
        message: request.message.trim().into(),
        author: request.author.clone(),
        applied_unix_s: now_unix_s,
        write_id: format!("{:032x}", rand::rng().random::<u128>()).into(),
    };
    let precondition = current.map_or(Precondition::Absent, |current| {
        Precondition::Version(current.object_version)
    });
    write_root(client, request, &root, precondition).await?;
    // The change is in force, so failures from here on must not be reported as a failed apply.
    if add_to_history(client, &root).await.is_ok() {
        let _ = garbage::collect_if_due(client, &root, now_unix_s).await;
    }
    Ok(root.generation)
}

async fn write_root(
    client: &Client,
    request: &ApplyRequest,
    root: &Root,
    precondition: Precondition,
) -> Result<()> {
    let value = encode(root);
    let written = client
        .put_resolved(storage::ROOT_KIND, storage::ROOT_NAME, &value, precondition)
        .await;
    match written {
        Ok(PutOutcome::Written { .. }) => Ok(()),
        Ok(PutOutcome::Conflict { .. }) => {
            // If an earlier answer was lost, this write may have been in force. Whoever replaced its
            // root has added it to the history first.
            let in_history = store::read_version(client, root.generation).await;
            let was_in_force = in_history.is_ok_and(|former| former.write_id == root.write_id);
            Err(conflict(client, request, was_in_force).await?)
        }
        Err(source @ dogwoodpier_platform::Error::Unknown(_)) => Err(Error::Unknown {
            generation: root.generation,
            write_id: root.write_id.to_string(),
            source,
        }),
        Err(source) => Err(Error::Platform(source)),
    }
}

async fn conflict(client: &Client, request: &ApplyRequest, was_in_force: bool) -> Result<Error> {
    let current = store::read_current(client)
        .await?
        .map(|current| current.root);
    let changes = match &current {
        Some(current) => changes_since(client, request.expect_version, current).await,
        None => Ok(Vec::new()),
    };
    Ok(Error::Conflict(Box::new(Conflict {
        expected: request.expect_version,
        current,
        changes,
        was_in_force,
    })))
}

async fn changes_since(client: &Client, generation: u64, current: &Root) -> Result<Vec<Change>> {
    let before = match generation {
        0 => Declarations::default(),
        _ => {
            let root = store::read_version(client, generation).await?;
            store::read_declarations(client, &root).await?
        }
    };
    let after = store::read_declarations(client, current).await?;
    Ok(diff::diff(&before, &after))
}

// Adds a root to the history.
async fn add_to_history(client: &Client, root: &Root) -> Result<()> {
    let name = store::history_name(root.generation);
    // A conflict means that the root is in the history already.
    put_with_retries(
        client,
        storage::HISTORY_KIND,
        &name,
        root,
        Precondition::Absent,
    )
    .await
}

// Returns the highest version in the history, or 0 if it is empty. After a deletion of the root,
// versions continue from there instead of starting over from one, since nodes never go back to a lower
// version.
async fn latest_version_in_history(client: &Client) -> Result<u64> {
    let history = store::read_history(client).await?;
    Ok(history.first().map_or(0, |root| root.generation))
}

// Writes an object that has no effect until a root refers to it, and repeats the write if its answer
// was lost. The repeat is safe because a name always stands for the same content.
async fn put_with_retries<T>(
    client: &Client,
    kind: &str,
    name: &str,
    value: &T,
    precondition: Precondition,
) -> Result<()>
where
    T: Serialize,
{
    let value = encode(value);
    let mut attempts_left = MAX_PUT_ATTEMPTS;
    loop {
        attempts_left -= 1;
        match client.put(kind, name, &value, precondition).await {
            Ok(_) => return Ok(()),
            Err(dogwoodpier_platform::Error::Unknown(_)) if attempts_left > 0 => {}
            Err(error) => return Err(Error::Platform(error)),
        }
    }
}

fn encode<T>(value: &T) -> Value
where
    T: Serialize,
{
    serde_json::to_value(value).expect("stored values have only text keys")
}

fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
