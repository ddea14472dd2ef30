//! All slots as one node knows them: what it may act on, and how it takes news in.

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
use super::slot::Attempt;
use super::slot::Seen;
use super::slot::Slot;

/// Lengths of promises and leases.
#[plain]
#[derive(Copy, Eq)]
pub struct Timing {
    /// Length of a standby's promise, at most [`lease::MAX_PROMISE_MS`].
    pub promise_ms: u64,
    /// Time for which a version must stand still before anybody may claim the slot.
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
    /// Version that this node's tenure replaced, zero if it is the slot's first.
    pub replaced_version: u64,
    /// `replaced_version` of the tenure before.
    pub replaced_tenure: u64,
    /// Standby that promised not to claim it, if there is one.
    pub standby: Option<PeerId>,
    /// Time from which its floors count for this node.
    pub since_ms: TimeMs,
    /// Time until which this node may act on it.
    pub act_deadline_ms: TimeMs,
}

/// A conditional write to send to the platform. The caller reports what becomes of it.
#[plain]
pub struct Write {
    /// Number of the slot.
    pub slot: u32,
    /// Version that the object must have, zero if it must not exist.
    pub if_version: u64,
    /// Content.
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
    /// Length of the promise from now.
    pub promise_ms: u64,
}

/// Bucket levels that this node starts a slot with.
#[plain]
pub enum StartLevel {
    /// The slot never had a holder: its floors are full.
    Full,
    /// The holder before is dead.
    Empty,
    /// The holder before gave these, by workspace.
    Levels(BTreeMap<Arc<str>, MicroTokens>),
}

/// A slot that came to this node.
#[plain]
pub struct Acquired {
    /// Number of the slot.
    pub slot: u32,
    /// Levels to start with.
    pub start: StartLevel,
}

/// Who gets a slot, and with what.
#[plain]
pub struct HandOver {
    /// Number of the slot.
    pub slot: u32,
    /// Next holder.
    pub successor: PeerId,
    /// Standby of the next holder.
    pub standby: Option<PeerId>,
    /// Levels taken out of this node's buckets.
    pub levels: BTreeMap<Arc<str>, MicroTokens>,
    /// Random id of the write.
    pub write_id: u64,
}

/// All slots as one node knows them.
#[derive(Clone, Debug)]
pub struct SlotTable {
    pub(super) me: PeerId,
    pub(super) data_centre: Arc<str>,
    pub(super) timing: Timing,
    // Time at which this process had bound its peer address.
    pub(super) bound_ms: TimeMs,
    pub(super) slots: Vec<Slot>,
}

impl SlotTable {
    /// Returns a table without slots. The process has bound its peer address before `bound_ms`.
    pub fn new(me: Member, timing: Timing, bound_ms: TimeMs) -> Self {
        Self {
            me: me.peer,
            data_centre: me.data_centre,
            timing,
            bound_ms,
            slots: Vec::new(),
        }
    }

    /// Sets the number of slots once it is known. A number that is set never changes.
    pub fn set_count(&mut self, slot_count: u32) {
        if self.slots.is_empty() {
            self.slots.resize(slot_count as usize, Slot::default());
        }
    }

    /// Returns the number of slots, zero while it is unknown.
    pub fn count(&self) -> u32 {
        u32::try_from(self.slots.len()).expect("set from a number of this type")
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

    /// Returns the newest version of a slot that was seen, zero if there is none.
    pub fn version(&self, slot: u32) -> u64 {
        self.slots.get(slot as usize).map_or(0, Slot::version)
    }

    /// Returns the newest record of a slot that was seen.
    pub fn record(&self, slot: u32) -> Option<&SlotRecord> {
        let seen = self.slots.get(slot as usize)?.seen.as_ref()?;
        Some(&seen.record)
    }

    /// Takes in the object of a slot, asked for at `asked_ms`. An older version than the one seen
    /// last changes nothing. Returns the slot if it has come to this node.
    pub fn handle_object(
        &mut self,
        slot: u32,
        version: u64,
        record: SlotRecord,
        asked_ms: TimeMs,
        now: TimeMs,
    ) -> Option<Acquired> {
        let me = &self.me;
        let entry = self.slots.get_mut(slot as usize)?;
        if version < entry.version() {
            return None;
        }
        if let Some(seen) = entry.seen.as_mut().filter(|seen| seen.version == version) {
            seen.asked_ms = asked_ms.max(seen.asked_ms);
            return None;
        }
        let attempts = std::mem::take(&mut entry.attempts);
        let own = attempts
            .into_iter()
            .find(|attempt| attempt.record.write_id == record.write_id);
        // A version that was still the newest when it was asked for: later writes came after that.
        let older_asked_ms = entry.seen.as_ref().map(|seen| seen.asked_ms);
        // Only an own write on the version before it proves that nobody else held the slot between.
        let acted = own.is_some() && entry.own_record(me).is_some() && !entry.stopped;
        let first = entry.seen.is_none();
        entry.missing_since_ms = None;
        let levels = record.levels.clone();
        entry.seen = Some(Seen {
            version,
            record,
            asked_ms,
            first_ms: now,
            still_since_ms: now,
        });
        if entry.own_record(me).is_none() {
            entry.lose();
            return None;
        }
        let long_lease_ms = self.timing.long_lease_ms;
        let lease_ms = |since_ms| lease::requester_deadline(since_ms, long_lease_ms);
        entry.lease_deadline_ms = match &own {
            Some(attempt) => Some(lease_ms(attempt.sent_ms)),
            None => older_asked_ms.map(lease_ms),
        };
        if acted {
            return None;
        }
        entry.stopped = false;
        entry.parked_levels.clear();
        entry.since_ms = now.after(1);
        let start = match own {
            None => StartLevel::Levels(levels),
            // Taken back after a hand-over that is now known not to have happened.
            Some(attempt) if !attempt.record.levels.is_empty() => StartLevel::Levels(levels),
            Some(_) if first => StartLevel::Full,
            Some(_) => {
                let restart_ms = self
                    .bound_ms
                    .after(lease::with_clock_drift(lease::MAX_LOAN_MS));
                entry.since_ms = entry.since_ms.max(restart_ms);
                StartLevel::Empty
            }
        };
        Some(Acquired { slot, start })
    }

    /// Takes in that a whole listing lacks a slot.
    pub fn handle_missing(&mut self, slot: u32, now: TimeMs) {
        if let Some(entry) = self.slots.get_mut(slot as usize)
            && entry.seen.is_none()
        {
            entry.missing_since_ms.get_or_insert(now);
        }
    }

    /// Takes in that the platform could not be reached. Others than the holder wait anew, so that the
    /// holder can renew first when the platform is back.
    pub fn handle_platform_unreachable(&mut self, now: TimeMs) {
        for entry in &mut self.slots {
            if let Some(seen) = &mut entry.seen {
                seen.still_since_ms = now;
            }
        }
    }

    /// Takes in the answer that a write took effect. Returns the slot if it has come to this node.
    pub fn handle_write_applied(
        &mut self,
        write: Write,
        version: u64,
        now: TimeMs,
    ) -> Option<Acquired> {
        let entry = self.slots.get(write.slot as usize)?;
        let sent_ms = entry
            .attempts
            .iter()
            .find(|attempt| attempt.record.write_id == write.record.write_id)
            .map(|attempt| attempt.sent_ms);
        // Without an attempt a newer version was seen already.
        self.handle_object(write.slot, version, write.record, sent_ms?, now)
    }

    /// Takes in that a write certainly had no effect and never will.
    pub fn handle_write_rejected(&mut self, write: &Write) {
        if let Some(entry) = self.slots.get_mut(write.slot as usize) {
            let id = write.record.write_id;
            entry
                .attempts
                .retain(|attempt| attempt.record.write_id != id);
        }
    }

    /// Takes in that the answer to a write is lost. The write may take effect at any time.
    pub fn handle_write_unknown(&mut self, write: &Write) {
        if let Some(entry) = self.slots.get_mut(write.slot as usize) {
            for attempt in &mut entry.attempts {
                attempt.in_doubt |= attempt.record.write_id == write.record.write_id;
            }
        }
    }

    /// Returns the slots and versions to ask a peer's promise for.
    pub fn promise_requests(&self, instance: &str) -> Vec<(u32, u64)> {
        self.numbered()
            .filter(|(_, entry)| {
                let mut peers = entry.promise_candidates(&self.me).into_iter();
                peers.any(|peer| *peer.instance == *instance)
            })
            .map(|(slot, entry)| (slot, entry.version()))
            .collect()
    }

    /// Returns the slots and peers whose promises this node needs or wants.
    pub fn promise_candidates(&self) -> Vec<(u32, PeerId)> {
        self.numbered()
            .flat_map(|(slot, entry)| {
                let peers = entry.promise_candidates(&self.me).into_iter();
                peers.map(move |peer| (slot, peer))
            })
            .collect()
    }

    /// Decides, as standby or standby to be, on a promise that `holder` asks for.
    pub fn grant(
        &mut self,
        holder: &PeerId,
        slot: u32,
        version: u64,
        now: TimeMs,
    ) -> Option<Grant> {
        let entry = self.slots.get_mut(slot as usize)?;
        // A holder that was replaced needs no promise, and would only delay the next claim.
        let replaced = entry.seen.as_ref().is_some_and(|seen| {
            seen.version > version && !seen.record.holder.is_same_incarnation_as(holder)
        });
        let promise_ms = self.timing.promise_ms.min(lease::MAX_PROMISE_MS);
        if replaced || !entry.promised.grant(version, promise_ms, now) {
            return None;
        }
        Some(Grant {
            slot,
            version,
            promise_ms,
        })
    }

    /// Takes in a promise that was asked for at `asked_ms`.
    pub fn handle_grant(&mut self, standby: &PeerId, grant: Grant, asked_ms: TimeMs) {
        let me = &self.me;
        if let Some(entry) = self.slots.get_mut(grant.slot as usize)
            && entry.own_record(me).is_some()
            && grant.version <= entry.version()
        {
            entry.take_promise(standby, grant.promise_ms, asked_ms);
        }
    }

    /// Returns the writes to send now, at most `max_writes`. `new_id` returns random ids.
    pub fn plan<F>(&mut self, outlook: &FleetView, max_writes: usize, mut new_id: F) -> Vec<Write>
    where
        F: FnMut() -> u64,
    {
        let mut writes = Vec::new();
        for slot in 0..self.count() {
            plan::choose_candidate(self, slot, outlook);
            if writes.len() < max_writes
                && let Some(record) = plan::next_record(self, slot, outlook, &mut new_id)
            {
                writes.push(self.send(slot, record, outlook.now));
            }
        }
        writes
    }

    /// Returns a standby for a slot that goes to `successor`: this node if it stays.
    pub fn standby_after(
        &self,
        slot: u32,
        successor: &PeerId,
        outlook: &FleetView,
    ) -> Option<PeerId> {
        if outlook.draining {
            plan::pick_standby(self, slot, &outlook.members, &[Some(successor)])
        } else {
            Some(self.me.clone())
        }
    }

    /// Stops acting on a slot and returns the write that hands it over, if the node may act on it and
    /// no other write is under way. The levels must have been taken out of the buckets.
    pub fn hand_over(&mut self, hand_over: HandOver, now: TimeMs) -> Option<Write> {
        self.held(hand_over.slot, now)?;
        let entry = &mut self.slots[hand_over.slot as usize];
        if !entry.attempts.is_empty() {
            return None;
        }
        entry.stopped = true;
        entry.parked_levels = hand_over.levels.clone();
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
        self.held(slot, now).is_some() && self.slots[slot as usize].attempts.is_empty()
    }

    pub(super) fn numbered(&self) -> impl Iterator<Item = (u32, &Slot)> {
        (0..self.count()).zip(&self.slots)
    }

    fn send(&mut self, slot: u32, record: SlotRecord, now: TimeMs) -> Write {
        let entry = &mut self.slots[slot as usize];
        let if_version = entry.version();
        if entry.own_record(&self.me).is_none() {
            entry.promised.note_claim(if_version);
        }
        let open = entry
            .attempts
            .iter_mut()
            .find(|attempt| attempt.record.write_id == record.write_id);
        match open {
            Some(attempt) => {
                attempt.last_sent_ms = now;
                attempt.in_doubt = false;
            }
            None => entry.attempts.push(Attempt {
                record: record.clone(),
                sent_ms: now,
                last_sent_ms: now,
                in_doubt: false,
            }),
        }
        Write {
            slot,
            if_version,
            record,
        }
    }
}
