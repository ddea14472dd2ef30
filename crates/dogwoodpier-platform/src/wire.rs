//! Messages of the object API.
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | `GET /v1/objects/{kind}/{name}` | | 200 [`Object`], 404 |
//! | `PUT /v1/objects/{kind}/{name}?if_version=N` | [`PutBody`] | 200 [`Written`], 409 [`Conflict`] |
//! | `DELETE /v1/objects/{kind}/{name}?if_version=N` | | 200 [`Written`], 404, 409 [`Conflict`] |
//! | `GET /v1/objects/{kind}?prefix=P` | | 200 [`Listing`] |
//! | `GET /v1/watch?kinds=A,B&after=R&wait_ms=W` | | 200 [`Changes`], 410 if `R` is too old |
//! | `GET /v1/instances` | | 200 [`InstanceList`] |
//!
//! `if_version=0` requires that the object doesn't exist. Without `if_version`, a write is
//! unconditional. 429 and 503 mean that the call had no effect.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use dogwoodpier_derive::wire;

use crate::client::Precondition;
use crate::error::Error;
use crate::error::Result;
use crate::protocol::Call;
use crate::protocol::Page;
use crate::protocol::Protocol;

/// All characters but the unreserved ones of RFC 3986.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Protocol of the project's own object API.
pub static PROTOCOL: Protocol = Protocol {
    era_header: None,
    get: |kind, name| Call::get(object_path(kind, name, Precondition::Any)),
    list: |kind, prefix, _after| list_call(kind, prefix),
    list_stale: |kind, prefix, _after| list_call(kind, prefix),
    put: |kind, name, value, precondition| {
        Ok(Call {
            method: Method::PUT,
            path: object_path(kind, name, precondition),
            body: encode(&PutBodyRef { value })?,
        })
    },
    delete: |kind, name, precondition| Call {
        method: Method::DELETE,
        path: object_path(kind, name, precondition),
        body: Bytes::new(),
    },
    watch: |kinds, after, wait_ms| {
        let kinds: Vec<String> = kinds.iter().map(|kind| escape(kind)).collect();
        let kinds = kinds.join(",");
        Call::get(format!(
            "/v1/watch?kinds={kinds}&after={after}&wait_ms={wait_ms}"
        ))
    },
    decode_object: |_kind, body| decode(body),
    decode_page: |_kind, body| {
        let listing = decode(body)?;
        Ok(Page {
            listing,
            has_more: false,
        })
    },
    decode_changes: |_kinds, body| decode(body),
    decode_written: |body| decode::<Written>(body).map(|written| written.version),
    decode_conflict: |_kind, body| decode::<Conflict>(body).map(|conflict| conflict.current),
};

/// Body of a write that borrows its content. Has the same format as [`PutBody`].
#[derive(Serialize)]
struct PutBodyRef<'a> {
    value: &'a Value,
}

/// Decodes a JSON body.
pub fn decode<'a, T>(body: &'a [u8]) -> Result<T>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).map_err(|error| Error::Protocol(error.to_string()))
}

/// Encodes a JSON body.
pub fn encode<T>(body: &T) -> Result<Bytes>
where
    T: Serialize,
{
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| Error::Protocol(error.to_string()))
}

/// Percent-encodes a name for use in a path or query.
pub fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

fn list_call(kind: &str, prefix: &str) -> Call {
    let path = format!("/v1/objects/{}?prefix={}", escape(kind), escape(prefix));
    Call::get(path)
}

fn object_path(kind: &str, name: &str, precondition: Precondition) -> String {
    let path = format!("/v1/objects/{}/{}", escape(kind), escape(name));
    match precondition {
        Precondition::Absent => format!("{path}?if_version=0"),
        Precondition::Version(version) => format!("{path}?if_version={version}"),
        Precondition::Any => path,
    }
}

/// A stored object.
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

/// Response to a write that took effect.
#[wire]
pub struct Written {
    /// New version of the object.
    pub version: u64,
}

/// Response to a conditional write whose condition didn't hold.
#[wire]
pub struct Conflict {
    /// The current object, `None` if it doesn't exist.
    pub current: Option<Object>,
}

/// All objects of a kind whose name starts with a prefix.
#[wire]
pub struct Listing {
    /// The objects, ordered by name.
    pub items: Vec<Object>,
    /// Revision of the store that the listing shows, from which a watch can continue.
    pub revision: u64,
    /// Era of the store, see [`Protocol::era_header`].
    #[serde(skip)]
    pub era: u64,
}

/// Changes after a revision, in order.
#[wire]
pub struct Changes {
    /// Changes, empty if there were none within the waiting time.
    pub changes: Vec<Change>,
    /// Revision from which the next watch continues.
    pub revision: u64,
    /// Era of the store, see [`Protocol::era_header`].
    #[serde(skip)]
    pub era: u64,
}

/// One change of an object.
#[wire]
pub struct Change {
    /// The object after the change, or before it if it was deleted.
    pub object: Object,
    /// True if the object was deleted.
    pub deleted: bool,
}

/// The platform's list of instances, which lags behind their actual state.
#[wire]
pub struct InstanceList {
    /// Entries, ordered by name.
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
    /// Whether the instance should receive new work.
    pub state: InstanceState,
}

/// What an instance runs.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// A node of this system.
    Node,
    /// A model engine for prefills.
    PrefillEngine,
    /// A model engine for decodes.
    DecodeEngine,
    /// A plain service.
    Service,
}

/// State of an instance in the platform's list.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Serves requests.
    Live,
    /// Finishes its current work and accepts no new work.
    Leaving,
}
