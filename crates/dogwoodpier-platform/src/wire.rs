//! Messages of the object API.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | `GET /v1/objects/{kind}/{name}` | | 200 [`Object`], 404 |
//! | `PUT /v1/objects/{kind}/{name}?if_version=N` | [`PutBody`] | 200 [`Written`], 409 [`Conflict`] |
//! | `DELETE /v1/objects/{kind}/{name}?if_version=N` | | 200 [`Written`], 404, 409 [`Conflict`] |
//! | `GET /v1/objects/{kind}?prefix=P` | | 200 [`Listing`] |
//! | `GET /v1/watch?kinds=A,B&after=R&wait_ms=W` | | 200 [`Changes`], 410 if `R` is too old |
//! | `GET /v1/instances` | | 200 [`InstanceList`] |
//!
//! `if_version=0` asks that the object doesn't exist; without `if_version` a write is
//! unconditional. 429 and 503 say that nothing was done.

use std::sync::Arc;

use serde_json::Value;

use dogwoodpier_derive::wire;

/// An object as stored.
#[wire]
pub struct Object {
    /// Kind, for example `slots`.
    pub kind: Arc<str>,
    /// Name, unique within its kind.
    pub name: Arc<str>,
    /// Version of the last write, from one counter of the whole store.
    pub version: u64,
    /// Content, at most a megabyte.
    pub value: Value,
}

/// Body of a write.
#[wire]
pub struct PutBody {
    /// Content.
    pub value: Value,
}

/// Answer to a write that took effect.
#[wire]
pub struct Written {
    /// New version of the object.
    pub version: u64,
}

/// Answer to a conditional write whose condition didn't hold.
#[wire]
pub struct Conflict {
    /// The object as it is, absent if it doesn't exist.
    pub current: Option<Object>,
}

/// All objects of a kind whose name starts with a prefix.
#[wire]
pub struct Listing {
    /// The objects in order of name.
    pub items: Vec<Object>,
    /// Revision of the store that the listing shows, where a watch can go on.
    pub revision: u64,
}

/// Changes after a revision, in order.
#[wire]
pub struct Changes {
    /// Changes, empty if the wait ended without any.
    pub changes: Vec<Change>,
    /// Revision to go on from.
    pub revision: u64,
}

/// One change of an object.
#[wire]
pub struct Change {
    /// The object after the change, or before it if it was deleted.
    pub object: Object,
    /// True if the object was deleted.
    pub deleted: bool,
}

/// The platform's lagging list of instances.
#[wire]
pub struct InstanceList {
    /// Entries in order of name.
    pub instances: Vec<Instance>,
}

/// An instance known to the platform.
#[wire]
pub struct Instance {
    /// Name, unique among instances.
    pub name: Arc<str>,
    /// What the instance runs.
    pub role: InstanceRole,
    /// Address "ip:port": of the peer service for a node, of the API for an upstream.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Pool of an upstream, empty for a node.
    pub pool: Arc<str>,
    /// Whether it is to receive new work.
    pub state: InstanceState,
}

/// What an instance runs.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// A node of this system.
    Node,
    /// A model engine that prefills.
    PrefillEngine,
    /// A model engine that decodes.
    DecodeEngine,
    /// A plain service.
    Service,
}

/// State of an instance in the platform's list.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Serves.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}
