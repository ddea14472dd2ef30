//! Exchange of configurations between peers.

use std::collections::BTreeSet;
use std::sync::Arc;

use log::debug;

use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Bundle;
use dogwoodpier_proto::FetchConfigReply;
use dogwoodpier_proto::FetchConfigRequest;
use dogwoodpier_proto::NodeInfo;

use crate::clock;
use crate::peers;
use crate::state::SharedNode;

use super::State;

// Peers that get a heartbeat at once when a new version is in force. They pass it on to the others.
const PUSH_FANOUT_PEERS: usize = 16;

/// Fetches higher versions from the peers that report them, until the process ends.
pub async fn run_fetch(node: SharedNode) {
    loop {
        node.config.newer_version_notify.notified().await;
        let peer = super::lock(&node.config.newer_peer).take();
        if let Some(peer) = peer {
            fetch(&node, &peer).await;
        }
    }
}

/// Sends heartbeats with each new version to peers at once, until the process ends.
pub async fn run_push(node: SharedNode) {
    loop {
        node.config.applied_notify.notified().await;
        for peer in node
            .peers
            .alive(clock::now())
            .into_iter()
            .take(PUSH_FANOUT_PEERS)
        {
            tokio::spawn(peers::send_heartbeat(node.clone(), peer));
        }
    }
}

/// Returns the configuration in force for a peer that has the version `newer_than`, without the
/// parts known to be the same there. It is empty if the peer's version isn't older.
pub(super) fn fetch_reply(state: &State, newer_than: u64) -> FetchConfigReply {
    let Some(root) = &state.root else {
        return FetchConfigReply::default();
    };
    let version = root.generation;
    if version <= newer_than {
        return FetchConfigReply {
            version,
            declarations: Vec::new(),
        };
    }
    let known: BTreeSet<&Arc<str>> = state
        .former_roots
        .iter()
        .find(|root| root.generation == newer_than)
        .map(|root| root.parts.iter().collect())
        .unwrap_or_default();
    let parts = root
        .parts
        .iter()
        .filter(|hash| !known.contains(hash))
        .filter_map(|hash| state.parts.get(hash).cloned())
        .collect();
    let bundle = Bundle {
        root: root.clone(),
        parts,
    };
    FetchConfigReply {
        version,
        declarations: serde_json::to_vec(&bundle).unwrap_or_default(),
    }
}

async fn fetch(node: &SharedNode, peer: &NodeInfo) {
    let _fetch_guard = node.config.fetch_lock.lock().await;
    let request = FetchConfigRequest {
        newer_than: node.config.current().version,
    };
    let result = node
        .peers
        .transport()
        .call(
            "fetch_config",
            &peer.peer_address,
            request,
            |mut client, request| async move { client.fetch_config(request).await },
        )
        .await;
    let bundle = match result {
        Ok(reply) if reply.declarations.is_empty() => return,
        Ok(reply) => serde_json::from_slice::<Bundle>(&reply.declarations),
        Err(error) => return debug!("configuration not fetched from a peer: {error}"),
    };
    match bundle {
        Ok(bundle) => {
            let mut parts = node.config.known_parts(&bundle.root);
            for text in bundle.parts {
                parts.insert(storage::hash_text(&text), text);
            }
            node.config.apply(bundle.root, parts, "peer");
        }
        Err(error) => log::warn!("configuration from a peer can't be parsed: {error}"),
    }
}
