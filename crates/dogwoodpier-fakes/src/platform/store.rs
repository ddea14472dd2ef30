//! Store of versioned objects with a change log.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde_json::Value;

use dogwoodpier_platform::wire::Change;
use dogwoodpier_platform::wire::Changes;
use dogwoodpier_platform::wire::Listing;
use dogwoodpier_platform::wire::Object;

const MAX_LOG_ENTRIES: usize = 20_000;

type ObjectKey = (Arc<str>, Arc<str>);

/// All objects and a log of the latest changes.
#[derive(Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<ObjectKey, Object>,
    log: VecDeque<Change>,
    /// Revision of the newest change that was removed from the log.
    last_dropped_revision: u64,
}

/// Result of a write.
pub enum WriteResult {
    /// The write was applied; the object has this version.
    Applied(u64),
    /// The object doesn't have the expected version; contains the current object, if any.
    Conflict(Option<Object>),
}

impl Store {
    /// Returns the revision of the store, which is the version that the last write produced.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&object_key(kind, name))
    }

    /// Writes an object. With `if_version`, the write is applied only if the object has that
    /// version, where zero stands for an object that doesn't exist.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: Option<u64>,
    ) -> WriteResult {
        if let Some(conflict) = self.conflict(kind, name, if_version) {
            return conflict;
        }
        self.revision += 1;
        let object = Object {
            kind: kind.into(),
            name: name.into(),
            version: self.revision,
            value,
        };
        self.objects.insert(object_key(kind, name), object.clone());
        self.append_to_log(object, false);
        WriteResult::Applied(self.revision)
    }

    /// Deletes an object, with the same condition as [`Store::put`]. Returns `None` if the object
    /// doesn't exist.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
    ) -> Option<WriteResult> {
        self.get(kind, name)?;
        if let Some(conflict) = self.conflict(kind, name, if_version) {
            return Some(conflict);
        }
        self.revision += 1;
        let mut object = self.objects.remove(&object_key(kind, name))?;
        object.version = self.revision;
        self.append_to_log(object, true);
        Some(WriteResult::Applied(self.revision))
    }

    /// Returns the objects of a kind whose name starts with a prefix.
    pub fn list(&self, kind: &str, prefix: &str) -> Listing {
        let items = self
            .objects
            .range(object_key(kind, prefix)..)
            .take_while(|((object_kind, name), _)| {
                &**object_kind == kind && name.starts_with(prefix)
            })
            .map(|(_, object)| object.clone())
            .collect();
        Listing {
            items,
            revision: self.revision,
            era: 0,
        }
    }

    /// Returns the changes of some kinds after a revision. Returns `None` if the log no longer
    /// reaches back to that revision, or if the store hasn't reached it yet.
    pub fn changes(&self, kinds: &[&str], after: u64) -> Option<Changes> {
        if after < self.last_dropped_revision || after > self.revision {
            return None;
        }
        let start = self
            .log
            .partition_point(|change| change.object.version <= after);
        let changes = self
            .log
            .range(start..)
            .filter(|change| kinds.contains(&&*change.object.kind))
            .cloned()
            .collect();
        Some(Changes {
            changes,
            revision: self.revision,
            era: 0,
        })
    }

    fn conflict(&self, kind: &str, name: &str, if_version: Option<u64>) -> Option<WriteResult> {
        let current = self.get(kind, name);
        let version = current.map_or(0, |object| object.version);
        let expected = if_version?;
        (expected != version).then(|| WriteResult::Conflict(current.cloned()))
    }

    fn append_to_log(&mut self, object: Object, deleted: bool) {
        if self.log.len() == MAX_LOG_ENTRIES
            && let Some(oldest) = self.log.pop_front()
        {
            self.last_dropped_revision = oldest.object.version;
        }
        self.log.push_back(Change { object, deleted });
    }
}

fn object_key(kind: &str, name: &str) -> ObjectKey {
    (kind.into(), name.into())
}
