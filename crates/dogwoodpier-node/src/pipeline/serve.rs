//! Runs one request through the filters of the pipeline.

use std::sync::Arc;

use bytes::Bytes;
use dropshot::Body;
use http::Response;
use metrics::counter;
use tokio::sync::mpsc;

use dogwoodpier_config::EffectiveConfig;
use dogwoodpier_config::effective::Pool;
use dogwoodpier_config::effective::Route;
use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::quarantine;

use crate::clock;
use crate::counters;
use crate::drain::InFlight;
use crate::state::SharedNode;

use super::Request;
use super::accept;
use super::accept::Head;
use super::accept::Target;
use super::admit;
use super::authenticate;
use super::authenticate::Authenticated;
use super::body;
use super::body::BodyBudget;
use super::forward;
use super::model;
use super::model::Job;
use super::model::Output;
use super::model_call;
use super::model_call::Api;
use super::respond;
use super::respond::CompleteAnswer;
use super::secrets;
use super::sse;

const DRAIN_RETRY_AFTER_MS: u64 = 1_000;

/// Resources of the node that a request holds until its answer is sent.
struct RequestGuard {
    _in_flight: InFlight,
    _budget: BodyBudget,
}

/// A request whose body has been read.
struct ReadRequest {
    head: Head,
    body: Bytes,
    config: Arc<EffectiveConfig>,
    guard: RequestGuard,
}

/// Serves one request and returns the answer or the refusal.
pub async fn serve(node: &SharedNode, request: http::Request<Body>) -> Response<Body> {
    let mut workspace: Arc<str> = "".into();
    let result = run(node, request, &mut workspace).await;
    let outcome = if result.is_ok() {
        "answered"
    } else {
        "refused"
    };
    counter!(counters::REQUESTS_TOTAL, "outcome" => outcome).increment(1);
    result.unwrap_or_else(|refusal| respond::refusal_response(&refusal, &workspace))
}

async fn run(
    node: &SharedNode,
    request: http::Request<Body>,
    workspace: &mut Arc<str>,
) -> Result<Response<Body>, Refusal> {
    let in_flight = node.drain.admit().ok_or_else(|| {
        Refusal::not_run(
            RefusalReason::ShuttingDown,
            "this instance is shutting down",
        )
        .retry_after(DRAIN_RETRY_AFTER_MS)
    })?;
    let (parts, body) = request.into_parts();
    let config = node.config.current();
    let head = accept::accept(&parts, &config, clock::now())?;
    let authenticated = authenticate::authenticate(node, &head)?;
    if let Some(authenticated) = &authenticated {
        *workspace = authenticated.name.clone();
    }
    let read = body::read(&parts.headers, body, &node.settings.tuning).await?;
    if secrets::contains_key(&read.bytes, head.key.as_deref()) {
        return Err(accept::invalid_request("the body must not contain the key"));
    }
    if matches!(head.target, Target::Route(_)) {
        secrets::refuse_keys_in_body(&read.bytes, head.key.as_deref())?;
    }
    let read = ReadRequest {
        body: read.bytes,
        config,
        guard: RequestGuard {
            _in_flight: in_flight,
            _budget: read.budget,
        },
        head,
    };
    match (read.head.target.clone(), authenticated) {
        (Target::Model(api, route), Some(authenticated)) => {
            serve_model(node, read, api, route, authenticated).await
        }
        (Target::Route(route), authenticated) => {
            serve_route(node, read, route, authenticated).await
        }
        (Target::Model(..), None) => Err(Refusal::not_run(
            RefusalReason::InvalidKey,
            "models need a key",
        )),
    }
}

async fn serve_model(
    node: &SharedNode,
    read: ReadRequest,
    api: Api,
    route: Option<Route>,
    authenticated: Authenticated,
) -> Result<Response<Body>, Refusal> {
    let call = model_call::parse(api, &read.body)?;
    // Only the prompt is forwarded. A key with JSON escapes is visible in it only after parsing.
    if secrets::contains_key(call.prompt.as_bytes(), read.head.key.as_deref()) {
        return Err(accept::invalid_request(
            "the prompt must not contain the key",
        ));
    }
    authenticate::authorize(&authenticated, &call.model)?;
    let Some(model) = read.config.models.get(&call.model) else {
        return Err(Refusal::not_run(
            RefusalReason::NoRoute,
            format!("there is no model {}", call.model),
        ));
    };
    let request_timeout_ms = authenticated.workspace.request_timeout_ms;
    let mut request = build_request(&read, Some(&authenticated.name), request_timeout_ms);
    // The job needs only the parsed call, not the body.
    request.body = Bytes::new();
    let permit = node
        .quarantine
        .admit(node, request.fingerprint, request.deadline_ms)
        .await?;
    let cost_tokens = model::cost_tokens(&call);
    let admission =
        admit::admit(node, &authenticated.name, cost_tokens, request.deadline_ms).await?;
    let job = Job {
        model: model.clone(),
        prefill_pool: find_pool(&read.config, &model.prefill_pool)?,
        decode_pool: find_pool(&read.config, &model.decode_pool)?,
        queue_deadline_ms: queue_deadline(&authenticated, &read.head, &request),
        may_repeat: route.is_none_or(|route| route.idempotent),
        call: call.clone(),
        request,
        authenticated,
        permit,
        admission,
    };
    let workspace = job.authenticated.name.clone();
    let id = read.head.id.clone();
    let mut outputs = model::start(node, job);
    let first = outputs.recv().await.unwrap_or_else(|| Err(node_failed()))?;
    if call.stream {
        return Ok(sse::stream(
            &id, call, &workspace, first, outputs, read.guard,
        ));
    }
    let answer = collect_answer(first, outputs).await?;
    Ok(respond::answer_response(&id, &call, &answer))
}

async fn collect_answer(
    first: Output,
    mut outputs: mpsc::Receiver<Result<Output, Refusal>>,
) -> Result<CompleteAnswer, Refusal> {
    let mut text = String::new();
    let mut completion_tokens = 0;
    let mut output = first;
    loop {
        match output {
            Output::Token(token) => {
                text.push_str(&token);
                completion_tokens += 1;
            }
            Output::Finish(reason) => {
                return Ok(CompleteAnswer {
                    text,
                    completion_tokens,
                    finish_reason: reason.to_string(),
                });
            }
        }
        output = outputs.recv().await.unwrap_or_else(|| Err(node_failed()))?;
    }
}

async fn serve_route(
    node: &SharedNode,
    read: ReadRequest,
    route: Route,
    authenticated: Option<Authenticated>,
) -> Result<Response<Body>, Refusal> {
    if let Some(authenticated) = &authenticated {
        authenticate::authorize(authenticated, &route.name)?;
    }
    let workspace = authenticated
        .as_ref()
        .map(|authenticated| &authenticated.name);
    let request = build_request(&read, workspace, route.timeout_ms);
    // A request that needs a claim is claimed before it is admitted. If it ran before, it gets its
    // recorded answer at no cost, and the execution status of a refusal then holds for every
    // request with the same key.
    let admitted = match forward::needs_claim(&request, &route) {
        true => None,
        false => Some(forward::admit(node, &request, &route).await?),
    };
    let node = node.clone();
    let guard = read.guard;
    // Runs in its own task, so that it completes and its outcome is known even if the caller
    // leaves.
    let task = tokio::spawn(async move {
        let _guard = guard;
        match admitted {
            Some(admitted) => forward::forward(&node, &request, &route, admitted).await,
            None => forward::forward_claimed(&node, &request, &route).await,
        }
    });
    task.await.unwrap_or_else(|_| Err(node_failed()))
}

fn build_request(read: &ReadRequest, workspace: Option<&Arc<str>>, timeout_ms: u64) -> Request {
    let head = &read.head;
    let allowed_ms = head
        .requested_timeout_ms
        .unwrap_or(timeout_ms)
        .min(timeout_ms);
    Request {
        id: head.id.clone(),
        method: head.method.clone(),
        path_and_query: head.path_and_query.clone(),
        headers: head.headers.clone(),
        workspace: workspace.cloned(),
        deadline_ms: head.accepted_ms.after(allowed_ms),
        fingerprint: quarantine::fingerprint(
            workspace.map(|name| &**name),
            head.method.as_str(),
            &head.path_and_query,
            &read.body,
        ),
        body: read.body.clone(),
        idempotency_key: head.idempotency_key.clone(),
    }
}

// Returns the time until which the request may wait in a queue. A first token after its target is
// of no use, so waiting longer is not worthwhile.
fn queue_deadline(authenticated: &Authenticated, head: &Head, request: &Request) -> TimeMs {
    let target_ms = authenticated.workspace.first_token_target_ms;
    if target_ms == 0 {
        return request.deadline_ms;
    }
    request.deadline_ms.min(head.accepted_ms.after(target_ms))
}

fn find_pool(config: &EffectiveConfig, name: &Arc<str>) -> Result<Pool, Refusal> {
    config.pools.get(name).cloned().ok_or_else(|| {
        Refusal::not_run(
            RefusalReason::NoUpstream,
            format!("there is no pool {name}"),
        )
    })
}

fn node_failed() -> Refusal {
    Refusal::new(
        RefusalReason::Internal,
        Execution::Unknown,
        "the node failed while it served the request",
    )
}
