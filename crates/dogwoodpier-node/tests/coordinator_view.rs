//! The coordinator of an engine has lost contact with it, and other nodes haven't. Requests through
//! them are served: that one node can't reach an engine doesn't mean that the engine is gone.

#[allow(dead_code)]
mod models;

use dogwoodpier_core::rendezvous;
use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;

use crate::models::completion;

const NODES: [&str; 2] = ["node-1", "node-2"];
const COORDINATOR: usize = 1;
const ENGINES: usize = 2;
// Far longer than a request takes here, so that the coordinator gets no load report meanwhile.
const COORDINATOR_SETTINGS: &str = "[tuning]\nload_interval_ms = 10_000\n";
// An answer that has begun waits for an engine until its deadline. It has to end before the coordinator
// gets a load report, after which it knows its engines again.
const CUT_DEADLINE_MS: u64 = 2_000;
// The coordinator receives load reports now and then.
const MAX_ROUNDS: usize = 5;

// Returns names of engines whose coordinator is the second node.
fn engine_names() -> Vec<String> {
    let names = (0..).map(|number| format!("decode-{number}"));
    let names = names.filter(|name| rendezvous::pick(name, NODES) == Some(NODES[COORDINATOR]));
    names.take(ENGINES).collect()
}

fn plan(engines: &[String]) -> FleetPlan {
    let mut plan = models::plan(NODES.len());
    plan.upstreams
        .retain(|upstream| upstream.pool != "quotes-decode");
    for name in engines {
        let options = EngineOptions::new(EngineRole::Decode);
        plan = plan.engine(name, "quotes-decode", options);
    }
    plan.nodes[COORDINATOR].settings = COORDINATOR_SETTINGS.to_owned();
    plan
}

async fn has_lost_engines(fleet: &Fleet, engines: &[String]) -> bool {
    let dump = fleet.node(NODES[COORDINATOR]).dump().await;
    let dump = dump.expect("the node answers");
    let upstreams = dump["upstreams"]["upstreams"].as_array().cloned();
    let healthy = upstreams
        .unwrap_or_default()
        .into_iter()
        .filter(|upstream| {
            let is_engine = engines.iter().any(|engine| upstream["name"] == **engine);
            is_engine && upstream["healthy"] == true
        });
    healthy.count() == 0
}

#[tokio::test]
async fn engine_that_only_its_coordinator_has_lost_is_used() {
    let engines = engine_names();
    let fleet = Fleet::start(plan(&engines))
        .await
        .expect("the fleet starts");
    let cut = EngineFaults {
        cut_streams: 1,
        cut_after_tokens: 1,
        ..EngineFaults::default()
    };
    for round in 0..MAX_ROUNDS {
        for engine in &engines {
            let set = fleet.set_faults(engine, &cut).await;
            set.expect("the engine answers");
        }
        // The coordinator loses both engines by this request.
        let mut request = completion(&format!("cut {round}"), 10);
        request.deadline_ms = Some(CUT_DEADLINE_MS);
        models::caller(&fleet, COORDINATOR).complete(&request).await;
        for engine in &engines {
            let set = fleet.set_faults(engine, &EngineFaults::default()).await;
            set.expect("the engine answers");
        }
        if !has_lost_engines(&fleet, &engines).await {
            continue;
        }
        let request = completion(&format!("tender {round}"), 10);
        let answer = models::caller(&fleet, 0).complete(&request).await;
        assert!(answer.is_complete(), "{answer:?}");
        return;
    }
    panic!("the coordinator never lost its engines");
}
