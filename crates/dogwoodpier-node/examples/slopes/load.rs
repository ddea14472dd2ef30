//! Sends a steady load of lookups, spread over all nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::Fleet;

use crate::declare;

/// Starts the load, which runs until the task is aborted.
pub fn start(fleet: &Fleet, requests_per_s: u32) -> JoinHandle<()> {
    let key = declare::key(0);
    let callers: Vec<Arc<TestClient>> = fleet
        .nodes()
        .values()
        .map(|node| Arc::new(TestClient::new(node.caller_address, Some(&key))))
        .collect();
    tokio::spawn(async move {
        if requests_per_s == 0 {
            return;
        }
        let mut interval = tokio::time::interval(Duration::from_secs(1) / requests_per_s);
        interval.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for caller in callers.iter().cycle() {
            interval.tick().await;
            let caller = caller.clone();
            tokio::spawn(async move {
                // Only the cost is measured here; a failed call shows in the counters.
                let _ = caller
                    .call(Method::GET, declare::LOOKUP_PATH, &[], Bytes::new())
                    .await;
            });
        }
    })
}
