//! Admission of requests: checks of route, key, body and quota.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::client_limits::Purpose;
use dogwoodpier_core::gateway::placement;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::routes::QuotaUnit;
use dogwoodpier_core::gateway::routes::RetryPolicy;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::routes::Service;
use dogwoodpier_core::gateway::routes::Workspace;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::quarantine;
use dogwoodpier_core::rendezvous;
use dogwoodpier_process::clock;

use crate::client_budget::Buffer;
use crate::client_budget::HeldBytes;
use crate::dialect::PromptSize;
use crate::headers;
use crate::newer_configuration;
use crate::quarantine::RequestContent;
use crate::quota;
use crate::quota::Charge;
use crate::quota::OverQuota;
use crate::readiness;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::traffic::Traffic;

// Time after which a client may retry at an instance that has no configuration yet.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;
// Longest wait of a request for the first reading of the store, several times what it takes. A client
// that is rejected meanwhile has to connect anew.
const FIRST_READING_WAIT_MS: u64 = 150;
const FIRST_READING_POLL: Duration = Duration::from_millis(5);
// Memory of a header field in a decoded head: its entry in the map, its places in the index and its
// share of the room for growth.
const FIELD_BYTES: usize = 192;
// Time after which bodies held now are likely to be released.
const NO_MEMORY_RETRY_MS: u64 = 500;

/// Admits or rejects a request. No part of a rejected request reaches an upstream.
pub async fn admit(
    gateway: &SharedGateway,
    request: Request<Incoming>,
    received_ms: TimeMs,
) -> Result<ClientRequest, Rejection> {
    let (head, body) = request.into_parts();
    let held_head = hold_head(gateway, &head)?;
    wait_for_first_reading(gateway).await;
    let configuration = gateway.configuration.load_full();
    let configuration = configuration.filter(|_| {
        readiness::knows_evacuations(gateway) && !newer_configuration::is_awaited(gateway)
    });
    let Some(configuration) = configuration else {
        return Err(Rejection::with_retry_after(
            Reason::NoConfiguration,
            NO_CONFIGURATION_RETRY_MS,
            u64::MAX,
        ));
    };
    let names = &gateway.dialect.headers;
    let id = head.headers.get(&names.request_id).cloned();
    let id = id
        .filter(|id| !id.is_empty())
        .ok_or(Rejection::new(Reason::Malformed))?;
    let route = find_route(&configuration, &head)?;
    let workspace = find_workspace(gateway, &configuration, &route, &head.headers)?;
    if !gateway.accepts(&route) {
        return Err(Rejection::shutting_down());
    }
    let client_wait_ms =
        header_number(&head.headers, &names.remaining_ms).unwrap_or(route.timeout_ms);
    let deadline_ms = received_ms.after(client_wait_ms.min(route.timeout_ms));
    let service = route
        .target(service_draw(gateway, &route, &head.headers, &id))
        .and_then(|name| configuration.services.get(name))
        .cloned()
        .ok_or(Rejection::new(Reason::NoUpstream))?;
    let limit = configuration.limits.max_body_bytes;
    let traffic = head.extensions.get::<Traffic>();
    let body = read_body(gateway, body, traffic, limit, deadline_ms).await?;
    let prompt = (gateway.dialect.decode_prompt_size)(&head.headers);
    let mut forwarded = headers::to_upstream(&head.headers, names);
    if let Some(workspace) = &workspace {
        let value = HeaderValue::from_str(&workspace.name)
            .map_err(|_| Rejection::new(Reason::Malformed))?;
        forwarded.insert(&names.workspace, value);
    }
    let priority = workspace
        .as_ref()
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    let path_and_query = head.uri.path_and_query();
    let content = RequestContent {
        fingerprint: quarantine::fingerprint(
            workspace.as_ref().map(|workspace| &*workspace.name),
            head.method.as_str(),
            path_and_query.map_or_else(|| head.uri.path(), |path| path.as_str()),
            &body,
        ),
        shared_parts: (gateway.dialect.decode_shared_parts)(&head.headers).into(),
    };
    if let Some(rejection) = gateway.quarantine.rejection(&content) {
        log_quarantined(gateway, &id, content.fingerprint);
        return Err(rejection);
    }
    let charge = match &workspace {
        None => None,
        Some(workspace) => charge_quota(gateway, &id, workspace, &service, prompt)
            .await
            .map_err(|over_quota| {
                Rejection::with_retry_after(
                    Reason::OverQuota,
                    over_quota.retry_after_ms,
                    client_wait_ms,
                )
            })?,
    };
    let request = ClientRequest {
        id,
        content,
        charge,
        method: head.method,
        target: head.uri,
        headers: forwarded,
        held_head,
        body,
        route,
        service,
        workspace,
        priority,
        prompt,
        received_ms,
        client_wait_ms,
        deadline_ms,
    };
    gateway.events.write(
        "admitted",
        serde_json::json!({
            "request_id": request.id_text(),
            "fingerprint": format!("{:016x}", request.content.fingerprint),
            "route": &*request.route.name,
            "service": &*request.service.name,
            "workspace": request.workspace.as_ref().map(|workspace| &*workspace.name),
            "configuration_version": configuration.version,
            "wait_ms": request.client_wait_ms,
            "resumes": request.header_text(&names.resumes),
            "last_event": request.header_text(&names.last_event_id),
        }),
    );
    Ok(request)
}

// Waits until the instance has read from the store what it needs to serve, if it has just started.
async fn wait_for_first_reading(gateway: &Gateway) {
    let has_read = || {
        gateway.configuration.load().is_some()
            && readiness::knows_evacuations(gateway)
            && gateway.state().upstreams_known
    };
    let deadline_ms = clock::now().after(FIRST_READING_WAIT_MS);
    while !has_read() && clock::now() < deadline_ms {
        tokio::time::sleep(FIRST_READING_POLL).await;
    }
}

fn log_quarantined(gateway: &Gateway, id: &HeaderValue, fingerprint: u64) {
    gateway.events.write(
        "quarantined",
        serde_json::json!({
            "request_id": id.to_str().unwrap_or_default(),
            "fingerprint": format!("{fingerprint:016x}"),
        }),
    );
}

fn find_route(configuration: &Configuration, head: &Parts) -> Result<Arc<Route>, Rejection> {
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok());
    let (Some(host), None) = (host, hosts.next()) else {
        return Err(Rejection::new(Reason::Malformed));
    };
    configuration
        .route(host, head.uri.path())
        .cloned()
        .ok_or(Rejection::new(Reason::NoRoute))
}

// Returns the number by which a route that is split between services selects one: the same for all
// attempts that belong to one stream.
fn service_draw(gateway: &Gateway, route: &Route, headers: &HeaderMap, id: &HeaderValue) -> u64 {
    if route.retry_policy != (RetryPolicy::Stream { resumable: true }) {
        return rand::random();
    }
    let first = headers.get(&gateway.dialect.headers.resumes).unwrap_or(id);
    rendezvous::weight("stream", &String::from_utf8_lossy(first.as_bytes()))
}

// Returns the workspace of the request's key. Rejects a request without a known key if its route
// requires one.
fn find_workspace(
    gateway: &Gateway,
    configuration: &Configuration,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, Rejection> {
    let workspace = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(gateway.dialect.key_prefix))
        .and_then(|key| configuration.workspace_of(key.trim()))
        .cloned();
    let needs_key = !configuration.workspaces.is_empty() && !route.public;
    if needs_key && workspace.is_none() {
        return Err(Rejection::new(Reason::UnknownKey));
    }
    Ok(workspace)
}

// Counts what the head of a request takes once it is decoded, for the client's and the forwarded
// fields.
fn hold_head(gateway: &SharedGateway, head: &Parts) -> Result<HeldBytes, Rejection> {
    let mut held = HeldBytes::new(gateway, Purpose::Request);
    let bytes = 2 * head.headers.len() * FIELD_BYTES;
    held.grow_to(bytes).map_err(|_| no_memory())?;
    Ok(held)
}

fn no_memory() -> Rejection {
    Rejection::with_retry_after(Reason::NoMemory, NO_MEMORY_RETRY_MS, u64::MAX)
}

async fn read_body(
    gateway: &SharedGateway,
    mut body: Incoming,
    traffic: Option<&Traffic>,
    max_bytes: usize,
    deadline_ms: TimeMs,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::new(Reason::BodyTooLarge));
    }
    let stated_bytes = body.size_hint().upper();
    let stated_bytes = stated_bytes.map_or(max_bytes, |upper| upper.min(max_bytes as u64) as usize);
    let _reading = traffic.map(Traffic::begin_body);
    let limit = Duration::from_millis(deadline_ms.remaining(clock::now()));
    let progress_limit = Duration::from_millis(gateway.settings.load().progress_limits.body_ms);
    let read = async {
        let mut whole = Buffer::new(gateway, Purpose::Request);
        loop {
            let Ok(frame) = tokio::time::timeout(progress_limit, body.frame()).await else {
                return Err(Rejection::new(Reason::BodyTimeout));
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else {
                return Err(Rejection::new(Reason::Malformed));
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if whole.len() + data.len() > max_bytes {
                return Err(Rejection::new(Reason::BodyTooLarge));
            }
            whole.push(&data, stated_bytes).map_err(|_| no_memory())?;
        }
        Ok(whole.into_bytes())
    };
    tokio::time::timeout(limit, read)
        .await
        .unwrap_or(Err(Rejection::new(Reason::BodyTimeout)))
}

// Charges a request to its workspace's quota.
async fn charge_quota(
    gateway: &SharedGateway,
    id: &HeaderValue,
    workspace: &Arc<Workspace>,
    service: &Service,
    prompt: Option<PromptSize>,
) -> Result<Option<Charge>, OverQuota> {
    if workspace.rate_per_s == 0 {
        return Ok(None);
    }
    let units = match workspace.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { default_tokens } => prompt.map_or(default_tokens, |prompt| {
            prompt.prompt_tokens + prompt.max_output_tokens
        }),
    };
    let has_room = has_room(gateway, service);
    let charge = quota::charge(gateway, workspace, units, has_room).await;
    charge.map(Some).inspect_err(|over_quota| {
        let membership = gateway.state().peer_reports.membership(clock::now());
        gateway.events.write(
            "over_quota",
            serde_json::json!({
                "request_id": id.to_str().unwrap_or_default(),
                "workspace": &*workspace.name,
                "units": units,
                "level": over_quota.level,
                "decided": over_quota.decided_by.as_str(),
                "has_room": has_room,
                "rate_per_s": workspace.rate_per_s,
                "members": membership.members,
                "heard": membership.reachable,
            }),
        );
    })
}

// Returns whether the upstreams of a service are lightly used.
fn has_room(gateway: &Gateway, service: &Service) -> bool {
    let mut candidates = gateway.state().candidates(&service.name);
    candidates.retain(|candidate| candidate.upstream.stage != Some(Stage::Prefill));
    let engine = service.engine.as_ref();
    placement::is_lightly_used(&candidates, engine.map(|spec| spec.kv_tokens))
}

fn header_number(headers: &HeaderMap, name: &http::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
