//! When all nodes of a fleet start at the same time, claims of orders are soon granted on every
//! slot.

use serde_json::Value;

use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::wait;

const NODES: usize = 8;
const FLEET_STARTS: usize = 3;
/// Number of slots in the declarations.
const SLOTS: usize = 32;

#[tokio::test]
async fn every_slot_grants_claims() {
    for _ in 0..FLEET_STARTS {
        let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_dogwoodpier"), NODES, 2);
        plan.declarations = include_str!("../../../examples/declarations.toml").to_owned();
        let fleet = Fleet::start(plan).await.expect("the fleet starts");
        wait::until("all slots grant claims", || async {
            count_granting_slots(&fleet).await == SLOTS
        })
        .await
        .expect("no slot stays blocked");
    }
}

/// Returns how many slots have a holder that can grant claims, or zero if a node has no such slot
/// or does not answer.
async fn count_granting_slots(fleet: &Fleet) -> usize {
    let mut granting = Vec::new();
    for node in fleet.nodes().values() {
        match node.dump().await {
            Ok(dump) => granting.push(count_granting_slots_of(&dump)),
            Err(_) => return 0,
        }
    }
    if granting.contains(&0) {
        0
    } else {
        granting.iter().sum()
    }
}

fn count_granting_slots_of(dump: &Value) -> usize {
    let held = |slot: &Value| {
        let slots = dump["slots"].as_array();
        let mut slots = slots.into_iter().flatten();
        slots.any(|held| held["slot"] == *slot && held["act_remaining_ms"].is_u64())
    };
    let claims = dump["claims"]["slots"].as_array();
    claims
        .into_iter()
        .flatten()
        .filter(|claims| claims["blocked"] == false && held(&claims["slot"]))
        .count()
}
