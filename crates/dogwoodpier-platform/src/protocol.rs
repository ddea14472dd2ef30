//! Protocol of an object API: functions that build its calls and decode the responses.

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
    /// Returns a GET call of `path`.
    pub fn get(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }
}

/// A page of a listing.
pub struct Page {
    /// The objects of this page, and the store's revision that it shows.
    pub listing: Listing,
    /// Whether more objects follow after the last one of this page.
    pub has_more: bool,
}

/// Calls of one object API, and decoders of its responses.
pub struct Protocol {
    /// Header of all responses with the era of the store, which rises whenever the store has been
    /// restored from a copy and its revisions have gone back. `None` if the API has no eras.
    pub era_header: Option<&'static str>,
    /// Reads one object: kind, name.
    pub get: fn(&str, &str) -> Call,
    /// Reads a page of a kind: kind, prefix of the names, name after which the page starts.
    pub list: fn(&str, &str, Option<&str>) -> Call,
    /// Like `list`, but cheaper. The result may be some seconds old.
    pub list_stale: fn(&str, &str, Option<&str>) -> Call,
    /// Writes an object: kind, name, content, condition.
    pub put: fn(&str, &str, &Value, Precondition) -> Result<Call>,
    /// Deletes an object: kind, name, condition.
    pub delete: fn(&str, &str, Precondition) -> Call,
    /// Waits for changes: kinds, revision from which to continue, maximum wait in milliseconds.
    pub watch: fn(&[&str], u64, u64) -> Call,
    /// Decodes an object of a kind.
    pub decode_object: fn(&str, &[u8]) -> Result<Object>,
    /// Decodes a page of a kind.
    pub decode_page: fn(&str, &[u8]) -> Result<Page>,
    /// Decodes the changes of some kinds.
    pub decode_changes: fn(&[&str], &[u8]) -> Result<Changes>,
    /// Decodes the new version from the response to a write.
    pub decode_written: fn(&[u8]) -> Result<u64>,
    /// Decodes the current object from the response to a write whose condition didn't hold.
    pub decode_conflict: fn(&str, &[u8]) -> Result<Option<Object>>,
}
