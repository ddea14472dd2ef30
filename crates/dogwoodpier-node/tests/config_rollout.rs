//! A configuration reaches real nodes within seconds, and keys are checked correctly in an outage
//! of the platform, after a pause of a node, and on a node without contact to the platform and its
//! peers.

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
const MIN_REQUESTS: u64 = 200;

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

// Returns the example declarations without the withdrawn key.
fn declarations_without_key() -> String {
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

async fn wait_for_version(node: &NodeProcess, version: u64) {
    node.wait_for("the version is in force", |dump| {
        dump["config"]["version"] == version
    })
    .await
    .expect("the version is applied");
}

async fn wait_for_trust(node: &NodeProcess, trust: &str) {
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

// Returns the error code of the rejection, empty if the request was served.
async fn rejection_code(node: &NodeProcess, key: &str) -> String {
    let answer = get(node, Some(key), "/stock").await;
    answer
        .rejection()
        .map(|rejection| rejection.code)
        .unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_reach_all_nodes_and_withdrawn_keys_are_rejected() {
    let fleet = start().await;
    for node in fleet.nodes().values() {
        assert_eq!(rejection_code(node, WITHDRAWN_KEY).await, "");
    }
    let version = fleet
        .declare(&declarations_without_key(), "withdraw the order desk's key")
        .await
        .expect("the declarations are applied");
    let applied = Instant::now();
    for node in fleet.nodes().values() {
        wait_for_version(node, version).await;
    }
    println!("in force at {NODES} nodes after {:?}", applied.elapsed());
    for node in fleet.nodes().values() {
        assert_eq!(rejection_code(node, WITHDRAWN_KEY).await, "invalid_key");
        assert_eq!(rejection_code(node, EXAMPLE_MODEL_KEY).await, "");
    }
    let platform = fleet.platform_address().to_string();
    let arguments = ["dogwoodpierctl", "--platform", &platform, "status"];
    let status = commands::run(&cli::command().get_matches_from(arguments)).await;
    let status = status.expect("the platform and the nodes answer");
    let in_force = format!("version {version}, keys fresh");
    assert_eq!(status.matches(&in_force).count(), NODES, "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_rejects_no_valid_key() {
    for outage in [Outage::Refuse, Outage::Hang, Outage::Cut] {
        let mut fleet = start().await;
        set_outage(&fleet, Some(outage)).await;
        let refused = AtomicU64::new(0);
        let detected = AtomicBool::new(false);
        let nodes: Vec<&NodeProcess> = fleet.nodes().values().collect();
        let send_requests = async {
            let mut sent = 0;
            // Sends at least `MIN_REQUESTS`, and goes on until every node has detected the outage.
            while !detected.load(Ordering::SeqCst) || sent < MIN_REQUESTS {
                let node = nodes[sent as usize % NODES];
                if rejection_code(node, EXAMPLE_MODEL_KEY).await == "keys_stale" {
                    refused.fetch_add(1, Ordering::SeqCst);
                }
                sent += 1;
            }
            sent
        };
        let wait_for_detection = async {
            for node in &nodes {
                wait_for_trust(node, "Outage").await;
            }
            detected.store(true, Ordering::SeqCst);
        };
        let (sent, ()) = tokio::join!(send_requests, wait_for_detection);
        let refused = refused.load(Ordering::SeqCst);
        println!("{outage:?}: {refused} of {sent} keyed requests refused as stale");
        assert_eq!(refused, 0, "{outage:?}");
        // A restarted node fetches the configuration from its peers and trusts its keys.
        let node = fleet.node_mut("node-1");
        node.kill().await.expect("the node is killed");
        node.restart().expect("the node starts again");
        wait_for_trust(fleet.node("node-1"), "Outage").await;
        let knows_upstreams = |dump: &serde_json::Value| {
            let known = dump["upstreams"]["upstreams"].as_array();
            known.is_some_and(|upstreams| !upstreams.is_empty())
        };
        fleet
            .node("node-1")
            .wait_for(
                "the node knows the upstreams from its peers",
                knows_upstreams,
            )
            .await
            .expect("the node fetches them");
        assert_eq!(
            rejection_code(fleet.node("node-1"), EXAMPLE_MODEL_KEY).await,
            ""
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_node_rejects_withdrawn_key_after_resuming() {
    let fleet = start().await;
    let paused = fleet.node("node-1");
    assert_eq!(rejection_code(paused, WITHDRAWN_KEY).await, "");
    paused.pause().expect("the node is paused");
    let paused_at = Instant::now();
    fleet
        .declare(&declarations_without_key(), "withdraw the order desk's key")
        .await
        .expect("the declarations are applied");
    // The request waits in the socket of the paused process, so the process finds it there as soon
    // as it resumes.
    let request = tokio::spawn({
        let caller = TestClient::new(paused.caller_address, Some(WITHDRAWN_KEY));
        async move { caller.call(Method::GET, "/stock", &[], Bytes::new()).await }
    });
    wait::until("the pause exceeds the freshness period", || async {
        paused_at.elapsed() > FRESHNESS
    })
    .await
    .expect("time passes");
    paused.resume().expect("the node is resumed");
    let answer = request
        .await
        .expect("the caller's task completes")
        .expect("the request is answered");
    let rejection = answer.rejection().expect("the request is refused");
    assert!(
        ["keys_stale", "invalid_key"].contains(&rejection.code.as_str()),
        "{rejection:?}"
    );
    assert_eq!(rejection.execution, "not-run");
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_node_rejects_keys() {
    let fleet = start().await;
    // To the remaining node, paused peers and a hanging platform look like a network partition.
    let mut names: Vec<&String> = fleet.nodes().keys().collect();
    let isolated = fleet.node(names.remove(0));
    for name in &names {
        fleet.node(name).pause().expect("the node is paused");
    }
    set_outage(&fleet, Some(Outage::Hang)).await;
    let isolated_at = Instant::now();
    wait_for_trust(isolated, "Stale").await;
    println!(
        "keyed requests refused {:?} after the cut",
        isolated_at.elapsed()
    );
    let answer = get(isolated, Some(EXAMPLE_MODEL_KEY), "/stock").await;
    let rejection = answer.rejection().expect("the request is refused");
    assert_eq!(
        (&*rejection.code, &*rejection.execution),
        ("keys_stale", "not-run")
    );
    assert!(rejection.retry_after_ms.is_some());
    assert_eq!(
        get(isolated, None, "/catalogue").await.status,
        200,
        "routes without a key are still served"
    );
    set_outage(&fleet, None).await;
    for name in &names {
        fleet.node(name).resume().expect("the node is resumed");
    }
    wait_for_trust(isolated, "Fresh").await;
    wait::until("keyed requests are served again", || async {
        rejection_code(isolated, EXAMPLE_MODEL_KEY).await.is_empty()
    })
    .await
    .expect("they are served");
}

#[tokio::test(flavor = "multi_thread")]
async fn deleted_root_reverts_no_configuration() {
    let mut fleet = start().await;
    fleet
        .platform()
        .delete(storage::ROOT_KIND, storage::ROOT_NAME, Precondition::Any)
        .await
        .expect("the root is deleted");
    let names: Vec<String> = fleet.nodes().keys().cloned().collect();
    for name in &names {
        let node = fleet.node_mut(name);
        node.kill().await.expect("the node is killed");
        node.restart().expect("the node starts again");
        wait_for_version(fleet.node(name), 1).await;
        wait_for_trust(fleet.node(name), "Fresh").await;
    }
    let restarted_at = Instant::now();
    wait::until(
        "the freshness period has passed since the restart",
        || async { restarted_at.elapsed() > FRESHNESS },
    )
    .await
    .expect("time passes");
    for node in fleet.nodes().values() {
        let dump = node.dump().await.expect("the node answers");
        assert_eq!(dump["config"]["key_trust"], "Fresh");
    }
    // The number is above all versions in the history, so that no node takes the version for an
    // old one.
    let version = fleet
        .declare(&declarations_without_key(), "withdraw the order desk's key")
        .await
        .expect("the declarations are applied");
    assert_eq!(version, 2);
    for node in fleet.nodes().values() {
        wait_for_version(node, version).await;
    }
}
