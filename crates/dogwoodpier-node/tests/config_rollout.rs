//! A configuration reaches real nodes within seconds, and keys are judged rightly in an outage of the
//! platform, after a pause, and cut off from everybody.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::time::Instant;

use dogwoodpier_config::storage;
use dogwoodpier_ctl::cli;
use dogwoodpier_ctl::commands;
use dogwoodpier_fakes::caller::PlainAnswer;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_DECLARATIONS;
use dogwoodpier_fakes::fleet::EXAMPLE_MODEL_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::NodeProcess;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;
use dogwoodpier_fakes::wait;
use dogwoodpier_platform::Precondition;

const NODES: usize = 4;
const FRESHNESS: Duration = Duration::from_millis(3_000);
const WITHDRAWN_KEY: &str = "order-desk-key";
const CHECKS: u64 = 200;

async fn start() -> Fleet {
    let plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), NODES);
    Fleet::start(plan).await.expect("the fleet starts")
}

async fn set_outage(fleet: &Fleet, outage: Option<Outage>) {
    let faults = PlatformFaults {
        outage,
        ..PlatformFaults::default()
    };
    fleet
        .set_platform_faults(&faults)
        .await
        .expect("faults are set");
}

// The example without the key that is withdrawn.
fn without_key() -> String {
    let start = EXAMPLE_DECLARATIONS
        .find("[keys.order-desk-2026]")
        .expect("the example has the key");
    let rest = &EXAMPLE_DECLARATIONS[start + 1..];
    let end = start + 1 + rest.find("\n[").expect("a table follows");
    format!(
        "{}{}",
        &EXAMPLE_DECLARATIONS[..start],
        &EXAMPLE_DECLARATIONS[end..]
    )
}

async fn wait_version(node: &NodeProcess, version: u64) {
    node.wait_for("the version is in force", |dump| {
        dump["config"]["version"] == version
    })
    .await
    .expect("the version comes");
}

async fn wait_trust(node: &NodeProcess, trust: &str) {
    node.wait_for(trust, |dump| dump["config"]["key_trust"] == trust)
        .await
        .expect("the trust changes");
}

async fn get(node: &NodeProcess, key: Option<&str>, path: &str) -> PlainAnswer {
    TestClient::new(node.caller_address, key)
        .call(Method::GET, path, &[], Bytes::new())
        .await
        .expect("each request is answered")
}

// Returns the error code of the refusal, empty if the request was served.
async fn code(node: &NodeProcess, key: &str) -> String {
    let answer = get(node, Some(key), "/stock").await;
    answer
        .rejection()
        .map(|refused| refused.code)
        .unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_reach_all_nodes_and_withdrawn_keys_stop() {
    let fleet = start().await;
    for node in fleet.nodes().values() {
        assert_eq!(code(node, WITHDRAWN_KEY).await, "");
    }
    let version = fleet
        .declare(&without_key(), "withdraw the order desk's key")
        .await
        .expect("it is put in force");
    let applied = Instant::now();
    for node in fleet.nodes().values() {
        wait_version(node, version).await;
    }
    println!("in force at {NODES} nodes after {:?}", applied.elapsed());
    for node in fleet.nodes().values() {
        assert_eq!(code(node, WITHDRAWN_KEY).await, "invalid_key");
        assert_eq!(code(node, EXAMPLE_MODEL_KEY).await, "");
    }
    let platform = fleet.platform_address().to_string();
    let line = ["dogwoodpierctl", "--platform", &platform, "status"];
    let shown = commands::run(&cli::command().get_matches_from(line)).await;
    let shown = shown.expect("the platform and the nodes answer");
    let in_force = format!("version {version}, keys fresh");
    assert_eq!(shown.matches(&in_force).count(), NODES, "{shown}");
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_for_all_refuses_no_key() {
    for outage in [Outage::Refuse, Outage::Hang, Outage::Cut] {
        let mut fleet = start().await;
        set_outage(&fleet, Some(outage)).await;
        let refused = AtomicU64::new(0);
        let ended = AtomicBool::new(false);
        let nodes: Vec<&NodeProcess> = fleet.nodes().values().collect();
        let ask = async {
            let mut asked = 0;
            // Goes on until well after every node has found out about the outage.
            while !ended.load(Ordering::SeqCst) || asked < CHECKS {
                let node = nodes[asked as usize % NODES];
                if code(node, EXAMPLE_MODEL_KEY).await == "keys_stale" {
                    refused.fetch_add(1, Ordering::SeqCst);
                }
                asked += 1;
            }
            asked
        };
        let notice = async {
            for node in &nodes {
                wait_trust(node, "Outage").await;
            }
            ended.store(true, Ordering::SeqCst);
        };
        let (asked, ()) = tokio::join!(ask, notice);
        let refused = refused.load(Ordering::SeqCst);
        println!("{outage:?}: {refused} of {asked} keyed requests refused as stale");
        assert_eq!(refused, 0, "{outage:?}");
        // A new process gets the configuration from its peers, and relies on it.
        let node = fleet.node_mut("node-1");
        node.kill().await.expect("it is killed");
        node.restart().expect("it starts again");
        wait_trust(fleet.node("node-1"), "Outage").await;
        let knows_upstreams = |dump: &serde_json::Value| {
            let known = dump["upstreams"]["upstreams"].as_array();
            known.is_some_and(|upstreams| !upstreams.is_empty())
        };
        fleet
            .node("node-1")
            .wait_for("it has the upstreams from its peers", knows_upstreams)
            .await
            .expect("it fetches them");
        assert_eq!(code(fleet.node("node-1"), EXAMPLE_MODEL_KEY).await, "");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_node_takes_no_withdrawn_key() {
    let fleet = start().await;
    let paused = fleet.node("node-1");
    assert_eq!(code(paused, WITHDRAWN_KEY).await, "");
    paused.pause().expect("it is stopped");
    let paused_at = Instant::now();
    fleet
        .declare(&without_key(), "withdraw the order desk's key")
        .await
        .expect("it is put in force");
    // The request waits in the stopped process's socket, so that it is the first thing to be seen.
    let request = tokio::spawn({
        let caller = TestClient::new(paused.caller_address, Some(WITHDRAWN_KEY));
        async move { caller.call(Method::GET, "/stock", &[], Bytes::new()).await }
    });
    wait::until("the pause is longer than news counts", || async {
        paused_at.elapsed() > FRESHNESS
    })
    .await
    .expect("time passes");
    paused.resume().expect("it goes on");
    let answer = request
        .await
        .expect("the caller ends")
        .expect("it is answered");
    let refused = answer.rejection().expect("the request is refused");
    assert!(
        ["keys_stale", "invalid_key"].contains(&refused.code.as_str()),
        "{refused:?}"
    );
    assert_eq!(refused.execution, "not-run");
}

#[tokio::test(flavor = "multi_thread")]
async fn node_cut_off_from_everybody_refuses_keys() {
    let fleet = start().await;
    // As one node sees it, stopped peers and a hanging platform are a cut.
    let mut names: Vec<&String> = fleet.nodes().keys().collect();
    let alone = fleet.node(names.remove(0));
    for name in &names {
        fleet.node(name).pause().expect("it is stopped");
    }
    set_outage(&fleet, Some(Outage::Hang)).await;
    let cut_at = Instant::now();
    wait_trust(alone, "Stale").await;
    println!(
        "keyed requests refused {:?} after the cut",
        cut_at.elapsed()
    );
    let answer = get(alone, Some(EXAMPLE_MODEL_KEY), "/stock").await;
    let refused = answer.rejection().expect("the request is refused");
    assert_eq!(
        (&*refused.code, &*refused.execution),
        ("keys_stale", "not-run")
    );
    assert!(refused.retry_after_ms.is_some());
    assert_eq!(
        get(alone, None, "/catalogue").await.status,
        200,
        "open routes go on"
    );
    set_outage(&fleet, None).await;
    for name in &names {
        fleet.node(name).resume().expect("it goes on");
    }
    wait_trust(alone, "Fresh").await;
    wait::until("keyed requests are served again", || async {
        code(alone, EXAMPLE_MODEL_KEY).await.is_empty()
    })
    .await
    .expect("they are");
}

#[tokio::test(flavor = "multi_thread")]
async fn deleted_root_reverts_nothing() {
    let mut fleet = start().await;
    fleet
        .platform()
        .delete(storage::ROOT_KIND, storage::ROOT_NAME, Precondition::Any)
        .await
        .expect("it is deleted");
    let names: Vec<String> = fleet.nodes().keys().cloned().collect();
    for name in &names {
        let node = fleet.node_mut(name);
        node.kill().await.expect("it is killed");
        node.restart().expect("it starts again");
        wait_version(fleet.node(name), 1).await;
        wait_trust(fleet.node(name), "Fresh").await;
    }
    let restarted_at = Instant::now();
    wait::until("all news from before is too old", || async {
        restarted_at.elapsed() > FRESHNESS
    })
    .await
    .expect("time passes");
    for node in fleet.nodes().values() {
        let dump = node.dump().await.expect("it answers");
        assert_eq!(dump["config"]["key_trust"], "Fresh");
    }
    // Above the history, so that no node takes it for an old one.
    let version = fleet
        .declare(&without_key(), "withdraw the order desk's key")
        .await
        .expect("it is put in force");
    assert_eq!(version, 2);
    for node in fleet.nodes().values() {
        wait_version(node, version).await;
    }
}
