//! Of racing changes one wins and the others see a clear conflict, also when answers are lost.

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
use dogwoodpier_ctl::apply::Order;
use dogwoodpier_ctl::apply::Outcome;
use dogwoodpier_ctl::collect;
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
// Losses of answers in a row that must not leave an outcome unknown.
const RESOLVED_LOSSES: u32 = 3;
const OPERATORS: u64 = 4;

// The example with one more workspace, so that each change can be told from the others.
fn with_workspace(name: &str) -> Declarations {
    let mut declarations = parse::parse("d.toml", EXAMPLE).expect("the example is valid");
    let entry = WorkspaceEntry::default();
    declarations.workspaces.insert(name.into(), entry);
    declarations
}

fn order(name: &str, expect_version: u64) -> Order {
    Order {
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
async fn one_of_many_wins() {
    let (_server, client) = start_platform().await;
    for version in 0..5 {
        let tasks: Vec<_> = (0..OPERATORS)
            .map(|operator| {
                let client = client.clone();
                let order = order(&format!("v{version}-by-{operator}"), version);
                tokio::spawn(async move { apply::apply(&client, &order).await })
            })
            .collect();
        let mut winners = 0;
        let mut conflicts = Vec::new();
        for task in tasks {
            match task.await.expect("apply doesn't panic") {
                Ok(Outcome::Applied {
                    version: applied, ..
                }) => {
                    assert_eq!(applied, version + 1);
                    winners += 1;
                }
                Err(Error::Conflict(conflict)) => conflicts.push(conflict),
                other => panic!("neither won nor lost: {other:?}"),
            }
        }
        assert_eq!(winners, 1);
        let current = store::read_current(&client).await.unwrap().unwrap();
        for conflict in conflicts {
            let shown = conflict.to_string();
            assert!(shown.contains("Nothing was applied"), "{shown}");
            let meanwhile = format!("+ workspaces.{}", current.root.author);
            assert!(shown.contains(&meanwhile), "{shown} lacks {meanwhile}");
            let next = format!("--expect-version {}", version + 1);
            assert!(shown.contains(&next), "{shown} lacks {next}");
        }
    }
    let history = store::read_history(&client).await.unwrap();
    let versions: Vec<u64> = history.iter().map(|root| root.generation).collect();
    assert_eq!(versions, [5, 4, 3, 2, 1]);
}

/// One change, with what strikes it.
#[derive(Clone, Debug)]
struct Step {
    // How many versions ago the operator read.
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
    // The oracle: who wrote each version, by reports alone.
    let mut applied: BTreeMap<u64, Arc<str>> = BTreeMap::new();
    for (index, step) in steps.iter().enumerate() {
        let name = format!("change-{index}");
        let read = (applied.len() as u64).saturating_sub(step.read_ago);
        control::set_faults(server.address(), &step.faults)
            .await
            .unwrap();
        let outcome = apply::apply(&client, &order(&name, read)).await;
        let no_faults = PlatformFaults::default();
        control::set_faults(server.address(), &no_faults)
            .await
            .unwrap();
        let current = store::read_current(&client).await.unwrap();
        let author = current.map(|current| current.root.author);
        match outcome {
            Ok(Outcome::Applied { version, .. }) => {
                assert_eq!(read + 1, version, "applied on top of what wasn't read");
                applied.insert(version, name.into());
            }
            Err(Error::Unknown { generation, .. }) => {
                // It says that it doesn't know, so both are right; but a few losses it must resolve.
                let losses = step.faults.lose_answers + step.faults.lose_writes;
                assert!(losses >= RESOLVED_LOSSES, "unknown after {step:?}");
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
fn reports_are_true_when_answers_are_lost() {
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
async fn slot_count_is_refused() {
    let (_server, client) = start_platform().await;
    apply::apply(&client, &order("first", 0)).await.unwrap();
    let mut change = order("second", 1);
    change.declarations.fleet.slot_count = 64;
    let refused = apply::apply(&client, &change).await.unwrap_err();
    let shown = refused.to_string();
    let what = "fleet.slot_count can't change from 32 to 64";
    assert!(shown.contains(what), "{shown}");
    assert!(shown.contains("Set it back to 32"), "{shown}");
}

#[tokio::test]
async fn deleted_root_goes_on_above_the_history() {
    let (_server, client) = start_platform().await;
    for version in 0..3 {
        let order = order(&format!("change-{version}"), version);
        apply::apply(&client, &order).await.unwrap();
    }
    client
        .delete(storage::ROOT_KIND, storage::ROOT_NAME, Precondition::Any)
        .await
        .unwrap();
    let outcome = apply::apply(&client, &order("anew", 0)).await.unwrap();
    assert!(
        matches!(outcome, Outcome::Applied { version: 4, .. }),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn lost_part_is_written_again() {
    let (_server, client) = start_platform().await;
    apply::apply(&client, &order("first", 0)).await.unwrap();
    for name in part_names(&client).await {
        let deleted = client.delete(storage::PARTS_KIND, &name, Precondition::Any);
        deleted.await.unwrap();
    }
    apply::apply(&client, &order("first", 1)).await.unwrap();
    let root = store::read_current(&client).await.unwrap().unwrap().root;
    let declarations = store::read_declarations(&client, &root).await.unwrap();
    assert_eq!(declarations, with_workspace("first"));
}

#[tokio::test]
async fn old_parts_are_collected() {
    let (_server, client) = start_platform().await;
    for version in 0..2 {
        let order = order(&format!("change-{version}"), version);
        apply::apply(&client, &order).await.unwrap();
    }
    let mut root = store::read_current(&client).await.unwrap().unwrap().root;
    let before = part_names(&client).await;
    let now_unix_s = root.applied_unix_s;
    let later_unix_s = now_unix_s + collect::PART_GRACE_S + 1;
    let collected = collect::collect_now(&client, &root, later_unix_s).await;
    collected.unwrap();
    assert_eq!(part_names(&client).await, before, "all versions are kept");
    // As if many versions had followed with the parts of the last one.
    root.generation += collect::KEPT_VERSIONS;
    let collected = collect::collect_now(&client, &root, now_unix_s).await;
    collected.unwrap();
    assert_eq!(part_names(&client).await, before, "young parts stay");
    let collected = collect::collect_now(&client, &root, later_unix_s).await;
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
