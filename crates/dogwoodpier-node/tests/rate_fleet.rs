//! A workspace stays within its rate and burst over real nodes, while nodes are killed, paused and
//! restarted and while the platform is unavailable.

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
// Cost of a call in the example declarations.
const COST_TOKENS: f64 = 10.0;
// Calls that must be served in each phase, so that the test fails if all calls are refused.
const CALLS_PER_PHASE: usize = 60;
const CALL_PAUSE: Duration = Duration::from_millis(2);

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

// A call that was served. It ran at some time between `sent` and `answered`.
struct Served {
    sent: Instant,
    answered: Instant,
}

#[derive(Clone, Default)]
struct ServedCalls {
    served: Arc<Mutex<Vec<Served>>>,
}

impl ServedCalls {
    fn count(&self) -> usize {
        self.lock().len()
    }

    // Waits until `CALLS_PER_PHASE` more calls have been served.
    async fn wait_for_more(&self, phase: &str) {
        let target = self.count() + CALLS_PER_PHASE;
        wait::until(phase, || async { self.count() >= target })
            .await
            .expect("calls within the rate are served");
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Served>> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Asserts that in no interval the calls that certainly ran within it cost more than the limit.
    fn assert_within_limit(&self) {
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

// Calls a node in a loop, several times above the rate, until the task is aborted.
fn start_calls(address: std::net::SocketAddr, calls: ServedCalls) -> JoinHandle<()> {
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
            tokio::time::sleep(CALL_PAUSE).await;
        }
    })
}

fn count_slots_held_by(dump: &Value, holder: &str) -> usize {
    let slots = dump["slots"].as_array().map_or(&[][..], Vec::as_slice);
    let held = |slot: &&Value| slot["holder"] == holder;
    slots.iter().filter(held).count()
}

// Returns true if the standby of every slot is alive. If a slot loses its holder before a new
// standby is named, it is blocked until the long lease ends.
fn standbys_are_alive(dump: &Value) -> bool {
    let slots = dump["slots"].as_array().map_or(&[][..], Vec::as_slice);
    let alive = |slot: &Value| slot["standby"] == "node-1" || slot["standby"] == "node-3";
    slots.iter().all(alive)
}

fn count_usable_slots(dump: &Value) -> usize {
    let slots = dump["slots"].as_array().map_or(&[][..], Vec::as_slice);
    let acts = |slot: &&Value| slot["act_remaining_ms"].as_u64().is_some();
    slots.iter().filter(acts).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_holds_over_real_nodes() {
    let mut plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 3);
    plan.declarations.push_str(LIMITS);
    let mut fleet = Fleet::start(plan).await.expect("the fleet starts");
    let calls = ServedCalls::default();
    let start = Instant::now();
    let addresses = fleet.nodes().values().map(|node| node.caller_address);
    let tasks: Vec<JoinHandle<()>> = addresses
        .map(|address| start_calls(address, calls.clone()))
        .collect();
    calls.wait_for_more("all nodes serve").await;

    fleet
        .node_mut("node-2")
        .kill()
        .await
        .expect("the node is killed");
    fleet
        .node("node-1")
        .wait_for("the killed node's slots are claimed", |dump| {
            count_slots_held_by(dump, "node-2") == 0 && standbys_are_alive(dump)
        })
        .await
        .expect("the standbys claim the slots");
    calls.wait_for_more("two nodes serve").await;

    fleet.node("node-3").pause().expect("the node is paused");
    fleet
        .node("node-1")
        .wait_for("the paused node's slots are claimed", |dump| {
            count_usable_slots(dump) == 32
        })
        .await
        .expect("the standby claims the slots");
    fleet.node("node-3").resume().expect("the node is resumed");
    calls.wait_for_more("the paused node is back").await;

    fleet.node_mut("node-2").restart().expect("the node starts");
    fleet
        .node("node-2")
        .wait_for("the restarted node has its share", |dump| {
            count_usable_slots(dump) >= 8
        })
        .await
        .expect("the holders hand slots over");
    calls.wait_for_more("three nodes serve").await;

    let outage = PlatformFaults {
        outage: Some(Outage::Refuse),
        ..PlatformFaults::default()
    };
    fleet
        .set_platform_faults(&outage)
        .await
        .expect("the platform takes the fault");
    calls
        .wait_for_more("nodes serve without the platform")
        .await;

    tasks.iter().for_each(JoinHandle::abort);
    calls.assert_within_limit();
    let stats: ServiceStats = fleet.stats("orders-1").await.expect("the service answers");
    let ran = stats.runs as f64 * COST_TOKENS;
    let length_s = start.elapsed().as_secs_f64();
    assert!(
        ran <= BURST_TOKENS + RATE_TOKENS_PER_S * length_s,
        "{ran} tokens ran in {length_s} s, {} calls were served",
        calls.count()
    );
}
