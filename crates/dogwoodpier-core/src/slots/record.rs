//! Content of a slot's object on the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::wire;

use crate::escrow::MicroTokens;

/// One incarnation of an instance, and the address of its peer service.
#[wire]
#[derive(Eq)]
pub struct PeerId {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Random id of this process of the instance.
    pub incarnation: u64,
    /// Address of its peer service.
    pub peer_address: Arc<str>,
}

impl PeerId {
    /// Returns whether `other` is an earlier or later incarnation of the same instance at the same
    /// address.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.peer_address == other.peer_address
            && self.incarnation != other.incarnation
    }

    /// Returns whether `other` is the same incarnation of the same instance.
    pub fn is_same_incarnation_as(&self, other: &Self) -> bool {
        self.instance == other.instance && self.incarnation == other.incarnation
    }
}

/// Content of a slot's object on the platform.
#[wire]
pub struct SlotRecord {
    /// Node that may act on the slot.
    pub holder: PeerId,
    /// Node that may claim the slot once its promise to the holder has run out.
    pub standby: Option<PeerId>,
    /// Bucket levels by workspace that a hand-over carries, otherwise empty.
    #[serde(default)]
    pub levels: BTreeMap<Arc<str>, MicroTokens>,
    /// Random id of the write, by which its author recognises it.
    pub write_id: u64,
    /// Version that was replaced by the write that made the holder the holder, zero if that write
    /// created the object. Renewals and changes of standby keep it, so it identifies the tenure.
    #[serde(default)]
    pub replaced_version: u64,
    /// `replaced_version` of the previous tenure, zero if there was none or it was the first.
    #[serde(default)]
    pub replaced_tenure: u64,
    /// Number of the holder's further writes in this tenure; each renews its lease.
    #[serde(default)]
    pub renewals: u64,
}
