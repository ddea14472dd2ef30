//! Heartbeats, which carry liveness, promises to slot holders, contact with the platform and reports
//! of crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IteratorRandom;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::freshness::NEVER_CONTACTED_AGE_MS;
use dogwoodpier_proto::HeartbeatReply;
use dogwoodpier_proto::HeartbeatRequest;
use dogwoodpier_proto::NodeInfo;

use crate::clock;
use crate::state::Node;
use crate::state::SharedNode;

// With no more known peers than this, a node sends heartbeats to all of them in each round.
const FULL_MESH_MAX_PEERS: usize = 16;
// Random peers that receive a heartbeat in each round of a larger fleet, besides the standbys.
const LARGE_FLEET_FANOUT_PEERS: usize = 2;
// Known peers whose addresses a heartbeat passes on.
const KNOWN_SAMPLE_PEERS: usize = 1;

/// Sends heartbeats until the process ends.
pub async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(Duration::from_millis(
        node.settings.tuning.heartbeat_interval_ms,
    ));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let peers = choose_peers(&node);
        // All calls are recorded before the first answer arrives, so that the share of answered calls
        // refers to the whole round.
        for peer in &peers {
            node.peers.record_call_started(peer, clock::now());
        }
        for peer in peers {
            // Each call has a timeout, so an unresponsive peer neither delays the others nor causes calls
            // to accumulate.
            tokio::spawn(send_heartbeat(node.clone(), peer));
        }
    }
}

/// Sends one heartbeat to a peer and applies its answer. Returns whether the peer answered.
pub async fn send_heartbeat(node: SharedNode, peer: NodeInfo) -> bool {
    let instance = peer.id.clone().unwrap_or_default().instance;
    let sent_ms = clock::now();
    let request = HeartbeatRequest {
        sender: Some(node.info()),
        promise_requests: node.slots.promise_requests(&instance, sent_ms),
        // The age is read before the version, which may rise in between.
        platform_contact_age_ms: node.config.platform_contact_age_ms(sent_ms),
        config_version: node.config.current().version,
        crashes: node.quarantine.reports(sent_ms),
        known: node.peers.sample(KNOWN_SAMPLE_PEERS),
    };
    let result = node
        .peers
        .transport()
        .call(
            "heartbeat",
            &peer.peer_address,
            request,
            |mut client, request| async move { client.heartbeat(request).await },
        )
        .await;
    let now = clock::now();
    node.peers.record_call(&instance, result.is_ok(), now);
    let Ok(reply) = result else {
        return false;
    };
    node.quarantine.record_reports(&reply.crashes, now);
    if let Some(sender) = reply.sender {
        node.slots
            .handle_promises(&sender, &reply.promises, sent_ms);
        // The age counts from the time of the request: the answer may have waited while this process
        // was paused.
        node.config.handle_peer_report(
            &sender,
            reply.config_version,
            reply.platform_contact_age_ms,
            sent_ms,
        );
        node.config
            .handle_outage_report(&instance, reply.attests_outage, sent_ms);
        node.peers.record_heartbeat(sender, now);
    }
    true
}

/// Handles a heartbeat of a peer and returns the answer.
pub fn handle(node: &Node, request: HeartbeatRequest) -> HeartbeatReply {
    let now = clock::now();
    let sender = request.sender.unwrap_or_default();
    node.quarantine.record_reports(&request.crashes, now);
    // It is unknown how long the request waited for this process, so its contact age is not used.
    node.config
        .handle_peer_report(&sender, request.config_version, NEVER_CONTACTED_AGE_MS, now);
    let promises = node
        .slots
        .grant_promises(&sender, &request.promise_requests, now);
    node.peers.record_heartbeat(sender, now);
    for info in request.known {
        node.peers.add_known(info, now);
    }
    HeartbeatReply {
        sender: Some(node.info()),
        promises,
        // The age is read before the version, which may rise in between.
        platform_contact_age_ms: node.config.platform_contact_age_ms(now),
        config_version: node.config.current().version,
        crashes: node.quarantine.reports(now),
        attests_outage: node.config.attests_outage(now),
    }
}

// Chooses the peers of one round: the standbys of this node's slots, which renew their promises only
// when this node asks them to, and a random sample.
fn choose_peers(node: &Node) -> Vec<NodeInfo> {
    let mut chosen: BTreeMap<String, NodeInfo> = BTreeMap::new();
    let fanout = if node.peers.count() <= FULL_MESH_MAX_PEERS {
        FULL_MESH_MAX_PEERS
    } else {
        LARGE_FLEET_FANOUT_PEERS
    };
    let sample = node.peers.sample(fanout);
    let own = node.id();
    // This node can be the standby of a slot that it hands over.
    let standbys = node
        .slots
        .standbys()
        .into_iter()
        .filter(|info| info.id.as_ref() != Some(&own));
    for info in standbys.chain(sample) {
        chosen.insert(info.peer_address.clone(), info);
    }
    chosen.into_values().collect()
}

impl super::Peers {
    /// Returns a random sample of the known peers.
    fn sample(&self, count: usize) -> Vec<NodeInfo> {
        self.lock()
            .all()
            .into_iter()
            .choose_multiple(&mut rand::rng(), count)
    }

    fn count(&self) -> usize {
        self.lock().count()
    }

    fn record_call_started(&self, peer: &NodeInfo, now: TimeMs) {
        let instance = peer.id.as_ref().map_or("", |id| id.instance.as_str());
        self.lock().record_call_started(instance, now);
    }

    fn record_call(&self, instance: &str, answered: bool, now: TimeMs) {
        self.lock().record_call(instance, answered, now);
    }

    fn record_heartbeat(&self, info: NodeInfo, now: TimeMs) {
        self.lock().record_heartbeat(info, now);
    }

    fn add_known(&self, info: NodeInfo, now: TimeMs) {
        self.lock().add_known(info, now);
    }
}
