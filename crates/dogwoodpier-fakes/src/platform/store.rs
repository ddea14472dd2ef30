//! Versioned objects and the log of their changes.

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

/// All objects.
#[derive(Default)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<ObjectKey, Object>,
    log: VecDeque<Change>,
    /// Revision of the newest change that the log no longer has.
    forgotten_revision: u64,
}

/// Result of a write.
pub enum Write {
    /// It took effect.
    Done(u64),
    /// The condition didn't hold.
    Conflict(Option<Object>),
}

impl Store {
    /// Returns the version of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&key(kind, name))
    }

    /// Writes an object if it has the expected version, zero for one that doesn't exist.
    pub fn put(&mut self, kind: &str, name: &str, value: Value, if_version: Option<u64>) -> Write {
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
        self.objects.insert(key(kind, name), object.clone());
        self.record(object, false);
        Write::Done(self.revision)
    }

    /// Deletes an object under the same condition; `None` if it doesn't exist.
    pub fn delete(&mut self, kind: &str, name: &str, if_version: Option<u64>) -> Option<Write> {
        self.get(kind, name)?;
        if let Some(conflict) = self.conflict(kind, name, if_version) {
            return Some(conflict);
        }
        self.revision += 1;
        let mut object = self.objects.remove(&key(kind, name))?;
        object.version = self.revision;
        self.record(object, true);
        Some(Write::Done(self.revision))
    }

    /// Returns the objects of a kind whose name starts with a prefix.
    pub fn list(&self, kind: &str, prefix: &str) -> Listing {
        let items = self
            .objects
            .range(key(kind, prefix)..)
            .take_while(|((k, name), _)| &**k == kind && name.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect();
        Listing {
            items,
            revision: self.revision,
        }
    }

    /// Returns the changes of some kinds after a revision, `None` if the log doesn't reach back
    /// that far.
    pub fn changes(&self, kinds: &[&str], after: u64) -> Option<Changes> {
        if after < self.forgotten_revision || after > self.revision {
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
        })
    }

    fn conflict(&self, kind: &str, name: &str, if_version: Option<u64>) -> Option<Write> {
        let current = self.get(kind, name);
        let version = current.map_or(0, |object| object.version);
        let expected = if_version?;
        (expected != version).then(|| Write::Conflict(current.cloned()))
    }

    fn record(&mut self, object: Object, deleted: bool) {
        if self.log.len() == MAX_LOG_ENTRIES
            && let Some(oldest) = self.log.pop_front()
        {
            self.forgotten_revision = oldest.object.version;
        }
        self.log.push_back(Change { object, deleted });
    }
}

fn key(kind: &str, name: &str) -> ObjectKey {
    (kind.into(), name.into())
}
