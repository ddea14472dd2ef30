//! Content of a slot's object on the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::wire;

use crate::escrow::MicroTokens;

/// One life of one instance, and where its peers reach it.
#[wire]
#[derive(Eq)]
pub struct PeerId {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Random id of this life of its process.
    pub incarnation: u64,
    /// Address of its peer service.
    pub peer_address: Arc<str>,
}

impl PeerId {
    /// Returns whether `other` is an earlier or later life of the same instance at the same address.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.peer_address == other.peer_address
            && self.incarnation != other.incarnation
    }

    /// Returns whether this is the same life of the same instance.
    pub fn is_same_incarnation_as(&self, other: &Self) -> bool {
        self.instance == other.instance && self.incarnation == other.incarnation
    }
}

/// Content of a slot's object on the platform.
#[wire]
pub struct SlotRecord {
    /// Node that may act on the slot.
    pub holder: PeerId,
    /// Node that may claim the slot once its promise has run out.
    pub standby: Option<PeerId>,
    /// Bucket levels by workspace that come with a hand-over, otherwise empty.
    #[serde(default)]
    pub levels: BTreeMap<Arc<str>, MicroTokens>,
    /// Random id of the write, by which its author knows it again.
    pub write_id: u64,
    /// Version that the write by which the holder became holder replaced, zero if it created the
    /// object. Renewals and changes of standby leave it as it is, so it names the tenure.
    #[serde(default)]
    pub replaced_version: u64,
    /// `replaced_version` of the tenure before, zero if there was none or it was the first.
    #[serde(default)]
    pub replaced_tenure: u64,
    /// Number of times that the holder has renewed its lease.
    #[serde(default)]
    pub renewals: u64,
}
