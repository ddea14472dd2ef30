//! Peers as the source of configurations, and their relay to peers.

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

use super::Knowledge;

// Peers that are told at once of a new version; the others hear it from them.
const PUSH_FANOUT: usize = 16;

/// Fetches higher versions from the peers that name them, until the process ends.
pub async fn run_fetch(node: SharedNode) {
    loop {
        node.config.ahead_notify.notified().await;
        let peer = super::lock(&node.config.ahead).take();
        if let Some(peer) = peer {
            fetch(&node, &peer).await;
        }
    }
}

/// Tells peers of each new version at once, until the process ends.
pub async fn run_push(node: SharedNode) {
    loop {
        node.config.taken_notify.notified().await;
        for peer in node.peers.alive(clock::now()).into_iter().take(PUSH_FANOUT) {
            tokio::spawn(peers::beat(node.clone(), peer));
        }
    }
}

/// Returns the bundle for a peer that has the version `newer_than`, empty if it has the newest.
pub(super) fn bundle(knowledge: &Knowledge, newer_than: u64) -> FetchConfigReply {
    let Some(root) = &knowledge.root else {
        return FetchConfigReply::default();
    };
    let version = root.generation;
    if version <= newer_than {
        return FetchConfigReply {
            version,
            declarations: Vec::new(),
        };
    }
    let known: BTreeSet<&Arc<str>> = knowledge
        .recent
        .iter()
        .find(|recent| recent.generation == newer_than)
        .map(|recent| recent.parts.iter().collect())
        .unwrap_or_default();
    let parts = root
        .parts
        .iter()
        .filter(|hash| !known.contains(hash))
        .filter_map(|hash| knowledge.parts.get(hash).cloned())
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
    let _fetching = node.config.fetching.lock().await;
    let request = FetchConfigRequest {
        newer_than: node.config.current().version,
    };
    let answer = node
        .peers
        .transport()
        .call(
            "fetch_config",
            &peer.peer_address,
            request,
            |mut client, request| async move { client.fetch_config(request).await },
        )
        .await;
    let bundle = match answer {
        Ok(reply) if reply.declarations.is_empty() => return,
        Ok(reply) => serde_json::from_slice::<Bundle>(&reply.declarations),
        Err(error) => return debug!("configuration not fetched: {error}"),
    };
    match bundle {
        Ok(bundle) => {
            let mut parts = node.config.known_parts(&bundle.root);
            for text in bundle.parts {
                parts.insert(storage::hash_text(&text), text);
            }
            node.config.take(bundle.root, parts, "peer");
        }
        Err(error) => log::warn!("the configuration of a peer can't be read: {error}"),
    }
}
