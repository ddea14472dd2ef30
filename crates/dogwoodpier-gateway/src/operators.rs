//! Data for operators: metrics and a dump of the instance's state.

use dogwoodpier_process::clock;
use dogwoodpier_process::recorder;

use crate::counters;
use crate::readiness;
use crate::state::Gateway;

/// Returns all metrics in the Prometheus text format.
pub fn metrics(gateway: &Gateway) -> String {
    metrics::gauge!(counters::LOG_LINES_LOST).set(gateway.events.lines_lost() as f64);
    let held = gateway.client_budget.held();
    metrics::gauge!(counters::HELD_BYTES, "purpose" => "request").set(held.request_bytes as f64);
    metrics::gauge!(counters::HELD_BYTES, "purpose" => "response").set(held.response_bytes as f64);
    let connections = gateway.client_budget.clients.len();
    metrics::gauge!(counters::CLIENT_CONNECTIONS).set(connections as f64);
    recorder::render()
}

/// Returns the routing state of the instance as JSON.
pub fn state(gateway: &Gateway) -> String {
    let now = clock::now();
    let configuration = gateway.configuration.load();
    let unmet_conditions = readiness::unmet_conditions(gateway);
    // Before the routing state is locked: requests lock it while they hold the lock on the queues.
    let mut lengths = gateway.queues.lengths();
    lengths.append(&mut gateway.plain_queues.lengths());
    let state = gateway.state();
    let membership = state.peer_reports.membership(now);
    let upstreams: Vec<serde_json::Value> = state
        .upstreams
        .all()
        .map(|upstream| {
            let own = state
                .own_load
                .get(&upstream.id)
                .copied()
                .unwrap_or_default();
            serde_json::json!({
                "id": &*upstream.id,
                "service": &*upstream.service,
                "address": upstream.address.to_string(),
                "accepts_work": upstream.accepts_work,
                "avoided": state.health.is_avoided(&upstream.id, now),
                "limit_per_s": state.upstream_limits.send_limit(upstream, now).map(|limit| limit.rate_per_s),
                "cold_ms": state.upstream_limits.cold.remaining_ms(upstream, now),
                "success": state.health.success_rate(&upstream.id, now),
                "own_use": own,
                "peers_use": state.peer_reports.peer_load(&upstream.id, now),
            })
        })
        .collect();
    let queues: Vec<serde_json::Value> = lengths
        .iter()
        .map(|(service, length)| serde_json::json!({ "service": &**service, "waiting": length }))
        .collect();
    serde_json::json!({
        "instance": &*gateway.settings.load().instance,
        "incarnation": gateway.incarnation,
        "configuration_version": configuration.as_ref().map(|current| current.version),
        "store_era": *gateway.store.era().borrow(),
        "evacuated": state.upstreams.evacuations.data_centres().collect::<Vec<_>>(),
        "quarantined_requests": gateway.quarantine.len(),
        "quarantined_parts": gateway.quarantine.parts.quarantined(),
        "members": membership.members,
        "heard": membership.reachable,
        "unmet_conditions": unmet_conditions,
        "upstreams_reachable": !state.partition.is_partitioned(),
        "in_flight": gateway.drain.in_flight(),
        "draining": gateway.drain.is_draining(),
        "upstreams": upstreams,
        "lines": queues,
    })
    .to_string()
}
