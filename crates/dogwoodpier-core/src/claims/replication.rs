//! Replication of a holder's records to the slot's standby or its designated successor.

use std::collections::BTreeMap;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::record::ClaimKey;
use super::record::Record;

/// Records that a holder sends to its standby or successor to store.
#[plain]
pub struct ReplicationMessage {
    /// Version of the slot at which the holder acts.
    pub version: u64,
    /// Version of the slot that the holder's tenure replaced, which identifies the tenure.
    pub tenure_version: u64,
    /// True if the message has all records that the platform lacks, so that the receiver may drop its
    /// copies of an older version or another tenure.
    pub baseline: bool,
    /// Revision up to which the receiver must already have every record.
    pub after_revision: u64,
    /// Revision up to which the receiver has every record once it has stored this message.
    pub through_revision: u64,
    /// Revision up to which the platform has every record.
    pub platform_revision: u64,
    /// Remaining time for which the holder itself may lack claims of its predecessors.
    pub blocked_ms: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Records of all claims that a predecessor granted and that the platform may lack.
#[plain]
#[derive(Default)]
pub struct Handover {
    /// The records.
    pub records: Vec<Record>,
    /// Time until which claims of earlier holders than the predecessor may be missing.
    pub blocked_deadline_ms: TimeMs,
}

/// Copies of those records of one slot that the platform may lack.
#[plain]
#[derive(Default)]
pub struct Replica {
    version: u64,
    tenure_version: u64,
    through_revision: u64,
    blocked_deadline_ms: TimeMs,
    records: BTreeMap<ClaimKey, Record>,
}

impl Replica {
    /// Stores the records of a message. Returns false, and stores nothing, if the message is older than
    /// the copies or earlier copies are missing; the holder then sends a baseline.
    pub fn apply(&mut self, message: &ReplicationMessage, now: TimeMs) -> bool {
        if message.baseline {
            if message.version < self.version {
                return false;
            }
            if message.version > self.version || message.tenure_version != self.tenure_version {
                *self = Self {
                    version: message.version,
                    tenure_version: message.tenure_version,
                    ..Self::default()
                };
            }
        } else if message.version != self.version
            || message.tenure_version != self.tenure_version
            || message.after_revision > self.through_revision
        {
            return false;
        }
        self.merge(message);
        // Counted from the arrival of the message, so the time is never too short.
        self.blocked_deadline_ms = now.after(message.blocked_ms);
        true
    }

    /// Drops the copies that a holder sent for a hand-over at `version` that did not take place.
    pub fn withdraw(&mut self, version: u64) {
        if self.version == version {
            *self = Self::default();
        }
    }

    /// Returns the records if they include every claim that was granted up to `version` and that the
    /// platform may lack.
    pub fn complete_at(&self, version: u64) -> Option<Handover> {
        (self.version == version && version > 0).then(|| Handover {
            records: self.records.values().cloned().collect(),
            blocked_deadline_ms: self.blocked_deadline_ms,
        })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn merge(&mut self, message: &ReplicationMessage) {
        // Messages may arrive out of order, so an older record must not replace a newer one.
        for record in &message.records {
            let is_newest = self
                .records
                .get(&record.key)
                .is_none_or(|stored| stored.stamp < record.stamp);
            if is_newest {
                self.records.insert(record.key.clone(), record.clone());
            }
        }
        self.through_revision = self.through_revision.max(message.through_revision);
        let tenure_version = self.tenure_version;
        self.records.retain(|_, record| {
            record.stamp.tenure_version != tenure_version
                || record.stamp.revision > message.platform_revision
        });
    }
}
