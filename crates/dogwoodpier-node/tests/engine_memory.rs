//! No engine keeps memory for requests that are gone: callers leave, cancels are lost, transfers
//! stall and nodes die.

#[allow(dead_code)]
mod models;

use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::wait;

use crate::models::DECODES;
use crate::models::PREFILLS;
use crate::models::completion;

const LONG_ANSWER_TOKENS: u64 = 2_000;
const CALLERS: usize = 6;

async fn set_faults(fleet: &Fleet, engines: [&str; 2], faults: &EngineFaults) {
    for engine in engines {
        fleet.set_faults(engine, faults).await.expect("it answers");
    }
}

#[tokio::test]
async fn callers_that_leave_free_their_memory() {
    let fleet = Fleet::start(models::plan(2)).await.expect("it starts");
    let faults = EngineFaults {
        lose_cancels: 3,
        lose_cancel_answers: 3,
        ..EngineFaults::default()
    };
    set_faults(&fleet, PREFILLS, &faults).await;
    set_faults(&fleet, DECODES, &faults).await;
    let calls = (0..CALLERS).map(|number| {
        let caller = models::caller(&fleet, number);
        let completion = completion(&format!("tender {number}"), LONG_ANSWER_TOKENS);
        async move {
            let goes_on = |tokens| tokens < 5;
            caller.complete_with(&completion, goes_on).await
        }
    });
    for answer in futures_util::future::join_all(calls).await {
        assert!(answer.tokens.len() >= 5, "{answer:?}");
    }
    models::wait_nothing_held(&fleet).await;
    for node in fleet.nodes().values() {
        node.wait_for("no cancel is left", |dump| {
            dump["upstreams"]["cancels"] == 0 && dump["upstreams"]["holds"] == 0
        })
        .await
        .expect("cancels end");
    }
}

#[tokio::test]
async fn a_killed_node_leaves_nothing_behind() {
    let mut fleet = Fleet::start(models::plan(3)).await.expect("it starts");
    let caller = models::caller(&fleet, 0);
    let victim = fleet.nodes().keys().next().expect("it has nodes").clone();
    let calls: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = caller.clone();
            let completion = completion(&format!("tender {number}"), LONG_ANSWER_TOKENS);
            tokio::spawn(async move { caller.complete(&completion).await })
        })
        .collect();
    models::wait_decoding(&fleet, CALLERS as u64).await;
    fleet.node_mut(&victim).kill().await.expect("it dies");
    for call in calls {
        let answer = call.await.expect("the caller ends");
        assert!(!answer.is_complete(), "a cut stream must not look whole");
    }
    models::wait_nothing_held(&fleet).await;
}

#[tokio::test]
async fn a_stalled_transfer_is_given_up() {
    let mut plan = models::plan(1);
    plan.declarations = plan
        .declarations
        .replace("progress_timeout_ms = 5_000", "progress_timeout_ms = 1_000");
    let fleet = Fleet::start(plan).await.expect("it starts");
    let stall = EngineFaults {
        stall_transfers: true,
        ..EngineFaults::default()
    };
    set_faults(&fleet, PREFILLS, &stall).await;
    let caller = models::caller(&fleet, 0);
    let completion = completion("tender", 10);
    let call = tokio::spawn(async move { caller.complete(&completion).await });
    wait::until("a second prefill follows the stalled transfer", || async {
        let mut prefills = 0;
        for engine in PREFILLS {
            if let Ok(stats) = fleet.stats::<EngineStats>(engine).await {
                prefills += stats.prefills;
            }
        }
        prefills >= 2
    })
    .await
    .expect("the stall is noticed");
    set_faults(&fleet, PREFILLS, &EngineFaults::default()).await;
    let answer = call.await.expect("the caller ends");
    assert!(answer.is_complete(), "{answer:?}");
    models::wait_nothing_held(&fleet).await;
}
