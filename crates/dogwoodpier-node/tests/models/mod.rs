//! A fleet with a model, for the tests of answers and engine memory.

use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::wait;

pub const KEY: &str = "sales-key";
pub const PREFILLS: [&str; 2] = ["prefill-1", "prefill-2"];
pub const DECODES: [&str; 2] = ["decode-1", "decode-2"];

/// Returns a fleet of some nodes with two engines of each kind.
pub fn plan(nodes: usize) -> FleetPlan {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_dogwoodpier"), nodes, 2);
    for name in PREFILLS {
        let options = EngineOptions::new(EngineRole::Prefill);
        plan = plan.engine(name, "quotes-prefill", options);
    }
    for name in DECODES {
        let options = EngineOptions::new(EngineRole::Decode);
        plan = plan.engine(name, "quotes-decode", options);
    }
    // Rates that no test here comes near.
    plan.declarations = include_str!("../../../../examples/declarations.toml")
        .replace(
            "rate_tokens_per_s = 20_000\n",
            "rate_tokens_per_s = 20_000_000\n",
        )
        .replace("burst_tokens = 80_000\n", "burst_tokens = 80_000_000\n");
    plan
}

/// Returns a caller at each node in turn.
pub fn caller(fleet: &Fleet, number: usize) -> TestClient {
    let nodes: Vec<_> = fleet.nodes().values().collect();
    TestClient::new(nodes[number % nodes.len()].caller_address, Some(KEY))
}

/// Returns a request for an answer of `max_tokens`.
pub fn completion(prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        model: "quotes".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        deadline_ms: None,
    }
}

/// Waits until no engine holds anything.
pub async fn wait_nothing_held(fleet: &Fleet) {
    wait::until("no engine holds anything", || async {
        for engine in PREFILLS.into_iter().chain(DECODES) {
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
    .expect("memory ends with its request");
}

/// Waits until engines decode at least `sequences`.
pub async fn wait_decoding(fleet: &Fleet, sequences: u64) {
    wait::until("engines decode", || async {
        let mut started = 0;
        for engine in DECODES {
            if let Ok(stats) = fleet.stats::<EngineStats>(engine).await {
                started += stats.started_decodes;
            }
        }
        started >= sequences
    })
    .await
    .expect("the decodes start");
}
