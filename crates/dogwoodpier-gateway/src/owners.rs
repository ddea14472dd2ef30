//! Selection of the instances that own a service, a workspace or an upstream with a rate limit, and
//! decide on requests for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dogwoodpier_core::gateway::owners;
use dogwoodpier_core::gateway::owners::UnresponsiveOwners;
use dogwoodpier_process::clock;

use crate::peer_messages::Message;
use crate::pending::PendingRequests;
use crate::state::Gateway;

/// Time within which an owner answers: several round trips between data centres of a region.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Unanswered messages after which an instance turns from an owner to the next one.
pub const MAX_UNANSWERED_REQUESTS: u32 = 2;
/// Owners that are tried before an instance decides by itself.
pub const MAX_OWNERS: usize = 2;

/// The owner of a service, a workspace or an upstream with a rate limit.
pub enum Owner {
    /// This instance.
    Local,
    /// A peer.
    Peer {
        /// Its name.
        instance: Arc<str>,
        /// Its address for messages between peers.
        address: SocketAddr,
    },
}

/// Reply to a request to an owner.
pub enum OwnerReply<A> {
    /// This instance is the owner and decides itself.
    Local,
    /// A peer is the owner and has answered.
    Peer {
        /// Its address for messages between peers.
        address: SocketAddr,
        /// Its answer.
        answer: A,
    },
    /// No owner answered.
    NoAnswer,
}

/// Owners that did not answer recently.
#[derive(Default)]
pub struct Owners {
    unresponsive: Mutex<UnresponsiveOwners>,
}

impl Owners {
    /// Records that an owner did not answer messages about `name`.
    pub fn record_timeout(&self, gateway: &Gateway, instance: &Arc<str>, name: &str) {
        self.lock().record_timeout(instance, clock::now());
        gateway.events.write(
            "owner_silent",
            serde_json::json!({ "owner": &**instance, "name": name }),
        );
    }

    fn lock(&self) -> MutexGuard<'_, UnresponsiveOwners> {
        self.unresponsive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a request to the owner of `name`, or to the next one if it does not answer. `message`
/// returns the request with a ticket.
pub async fn ask<A, M>(
    gateway: &Gateway,
    name: &str,
    pending: &PendingRequests<A>,
    message: M,
) -> OwnerReply<A>
where
    M: Fn(u64) -> Message,
{
    for _ in 0..MAX_OWNERS {
        let Owner::Peer { instance, address } = owner_of(gateway, name) else {
            return OwnerReply::Local;
        };
        match pending.send(gateway, address, &message).await {
            Some(answer) => return OwnerReply::Peer { address, answer },
            None => gateway.owners.record_timeout(gateway, &instance, name),
        }
    }
    OwnerReply::NoAnswer
}

/// Sends a request to the only owner of `name`. Nobody is asked in its place, as two owners could not
/// know of each other's decisions.
pub async fn ask_sole<A, M>(
    gateway: &Gateway,
    name: &str,
    pending: &PendingRequests<A>,
    message: M,
) -> OwnerReply<A>
where
    M: Fn(u64) -> Message,
{
    let settings = gateway.settings.load();
    let now = clock::now();
    let owner = {
        let state = gateway.state();
        let peers = state.peer_reports.sole_owner_candidates(now);
        let members = peers.chain(std::iter::once((&settings.instance, settings.capacity)));
        owners::rank_owners(name, members, 1).pop()
    };
    let Some(owner) = owner.filter(|owner| *owner != settings.instance) else {
        return OwnerReply::Local;
    };
    let is_suspected = gateway.owners.lock().contains(&owner, now);
    let address = gateway.peer_addresses.get(&owner);
    let Some(address) = address.filter(|_| !is_suspected) else {
        return OwnerReply::NoAnswer;
    };
    match pending.send(gateway, address, &message).await {
        Some(answer) => OwnerReply::Peer { address, answer },
        None => {
            gateway.owners.record_timeout(gateway, &owner, name);
            OwnerReply::NoAnswer
        }
    }
}

/// Returns the owner of a service, a workspace or an upstream with a rate limit.
pub fn owner_of(gateway: &Gateway, name: &str) -> Owner {
    rank_owners(gateway, name, 1, Unresponsive::Excluded)
        .pop()
        .unwrap_or(Owner::Local)
}

/// Returns whether this instance owns `name`.
pub fn is_local(gateway: &Gateway, name: &str) -> bool {
    matches!(owner_of(gateway, name), Owner::Local)
}

/// Returns the addresses of the peers among the first owners of a service: the current one and its
/// successors.
pub fn addresses(gateway: &Gateway, name: &str) -> Vec<SocketAddr> {
    peer_addresses(rank_owners(
        gateway,
        name,
        MAX_OWNERS,
        Unresponsive::Excluded,
    ))
}

/// Returns the addresses of the peers that any instance may consider the only owner of `name`,
/// including those that this one does not hear.
pub fn sole_candidates(gateway: &Gateway, name: &str) -> Vec<SocketAddr> {
    let settings = gateway.settings.load();
    let ranking = {
        let state = gateway.state();
        let peers = state.peer_reports.registered_peers();
        let members = peers.chain(std::iter::once((&settings.instance, settings.capacity)));
        owners::rank_owners(name, members, MAX_OWNERS + 1)
    };
    let peers = ranking.iter().filter(|owner| **owner != settings.instance);
    let addresses = peers.map(|owner| gateway.peer_addresses.get(owner));
    addresses.flatten().collect()
}

/// Returns the addresses of the peers that any instance may consider the owner of `name`, whether or
/// not they answer this one.
pub fn candidates(gateway: &Gateway, name: &str) -> Vec<SocketAddr> {
    peer_addresses(rank_owners(
        gateway,
        name,
        MAX_OWNERS + 1,
        Unresponsive::Included,
    ))
}

fn peer_addresses(owners: Vec<Owner>) -> Vec<SocketAddr> {
    let address = |owner| match owner {
        Owner::Local => None,
        Owner::Peer { address, .. } => Some(address),
    };
    owners.into_iter().filter_map(address).collect()
}

// Whether peers that did not answer this instance recently are ranked.
#[derive(Clone, Copy, PartialEq)]
enum Unresponsive {
    Included,
    Excluded,
}

fn rank_owners(
    gateway: &Gateway,
    name: &str,
    count: usize,
    unresponsive: Unresponsive,
) -> Vec<Owner> {
    let now = clock::now();
    let settings = gateway.settings.load();
    let own = settings.instance.clone();
    let ranking = {
        let state = gateway.state();
        let suspected = gateway.owners.lock();
        let peers = state.peer_reports.live_peers(now);
        let peers = peers.filter(|(peer, _)| {
            // With a peer of unknown address as the owner, each instance would decide by itself.
            (unresponsive == Unresponsive::Included || !suspected.contains(peer, now))
                && gateway.peer_addresses.get(peer).is_some()
        });
        let members = peers.chain(std::iter::once((&own, settings.capacity)));
        owners::rank_owners(name, members, count)
    };
    let owner = |instance: Arc<str>| {
        if instance == own {
            return Some(Owner::Local);
        }
        let address = gateway.peer_addresses.get(&instance)?;
        Some(Owner::Peer { instance, address })
    };
    ranking.into_iter().filter_map(owner).collect()
}
