//! The requests of the demo, sent as by a careful caller: a request that is not answered or is
//! refused is sent again to another node.

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
const MAX_ATTEMPTS: usize = 20;
const MAX_RETRY_PAUSE_MS: u64 = 500;
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

/// Outcome of a request over all attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The answer was complete and correct.
    Answered,
    /// The answer was wrong.
    Wrong,
    /// The request was refused and did not run.
    Refused,
    /// It is unknown whether the request ran, for example because the node that ran it was killed.
    Unknown,
    /// There was no answer, or the request ran but was answered with an error.
    Lost,
}

// Result of one attempt.
enum Attempt {
    Ended(Outcome),
    // The request is to be sent again. `answer` is `None` if there was no answer; the
    // outcome of an earlier attempt then stays.
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

    /// Sends the request to one node after another until its outcome is known or all attempts are
    /// used.
    pub async fn run(&self, addresses: &Addresses, first_node: usize) -> Outcome {
        let mut outcome = Outcome::Lost;
        for attempt in 0..MAX_ATTEMPTS {
            let address = addresses[(first_node + attempt) % addresses.len()];
            match self.send(address).await {
                Attempt::Ended(outcome) => return outcome,
                Attempt::Again { pause_ms, answer } => {
                    outcome = answer.unwrap_or(outcome);
                    tokio::time::sleep(Duration::from_millis(pause_ms.min(MAX_RETRY_PAUSE_MS)))
                        .await;
                }
            }
        }
        outcome
    }

    async fn send(&self, address: SocketAddr) -> Attempt {
        match self {
            Self::Completion(number) => complete(address, *number).await,
            Self::Order(number) => {
                let key = format!("order-{number}");
                let headers = [("idempotency-key", key.as_str())];
                let body = Self::order_body(*number);
                call_service(address, Method::POST, "/orders", &headers, body).await
            }
            Self::Lookup(number) => {
                let path = format!("/stock/{number}");
                call_service(address, Method::GET, &path, &[], String::new()).await
            }
        }
    }
}

async fn complete(address: SocketAddr, number: usize) -> Attempt {
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
        let is_correct = answer.text() == expected_answer(&prompt, MAX_TOKENS);
        return Attempt::Ended(if is_correct {
            Outcome::Answered
        } else {
            Outcome::Wrong
        });
    }
    let refused = answer.refused.as_ref();
    Attempt::Again {
        pause_ms: refused
            .and_then(|refused| refused.retry_after_ms)
            .unwrap_or_default(),
        answer: refused.map(|_| Outcome::Refused),
    }
}

async fn call_service(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Attempt {
    let caller = TestClient::new(address, Some(ORDER_KEY));
    let Ok(answer) = caller.call(method, path, headers, Bytes::from(body)).await else {
        return Attempt::Again {
            pause_ms: 0,
            answer: None,
        };
    };
    if answer.status == StatusCode::OK {
        return Attempt::Ended(Outcome::Answered);
    }
    let Some(refused) = answer.rejection() else {
        return Attempt::Ended(Outcome::Wrong);
    };
    let outcome = match refused.execution.as_str() {
        NOT_RUN => Outcome::Refused,
        UNKNOWN => Outcome::Unknown,
        _ => Outcome::Lost,
    };
    Attempt::Again {
        pause_ms: refused.retry_after_ms.unwrap_or_default(),
        answer: Some(outcome),
    }
}
