//! Peers: the other nodes of the fleet that this node knows of.
//!
//! Membership only decides which peers a node contacts. It may be late or incomplete, and no
//! guarantee depends on it.

mod heartbeat;
mod members;
pub mod registry;
mod service;
mod transport;

use std::sync::Arc;
use std::sync::Mutex;

use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::NodeInfo;

pub use heartbeat::run;
pub use heartbeat::send_heartbeat;
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
    /// Returns an empty set of peers.
    pub fn new(own_instance: Arc<str>, member_timeout_ms: u64, peer_timeout_ms: u64) -> Self {
        Self {
            members: Mutex::new(Members::new(own_instance, member_timeout_ms)),
            transport: Transport::new(peer_timeout_ms),
        }
    }

    /// Returns the peers that are presumed alive and not draining, ordered by name.
    pub fn alive(&self, now: TimeMs) -> Vec<NodeInfo> {
        self.lock().alive(now)
    }

    /// Returns every known peer, including unresponsive and draining ones.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.lock().all()
    }

    /// Returns whether the incarnation may still be running. False for unknown incarnations, for
    /// those replaced by a later process of the same instance, and for those that sent no heartbeat
    /// within `silence_ms` and to which a call has failed since their last one.
    pub fn may_be_running(&self, incarnation: u64, silence_ms: u64, now: TimeMs) -> bool {
        self.lock().may_be_running(incarnation, silence_ms, now)
    }

    /// Returns how many peers were called within the member timeout, whether they answered or not.
    pub fn recently_called_count(&self, now: TimeMs) -> usize {
        self.lock().recently_called_count(now)
    }

    /// Returns the share of the peers called within the member timeout that answered, from 0 to 1,
    /// or `None` if none was called.
    pub fn answered_share(&self, now: TimeMs) -> Option<f64> {
        self.lock().answered_share(now)
    }

    /// Applies registrations of nodes, which name their incarnations.
    pub fn record_registration<I>(&self, nodes: I, now: TimeMs)
    where
        I: IntoIterator<Item = NodeInfo>,
    {
        let mut members = self.lock();
        for info in nodes {
            members.record_registration(info, now);
        }
    }

    /// Applies the platform's list of nodes.
    pub fn update_listed(&self, nodes: Vec<NodeInfo>, now: TimeMs) {
        self.lock().update_listed(nodes, now);
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
