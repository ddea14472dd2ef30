//! What one node knows of one slot.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::escrow::MicroTokens;

use super::lease;
use super::promise::Promised;
use super::record::PeerId;
use super::record::SlotRecord;

/// The newest state of the slot's object that was seen.
#[plain]
pub(super) struct Seen {
    pub(super) version: u64,
    pub(super) record: SlotRecord,
    // Time before the request was sent that saw it last.
    pub(super) asked_ms: TimeMs,
    // Time at which this version was first seen.
    pub(super) first_ms: TimeMs,
    // Start of unbroken contact with the platform in which the version stood still.
    pub(super) still_since_ms: TimeMs,
}

/// A write that may still take effect on the version that was seen last.
#[plain]
pub(super) struct Attempt {
    pub(super) record: SlotRecord,
    // First and last time that it was sent.
    pub(super) sent_ms: TimeMs,
    pub(super) last_sent_ms: TimeMs,
    // True once an answer can no longer come.
    pub(super) in_doubt: bool,
}

/// A peer that is asked for a promise before it is named standby.
#[plain]
pub(super) struct Candidate {
    pub(super) peer: PeerId,
    pub(super) chosen_ms: TimeMs,
}

/// What one node knows of one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub(super) seen: Option<Seen>,
    // Time at which a whole listing first lacked the slot.
    pub(super) missing_since_ms: Option<TimeMs>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) promised: Promised,
    // As holder:
    // True from before a hand-over is sent, with the levels that it carries.
    pub(super) stopped: bool,
    pub(super) parked_levels: BTreeMap<Arc<str>, MicroTokens>,
    pub(super) lease_deadline_ms: Option<TimeMs>,
    pub(super) since_ms: TimeMs,
    pub(super) candidate: Option<Candidate>,
    pub(super) promise_deadlines_ms: BTreeMap<u64, TimeMs>,
}

impl Slot {
    /// Returns the version that a write must be conditional on; zero if there is no object.
    pub(super) fn version(&self) -> u64 {
        self.seen.as_ref().map_or(0, |seen| seen.version)
    }

    /// Returns the version that the present tenure replaced, zero if there is none.
    pub(super) fn tenure(&self) -> u64 {
        let seen = self.seen.as_ref();
        seen.map_or(0, |seen| seen.record.replaced_version)
    }

    /// Returns the record if `me` is its holder.
    pub(super) fn own_record(&self, me: &PeerId) -> Option<&SlotRecord> {
        let record = &self.seen.as_ref()?.record;
        record.holder.is_same_incarnation_as(me).then_some(record)
    }

    /// Returns until when `me` may act: while its lease and all promises that it needs are in force.
    pub(super) fn act_deadline_ms(&self, me: &PeerId) -> Option<TimeMs> {
        let record = self.own_record(me)?;
        let mut deadline_ms = self.lease_deadline_ms?;
        if self.stopped {
            return None;
        }
        let pending = self.attempts.iter().map(|attempt| &attempt.record);
        for standby in pending
            .chain([record])
            .filter_map(|record| record.standby.as_ref())
        {
            let promise_ms = self.promise_deadline_ms(standby)?;
            deadline_ms = deadline_ms.min(promise_ms);
        }
        Some(deadline_ms)
    }

    /// Returns until when a peer promised not to claim.
    pub(super) fn promise_deadline_ms(&self, peer: &PeerId) -> Option<TimeMs> {
        self.promise_deadlines_ms.get(&peer.incarnation).copied()
    }

    /// Returns the peers whose promises the holder needs or wants.
    pub(super) fn promise_candidates(&self, me: &PeerId) -> Vec<PeerId> {
        let Some(record) = self.own_record(me) else {
            return Vec::new();
        };
        let pending = self.attempts.iter().map(|attempt| &attempt.record);
        pending
            .chain([record])
            .filter_map(|record| record.standby.clone())
            .chain(self.candidate.as_ref().map(|c| c.peer.clone()))
            .collect()
    }

    /// Takes in a promise that was asked for at `asked_ms`.
    pub(super) fn take_promise(&mut self, peer: &PeerId, promise_ms: u64, asked_ms: TimeMs) {
        // Peers come and go; the last few are enough.
        const MAX_PROMISES: usize = 16;
        if self.promise_deadlines_ms.len() >= MAX_PROMISES {
            self.promise_deadlines_ms
                .retain(|_, deadline_ms| *deadline_ms > asked_ms);
        }
        let promise_ms = promise_ms.min(lease::MAX_PROMISE_MS);
        let deadline_ms = lease::requester_deadline(asked_ms, promise_ms);
        let known = self
            .promise_deadlines_ms
            .entry(peer.incarnation)
            .or_insert(deadline_ms);
        *known = deadline_ms.max(*known);
    }

    /// Forgets what only a holder needs.
    pub(super) fn lose(&mut self) {
        self.stopped = false;
        self.parked_levels.clear();
        self.lease_deadline_ms = None;
        self.candidate = None;
        self.promise_deadlines_ms.clear();
    }

    /// Returns whether a write was sent whose answer may still come.
    pub(super) fn awaits_answer(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.in_doubt)
    }
}
