//! A client's request that was admitted.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::routes::Service;
use dogwoodpier_core::gateway::routes::Workspace;

use crate::dialect::PromptSize;
use crate::quarantine::InFlight;
use crate::quota::Charge;
use crate::state::SharedGateway;

/// A count of body bytes held. Dropping it ends the count.
pub struct HeldBytes {
    gateway: SharedGateway,
    bytes: usize,
}

impl HeldBytes {
    /// Counts `bytes` as held.
    pub fn new(gateway: &SharedGateway, bytes: usize) -> Self {
        gateway.buffered_bytes.fetch_add(bytes, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
            bytes,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.gateway
            .buffered_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A client's request that was admitted, with its body read.
pub struct ClientRequest {
    /// Identity, as the client sent it.
    pub id: HeaderValue,
    /// Units charged to its workspace.
    pub charge: Option<Charge>,
    /// Method.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub target: Uri,
    /// Headers that go on to upstreams.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Hash by which a repeat of it is recognized.
    pub fingerprint: u64,
    /// Count of the body's bytes.
    pub held: HeldBytes,
    /// Route that takes it.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Arc<Service>,
    /// Workspace whose key came with it.
    pub workspace: Option<Arc<Workspace>>,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Size, if it is a generation request.
    pub prompt: Option<PromptSize>,
    /// Time at which its head was read.
    pub received_ms: TimeMs,
    /// Milliseconds that the client would wait when it sent the request.
    pub client_wait_ms: u64,
    /// Time at which the client leaves or the route's timeout ends, whichever is first.
    pub deadline_ms: TimeMs,
}

impl ClientRequest {
    /// Returns what is known of it where an upstream crashes.
    pub fn in_flight(&self) -> InFlight {
        InFlight {
            request_id: self.id_text().into(),
            fingerprint: self.fingerprint,
        }
    }

    /// Returns the identity for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("not text")
    }
}
