//! A node that can't read a configuration version keeps serving with the previous one, but rejects
//! the keys that the unreadable version withdraws.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde_json::Value;

use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StoredPart;
use dogwoodpier_ctl::store;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_MODEL_KEY;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::NodeProcess;
use dogwoodpier_platform::Precondition;

const WITHDRAWN_KEY_NAME: &str = "order-desk-2026";
const REJECTED_METRIC: &str = "dogwoodpier_configs_rejected_total{reason=\"unreadable\"}";

async fn start() -> Fleet {
    let plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 2);
    Fleet::start(plan).await.expect("the fleet starts")
}

// Writes a version as a newer program could: `change` edits the content of each part.
async fn write_version<C>(fleet: &Fleet, change: C)
where
    C: Fn(&mut Value),
{
    let platform = fleet.platform();
    let current = store::read_current(platform).await.unwrap().unwrap();
    let mut parts: Vec<Arc<str>> = Vec::new();
    for hash in &current.root.parts {
        let object = platform.get(storage::PARTS_KIND, hash).await.unwrap();
        let part: StoredPart = serde_json::from_value(object.unwrap().value).unwrap();
        let mut content: Value = serde_json::from_str(&part.text).unwrap();
        change(&mut content);
        let text: Arc<str> = content.to_string().into();
        let hash = storage::hash_text(&text);
        let stored = serde_json::to_value(StoredPart { text, ..part }).unwrap();
        let written = platform.put(storage::PARTS_KIND, &hash, &stored, Precondition::Any);
        written.await.unwrap();
        parts.push(hash);
    }
    let root = Root {
        generation: current.root.generation + 1,
        parts,
        ..current.root
    };
    let root = serde_json::to_value(root).unwrap();
    let expect = Precondition::Version(current.object_version);
    let written = platform.put(storage::ROOT_KIND, storage::ROOT_NAME, &root, expect);
    written.await.unwrap();
}

// Returns the error code of the rejection, empty if the request was served.
async fn rejection_code(node: &NodeProcess, key: &str) -> String {
    let answer = TestClient::new(node.caller_address, Some(key))
        .call(Method::GET, "/stock", &[], Bytes::new())
        .await
        .expect("each request is answered");
    answer
        .rejection()
        .map(|rejection| rejection.code)
        .unwrap_or_default()
}

#[tokio::test]
async fn unreadable_version_keeps_previous_one_without_withdrawn_keys() {
    let fleet = start().await;
    write_version(&fleet, |content| {
        if content.get("fleet").is_some() {
            content["of_a_newer_program"] = true.into();
        }
        if let Some(keys) = content.get_mut("keys").and_then(Value::as_object_mut) {
            keys.remove(WITHDRAWN_KEY_NAME);
        }
    })
    .await;
    for node in fleet.nodes().values() {
        node.wait_for("the version is rejected", |dump| {
            dump["config"]["rejected"]["version"] == 2
        })
        .await
        .unwrap();
        let dump = node.dump().await.unwrap();
        assert_eq!(dump["config"]["version"], 1);
        let reason = dump["config"]["rejected"]["reason"].as_str().unwrap();
        assert!(reason.contains("of_a_newer_program"), "{reason}");
        assert_eq!(rejection_code(node, EXAMPLE_MODEL_KEY).await, "");
        assert_eq!(rejection_code(node, EXAMPLE_ORDER_KEY).await, "invalid_key");
        // Freshness refers to the version whose keys are in force, here the rejected one.
        node.wait_for("the keys are fresh", |dump| {
            dump["config"]["key_trust"] == "Fresh"
        })
        .await
        .unwrap();
        let metrics = node.metrics().await.unwrap();
        assert!(
            metrics.contains(&(REJECTED_METRIC.to_owned(), 1.0)),
            "the rejection is counted once"
        );
    }
    // The command line tool can't read the current version either. The next version that the nodes
    // can read is applied.
    let version = fleet
        .declare(&FleetPlan::example("", 1).declarations, "as before")
        .await;
    assert!(
        version.is_err(),
        "this program can't read the current version"
    );
    write_version(&fleet, |content| {
        if let Some(fields) = content.as_object_mut() {
            fields.remove("of_a_newer_program");
        }
    })
    .await;
    for node in fleet.nodes().values() {
        node.wait_for("the version is in force", |dump| {
            dump["config"]["version"] == 3 && dump["config"]["rejected"].is_null()
        })
        .await
        .unwrap();
        assert_eq!(rejection_code(node, EXAMPLE_MODEL_KEY).await, "");
        assert_eq!(rejection_code(node, EXAMPLE_ORDER_KEY).await, "invalid_key");
    }
}

#[tokio::test]
async fn unreadable_key_table_makes_keys_stale() {
    let fleet = start().await;
    write_version(&fleet, |content| {
        if let Some(fields) = content.as_object_mut()
            && let Some(keys) = fields.remove("keys")
        {
            fields.insert("keys_in_a_newer_form".to_owned(), keys);
        }
    })
    .await;
    for node in fleet.nodes().values() {
        node.wait_for("the keys are stale", |dump| {
            dump["config"]["key_trust"] == "Stale"
        })
        .await
        .unwrap();
        assert_eq!(rejection_code(node, EXAMPLE_MODEL_KEY).await, "keys_stale");
    }
}

#[tokio::test]
async fn damaged_part_is_fetched_again() {
    let fleet = start().await;
    let platform = fleet.platform();
    let current = store::read_current(platform).await.unwrap().unwrap();
    let mut declarations = store::read_declarations(platform, &current.root)
        .await
        .unwrap();
    declarations.keys.remove(WITHDRAWN_KEY_NAME);
    let parts = storage::split(&declarations);
    let put = async |hash: &str, text: &str| {
        let stored = StoredPart {
            text: text.into(),
            written_unix_s: 0,
        };
        let stored = serde_json::to_value(stored).unwrap();
        let written = platform.put(storage::PARTS_KIND, hash, &stored, Precondition::Any);
        written.await.unwrap();
    };
    for part in &parts {
        put(&part.hash, "damaged").await;
    }
    let root = Root {
        generation: 2,
        parts: parts.iter().map(|part| part.hash.clone()).collect(),
        ..current.root
    };
    let root = serde_json::to_value(root).unwrap();
    let written = platform.put(
        storage::ROOT_KIND,
        storage::ROOT_NAME,
        &root,
        Precondition::Any,
    );
    written.await.unwrap();
    for node in fleet.nodes().values() {
        node.wait_for("the version is known", |dump| {
            dump["config"]["highest_seen_version"] == 2
        })
        .await
        .unwrap();
        assert_eq!(node.dump().await.unwrap()["config"]["version"], 1);
    }
    for part in &parts {
        put(&part.hash, &part.text).await;
    }
    for node in fleet.nodes().values() {
        node.wait_for("the version is in force", |dump| {
            dump["config"]["version"] == 2 && dump["config"]["key_trust"] == "Fresh"
        })
        .await
        .unwrap();
        assert_eq!(rejection_code(node, EXAMPLE_ORDER_KEY).await, "invalid_key");
    }
}
