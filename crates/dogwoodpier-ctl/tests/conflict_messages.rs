//! A conflict says what changed meanwhile, or why that can't be told: the version is gone, can't be
//! read by this program, or the platform is away.

use std::net::SocketAddr;

use serde_json::json;

use dogwoodpier_config::parse;
use dogwoodpier_config::storage;
use dogwoodpier_ctl::Error;
use dogwoodpier_ctl::apply;
use dogwoodpier_ctl::apply::ApplyRequest;
use dogwoodpier_ctl::error::Conflict;
use dogwoodpier_ctl::store;
use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::platform::Platform;
use dogwoodpier_fakes::platform::PlatformOptions;
use dogwoodpier_fakes::server::Server;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;
use dogwoodpier_platform::Precondition;

const EXAMPLE: &str = include_str!("../../../examples/declarations.toml");
const GONE: &str = "not kept any more";
const UNREADABLE: &str = "unreadable";
const AWAY: &str = "can't be read now";

// Starts a platform on which two versions were applied.
async fn start() -> (Server, Client) {
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
    for version in 0..2 {
        let applied = apply::apply(&client, &request(version)).await;
        applied.expect("the version is applied");
    }
    (server, client)
}

// Returns a change by an operator who has read `version`.
fn request(version: u64) -> ApplyRequest {
    let limit = format!("value = {}", 60_000 + version);
    let text = EXAMPLE.replacen("value = 60_000", &limit, 1);
    ApplyRequest {
        declarations: parse::parse("d.toml", &text).expect("the example is valid"),
        expect_version: version,
        message: "change".into(),
        author: "ana".into(),
    }
}

async fn conflict_message(client: &Client) -> String {
    let conflict = apply::apply(client, &request(1)).await;
    let conflict = conflict.expect_err("another version is in force");
    assert!(matches!(conflict, Error::Conflict(_)), "{conflict}");
    conflict.to_string()
}

#[tokio::test]
async fn version_that_was_deleted_is_gone() {
    let (_server, client) = start().await;
    let deleted = client
        .delete(
            storage::HISTORY_KIND,
            &store::history_name(1),
            Precondition::Any,
        )
        .await;
    deleted.expect("the version is deleted");
    let message = conflict_message(&client).await;
    assert!(message.contains(GONE), "{message}");
    assert!(!message.contains(UNREADABLE), "{message}");
}

#[tokio::test]
async fn version_of_another_program_is_unreadable() {
    let (_server, client) = start().await;
    let written = client
        .put(
            storage::HISTORY_KIND,
            &store::history_name(1),
            &json!({ "format": 9 }),
            Precondition::Any,
        )
        .await;
    written.expect("the version is overwritten");
    let message = conflict_message(&client).await;
    assert!(message.contains(UNREADABLE), "{message}");
    assert!(!message.contains(GONE), "{message}");
}

#[tokio::test]
async fn platform_that_is_away_is_named() {
    let (_server, client) = start().await;
    let current = store::read_current(&client).await;
    let current = current.expect("the platform answers");
    let away = dogwoodpier_platform::Error::NotDone("connection refused".to_owned());
    let conflict = Conflict {
        expected: 1,
        current: current.map(|current| current.root),
        changes: Err(Error::Platform(away)),
        was_in_force: false,
    };
    let message = conflict.to_string();
    assert!(message.contains(AWAY), "{message}");
    assert!(!message.contains(GONE), "{message}");
}
