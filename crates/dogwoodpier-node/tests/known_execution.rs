//! A rejection reports what is known of the request's execution. A request that has run at one
//! upstream and crashed the next one has run, whatever the quarantine says of further attempts.

use std::time::Duration;

use bytes::Bytes;
use http::Method;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_DECLARATIONS;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::service::ServiceFaults;
use dogwoodpier_fakes::service::ServiceStats;

const FAILING: &str = "orders-1";
const CRASHING: &str = "orders-2";
// Number of crashes after which a request is quarantined.
const CRASHES: usize = 3;
// Two crashes of one upstream within a second count as one.
const CRASH_INTERVAL: Duration = Duration::from_millis(1_100);
// The service that a request reaches first is random, so some requests run nowhere before they are
// quarantined.
const MAX_REQUESTS: usize = 20;

async fn runs(fleet: &Fleet) -> u64 {
    let stats: ServiceStats = fleet.stats(FAILING).await.expect("the service answers");
    stats.runs
}

#[tokio::test]
async fn request_that_ran_is_not_reported_as_unknown() {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_dogwoodpier"), 1, 1)
        .service(FAILING, "order-service")
        .service(CRASHING, "order-service");
    plan.declarations = EXAMPLE_DECLARATIONS.to_owned();
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let fails = ServiceFaults {
        fail_after: u32::MAX,
        ..ServiceFaults::default()
    };
    let set = fleet.set_faults(FAILING, &fails).await;
    set.expect("the service answers");
    let crashes = ServiceFaults {
        die_before: 1,
        ..ServiceFaults::default()
    };
    let node = fleet.nodes().values().next().expect("the fleet has a node");
    let caller = TestClient::new(node.caller_address, Some(EXAMPLE_ORDER_KEY));
    for request in 0..MAX_REQUESTS {
        let path = format!("/stock?number={request}");
        let mut last_rejection = None;
        for _ in 0..CRASHES {
            tokio::time::sleep(CRASH_INTERVAL).await;
            let restarted = fleet.restart_upstream(CRASHING).await;
            restarted.expect("the service restarts");
            let set = fleet.set_faults(CRASHING, &crashes).await;
            set.expect("the service answers");
            let before = runs(&fleet).await;
            let answer = caller.call(Method::GET, &path, &[], Bytes::new()).await;
            let answer = answer.expect("the node answers");
            let has_run = runs(&fleet).await > before;
            last_rejection = answer.rejection().filter(|_| has_run);
        }
        if let Some(rejection) = last_rejection {
            assert_eq!(rejection.execution, "ran", "{rejection:?}");
            return;
        }
    }
    panic!("no request was rejected that had run before its last crash");
}
