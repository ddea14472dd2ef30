//! Forwards a request to a plain service.

use dropshot::Body;
use http::HeaderName;
use http::HeaderValue;
use http::Response;

use dogwoodpier_config::effective::Route;
use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_proto::Header;
use dogwoodpier_proto::RecordedOutcome;
use dogwoodpier_upstream::service::ServiceReply;

use crate::claims::Claimed;
use crate::claims::Grant;
use crate::clock;
use crate::quarantine::RunPermit;
use crate::state::SharedNode;

use super::admit;
use super::admit::Admission;
use super::dispatch;
use super::dispatch::Failure;
use super::request::Request;

/// Header that marks an answer recorded for an earlier request with the same idempotency key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Largest body that is recorded for replay; of larger answers only the outcome is recorded.
const MAX_RECORDED_BYTES: usize = 4 * 1024;

/// Quarantine permit and tokens of a request that may be dispatched.
pub struct Admitted {
    permit: RunPermit,
    admission: Option<Admission>,
}

/// Returns whether a request must claim its idempotency key.
pub fn needs_claim(request: &Request, route: &Route) -> bool {
    !route.idempotent && request.idempotency_key.is_some()
}

/// Passes a request through the quarantine and takes its tokens.
pub async fn admit(
    node: &SharedNode,
    request: &Request,
    route: &Route,
) -> Result<Admitted, Refusal> {
    let deadline_ms = request.deadline_ms;
    let permit = node
        .quarantine
        .admit(node, request.fingerprint, deadline_ms)
        .await?;
    let admission = match &request.workspace {
        Some(workspace) if route.cost_tokens.0 > 0 => {
            Some(admit::admit(node, workspace, route.cost_tokens, deadline_ms).await?)
        }
        _ => None,
    };
    Ok(Admitted { permit, admission })
}

/// Sends an admitted request to an upstream of the route's pool and returns the answer. Must not be
/// cancelled when the client leaves.
pub async fn forward(
    node: &SharedNode,
    request: &Request,
    route: &Route,
    admitted: Admitted,
) -> Result<Response<Body>, Refusal> {
    let result = dispatch_and_settle(node, request, route, &request.id, admitted).await;
    result.map(into_response).map_err(Refusal::from)
}

/// Claims the request's idempotency key, then admits and sends the request. If the key already has
/// a recorded answer, that answer is returned. Must not be cancelled when the client leaves.
pub async fn forward_claimed(
    node: &SharedNode,
    request: &Request,
    route: &Route,
) -> Result<Response<Body>, Refusal> {
    let workspace = request.workspace.clone().unwrap_or_default();
    let key = request.idempotency_key.clone().unwrap_or_default();
    let claimed = node
        .claims
        .claim(
            node,
            &workspace,
            &key,
            request.fingerprint,
            request.deadline_ms,
        )
        .await?;
    match claimed {
        Claimed::Granted(grant) => forward_granted(node, request, route, grant).await,
        Claimed::Recorded(outcome) => replay(outcome),
    }
}

async fn forward_granted(
    node: &SharedNode,
    request: &Request,
    route: &Route,
    grant: Grant,
) -> Result<Response<Body>, Refusal> {
    let admitted = match admit(node, request, route).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            node.claims.record(node, grant, not_run());
            return Err(refusal);
        }
    };
    // The grant may have expired, for example because the process was paused.
    if !grant.may_dispatch(clock::now()) {
        node.claims.record(node, grant, not_run());
        return Err(Refusal::not_run(
            RefusalReason::DeadlineExceeded,
            "the claim of the idempotency key came too late to be used",
        ));
    }
    let id = format!("{:016x}", grant.attempt_id);
    let result = dispatch_and_settle(node, request, route, &id, admitted).await;
    if let Some(outcome) = known_outcome(&result) {
        node.claims.record_before_answer(node, grant, outcome).await;
    }
    result.map(into_response).map_err(Refusal::from)
}

// Dispatches a request and settles its tokens.
async fn dispatch_and_settle(
    node: &SharedNode,
    request: &Request,
    route: &Route,
    id: &str,
    mut admitted: Admitted,
) -> Result<ServiceReply, Failure> {
    let permit = &mut admitted.permit;
    let result = match route.idempotent {
        true => dispatch::with_retries(node, request, route, permit).await,
        false => dispatch::once(node, request, route, id, permit).await,
    };
    let has_run = match &result {
        Ok(_) => true,
        Err(failure) => failure.execution != Execution::NotRun,
    };
    if let (true, Some(admission)) = (has_run, &mut admitted.admission) {
        admission.add_used_tokens(route.cost_tokens);
    }
    result
}

// Returns the outcome to record for a dispatch, or `None` if it is unknown whether the request ran.
fn known_outcome(result: &Result<ServiceReply, Failure>) -> Option<RecordedOutcome> {
    match result {
        Ok(reply) => Some(recorded_outcome(reply)),
        Err(failure) => match failure.execution {
            Execution::NotRun => Some(not_run()),
            Execution::Ran => Some(RecordedOutcome {
                body_dropped: true,
                ..RecordedOutcome::default()
            }),
            Execution::Unknown => None,
        },
    }
}

fn not_run() -> RecordedOutcome {
    RecordedOutcome {
        not_run: true,
        ..RecordedOutcome::default()
    }
}

fn recorded_outcome(reply: &ServiceReply) -> RecordedOutcome {
    let body_dropped = reply.body.len() > MAX_RECORDED_BYTES;
    let headers = reply.headers.iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    RecordedOutcome {
        status: reply.status.as_u16().into(),
        headers: headers.collect(),
        body: match body_dropped {
            true => Vec::new(),
            false => reply.body.to_vec(),
        },
        not_run: false,
        body_dropped,
    }
}

fn replay(outcome: RecordedOutcome) -> Result<Response<Body>, Refusal> {
    if outcome.body_dropped {
        return Err(Refusal::new(
            RefusalReason::UpstreamFailed,
            Execution::Ran,
            "an earlier request with this idempotency key ran; its answer is not kept",
        ));
    }
    let mut response = Response::new(Body::from(outcome.body));
    let unreadable = || {
        Refusal::new(
            RefusalReason::Internal,
            Execution::Ran,
            "the recorded answer can't be read",
        )
    };
    let status = u16::try_from(outcome.status).map_err(|_| unreadable())?;
    *response.status_mut() = status.try_into().map_err(|_| unreadable())?;
    for header in outcome.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| unreadable())?;
        let value = HeaderValue::from_bytes(&header.value).map_err(|_| unreadable())?;
        response.headers_mut().append(name, value);
    }
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    Ok(response)
}

fn into_response(reply: ServiceReply) -> Response<Body> {
    let mut response = Response::new(Body::from(reply.body.to_vec()));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}
