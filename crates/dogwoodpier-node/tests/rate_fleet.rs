//! A workspace stays within its rate and burst over real nodes: killed, paused, restarted, and with
//! the platform out.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use tokio::task::JoinHandle;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;
use dogwoodpier_fakes::service::ServiceStats;
use dogwoodpier_fakes::wait;

const RATE_TOKENS_PER_S: f64 = 200.0;
const BURST_TOKENS: f64 = 400.0;
// The example's price of a call.
const COST_TOKENS: f64 = 10.0;
// Calls that must be served in each phase, so that refusing all does not pass.
const CALLS_PER_PHASE: usize = 60;
const PACE: Duration = Duration::from_millis(2);

const LIMITS: &str = r#"
[[exceptions]]
change = "workspaces.order-desk.rate_tokens_per_s"
value = 200
reason = "Small enough for a test to reach."

[[exceptions]]
change = "workspaces.order-desk.burst_tokens"
value = 400
reason = "Small enough for a test to reach."
"#;

// A call that was served: it ran at some time between the two.
struct Served {
    sent: Instant,
    answered: Instant,
}

#[derive(Clone, Default)]
struct Calls {
    served: Arc<Mutex<Vec<Served>>>,
}

impl Calls {
    fn count(&self) -> usize {
        self.lock().len()
    }

    // Waits until some more calls were served.
    async fn advance(&self, phase: &str) {
        let target = self.count() + CALLS_PER_PHASE;
        wait::until(phase, || async { self.count() >= target })
            .await
            .expect("calls within the rate are served");
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Served>> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // In every interval, the calls that certainly ran within it.
    fn check(&self) {
        let served = self.lock();
        for first in served.iter() {
            for last in served.iter().filter(|last| last.answered > first.sent) {
                let length_s = (last.answered - first.sent).as_secs_f64();
                let within = served
                    .iter()
                    .filter(|call| call.sent >= first.sent && call.answered <= last.answered);
                let ran = within.count() as f64 * COST_TOKENS;
                let allowed = BURST_TOKENS + RATE_TOKENS_PER_S * length_s;
                assert!(ran <= allowed, "{ran} tokens ran in {length_s} s");
            }
        }
    }
}

// Calls a node without a break, several times above the rate, until it is told to stop.
fn load(address: std::net::SocketAddr, calls: Calls) -> JoinHandle<()> {
    tokio::spawn(async move {
        let caller = TestClient::new(address, Some(EXAMPLE_ORDER_KEY));
        loop {
            let sent = Instant::now();
            let answer = caller
                .call(Method::GET, "/stock/gate-post", &[], Bytes::new())
                .await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                let answered = Instant::now();
                calls.lock().push(Served { sent, answered });
            }
            tokio::time::sleep(PACE).await;
        }
    })
}

fn slots_of(dump: &Value, holder: &str) -> usize {
    let slots = dump["slots"].as_array().map_or(&[][..], Vec::as_slice);
    let held = |slot: &&Value| slot["holder"] == holder;
    slots.iter().filter(held).count()
}

// A second fault on a slot before its new standby is named costs the long lease.
fn standbys_are_alive(dump: &Value) -> bool {
    let slots = dump["slots"].as_array().map_or(&[][..], Vec::as_slice);
    let alive = |slot: &Value| slot["standby"] == "node-1" || slot["standby"] == "node-3";
    slots.iter().all(alive)
}

fn acts_on(dump: &Value) -> usize {
    let slots = dump["slots"].as_array().map_or(&[][..], Vec::as_slice);
    let acts = |slot: &&Value| slot["act_remaining_ms"].as_u64().is_some();
    slots.iter().filter(acts).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_holds_over_real_nodes() {
    let mut plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 3);
    plan.declarations.push_str(LIMITS);
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let calls = Calls::default();
    let begun = Instant::now();
    let addresses = fleet.nodes().values().map(|node| node.caller_address);
    let tasks: Vec<JoinHandle<()>> = addresses
        .map(|address| load(address, calls.clone()))
        .collect();
    calls.advance("all nodes serve").await;

    fleet
        .node_mut("node-2")
        .kill()
        .await
        .expect("the node dies");
    fleet
        .node("node-1")
        .wait_for("the dead node's slots are claimed", |dump| {
            slots_of(dump, "node-2") == 0 && standbys_are_alive(dump)
        })
        .await
        .expect("standbys claim");
    calls.advance("two nodes serve").await;

    fleet.node("node-3").pause().expect("the node stops");
    fleet
        .node("node-1")
        .wait_for("the paused node's slots are claimed", |dump| {
            acts_on(dump) == 32
        })
        .await
        .expect("the standby claims");
    fleet.node("node-3").resume().expect("the node goes on");
    calls.advance("the paused node is back").await;

    fleet.node_mut("node-2").restart().expect("the node starts");
    fleet
        .node("node-2")
        .wait_for("the restarted node has its share", |dump| {
            acts_on(dump) >= 8
        })
        .await
        .expect("holders hand over");
    calls.advance("three nodes serve").await;

    let outage = PlatformFaults {
        outage: Some(Outage::Refuse),
        ..PlatformFaults::default()
    };
    fleet
        .set_platform_faults(&outage)
        .await
        .expect("the platform takes the fault");
    calls.advance("nodes serve without the platform").await;

    tasks.iter().for_each(JoinHandle::abort);
    calls.check();
    let stats: ServiceStats = fleet.stats("orders-1").await.expect("the service answers");
    let ran = stats.runs as f64 * COST_TOKENS;
    let length_s = begun.elapsed().as_secs_f64();
    assert!(
        ran <= BURST_TOKENS + RATE_TOKENS_PER_S * length_s,
        "{ran} tokens ran in {length_s} s, {} calls were served",
        calls.count()
    );
}
