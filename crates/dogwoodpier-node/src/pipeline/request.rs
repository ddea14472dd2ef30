//! A caller's request as it is passed between the filters.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use dogwoodpier_core::TimeMs;

/// A caller's request after it has been accepted and authenticated.
#[derive(Clone, Debug)]
pub struct Request {
    /// Random id, unique over the fleet.
    pub id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query, without parameters that could carry a key.
    pub path_and_query: Arc<str>,
    /// Headers, without hop-by-hop headers and those that could carry a key.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Workspace that is charged, absent on a route that needs no key.
    pub workspace: Option<Arc<str>>,
    /// Time after which the caller no longer needs the answer.
    pub deadline_ms: TimeMs,
    /// Hash of workspace, method, path and body.
    pub fingerprint: u64,
    /// Value of the caller's `Idempotency-Key` header.
    pub idempotency_key: Option<Arc<str>>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.path_and_query.split('?').next().unwrap_or_default()
    }
}
