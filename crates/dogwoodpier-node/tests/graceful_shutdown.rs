//! A node that shuts down gracefully completes its requests in flight, and an upstream that is
//! leaving gets no new requests.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http::StatusCode;
use tokio::task::JoinHandle;

use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::StreamedAnswer;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::EXAMPLE_MODEL_KEY;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::NodeProcess;
use dogwoodpier_fakes::service::ServiceFaults;
use dogwoodpier_fakes::service::ServiceStats;
use dogwoodpier_platform::wire::InstanceState;

const STREAMS: usize = 12;
const ORDERS: usize = 6;
const MAX_TOKENS: u64 = 60;
const ORDER_DELAY_MS: u64 = 800;

fn completion(number: usize) -> Completion {
    Completion {
        model: "quotes".to_owned(),
        prompt: format!("tender number {number}"),
        max_tokens: MAX_TOKENS,
        deadline_ms: None,
    }
}

fn start_streams(
    node: &NodeProcess,
    numbers: std::ops::Range<usize>,
) -> Vec<JoinHandle<StreamedAnswer>> {
    let caller = Arc::new(TestClient::new(
        node.caller_address,
        Some(EXAMPLE_MODEL_KEY),
    ));
    numbers
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.complete(&completion(number)).await })
        })
        .collect()
}

async fn assert_complete(streams: Vec<JoinHandle<StreamedAnswer>>, first_number: usize) {
    for (index, stream) in join_all(streams).await.into_iter().enumerate() {
        let answer = stream.expect("the caller doesn't panic");
        assert!(answer.is_complete(), "{answer:?}");
        let prompt = completion(first_number + index).prompt;
        assert_eq!(answer.text(), expected_answer(&prompt, MAX_TOKENS));
    }
}

async fn start_order(node: &NodeProcess, number: usize) -> JoinHandle<StatusCode> {
    let caller = TestClient::new(node.caller_address, Some(EXAMPLE_ORDER_KEY));
    tokio::spawn(async move {
        let body = Bytes::from(format!("{{\"order\":{number}}}"));
        let answer = caller.call(Method::POST, "/orders", &[], body).await;
        answer.expect("the order is answered").status
    })
}

#[tokio::test]
async fn graceful_shutdown_completes_requests_in_flight() {
    let plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 2);
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let slow = ServiceFaults {
        delay_ms: ORDER_DELAY_MS,
        ..ServiceFaults::default()
    };
    fleet
        .set_faults("orders-1", &slow)
        .await
        .expect("the service takes faults");

    let leaving = fleet.node("node-1");
    let streams = start_streams(leaving, 0..STREAMS);
    let mut orders = Vec::new();
    for number in 0..ORDERS {
        orders.push(start_order(leaving, number).await);
    }
    let all_in_flight =
        |dump: &serde_json::Value| dump["in_flight"].as_u64() >= Some((STREAMS + ORDERS) as u64);
    leaving
        .wait_for("all requests are in flight", all_in_flight)
        .await
        .expect("the node has them in flight");
    leaving.terminate().expect("the process takes a signal");
    leaving
        .wait_for("the node drains", |dump| dump["draining"] == true)
        .await
        .expect("the node starts draining");
    assert_eq!(
        leaving.operator_status("/ready").await,
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );

    assert_complete(streams, 0).await;
    for order in join_all(orders).await {
        assert_eq!(order.expect("the caller doesn't panic"), StatusCode::OK);
    }
    let status = fleet
        .node_mut("node-1")
        .wait_exit()
        .await
        .expect("the node's process exits");
    assert!(status.success(), "{status}");
    let stats: ServiceStats = fleet.stats("orders-1").await.expect("the service answers");
    assert_eq!(stats.runs, ORDERS as u64);
    // The other node has taken over the slots of the stopped one and serves requests.
    assert_complete(start_streams(fleet.node("node-2"), 100..101), 100).await;
}

#[tokio::test]
async fn leaving_upstream_gets_no_new_requests() {
    let plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 2);
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let earlier_streams = start_streams(fleet.node("node-1"), 0..STREAMS);
    fleet
        .set_state("decode-1", InstanceState::Leaving)
        .await
        .expect("the list changes");
    for node in fleet.nodes().values() {
        let sees_leaving = |dump: &serde_json::Value| {
            let upstreams = dump["upstreams"]["upstreams"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            upstreams
                .iter()
                .any(|u| u["name"] == "decode-1" && u["state"] == "leaving")
        };
        node.wait_for("the node knows that decode-1 is leaving", sees_leaving)
            .await
            .expect("the node learns of it");
    }
    // Requests that chose decode-1 before the node knew may still start there, so the counter is
    // read after those requests have ended.
    assert_complete(earlier_streams, 0).await;
    let started = |stats: EngineStats| stats.started_decodes;
    let before = started(fleet.stats("decode-1").await.expect("the engine answers"));

    assert_complete(start_streams(fleet.node("node-1"), 0..STREAMS), 0).await;
    assert_complete(start_streams(fleet.node("node-2"), 0..STREAMS), 0).await;
    let after = started(fleet.stats("decode-1").await.expect("the engine answers"));
    assert_eq!(after, before);
}
