//! Writes whose answer is lost are reported as what they were.

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
const OBJECTS: u8 = 2;
const DEFAULT_SEED: u64 = 17;

/// One write, with what strikes it.
#[derive(Clone, Debug)]
struct Step {
    object: u8,
    condition: Condition,
    faults: PlatformFaults,
}

#[derive(Clone, Copy, Debug)]
enum Condition {
    /// The version that was read just before.
    Read,
    /// A version that has passed.
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
    let step = (0..OBJECTS, condition, outage, 0..4_u32, 0..4_u32).prop_map(
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
fn outcomes_match_the_log() {
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
            runtime.block_on(check(steps));
            Ok(())
        })
        .expect("each outcome matches the log of writes");
}

/// Runs the writes and compares what each reported with the platform's log of changes.
async fn check(steps: Vec<Step>) {
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
    let mut reports = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let name = format!("object/{}", step.object);
        let read = client
            .get("tests", &name)
            .await
            .expect("a healthy platform answers");
        let expect = match (step.condition, read) {
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
        let report = client.put_resolved("tests", &name, &value, expect).await;
        control::set_faults(server.address(), &PlatformFaults::default())
            .await
            .expect("faults are cleared");
        reports.push((write_id, expect, report));
    }
    let log = log_of_writes(&client).await;
    for (write_id, expect, report) in reports {
        let logged = log.get(&write_id);
        match report {
            Ok(PutOutcome::Written { version }) => assert_eq!(logged, Some(&vec![version])),
            // No other writer is at work here, so a conflict is always with an earlier write.
            Ok(PutOutcome::Conflict { .. }) | Err(Error::NotDone(_)) => assert_eq!(logged, None),
            Err(Error::Unknown(_)) if expect == Precondition::Any => {}
            Err(Error::Unknown(_)) => assert!(logged.is_none_or(|versions| versions.len() == 1)),
            Err(Error::Protocol(error)) => panic!("unexpected answer: {error}"),
        }
    }
}

/// Returns the versions that each write got.
async fn log_of_writes(client: &Client) -> BTreeMap<String, Vec<u64>> {
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
