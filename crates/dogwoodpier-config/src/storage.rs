//! The stored form: parts by content hash, and one root that lists them.
//!
//! A root is written after its parts and conditional on the root before it. Declarations are divided
//! so that a small change touches one small part, and nodes fetch only what changed.

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
/// Kind of the objects that hold parts; an object's name is the hash of its text.
pub const PARTS_KIND: &str = "config-parts";
/// Kind of the objects that keep former roots; an object's name is the generation.
pub const HISTORY_KIND: &str = "config-history";

const PART_BYTES: usize = 8 * 1024;
const MAX_BUCKETS: usize = 256;

/// The root of one version of the declarations.
#[wire]
pub struct Root {
    /// Version, one higher than the one before.
    pub generation: u64,
    /// Hashes of the parts that make up the declarations.
    pub parts: Vec<Arc<str>>,
    /// What the operator said about the change.
    pub message: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
    /// When it was made, seconds since 1970.
    pub applied_unix_s: u64,
    /// Random id of the write, which tells a lost answer from a lost race.
    pub write_id: Arc<str>,
}

/// A part: its hash and text.
#[plain]
pub struct Part {
    /// Lower-case hex of the text's SHA-256 hash.
    pub hash: Arc<str>,
    /// JSON of a piece of the declarations.
    pub text: String,
}

/// A root with parts, as a node relays it to another.
#[wire]
pub struct Bundle {
    /// The root.
    pub root: Root,
    /// Texts of those of the root's parts that the receiver may lack.
    pub parts: Vec<Arc<str>>,
}

/// A part as the platform stores it.
#[wire]
pub struct StoredPart {
    /// JSON of a piece of the declarations.
    pub text: Arc<str>,
    /// When it was last written, seconds since 1970. Parts that no root lists are collected some
    /// time after that.
    pub written_unix_s: u64,
}

/// Why stored declarations can't be read.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A part that the root lists is not there.
    #[error("part {0} is missing")]
    Missing(Arc<str>),
    /// A part's text doesn't have the hash that it is stored under.
    #[error("part {0} doesn't match its hash")]
    Corrupt(Arc<str>),
    /// This program doesn't understand a part.
    #[error("part {hash} can't be read by this program: {source}")]
    Unreadable {
        /// Hash of the part.
        hash: Arc<str>,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Divides declarations into parts. The same declarations always give the same parts.
pub fn split(declarations: &Declarations) -> Vec<Part> {
    let base = Declarations {
        workspaces: BTreeMap::new(),
        keys: BTreeMap::new(),
        ..declarations.clone()
    };
    let mut parts = vec![part(&base)];
    let workspaces = buckets(&declarations.workspaces);
    parts.extend(workspaces.into_iter().map(|workspaces| {
        part(&Piece {
            workspaces,
            keys: BTreeMap::new(),
        })
    }));
    let keys = buckets(&declarations.keys);
    parts.extend(keys.into_iter().map(|keys| {
        part(&Piece {
            workspaces: BTreeMap::new(),
            keys,
        })
    }));
    parts
}

/// Puts declarations together from the parts that a root lists. `find` returns the text of a part.
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
                let piece: Piece = serde_json::from_str(&text).map_err(unreadable)?;
                declarations.workspaces.extend(piece.workspaces);
                declarations.keys.extend(piece.keys);
            }
        }
    }
    Ok(joined.unwrap_or_default())
}

/// Returns the keys that are granted, by hash, from parts of which this program may not understand
/// the rest. Returns `None` if it can't be sure of the keys either.
pub fn join_keys<F>(root: &Root, find: F) -> Option<BTreeMap<Arc<str>, Arc<str>>>
where
    F: Fn(&str) -> Option<Arc<str>>,
{
    let mut granted = BTreeMap::new();
    for hash in &root.parts {
        let text = find(hash).filter(|text| hash_text(text) == *hash)?;
        let piece: KeysOnly = serde_json::from_str(&text).ok()?;
        let entries = piece.keys.into_values();
        granted.extend(entries.map(|key| (key.sha256, key.workspace)));
    }
    // No keys at all rather means that they are kept in a form unknown here.
    (!granted.is_empty()).then_some(granted)
}

/// Returns the lower-case hex of a text's SHA-256 hash.
pub fn hash_text(text: &str) -> Arc<str> {
    hex::encode(Sha256::digest(text.as_bytes())).into()
}

// All workspaces or all keys whose names fall into one bucket.
#[wire]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct Piece {
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    workspaces: BTreeMap<Arc<str>, crate::declarations::WorkspaceEntry>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    keys: BTreeMap<Arc<str>, crate::declarations::KeyEntry>,
}

// The keys of a part, whatever else is in it.
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

// Divides entries by the hash of their names into a power of two of buckets, none of them empty.
fn buckets<T>(entries: &BTreeMap<Arc<str>, T>) -> Vec<BTreeMap<Arc<str>, T>>
where
    T: Clone + serde::Serialize,
{
    let bytes = serde_json::to_string(entries).map_or(0, |text| text.len());
    let count = (bytes / PART_BYTES + 1)
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
