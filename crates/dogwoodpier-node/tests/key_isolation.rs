//! A request runs only for the workspace whose key came with it, and no upstream sees a key.

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use percent_encoding::percent_decode_str;
use serde_json::Value;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_MODEL_KEY;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::seen::SeenRequest;

const KEYS: [&str; 2] = [EXAMPLE_MODEL_KEY, EXAMPLE_ORDER_KEY];
const POOLS: [&str; 3] = ["quotes-prefill", "quotes-decode", "order-service"];
const MODEL_PATH: &str = "/v1/completions";

// A place and form in which a request presents a key. `KEY` is the placeholder for the key;
// `KEY_PERCENT` and `KEY_ESCAPED` are those for its encoded forms.
struct KeyPlacement {
    header: Option<(&'static str, &'static str)>,
    query: &'static str,
    body: &'static str,
}

const NO_BODY: &str = "{\"count\": 1}";
const KEY_PLACEMENTS: [KeyPlacement; 16] = [
    header("authorization", "Bearer KEY"),
    header("authorization", "bearer  KEY "),
    header("authorization", "KEY"),
    header("authorization", "Basic KEY"),
    header("proxy-authorization", "Bearer KEY"),
    header("x-api-key", "KEY"),
    header("api-key", "KEY"),
    header("cookie", "api_key=KEY"),
    query("api_key=KEY"),
    query("count=1&API_KEY=KEY"),
    query("api%5Fkey=KEY"),
    query("api_key=KEY_PERCENT"),
    body("{\"count\": 1, \"api_key\": \"KEY\"}"),
    body("{\"api_key\": \"KEY_ESCAPED\"}"),
    body("{\"x-api-key\": \"KEY\", \"authorization\": \"Bearer KEY\"}"),
    body("count=1&api_key=KEY"),
];

const fn header(name: &'static str, value: &'static str) -> KeyPlacement {
    KeyPlacement {
        header: Some((name, value)),
        query: "",
        body: NO_BODY,
    }
}

const fn query(query: &'static str) -> KeyPlacement {
    KeyPlacement {
        header: None,
        query,
        body: NO_BODY,
    }
}

const fn body(body: &'static str) -> KeyPlacement {
    KeyPlacement {
        header: None,
        query: "",
        body,
    }
}

// Replaces the placeholders with the key.
fn fill(template: &str, key: &str) -> String {
    template
        .replace("KEY_PERCENT", &key.replace('-', "%2D"))
        .replace("KEY_ESCAPED", &key.replace('-', "\\u002d"))
        .replace("KEY", key)
        // The name of the parameter contains the placeholder and must stay.
        .replace(&format!("API_{key}"), "API_KEY")
}

async fn start() -> Fleet {
    let plan = FleetPlan::example(env!("CARGO_BIN_EXE_dogwoodpier"), 2);
    Fleet::start(plan).await.expect("the fleet starts")
}

// Sends a request that presents `key` at the given place, in addition to the caller's own key.
async fn send(
    caller: &TestClient,
    method: Method,
    path: &str,
    placement: &KeyPlacement,
    key: &str,
) -> StatusCode {
    let uri = match placement.query {
        "" => path.to_owned(),
        query => format!("{path}?{}", fill(query, key)),
    };
    let value = placement
        .header
        .map(|(name, value)| (name, fill(value, key)));
    let headers: Vec<(&str, &str)> = value
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    let mut body = fill(placement.body, key);
    if path == MODEL_PATH
        && let Ok(Value::Object(mut fields)) = serde_json::from_str(&body)
    {
        fields.insert("model".to_owned(), "quotes".into());
        fields.insert("prompt".to_owned(), "two gates".into());
        fields.insert("max_tokens".to_owned(), 2.into());
        body = Value::Object(fields).to_string();
    }
    let answer = caller
        .call(method, &uri, &headers, Bytes::from(body))
        .await
        .expect("each request is answered");
    answer.status
}

// Returns the texts of a request in all forms in which an upstream could read them.
fn texts(request: &SeenRequest) -> Vec<String> {
    let mut texts = vec![
        request.uri.clone(),
        percent_decode_str(&request.uri)
            .decode_utf8_lossy()
            .into_owned(),
        request.body.clone(),
        percent_decode_str(&request.body)
            .decode_utf8_lossy()
            .into_owned(),
    ];
    texts.extend(request.headers.iter().map(|(_, value)| value.clone()));
    if let Ok(value) = serde_json::from_str::<Value>(&request.body) {
        texts.push(value.to_string());
    }
    texts
}

#[tokio::test]
async fn no_upstream_sees_a_key() {
    let fleet = start().await;
    let node = fleet.nodes().values().next().expect("there is a node");
    let mut answered = 0;
    for placement in &KEY_PLACEMENTS {
        for key in KEYS {
            for own_key in [None, Some(EXAMPLE_MODEL_KEY), Some(EXAMPLE_ORDER_KEY)] {
                // The caller's own key would be a second value of the same header.
                let own_header = placement
                    .header
                    .is_some_and(|(name, _)| name == "authorization");
                let caller = TestClient::new(node.caller_address, own_key.filter(|_| !own_header));
                for (method, path) in [
                    (Method::POST, "/orders"),
                    (Method::GET, "/stock"),
                    (Method::GET, "/catalogue"),
                    (Method::POST, MODEL_PATH),
                ] {
                    let status = send(&caller, method, path, placement, key).await;
                    answered += usize::from(status == StatusCode::OK);
                }
            }
        }
    }
    let mut seen = Vec::new();
    for pool in POOLS {
        let mut calls = 0;
        for upstream in fleet.pool(pool) {
            let requests = fleet.seen(&upstream).await.expect("upstreams report");
            calls += requests
                .iter()
                .filter(|request| !is_status_request(request))
                .count();
            seen.extend(
                requests
                    .into_iter()
                    .map(|request| (upstream.clone(), request)),
            );
        }
        assert!(calls > 0, "{pool} got no request");
    }
    let mut leaks: Vec<String> = Vec::new();
    for (upstream, request) in &seen {
        let leaked = texts(request)
            .iter()
            .any(|text| KEYS.iter().any(|key| text.contains(key)));
        if leaked {
            leaks.push(format!("{upstream} saw {request:?}"));
        }
    }
    leaks.dedup();
    assert!(
        leaks.is_empty(),
        "{} leaks, first: {:#?}",
        leaks.len(),
        leaks.first()
    );
    assert!(
        answered >= KEYS.len() * KEY_PLACEMENTS.len(),
        "only {answered} ran"
    );
}

fn is_status_request(request: &SeenRequest) -> bool {
    ["/v1/load", "/v1/cache", "/v1/holds"]
        .iter()
        .any(|path| request.uri.starts_with(path))
}

#[tokio::test]
async fn key_is_valid_for_its_own_workspace_only() {
    let fleet = start().await;
    for node in fleet.nodes().values() {
        let status = async |key: Option<&str>, method: Method, path: &str| {
            let caller = TestClient::new(node.caller_address, key);
            send(&caller, method, path, &body(NO_BODY), "").await
        };
        let sales = Some(EXAMPLE_MODEL_KEY);
        let orders = Some(EXAMPLE_ORDER_KEY);
        assert_eq!(status(sales, Method::POST, MODEL_PATH).await, 200);
        assert_eq!(status(sales, Method::POST, "/orders").await, 403);
        assert_eq!(status(orders, Method::POST, "/orders").await, 200);
        assert_eq!(status(orders, Method::POST, MODEL_PATH).await, 403);
        for key in [None, Some(""), Some("no-such-key"), Some("sales-ke")] {
            assert_eq!(status(key, Method::POST, "/orders").await, 401);
            assert_eq!(status(key, Method::POST, MODEL_PATH).await, 401);
        }
        assert_eq!(status(None, Method::GET, "/catalogue").await, 200);
        for path in ["/catalogue/../stock", "/catalogue/%2e%2e/stock"] {
            assert!(status(None, Method::GET, path).await.is_client_error());
        }
    }
}
