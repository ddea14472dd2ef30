//! Copies of another holder's records, kept by the slot's standby or designated successor.

use std::collections::BTreeMap;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::record::ClaimKey;
use super::record::Record;

/// Records that a holder asks its standby to keep.
#[plain]
pub struct ReplicationMessage {
    /// Version of the slot at which the holder acts.
    pub version: u64,
    /// Version of the slot that the holder's tenure replaced; it names the tenure.
    pub tenure_version: u64,
    /// True if the records are all that the platform lacks, so that older copies can go.
    pub baseline: bool,
    /// Revision up to which the receiver must have every record already.
    pub after_revision: u64,
    /// Revision up to which it has every record with these.
    pub through_revision: u64,
    /// Revision up to which the platform has every record.
    pub platform_revision: u64,
    /// Time for which the holder itself may lack claims of its predecessors.
    pub blocked_ms: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// Every record that a predecessor granted and the platform may lack.
#[plain]
#[derive(Default)]
pub struct Handover {
    /// The records.
    pub records: Vec<Record>,
    /// Time until which claims of still earlier holders may be missing.
    pub blocked_deadline_ms: TimeMs,
}

/// Copies of the records of one slot that the platform may lack.
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
    /// Keeps records. Returns false if copies before them are missing; the holder then sends a
    /// baseline.
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
        // Counted from the arrival, hence never too short.
        self.blocked_deadline_ms = now.after(message.blocked_ms);
        true
    }

    /// Drops the copies that a holder gave for a hand-over at `version`, which did not come about.
    pub fn withdraw(&mut self, version: u64) {
        if self.version == version {
            *self = Self::default();
        }
    }

    /// Returns the records if they are all that the platform may lack of what was granted up to
    /// `version`.
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
        // Messages may arrive late: an older record never replaces a newer one.
        for record in &message.records {
            let newest = self
                .records
                .get(&record.key)
                .is_none_or(|known| known.stamp < record.stamp);
            if newest {
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
