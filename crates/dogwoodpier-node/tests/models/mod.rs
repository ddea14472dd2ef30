//! A fleet plan with a model, and helpers for tests that send model requests.

use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::wait;

pub const KEY: &str = "sales-key";
pub const PREFILL_ENGINES: [&str; 2] = ["prefill-1", "prefill-2"];
pub const DECODE_ENGINES: [&str; 2] = ["decode-1", "decode-2"];

/// Returns the plan of a fleet with `nodes` nodes and two engines of each role.
pub fn plan(nodes: usize) -> FleetPlan {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_dogwoodpier"), nodes, 2);
    for name in PREFILL_ENGINES {
        let options = EngineOptions::new(EngineRole::Prefill);
        plan = plan.engine(name, "quotes-prefill", options);
    }
    for name in DECODE_ENGINES {
        let options = EngineOptions::new(EngineRole::Decode);
        plan = plan.engine(name, "quotes-decode", options);
    }
    // Rates high enough that no test is limited by them.
    plan.declarations = include_str!("../../../../examples/declarations.toml")
        .replace(
            "rate_tokens_per_s = 20_000\n",
            "rate_tokens_per_s = 20_000_000\n",
        )
        .replace("burst_tokens = 80_000\n", "burst_tokens = 80_000_000\n");
    plan
}

/// Returns a client of the node with index `number`, modulo the number of nodes.
pub fn caller(fleet: &Fleet, number: usize) -> TestClient {
    let nodes: Vec<_> = fleet.nodes().values().collect();
    TestClient::new(nodes[number % nodes.len()].caller_address, Some(KEY))
}

/// Returns a request for an answer of at most `max_tokens` tokens.
pub fn completion(prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        model: "quotes".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        deadline_ms: None,
    }
}

/// Waits until no engine has a hold.
pub async fn wait_for_no_holds(fleet: &Fleet) {
    wait::until("no engine has a hold", || async {
        for engine in PREFILL_ENGINES.into_iter().chain(DECODE_ENGINES) {
            let stats: EngineStats = match fleet.stats(engine).await {
                Ok(stats) => stats,
                Err(_) => return false,
            };
            if stats.holds > 0 {
                return false;
            }
        }
        true
    })
    .await
    .expect("holds are released when their request ends");
}

/// Waits until the decode engines have started at least `count` decodes.
pub async fn wait_for_decodes(fleet: &Fleet, count: u64) {
    wait::until("decodes are started", || async {
        let mut started = 0;
        for engine in DECODE_ENGINES {
            if let Ok(stats) = fleet.stats::<EngineStats>(engine).await {
                started += stats.started_decodes;
            }
        }
        started >= count
    })
    .await
    .expect("the decodes start");
}
