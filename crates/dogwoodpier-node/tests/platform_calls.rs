//! Each call to the platform is counted in the node's metrics, by operation and result.

use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::NodeProcess;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;
use dogwoodpier_fakes::wait;

const CALLS: &str = "dogwoodpier_platform_calls_total";

async fn calls(node: &NodeProcess, is_counted: impl Fn(&str) -> bool) -> f64 {
    let metrics = node.metrics().await.expect("the node answers");
    let calls = metrics
        .iter()
        .filter(|(name, _)| name.starts_with(CALLS) && is_counted(name));
    calls.map(|(_, count)| count).sum()
}

#[tokio::test]
async fn calls_to_the_platform_are_counted() {
    let plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 1);
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let node = fleet.nodes().values().next().expect("the fleet has a node");
    for operation in ["get", "list", "put", "instances"] {
        let is_counted = |name: &str| {
            name.contains(&format!("operation=\"{operation}\"")) && name.contains("result=\"ok\"")
        };
        assert!(calls(node, is_counted).await > 0.0, "{operation}");
    }
    let has_failed = |name: &str| !name.contains("result=\"ok\"");
    let before = calls(node, has_failed).await;
    let outage = PlatformFaults {
        outage: Some(Outage::Refuse),
        ..PlatformFaults::default()
    };
    let set = fleet.set_platform_faults(&outage).await;
    set.expect("the platform takes the faults");
    wait::until("failed calls are counted", || async {
        calls(node, has_failed).await > before
    })
    .await
    .expect("the node goes on calling the platform");
}
