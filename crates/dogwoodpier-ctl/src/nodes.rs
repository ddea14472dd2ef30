//! Requests to the operator addresses of nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use serde_json::Value;

use dogwoodpier_derive::plain;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;
use dogwoodpier_platform::Client;

use crate::error::Error;
use crate::error::Result;

// Kind of the objects that nodes register as.
const NODES_KIND: &str = "nodes";
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

/// A node and its address for operators.
#[plain]
pub struct NodeAddress {
    /// Name of the instance, empty if only the address is known.
    pub instance: Arc<str>,
    /// Address for operators.
    pub address: SocketAddr,
}

/// The configuration status of a node.
#[plain]
pub struct NodeStatus {
    /// The node.
    pub node: NodeAddress,
    /// Field `config` of the node's dump, or why the dump could not be read.
    pub config: std::result::Result<Value, String>,
}

/// Returns the nodes that are registered on the platform and whose instances it lists. The second
/// condition is needed because a registration can outlive its instance.
pub async fn registered(client: &Client) -> Result<Vec<NodeAddress>> {
    let listing = client.list(NODES_KIND, "").await.map_err(Error::Platform)?;
    let instances = client.instances().await.map_err(Error::Platform)?.instances;
    let existing: BTreeSet<Arc<str>> = instances
        .into_iter()
        .map(|instance| instance.name)
        .collect();
    let mut nodes = BTreeMap::new();
    for object in listing.items {
        if !existing.contains(&object.name) {
            continue;
        }
        let address = object.value["operator_address"]
            .as_str()
            .and_then(|address| address.parse::<SocketAddr>().ok());
        if let Some(address) = address {
            nodes.insert(object.name, address);
        }
    }
    Ok(nodes
        .into_iter()
        .map(|(instance, address)| NodeAddress { instance, address })
        .collect())
}

/// Requests the configuration status of all nodes concurrently.
pub async fn status(nodes: Vec<NodeAddress>, timeout_ms: u64) -> Vec<NodeStatus> {
    let tasks: Vec<_> = nodes
        .into_iter()
        .map(|node| {
            tokio::spawn(async move {
                let config = dump(node.address, timeout_ms)
                    .await
                    .map(|dump| dump["config"].clone())
                    .map_err(|error| error.to_string());
                NodeStatus { node, config }
            })
        })
        .collect();
    let mut statuses = Vec::new();
    for task in tasks {
        // A task fails only if the runtime shuts down.
        statuses.extend(task.await);
    }
    statuses
}

/// Returns a node's dump.
pub async fn dump(address: SocketAddr, timeout_ms: u64) -> Result<Value> {
    let failed = |cause: String| Error::Node {
        address: address.to_string(),
        cause,
    };
    let pool = Pool::new(PoolOptions {
        address,
        connect_timeout_ms: timeout_ms,
    });
    let request = Request::get("/dump")
        .body(Bytes::new())
        .map_err(|error| failed(error.to_string()))?;
    let mut response = pool
        .send(request, timeout_ms)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let body = response
        .read_body(MAX_DUMP_BYTES, timeout_ms)
        .await
        .map_err(|error| failed(error.to_string()))?;
    if !response.status.is_success() {
        return Err(failed(format!("status {}", response.status)));
    }
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}
