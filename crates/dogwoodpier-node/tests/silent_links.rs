//! Open connections from the nodes to the platform and the upstreams go silent for good without
//! being closed, while new ones work. Answers still complete, orders run once, and configuration
//! changes still reach the nodes.

#[allow(dead_code)]
mod models;

use bytes::Bytes;
use http::Method;
use http::StatusCode;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::service::ServiceStats;

use crate::models::completion;

const NODES: usize = 2;
const PROGRESS_TIMEOUT_MS: u64 = 500;
const ANSWER_TOKENS: u64 = 120;
const STREAMS: usize = 4;
/// Tokens that each caller has received when the connections go silent.
const TOKENS_BEFORE_SILENCE: usize = 5;
const ORDER_KEY: &str = "order-desk-key";

fn plan() -> FleetPlan {
    let mut plan = models::plan(NODES).service("orders-1", "order-service");
    plan.relays = true;
    plan.declarations = plan.declarations.replace(
        "progress_timeout_ms = 5_000",
        &format!("progress_timeout_ms = {PROGRESS_TIMEOUT_MS}"),
    );
    plan
}

/// Streams whose connection to the engine goes silent are resumed over new connections.
#[tokio::test]
async fn running_streams_are_completed() {
    let fleet = Fleet::start(plan()).await.expect("the fleet starts");
    let (started, mut starts) = tokio::sync::mpsc::unbounded_channel();
    let silence = async {
        for _ in 0..STREAMS {
            starts.recv().await.expect("all streams start");
        }
        fleet.silence_open_connections();
    };
    let streams = (0..STREAMS).map(|number| {
        let started = started.clone();
        let caller = models::caller(&fleet, number);
        async move {
            let prompt = format!("tender number {number}");
            let request = completion(&prompt, ANSWER_TOKENS);
            let answer = caller
                .complete_with(&request, |tokens| {
                    if tokens == TOKENS_BEFORE_SILENCE {
                        // The receiver is dropped once the connections are silent.
                        let _ = started.send(());
                    }
                    true
                })
                .await;
            (prompt, answer)
        }
    });
    let streams = futures_util::future::join_all(streams);
    // A stream that ends before it has started must not leave the others waiting for it.
    drop(started);
    let (answers, ()) = tokio::join!(streams, silence);
    for (prompt, answer) in answers {
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), expected_answer(&prompt, ANSWER_TOKENS));
    }
    models::wait_for_no_holds(&fleet).await;
}

/// Orders and lookups sent after the connections went silent are served. An order uses a connection
/// that no earlier call has used.
#[tokio::test]
async fn orders_and_lookups_are_served() {
    let fleet = Fleet::start(plan()).await.expect("the fleet starts");
    let callers: Vec<TestClient> = fleet
        .nodes()
        .values()
        .map(|node| TestClient::new(node.caller_address, Some(ORDER_KEY)))
        .collect();
    for (number, caller) in callers.iter().enumerate() {
        assert_eq!(
            order(caller, &format!("before-{number}")).await,
            StatusCode::OK
        );
        assert_eq!(lookup(caller).await, StatusCode::OK);
    }

    fleet.silence_open_connections();

    for (number, caller) in callers.iter().enumerate() {
        assert_eq!(
            order(caller, &format!("after-{number}")).await,
            StatusCode::OK
        );
        // A lookup over a silent connection may fail; this makes the node renew all connections.
        lookup(caller).await;
        assert_eq!(lookup(caller).await, StatusCode::OK);
    }
    let stats: ServiceStats = fleet.stats("orders-1").await.expect("the service answers");
    let orders: Vec<u64> = stats
        .runs_by_body
        .iter()
        .filter(|(call, _)| call.starts_with("POST"))
        .map(|(_, runs)| *runs)
        .collect();
    assert_eq!(orders, [1; 2 * NODES]);
}

/// A configuration change reaches nodes whose open connections to the platform are silent.
#[tokio::test]
async fn configuration_change_reaches_nodes() {
    let plan = plan();
    let fleet = Fleet::start(plan.clone()).await.expect("the fleet starts");
    let withdrawn = plan
        .declarations
        .replace("[keys.sales-2026]", "[keys.sales-2027]")
        .replace(
            "57e4022add8f9e5eaeb82ffb44d1fa57dce3b8b1777e4bac4d76180deceb274d",
            &"0".repeat(64),
        );

    fleet.silence_open_connections();

    let version = fleet
        .declare(&withdrawn, "The key was lost.")
        .await
        .expect("the change is accepted");
    for (number, node) in fleet.nodes().values().enumerate() {
        node.wait_for("the change is in force", |dump| {
            dump["config"]["version"] == version
        })
        .await
        .expect("the node applies the change");
        let answer = models::caller(&fleet, number)
            .complete(&completion("a tender", 1))
            .await;
        let rejection = answer.refused.expect("the key is withdrawn");
        assert_eq!(rejection.status, StatusCode::UNAUTHORIZED);
    }
}

async fn order(caller: &TestClient, text: &str) -> StatusCode {
    let headers = [("idempotency-key", text)];
    caller
        .call(Method::POST, "/orders", &headers, text.to_owned().into())
        .await
        .expect("the node answers")
        .status
}

async fn lookup(caller: &TestClient) -> StatusCode {
    caller
        .call(Method::GET, "/stock/wire", &[], Bytes::new())
        .await
        .expect("the node answers")
        .status
}
