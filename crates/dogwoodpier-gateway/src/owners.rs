//! Finding the instances that decide for a service or a workspace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodpier_core::gateway::owners;
use dogwoodpier_core::gateway::owners::UnresponsiveOwners;
use dogwoodpier_process::clock;

use crate::state::Gateway;

/// Time for an owner's answer: several round trips between data centres of a region.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Questions without an answer after which an owner is given up.
pub const MAX_SILENT_ASKS: u32 = 2;
/// Owners that are tried before an instance decides by itself.
pub const MAX_OWNERS: usize = 2;

/// Who decides.
pub enum Owner {
    /// This instance.
    Here,
    /// A peer.
    Peer {
        /// Its name.
        instance: Arc<str>,
        /// Its address for messages.
        address: SocketAddr,
    },
}

/// Owners that didn't answer.
#[derive(Default)]
pub struct Owners {
    suspects: Mutex<UnresponsiveOwners>,
}

impl Owners {
    /// Notes that an owner didn't answer to questions about `name`.
    pub fn suspect(&self, gateway: &Gateway, instance: &Arc<str>, name: &str) {
        self.lock().record_timeout(instance, clock::now());
        gateway.events.write(
            "owner_silent",
            serde_json::json!({ "owner": &**instance, "name": name }),
        );
    }

    fn lock(&self) -> MutexGuard<'_, UnresponsiveOwners> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns who decides for a service or a workspace.
pub fn choose(gateway: &Gateway, name: &str) -> Owner {
    ranked(gateway, name, 1).pop().unwrap_or(Owner::Here)
}

/// Returns whether this instance decides for a service or a workspace.
pub fn is_here(gateway: &Gateway, name: &str) -> bool {
    matches!(choose(gateway, name), Owner::Here)
}

/// Returns the addresses of the peers that decide for a service, or will after them.
pub fn addresses(gateway: &Gateway, name: &str) -> Vec<SocketAddr> {
    let owners = ranked(gateway, name, MAX_OWNERS).into_iter();
    let address = |owner| match owner {
        Owner::Here => None,
        Owner::Peer { address, .. } => Some(address),
    };
    owners.filter_map(address).collect()
}

fn ranked(gateway: &Gateway, name: &str, count: usize) -> Vec<Owner> {
    let now = clock::now();
    let settings = gateway.settings.load();
    let own = settings.instance.clone();
    let names = {
        let beliefs = gateway.beliefs();
        let suspects = gateway.owners.lock();
        let peers = beliefs.exchange.live_peers(now);
        let peers = peers.filter(|(peer, _)| {
            // One that can't be asked would leave each instance to decide by itself.
            !suspects.contains(peer, now) && gateway.peer_addresses.of(peer).is_some()
        });
        let members = peers.chain(std::iter::once((&own, settings.capacity)));
        owners::rank_owners(name, members, count)
    };
    let owner = |instance: Arc<str>| {
        if instance == own {
            return Some(Owner::Here);
        }
        let address = gateway.peer_addresses.of(&instance)?;
        Some(Owner::Peer { instance, address })
    };
    names.into_iter().filter_map(owner).collect()
}
