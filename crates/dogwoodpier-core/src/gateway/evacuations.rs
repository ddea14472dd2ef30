//! Evacuated data centres, whose upstreams receive no new requests.
//!
//! Load pattern: an operator evacuates a data centre before maintenance or because it fails, and
//! the other data centres take over its load at once. All instances have to stop sending there
//! within seconds, including those that cannot reach the store at that moment, and none may return
//! to an older state when a peer that was frozen sends an outdated report. Each state belongs to
//! one position in the store's history; the newest position wins. A store that was restored from a
//! copy may lack evacuations for a moment, until the operator has written them again.
//!
//! Evacuations are rare and every watch is a call that the store has to serve, so only a part of
//! the fleet watches the store and passes changes on to the other instances. An instance without
//! live peers always watches.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::wire;

use crate::TimeMs;
use crate::rendezvous;

use super::store_position::StorePosition;

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

/// The evacuated data centres as of a position in the store's history.
#[wire]
#[derive(Default, Eq)]
pub struct Evacuations {
    // `None` until the first listing or report has arrived.
    position: Option<StorePosition>,
    data_centres: BTreeSet<Arc<str>>,
    // Data centres that were evacuated before the store was restored and that it lacks since, with
    // the time until which they stay evacuated.
    #[serde(skip)]
    kept: BTreeMap<Arc<str>, TimeMs>,
}

impl Evacuations {
    /// Creates the state from a listing of the store at `position`.
    pub fn from_listing<D>(position: StorePosition, data_centres: D) -> Self
    where
        D: IntoIterator<Item = Arc<str>>,
    {
        Self {
            position: Some(position),
            data_centres: data_centres.into_iter().collect(),
            kept: BTreeMap::new(),
        }
    }

    /// Returns whether the set of evacuated data centres is known.
    pub fn are_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre) || self.kept.contains_key(data_centre)
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &Arc<str>> {
        self.data_centres.iter().chain(self.kept.keys())
    }

    /// Replaces the state by `update`, from the store or a peer, if its position is newer. Returns
    /// whether the set of evacuated data centres has changed.
    ///
    /// If the store was restored since, data centres that are missing in the update stay evacuated
    /// until `keep_deadline_ms`.
    pub fn merge(&mut self, update: Self, keep_deadline_ms: TimeMs) -> bool {
        if update.position <= self.position {
            return false;
        }
        let before: BTreeSet<Arc<str>> = self.data_centres().cloned().collect();
        let was_restored = match (self.position, update.position) {
            (Some(before), Some(after)) => before.is_in_era_before(after),
            _ => false,
        };
        if was_restored {
            let evacuated = std::mem::take(&mut self.data_centres).into_iter();
            self.kept
                .extend(evacuated.map(|data_centre| (data_centre, keep_deadline_ms)));
        }
        self.position = update.position;
        self.data_centres = update.data_centres;
        let data_centres = &self.data_centres;
        self.kept
            .retain(|data_centre, _| !data_centres.contains(data_centre));
        !before
            .iter()
            .eq(self.data_centres().collect::<BTreeSet<_>>())
    }

    /// Ends evacuations that the store still lacks. Returns whether there were any.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        let count = self.kept.len();
        self.kept.retain(|_, deadline_ms| *deadline_ms > now);
        self.kept.len() < count
    }

    /// Applies a change of one data centre, which was evacuated or restored at `position`. Returns
    /// whether the set has changed.
    pub fn apply_change(
        &mut self,
        position: StorePosition,
        data_centre: &Arc<str>,
        evacuated: bool,
    ) -> bool {
        // A single change says nothing about the other data centres, so a complete state of the same
        // era is needed first.
        if self
            .position
            .is_none_or(|known| position < known || known.is_in_era_before(position))
        {
            return false;
        }
        self.position = Some(position);
        let was_kept = self.kept.remove(data_centre).is_some();
        match evacuated {
            true => self.data_centres.insert(data_centre.clone()) && !was_kept,
            false => self.data_centres.remove(data_centre) || was_kept,
        }
    }
}
