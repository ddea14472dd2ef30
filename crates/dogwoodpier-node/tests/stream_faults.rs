//! Callers get complete answers with each token once, while engines cut streams, send tokens of
//! other requests, repeat tokens and are killed.

#[allow(dead_code)]
mod models;

use futures_util::future::join_all;

use dogwoodpier_fakes::caller::StreamedAnswer;
use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::Fleet;

use crate::models::DECODE_ENGINES;
use crate::models::completion;

const CALLERS: usize = 12;
const MAX_TOKENS: u64 = 60;

async fn complete_all(fleet: &Fleet) -> Vec<(String, StreamedAnswer)> {
    let calls = (0..CALLERS).map(|number| async move {
        let prompt = format!("tender {number}: a fence of {number} km");
        let caller = models::caller(fleet, number);
        let answer = caller.complete(&completion(&prompt, MAX_TOKENS)).await;
        (prompt, answer)
    });
    join_all(calls).await
}

fn assert_complete(answers: &[(String, StreamedAnswer)]) {
    for (prompt, answer) in answers {
        assert!(answer.is_complete(), "{prompt}: {answer:?}");
        assert_eq!(answer.text(), expected_answer(prompt, MAX_TOKENS));
    }
}

#[tokio::test]
async fn cut_and_crossed_streams_are_resumed() {
    let fleet = Fleet::start(models::plan(2))
        .await
        .expect("the fleet starts");
    for engine in DECODE_ENGINES {
        let faults = EngineFaults {
            cross_tokens: 7,
            duplicate_tokens: 40,
            cut_after_tokens: 11,
            cut_streams: 8,
            ..EngineFaults::default()
        };
        fleet
            .set_faults(engine, &faults)
            .await
            .expect("the engine answers");
    }
    let answers = complete_all(&fleet).await;
    assert_complete(&answers);
    let mut started = 0;
    for engine in DECODE_ENGINES {
        let stats: EngineStats = fleet.stats(engine).await.expect("the engine answers");
        started += stats.started_decodes;
    }
    assert!(started > CALLERS as u64, "no stream was cut");
    models::wait_for_no_holds(&fleet).await;
}

#[tokio::test]
async fn killed_engine_loses_no_answer() {
    let mut fleet = Fleet::start(models::plan(2))
        .await
        .expect("the fleet starts");
    let prompts: Vec<String> = (0..CALLERS)
        .map(|number| format!("season {number}"))
        .collect();
    let calls: Vec<_> = prompts
        .iter()
        .enumerate()
        .map(|(number, prompt)| {
            let caller = models::caller(&fleet, number);
            let completion = completion(prompt, MAX_TOKENS);
            tokio::spawn(async move { caller.complete(&completion).await })
        })
        .collect();
    models::wait_for_decodes(&fleet, CALLERS as u64).await;
    fleet
        .kill_upstream(DECODE_ENGINES[0])
        .await
        .expect("the engine is killed");
    for (prompt, call) in prompts.iter().zip(calls) {
        let answer = call.await.expect("the caller's task completes");
        assert!(answer.is_complete(), "{prompt}: {answer:?}");
        assert_eq!(answer.text(), expected_answer(prompt, MAX_TOKENS));
    }
    fleet
        .restart_upstream(DECODE_ENGINES[0])
        .await
        .expect("the engine starts again");
    models::wait_for_no_holds(&fleet).await;
}

#[tokio::test]
async fn answer_that_cannot_be_completed_ends_with_an_error() {
    let fleet = Fleet::start(models::plan(1))
        .await
        .expect("the fleet starts");
    for engine in DECODE_ENGINES {
        let faults = EngineFaults {
            cut_after_tokens: 2,
            cut_streams: u32::MAX,
            ..EngineFaults::default()
        };
        fleet
            .set_faults(engine, &faults)
            .await
            .expect("the engine answers");
    }
    let answer = models::caller(&fleet, 0)
        .complete(&completion("tender", MAX_TOKENS))
        .await;
    assert!(!answer.is_complete());
    let expected = expected_answer("tender", MAX_TOKENS);
    assert!(expected.starts_with(&answer.text()), "not a prefix");
    let rejection = answer.refused.expect("the stream ends with an error");
    assert_eq!(
        (&*rejection.code, &*rejection.execution),
        ("upstream_failed", "ran")
    );
    models::wait_for_no_holds(&fleet).await;
}
