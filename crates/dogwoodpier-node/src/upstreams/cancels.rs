//! Sends cancels until engines acknowledge them, and releases reservations at coordinators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;

use dogwoodpier_core::holds::HoldId;
use dogwoodpier_proto::ReleaseItem;
use dogwoodpier_proto::ReleaseRequest;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::wire::CancelRequest;

use crate::clock;
use crate::coordinator;
use crate::counters;
use crate::state::SharedNode;

use super::lock;

const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends due cancels and releases. Never returns.
pub async fn run(node: &SharedNode) {
    loop {
        let now = clock::now();
        let due = lock(&node.upstreams.ledger).due_cancels(now);
        for (engine, hold) in due {
            // Each cancel runs in its own task and has a timeout, so an unresponsive engine delays
            // only its own cancels.
            tokio::spawn(send_cancel(node.clone(), engine, hold));
        }
        let releases = std::mem::take(&mut *lock(&node.upstreams.releases));
        if !releases.is_empty() {
            tokio::spawn(send_releases(node.clone(), releases));
        }
        let wait = lock(&node.upstreams.ledger)
            .next_due_ms()
            .map_or(IDLE_INTERVAL, |due_ms| {
                Duration::from_millis(due_ms.remaining(clock::now()).max(1))
            });
        tokio::select! {
            () = node.upstreams.wake.notified() => {}
            () = tokio::time::sleep(wait) => remove_stale_state(node),
        }
    }
}

// Drops pending cancels of engines that are no longer in the directory: the state of their holds
// has gone with them. Also drops idle links.
fn remove_stale_state(node: &SharedNode) {
    let directory = node.upstreams.directory();
    lock(&node.upstreams.ledger).retain_engines(|engine| directory.contains(engine));
    lock(&node.upstreams.links).remove_idle(clock::now());
}

async fn send_cancel(node: SharedNode, engine_name: Arc<str>, hold: HoldId) {
    let Some(engine) = node.upstreams.engine(&engine_name) else {
        return;
    };
    let request = CancelRequest {
        hold: hold.to_string().into(),
    };
    let result = engine.client.cancel(&request).await;
    let outcome = match &result {
        Ok(_) => "acknowledged",
        // A cancel of a hold that the engine does not have counts as acknowledged.
        Err(EngineError::Gone(_)) => "gone",
        Err(_) => "error",
    };
    counter!(counters::HOLD_CANCELS_TOTAL, "result" => outcome).increment(1);
    if outcome != "error" {
        lock(&node.upstreams.ledger).handle_cancel_ack(&engine_name, hold);
        if node.upstreams.is_decode(&engine_name) {
            node.upstreams.release(&engine_name, hold);
        }
    }
}

async fn send_releases(node: SharedNode, items: Vec<ReleaseItem>) {
    let mut by_coordinator: BTreeMap<String, Vec<ReleaseItem>> = BTreeMap::new();
    for item in items {
        let coordinator = coordinator::coordinator_of(&node, &item.engine);
        let address = coordinator.map_or_else(String::new, |info| info.peer_address);
        by_coordinator.entry(address).or_default().push(item);
    }
    for (address, items) in by_coordinator {
        let request = ReleaseRequest {
            sender: Some(node.id()),
            items,
        };
        if address.is_empty() {
            node.coordinator.release(request, clock::now());
            continue;
        }
        // If the release is lost, the coordinator's audit of the engine removes the reservation.
        let _ = node
            .peers
            .transport()
            .call(
                "release",
                &address,
                request,
                |mut client, request| async move { client.release(request).await },
            )
            .await;
    }
}
