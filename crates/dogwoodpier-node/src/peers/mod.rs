//! Peers: the other nodes of the fleet, as far as this node knows them.
//!
//! What is known here only steers: whom to ask, whom to tell. Nothing that must hold rests on it.

mod heartbeat;
mod members;
pub mod registry;
mod service;
mod transport;

use std::sync::Arc;
use std::sync::Mutex;

use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::NodeInfo;

pub use heartbeat::beat;
pub use heartbeat::run;
pub use members::Members;
pub use service::serve;
pub use transport::PeerError;
pub use transport::Transport;

/// Members of the fleet and connections to them.
pub struct Peers {
    members: Mutex<Members>,
    transport: Transport,
}

impl Peers {
    /// Returns the peers of a node that knows nobody yet.
    pub fn new(own_instance: Arc<str>, member_timeout_ms: u64, peer_timeout_ms: u64) -> Self {
        Self {
            members: Mutex::new(Members::new(own_instance, member_timeout_ms)),
            transport: Transport::new(peer_timeout_ms),
        }
    }

    /// Returns the peers that are presumed alive and not draining, in order of name.
    pub fn alive(&self, now: TimeMs) -> Vec<NodeInfo> {
        self.lock().alive(now)
    }

    /// Returns every peer that there is an address of, also silent and draining ones.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.lock().all()
    }

    /// Returns whether the incarnation may still live. False for incarnations that nobody has
    /// registered or that a later process of the same instance has replaced, and for those that
    /// have been silent for `silence_ms` since a call to them failed.
    pub fn may_live(&self, incarnation: u64, silence_ms: u64, now: TimeMs) -> bool {
        self.lock().may_live(incarnation, silence_ms, now)
    }

    /// Returns how many peers were tried lately, whether they answered or not.
    pub fn tried(&self, now: TimeMs) -> usize {
        self.lock().tried(now)
    }

    /// Returns the share of the peers tried lately that answered, from 0 to 1, or `None` if there
    /// are no peers.
    pub fn reach(&self, now: TimeMs) -> Option<f64> {
        self.lock().reach(now)
    }

    /// Takes in registrations of nodes, which tell incarnations apart.
    pub fn take_registered<I>(&self, nodes: I, now: TimeMs)
    where
        I: IntoIterator<Item = NodeInfo>,
    {
        let mut members = self.lock();
        for info in nodes {
            members.take_registered(info, now);
        }
    }

    /// Takes in the platform's list of nodes.
    pub fn take_listed(&self, nodes: Vec<NodeInfo>, now: TimeMs) {
        self.lock().take_listed(nodes, now);
    }

    /// Returns the connections to the peers.
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Returns the state as JSON.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        self.lock().dump(now)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Members> {
        self.members
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
