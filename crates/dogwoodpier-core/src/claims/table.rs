//! Decisions of a slot's holder on claims.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::record::ClaimKey;
use super::record::Outcome;
use super::record::Record;
use super::record::RecordState;
use super::record::Stamp;
use super::replication::Handover;
use super::replication::ReplicationMessage;

/// Lifetimes and limits of claims.
#[plain]
pub struct ClaimSettings {
    /// Time after a dispatch for which its key is not dispatched again.
    pub window_ms: u64,
    /// Longest time from an attempt's first request to its dispatch.
    pub dispatch_ms: u64,
    /// Maximum number of keys that a slot has at once.
    pub max_keys: usize,
    /// Maximum size of all recorded answers of a slot; an answer that would exceed it is recorded
    /// without its body.
    pub max_outcome_bytes: usize,
}

/// A request to dispatch with an idempotency key.
#[plain]
pub struct ClaimAttempt {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Random id of the attempt.
    pub attempt_id: u64,
}

/// Decision on an attempt.
#[plain]
pub enum ClaimDecision {
    /// This attempt, and no other, may dispatch.
    Granted,
    /// An earlier attempt has finished with this outcome.
    Recorded(Outcome),
    /// An earlier attempt may have run or may still run.
    Pending,
    /// The key was used with a different request before.
    Mismatch,
    /// Not granted for now.
    Unavailable {
        /// True if no earlier attempt with the key was ever dispatched.
        never_dispatched: bool,
        /// Time after which to request again.
        retry_after_ms: u64,
    },
}

/// Result of a request.
#[plain]
pub enum ClaimProgress {
    /// The decision is final.
    Decided(ClaimDecision),
    /// The attempt is recorded; [`ClaimTable::may_grant`] returns whether it may be granted.
    Recorded,
}

/// The claims of one slot at its holder.
#[plain]
pub struct ClaimTable {
    settings: ClaimSettings,
    tenure_version: u64,
    entries: BTreeMap<ClaimKey, Entry>,
    expiries: BTreeSet<(TimeMs, ClaimKey)>,
    // Keys of the latest records that the platform lacks, by revision.
    log: BTreeMap<u64, ClaimKey>,
    outcome_bytes: usize,
    last_revision: u64,
    platform_revision: u64,
    standby: StandbyProgress,
    // Ids of attempts that were abandoned before their request arrived, with the times of their expiry.
    abandoned_attempts: BTreeMap<u64, TimeMs>,
    blocked_deadline_ms: TimeMs,
    // No claim is granted at this version of the slot or an earlier one.
    frozen_version: u64,
}

#[plain]
struct Entry {
    record: Record,
    expires_ms: TimeMs,
}

// Progress that the standby has confirmed at a version of the slot.
#[plain]
#[derive(Default)]
struct StandbyProgress {
    version: u64,
    confirmed_revision: u64,
}

const RETRY_AFTER_MS: u64 = 1_000;

impl ClaimTable {
    /// Returns the table of a new holder. `loaded` are the slot's records on the platform, which must
    /// have been read after the tenure began. `handover` has the predecessor's records that the platform
    /// may lack. Without it claims may be missing, and no claim is granted until those have expired.
    pub fn take_over(
        settings: ClaimSettings,
        tenure_version: u64,
        loaded: Vec<Record>,
        handover: Option<Handover>,
        now: TimeMs,
    ) -> Self {
        let retention_ms = settings.window_ms.saturating_add(settings.dispatch_ms);
        let mut table = Self {
            settings,
            tenure_version,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            log: BTreeMap::new(),
            outcome_bytes: 0,
            last_revision: 0,
            platform_revision: 0,
            standby: StandbyProgress::default(),
            abandoned_attempts: BTreeMap::new(),
            blocked_deadline_ms: now.after(retention_ms),
            frozen_version: 0,
        };
        for record in loaded {
            if table.is_newer(&record) {
                table.insert(record, now);
            }
        }
        if let Some(handover) = handover {
            table.complete(handover, now);
        }
        table
    }

    /// Adds the predecessor's records, which makes the table as complete as the predecessor's was.
    pub fn complete(&mut self, handover: Handover, now: TimeMs) {
        for record in handover.records {
            if self.is_newer(&record) {
                self.append(record, now);
            }
        }
        self.blocked_deadline_ms = self.blocked_deadline_ms.min(handover.blocked_deadline_ms);
    }

    /// Returns whether claims of earlier holders may be missing.
    pub fn is_blocked(&self, now: TimeMs) -> bool {
        now < self.blocked_deadline_ms
    }

    /// Stops granting claims up to a version of the slot. Returns the records that the successor must
    /// store before it takes the slot over at that version. If the hand-over does not take place,
    /// claims are granted again from the slot's next version on: at this one the successor may still
    /// take over with these copies.
    pub fn freeze(&mut self, version: u64, now: TimeMs) -> ReplicationMessage {
        self.frozen_version = self.frozen_version.max(version);
        ReplicationMessage {
            version,
            tenure_version: self.tenure_version,
            baseline: true,
            after_revision: 0,
            through_revision: self.last_revision,
            platform_revision: self.platform_revision,
            blocked_ms: self.blocked_deadline_ms.remaining(now),
            records: self.unflushed(),
        }
    }

    /// Resumes granting claims at a version. The successor must have confirmed that it dropped the
    /// copies that [`Self::freeze`] returned for it.
    pub fn unfreeze(&mut self, version: u64) {
        if self.frozen_version == version {
            self.frozen_version = 0;
            // The successor may be the standby, which has dropped its copies too.
            self.standby = StandbyProgress::default();
        }
    }

    /// Decides on an attempt, or records it so that it can be granted once the record is replicated.
    /// `held_version` is the version at which this node may act on the slot.
    pub fn request(
        &mut self,
        attempt: &ClaimAttempt,
        held_version: u64,
        now: TimeMs,
    ) -> ClaimProgress {
        self.expire(now);
        if let Some(entry) = self.entries.get(&attempt.key)
            && let Some(progress) = decide_known_key(&entry.record, attempt)
        {
            return progress;
        }
        let complete = !self.is_blocked(now);
        let full = self.entries.len() >= self.settings.max_keys;
        let abandoned = self.abandoned_attempts.contains_key(&attempt.attempt_id);
        let frozen = held_version <= self.frozen_version;
        if !complete || full || abandoned || frozen {
            return ClaimProgress::Decided(ClaimDecision::Unavailable {
                never_dispatched: complete,
                retry_after_ms: self.blocked_deadline_ms.remaining(now).max(RETRY_AFTER_MS),
            });
        }
        let record = Record {
            key: attempt.key.clone(),
            fingerprint: attempt.fingerprint,
            attempt_id: attempt.attempt_id,
            stamp: Stamp::default(),
            state: RecordState::Pending,
        };
        self.append(record, now);
        ClaimProgress::Recorded
    }

    /// Returns whether a recorded attempt may be granted, because its record is stored in a second
    /// place. `held_version` is the slot's version if this node may act on it now. It must be looked up
    /// after the second copy was confirmed.
    pub fn may_grant(&self, key: &ClaimKey, attempt_id: u64, held_version: Option<u64>) -> bool {
        let Some(held_version) = held_version else {
            return false;
        };
        self.entries.get(key).is_some_and(|entry| {
            entry.record.attempt_id == attempt_id
                && entry.record.state == RecordState::Pending
                && held_version > self.frozen_version
                && self.is_replicated(&entry.record.stamp, held_version)
        })
    }

    /// Records how an attempt ended. Returns whether the sender need not repeat the report, because the
    /// record is stored in two places or the table has no record of the attempt.
    pub fn record(
        &mut self,
        key: &ClaimKey,
        attempt_id: u64,
        state: RecordState,
        held_version: u64,
        now: TimeMs,
    ) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return self.record_if_abandoned(attempt_id, &state, now);
        };
        if entry.record.attempt_id != attempt_id {
            return self.record_if_abandoned(attempt_id, &state, now);
        }
        if entry.record.state != RecordState::Pending {
            return self.is_replicated(&entry.record.stamp, held_version);
        }
        let record = Record {
            state: self.limit_outcome_size(state),
            ..entry.record.clone()
        };
        self.append(record, now);
        false
    }

    /// Returns the next message for the standby at the slot's version, or `None` if the standby or the
    /// platform has every record.
    pub fn replication_message(&self, version: u64, now: TimeMs) -> Option<ReplicationMessage> {
        let baseline = self.standby.version != version;
        let confirmed_revision = if baseline {
            0
        } else {
            self.standby.confirmed_revision
        };
        if !baseline && confirmed_revision.max(self.platform_revision) == self.last_revision {
            return None;
        }
        Some(ReplicationMessage {
            version,
            tenure_version: self.tenure_version,
            baseline,
            after_revision: confirmed_revision,
            through_revision: self.last_revision,
            platform_revision: self.platform_revision,
            blocked_ms: self.blocked_deadline_ms.remaining(now),
            records: self.records_after(confirmed_revision),
        })
    }

    /// Handles the standby's answer to a message. `kept` is true if it has stored the records.
    pub fn handle_standby_reply(&mut self, message: &ReplicationMessage, kept: bool) {
        if !kept {
            self.standby = StandbyProgress::default();
        } else if message.baseline || self.standby.version == message.version {
            self.standby = StandbyProgress {
                version: message.version,
                confirmed_revision: message.through_revision,
            };
        }
    }

    /// Returns the latest records that the platform lacks.
    pub fn unflushed(&self) -> Vec<Record> {
        self.records_after(self.platform_revision)
    }

    /// Records that the platform has every record up to a revision.
    pub fn record_flushed(&mut self, through_revision: u64) {
        self.platform_revision = self.platform_revision.max(through_revision);
        self.log = self.log.split_off(&(self.platform_revision + 1));
    }

    /// Returns the version of the slot that the tenure replaced, which identifies the tenure.
    pub fn tenure_version(&self) -> u64 {
        self.tenure_version
    }

    /// Returns the revision of the latest record.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Returns the time for which a record is kept.
    pub fn retention_ms(&self) -> u64 {
        let settings = &self.settings;
        settings.window_ms.saturating_add(settings.dispatch_ms)
    }

    /// Returns whether the standby has confirmed copies at a version of the slot.
    pub fn has_standby_at(&self, version: u64) -> bool {
        self.standby.version == version
    }

    /// Returns the number of known keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn is_replicated(&self, stamp: &Stamp, held_version: u64) -> bool {
        // Records with the stamp of an earlier tenure were loaded from the platform.
        if stamp.tenure_version != self.tenure_version || stamp.revision <= self.platform_revision {
            return true;
        }
        self.standby.version == held_version && stamp.revision <= self.standby.confirmed_revision
    }

    fn is_newer(&self, record: &Record) -> bool {
        self.entries
            .get(&record.key)
            .is_none_or(|entry| entry.record.stamp < record.stamp)
    }

    // Handles the end of an attempt without a record. If it was abandoned, records that, so that its
    // request is not granted if it arrives late.
    fn record_if_abandoned(&mut self, attempt_id: u64, state: &RecordState, now: TimeMs) -> bool {
        if *state == RecordState::NotRun {
            self.abandoned_attempts
                .insert(attempt_id, now.after(self.settings.dispatch_ms));
        }
        true
    }

    fn records_after(&self, revision: u64) -> Vec<Record> {
        self.log
            .range(revision + 1..)
            .filter_map(|(_, key)| self.entries.get(key))
            .map(|entry| entry.record.clone())
            .collect()
    }

    fn limit_outcome_size(&self, mut state: RecordState) -> RecordState {
        if let RecordState::Finished(outcome) = &mut state
            && self.outcome_bytes + outcome.size_bytes() > self.settings.max_outcome_bytes
        {
            outcome.body = None;
        }
        state
    }

    // Makes a record the latest of its key, with a new revision that is not replicated yet.
    fn append(&mut self, mut record: Record, now: TimeMs) {
        self.last_revision += 1;
        record.stamp = Stamp {
            tenure_version: self.tenure_version,
            revision: self.last_revision,
        };
        self.insert(record, now);
    }

    fn insert(&mut self, record: Record, now: TimeMs) {
        let key = record.key.clone();
        let previous = self.entries.get(&key);
        // The outcome of an attempt expires together with its claim.
        let expires_ms = previous
            .filter(|entry| entry.record.attempt_id == record.attempt_id)
            .map_or(now.after(self.retention_ms()), |entry| entry.expires_ms);
        self.remove(&key);
        self.expiries.insert((expires_ms, key.clone()));
        if record.stamp.tenure_version == self.tenure_version {
            self.log.insert(record.stamp.revision, key.clone());
        }
        self.outcome_bytes += record.outcome_bytes();
        self.entries.insert(key, Entry { record, expires_ms });
    }

    fn remove(&mut self, key: &ClaimKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.expiries.remove(&(entry.expires_ms, key.clone()));
            self.outcome_bytes -= entry.record.outcome_bytes();
            // The log has only revisions of this tenure.
            if entry.record.stamp.tenure_version == self.tenure_version {
                self.log.remove(&entry.record.stamp.revision);
            }
        }
    }

    fn expire(&mut self, now: TimeMs) {
        while let Some((expires_ms, key)) = self.expiries.first().cloned() {
            if expires_ms > now {
                break;
            }
            self.remove(&key);
        }
        self.abandoned_attempts
            .retain(|_, deadline_ms| *deadline_ms > now);
    }
}

// Decides on an attempt whose key has a record. Returns `None` if the key may be claimed again.
fn decide_known_key(record: &Record, attempt: &ClaimAttempt) -> Option<ClaimProgress> {
    let same_attempt = record.attempt_id == attempt.attempt_id;
    let decision = match &record.state {
        RecordState::NotRun if same_attempt => ClaimDecision::Unavailable {
            never_dispatched: true,
            retry_after_ms: RETRY_AFTER_MS,
        },
        RecordState::NotRun => return None,
        _ if record.fingerprint != attempt.fingerprint => ClaimDecision::Mismatch,
        RecordState::Finished(outcome) => ClaimDecision::Recorded(outcome.clone()),
        RecordState::Pending if same_attempt => return Some(ClaimProgress::Recorded),
        RecordState::Pending => ClaimDecision::Pending,
    };
    Some(ClaimProgress::Decided(decision))
}
