//! Carries out one run: starts a fleet, sends it the load and injects the fault.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use http::Method;
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::Instant;

use dogwoodpier_fakes::caller::Completion;
use dogwoodpier_fakes::caller::PlainAnswer;
use dogwoodpier_fakes::caller::StreamedAnswer;
use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::engine::EngineStats;
use dogwoodpier_fakes::engine::text::expected_answer;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::service::ServiceStats;

use crate::arguments::Arguments;
use crate::arguments::Run;
use crate::balancer::Balancer;
use crate::deployment::DECODE_POOL;
use crate::deployment::Deployment;
use crate::deployment::MODEL;
use crate::deployment::PREFILL_POOL;
use crate::deployment::SERVICE_POOL;
use crate::faults;
use crate::policing;
use crate::policing::ReferenceBucket;
use crate::record::Kind;
use crate::record::Outcome;
use crate::record::Record;
use crate::record::Records;
use crate::schedule;
use crate::schedule::Arrival;
use crate::schedule::Payload;

/// Attempts to send a request. One that could not be sent is tried at another node, as a load
/// balancer does.
const MAX_CONNECT_ATTEMPTS: usize = 3;
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

type Callers = BTreeMap<(SocketAddr, String), TestClient>;

struct Sender {
    balancer: Arc<Balancer>,
    callers: Callers,
}

/// Carries out a run and returns its results.
pub async fn drive(arguments: &Arguments, run: &Run) -> anyhow::Result<Records> {
    let deployment = Deployment::named(&run.deployment, run.load_percent);
    let mut fleet = Fleet::start(deployment.plan(arguments, run)).await?;
    let balancer = Balancer::start(&fleet, run.seed);
    let sender = Arc::new(Sender {
        callers: callers(&deployment, &balancer),
        balancer,
    });
    let load_duration = arguments.warm_up + arguments.duration;
    let arrivals = schedule::schedule(&deployment, run.alone.as_deref(), run.seed, load_duration);
    let within_rate_marks = mark_within_rate(&deployment, &arrivals);
    let mut order_outcomes = BTreeMap::new();
    let mut requests = Vec::new();
    let mut tasks = JoinSet::new();
    let start = Instant::now();

    let inject_fault = async {
        let third = arguments.duration / 3;
        tokio::time::sleep_until(start + arguments.warm_up + third).await;
        faults::inject(&mut fleet, run.fault, third).await
    };
    let send = async {
        for (arrival, within_rate) in arrivals.into_iter().zip(within_rate_marks) {
            tokio::time::sleep_until(start + arrival.at).await;
            let sender = Arc::clone(&sender);
            let key = deployment.workspaces[arrival.workspace].key();
            tasks.spawn(async move {
                let record = sender.send(&arrival, &key, within_rate).await;
                (arrival, record)
            });
        }
    };
    let ((), injected) = tokio::join!(send, inject_fault);
    injected?;
    while let Some(done) = tasks.join_next().await {
        let (arrival, record) = done?;
        if let Payload::Order(text) = arrival.payload {
            order_outcomes.insert(text, record.outcome.clone());
        }
        requests.push(record);
    }
    let mut engines = BTreeMap::new();
    for name in fleet
        .pool(PREFILL_POOL)
        .into_iter()
        .chain(fleet.pool(DECODE_POOL))
    {
        let stats: EngineStats = fleet.stats(&name).await?;
        engines.insert(name, stats);
    }
    Ok(Records {
        measured: (arguments.warm_up, load_duration),
        requests,
        engines,
        order_runs: order_runs(&fleet).await?,
        order_outcomes,
        platform_calls: fleet.platform_calls().await?,
        load_time: start.elapsed(),
    })
}

fn callers(deployment: &Deployment, balancer: &Balancer) -> Callers {
    let mut callers = BTreeMap::new();
    for node in balancer.nodes() {
        for workspace in &deployment.workspaces {
            let key = workspace.key();
            callers.insert((*node, key.clone()), TestClient::new(*node, Some(&key)));
        }
    }
    callers
}

/// Returns for each arrival whether it is within the rate of its workspace.
fn mark_within_rate(deployment: &Deployment, arrivals: &[Arrival]) -> Vec<bool> {
    let mut buckets: Vec<ReferenceBucket> = deployment
        .workspaces
        .iter()
        .map(ReferenceBucket::new)
        .collect();
    arrivals
        .iter()
        .map(|arrival| {
            let cost_tokens = policing::cost_tokens(&arrival.payload);
            buckets[arrival.workspace].admits(arrival.at, cost_tokens)
        })
        .collect()
}

/// Returns how often each order ran, summed over the services.
async fn order_runs(fleet: &Fleet) -> anyhow::Result<BTreeMap<String, u64>> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for name in fleet.pool(SERVICE_POOL) {
        let stats: ServiceStats = fleet.stats(&name).await?;
        for (call, count) in stats.runs_by_body {
            if let Some(text) = call.strip_prefix("POST /orders ") {
                *runs.entry(text.to_owned()).or_default() += count;
            }
        }
    }
    Ok(runs)
}

impl Sender {
    async fn send(&self, arrival: &Arrival, key: &str, within_rate: bool) -> Record {
        let sent = Instant::now();
        let mut record = Record {
            at: arrival.at,
            workspace: arrival.workspace,
            kind: kind(&arrival.payload),
            within_rate,
            outcome: Outcome::Lost("no node is ready".to_owned()),
            first_answer: None,
            gaps: Vec::new(),
        };
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let Some(caller) = self.balancer.caller(&self.callers, key) else {
                break;
            };
            let reached = match &arrival.payload {
                Payload::Completion {
                    prompt, max_tokens, ..
                } => complete(caller, prompt, *max_tokens, sent, &mut record).await,
                Payload::Order(text) => {
                    let headers = [(IDEMPOTENCY_HEADER, text.as_str())];
                    call(caller, Method::POST, "/orders", &headers, text, &mut record).await
                }
                Payload::Lookup(item) => {
                    let path = format!("/lookups/{item}");
                    call(caller, Method::GET, &path, &[], "", &mut record).await
                }
            };
            if reached {
                break;
            }
        }
        if record.first_answer.is_none()
            && record.kind != Kind::Completion
            && record.outcome == Outcome::Complete
        {
            record.first_answer = Some(sent.elapsed());
        }
        record
    }
}

fn kind(payload: &Payload) -> Kind {
    match payload {
        Payload::Completion { .. } => Kind::Completion,
        Payload::Order(_) => Kind::Order,
        Payload::Lookup(_) => Kind::Lookup,
    }
}

/// Returns false if no node was reached.
async fn complete(
    caller: &TestClient,
    prompt: &str,
    max_tokens: u64,
    sent: Instant,
    record: &mut Record,
) -> bool {
    let completion = Completion {
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        deadline_ms: None,
    };
    let answer = caller.complete(&completion).await;
    record.first_answer = answer.tokens.first().map(|(at, _)| *at - sent);
    record.gaps = answer
        .tokens
        .windows(2)
        .map(|pair| pair[1].0 - pair[0].0)
        .collect();
    record.outcome = completion_outcome(&answer, prompt, max_tokens);
    !answer
        .error
        .as_ref()
        .is_some_and(|error| error.is_not_sent())
}

fn completion_outcome(answer: &StreamedAnswer, prompt: &str, max_tokens: u64) -> Outcome {
    if let Some(refused) = &answer.refused {
        return Outcome::Refused {
            code: refused.code.clone(),
            execution: refused.execution.clone(),
            after_start: !answer.tokens.is_empty(),
        };
    }
    if !answer.is_complete() {
        let error = answer.error.as_ref().map(ToString::to_string);
        return Outcome::Lost(error.unwrap_or_else(|| "no mark of the end".to_owned()));
    }
    if answer.text() == expected_answer(prompt, max_tokens) {
        Outcome::Complete
    } else {
        Outcome::Wrong
    }
}

/// Returns false if no node was reached.
async fn call(
    caller: &TestClient,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    record: &mut Record,
) -> bool {
    match caller
        .call(method, path, headers, body.to_owned().into())
        .await
    {
        Ok(answer) => {
            record.outcome = call_outcome(&answer, path, body);
            true
        }
        Err(error) => {
            let reached = !error.is_not_sent();
            record.outcome = Outcome::Lost(error.to_string());
            reached
        }
    }
}

fn call_outcome(answer: &PlainAnswer, path: &str, body: &str) -> Outcome {
    if let Some(refused) = answer.rejection() {
        return Outcome::Refused {
            code: refused.code,
            execution: refused.execution,
            after_start: false,
        };
    }
    let echo: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if answer.status == StatusCode::OK && echo["uri"] == path && echo["body"] == body {
        Outcome::Complete
    } else {
        Outcome::Wrong
    }
}
