//! Data centres whose upstreams get nothing new.
//!
//! Load pattern: an operator empties a data centre before work on it, or because it fails, and the
//! others take its load at once. All instances have to stop sending there within seconds, also those
//! that can't reach the store just then, and none may go back to an older state when a peer that was
//! frozen tells what it knew. Each state is that of one revision of the store; the newest counts.
//!
//! Such orders are rare and each watch is a call that costs, so a part of the fleet watches and tells
//! the others. An instance that hears nobody is among its own watchers.

use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::wire;

use crate::rendezvous;

// Watchers that are cut off from the store at once, with a third of the fleet, are fewer.
const MIN_WATCHERS: usize = 8;
// One of this many instances watches.
const MEMBERS_PER_WATCHER: usize = 8;

/// Returns whether an instance is one of those that watch the store, given the peers that it relies
/// on.
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
    // Absent until they are known.
    revision: Option<u64>,
    data_centres: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Returns the state of a listing.
    pub fn from_listing<D>(revision: u64, data_centres: D) -> Self
    where
        D: IntoIterator<Item = Arc<str>>,
    {
        Self {
            revision: Some(revision),
            data_centres: data_centres.into_iter().collect(),
        }
    }

    /// Returns whether it is known which data centres are evacuated.
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

    /// Takes in a state, from the store or a peer. Returns whether other data centres are evacuated now.
    pub fn merge(&mut self, state: Self) -> bool {
        if state.revision <= self.revision {
            return false;
        }
        let changed = state.data_centres != self.data_centres;
        *self = state;
        changed
    }

    /// Takes in that one data centre was evacuated or restored. Returns whether that is news.
    pub fn apply_change(&mut self, revision: u64, data_centre: &Arc<str>, evacuated: bool) -> bool {
        // A change is one upon a listing; without it nothing is known of the others.
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
