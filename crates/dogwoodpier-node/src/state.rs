//! The state of a node, shared by all of its tasks.

use std::sync::Arc;

use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::NodeInfo;

use crate::claims::Claims;
use crate::config::ConfigStore;
use crate::coordinator::Coordinator;
use crate::drain::Drain;
use crate::limits::Limits;
use crate::peers::Peers;
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::slots::Slots;
use crate::upstreams::Upstreams;

/// The state of a node. Each part synchronizes access to its own data.
pub struct Node {
    /// Checked settings.
    pub settings: Settings,
    /// Random id of this run of the process.
    pub incarnation: u64,
    /// Client of the platform.
    pub platform: dogwoodpier_platform::Client,
    /// Members of the fleet and connections to them.
    pub peers: Peers,
    /// Configuration in force.
    pub config: ConfigStore,
    /// Slots and their holders.
    pub slots: Slots,
    /// Rates and bursts of workspaces.
    pub limits: Limits,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Requests that crash engines.
    pub quarantine: Quarantine,
    /// Upstreams and their last known load.
    pub upstreams: Upstreams,
    /// Reservations at the decode engines whose coordinator is this node.
    pub coordinator: Coordinator,
    /// State of the graceful shutdown, and the count of requests in flight.
    pub drain: Arc<Drain>,
}

impl Node {
    /// Returns this node's id.
    pub fn id(&self) -> NodeId {
        NodeId {
            instance: self.settings.instance.to_string(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the description of this node that it sends to its peers.
    pub fn info(&self) -> NodeInfo {
        NodeInfo {
            id: Some(self.id()),
            peer_address: self.settings.reachable_peer_address().to_string(),
            data_centre: self.settings.data_centre.to_string(),
            draining: self.drain.is_draining(),
        }
    }

    /// Returns the state of all parts as JSON, without secrets.
    pub fn dump(&self) -> serde_json::Value {
        let now = crate::clock::now();
        serde_json::json!({
            "instance": self.settings.instance,
            "incarnation": format!("{:016x}", self.incarnation),
            "now_ms": now.0,
            "draining": self.drain.is_draining(),
            "in_flight": self.drain.in_flight(),
            "peers": self.peers.dump(now),
            "config": self.config.dump(now),
            "slots": self.slots.dump(now),
            "limits": self.limits.dump(now),
            "claims": self.claims.dump(&self.slots, now),
            "quarantine": self.quarantine.dump(now),
            "upstreams": self.upstreams.dump(now),
            "coordinator": self.coordinator.dump(now),
        })
    }
}

/// A node that is shared by its tasks.
pub type SharedNode = Arc<Node>;
