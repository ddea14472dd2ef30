//! State that one node keeps for all slots: on which it may act, and how replies and events change
//! that.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::escrow::MicroTokens;

use super::lease;
use super::plan;
use super::plan::FleetView;
use super::plan::Member;
use super::record::PeerId;
use super::record::SlotRecord;
use super::slot::PendingWrite;
use super::slot::SeenObject;
use super::slot::Slot;

/// Lengths of promises and leases.
#[plain]
#[derive(Copy, Eq)]
pub struct Timing {
    /// Length of a standby's promise, at most [`lease::MAX_PROMISE_MS`].
    pub promise_ms: u64,
    /// Time for which a version must stay unchanged before any node may claim the slot.
    pub long_lease_ms: u64,
    /// Age at which a holder renews its lease.
    pub renew_ms: u64,
}

/// A slot that this node may act on now.
#[plain]
pub struct Held {
    /// Number of the slot.
    pub slot: u32,
    /// Version of its object, the fencing number.
    pub version: u64,
    /// Version that this node's tenure replaced, zero if it is the slot's first tenure.
    pub replaced_version: u64,
    /// `replaced_version` of the previous tenure.
    pub replaced_tenure: u64,
    /// Standby that promised not to claim the slot, if there is one.
    pub standby: Option<PeerId>,
    /// Time from which the slot's floors count for this node.
    pub since_ms: TimeMs,
    /// Time until which this node may act on the slot.
    pub act_deadline_ms: TimeMs,
}

/// A conditional write to send to the platform. The caller must report its result to the table.
#[plain]
pub struct Write {
    /// Number of the slot.
    pub slot: u32,
    /// Version that the object must have, zero if it must not exist.
    pub if_version: u64,
    /// New content.
    pub record: SlotRecord,
}

/// A promise to give to a holder.
#[plain]
#[derive(Copy, Eq)]
pub struct Grant {
    /// Number of the slot.
    pub slot: u32,
    /// Version that the holder named.
    pub version: u64,
    /// Length of the promise, counted from now.
    pub promise_ms: u64,
}

/// Bucket levels with which this node starts on a slot that it has acquired.
#[plain]
pub enum StartLevel {
    /// The slot never had a holder: its floors are full.
    Full,
    /// The slot was taken over from a holder that died or lost its lease and gave no levels.
    Empty,
    /// Levels by workspace that the previous holder handed over, or that this node had put into a
    /// hand-over that did not take effect.
    Levels(BTreeMap<Arc<str>, MicroTokens>),
}

/// A slot that this node has acquired.
#[plain]
pub struct Acquired {
    /// Number of the slot.
    pub slot: u32,
    /// Levels at the start.
    pub start: StartLevel,
}

/// A hand-over of a slot: its next holder and what that one receives.
#[plain]
pub struct HandOver {
    /// Number of the slot.
    pub slot: u32,
    /// Next holder.
    pub successor: PeerId,
    /// Standby of the next holder.
    pub standby: Option<PeerId>,
    /// Levels that were taken out of this node's buckets.
    pub levels: BTreeMap<Arc<str>, MicroTokens>,
    /// Random id of the write.
    pub write_id: u64,
}

/// State that one node keeps for all slots.
#[derive(Clone, Debug)]
pub struct SlotTable {
    pub(super) me: PeerId,
    pub(super) data_centre: Arc<str>,
    pub(super) timing: Timing,
    // Time at which this process had already bound its peer address.
    pub(super) address_bound_ms: TimeMs,
    pub(super) slots: Vec<Slot>,
}

impl SlotTable {
    /// Returns a table without slots. The process must have bound its peer address before
    /// `address_bound_ms`.
    pub fn new(me: Member, timing: Timing, address_bound_ms: TimeMs) -> Self {
        Self {
            me: me.peer,
            data_centre: me.data_centre,
            timing,
            address_bound_ms,
            slots: Vec::new(),
        }
    }

    /// Sets the number of slots. It never changes once it is set.
    pub fn set_count(&mut self, slot_count: u32) {
        if self.slots.is_empty() {
            self.slots.resize(slot_count as usize, Slot::default());
        }
    }

    /// Returns the number of slots, zero while it is unknown.
    pub fn count(&self) -> u32 {
        u32::try_from(self.slots.len()).expect("the table was sized by a u32")
    }

    /// Returns the slot if this node may act on it now.
    pub fn held(&self, slot: u32, now: TimeMs) -> Option<Held> {
        let entry = self.slots.get(slot as usize)?;
        let act_deadline_ms = entry.act_deadline_ms(&self.me)?;
        let seen = entry.seen.as_ref()?;
        (now < act_deadline_ms).then(|| Held {
            slot,
            version: seen.version,
            replaced_version: seen.record.replaced_version,
            replaced_tenure: seen.record.replaced_tenure,
            standby: seen.record.standby.clone(),
            since_ms: entry.since_ms,
            act_deadline_ms,
        })
    }

    /// Returns all slots that this node may act on now.
    pub fn all_held(&self, now: TimeMs) -> Vec<Held> {
        (0..self.count())
            .filter_map(|slot| self.held(slot, now))
            .collect()
    }

    /// Returns the numbers of the slots that name this node as holder, whether or not it may act.
    pub fn assigned_slots(&self) -> Vec<u32> {
        self.numbered()
            .filter(|(_, entry)| entry.own_record(&self.me).is_some())
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Returns the newest version of a slot that was seen, zero if none was seen.
    pub fn version(&self, slot: u32) -> u64 {
        self.slots.get(slot as usize).map_or(0, Slot::version)
    }

    /// Returns the newest record of a slot that was seen.
    pub fn record(&self, slot: u32) -> Option<&SlotRecord> {
        let seen = self.slots.get(slot as usize)?.seen.as_ref()?;
        Some(&seen.record)
    }

    /// Handles the object of a slot, as a reply to a request that was sent at `requested_ms` or later.
    /// Versions older than the newest one seen are ignored. Returns the slot if this node has acquired
    /// it.
    pub fn handle_object(
        &mut self,
        slot: u32,
        version: u64,
        record: SlotRecord,
        requested_ms: TimeMs,
        now: TimeMs,
    ) -> Option<Acquired> {
        let me = &self.me;
        let entry = self.slots.get_mut(slot as usize)?;
        if version < entry.version() {
            return None;
        }
        if let Some(seen) = entry.seen.as_mut().filter(|seen| seen.version == version) {
            seen.last_requested_ms = requested_ms.max(seen.last_requested_ms);
            return None;
        }
        let pending_writes = std::mem::take(&mut entry.pending_writes);
        let own = pending_writes
            .into_iter()
            .find(|pending| pending.record.write_id == record.write_id);
        // At this time the previous version was still the newest, so the write of the new version took
        // effect later. The lease is counted from here unless the write is one of this node's own.
        let previous_requested_ms = entry.seen.as_ref().map(|seen| seen.last_requested_ms);
        // Only a write of this node on the previous version proves that no other node held the slot in
        // between.
        let held_throughout = own.is_some() && entry.own_record(me).is_some() && !entry.stopped;
        let first_version_seen = entry.seen.is_none();
        entry.missing_since_ms = None;
        let levels = record.levels.clone();
        entry.seen = Some(SeenObject {
            version,
            record,
            last_requested_ms: requested_ms,
            first_seen_ms: now,
            unchanged_since_ms: now,
        });
        if entry.own_record(me).is_none() {
            entry.clear_holder_state();
            return None;
        }
        let long_lease_ms = self.timing.long_lease_ms;
        let lease_deadline_ms =
            |requested_ms| lease::requester_deadline(requested_ms, long_lease_ms);
        entry.lease_deadline_ms = match &own {
            Some(pending) => Some(lease_deadline_ms(pending.first_sent_ms)),
            None => previous_requested_ms.map(lease_deadline_ms),
        };
        if held_throughout {
            return None;
        }
        entry.stopped = false;
        entry.hand_over_levels.clear();
        entry.since_ms = now.after(1);
        let start = match own {
            None => StartLevel::Levels(levels),
            // Taken back: the hand-over can no longer take effect.
            Some(pending) if !pending.record.levels.is_empty() => StartLevel::Levels(levels),
            Some(_) if first_version_seen => StartLevel::Full,
            Some(_) => {
                // Loans of an earlier incarnation of this node may be spent until then.
                let loans_over_ms = self
                    .address_bound_ms
                    .after(lease::with_clock_drift(lease::MAX_LOAN_MS));
                entry.since_ms = entry.since_ms.max(loans_over_ms);
                StartLevel::Empty
            }
        };
        Some(Acquired { slot, start })
    }

    /// Handles a complete listing of the platform's objects that lacks a slot.
    pub fn handle_missing(&mut self, slot: u32, now: TimeMs) {
        if let Some(entry) = self.slots.get_mut(slot as usize)
            && entry.seen.is_none()
        {
            entry.missing_since_ms.get_or_insert(now);
        }
    }

    /// Handles a failure to reach the platform. The wait for the long lease starts again, so that the
    /// holder can renew its lease first once the platform is reachable again.
    pub fn handle_platform_unreachable(&mut self, now: TimeMs) {
        for entry in &mut self.slots {
            if let Some(seen) = &mut entry.seen {
                seen.unchanged_since_ms = now;
            }
        }
    }

    /// Handles the answer that a write took effect. Returns the slot if this node has
    /// acquired it.
    pub fn handle_write_applied(
        &mut self,
        write: Write,
        version: u64,
        now: TimeMs,
    ) -> Option<Acquired> {
        let entry = self.slots.get(write.slot as usize)?;
        let first_sent_ms = entry
            .pending_writes
            .iter()
            .find(|pending| pending.record.write_id == write.record.write_id)
            .map(|pending| pending.first_sent_ms);
        // The write is no longer pending if its version or a newer one was seen already.
        self.handle_object(write.slot, version, write.record, first_sent_ms?, now)
    }

    /// Handles the answer that a write had no effect and can no longer have one.
    pub fn handle_write_rejected(&mut self, write: &Write) {
        if let Some(entry) = self.slots.get_mut(write.slot as usize) {
            let id = write.record.write_id;
            entry
                .pending_writes
                .retain(|pending| pending.record.write_id != id);
        }
    }

    /// Handles the loss of the answer to a write. The write may still take effect at any time.
    pub fn handle_write_unknown(&mut self, write: &Write) {
        if let Some(entry) = self.slots.get_mut(write.slot as usize) {
            for pending in &mut entry.pending_writes {
                pending.answer_lost |= pending.record.write_id == write.record.write_id;
            }
        }
    }

    /// Returns the slots, with their versions, for which to request a promise from an instance.
    pub fn promise_requests(&self, instance: &str) -> Vec<(u32, u64)> {
        self.numbered()
            .filter(|(_, entry)| {
                let mut peers = entry.promise_candidates(&self.me).into_iter();
                peers.any(|peer| *peer.instance == *instance)
            })
            .map(|(slot, entry)| (slot, entry.version()))
            .collect()
    }

    /// Returns the slots and the peers from which this node requests promises for them.
    pub fn promise_candidates(&self) -> Vec<(u32, PeerId)> {
        self.numbered()
            .flat_map(|(slot, entry)| {
                let peers = entry.promise_candidates(&self.me).into_iter();
                peers.map(move |peer| (slot, peer))
            })
            .collect()
    }

    /// Decides, as the standby or a future standby, on a promise that `holder` requests.
    pub fn grant(
        &mut self,
        holder: &PeerId,
        slot: u32,
        version: u64,
        now: TimeMs,
    ) -> Option<Grant> {
        let entry = self.slots.get_mut(slot as usize)?;
        // A holder that was replaced needs no promise; one would only delay the next claim.
        let replaced = entry.seen.as_ref().is_some_and(|seen| {
            seen.version > version && !seen.record.holder.is_same_incarnation_as(holder)
        });
        let promise_ms = self.timing.promise_ms.min(lease::MAX_PROMISE_MS);
        if replaced || !entry.given_promises.grant(version, promise_ms, now) {
            return None;
        }
        Some(Grant {
            slot,
            version,
            promise_ms,
        })
    }

    /// Handles a promise that was requested at `requested_ms`.
    pub fn handle_grant(&mut self, standby: &PeerId, grant: Grant, requested_ms: TimeMs) {
        let me = &self.me;
        if let Some(entry) = self.slots.get_mut(grant.slot as usize)
            && entry.own_record(me).is_some()
            && grant.version <= entry.version()
        {
            entry.record_promise(standby, grant.promise_ms, requested_ms);
        }
    }

    /// Returns the writes to send now, at most `max_writes`. `new_id` returns random ids.
    pub fn plan<F>(&mut self, view: &FleetView, max_writes: usize, mut new_id: F) -> Vec<Write>
    where
        F: FnMut() -> u64,
    {
        let mut writes = Vec::new();
        for slot in 0..self.count() {
            plan::choose_candidate(self, slot, view);
            if writes.len() < max_writes
                && let Some(record) = plan::next_record(self, slot, view, &mut new_id)
            {
                writes.push(self.send(slot, record, view.now));
            }
        }
        writes
    }

    /// Returns the standby for a slot that is handed over to `successor`: this node, unless it shuts
    /// down.
    pub fn standby_after(&self, slot: u32, successor: &PeerId, view: &FleetView) -> Option<PeerId> {
        if view.draining {
            plan::pick_standby(self, slot, &view.members, &[Some(successor)])
        } else {
            Some(self.me.clone())
        }
    }

    /// Stops acting on a slot and returns the write that hands it over. Returns `None` if this node may
    /// not act on the slot or another write is pending. The levels must have been taken out of the
    /// buckets before.
    pub fn hand_over(&mut self, hand_over: HandOver, now: TimeMs) -> Option<Write> {
        self.held(hand_over.slot, now)?;
        let entry = &mut self.slots[hand_over.slot as usize];
        if !entry.pending_writes.is_empty() {
            return None;
        }
        entry.stopped = true;
        entry.hand_over_levels = hand_over.levels.clone();
        let record = SlotRecord {
            holder: hand_over.successor,
            standby: hand_over.standby,
            levels: hand_over.levels,
            write_id: hand_over.write_id,
            replaced_version: entry.version(),
            replaced_tenure: entry.tenure(),
            renewals: 0,
        };
        Some(self.send(hand_over.slot, record, now))
    }

    /// Returns whether [`Self::hand_over`] would return a write.
    pub fn may_hand_over(&self, slot: u32, now: TimeMs) -> bool {
        self.held(slot, now).is_some() && self.slots[slot as usize].pending_writes.is_empty()
    }

    pub(super) fn numbered(&self) -> impl Iterator<Item = (u32, &Slot)> {
        (0..self.count()).zip(&self.slots)
    }

    fn send(&mut self, slot: u32, record: SlotRecord, now: TimeMs) -> Write {
        let entry = &mut self.slots[slot as usize];
        let if_version = entry.version();
        if entry.own_record(&self.me).is_none() {
            entry.given_promises.record_claim(if_version);
        }
        let already_pending = entry
            .pending_writes
            .iter_mut()
            .find(|pending| pending.record.write_id == record.write_id);
        match already_pending {
            Some(pending) => {
                pending.last_sent_ms = now;
                pending.answer_lost = false;
            }
            None => entry.pending_writes.push(PendingWrite {
                record: record.clone(),
                first_sent_ms: now,
                last_sent_ms: now,
                answer_lost: false,
            }),
        }
        Write {
            slot,
            if_version,
            record,
        }
    }
}
