//! Upstream responses that are cut, truncated or belong to another request are errors, and never
//! pass as complete.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderMap;
use http::Method;
use http::StatusCode;

use dogwoodpier_fakes::control;
use dogwoodpier_fakes::crash::Crash;
use dogwoodpier_fakes::engine::Engine;
use dogwoodpier_fakes::engine::EngineFaults;
use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::server::Server;
use dogwoodpier_fakes::service::Service;
use dogwoodpier_fakes::service::ServiceFaults;
use dogwoodpier_fakes::service::ServiceOptions;
use dogwoodpier_fakes::service::ServiceStats;
use dogwoodpier_upstream::engine::EngineClient;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::engine::EngineOptions as EngineClientOptions;
use dogwoodpier_upstream::service::ServiceCall;
use dogwoodpier_upstream::service::ServiceClient;
use dogwoodpier_upstream::service::ServiceError;
use dogwoodpier_upstream::service::ServiceOptions as ServiceClientOptions;
use dogwoodpier_upstream::wire::CancelRequest;
use dogwoodpier_upstream::wire::DecodeEvent;
use dogwoodpier_upstream::wire::DecodeRequest;
use dogwoodpier_upstream::wire::ImportRequest;
use dogwoodpier_upstream::wire::PrefillRequest;
use dogwoodpier_upstream::wire::ReserveRequest;

const LONG_TIMEOUT_MS: u64 = 30_000;
const PROMPT: &str = "a tender for four hundred metres of chain link";
const MAX_TOKENS: u64 = 30;

async fn start_engine() -> (Server, EngineClient) {
    let server = Engine::start(EngineOptions::new(EngineRole::Both), Crash::stop_server())
        .await
        .expect("the engine starts");
    let client = EngineClient::new(EngineClientOptions {
        address: server.address(),
        connect_timeout_ms: LONG_TIMEOUT_MS,
        call_timeout_ms: LONG_TIMEOUT_MS,
    });
    (server, client)
}

/// Runs a request from reservation to decode, where `delivered` is the part of the answer that the
/// caller already has. Returns the texts of the received tokens, and the token count or error at
/// the stream's end.
async fn run(
    client: &EngineClient,
    hold: &str,
    delivered: &[String],
) -> (Vec<String>, Result<u64, EngineError>) {
    let hold: Arc<str> = hold.into();
    let reserve = ReserveRequest {
        hold: hold.clone(),
        sequences: 1,
        pieces: 40,
    };
    client.reserve(&reserve).await.expect("the engine has room");
    let prefill = PrefillRequest {
        hold: hold.clone(),
        model: "model".into(),
        prompt: format!("{PROMPT}{}", delivered.concat()).into(),
        priority: 0,
        deadline_in_ms: LONG_TIMEOUT_MS,
    };
    let prefilled = client
        .prefill(&prefill, LONG_TIMEOUT_MS)
        .await
        .expect("the prefill runs");
    let import = ImportRequest {
        hold: hold.clone(),
        source: client.address().to_string().into(),
        kv_handle: prefilled.kv_handle,
    };
    client
        .import(&import, LONG_TIMEOUT_MS)
        .await
        .expect("the transfer runs");
    let decode = DecodeRequest {
        hold,
        request_id: "request".into(),
        max_tokens: MAX_TOKENS,
        resume_from: delivered.len() as u64,
    };
    let mut stream = client
        .decode(&decode, LONG_TIMEOUT_MS)
        .await
        .expect("the decode starts");
    let mut texts = Vec::new();
    loop {
        match stream.next().await {
            Ok(Some(DecodeEvent::Token { index, text, .. })) => {
                assert_eq!(index, (delivered.len() + texts.len()) as u64);
                texts.push(text.to_string());
            }
            Ok(Some(DecodeEvent::Finish {
                completion_tokens, ..
            })) => return (texts, Ok(completion_tokens)),
            Ok(None) => panic!("a stream ends with its finish event"),
            Err(error) => return (texts, Err(error)),
        }
    }
}

/// A cut decode is an error. Resumed from the delivered tokens, it yields the same answer as
/// without cut.
#[tokio::test]
async fn cut_decode_is_resumed_without_loss() {
    let (server, client) = start_engine().await;
    let faults = EngineFaults {
        cut_streams: 1,
        cut_after_tokens: 7,
        ..EngineFaults::default()
    };
    control::set_faults(server.address(), &faults)
        .await
        .expect("faults are set");

    let (mut texts, end) = run(&client, "1-1", &[]).await;
    assert!(
        matches!(end, Err(EngineError::Cut(_))),
        "ended with {end:?}"
    );
    assert_eq!(texts.len(), 7);
    let holds = client.holds().await.expect("the engine answers");
    assert_eq!(holds.holds.len(), 1);

    let cancel = CancelRequest { hold: "1-1".into() };
    let reply = client.cancel(&cancel).await.expect("the engine answers");
    assert!(reply.released);
    let (rest, end) = run(&client, "1-2", &texts).await;
    assert_eq!(end.expect("the second decode is complete"), MAX_TOKENS);
    texts.extend(rest);
    assert_eq!(texts.concat(), expected_answer(PROMPT, MAX_TOKENS));
    let holds = client.holds().await.expect("the engine answers");
    assert!(holds.holds.is_empty());
}

/// If an engine crashes, its streams end as cut, and later calls fail as not sent.
#[tokio::test]
async fn crash_cuts_streams_and_refuses_calls() {
    let (server, client) = start_engine().await;
    let crash = async {
        while client.load().await.expect("the engine answers").sequences == 0 {
            tokio::task::yield_now().await;
        }
        server.stop();
    };
    let ((texts, end), ()) = tokio::join!(run(&client, "1-1", &[]), crash);
    assert!(
        matches!(end, Err(EngineError::Cut(_))),
        "ended with {end:?}"
    );
    assert!((texts.len() as u64) < MAX_TOKENS);
    let error = client.load().await.expect_err("the engine has crashed");
    assert!(
        matches!(error, EngineError::NotSent(_) | EngineError::Cut(_)),
        "failed with {error:?}"
    );
    let error = client.load().await.expect_err("the engine has crashed");
    assert!(matches!(error, EngineError::NotSent(_)));
}

/// An event of another request ends the stream with an error and isn't passed on.
#[tokio::test]
async fn event_of_other_request_is_an_error() {
    let (server, client) = start_engine().await;
    let faults = EngineFaults {
        cross_tokens: u32::MAX,
        ..EngineFaults::default()
    };
    control::set_faults(server.address(), &faults)
        .await
        .expect("faults are set");
    let (texts, end) = run(&client, "1-1", &[]).await;
    assert!(
        matches!(end, Err(EngineError::RequestIdMismatch { .. })),
        "ended with {end:?}"
    );
    assert!(texts.is_empty());
}

/// The errors of a service call tell whether it may have run.
#[tokio::test]
async fn service_errors_tell_whether_call_ran() {
    let options = ServiceOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        work_ms: 0,
    };
    let server = Service::start(options, Crash::stop_server())
        .await
        .expect("the service starts");
    let client = ServiceClient::new(ServiceClientOptions {
        address: server.address(),
        connect_timeout_ms: LONG_TIMEOUT_MS,
    });
    let call = || {
        client.call(ServiceCall {
            method: Method::POST,
            uri: "/orders".parse().expect("a path is a URI"),
            headers: HeaderMap::new(),
            body: "roll".into(),
            is_idempotent: false,
            timeout_ms: LONG_TIMEOUT_MS,
            progress_timeout_ms: LONG_TIMEOUT_MS,
            max_body_bytes: 1_000_000,
        })
    };
    let set_faults = async |faults: ServiceFaults| {
        control::set_faults(server.address(), &faults)
            .await
            .expect("faults are set");
    };

    set_faults(ServiceFaults {
        cut_before: 1,
        ..ServiceFaults::default()
    })
    .await;
    let error = call().await.expect_err("the call is cut");
    assert!(matches!(error, ServiceError::NoAnswer(_)));
    set_faults(ServiceFaults {
        cut_after: 1,
        ..ServiceFaults::default()
    })
    .await;
    let error = call().await.expect_err("the response is cut");
    assert!(matches!(error, ServiceError::NoAnswer(_)));
    set_faults(ServiceFaults {
        truncate: 1,
        ..ServiceFaults::default()
    })
    .await;
    let error = call().await.expect_err("the response is truncated");
    assert!(
        matches!(&error, ServiceError::Truncated { status, .. } if *status == StatusCode::OK),
        "failed with {error:?}"
    );
    let stats: ServiceStats = control::get(server.address(), "/control/stats")
        .await
        .expect("the service answers");
    assert_eq!(stats.runs, 2);

    server.stop();
    let error = loop {
        // The listener closes a moment after `stop`.
        match call().await {
            Err(error @ ServiceError::NotSent(_)) => break error,
            _ => tokio::task::yield_now().await,
        }
    };
    assert!(matches!(error, ServiceError::NotSent(_)));
}
