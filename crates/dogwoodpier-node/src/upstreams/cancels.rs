//! Sends cancels until engines acknowledge them, and gives reservations back to coordinators.

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

const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Sends what is due, forever.
pub async fn run(node: &SharedNode) {
    loop {
        let now = clock::now();
        let due = lock(&node.upstreams.ledger).due_cancels(now);
        for (engine, hold) in due {
            // Each call has a timeout, so a silent engine delays only its own cancels.
            tokio::spawn(cancel(node.clone(), engine, hold));
        }
        let releases = std::mem::take(&mut *lock(&node.upstreams.releases));
        if !releases.is_empty() {
            tokio::spawn(release(node.clone(), releases));
        }
        let pause = lock(&node.upstreams.ledger)
            .next_due_ms()
            .map_or(IDLE_PAUSE, |due_ms| {
                Duration::from_millis(due_ms.remaining(clock::now()).max(1))
            });
        tokio::select! {
            () = node.upstreams.wake.notified() => {}
            () = tokio::time::sleep(pause) => forget_gone(node),
        }
    }
}

// Memory of an engine that has gone for good is gone with it.
fn forget_gone(node: &SharedNode) {
    let directory = node.upstreams.directory();
    lock(&node.upstreams.ledger).retain_engines(|engine| directory.contains(engine));
    lock(&node.upstreams.links).remove_idle(clock::now());
}

async fn cancel(node: SharedNode, engine_name: Arc<str>, hold: HoldId) {
    let Some(engine) = node.upstreams.engine(&engine_name) else {
        return;
    };
    let request = CancelRequest {
        hold: hold.to_string().into(),
    };
    let result = engine.client.cancel(&request).await;
    let outcome = match &result {
        Ok(_) => "acknowledged",
        // An engine that says it no longer has the hold has acknowledged as well.
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

async fn release(node: SharedNode, items: Vec<ReleaseItem>) {
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
        // A lost release is made good by the coordinator's audit of the engine.
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
