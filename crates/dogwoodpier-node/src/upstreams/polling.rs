//! Polls the platform's list of instances and the engines' load reports and cache events.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::task::JoinSet;

use dogwoodpier_platform::wire::Instance;
use dogwoodpier_platform::wire::InstanceRole;
use dogwoodpier_proto::FetchUpstreamsRequest;
use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::NodeInfo;

use crate::clock;
use crate::state::SharedNode;

use super::cancels;

// Polls are spread over this fraction of the interval in either direction, so that nodes do not
// poll in step.
const JITTER_RATIO: f64 = 0.2;

/// Polls instances, load reports and cache events, and sends cancels and releases. Never returns.
pub async fn run(node: SharedNode) {
    tokio::join!(
        poll_instances(&node),
        poll_engines(&node),
        cancels::run(&node)
    );
}

async fn poll_instances(node: &SharedNode) {
    loop {
        let list = node.platform.instances().await;
        if list.is_err() && node.upstreams.directory().listed().is_empty() {
            fetch_from_peers(node).await;
        }
        if let Ok(list) = list {
            let now = clock::now();
            let (nodes, upstreams): (Vec<Instance>, Vec<Instance>) = list
                .instances
                .into_iter()
                .partition(|instance| instance.role == InstanceRole::Node);
            node.upstreams.directory().update_listed(upstreams, now);
            node.peers.update_listed(listed_peers(node, nodes), now);
        }
        sleep_with_jitter(node.settings.tuning.instances_interval_ms).await;
    }
}

// A node that starts during an outage of the platform knows no upstreams. It takes the list of the
// first peer that returns one, whatever its age.
async fn fetch_from_peers(node: &SharedNode) {
    for peer in node.peers.alive(clock::now()) {
        let answer = node
            .peers
            .transport()
            .call(
                "fetch_upstreams",
                &peer.peer_address,
                FetchUpstreamsRequest {},
                |mut client, request| async move { client.fetch_upstreams(request).await },
            )
            .await;
        let Ok(reply) = answer else {
            continue;
        };
        if let Ok(upstreams) = serde_json::from_slice::<Vec<Instance>>(&reply.upstreams) {
            node.upstreams
                .directory()
                .update_listed(upstreams, clock::now());
            return;
        }
    }
}

fn listed_peers(node: &SharedNode, nodes: Vec<Instance>) -> Vec<NodeInfo> {
    nodes
        .into_iter()
        .filter(|instance| instance.name != node.settings.instance)
        .map(|instance| NodeInfo {
            id: Some(NodeId {
                instance: instance.name.to_string(),
                // The list does not contain it; the first heartbeat does.
                incarnation: 0,
            }),
            peer_address: instance.address.to_string(),
            data_centre: instance.data_centre.to_string(),
            draining: false,
        })
        .collect()
}

async fn poll_engines(node: &SharedNode) {
    loop {
        let mut polls = JoinSet::new();
        for engine in node.upstreams.engines() {
            polls.spawn(poll_engine(node.clone(), engine));
        }
        // Each poll has a timeout, so an unresponsive engine delays the next round only briefly.
        let interval = sleep_with_jitter(node.settings.tuning.load_interval_ms);
        tokio::join!(interval, polls.join_all());
    }
}

async fn poll_engine(node: SharedNode, name: Arc<str>) {
    let Some(engine) = node.upstreams.engine(&name) else {
        return;
    };
    let requested_ms = clock::now();
    match engine.client.load().await {
        Ok(report) => {
            node.upstreams
                .directory()
                .update_load(&name, report, requested_ms);
        }
        Err(_) => node.upstreams.record_failure(&name),
    }
    let after = node.upstreams.directory().cache_events_after(&name);
    if let Ok(events) = engine.client.cache_events(after).await {
        node.upstreams
            .directory()
            .apply_cache_events(&name, &events);
    }
}

async fn sleep_with_jitter(interval_ms: u64) {
    let factor = 1.0 + rand::rng().random_range(-JITTER_RATIO..JITTER_RATIO);
    tokio::time::sleep(Duration::from_millis(interval_ms).mul_f64(factor)).await;
}
