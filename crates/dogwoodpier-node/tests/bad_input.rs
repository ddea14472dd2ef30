//! Invalid input is rejected with a clear error in the API's format and the execution `not-run`,
//! and takes bounded time and memory.

#[allow(dead_code)]
mod models;

use std::net::SocketAddr;

use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use dogwoodpier_fakes::caller::Rejection;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::UpstreamKind;

use crate::models::DECODE_ENGINES;
use crate::models::KEY;

const COMPLETIONS: &str = "/v1/completions";
const MAX_BODY_BYTES: usize = 100_000;

fn plan() -> FleetPlan {
    let mut plan = models::plan(1);
    plan.node_settings = format!(
        "[tuning]\nmax_body_bytes = {MAX_BODY_BYTES}\nbody_timeout_ms = 500\nwrite_timeout_ms = 500\n"
    );
    plan
}

async fn start() -> Fleet {
    Fleet::start(plan()).await.expect("the fleet starts")
}

fn address(fleet: &Fleet) -> SocketAddr {
    fleet.node("node-1").caller_address
}

// Sends a request that must be rejected and returns the rejection.
async fn send_rejected(fleet: &Fleet, key: Option<&str>, path: &str, body: String) -> Rejection {
    TestClient::new(address(fleet), key)
        .call(Method::POST, path, &[], body.into())
        .await
        .expect("there is an answer")
        .rejection()
        .expect("the answer is a rejection")
}

fn request(changes: Value) -> String {
    let mut body = json!({ "model": "quotes", "prompt": "tender", "max_tokens": 5 });
    for (field, value) in changes.as_object().expect("changes are an object") {
        body[field] = value.clone();
    }
    body.to_string()
}

// Sends bytes over a new connection and returns what is received until the server closes it.
async fn send_raw(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address(fleet))
        .await
        .expect("the node listens");
    stream.write_all(bytes).await.expect("the bytes are sent");
    let mut answer = Vec::new();
    // The server may reset the connection after its answer.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn invalid_requests_are_rejected() {
    let fleet = start().await;
    let good = request(json!({}));
    let cases = [
        (None, COMPLETIONS, good.clone(), 401, "invalid_key"),
        (
            Some("unknown-key"),
            COMPLETIONS,
            good.clone(),
            401,
            "invalid_key",
        ),
        (Some(KEY), "/v1/unknown", good.clone(), 404, "no_route"),
        (Some(KEY), COMPLETIONS, "{".into(), 400, "invalid_request"),
        (Some(KEY), COMPLETIONS, "[]".into(), 400, "invalid_request"),
        (
            Some(KEY),
            COMPLETIONS,
            request(json!({ "prompt": 5 })),
            400,
            "invalid_request",
        ),
        (
            Some(KEY),
            COMPLETIONS,
            request(json!({ "max_tokens": 0 })),
            400,
            "invalid_request",
        ),
        (
            Some(KEY),
            COMPLETIONS,
            request(json!({ "n": 2 })),
            400,
            "invalid_request",
        ),
        (
            Some(KEY),
            COMPLETIONS,
            request(json!({ "prompt": "" })),
            400,
            "invalid_request",
        ),
        (
            Some(KEY),
            COMPLETIONS,
            request(json!({ "model": "other" })),
            403,
            "forbidden",
        ),
        (
            Some("franchises-key"),
            COMPLETIONS,
            request(json!({ "model": "other" })),
            404,
            "no_route",
        ),
        (
            Some("order-desk-key"),
            COMPLETIONS,
            good.clone(),
            403,
            "forbidden",
        ),
        (
            Some(KEY),
            COMPLETIONS,
            request(json!({ "user": KEY })),
            400,
            "invalid_request",
        ),
        (
            Some(KEY),
            COMPLETIONS,
            "x".repeat(MAX_BODY_BYTES + 1),
            413,
            "too_large",
        ),
        (
            Some(KEY),
            "/v1/chat/completions",
            good.clone(),
            400,
            "invalid_request",
        ),
    ];
    for (key, path, body, status, code) in cases {
        let start: String = body.chars().take(80).collect();
        let rejection = send_rejected(&fleet, key, path, body).await;
        assert_eq!(rejection.status.as_u16(), status, "{start}: {rejection:?}");
        assert_eq!(rejection.code, code, "{start}: {rejection:?}");
        assert_eq!(rejection.execution, "not-run", "{start}: {rejection:?}");
        assert!(!rejection.message.is_empty());
    }
    let answer = TestClient::new(address(&fleet), Some(KEY))
        .call(Method::POST, COMPLETIONS, &[], good.into())
        .await
        .expect("there is an answer");
    assert_eq!(answer.status, 200, "a valid request is still served");
}

#[tokio::test]
async fn incomplete_oversized_and_malformed_requests_are_ended() {
    let fleet = start().await;
    let head =
        format!("POST {COMPLETIONS} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n");
    // The body is never completed: the timeout for bodies ends the request.
    let incomplete = format!("{head}content-length: 50\r\nconnection: close\r\n\r\n{{");
    let answer = send_raw(&fleet, incomplete.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        answer.contains("x-dogwoodpier-execution: not-run"),
        "{answer}"
    );

    // A body without a content length is limited while it is received.
    let part = format!("{:x}\r\n{}\r\n", MAX_BODY_BYTES, "x".repeat(MAX_BODY_BYTES));
    let endless = format!("{head}transfer-encoding: chunked\r\n\r\n{part}{part}");
    let answer = send_raw(&fleet, endless.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");

    // The body of a request without a key isn't read at all.
    let unknown =
        format!("POST {COMPLETIONS} HTTP/1.1\r\nhost: node\r\ncontent-length: 50\r\n\r\n");
    let answer = send_raw(&fleet, unknown.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");

    let header = "x".repeat(1_000_000);
    let large = format!("GET / HTTP/1.1\r\nhost: node\r\nx-large: {header}\r\n\r\n");
    let answer = send_raw(&fleet, large.as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );

    let answer = send_raw(&fleet, b"no http at all\r\n\r\n").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
}

#[tokio::test]
async fn caller_that_stops_reading_holds_no_engine_memory() {
    let mut plan = plan();
    for upstream in &mut plan.upstreams {
        if let UpstreamKind::Engine(options) = &mut upstream.kind {
            options.token_gap_us = 100;
            options.token_gap_per_sequence_us = 0;
        }
    }
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    // The answer is larger than all buffers on the way, but the engine needs much less time for it
    // than the request may take.
    let body = request(json!({ "stream": true, "max_tokens": 50_000 }));
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket
        .set_recv_buffer_size(4_096)
        .expect("the buffer size is set");
    let mut stream = socket
        .connect(address(&fleet))
        .await
        .expect("the node listens");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    models::wait_for_decodes(&fleet, 1).await;
    models::wait_for_no_holds(&fleet).await;
    let mut finished = 0;
    for engine in DECODE_ENGINES {
        let stats: EngineStats = fleet.stats(engine).await.expect("the engine answers");
        finished += stats.finished_decodes;
    }
    assert_eq!(finished, 0, "the buffers took the complete answer");
    drop(stream);
}

#[tokio::test]
async fn exceeded_deadline_is_rejected_and_releases_engine_memory() {
    let fleet = start().await;
    let answer = TestClient::new(address(&fleet), Some(KEY))
        .call(
            Method::POST,
            COMPLETIONS,
            &[("x-deadline-ms", "300")],
            request(json!({ "max_tokens": 1_000 })).into(),
        )
        .await
        .expect("there is an answer");
    let rejection = answer.rejection().expect("the answer is a rejection");
    assert_eq!(rejection.code, "deadline_exceeded");
    assert_eq!(rejection.execution, "ran");
    models::wait_for_no_holds(&fleet).await;
}
