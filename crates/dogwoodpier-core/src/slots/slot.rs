//! State that one node keeps for one slot.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::escrow::MicroTokens;

use super::lease;
use super::promise::GivenPromises;
use super::record::PeerId;
use super::record::SlotRecord;

/// Newest version of the slot's object that this node has seen.
#[plain]
pub(super) struct SeenObject {
    pub(super) version: u64,
    pub(super) record: SlotRecord,
    // Latest time before the sending of a request whose reply had this version.
    pub(super) last_requested_ms: TimeMs,
    // Time at which this version was first seen.
    pub(super) first_seen_ms: TimeMs,
    // Start of the uninterrupted contact with the platform during which the version has not changed.
    pub(super) unchanged_since_ms: TimeMs,
}

/// A write that may still take effect on the newest version that was seen.
#[plain]
pub(super) struct PendingWrite {
    pub(super) record: SlotRecord,
    // First and last time at which it was sent.
    pub(super) first_sent_ms: TimeMs,
    pub(super) last_sent_ms: TimeMs,
    // True if the answer to the latest sending was lost.
    pub(super) answer_lost: bool,
}

/// A peer whose promise is requested before it is named standby.
#[plain]
pub(super) struct Candidate {
    pub(super) peer: PeerId,
    pub(super) chosen_ms: TimeMs,
}

/// State that one node keeps for one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub(super) seen: Option<SeenObject>,
    // Time of the first complete listing of the platform's objects without this slot.
    pub(super) missing_since_ms: Option<TimeMs>,
    pub(super) pending_writes: Vec<PendingWrite>,
    pub(super) given_promises: GivenPromises,
    // The following fields are used by the holder only.
    // True from just before a hand-over is sent; the node doesn't act on the slot then.
    pub(super) stopped: bool,
    // Levels that the hand-over carries.
    pub(super) hand_over_levels: BTreeMap<Arc<str>, MicroTokens>,
    pub(super) lease_deadline_ms: Option<TimeMs>,
    // Time from which the slot's floors count for this node.
    pub(super) since_ms: TimeMs,
    pub(super) candidate: Option<Candidate>,
    // Ends of the promises that this node received, by incarnation of the peer that gave them.
    pub(super) promise_deadlines_ms: BTreeMap<u64, TimeMs>,
}

impl Slot {
    /// Returns the version on which a write must be conditional; zero if no object was seen.
    pub(super) fn version(&self) -> u64 {
        self.seen.as_ref().map_or(0, |seen| seen.version)
    }

    /// Returns the version that the current tenure replaced, zero if there is none.
    pub(super) fn tenure(&self) -> u64 {
        let seen = self.seen.as_ref();
        seen.map_or(0, |seen| seen.record.replaced_version)
    }

    /// Returns the record if `me` is its holder.
    pub(super) fn own_record(&self, me: &PeerId) -> Option<&SlotRecord> {
        let record = &self.seen.as_ref()?.record;
        record.holder.is_same_incarnation_as(me).then_some(record)
    }

    /// Returns the time until which `me` may act: the earliest end of its lease and of the promises of
    /// its standby and of every standby that a pending write names. Returns `None` if one of
    /// them is missing, if `me` is not the holder or if it has stopped for a hand-over.
    pub(super) fn act_deadline_ms(&self, me: &PeerId) -> Option<TimeMs> {
        let record = self.own_record(me)?;
        let mut deadline_ms = self.lease_deadline_ms?;
        if self.stopped {
            return None;
        }
        let pending_records = self.pending_writes.iter().map(|pending| &pending.record);
        for standby in pending_records
            .chain([record])
            .filter_map(|record| record.standby.as_ref())
        {
            let promise_ms = self.promise_deadline_ms(standby)?;
            deadline_ms = deadline_ms.min(promise_ms);
        }
        Some(deadline_ms)
    }

    /// Returns the end of the peer's promise not to claim the slot.
    pub(super) fn promise_deadline_ms(&self, peer: &PeerId) -> Option<TimeMs> {
        self.promise_deadlines_ms.get(&peer.incarnation).copied()
    }

    /// Returns the peers from which the holder requests promises: its standby, every standby that a
    /// pending write names, and the candidate. Empty if `me` is not the holder.
    pub(super) fn promise_candidates(&self, me: &PeerId) -> Vec<PeerId> {
        let Some(record) = self.own_record(me) else {
            return Vec::new();
        };
        let pending_records = self.pending_writes.iter().map(|pending| &pending.record);
        pending_records
            .chain([record])
            .filter_map(|record| record.standby.clone())
            .chain(
                self.candidate
                    .as_ref()
                    .map(|candidate| candidate.peer.clone()),
            )
            .collect()
    }

    /// Records a promise that was requested at `requested_ms`.
    pub(super) fn record_promise(&mut self, peer: &PeerId, promise_ms: u64, requested_ms: TimeMs) {
        // Bounds the memory for promises of former peers: ended ones are removed from this number on.
        const MAX_PROMISES: usize = 16;
        if self.promise_deadlines_ms.len() >= MAX_PROMISES {
            self.promise_deadlines_ms
                .retain(|_, deadline_ms| *deadline_ms > requested_ms);
        }
        let promise_ms = promise_ms.min(lease::MAX_PROMISE_MS);
        let deadline_ms = lease::requester_deadline(requested_ms, promise_ms);
        let latest_ms = self
            .promise_deadlines_ms
            .entry(peer.incarnation)
            .or_insert(deadline_ms);
        *latest_ms = deadline_ms.max(*latest_ms);
    }

    /// Clears the state that only a holder needs.
    pub(super) fn clear_holder_state(&mut self) {
        self.stopped = false;
        self.hand_over_levels.clear();
        self.lease_deadline_ms = None;
        self.candidate = None;
        self.promise_deadlines_ms.clear();
    }

    /// Returns whether a write was sent whose answer may still arrive.
    pub(super) fn awaits_write_result(&self) -> bool {
        self.pending_writes
            .iter()
            .any(|pending| !pending.answer_lost)
    }
}
