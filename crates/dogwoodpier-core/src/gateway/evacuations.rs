//! Evacuated data centres, whose upstreams receive no new requests.
//!
//! Load pattern: an operator evacuates a data centre before maintenance or because it fails, and
//! the other data centres take over its load at once. All instances have to stop sending there
//! within seconds, including those that cannot reach the store at that moment, and none may return
//! to an older state when a peer that was frozen sends an outdated report. Each state belongs to
//! one revision of the store; the newest revision wins.
//!
//! Evacuations are rare and every watch is a call that the store has to serve, so only a part of
//! the fleet watches the store and passes changes on to the other instances. An instance without
//! live peers always watches.

use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::wire;

use crate::rendezvous;

// Enough that some watchers can still reach the store when a third of the fleet is cut off from it.
const MIN_WATCHERS: usize = 8;
// In larger fleets, one instance out of this many watches.
const MEMBERS_PER_WATCHER: usize = 8;

/// Returns whether the instance `own` watches the store, given the peers that it considers live.
pub fn is_watcher<'a, P>(own: &str, peers: P) -> bool
where
    P: IntoIterator<Item = &'a str>,
{
    let weight = |name: &str| rendezvous::weight("evacuations", name);
    let own_rank = (weight(own), own);
    let (mut members, mut ahead) = (1, 0);
    for peer in peers {
        members += 1;
        ahead += usize::from((weight(peer), peer) > own_rank);
    }
    ahead < MIN_WATCHERS.max(members / MEMBERS_PER_WATCHER)
}

/// The evacuated data centres as of a revision of the store.
#[wire]
#[derive(Default, Eq)]
pub struct Evacuations {
    // `None` until the first listing or report has arrived.
    revision: Option<u64>,
    data_centres: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Creates the state from a listing of the store at `revision`.
    pub fn from_listing<D>(revision: u64, data_centres: D) -> Self
    where
        D: IntoIterator<Item = Arc<str>>,
    {
        Self {
            revision: Some(revision),
            data_centres: data_centres.into_iter().collect(),
        }
    }

    /// Returns whether the set of evacuated data centres is known.
    pub fn are_known(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &Arc<str>> {
        self.data_centres.iter()
    }

    /// Replaces the state by `update`, from the store or a peer, if its revision is newer. Returns
    /// whether the set of evacuated data centres has changed.
    pub fn merge(&mut self, update: Self) -> bool {
        if update.revision <= self.revision {
            return false;
        }
        let changed = update.data_centres != self.data_centres;
        *self = update;
        changed
    }

    /// Applies a change of one data centre, which was evacuated or restored at `revision`. Returns
    /// whether the set has changed.
    pub fn apply_change(&mut self, revision: u64, data_centre: &Arc<str>, evacuated: bool) -> bool {
        // A single change says nothing about the other data centres, so a complete state is needed
        // first.
        if self.revision.is_none_or(|known| revision < known) {
            return false;
        }
        self.revision = Some(revision);
        match evacuated {
            true => self.data_centres.insert(data_centre.clone()),
            false => self.data_centres.remove(data_centre),
        }
    }
}
