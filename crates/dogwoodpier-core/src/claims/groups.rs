//! Groups of records on the platform.
//!
//! A slot has at most one write in flight; records that arrive in the meantime go into the next one.
//! Each tenure writes its own objects, so a late write of an earlier holder can't change them.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::record::ClaimKey;
use super::record::Record;
use super::table::ClaimTable;

/// Content of a group on the platform.
#[wire]
#[derive(Default)]
pub struct GroupContent {
    /// The latest record of each key.
    pub records: Vec<Record>,
}

/// A conditional write of a group.
#[plain]
pub struct GroupWrite {
    /// Identifies the tenure that writes, see [`ClaimTable::tenure_version`].
    pub tenure_version: u64,
    /// Name of the object.
    pub name: Arc<str>,
    /// Version that the object must have, zero if it must not exist.
    pub expected_version: u64,
    /// New content.
    pub content: GroupContent,
    /// Revision up to which the platform has every record once this write took effect.
    pub through_revision: u64,
}

/// The groups of one slot.
#[plain]
pub struct Groups {
    slot: u32,
    max_bytes: usize,
    write_interval_ms: u64,
    current: Group,
    in_flight: bool,
    next_write_ms: TimeMs,
    closed: Vec<ClosedGroup>,
}

#[plain]
#[derive(Default)]
struct Group {
    number: u64,
    version: u64,
    records: BTreeMap<ClaimKey, Record>,
    size_bytes: usize,
}

#[plain]
struct ClosedGroup {
    name: Arc<str>,
    expires_ms: TimeMs,
}

impl Groups {
    /// Returns the groups of a slot. A group is closed once its estimated size reaches `max_bytes`.
    /// Writes that are not urgent are at least `write_interval_ms` apart.
    pub fn new(slot: u32, max_bytes: usize, write_interval_ms: u64) -> Self {
        Self {
            slot,
            max_bytes,
            write_interval_ms,
            current: Group::default(),
            in_flight: false,
            next_write_ms: TimeMs::default(),
            closed: Vec::new(),
        }
    }

    /// Records a group of an earlier tenure, which is to be deleted once its records have expired.
    pub fn record_loaded(&mut self, name: Arc<str>, expires_ms: TimeMs) {
        self.closed.push(ClosedGroup { name, expires_ms });
    }

    /// Returns the next write if there are records to write and no write is in flight. An `urgent`
    /// write doesn't wait for the interval.
    pub fn next_write(
        &mut self,
        table: &ClaimTable,
        urgent: bool,
        now: TimeMs,
    ) -> Option<GroupWrite> {
        if self.in_flight || (!urgent && now < self.next_write_ms) {
            return None;
        }
        let unflushed = table.unflushed();
        if unflushed.is_empty() {
            return None;
        }
        if self.current.size_bytes >= self.max_bytes {
            self.close_current(table, now);
        }
        let mut through_revision = 0;
        for record in unflushed {
            if self.current.size_bytes >= self.max_bytes {
                break;
            }
            through_revision = record.stamp.revision;
            self.current.put(record);
        }
        self.in_flight = true;
        self.next_write_ms = now.after(self.write_interval_ms);
        Some(GroupWrite {
            tenure_version: table.tenure_version(),
            name: self.name(table.tenure_version()),
            expected_version: self.current.version,
            content: GroupContent {
                records: self.current.records.values().cloned().collect(),
            },
            through_revision,
        })
    }

    /// Handles the answer that a write took effect and gave the object `version`.
    pub fn handle_written(&mut self, table: &mut ClaimTable, write: &GroupWrite, version: u64) {
        self.in_flight = false;
        self.current.version = version;
        table.record_flushed(write.through_revision);
    }

    /// Handles the answer that the condition of a write didn't hold. `version` is the object's version,
    /// zero if it doesn't exist. The cause is an earlier write that took effect and whose answer was
    /// lost; the next write repeats all records, conditional on this version.
    pub fn handle_conflict(&mut self, version: u64) {
        self.in_flight = false;
        self.current.version = version;
    }

    /// Handles the loss of the answer to a write, which may or may not take effect. The next write
    /// repeats all records under the same condition, so at most one of the two takes effect.
    pub fn handle_write_unknown(&mut self) {
        self.in_flight = false;
    }

    /// Removes the groups whose records have expired and returns their names, to be deleted.
    pub fn take_expired(&mut self, now: TimeMs) -> Vec<Arc<str>> {
        let (expired, remaining) = self
            .closed
            .drain(..)
            .partition(|group| group.expires_ms <= now);
        self.closed = remaining;
        let expired: Vec<ClosedGroup> = expired;
        expired.into_iter().map(|group| group.name).collect()
    }

    fn close_current(&mut self, table: &ClaimTable, now: TimeMs) {
        let closed = ClosedGroup {
            name: self.name(table.tenure_version()),
            expires_ms: now.after(table.retention_ms()),
        };
        self.closed.push(closed);
        self.current = Group {
            number: self.current.number + 1,
            ..Group::default()
        };
    }

    fn name(&self, tenure_version: u64) -> Arc<str> {
        format!("{}/{tenure_version}-{}", self.slot, self.current.number).into()
    }
}

impl Group {
    fn put(&mut self, record: Record) {
        self.size_bytes += record.size_bytes();
        if let Some(old) = self.records.insert(record.key.clone(), record) {
            self.size_bytes -= old.size_bytes();
        }
    }
}
