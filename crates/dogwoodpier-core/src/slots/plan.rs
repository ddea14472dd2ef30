//! Decides which records a node writes to the platform for its slots, and when.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;
use crate::rendezvous;

use super::lease;
use super::record::PeerId;
use super::record::SlotRecord;
use super::slot::Candidate;
use super::slot::PendingWrite;
use super::slot::Slot;
use super::table::SlotTable;

// Time for which a slot without an object is left to the node that rendezvous hashing selects.
const FIRST_CLAIM_WAIT_MS: u64 = 1_000;
// Time between two sendings of a write whose answer was lost.
const RETRY_INTERVAL_MS: u64 = 1_000;
// Writes of different content that may be pending on one version.
const MAX_PENDING_WRITES: usize = 4;

/// A node that is alive, or this node itself.
#[plain]
pub struct Member {
    /// The node.
    pub peer: PeerId,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// State of the fleet as one node sees it, the input of a plan.
#[plain]
pub struct FleetView {
    /// The other nodes that are alive.
    pub members: Vec<Member>,
    /// True once this node shuts down; it claims no slots then.
    pub draining: bool,
    /// Time of the plan.
    pub now: TimeMs,
}

/// Chooses the candidate for the next standby, from which the holder requests a promise in addition to
/// the standby's. One is chosen if the slot has no standby, the standby is no longer alive or at least
/// half of its promise is over. A candidate whose promise does not arrive or runs low is replaced.
pub(super) fn choose_candidate(table: &mut SlotTable, slot: u32, view: &FleetView) {
    let promise_ms = table.timing.promise_ms;
    let now = view.now;
    let entry = &table.slots[slot as usize];
    let Some(record) = entry.own_record(&table.me) else {
        return;
    };
    let standby = record.standby.clone();
    let failed_candidate = entry.candidate.as_ref().filter(|candidate| {
        let promise_left_ms = promise_left_ms(entry, &candidate.peer, now);
        now.since(candidate.chosen_ms) > promise_ms / 3 && promise_left_ms < promise_ms / 4
    });
    let keep_candidate = entry.candidate.is_some() && failed_candidate.is_none();
    let standby_healthy = standby.as_ref().is_some_and(|standby| {
        let alive = view
            .members
            .iter()
            .any(|m| m.peer.is_same_incarnation_as(standby));
        alive && promise_left_ms(entry, standby, now) > promise_ms / 2
    });
    let candidate = if standby_healthy {
        None
    } else if keep_candidate {
        entry.candidate.clone()
    } else {
        let failed_peer = failed_candidate.map(|candidate| &candidate.peer);
        let excluded = [standby.as_ref(), failed_peer];
        pick_standby(table, slot, &view.members, &excluded).map(|peer| Candidate {
            peer,
            chosen_ms: now,
        })
    };
    table.slots[slot as usize].candidate = candidate;
}

/// Returns a standby for a slot, preferably in another data centre.
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
    let pick = |other_data_centre_only: bool| {
        let eligible = members
            .iter()
            .filter(allowed)
            .filter(|member| !other_data_centre_only || member.data_centre != table.data_centre);
        eligible
            .max_by_key(|member| rendezvous::weight(&slot_name(slot), &member.peer.instance))
            .map(|member| member.peer.clone())
    };
    pick(true).or_else(|| pick(false))
}

/// Returns the record to write to a slot now, if any.
pub(super) fn next_record<F>(
    table: &SlotTable,
    slot: u32,
    view: &FleetView,
    new_id: F,
) -> Option<SlotRecord>
where
    F: FnMut() -> u64,
{
    let entry = &table.slots[slot as usize];
    if entry.awaits_write_result() {
        return None;
    }
    match entry.own_record(&table.me) {
        Some(record) => {
            let wanted = holder_update(table, entry, record, view)?;
            retry_or_new(entry, wanted, MAX_PENDING_WRITES, view.now, new_id)
        }
        None if may_claim(table, slot, view) => {
            // The claimant doesn't act yet, so it may name a standby before it has that node's promise.
            let standby = pick_standby(table, slot, &view.members, &[]);
            let wanted = claim_record(&table.me, standby, entry);
            retry_or_new(entry, wanted, 1, view.now, new_id)
        }
        None => None,
    }
}

// Returns the record to send, if any. A pending write of the same content is sent again after the
// retry interval, unchanged and under the same id, so that its effect doesn't depend on how often it
// is sent. Other content becomes a new write as long as fewer than `max_pending_writes` are pending;
// otherwise the last pending write is retried.
fn retry_or_new<F>(
    entry: &Slot,
    mut wanted: SlotRecord,
    max_pending_writes: usize,
    now: TimeMs,
    mut new_id: F,
) -> Option<SlotRecord>
where
    F: FnMut() -> u64,
{
    let same_content = |pending: &&PendingWrite| {
        let write_id = pending.record.write_id;
        let with_id = SlotRecord {
            write_id,
            ..wanted.clone()
        };
        pending.record == with_id
    };
    let same_pending = entry.pending_writes.iter().find(same_content);
    let full = entry.pending_writes.len() >= max_pending_writes;
    if let Some(pending) = same_pending.or(entry.pending_writes.last().filter(|_| full)) {
        let due = now.since(pending.last_sent_ms) >= RETRY_INTERVAL_MS;
        return due.then(|| pending.record.clone());
    }
    wanted.write_id = new_id();
    Some(wanted)
}

fn claim_record(me: &PeerId, standby: Option<PeerId>, entry: &Slot) -> SlotRecord {
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

// Returns the record that the holder writes next, if any: it takes a slot back after an undecided
// hand-over, changes its standby, renews its lease or supersedes a pending write.
fn holder_update(
    table: &SlotTable,
    entry: &Slot,
    record: &SlotRecord,
    view: &FleetView,
) -> Option<SlotRecord> {
    let timing = &table.timing;
    let now = view.now;
    let with_standby = |standby: Option<PeerId>| SlotRecord {
        standby,
        renewals: record.renewals + 1,
        levels: BTreeMap::new(),
        ..record.clone()
    };
    if entry.stopped {
        return Some(SlotRecord {
            levels: entry.hand_over_levels.clone(),
            ..with_standby(record.standby.clone())
        });
    }
    if let Some(candidate) = &entry.candidate
        && promise_left_ms(entry, &candidate.peer, now) > timing.promise_ms / 4
    {
        return Some(with_standby(Some(candidate.peer.clone())));
    }
    let standby_left_ms = |standby| promise_left_ms(entry, standby, now);
    let standby_promise_ending = record
        .standby
        .as_ref()
        .is_some_and(|standby| standby_left_ms(standby) < timing.promise_ms / 3);
    if standby_promise_ending && view.members.is_empty() {
        return Some(with_standby(None));
    }
    let renewal_due = entry
        .lease_deadline_ms
        .is_none_or(|deadline_ms| deadline_ms <= now.after(timing.long_lease_ms - timing.renew_ms));
    // A pending write is superseded by another one. Until then this node needs the promise of the
    // standby that it names and can't hand the slot over.
    (renewal_due || !entry.pending_writes.is_empty()).then(|| with_standby(record.standby.clone()))
}

fn may_claim(table: &SlotTable, slot: u32, view: &FleetView) -> bool {
    let now = view.now;
    let me = &table.me;
    let entry = &table.slots[slot as usize];
    if view.draining {
        return false;
    }
    let Some(seen) = &entry.seen else {
        return may_create(table, slot, view);
    };
    if me.is_other_incarnation_of(&seen.record.holder) {
        return true;
    }
    if entry.given_promises.in_force(now) {
        return false;
    }
    // A new holder needs time to request its first promise.
    let settled = now >= seen.first_seen_ms.after(table.timing.promise_ms);
    let standby = seen.record.standby.as_ref();
    if standby.is_some_and(|standby| me.is_same_incarnation_as(standby)) && settled {
        return true;
    }
    let promises_over_ms = table
        .address_bound_ms
        .after(lease::with_clock_drift(lease::MAX_PROMISE_MS));
    if standby.is_some_and(|standby| me.is_other_incarnation_of(standby))
        && settled
        && now >= promises_over_ms
    {
        return true;
    }
    now >= seen.unchanged_since_ms.after(table.timing.long_lease_ms)
}

fn may_create(table: &SlotTable, slot: u32, view: &FleetView) -> bool {
    let Some(missing_since_ms) = table.slots[slot as usize].missing_since_ms else {
        return false;
    };
    let others = view.members.iter().map(|m| &*m.peer.instance);
    let candidates = others.chain([&*table.me.instance]);
    let chosen = rendezvous::pick(&slot_name(slot), candidates) == Some(&*table.me.instance);
    chosen || view.now.since(missing_since_ms) >= FIRST_CLAIM_WAIT_MS
}

fn promise_left_ms(entry: &Slot, peer: &PeerId, now: TimeMs) -> u64 {
    entry
        .promise_deadline_ms(peer)
        .map_or(0, |deadline_ms| deadline_ms.remaining(now))
}

fn slot_name(slot: u32) -> String {
    format!("{slot:05}")
}
