//! Dispatches requests to plain services, with retries if the route is idempotent.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Uri;
use tokio::net::TcpStream;

use dogwoodpier_config::effective::Route;
use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_http::SendError;
use dogwoodpier_upstream::service::ServiceCall;
use dogwoodpier_upstream::service::ServiceError;
use dogwoodpier_upstream::service::ServiceReply;

use crate::clock;
use crate::quarantine::RunPermit;
use crate::state::SharedNode;
use crate::upstreams::Service;

use super::request::Request;

/// Header that carries the id of a dispatch to the upstream and back.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const RETRY_AFTER_MS: u64 = 1_000;
// Upstreams that an idempotent request is sent to at most.
const MAX_ATTEMPTS: usize = 3;
/// Largest body of an upstream's answer, which is buffered until it is complete.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_PROGRESS_TIMEOUT_MS: u64 = 10_000;

/// Why a request got no answer, and what is known of its execution.
#[derive(Debug)]
pub struct Failure {
    /// The cause.
    pub reason: RefusalReason,
    /// What is known of the execution.
    pub execution: Execution,
    /// Message for the caller.
    pub message: Arc<str>,
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        Self::new(failure.reason, failure.execution, failure.message).retry_after(RETRY_AFTER_MS)
    }
}

/// Dispatches a request that must not run twice. Another upstream is tried only if nothing was sent
/// to the previous ones.
pub async fn once(
    node: &SharedNode,
    request: &Request,
    route: &Route,
    id: &str,
    permit: &mut RunPermit,
) -> Result<ServiceReply, Failure> {
    let mut last_failure = no_upstream(route);
    for service in node.upstreams.services(&route.pool) {
        match call(node, &service, request, route, id, permit).await {
            Err(failure) if failure.execution == Execution::NotRun => last_failure = failure,
            result => return result,
        }
    }
    Err(last_failure)
}

/// Dispatches an idempotent request to up to `MAX_ATTEMPTS` upstreams within its deadline, until
/// one answers without a server error. A server error is returned only from the last attempt.
pub async fn with_retries(
    node: &SharedNode,
    request: &Request,
    route: &Route,
    permit: &mut RunPermit,
) -> Result<ServiceReply, Failure> {
    let mut last_failure = no_upstream(route);
    let mut services = node.upstreams.services(&route.pool);
    services.truncate(MAX_ATTEMPTS);
    let count = services.len();
    for (index, service) in services.into_iter().enumerate() {
        let is_last = index + 1 == count;
        // Each attempt has its own id, which distinguishes its answer from a late one to an earlier
        // attempt.
        let id = format!("{}-{index}", request.id);
        match call(node, &service, request, route, &id, permit).await {
            Err(failure) => last_failure = merge_failures(last_failure, failure),
            Ok(reply) if reply.status.is_server_error() && !is_last => {
                last_failure.execution = Execution::Ran;
            }
            Ok(reply) => return Ok(reply),
        }
        if is_last || clock::now() >= request.deadline_ms {
            break;
        }
        if let Err(failure) = readmit(node, request, permit).await {
            return Err(merge_failures(last_failure, failure));
        }
    }
    Err(last_failure)
}

// Passes the quarantine again if the request has crashed an upstream.
async fn readmit(
    node: &SharedNode,
    request: &Request,
    permit: &mut RunPermit,
) -> Result<(), Failure> {
    if !permit.has_crashed() {
        return Ok(());
    }
    // Releases the current permit before requesting the next one.
    *permit = RunPermit::default();
    let entered = node
        .quarantine
        .readmit(node, request.fingerprint, request.deadline_ms)
        .await;
    *permit = entered.map_err(|refusal| Failure {
        reason: refusal.reason,
        execution: refusal.execution,
        message: refusal.message,
    })?;
    Ok(())
}

// Returns whether a service no longer accepts connections. Only idempotent requests need this
// check: they use pooled connections, which may also be cut because they were idle. Other requests
// have a new connection each, where a cut always counts as a crash, since the service may have
// restarted in the meantime.
async fn has_crashed(service: &Service) -> bool {
    let connecting = TcpStream::connect(service.client.address());
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(result) => result.is_err(),
        Err(_) => true,
    }
}

async fn call(
    node: &SharedNode,
    service: &Service,
    request: &Request,
    route: &Route,
    id: &str,
    permit: &mut RunPermit,
) -> Result<ServiceReply, Failure> {
    let call = service_call(node, request, route, id)?;
    let result = service.client.call(call).await;
    if result.is_err() {
        node.upstreams.record_failure(&service.name);
    }
    if let Err(ServiceError::NoAnswer(SendError::Cut(_))) = &result
        && (!route.idempotent || has_crashed(service).await)
    {
        let failure_count = node.upstreams.failure_count(&service.name);
        permit.record_crash(&service.name, failure_count).await;
    }
    let reply = result.map_err(service_failure)?;
    validate_reply(&reply, id)?;
    Ok(reply)
}

fn service_call(
    node: &SharedNode,
    request: &Request,
    route: &Route,
    id: &str,
) -> Result<ServiceCall, Failure> {
    let timeout_ms = request.deadline_ms.remaining(clock::now());
    if timeout_ms == 0 {
        return Err(Failure {
            reason: RefusalReason::DeadlineExceeded,
            execution: Execution::NotRun,
            message: "the deadline passed before the request was sent".into(),
        });
    }
    let invalid = || Failure {
        reason: RefusalReason::InvalidRequest,
        execution: Execution::NotRun,
        message: "the path can't be forwarded".into(),
    };
    let uri: Uri = request.path_and_query.parse().map_err(|_| invalid())?;
    let mut headers = request.headers.clone();
    let id = HeaderValue::from_str(id).map_err(|_| invalid())?;
    headers.insert(REQUEST_ID_HEADER, id);
    let config = node.config.current();
    let pool = config.pools.get(&route.pool);
    Ok(ServiceCall {
        method: request.method.clone(),
        uri,
        headers,
        body: request.body.clone(),
        is_idempotent: route.idempotent,
        timeout_ms,
        progress_timeout_ms: pool
            .map_or(DEFAULT_PROGRESS_TIMEOUT_MS, |pool| pool.progress_timeout_ms),
        max_body_bytes: MAX_ANSWER_BYTES,
    })
}

// Rejects an answer with the id of another request and one that may be truncated.
fn validate_reply(reply: &ServiceReply, id: &str) -> Result<(), Failure> {
    let reply_id = reply.headers.get(&REQUEST_ID_HEADER);
    if reply_id.is_some_and(|reply_id| reply_id.as_bytes() != id.as_bytes()) {
        return Err(Failure {
            reason: RefusalReason::UpstreamFailed,
            execution: Execution::Unknown,
            message: "the upstream's answer belongs to another request".into(),
        });
    }
    if !reply.is_complete {
        return Err(Failure {
            reason: RefusalReason::UpstreamFailed,
            execution: Execution::Ran,
            message: "nothing tells whether the upstream's answer is whole".into(),
        });
    }
    Ok(())
}

fn service_failure(error: ServiceError) -> Failure {
    let execution = match error {
        ServiceError::NotSent(_) => Execution::NotRun,
        ServiceError::NoAnswer(_) => Execution::Unknown,
        ServiceError::Truncated { .. } => Execution::Ran,
    };
    let reason = match error {
        ServiceError::NotSent(_) => RefusalReason::NoUpstream,
        ServiceError::NoAnswer(SendError::Timeout { .. }) => RefusalReason::DeadlineExceeded,
        ServiceError::NoAnswer(_) | ServiceError::Truncated { .. } => RefusalReason::UpstreamFailed,
    };
    Failure {
        reason,
        execution,
        message: match execution {
            Execution::NotRun => "the upstream can't be reached",
            Execution::Unknown => "the upstream gave no answer; the request may have run",
            Execution::Ran => "the request ran, but the upstream's answer is not whole",
        }
        .into(),
    }
}

fn no_upstream(route: &Route) -> Failure {
    Failure {
        reason: RefusalReason::NoUpstream,
        execution: Execution::NotRun,
        message: format!("no upstream of pool {} takes requests", route.pool).into(),
    }
}

// Returns the later failure with the more certain execution status of both: `Ran` before `Unknown`
// before `NotRun`.
fn merge_failures(earlier: Failure, later: Failure) -> Failure {
    let rank = |execution| match execution {
        Execution::NotRun => 0,
        Execution::Unknown => 1,
        Execution::Ran => 2,
    };
    let execution = match rank(earlier.execution) > rank(later.execution) {
        true => earlier.execution,
        false => later.execution,
    };
    Failure { execution, ..later }
}
