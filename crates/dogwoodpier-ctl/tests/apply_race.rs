//! Checks that exactly one of several concurrent changes succeeds and that the others report a
//! conflict, also when the platform's answers are lost. Also checks that versions, parts and history
//! survive deletions and collections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use tokio::runtime::Runtime;

use dogwoodpier_config::Declarations;
use dogwoodpier_config::declarations::WorkspaceEntry;
use dogwoodpier_config::parse;
use dogwoodpier_config::storage;
use dogwoodpier_ctl::Error;
use dogwoodpier_ctl::apply;
use dogwoodpier_ctl::apply::ApplyRequest;
use dogwoodpier_ctl::apply::Outcome;
use dogwoodpier_ctl::garbage;
use dogwoodpier_ctl::store;
use dogwoodpier_fakes::control;
use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::platform::Platform;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::PlatformOptions;
use dogwoodpier_fakes::server::Server;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;
use dogwoodpier_platform::Precondition;

const EXAMPLE: &str = include_str!("../../../examples/declarations.toml");
const SEED: u64 = 0x61_7070_6c79;
const CASES: u32 = 32;
// Fewer lost writes and answers than this must not leave an outcome unknown.
const MIN_LOSSES_FOR_UNKNOWN: u32 = 3;
const OPERATORS: u64 = 4;

// Returns the example with an additional workspace, so that each change differs from the others.
fn with_workspace(name: &str) -> Declarations {
    let mut declarations = parse::parse("d.toml", EXAMPLE).expect("the example is valid");
    let entry = WorkspaceEntry::default();
    declarations.workspaces.insert(name.into(), entry);
    declarations
}

fn apply_request(name: &str, expect_version: u64) -> ApplyRequest {
    ApplyRequest {
        declarations: with_workspace(name),
        expect_version,
        message: format!("add {name}").into(),
        author: name.into(),
    }
}

async fn start_platform() -> (Server, Client) {
    let options = PlatformOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        instances_lag_ms: 0,
    };
    let server = Platform::start(options, Crash::stop_server())
        .await
        .expect("the platform starts");
    let client = Client::new(ClientOptions {
        address: server.address(),
        timeout_ms: 5_000,
    });
    (server, client)
}

#[tokio::test]
async fn one_of_concurrent_changes_is_applied() {
    let (_server, client) = start_platform().await;
    for version in 0..5 {
        let tasks: Vec<_> = (0..OPERATORS)
            .map(|operator| {
                let client = client.clone();
                let request = apply_request(&format!("v{version}-by-{operator}"), version);
                tokio::spawn(async move { apply::apply(&client, &request).await })
            })
            .collect();
        let mut applied_count = 0;
        let mut conflicts = Vec::new();
        for task in tasks {
            match task.await.expect("apply doesn't panic") {
                Ok(Outcome::Applied {
                    version: applied, ..
                }) => {
                    assert_eq!(applied, version + 1);
                    applied_count += 1;
                }
                Err(Error::Conflict(conflict)) => conflicts.push(conflict),
                other => panic!("neither applied nor in conflict: {other:?}"),
            }
        }
        assert_eq!(applied_count, 1);
        let current = store::read_current(&client).await.unwrap().unwrap();
        for conflict in conflicts {
            let message = conflict.to_string();
            assert!(message.contains("Nothing was applied"), "{message}");
            let change = format!("+ workspaces.{}", current.root.author);
            assert!(message.contains(&change), "{message} lacks {change}");
            let next = format!("--expect-version {}", version + 1);
            assert!(message.contains(&next), "{message} lacks {next}");
        }
    }
    let history = store::read_history(&client).await.unwrap();
    let versions: Vec<u64> = history.iter().map(|root| root.generation).collect();
    assert_eq!(versions, [5, 4, 3, 2, 1]);
}

/// One change, and the faults of the platform during it.
#[derive(Clone, Debug)]
struct Step {
    // How many versions the operator's read is behind.
    read_ago: u64,
    faults: PlatformFaults,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let kind = prop_oneof![
        2 => Just(Some(storage::ROOT_KIND.to_owned())),
        1 => Just(Some(storage::HISTORY_KIND.to_owned())),
        1 => Just(None),
    ];
    let step = (0..3_u64, 0..5_u32, 0..3_u32, kind).prop_map(
        |(read_ago, lose_answers, lose_writes, lose_only_kind)| Step {
            read_ago: read_ago.saturating_sub(1),
            faults: PlatformFaults {
                lose_answers,
                lose_writes,
                lose_only_kind,
                ..PlatformFaults::default()
            },
        },
    );
    prop::collection::vec(step, 1..8)
}

async fn run(steps: Vec<Step>) {
    let (server, client) = start_platform().await;
    // The oracle: the author of each version, taken from the results of the applies, and from the
    // root in force where a result is unknown.
    let mut applied: BTreeMap<u64, Arc<str>> = BTreeMap::new();
    for (index, step) in steps.iter().enumerate() {
        let name = format!("change-{index}");
        let read = (applied.len() as u64).saturating_sub(step.read_ago);
        control::set_faults(server.address(), &step.faults)
            .await
            .unwrap();
        let outcome = apply::apply(&client, &apply_request(&name, read)).await;
        let no_faults = PlatformFaults::default();
        control::set_faults(server.address(), &no_faults)
            .await
            .unwrap();
        let current = store::read_current(&client).await.unwrap();
        let author = current.map(|current| current.root.author);
        match outcome {
            Ok(Outcome::Applied { version, .. }) => {
                assert_eq!(
                    read + 1,
                    version,
                    "applied on top of a version that was not read"
                );
                applied.insert(version, name.into());
            }
            Err(Error::Unknown { generation, .. }) => {
                // The change may or may not be in force. A few losses must be resolved, though.
                let losses = step.faults.lose_answers + step.faults.lose_writes;
                assert!(losses >= MIN_LOSSES_FOR_UNKNOWN, "unknown after {step:?}");
                if author.as_deref() == Some(name.as_str()) {
                    applied.insert(generation, name.into());
                }
            }
            Err(Error::Conflict(_) | Error::Platform(_)) => {}
            other => panic!("{other:?}"),
        }
        let expected = applied.last_key_value().map(|(_, name)| name.clone());
        assert_eq!(author, expected, "after {step:?}");
    }
    let history = store::read_history(&client).await.unwrap();
    for root in &history {
        assert_eq!(applied.get(&root.generation), Some(&root.author));
        let declarations = store::read_declarations(&client, root).await.unwrap();
        assert_eq!(declarations, with_workspace(&root.author));
    }
    assert_eq!(history.len(), applied.len());
}

#[test]
fn results_are_correct_when_answers_are_lost() {
    let seed = std::env::var("DOGWOODPIER_TEST_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(SEED);
    let mut config = ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    let runtime = Runtime::new().unwrap();
    TestRunner::new(config)
        .run(&steps(), |steps| {
            runtime.block_on(run(steps));
            Ok(())
        })
        .unwrap();
}

#[tokio::test]
async fn change_of_slot_count_is_rejected() {
    let (_server, client) = start_platform().await;
    apply::apply(&client, &apply_request("first", 0))
        .await
        .unwrap();
    let mut change = apply_request("second", 1);
    change.declarations.fleet.slot_count = 64;
    let refused = apply::apply(&client, &change).await.unwrap_err();
    let message = refused.to_string();
    let what = "fleet.slot_count can't change from 32 to 64";
    assert!(message.contains(what), "{message}");
    assert!(message.contains("Set it back to 32"), "{message}");
}

#[tokio::test]
async fn versions_continue_after_deletion_of_the_root() {
    let (_server, client) = start_platform().await;
    for version in 0..3 {
        let request = apply_request(&format!("change-{version}"), version);
        apply::apply(&client, &request).await.unwrap();
    }
    client
        .delete(storage::ROOT_KIND, storage::ROOT_NAME, Precondition::Any)
        .await
        .unwrap();
    let outcome = apply::apply(&client, &apply_request("anew", 0))
        .await
        .unwrap();
    assert!(
        matches!(outcome, Outcome::Applied { version: 4, .. }),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn missing_parts_are_written_again() {
    let (_server, client) = start_platform().await;
    apply::apply(&client, &apply_request("first", 0))
        .await
        .unwrap();
    for name in part_names(&client).await {
        let deleted = client.delete(storage::PARTS_KIND, &name, Precondition::Any);
        deleted.await.unwrap();
    }
    apply::apply(&client, &apply_request("first", 1))
        .await
        .unwrap();
    let root = store::read_current(&client).await.unwrap().unwrap().root;
    let declarations = store::read_declarations(&client, &root).await.unwrap();
    assert_eq!(declarations, with_workspace("first"));
}

#[tokio::test]
async fn old_parts_without_kept_versions_are_deleted() {
    let (_server, client) = start_platform().await;
    for version in 0..2 {
        let request = apply_request(&format!("change-{version}"), version);
        apply::apply(&client, &request).await.unwrap();
    }
    let mut root = store::read_current(&client).await.unwrap().unwrap().root;
    let before = part_names(&client).await;
    let now_unix_s = root.applied_unix_s;
    let later_unix_s = now_unix_s + garbage::PART_GRACE_S + 1;
    let collected = garbage::collect(&client, &root, later_unix_s).await;
    collected.unwrap();
    assert_eq!(
        part_names(&client).await,
        before,
        "parts of kept versions must not be deleted"
    );
    // Simulates many later versions with the same parts as the last one.
    root.generation += garbage::KEPT_VERSIONS;
    let collected = garbage::collect(&client, &root, now_unix_s).await;
    collected.unwrap();
    assert_eq!(
        part_names(&client).await,
        before,
        "parts within the grace period must not be deleted"
    );
    let collected = garbage::collect(&client, &root, later_unix_s).await;
    collected.unwrap();
    let mut needed = root.parts.clone();
    needed.sort();
    assert_eq!(part_names(&client).await, needed);
}

async fn part_names(client: &Client) -> Vec<Arc<str>> {
    let listing = client.list(storage::PARTS_KIND, "").await.unwrap();
    listing
        .items
        .into_iter()
        .map(|object| object.name)
        .collect()
}
