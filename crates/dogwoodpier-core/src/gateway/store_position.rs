//! Positions in the history of the store.

use dogwoodpier_derive::key;

// Bits for the revision: enough for 400 writes a second for 80 years.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// A position in the history of the store, in the order of time.
///
/// Revisions alone have no such order: a store that is restored from a copy goes back to the
/// revision of the copy, and gives the later ones out again. Its era rises then, so a position
/// consists of both.
///
/// Until the store is restored for the first time, in era 1, a position is encoded as its revision,
/// as instances of earlier versions exchange it.
#[key]
#[derive(Default)]
pub struct StorePosition(u64);

impl StorePosition {
    /// Returns the position at a revision of an era. Stores that name no era are in era 0, which is
    /// the same as era 1.
    pub fn new(era: u64, revision: u64) -> Self {
        let restores = era.saturating_sub(1).min(u64::MAX >> REVISION_BITS);
        Self((restores << REVISION_BITS) | revision.min(MAX_REVISION))
    }

    /// Returns the revision.
    pub fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }

    /// Returns whether the store was restored between the two positions.
    pub fn is_in_era_before(self, later: Self) -> bool {
        self.0 >> REVISION_BITS < later.0 >> REVISION_BITS
    }
}
