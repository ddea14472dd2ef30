//! Follows the platform's list of instances, load reports and cache events.

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

// Part of an interval by which polls of different nodes are spread.
const JITTER: f64 = 0.2;

/// Follows the platform's list of instances, load reports and cache events, and sends cancels.
pub async fn run(node: SharedNode) {
    tokio::join!(
        follow_instances(&node),
        follow_reports(&node),
        cancels::run(&node)
    );
}

async fn follow_instances(node: &SharedNode) {
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
            node.upstreams.directory().take_listed(upstreams, now);
            node.peers.take_listed(listed_peers(node, nodes), now);
        }
        pause(node.settings.tuning.instances_interval_ms).await;
    }
}

// A node that starts while the platform is out knows no upstreams; any peer's list, however old, is
// better than none.
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
                .take_listed(upstreams, clock::now());
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
                // Not in the list; the first heartbeat tells it.
                incarnation: 0,
            }),
            peer_address: instance.address.to_string(),
            data_centre: instance.data_centre.to_string(),
            draining: false,
        })
        .collect()
}

async fn follow_reports(node: &SharedNode) {
    loop {
        let mut polls = JoinSet::new();
        for engine in node.upstreams.engines() {
            polls.spawn(poll(node.clone(), engine));
        }
        // Each poll has a timeout, so that a silent engine can hold up the next round only briefly.
        let interval = pause(node.settings.tuning.load_interval_ms);
        tokio::join!(interval, polls.join_all());
    }
}

async fn poll(node: SharedNode, name: Arc<str>) {
    let Some(engine) = node.upstreams.engine(&name) else {
        return;
    };
    let asked_ms = clock::now();
    match engine.client.load().await {
        Ok(report) => {
            node.upstreams
                .directory()
                .note_report(&name, report, asked_ms);
        }
        Err(_) => node.upstreams.note_failure(&name),
    }
    let after = node.upstreams.directory().next_cache_event(&name);
    if let Ok(events) = engine.client.cache_events(after).await {
        node.upstreams.directory().note_cache_events(&name, &events);
    }
}

async fn pause(interval_ms: u64) {
    let factor = 1.0 + rand::rng().random_range(-JITTER..JITTER);
    tokio::time::sleep(Duration::from_millis(interval_ms).mul_f64(factor)).await;
}
