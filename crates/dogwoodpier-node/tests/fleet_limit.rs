//! The rate and burst of a workspace hold over real nodes with two faults at once: one node paused
//! past its deadlines while another is killed, and a platform that hangs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use tokio::task::JoinHandle;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_DECLARATIONS;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;
use dogwoodpier_fakes::service::ServiceStats;

const NODES: usize = 4;
const CALLERS_PER_NODE: usize = 3;
const RATE_TOKENS_PER_S: u64 = 400;
const BURST_TOKENS: u64 = 800;
// Cost of a call of the route in the example declarations.
const CALL_TOKENS: u64 = 10;
const CALL_PAUSE: Duration = Duration::from_millis(10);

fn declarations() -> String {
    format!(
        "{EXAMPLE_DECLARATIONS}\n\
         [[exceptions]]\nchange = \"workspaces.order-desk.rate_tokens_per_s\"\n\
         value = {RATE_TOKENS_PER_S}\nreason = \"The test goes above it.\"\n\
         [[exceptions]]\nchange = \"workspaces.order-desk.burst_tokens\"\n\
         value = {BURST_TOKENS}\nreason = \"The test goes above it.\"\n"
    )
}

// Callers that send several times the rate to all nodes until `stop` is set.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let addresses = fleet.nodes().values().map(|node| node.caller_address);
        let callers = addresses
            .flat_map(|address| [address; CALLERS_PER_NODE])
            .map(|address| tokio::spawn(call(address, stop.clone(), served.clone())))
            .collect();
        Self {
            stop,
            served,
            callers,
        }
    }

    // Waits until `calls` more calls have been served.
    async fn wait_served(&self, calls: u64) {
        let before = self.served.load(Ordering::SeqCst);
        dogwoodpier_fakes::wait::until("calls are served", || async {
            self.served.load(Ordering::SeqCst) >= before + calls
        })
        .await
        .expect("the fleet serves");
    }

    async fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.expect("no caller panics");
        }
    }
}

async fn call(address: SocketAddr, stop: Arc<AtomicBool>, served: Arc<AtomicU64>) {
    let caller = TestClient::new(address, Some(EXAMPLE_ORDER_KEY));
    while !stop.load(Ordering::SeqCst) {
        // A killed or paused node does not answer; callers of the other nodes go on.
        let answer = caller.call(Method::GET, "/stock/1", &[], Bytes::new());
        let timeout = Duration::from_secs(1);
        if let Ok(Ok(answer)) = tokio::time::timeout(timeout, answer).await
            && answer.status == StatusCode::OK
        {
            served.fetch_add(1, Ordering::SeqCst);
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

#[tokio::test]
async fn rate_and_burst_hold_over_all_nodes_under_faults() {
    let mut plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), NODES);
    plan.declarations = declarations();
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let start = Instant::now();
    let load = Load::start(&fleet);
    let burst_calls = BURST_TOKENS / CALL_TOKENS;
    load.wait_served(2 * burst_calls).await;

    fleet
        .node("node-2")
        .pause()
        .expect("the process takes a signal");
    load.wait_served(burst_calls).await;
    fleet
        .node_mut("node-3")
        .kill()
        .await
        .expect("the node is killed");
    load.wait_served(2 * burst_calls).await;
    fleet
        .node("node-2")
        .resume()
        .expect("the process takes a signal");
    load.wait_served(burst_calls).await;
    let outage = PlatformFaults {
        outage: Some(Outage::Hang),
        ..PlatformFaults::default()
    };
    fleet
        .set_platform_faults(&outage)
        .await
        .expect("the platform takes faults");
    load.wait_served(2 * burst_calls).await;
    load.end().await;

    let elapsed_ms = u64::try_from(start.elapsed().as_millis()).expect("the time fits in u64");
    let stats: ServiceStats = fleet.stats("orders-1").await.expect("the service answers");
    let ran_tokens = stats.runs * CALL_TOKENS;
    let allowed_tokens = BURST_TOKENS + RATE_TOKENS_PER_S * elapsed_ms / 1_000;
    println!("{ran_tokens} of {allowed_tokens} tokens ran in {elapsed_ms} ms");
    assert!(
        ran_tokens <= allowed_tokens,
        "{ran_tokens} tokens ran, {allowed_tokens} are allowed"
    );
}
