//! Reservations fail: engines make them and the answers are lost, or they don't answer at all. A
//! request whose reservations have all failed is placed once an engine answers again. It needs
//! another hold then, because engines refuse one that was cancelled.

#[allow(dead_code)]
mod models;

use std::time::Duration;

use tokio::sync::Notify;

use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::Fleet;

use crate::models::DECODE_ENGINES;
use crate::models::completion;

const PROGRESS_TIMEOUT: &str = "progress_timeout_ms = 500";
const TOKENS: u64 = 200;
// Tokens that the caller has when the engines stop to answer.
const TOKENS_BEFORE_HANG: usize = 5;
// More than the timeout of a call to an engine.
const HANG_TIME: Duration = Duration::from_millis(1_200);
// More than the time for which a request waits for an engine of its pool before its answer has begun.
const LONG_HANG_TIME: Duration = Duration::from_millis(4_000);

async fn set_faults(fleet: &Fleet, faults: &EngineFaults) {
    for engine in DECODE_ENGINES {
        let set = fleet.set_faults(engine, faults).await;
        set.expect("the engine answers");
    }
}

async fn assert_resumed_after(hang_time: Duration) {
    let mut plan = models::plan(1);
    plan.declarations = plan
        .declarations
        .replace("progress_timeout_ms = 5_000", PROGRESS_TIMEOUT);
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let begun = Notify::new();
    let caller = models::caller(&fleet, 0);
    let request = completion("tender", TOKENS);
    let stream = caller.complete_with(&request, |tokens| {
        if tokens == TOKENS_BEFORE_HANG {
            begun.notify_one();
        }
        true
    });
    let hang = async {
        begun.notified().await;
        let hang = EngineFaults {
            hang: true,
            ..EngineFaults::default()
        };
        set_faults(&fleet, &hang).await;
        tokio::time::sleep(hang_time).await;
        set_faults(&fleet, &EngineFaults::default()).await;
    };
    let (answer, ()) = tokio::join!(stream, hang);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), expected_answer("tender", TOKENS));
    models::wait_for_no_holds(&fleet).await;
}

#[tokio::test]
async fn stream_is_resumed_after_reservations_without_answer() {
    assert_resumed_after(HANG_TIME).await;
}

/// An answer that has begun is not given up while its caller still waits: all engines counted as
/// unavailable for more than a second, and the stream ended as `no_upstream`.
#[tokio::test]
async fn stream_is_resumed_after_long_hang() {
    assert_resumed_after(LONG_HANG_TIME).await;
}

#[tokio::test]
async fn request_is_placed_after_lost_reservations() {
    let fleet = Fleet::start(models::plan(1))
        .await
        .expect("the fleet starts");
    let faults = EngineFaults {
        lose_reserve_answers: 1,
        ..EngineFaults::default()
    };
    set_faults(&fleet, &faults).await;
    let caller = models::caller(&fleet, 0);
    let answer = caller.complete(&completion("tender", 10)).await;
    assert!(answer.is_complete(), "{answer:?}");
    models::wait_for_no_holds(&fleet).await;
}
