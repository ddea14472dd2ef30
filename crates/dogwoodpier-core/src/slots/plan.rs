//! What a node writes to the platform about its slots, and when.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::rendezvous;

use super::lease;
use super::record::PeerId;
use super::record::SlotRecord;
use super::slot::Attempt;
use super::slot::Candidate;
use super::slot::Slot;
use super::table::SlotTable;

// Time for which a slot that nobody ever held is left to the node that rendezvous hashing picks.
const FIRST_CLAIM_WAIT_MS: u64 = 1_000;
// Time between two tries of a write whose answer was lost.
const RETRY_MS: u64 = 1_000;
// Writes of different content that may be open on one version.
const MAX_ATTEMPTS: usize = 4;

/// A node that is alive, or this node itself.
#[plain]
pub struct Member {
    /// The node.
    pub peer: PeerId,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// What a node sees of the fleet when it plans.
#[plain]
pub struct FleetView {
    /// The other nodes alive.
    pub members: Vec<Member>,
    /// True once this node shuts down: it claims nothing.
    pub draining: bool,
    /// Time of the plan.
    pub now: TimeMs,
}

/// Chooses whom to ask for a promise besides the standby: another standby, once the standby's promise is more
/// than half over or the standby is no longer alive.
pub(super) fn choose_candidate(table: &mut SlotTable, slot: u32, outlook: &FleetView) {
    let promise_ms = table.timing.promise_ms;
    let now = outlook.now;
    let entry = &table.slots[slot as usize];
    let Some(record) = entry.own_record(&table.me) else {
        return;
    };
    let standby = record.standby.clone();
    let failed = entry.candidate.as_ref().filter(|candidate| {
        let promise_left_ms = promise_left_ms(entry, &candidate.peer, now);
        now.since(candidate.chosen_ms) > promise_ms / 3 && promise_left_ms < promise_ms / 4
    });
    let keep = entry.candidate.is_some() && failed.is_none();
    let healthy = standby.as_ref().is_some_and(|standby| {
        let alive = outlook
            .members
            .iter()
            .any(|m| m.peer.is_same_incarnation_as(standby));
        alive && promise_left_ms(entry, standby, now) > promise_ms / 2
    });
    let candidate = if healthy {
        None
    } else if keep {
        entry.candidate.clone()
    } else {
        let failed = failed.map(|candidate| &candidate.peer);
        let excluded = [standby.as_ref(), failed];
        pick_standby(table, slot, &outlook.members, &excluded).map(|peer| Candidate {
            peer,
            chosen_ms: now,
        })
    };
    table.slots[slot as usize].candidate = candidate;
}

/// Returns a standby for a slot, rather one in another data centre.
pub(super) fn pick_standby(
    table: &SlotTable,
    slot: u32,
    members: &[Member],
    excluded: &[Option<&PeerId>],
) -> Option<PeerId> {
    let allowed = |member: &&Member| {
        let mut excluded = excluded.iter().flatten();
        !excluded.any(|peer| member.peer.is_same_incarnation_as(peer))
    };
    let pick = |far: bool| {
        let choice = members
            .iter()
            .filter(allowed)
            .filter(|member| !far || member.data_centre != table.data_centre);
        choice
            .max_by_key(|member| rendezvous::weight(&slot_name(slot), &member.peer.instance))
            .map(|member| member.peer.clone())
    };
    pick(true).or_else(|| pick(false))
}

/// Returns the record to write to a slot now, if any.
pub(super) fn next_record<F>(
    table: &SlotTable,
    slot: u32,
    outlook: &FleetView,
    new_id: F,
) -> Option<SlotRecord>
where
    F: FnMut() -> u64,
{
    let entry = &table.slots[slot as usize];
    if entry.awaits_answer() {
        return None;
    }
    match entry.own_record(&table.me) {
        Some(record) => {
            let wanted = own_change(table, entry, record, outlook)?;
            open_or_retry(entry, wanted, MAX_ATTEMPTS, outlook.now, new_id)
        }
        None if may_claim(table, slot, outlook) => {
            // The claimer doesn't act yet, so it may name a standby whose promise it still has to ask.
            let standby = pick_standby(table, slot, &outlook.members, &[]);
            let wanted = claim(&table.me, standby, entry);
            open_or_retry(entry, wanted, 1, outlook.now, new_id)
        }
        None => None,
    }
}

// A write that is open is sent again as it is, so that its effect is the same however often it is
// sent. A change of mind makes another one, as long as few are open.
fn open_or_retry<F>(
    entry: &Slot,
    mut wanted: SlotRecord,
    max_attempts: usize,
    now: TimeMs,
    mut new_id: F,
) -> Option<SlotRecord>
where
    F: FnMut() -> u64,
{
    let same = |attempt: &&Attempt| {
        let write_id = attempt.record.write_id;
        let with_id = SlotRecord {
            write_id,
            ..wanted.clone()
        };
        attempt.record == with_id
    };
    let open = entry.attempts.iter().find(same);
    let full = entry.attempts.len() >= max_attempts;
    if let Some(attempt) = open.or(entry.attempts.last().filter(|_| full)) {
        let due = now.since(attempt.last_sent_ms) >= RETRY_MS;
        return due.then(|| attempt.record.clone());
    }
    wanted.write_id = new_id();
    Some(wanted)
}

fn claim(me: &PeerId, standby: Option<PeerId>, entry: &Slot) -> SlotRecord {
    SlotRecord {
        holder: me.clone(),
        standby,
        levels: BTreeMap::new(),
        write_id: 0,
        replaced_version: entry.version(),
        replaced_tenure: entry.tenure(),
        renewals: 0,
    }
}

// What the holder changes: nothing, its lease, its standby, or that it is the holder after all.
fn own_change(
    table: &SlotTable,
    entry: &Slot,
    record: &SlotRecord,
    outlook: &FleetView,
) -> Option<SlotRecord> {
    let timing = &table.timing;
    let now = outlook.now;
    let with_standby = |standby: Option<PeerId>| SlotRecord {
        standby,
        renewals: record.renewals + 1,
        levels: BTreeMap::new(),
        ..record.clone()
    };
    if entry.stopped {
        return Some(SlotRecord {
            levels: entry.parked_levels.clone(),
            ..with_standby(record.standby.clone())
        });
    }
    if let Some(candidate) = &entry.candidate
        && promise_left_ms(entry, &candidate.peer, now) > timing.promise_ms / 4
    {
        return Some(with_standby(Some(candidate.peer.clone())));
    }
    let standby_left_ms = |standby| promise_left_ms(entry, standby, now);
    let standby_weak = record
        .standby
        .as_ref()
        .is_some_and(|standby| standby_left_ms(standby) < timing.promise_ms / 3);
    if standby_weak && outlook.members.is_empty() {
        return Some(with_standby(None));
    }
    let renewal_due = entry
        .lease_deadline_ms
        .is_none_or(|deadline_ms| deadline_ms <= now.after(timing.long_lease_ms - timing.renew_ms));
    // An open write is closed by another one, so that it no longer binds this node.
    (renewal_due || !entry.attempts.is_empty()).then(|| with_standby(record.standby.clone()))
}

fn may_claim(table: &SlotTable, slot: u32, outlook: &FleetView) -> bool {
    let now = outlook.now;
    let me = &table.me;
    let entry = &table.slots[slot as usize];
    if outlook.draining {
        return false;
    }
    let Some(seen) = &entry.seen else {
        return may_claim_first(table, slot, outlook);
    };
    if me.is_other_incarnation_of(&seen.record.holder) {
        return true;
    }
    if entry.promised.in_force(now) {
        return false;
    }
    // A holder that has just been named must have the time to ask for its first promise.
    let settled = now >= seen.first_ms.after(table.timing.promise_ms);
    let standby = seen.record.standby.as_ref();
    if standby.is_some_and(|standby| me.is_same_incarnation_as(standby)) && settled {
        return true;
    }
    let promises_over_ms = table
        .bound_ms
        .after(lease::with_clock_drift(lease::MAX_PROMISE_MS));
    if standby.is_some_and(|standby| me.is_other_incarnation_of(standby))
        && settled
        && now >= promises_over_ms
    {
        return true;
    }
    now >= seen.still_since_ms.after(table.timing.long_lease_ms)
}

fn may_claim_first(table: &SlotTable, slot: u32, outlook: &FleetView) -> bool {
    let Some(missing_since_ms) = table.slots[slot as usize].missing_since_ms else {
        return false;
    };
    let others = outlook.members.iter().map(|m| &*m.peer.instance);
    let everybody = others.chain([&*table.me.instance]);
    let chosen = rendezvous::pick(&slot_name(slot), everybody) == Some(&*table.me.instance);
    chosen || outlook.now.since(missing_since_ms) >= FIRST_CLAIM_WAIT_MS
}

fn promise_left_ms(entry: &Slot, peer: &PeerId, now: TimeMs) -> u64 {
    entry
        .promise_deadline_ms(peer)
        .map_or(0, |deadline_ms| deadline_ms.remaining(now))
}

fn slot_name(slot: u32) -> String {
    format!("{slot:05}")
}
