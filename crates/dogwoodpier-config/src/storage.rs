//! The form in which declarations are stored: parts named by content hash, and one root that lists
//! them.
//!
//! A root is written after its parts, on the condition that the preceding root is still in force.
//! Declarations are split so that a small change replaces one small part, and nodes fetch only the
//! parts that changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::declarations::Declarations;

/// Kind of the object that holds the root.
pub const ROOT_KIND: &str = "config";
/// Name of the object that holds the root.
pub const ROOT_NAME: &str = "root";
/// Kind of the objects that hold parts. An object's name is the hash of the part's text.
pub const PARTS_KIND: &str = "config-parts";
/// Kind of the objects that hold the history of roots. An object's name is the root's generation.
pub const HISTORY_KIND: &str = "config-history";

const TARGET_PART_BYTES: usize = 8 * 1024;
const MAX_BUCKETS: usize = 256;

/// The root of one version of the declarations.
#[wire]
pub struct Root {
    /// Version, one higher than that of the preceding root.
    pub generation: u64,
    /// Hashes of the parts that make up the declarations.
    pub parts: Vec<Arc<str>>,
    /// Message of the operator about the change.
    pub message: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
    /// When the change was applied, seconds since 1970.
    pub applied_unix_s: u64,
    /// Random id of the write. It tells whether a write whose answer was lost took effect or another
    /// write came first.
    pub write_id: Arc<str>,
}

/// A part of split declarations.
#[plain]
pub struct Part {
    /// Lower-case hex of the text's SHA-256 hash.
    pub hash: Arc<str>,
    /// JSON of a part of the declarations.
    pub text: String,
}

/// A root with parts, as one node relays it to another.
#[wire]
pub struct Bundle {
    /// The root.
    pub root: Root,
    /// Texts of the root's parts that the receiver may lack.
    pub parts: Vec<Arc<str>>,
}

/// A part as the platform stores it.
#[wire]
pub struct StoredPart {
    /// JSON of a part of the declarations.
    pub text: Arc<str>,
    /// When it was last written, seconds since 1970. A part that no root lists is deleted after a
    /// grace period from this time.
    pub written_unix_s: u64,
}

/// Why stored declarations can't be read.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A part that the root lists is missing.
    #[error("part {0} is missing")]
    Missing(Arc<str>),
    /// The hash of a part's text differs from the hash under which it is stored.
    #[error("part {0} doesn't match its hash")]
    Corrupt(Arc<str>),
    /// A part can't be decoded, for example because a newer program wrote it.
    #[error("part {hash} can't be read by this program: {source}")]
    Unreadable {
        /// Hash of the part.
        hash: Arc<str>,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Splits declarations into parts. The same declarations always give the same parts.
pub fn split(declarations: &Declarations) -> Vec<Part> {
    let base = Declarations {
        workspaces: BTreeMap::new(),
        keys: BTreeMap::new(),
        ..declarations.clone()
    };
    let mut parts = vec![part(&base)];
    let workspaces = buckets(&declarations.workspaces);
    parts.extend(workspaces.into_iter().map(|workspaces| {
        part(&EntryPart {
            workspaces,
            keys: BTreeMap::new(),
        })
    }));
    let keys = buckets(&declarations.keys);
    parts.extend(keys.into_iter().map(|keys| {
        part(&EntryPart {
            workspaces: BTreeMap::new(),
            keys,
        })
    }));
    parts
}

/// Joins the parts that a root lists to declarations. `find` returns the text of a part by its hash.
pub fn join<F>(root: &Root, find: F) -> Result<Declarations, StorageError>
where
    F: Fn(&str) -> Option<Arc<str>>,
{
    let mut joined: Option<Declarations> = None;
    for hash in &root.parts {
        let text = find(hash).ok_or_else(|| StorageError::Missing(hash.clone()))?;
        if hash_text(&text) != *hash {
            return Err(StorageError::Corrupt(hash.clone()));
        }
        let unreadable = |source| StorageError::Unreadable {
            hash: hash.clone(),
            source,
        };
        match &mut joined {
            None => joined = Some(serde_json::from_str(&text).map_err(unreadable)?),
            Some(declarations) => {
                let entries: EntryPart = serde_json::from_str(&text).map_err(unreadable)?;
                declarations.workspaces.extend(entries.workspaces);
                declarations.keys.extend(entries.keys);
            }
        }
    }
    Ok(joined.unwrap_or_default())
}

/// Returns the workspace of each key, by key hash, from parts whose other contents may be unknown to
/// this program. Returns `None` if the keys can't be read with certainty either.
pub fn join_keys<F>(root: &Root, find: F) -> Option<BTreeMap<Arc<str>, Arc<str>>>
where
    F: Fn(&str) -> Option<Arc<str>>,
{
    let mut workspaces = BTreeMap::new();
    for hash in &root.parts {
        let text = find(hash).filter(|text| hash_text(text) == *hash)?;
        let part: KeysOnly = serde_json::from_str(&text).ok()?;
        let entries = part.keys.into_values();
        workspaces.extend(entries.map(|key| (key.sha256, key.workspace)));
    }
    // If there are no keys at all, a newer program probably stores them in a form unknown here.
    (!workspaces.is_empty()).then_some(workspaces)
}

/// Returns the lower-case hex of a text's SHA-256 hash.
pub fn hash_text(text: &str) -> Arc<str> {
    hex::encode(Sha256::digest(text.as_bytes())).into()
}

// A part with the workspaces, or the keys, of one bucket.
#[wire]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct EntryPart {
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    workspaces: BTreeMap<Arc<str>, crate::declarations::WorkspaceEntry>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    keys: BTreeMap<Arc<str>, crate::declarations::KeyEntry>,
}

// Decodes only the keys of a part and ignores its other contents.
#[wire]
struct KeysOnly {
    #[serde(default)]
    keys: BTreeMap<Arc<str>, KeyOnly>,
}

#[wire]
struct KeyOnly {
    workspace: Arc<str>,
    sha256: Arc<str>,
}

fn part<T>(content: &T) -> Part
where
    T: serde::Serialize,
{
    let text = serde_json::to_string(content).expect("declarations have only text keys");
    Part {
        hash: hash_text(&text),
        text,
    }
}

// Distributes entries by the hash of their names over a number of buckets that is a power of two, and
// drops empty buckets.
fn buckets<T>(entries: &BTreeMap<Arc<str>, T>) -> Vec<BTreeMap<Arc<str>, T>>
where
    T: Clone + serde::Serialize,
{
    let bytes = serde_json::to_string(entries).map_or(0, |text| text.len());
    let count = (bytes / TARGET_PART_BYTES + 1)
        .next_power_of_two()
        .min(MAX_BUCKETS);
    let mut buckets = vec![BTreeMap::new(); count];
    for (name, entry) in entries {
        let digest = Sha256::digest(name.as_bytes());
        let bucket = usize::from(digest[0]) % count;
        buckets[bucket].insert(name.clone(), entry.clone());
    }
    buckets.retain(|bucket| !bucket.is_empty());
    buckets
}
