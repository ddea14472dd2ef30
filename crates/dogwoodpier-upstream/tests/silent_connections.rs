//! Connections that stop responding without being closed are detected within one progress timeout,
//! and later calls use new connections.

use std::sync::Arc;

use http::HeaderMap;
use http::Method;

use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::engine::Engine;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::relay::Relay;
use dogwoodpier_fakes::server::Server;
use dogwoodpier_fakes::service::Service;
use dogwoodpier_fakes::service::ServiceOptions;
use dogwoodpier_upstream::engine::EngineClient;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::engine::EngineOptions as EngineClientOptions;
use dogwoodpier_upstream::service::ServiceCall;
use dogwoodpier_upstream::service::ServiceClient;
use dogwoodpier_upstream::service::ServiceError;
use dogwoodpier_upstream::service::ServiceOptions as ServiceClientOptions;
use dogwoodpier_upstream::wire::DecodeRequest;
use dogwoodpier_upstream::wire::ImportRequest;
use dogwoodpier_upstream::wire::PrefillRequest;
use dogwoodpier_upstream::wire::ReserveRequest;

const PROGRESS_TIMEOUT_MS: u64 = 300;
const LONG_TIMEOUT_MS: u64 = 30_000;
const IDLE_CONNECTIONS: usize = 4;

/// Starts an engine behind a relay.
async fn engine_behind_relay() -> (Server, Relay, EngineClient) {
    let server = Engine::start(EngineOptions::new(EngineRole::Both), Crash::stop_server())
        .await
        .expect("the engine starts");
    let relay = Relay::start(server.address())
        .await
        .expect("the relay starts");
    let client = EngineClient::new(EngineClientOptions {
        address: relay.address(),
        connect_timeout_ms: LONG_TIMEOUT_MS,
        call_timeout_ms: PROGRESS_TIMEOUT_MS,
    });
    (server, relay, client)
}

/// A call that times out on a silent connection drops all connections that were opened at the same
/// time.
#[tokio::test]
async fn timeout_drops_all_idle_connections() {
    let (_server, relay, client) = engine_behind_relay().await;
    let calls = (0..IDLE_CONNECTIONS).map(|_| client.load());
    for result in futures_util::future::join_all(calls).await {
        result.expect("a healthy engine answers");
    }

    relay.silence_open_connections();

    let error = client.load().await.expect_err("the connection is silent");
    assert!(
        matches!(error, EngineError::Timeout { timeout_ms } if timeout_ms == PROGRESS_TIMEOUT_MS)
    );
    assert_eq!(client.connection_resets(), 1);
    for _ in 0..IDLE_CONNECTIONS {
        client.load().await.expect("new connections work");
    }
    assert_eq!(client.connection_resets(), 1);
}

/// A decode over a connection that goes silent ends as a timeout, and its hold can be cancelled.
#[tokio::test]
async fn decode_on_silent_connection_times_out() {
    let (server, relay, client) = engine_behind_relay().await;
    let hold: Arc<str> = "0000000000000001-1".into();
    let reserve = ReserveRequest {
        hold: hold.clone(),
        sequences: 1,
        pieces: 40,
    };
    client.reserve(&reserve).await.expect("the engine has room");
    let prefill = PrefillRequest {
        hold: hold.clone(),
        model: "model".into(),
        prompt: "a prompt".into(),
        priority: 0,
        deadline_in_ms: LONG_TIMEOUT_MS,
    };
    let prefilled = client
        .prefill(&prefill, LONG_TIMEOUT_MS)
        .await
        .expect("the prefill runs");
    let import = ImportRequest {
        hold: hold.clone(),
        source: server.address().to_string().into(),
        kv_handle: prefilled.kv_handle,
    };
    client
        .import(&import, LONG_TIMEOUT_MS)
        .await
        .expect("the transfer runs");
    let decode = DecodeRequest {
        hold: hold.clone(),
        request_id: "request".into(),
        max_tokens: 10_000,
        resume_from: 0,
    };
    let mut stream = client
        .decode(&decode, PROGRESS_TIMEOUT_MS)
        .await
        .expect("the decode starts");
    stream.next().await.expect("tokens come");

    relay.silence_open_connections();

    let error = loop {
        if let Err(error) = stream.next().await {
            break error;
        }
    };
    assert!(matches!(error, EngineError::Timeout { .. }));
    let cancel = dogwoodpier_upstream::wire::CancelRequest { hold };
    let reply = client.cancel(&cancel).await.expect("new connections work");
    assert!(reply.released);
    let holds = client.holds().await.expect("new connections work");
    assert!(holds.holds.is_empty());
}

/// A call that must not be repeated is never sent over an existing connection.
#[tokio::test]
async fn non_idempotent_calls_use_new_connections() {
    let options = ServiceOptions {
        address: ([127, 0, 0, 1], 0).into(),
        work_ms: 0,
    };
    let server = Service::start(options, Crash::stop_server())
        .await
        .expect("the service starts");
    let relay = Relay::start(server.address())
        .await
        .expect("the relay starts");
    let client = ServiceClient::new(ServiceClientOptions {
        address: relay.address(),
        connect_timeout_ms: LONG_TIMEOUT_MS,
    });
    let call = |is_idempotent| ServiceCall {
        method: Method::POST,
        uri: "/orders".parse().expect("a path is a URI"),
        headers: HeaderMap::new(),
        body: "roll".into(),
        is_idempotent,
        timeout_ms: PROGRESS_TIMEOUT_MS,
        progress_timeout_ms: PROGRESS_TIMEOUT_MS,
        max_body_bytes: 1_000_000,
    };
    client.call(call(true)).await.expect("the service answers");

    relay.silence_open_connections();

    let reply = client.call(call(false)).await.expect("the service answers");
    assert!(reply.is_complete);
    let error = client
        .call(call(true))
        .await
        .expect_err("the connection is silent");
    assert!(matches!(error, ServiceError::NoAnswer(_)));
    client.call(call(true)).await.expect("new connections work");
}
