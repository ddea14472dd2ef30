//! Writes whose response is lost are reported with their actual outcome, or as unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use serde_json::json;
use tokio::runtime::Runtime;

use dogwoodpier_fakes::control;
use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::platform::Platform;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::PlatformOptions;
use dogwoodpier_fakes::platform::faults::Outage;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;
use dogwoodpier_platform::WatchOutcome;

const TIMEOUT_MS: u64 = 2_000;
const OBJECT_COUNT: u8 = 2;
const DEFAULT_SEED: u64 = 17;

/// One write, and the faults that are injected during it.
#[derive(Clone, Debug)]
struct Step {
    object: u8,
    condition: Condition,
    faults: PlatformFaults,
}

#[derive(Clone, Copy, Debug)]
enum Condition {
    /// The version that was read just before the write.
    Read,
    /// An older version.
    Old,
    Absent,
    Any,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let condition = prop_oneof![
        4 => Just(Condition::Read),
        1 => Just(Condition::Old),
        2 => Just(Condition::Absent),
        1 => Just(Condition::Any),
    ];
    let outage = prop_oneof![
        8 => Just(None),
        1 => Just(Some(Outage::Refuse)),
        1 => Just(Some(Outage::Cut)),
    ];
    let step = (0..OBJECT_COUNT, condition, outage, 0..4_u32, 0..4_u32).prop_map(
        |(object, condition, outage, lose_answers, lose_writes)| Step {
            object,
            condition,
            faults: PlatformFaults {
                outage,
                lose_answers,
                lose_writes,
                ..PlatformFaults::default()
            },
        },
    );
    prop::collection::vec(step, 1..12)
}

#[test]
fn outcomes_match_change_log() {
    let seed = std::env::var("DOGWOODPIER_TEST_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(64);
    let mut runner = TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let runtime = Runtime::new().expect("a runtime starts");
    runner
        .run(&steps(), |steps| {
            runtime.block_on(check_outcomes(steps));
            Ok(())
        })
        .expect("each outcome matches the log of changes");
}

/// Runs the writes and compares their outcomes with the platform's log of changes.
async fn check_outcomes(steps: Vec<Step>) {
    let options = PlatformOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        instances_lag_ms: 0,
    };
    let server = Platform::start(options, Crash::stop_server())
        .await
        .expect("the platform starts");
    let client = Client::new(ClientOptions {
        address: server.address(),
        timeout_ms: TIMEOUT_MS,
    });
    let mut outcomes = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let name = format!("object/{}", step.object);
        let read = client
            .get("tests", &name)
            .await
            .expect("a healthy platform answers");
        let precondition = match (step.condition, read) {
            (Condition::Read, Some(object)) => Precondition::Version(object.version),
            (Condition::Old, Some(object)) => Precondition::Version(object.version - 1),
            (Condition::Any, _) => Precondition::Any,
            _ => Precondition::Absent,
        };
        let write_id = format!("write-{number}");
        let value = json!({ "write_id": write_id });
        control::set_faults(server.address(), &step.faults)
            .await
            .expect("faults are set");
        let outcome = client
            .put_resolved("tests", &name, &value, precondition)
            .await;
        control::set_faults(server.address(), &PlatformFaults::default())
            .await
            .expect("faults are cleared");
        outcomes.push((write_id, precondition, outcome));
    }
    let log = logged_versions(&client).await;
    for (write_id, precondition, outcome) in outcomes {
        let logged = log.get(&write_id);
        match outcome {
            Ok(PutOutcome::Written { version }) => assert_eq!(logged, Some(&vec![version])),
            // There is no other writer, so a conflict is always with an earlier write of this test.
            Ok(PutOutcome::Conflict { .. }) | Err(Error::NotDone(_)) => assert_eq!(logged, None),
            Err(Error::Unknown(_)) if precondition == Precondition::Any => {}
            Err(Error::Unknown(_)) => assert!(logged.is_none_or(|versions| versions.len() == 1)),
            Err(Error::Protocol(error)) => panic!("unexpected answer: {error}"),
        }
    }
}

/// Returns the versions in the platform's log of changes, by write id.
async fn logged_versions(client: &Client) -> BTreeMap<String, Vec<u64>> {
    let outcome = client
        .watch(&["tests"], 0, 0)
        .await
        .expect("a healthy platform answers");
    let WatchOutcome::Changes(changes) = outcome else {
        panic!("the log reaches back to the start");
    };
    let mut log: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for change in changes.changes {
        let write_id = change.object.value["write_id"].as_str().unwrap_or_default();
        log.entry(write_id.to_owned())
            .or_default()
            .push(change.object.version);
    }
    log
}
