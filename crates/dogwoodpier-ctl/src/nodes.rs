//! What operators ask of nodes.

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

/// A node as operators address it.
#[plain]
pub struct NodeAddress {
    /// Instance, empty if only its address is known.
    pub instance: Arc<str>,
    /// Address for operators.
    pub address: SocketAddr,
}

/// What one node says of its configuration.
#[plain]
pub struct NodeStatus {
    /// The node.
    pub node: NodeAddress,
    /// Part `config` of its dump, or why there is none.
    pub config: std::result::Result<Value, String>,
}

/// Returns the nodes that are registered on the platform and that its list of instances has.
/// Registrations outlive their instances.
pub async fn registered(client: &Client) -> Result<Vec<NodeAddress>> {
    let listing = client.list(NODES_KIND, "").await.map_err(Error::Platform)?;
    let instances = client.instances().await.map_err(Error::Platform)?.instances;
    let listed: BTreeSet<Arc<str>> = instances
        .into_iter()
        .map(|instance| instance.name)
        .collect();
    let mut nodes = BTreeMap::new();
    for object in listing.items {
        if !listed.contains(&object.name) {
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

/// Asks nodes which configuration they run, all at once.
pub async fn status(nodes: Vec<NodeAddress>, timeout_ms: u64) -> Vec<NodeStatus> {
    let asked: Vec<_> = nodes
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
    let mut found = Vec::new();
    for task in asked {
        // A task ends early only if the process does.
        found.extend(task.await);
    }
    found
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
    let mut answer = pool
        .send(request, timeout_ms)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let body = answer
        .read_body(MAX_DUMP_BYTES, timeout_ms)
        .await
        .map_err(|error| failed(error.to_string()))?;
    if !answer.status.is_success() {
        return Err(failed(format!("status {}", answer.status)));
    }
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}
