//! Each of several nodes serves model requests and orders from the caller to the upstream and back.

use http::Method;
use http::StatusCode;

use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::EXAMPLE_MODEL_KEY;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::service::ServiceStats;

const MAX_TOKENS: u64 = 20;

#[tokio::test]
async fn each_node_serves_completions_and_orders() {
    let fleet = Fleet::start(FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 3))
        .await
        .expect("the fleet starts");
    for (number, node) in fleet.nodes().values().enumerate() {
        let caller = TestClient::new(node.caller_address, Some(EXAMPLE_MODEL_KEY));
        let prompt = format!("tender number {number}");
        let answer = caller
            .complete(&Completion {
                model: "quotes".to_owned(),
                prompt: prompt.clone(),
                max_tokens: MAX_TOKENS,
                deadline_ms: None,
            })
            .await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), expected_answer(&prompt, MAX_TOKENS));

        let order = format!("order {number}");
        let key = format!("order-key-{number}");
        let headers = [("idempotency-key", key.as_str())];
        let order_caller = TestClient::new(node.caller_address, Some(EXAMPLE_ORDER_KEY));
        let answer = order_caller
            .call(Method::POST, "/orders", &headers, order.into())
            .await
            .expect("the node answers");
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }

    let service: ServiceStats = fleet.stats("orders-1").await.expect("the service answers");
    assert_eq!(service.runs, 3);
    assert!(service.runs_by_body.values().all(|runs| *runs == 1));
    let mut held = Vec::new();
    for engine in ["prefill-1", "decode-1", "decode-2"] {
        let stats: EngineStats = fleet.stats(engine).await.expect("the engine answers");
        held.push(stats.holds);
    }
    assert_eq!(held, [0, 0, 0]);
}
