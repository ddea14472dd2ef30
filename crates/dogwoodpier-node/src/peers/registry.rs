//! Registration of nodes on the platform: which incarnation serves which address.
//!
//! The platform's own list names instances but not incarnations, and it lags. Each node writes one
//! object when it starts, and watches those of the others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use rand::Rng;
use serde_json::Value;

use dogwoodpier_derive::wire;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::WatchOutcome;
use dogwoodpier_platform::wire::Change;
use dogwoodpier_platform::wire::Object;
use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::NodeInfo;

use crate::clock;
use crate::state::SharedNode;

/// Kind of the objects that register nodes.
pub const NODES_KIND: &str = "nodes";

const WATCH_WAIT_MS: u64 = 30_000;
const RETRY_MIN_MS: u64 = 200;
const RETRY_MAX_MS: u64 = 1_000;

/// Registration of a node on the platform. The object's name is the instance's.
#[wire]
pub struct Registration {
    /// Incarnation, in hexadecimal.
    pub incarnation: Arc<str>,
    /// Address of the peer service.
    pub peer_address: Arc<str>,
    /// Address for operators.
    pub operator_address: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Version of the program.
    pub program_version: Arc<str>,
}

/// Registers this node, then watches the registrations of all nodes until the process ends.
pub async fn run(node: SharedNode) {
    register(&node).await;
    loop {
        if watch_registrations(&node).await.is_err() {
            wait_before_retry().await;
        }
    }
}

// Retries until it succeeds: other programs learn the node's incarnation and addresses from its
// registration, and the platform may be unavailable at first.
async fn register(node: &SharedNode) {
    let settings = &node.settings;
    let registration = Registration {
        incarnation: format!("{:016x}", node.incarnation).into(),
        peer_address: settings.reachable_peer_address().to_string().into(),
        operator_address: settings.operator_address.to_string().into(),
        data_centre: settings.data_centre.clone(),
        program_version: env!("CARGO_PKG_VERSION").into(),
    };
    let value = serde_json::to_value(registration).unwrap_or(Value::Null);
    // Written unconditionally: the newest process of an instance replaces its predecessor.
    while let Err(error) = node
        .platform
        .put(NODES_KIND, &settings.instance, &value, Precondition::Any)
        .await
    {
        log::debug!("registration on the platform failed, retrying: {error}");
        wait_before_retry().await;
    }
    info!("registered on the platform");
}

async fn watch_registrations(node: &SharedNode) -> dogwoodpier_platform::Result<()> {
    let listing = node.platform.list(NODES_KIND, "").await?;
    let mut infos = BTreeMap::new();
    for object in &listing.items {
        infos.insert(object.name.clone(), node_info(object));
    }
    node.peers
        .record_registration(infos.into_values().flatten(), clock::now());
    let mut revision = listing.revision;
    loop {
        match node
            .platform
            .watch(&[NODES_KIND], revision, WATCH_WAIT_MS)
            .await?
        {
            WatchOutcome::Changes(changes) => {
                revision = changes.revision;
                let infos = changes.changes.iter().filter_map(changed_node);
                node.peers.record_registration(infos, clock::now());
            }
            WatchOutcome::TooOld => return Ok(()),
        }
    }
}

fn changed_node(change: &Change) -> Option<NodeInfo> {
    if change.deleted {
        None
    } else {
        node_info(&change.object)
    }
}

fn node_info(object: &Object) -> Option<NodeInfo> {
    let registration: Registration = serde_json::from_value(object.value.clone()).ok()?;
    let incarnation = u64::from_str_radix(&registration.incarnation, 16).ok()?;
    Some(NodeInfo {
        id: Some(NodeId {
            instance: object.name.to_string(),
            incarnation,
        }),
        peer_address: registration.peer_address.to_string(),
        data_centre: registration.data_centre.to_string(),
        draining: false,
    })
}

async fn wait_before_retry() {
    let pause_ms = rand::rng().random_range(RETRY_MIN_MS..RETRY_MAX_MS);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
