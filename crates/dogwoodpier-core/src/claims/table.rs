//! The decisions of a slot's holder.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::copies::Handover;
use super::copies::ReplicationMessage;
use super::record::ClaimKey;
use super::record::Outcome;
use super::record::Record;
use super::record::RecordState;
use super::record::Stamp;

/// Lifetimes and bounds of claims.
#[plain]
pub struct ClaimSettings {
    /// Time from a dispatch for which its key is not dispatched again.
    pub window_ms: u64,
    /// Longest time from an attempt's first ask to its dispatch.
    pub dispatch_ms: u64,
    /// Most keys that a slot knows at once.
    pub max_keys: usize,
    /// Most bytes of recorded answers; further ones are recorded without their body.
    pub max_outcome_bytes: usize,
}

/// What an attempt asks.
#[plain]
pub struct ClaimAttempt {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Random id of the attempt.
    pub attempt_id: u64,
}

/// Answer to an attempt.
#[plain]
pub enum ClaimDecision {
    /// This attempt, and no other, may dispatch.
    Granted,
    /// An earlier attempt ran to its end.
    Recorded(Outcome),
    /// An earlier attempt may have run or may run yet.
    Pending,
    /// The key came with another request before.
    Mismatch,
    /// Not granted for now.
    Unavailable {
        /// True if no earlier attempt with the key was ever dispatched.
        never_dispatched: bool,
        /// When to ask again.
        retry_after_ms: u64,
    },
}

/// Result of an ask.
#[plain]
pub enum ClaimProgress {
    /// The answer is final.
    Decided(ClaimDecision),
    /// The attempt is recorded; [`ClaimTable::may_grant`] tells when it is granted.
    Recorded,
}

/// The claims of one slot at its holder.
#[plain]
pub struct ClaimTable {
    settings: ClaimSettings,
    tenure_version: u64,
    entries: BTreeMap<ClaimKey, Entry>,
    expiries: BTreeSet<(TimeMs, ClaimKey)>,
    // Latest records that the platform lacks, by revision.
    log: BTreeMap<u64, ClaimKey>,
    outcome_bytes: usize,
    last_revision: u64,
    platform_revision: u64,
    standby: StandbyProgress,
    // Attempts that were given up before their ask arrived.
    released: BTreeMap<u64, TimeMs>,
    blocked_deadline_ms: TimeMs,
    // Nothing is granted at this version of the slot or an earlier one.
    frozen_version: u64,
}

#[plain]
struct Entry {
    record: Record,
    expires_ms: TimeMs,
}

// What the standby has confirmed at a version of the slot.
#[plain]
#[derive(Default)]
struct StandbyProgress {
    version: u64,
    kept_revision: u64,
}

const RETRY_AFTER_MS: u64 = 1_000;

impl ClaimTable {
    /// Returns the table of a new holder. `loaded` are the slot's records on the platform, read
    /// after the tenure began. `handover` is what the predecessor granted and the platform may
    /// lack; without it claims may be lost, and nothing is granted until those have expired.
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
            released: BTreeMap::new(),
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

    /// Takes in what the predecessor granted, which makes the table as complete as the
    /// predecessor's was.
    pub fn complete(&mut self, handover: Handover, now: TimeMs) {
        for record in handover.records {
            if self.is_newer(&record) {
                self.write(record, now);
            }
        }
        self.blocked_deadline_ms = self.blocked_deadline_ms.min(handover.blocked_deadline_ms);
    }

    /// Returns whether claims of the predecessor may be missing.
    pub fn is_blocked(&self, now: TimeMs) -> bool {
        now < self.blocked_deadline_ms
    }

    /// Stops granting up to a version of the slot, and returns what the successor must keep before it
    /// takes the slot over at that version. If the hand-over does not come about, grants go on
    /// with the slot's next version: at this one the successor may still take over with these
    /// copies.
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

    /// Goes on granting at a version after the successor confirmed that it has dropped the copies
    /// that [`Self::freeze`] returned for it.
    pub fn unfreeze(&mut self, version: u64) {
        if self.frozen_version == version {
            self.frozen_version = 0;
            // The successor may be the standby, which has dropped its copies too.
            self.standby = StandbyProgress::default();
        }
    }

    /// Decides on an attempt, or records it so that it can be granted once the record is kept.
    /// `held_version` is the version at which this node may act on the slot.
    pub fn request(&mut self, ask: &ClaimAttempt, held_version: u64, now: TimeMs) -> ClaimProgress {
        self.expire(now);
        if let Some(entry) = self.entries.get(&ask.key)
            && let Some(asked) = known(&entry.record, ask)
        {
            return asked;
        }
        let complete = !self.is_blocked(now);
        let full = self.entries.len() >= self.settings.max_keys;
        let released = self.released.contains_key(&ask.attempt_id);
        let frozen = held_version <= self.frozen_version;
        if !complete || full || released || frozen {
            return ClaimProgress::Decided(ClaimDecision::Unavailable {
                never_dispatched: complete,
                retry_after_ms: self.blocked_deadline_ms.remaining(now).max(RETRY_AFTER_MS),
            });
        }
        let record = Record {
            key: ask.key.clone(),
            fingerprint: ask.fingerprint,
            attempt_id: ask.attempt_id,
            stamp: Stamp::default(),
            state: RecordState::Pending,
        };
        self.write(record, now);
        ClaimProgress::Recorded
    }

    /// Returns whether a recorded attempt may be granted: its record is kept in a second place.
    /// `held_version` is the slot's version if this node may act on it now, which must be looked up
    /// after the keeping was confirmed.
    pub fn may_grant(&self, key: &ClaimKey, attempt_id: u64, held_version: Option<u64>) -> bool {
        let Some(held_version) = held_version else {
            return false;
        };
        self.entries.get(key).is_some_and(|entry| {
            entry.record.attempt_id == attempt_id
                && entry.record.state == RecordState::Pending
                && held_version > self.frozen_version
                && self.is_kept(&entry.record.stamp, held_version)
        })
    }

    /// Takes in how an attempt ended. Returns whether the record of that is kept in two places, so
    /// that the sender need not repeat it.
    pub fn record(
        &mut self,
        key: &ClaimKey,
        attempt_id: u64,
        state: RecordState,
        held_version: u64,
        now: TimeMs,
    ) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return self.release(attempt_id, &state, now);
        };
        if entry.record.attempt_id != attempt_id {
            return self.release(attempt_id, &state, now);
        }
        if entry.record.state != RecordState::Pending {
            return self.is_kept(&entry.record.stamp, held_version);
        }
        let record = Record {
            state: self.bounded(state),
            ..entry.record.clone()
        };
        self.write(record, now);
        false
    }

    /// Returns what the standby should be sent next at the slot's version, or `None` if it has it all.
    pub fn replication_message(&self, version: u64, now: TimeMs) -> Option<ReplicationMessage> {
        let baseline = self.standby.version != version;
        let kept_revision = if baseline {
            0
        } else {
            self.standby.kept_revision
        };
        if !baseline && kept_revision.max(self.platform_revision) == self.last_revision {
            return None;
        }
        Some(ReplicationMessage {
            version,
            tenure_version: self.tenure_version,
            baseline,
            after_revision: kept_revision,
            through_revision: self.last_revision,
            platform_revision: self.platform_revision,
            blocked_ms: self.blocked_deadline_ms.remaining(now),
            records: self.records_after(kept_revision),
        })
    }

    /// Takes in the standby's answer to a message.
    pub fn handle_standby_reply(&mut self, message: &ReplicationMessage, kept: bool) {
        if !kept {
            self.standby = StandbyProgress::default();
        } else if message.baseline || self.standby.version == message.version {
            self.standby = StandbyProgress {
                version: message.version,
                kept_revision: message.through_revision,
            };
        }
    }

    /// Returns the latest records that the platform lacks.
    pub fn unflushed(&self) -> Vec<Record> {
        self.records_after(self.platform_revision)
    }

    /// Takes in that the platform has every record up to a revision.
    pub fn flushed(&mut self, through_revision: u64) {
        self.platform_revision = self.platform_revision.max(through_revision);
        self.log = self.log.split_off(&(self.platform_revision + 1));
    }

    /// Returns the version of the slot that the tenure replaced, which names the tenure.
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

    fn is_kept(&self, stamp: &Stamp, held_version: u64) -> bool {
        // Records of earlier tenures that are not in the log came from the platform.
        if stamp.tenure_version != self.tenure_version || stamp.revision <= self.platform_revision {
            return true;
        }
        self.standby.version == held_version && stamp.revision <= self.standby.kept_revision
    }

    fn is_newer(&self, record: &Record) -> bool {
        self.entries
            .get(&record.key)
            .is_none_or(|entry| entry.record.stamp < record.stamp)
    }

    // Remembers an attempt that was given up, so that its ask is not granted when it arrives late.
    fn release(&mut self, attempt_id: u64, state: &RecordState, now: TimeMs) -> bool {
        if *state == RecordState::NotRun {
            self.released
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

    fn bounded(&self, mut state: RecordState) -> RecordState {
        if let RecordState::Finished(outcome) = &mut state
            && self.outcome_bytes + outcome.size_bytes() > self.settings.max_outcome_bytes
        {
            outcome.body = None;
        }
        state
    }

    // Makes a record the latest of its key, and notes that it is kept nowhere else yet.
    fn write(&mut self, mut record: Record, now: TimeMs) {
        self.last_revision += 1;
        record.stamp = Stamp {
            tenure_version: self.tenure_version,
            revision: self.last_revision,
        };
        self.insert(record, now);
    }

    fn insert(&mut self, record: Record, now: TimeMs) {
        let key = record.key.clone();
        let known = self.entries.get(&key);
        // The outcome of an attempt lives as long as its claim.
        let expires_ms = known
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
            // Revisions of other tenures are other numbers.
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
        self.released.retain(|_, deadline_ms| *deadline_ms > now);
    }
}

// Decides on an ask of a key that has a record; `None` if the key may be claimed again.
fn known(record: &Record, ask: &ClaimAttempt) -> Option<ClaimProgress> {
    let same_attempt = record.attempt_id == ask.attempt_id;
    let verdict = match &record.state {
        RecordState::NotRun if same_attempt => ClaimDecision::Unavailable {
            never_dispatched: true,
            retry_after_ms: RETRY_AFTER_MS,
        },
        RecordState::NotRun => return None,
        _ if record.fingerprint != ask.fingerprint => ClaimDecision::Mismatch,
        RecordState::Finished(outcome) => ClaimDecision::Recorded(outcome.clone()),
        RecordState::Pending if same_attempt => return Some(ClaimProgress::Recorded),
        RecordState::Pending => ClaimDecision::Pending,
    };
    Some(ClaimProgress::Decided(verdict))
}
