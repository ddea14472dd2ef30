//! Upstreams: which there are, what is known of their load, and holds to cancel.

use dogwoodpier_core::TimeMs;

use crate::state::SharedNode;

/// The upstreams of all pools as this node knows them.
#[derive(Default)]
pub struct Upstreams {}

impl Upstreams {
    /// Returns the state as JSON.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::Value::Null
    }
}

/// Follows the platform's list of instances, load reports and cache events.
pub async fn run(_node: SharedNode) {}
