//! The prefill of a generation request and the resulting KV cache.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::retries::Attempts;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::Reply;
use dogwoodpier_process::clock;

use crate::broker;
use crate::forwarding;
use crate::forwarding::SendOutcome;
use crate::permits;
use crate::quarantine;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::LoadGuard;
use crate::state::SharedGateway;
use crate::upstream_speeds;

// Largest response to a prefill.
const MAX_HANDLE_BYTES: usize = 64 * 1024;
// Time before the expiry of a KV cache in which another engine may no longer fetch it in time.
const CACHE_MARGIN_MS: u64 = 100;

/// Progress of a request over its placements.
#[derive(Default)]
pub struct Progress {
    /// Sends and prefills so far.
    pub attempts: Attempts,
    /// Whether the last send timed out.
    pub timed_out: bool,
    /// Engine of the last placement, which failed the request.
    pub failed_engine: Option<Arc<str>>,
    /// KV cache that was computed for an engine; kept in case that engine rejects the request.
    pub cache: Option<Cache>,
    /// Software version whose engines may run the request, if only one may.
    pub version: Option<Arc<str>>,
    /// Whether the request was not sent because its software version could not be recorded.
    pub unrecorded: bool,
}

impl Progress {
    /// Takes the KV cache that the last engine rejected without using it, if it is still valid for
    /// `decode`. A cache is tried only once more.
    pub fn take_reusable_cache(
        &mut self,
        request: &ClientRequest,
        decode: &Upstream,
    ) -> Option<HeaderValue> {
        let cache = self.cache.take()?;
        let now = clock::now();
        let is_valid = cache.use_deadline_ms > now
            && request.deadline_ms > now
            && cache.version == decode.software_version;
        is_valid.then_some(cache.source)
    }
}

/// A KV cache that a prefill engine holds.
pub struct Cache {
    source: HeaderValue,
    // Software version that computed it.
    version: Arc<str>,
    use_deadline_ms: TimeMs,
}

/// Runs the prefill and returns where the decode engine finds the KV cache. Without one, the decode
/// engine prefills itself.
pub async fn run_prefill(
    gateway: &SharedGateway,
    request: &ClientRequest,
    prefill: Option<LoadGuard>,
    decode: &LoadGuard,
    progress: &mut Progress,
) -> Option<HeaderValue> {
    let mut guard = prefill?;
    let engine = guard.upstream().clone();
    let Ok(permit) = permits::acquire(gateway, request, &engine, clock::now()).await else {
        guard.set_result(broker::GrantOutcome::Withheld);
        return None;
    };
    let is_first = !progress.attempts.prefill_costs_retry();
    let may_prefill = match is_first {
        true => gateway.take_prefill_retry(request),
        false => gateway.take_retry(request),
    };
    if !may_prefill {
        return None;
    }
    progress.attempts.prefills += 1;
    // This request's own tokens included.
    let queued_tokens = gateway
        .state()
        .total_load(&engine.id, clock::now())
        .prefill_tokens;
    let names = &gateway.dialect.headers;
    let stage = HeaderValue::from_static(gateway.dialect.prefill_stage);
    let extra_headers = vec![(names.stage.clone(), stage)];
    let started_ms = clock::now();
    let send_deadline_ms = request
        .deadline_ms
        .min(started_ms.after(request.route.objective_ms));
    let outcome = forwarding::send_uncharged(
        gateway,
        request,
        &engine,
        permit,
        extra_headers,
        send_deadline_ms,
    )
    .await;
    if let SendOutcome::Cut(_) = outcome {
        quarantine::handle_cut(gateway, &request.in_flight(), &engine).await;
    }
    let reply = match outcome {
        SendOutcome::Answered(reply) => reply,
        SendOutcome::NotExecuted(_) | SendOutcome::Withheld => {
            guard.set_result(broker::GrantOutcome::Full);
            return None;
        }
        SendOutcome::Quarantined => return None,
        SendOutcome::NoPath(_) | SendOutcome::NoPermit => {
            guard.set_result(broker::GrantOutcome::Withheld);
            return None;
        }
        SendOutcome::NotSent(_)
        | SendOutcome::Cut(_)
        | SendOutcome::Lost(_)
        | SendOutcome::TimedOut => {
            guard.set_result(broker::GrantOutcome::Unreachable);
            return None;
        }
    };
    let Some(source) = read_cache_source(gateway, reply, &engine, send_deadline_ms).await else {
        gateway.record_outcome(&engine, Outcome::Failed);
        gateway.events.write(
            "prefill_unusable",
            serde_json::json!({
                "request_id": request.id_text(),
                "upstream": &*engine.id,
                "elapsed_ms": clock::now().since(started_ms),
            }),
        );
        return None;
    };
    if is_first {
        gateway.refund_prefill_retry(request);
    }
    let now = clock::now();
    let elapsed_ms = now.since(started_ms);
    gateway.record_outcome(&engine, Outcome::Answered { elapsed_ms });
    upstream_speeds::record_prefill(gateway, &engine, elapsed_ms, queued_tokens);
    gateway.events.write(
        "prefilled",
        serde_json::json!({
            "request_id": request.id_text(),
            "prefill": &*engine.id,
            "prefill_version": &*engine.software_version,
            "decode": &*decode.upstream().id,
            "decode_version": &*decode.upstream().software_version,
            "elapsed_ms": elapsed_ms,
            "prompt_tokens": request.prompt.map(|size| size.prompt_tokens),
        }),
    );
    let ttl_ms = request
        .service
        .engine
        .as_ref()
        .map_or(0, |spec| spec.handle_ttl_ms);
    progress.cache = Some(Cache {
        source: source.clone(),
        version: engine.software_version.clone(),
        use_deadline_ms: now.after(ttl_ms.saturating_sub(CACHE_MARGIN_MS)),
    });
    Some(source)
}

// Reads the response to a prefill. Its body may be as late as its head, and has no end if the engine is
// faulty.
async fn read_cache_source(
    gateway: &Gateway,
    reply: Reply,
    prefill: &Upstream,
    deadline_ms: TimeMs,
) -> Option<HeaderValue> {
    if reply.status != StatusCode::OK {
        return None;
    }
    let (body, connection) = reply.into_body();
    let limit = Duration::from_millis(deadline_ms.remaining(clock::now()));
    let whole = Limited::new(body, MAX_HANDLE_BYTES).collect();
    let whole = tokio::time::timeout(limit, whole).await.ok()?.ok()?;
    connection.return_to_pool();
    let handle = (gateway.dialect.decode_cache_handle)(&whole.to_bytes())?;
    let source = (gateway.dialect.cache_source)(prefill.address, &handle);
    HeaderValue::from_str(&source).ok()
}
