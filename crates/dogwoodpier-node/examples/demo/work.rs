//! The requests of the demo, sent the way that a careful caller does it: a try that was not
//! answered, or refused as not run, goes to another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;

use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::text::expected_answer;

/// Addresses of the nodes for callers.
pub type Addresses = Arc<Vec<SocketAddr>>;

const MODEL: &str = "quotes";
const MODEL_KEY: &str = "sales-key";
const ORDER_KEY: &str = "order-desk-key";
const MAX_TOKENS: u64 = 12;
const MAX_TRIES: usize = 20;
const MAX_PAUSE_MS: u64 = 500;
const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";

/// One request of the demo.
#[derive(Clone, Copy, Debug)]
pub enum Job {
    /// A streamed answer of a model.
    Completion(usize),
    /// An order that may run once.
    Order(usize),
    /// A lookup that may be repeated.
    Lookup(usize),
}

/// What became of a request, over all tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The whole and right answer came.
    Answered,
    /// An answer came that is wrong.
    Wrong,
    /// Refused, and not run.
    Refused,
    /// Whether it ran can't be told: the node that ran it was killed.
    Unknown,
    /// No answer came.
    Lost,
}

// What one try came to.
enum Try {
    Ended(Outcome),
    // Without an answer, what an earlier try came to still holds.
    Again {
        pause_ms: u64,
        answer: Option<Outcome>,
    },
}

impl Job {
    /// Returns the job with a number.
    pub fn new(number: usize) -> Self {
        match number % 3 {
            0 => Self::Completion(number),
            1 => Self::Order(number),
            _ => Self::Lookup(number),
        }
    }

    /// Returns the body of an order.
    pub fn order_body(number: usize) -> String {
        format!("{{\"order\":{number},\"rolls\":2}}")
    }

    /// Sends the request until its outcome is clear, a try a node in turn.
    pub async fn run(&self, addresses: &Addresses, first_node: usize) -> Outcome {
        let mut outcome = Outcome::Lost;
        for attempt in 0..MAX_TRIES {
            let address = addresses[(first_node + attempt) % addresses.len()];
            match self.send(address).await {
                Try::Ended(outcome) => return outcome,
                Try::Again { pause_ms, answer } => {
                    outcome = answer.unwrap_or(outcome);
                    tokio::time::sleep(Duration::from_millis(pause_ms.min(MAX_PAUSE_MS))).await;
                }
            }
        }
        outcome
    }

    async fn send(&self, address: SocketAddr) -> Try {
        match self {
            Self::Completion(number) => complete(address, *number).await,
            Self::Order(number) => {
                let key = format!("order-{number}");
                let headers = [("idempotency-key", key.as_str())];
                let body = Self::order_body(*number);
                plain(address, Method::POST, "/orders", &headers, body).await
            }
            Self::Lookup(number) => {
                let path = format!("/stock/{number}");
                plain(address, Method::GET, &path, &[], String::new()).await
            }
        }
    }
}

async fn complete(address: SocketAddr, number: usize) -> Try {
    let prompt = format!("Tender {number}: chain link wire, posts and a gate. ").repeat(8);
    let completion = Completion {
        model: MODEL.to_owned(),
        prompt: prompt.clone(),
        max_tokens: MAX_TOKENS,
        deadline_ms: None,
    };
    let answer = TestClient::new(address, Some(MODEL_KEY))
        .complete(&completion)
        .await;
    if answer.is_complete() {
        let right = answer.text() == expected_answer(&prompt, MAX_TOKENS);
        return Try::Ended(if right {
            Outcome::Answered
        } else {
            Outcome::Wrong
        });
    }
    let refused = answer.refused.as_ref();
    Try::Again {
        pause_ms: refused
            .and_then(|refused| refused.retry_after_ms)
            .unwrap_or_default(),
        answer: refused.map(|_| Outcome::Refused),
    }
}

async fn plain(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Try {
    let caller = TestClient::new(address, Some(ORDER_KEY));
    let Ok(answer) = caller.call(method, path, headers, Bytes::from(body)).await else {
        return Try::Again {
            pause_ms: 0,
            answer: None,
        };
    };
    if answer.status == StatusCode::OK {
        return Try::Ended(Outcome::Answered);
    }
    let Some(refused) = answer.rejection() else {
        return Try::Ended(Outcome::Wrong);
    };
    let last = match refused.execution.as_str() {
        NOT_RUN => Outcome::Refused,
        UNKNOWN => Outcome::Unknown,
        _ => Outcome::Lost,
    };
    Try::Again {
        pause_ms: refused.retry_after_ms.unwrap_or_default(),
        answer: Some(last),
    }
}
