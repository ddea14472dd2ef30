//! A caller's request as the filters pass it on.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use dogwoodpier_core::TimeMs;

/// A caller's request after it was accepted and authenticated.
#[derive(Clone, Debug)]
pub struct Request {
    /// Random id, unique over the fleet.
    pub id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query, without parameters that could carry a key.
    pub path_and_query: Arc<str>,
    /// Headers, without those that could carry a key and those of one connection only.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Workspace that pays, absent on a route open to all.
    pub workspace: Option<Arc<str>>,
    /// Time after which the answer is of no use to the caller.
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
