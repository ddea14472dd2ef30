//! Engines make reservations, but the answers are lost. A request whose reservations have all failed
//! is placed once an engine answers again: engines refuse a hold that was cancelled, so it needs
//! another one.

#[allow(dead_code)]
mod models;

use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::fleet::Fleet;

use crate::models::DECODE_ENGINES;
use crate::models::completion;

#[tokio::test]
async fn request_is_placed_after_lost_reservations() {
    let fleet = Fleet::start(models::plan(1))
        .await
        .expect("the fleet starts");
    let faults = EngineFaults {
        lose_reserve_answers: 1,
        ..EngineFaults::default()
    };
    for engine in DECODE_ENGINES {
        fleet
            .set_faults(engine, &faults)
            .await
            .expect("the engine answers");
    }
    let caller = models::caller(&fleet, 0);
    let answer = caller.complete(&completion("tender", 10)).await;
    assert!(answer.is_complete(), "{answer:?}");
    models::wait_for_no_holds(&fleet).await;
}
