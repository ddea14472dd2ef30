//! A request that crashes each upstream that runs it is quarantined in the whole fleet after a few
//! crashes, and requests that run at the same time are answered.

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http::StatusCode;

use dogwoodpier_core::RefusalReason;
use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::StreamedAnswer;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::engine::text::CRASH_DECODE_MARKER;
use dogwoodpier_fakes::engine::text::CRASH_MARKER;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::EXAMPLE_DECLARATIONS;
use dogwoodpier_fakes::fleet::EXAMPLE_MODEL_KEY;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::service;
use dogwoodpier_fakes::service::ServiceStats;

const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
// Number of engines of each role, and of services.
const UPSTREAMS_PER_POOL: usize = 6;
const ORDINARY_REQUESTS: usize = 24;
const MAX_TOKENS: u64 = 40;
// Many times the duration of a local call, but less than the nodes' timeout for calls to peers.
const PEER_DELAY_MS: u64 = 150;
// A prompt causes one crash before it is a suspect, one as the only copy that runs, and one while no
// other suspect of two crashes runs. An order is quarantined after the same number of crashes.
const MAX_CRASHES: usize = 3;

fn plan() -> FleetPlan {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_dogwoodpier"), NODES.len(), 2);
    for number in 1..=UPSTREAMS_PER_POOL {
        let prefill = EngineOptions::new(EngineRole::Prefill);
        let decode = EngineOptions::new(EngineRole::Decode);
        plan = plan
            .engine(&format!("prefill-{number}"), "quotes-prefill", prefill)
            .engine(&format!("decode-{number}"), "quotes-decode", decode);
    }
    plan.declarations = EXAMPLE_DECLARATIONS.to_owned();
    plan
}

async fn complete(fleet: &Fleet, node: &str, prompt: &str) -> StreamedAnswer {
    let caller = TestClient::new(fleet.node(node).caller_address, Some(EXAMPLE_MODEL_KEY));
    let completion = Completion {
        model: "quotes".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: MAX_TOKENS,
        deadline_ms: None,
    };
    caller.complete(&completion).await
}

async fn count_crashed(fleet: &Fleet) -> usize {
    let mut crashed = 0;
    for pool in ["quotes-prefill", "quotes-decode"] {
        for engine in fleet.pool(pool) {
            let stats = fleet.stats::<EngineStats>(&engine).await;
            crashed += usize::from(stats.is_err());
        }
    }
    crashed
}

fn rejection_code(answer: &StreamedAnswer) -> Option<String> {
    answer
        .refused
        .as_ref()
        .map(|rejection| rejection.code.clone())
}

async fn assert_prompt_quarantined(marker: &str) {
    let fleet = Fleet::start(plan()).await.expect("the fleet starts");
    let poison = format!("tender {marker}");
    let prompts: Vec<String> = (0..ORDINARY_REQUESTS)
        .map(|number| format!("tender {number}"))
        .collect();
    let ordinary = join_all(
        prompts
            .iter()
            .enumerate()
            .map(|(number, prompt)| complete(&fleet, NODES[number % NODES.len()], prompt)),
    );
    let (poisoned, ordinary) = tokio::join!(complete(&fleet, NODES[0], &poison), ordinary);
    assert!(!poisoned.is_complete(), "{poisoned:?}");
    for (prompt, answer) in prompts.iter().zip(&ordinary) {
        assert!(answer.is_complete(), "{prompt}: {answer:?}");
        assert_eq!(answer.text(), expected_answer(prompt, MAX_TOKENS));
    }

    // The caller repeats the request through all nodes at the same time.
    let quarantined =
        serde_json::to_value(RefusalReason::Quarantined).expect("the reason is serialized");
    for _ in 0..2 {
        let again = join_all(NODES.map(|node| complete(&fleet, node, &poison))).await;
        for answer in again {
            assert_eq!(
                rejection_code(&answer).as_deref(),
                quarantined.as_str(),
                "{answer:?}"
            );
        }
    }
    let crashed = count_crashed(&fleet).await;
    assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
}

#[tokio::test]
async fn prompt_that_crashes_prefill_engines_is_quarantined() {
    assert_prompt_quarantined(CRASH_MARKER).await;
}

#[tokio::test]
async fn prompt_that_crashes_decode_engines_is_quarantined() {
    assert_prompt_quarantined(CRASH_DECODE_MARKER).await;
}

async fn assert_order_quarantined(mut plan: FleetPlan) {
    for number in 1..=UPSTREAMS_PER_POOL {
        plan = plan.service(&format!("orders-{number}"), "order-service");
    }
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let body = Bytes::from(format!("{{\"order\":\"{}\"}}", service::CRASH_MARKER));
    let mut statuses = Vec::new();
    for attempt in 0..MAX_CRASHES * 2 {
        let node = fleet.node(NODES[attempt % NODES.len()]);
        let caller = TestClient::new(node.caller_address, Some(EXAMPLE_ORDER_KEY));
        let answer = caller
            .call(Method::POST, "/orders", &[], body.clone())
            .await;
        statuses.push(answer.expect("the node answers").status);
    }
    let expected = [
        [StatusCode::BAD_GATEWAY; MAX_CRASHES],
        [StatusCode::UNPROCESSABLE_ENTITY; MAX_CRASHES],
    ];
    assert_eq!(statuses, expected.concat());
    let mut crashed = 0;
    for service in fleet.pool("order-service") {
        crashed += usize::from(fleet.stats::<ServiceStats>(&service).await.is_err());
    }
    assert_eq!(crashed, MAX_CRASHES);
}

#[tokio::test]
async fn order_that_crashes_services_is_quarantined() {
    assert_order_quarantined(plan()).await;
}

// Each request is sent as soon as the previous one is answered, while calls between nodes are slow.
#[tokio::test]
async fn order_is_quarantined_despite_slow_peer_calls() {
    let mut plan = plan();
    plan.peer_delay_ms = PEER_DELAY_MS;
    assert_order_quarantined(plan).await;
}
