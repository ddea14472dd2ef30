//! An admitted request of a client.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::routes::Service;
use dogwoodpier_core::gateway::routes::Workspace;

use crate::client_budget::HeldBytes;
use crate::dialect::PromptSize;
use crate::quarantine::InFlight;
use crate::quarantine::RequestContent;
use crate::quota::Charge;

/// An admitted request of a client, with its body read.
pub struct ClientRequest {
    /// Id, as the client sent it.
    pub id: HeaderValue,
    /// Units charged to its workspace.
    pub charge: Option<Charge>,
    /// Method.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub target: Uri,
    /// Headers that are forwarded to upstreams.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// What it has in common with other requests that may crash upstreams.
    pub content: RequestContent,
    /// Count of the head's bytes. The body counts its own.
    pub held_head: HeldBytes,
    /// Route that matches it.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Arc<Service>,
    /// Workspace of the key that the client sent.
    pub workspace: Option<Arc<Workspace>>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Size, if it is a generation request.
    pub prompt: Option<PromptSize>,
    /// Time at which its head was read.
    pub received_ms: TimeMs,
    /// Milliseconds that the client was willing to wait when it sent the request.
    pub client_wait_ms: u64,
    /// Deadline of the client or of the route, whichever is earlier.
    pub deadline_ms: TimeMs,
}

impl ClientRequest {
    /// Returns what is recorded of the request if an upstream crashes.
    pub fn in_flight(&self) -> InFlight {
        InFlight {
            request_id: self.id_text().into(),
            content: self.content.clone(),
            events: 0,
            answer_underway: false,
        }
    }

    /// Returns the value of a forwarded header, if it is present and text.
    pub fn header_text(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the id for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("not text")
    }
}
