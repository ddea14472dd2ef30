//! Putting declarations in force: parts first, the root last and conditional.

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

use crate::collect;
use crate::error::Conflict;
use crate::error::Error;
use crate::error::Result;
use crate::store;
use crate::store::Current;

const PUT_TRIES: u32 = 4;

/// A change to put in force.
#[plain]
pub struct Order {
    /// Checked declarations.
    pub declarations: Declarations,
    /// Version that the operator read, zero if there was none.
    pub expect_version: u64,
    /// What the operator says about the change.
    pub message: Arc<str>,
    /// Who makes it.
    pub author: Arc<str>,
}

/// What became of a change.
#[plain]
pub enum Outcome {
    /// It is in force.
    Applied {
        /// Its version.
        version: u64,
        /// The fields that changed.
        changes: Vec<Change>,
    },
    /// The declarations in force are the same already.
    Same {
        /// Version in force.
        version: u64,
    },
}

/// Puts declarations in force if the version that the operator read still is. Of racing changes one
/// wins, the others get [`Error::Conflict`].
pub async fn apply(client: &Client, order: &Order) -> Result<Outcome> {
    if order.message.trim().is_empty() {
        let message = "--message is empty: say in a sentence what changes and why";
        return Err(Error::Argument(message.to_owned()));
    }
    let current = store::read_current(client).await?;
    let generation = current
        .as_ref()
        .map_or(0, |current| current.root.generation);
    if generation != order.expect_version {
        return Err(conflict(client, order, false).await?);
    }
    let before = match &current {
        Some(current) => read_whole(client, current).await?,
        None => None,
    };
    if let Some(before) = &before {
        check_slots(before, &order.declarations)?;
    }
    // Parts that are in place already needn't be written again.
    let in_place: &[Arc<str>] = match (&current, &before) {
        (Some(current), Some(_)) => &current.root.parts,
        _ => &[],
    };
    let before = before.unwrap_or_default();
    let changes = diff::diff(&before, &order.declarations);
    if current.is_some() && changes.is_empty() {
        return Ok(Outcome::Same {
            version: generation,
        });
    }
    let version = write(client, order, current.as_ref(), in_place).await?;
    Ok(Outcome::Applied { version, changes })
}

/// Refuses a change of the number of slots.
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

// Returns the declarations in force, or `None` if the platform has lost a part of them: a new version
// must still be possible, and nodes check the number of slots too.
async fn read_whole(client: &Client, current: &Current) -> Result<Option<Declarations>> {
    match store::read_declarations(client, &current.root).await {
        Ok(declarations) => Ok(Some(declarations)),
        Err(Error::Stored(StorageError::Missing(_) | StorageError::Corrupt(_))) => Ok(None),
        Err(error) => Err(error),
    }
}

// Writes the parts and the root, and returns the new version.
async fn write(
    client: &Client,
    order: &Order,
    current: Option<&Current>,
    in_place: &[Arc<str>],
) -> Result<u64> {
    let now_unix_s = unix_time_s();
    let parts = storage::split(&order.declarations);
    let in_place: BTreeSet<&Arc<str>> = in_place.iter().collect();
    for part in parts.iter().filter(|part| !in_place.contains(&part.hash)) {
        let stored = StoredPart {
            text: part.text.as_str().into(),
            written_unix_s: now_unix_s,
        };
        put(
            client,
            storage::PARTS_KIND,
            &part.hash,
            &stored,
            Precondition::Any,
        )
        .await?;
    }
    let before = match current {
        Some(current) => {
            // The history has every root before another one replaces it, whoever wrote it.
            keep(client, &current.root).await?;
            current.root.generation
        }
        None => last_kept(client).await?,
    };
    let root = Root {
        generation: before + 1,
        parts: parts.iter().map(|part| part.hash.clone()).collect(),
        message: order.message.trim().into(),
        author: order.author.clone(),
        applied_unix_s: now_unix_s,
        write_id: format!("{:032x}", rand::rng().random::<u128>()).into(),
    };
    let expect = current.map_or(Precondition::Absent, |current| {
        Precondition::Version(current.object_version)
    });
    write_root(client, order, &root, expect).await?;
    // The change is in force, so a failure here must not say otherwise.
    if keep(client, &root).await.is_ok() {
        let _ = collect::collect(client, &root, now_unix_s).await;
    }
    Ok(root.generation)
}

async fn write_root(
    client: &Client,
    order: &Order,
    root: &Root,
    expect: Precondition,
) -> Result<()> {
    let value = encode(root);
    let written = client
        .put_resolved(storage::ROOT_KIND, storage::ROOT_NAME, &value, expect)
        .await;
    match written {
        Ok(PutOutcome::Written { .. }) => Ok(()),
        Ok(PutOutcome::Conflict { .. }) => {
            // A lost answer: who replaced the own root has kept it in the history first.
            let kept = store::read_version(client, root.generation).await;
            let was_in_force = kept.is_ok_and(|kept| kept.write_id == root.write_id);
            Err(conflict(client, order, was_in_force).await?)
        }
        Err(source @ dogwoodpier_platform::Error::Unknown(_)) => Err(Error::Unknown {
            generation: root.generation,
            write_id: root.write_id.to_string(),
            source,
        }),
        Err(source) => Err(Error::Platform(source)),
    }
}

async fn conflict(client: &Client, order: &Order, was_in_force: bool) -> Result<Error> {
    let current = store::read_current(client)
        .await?
        .map(|current| current.root);
    let changes = match &current {
        Some(current) => changes_since(client, order.expect_version, current)
            .await
            .ok(),
        None => None,
    };
    Ok(Error::Conflict(Box::new(Conflict {
        expected: order.expect_version,
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

// Keeps a root in the history.
async fn keep(client: &Client, root: &Root) -> Result<()> {
    let name = store::history_name(root.generation);
    // A conflict says that it is there already.
    put(
        client,
        storage::HISTORY_KIND,
        &name,
        root,
        Precondition::Absent,
    )
    .await
}

// Returns the highest version in the history. A root that was deleted must not start anew from one,
// since nodes never take a lower version.
async fn last_kept(client: &Client) -> Result<u64> {
    let history = store::read_history(client).await?;
    Ok(history.first().map_or(0, |root| root.generation))
}

// Writes something that is harmless until a root names it. A lost answer is tried again: the same
// content under the same name takes effect once or twice alike.
async fn put<T>(
    client: &Client,
    kind: &str,
    name: &str,
    value: &T,
    expect: Precondition,
) -> Result<()>
where
    T: Serialize,
{
    let value = encode(value);
    let mut tries_left = PUT_TRIES;
    loop {
        tries_left -= 1;
        match client.put(kind, name, &value, expect).await {
            Ok(_) => return Ok(()),
            Err(dogwoodpier_platform::Error::Unknown(_)) if tries_left > 0 => {}
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
