//! No engine keeps memory for requests that have ended: callers disconnect, cancels are lost,
//! transfers stall and nodes are killed.

#[allow(dead_code)]
mod models;

use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::wait;

use crate::models::DECODE_ENGINES;
use crate::models::PREFILL_ENGINES;
use crate::models::completion;

const LONG_ANSWER_TOKENS: u64 = 2_000;
const CALLERS: usize = 6;

async fn set_faults(fleet: &Fleet, engines: [&str; 2], faults: &EngineFaults) {
    for engine in engines {
        fleet
            .set_faults(engine, faults)
            .await
            .expect("the engine answers");
    }
}

#[tokio::test]
async fn disconnecting_callers_release_engine_memory() {
    let fleet = Fleet::start(models::plan(2))
        .await
        .expect("the fleet starts");
    let faults = EngineFaults {
        lose_cancels: 3,
        lose_cancel_answers: 3,
        ..EngineFaults::default()
    };
    set_faults(&fleet, PREFILL_ENGINES, &faults).await;
    set_faults(&fleet, DECODE_ENGINES, &faults).await;
    let calls = (0..CALLERS).map(|number| {
        let caller = models::caller(&fleet, number);
        let completion = completion(&format!("tender {number}"), LONG_ANSWER_TOKENS);
        async move {
            let keep_reading = |tokens| tokens < 5;
            caller.complete_with(&completion, keep_reading).await
        }
    });
    for answer in futures_util::future::join_all(calls).await {
        assert!(answer.tokens.len() >= 5, "{answer:?}");
    }
    models::wait_for_no_holds(&fleet).await;
    for node in fleet.nodes().values() {
        node.wait_for("no cancel or hold is pending", |dump| {
            dump["upstreams"]["cancels"] == 0 && dump["upstreams"]["holds"] == 0
        })
        .await
        .expect("cancels and holds are cleared");
    }
}

#[tokio::test]
async fn killed_node_leaves_no_engine_memory_in_use() {
    let mut fleet = Fleet::start(models::plan(3))
        .await
        .expect("the fleet starts");
    let caller = models::caller(&fleet, 0);
    let killed_node = fleet
        .nodes()
        .keys()
        .next()
        .expect("the fleet has nodes")
        .clone();
    let calls: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = caller.clone();
            let completion = completion(&format!("tender {number}"), LONG_ANSWER_TOKENS);
            tokio::spawn(async move { caller.complete(&completion).await })
        })
        .collect();
    models::wait_for_decodes(&fleet, CALLERS as u64).await;
    fleet
        .node_mut(&killed_node)
        .kill()
        .await
        .expect("the node is killed");
    for call in calls {
        let answer = call.await.expect("the caller's task completes");
        assert!(!answer.is_complete(), "a cut stream must not look complete");
    }
    models::wait_for_no_holds(&fleet).await;
}

#[tokio::test]
async fn stalled_transfer_is_abandoned_and_retried() {
    let mut plan = models::plan(1);
    plan.declarations = plan
        .declarations
        .replace("progress_timeout_ms = 5_000", "progress_timeout_ms = 1_000");
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let stall = EngineFaults {
        stall_transfers: true,
        ..EngineFaults::default()
    };
    set_faults(&fleet, PREFILL_ENGINES, &stall).await;
    let caller = models::caller(&fleet, 0);
    let completion = completion("tender", 10);
    let call = tokio::spawn(async move { caller.complete(&completion).await });
    wait::until("a second prefill follows the stalled transfer", || async {
        let mut prefills = 0;
        for engine in PREFILL_ENGINES {
            if let Ok(stats) = fleet.stats::<EngineStats>(engine).await {
                prefills += stats.prefills;
            }
        }
        prefills >= 2
    })
    .await
    .expect("the stalled transfer is abandoned");
    set_faults(&fleet, PREFILL_ENGINES, &EngineFaults::default()).await;
    let answer = call.await.expect("the caller's task completes");
    assert!(answer.is_complete(), "{answer:?}");
    models::wait_for_no_holds(&fleet).await;
}
