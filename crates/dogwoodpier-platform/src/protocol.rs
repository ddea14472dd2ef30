//! How an object API is spoken: plain functions that build calls and decode answers.

use bytes::Bytes;
use http::Method;
use serde_json::Value;

use crate::client::Precondition;
use crate::error::Result;
use crate::wire::Changes;
use crate::wire::Listing;
use crate::wire::Object;

/// One HTTP call of an object API.
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with its query, escaped.
    pub path: String,
    /// Encoded body, empty for a read.
    pub body: Bytes,
}

impl Call {
    /// Returns a read of `path`.
    pub fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }
}

/// A part of a listing.
pub struct Page {
    /// The objects of this page and the revision that it shows.
    pub listing: Listing,
    /// Whether more objects follow after the last one here.
    pub has_more: bool,
}

/// The calls of one object API and the form of its answers.
pub struct Protocol {
    /// Reads one object: kind, name.
    pub get: fn(&str, &str) -> Call,
    /// Reads a page of a kind: kind, prefix of the names, name after which to go on.
    pub list: fn(&str, &str, Option<&str>) -> Call,
    /// Like `list`, but cheap: what it reads may be some seconds old.
    pub list_stale: fn(&str, &str, Option<&str>) -> Call,
    /// Writes an object: kind, name, content, condition.
    pub put: fn(&str, &str, &Value, Precondition) -> Result<Call>,
    /// Deletes an object: kind, name, condition.
    pub delete: fn(&str, &str, Precondition) -> Call,
    /// Waits for changes: kinds, revision to go on from, longest wait in milliseconds.
    pub watch: fn(&[&str], u64, u64) -> Call,
    /// Decodes an object of a kind.
    pub decode_object: fn(&str, &[u8]) -> Result<Object>,
    /// Decodes a page of a kind.
    pub decode_page: fn(&str, &[u8]) -> Result<Page>,
    /// Decodes the changes of some kinds.
    pub decode_changes: fn(&[&str], &[u8]) -> Result<Changes>,
    /// Decodes the new version from the answer to a write.
    pub decode_written: fn(&[u8]) -> Result<u64>,
    /// Decodes the object as it is from the answer to a write whose condition didn't hold.
    pub decode_conflict: fn(&str, &[u8]) -> Result<Option<Object>>,
}
