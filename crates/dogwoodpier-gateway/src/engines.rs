//! Generation requests: a slot of a decode engine first, then the prefill, then the stream.
//!
//! A prefilled KV cache lives for a fraction of a second, so it is made only once there is a place
//! to decode it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::exchange::Use;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Chooser;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::routes::EngineSpec;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::waiting::Entry;
use dogwoodpier_core::gateway::waiting::Line;
use dogwoodpier_core::gateway::waiting::Waiter;
use dogwoodpier_http::Reply;
use dogwoodpier_process::clock;

use crate::body::AnswerBody;
use crate::counters;
use crate::dialect::CacheHandle;
use crate::dialect::PromptSize;
use crate::forwarding;
use crate::forwarding::Sent;
use crate::headers;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::state::UseGuard;
use crate::stream::Relay;

// Largest answer to a prefill.
const MAX_HANDLE_BYTES: usize = 64 * 1024;
// Sends for decoding, those that were rejected included.
const MAX_DECODE_SENDS: u32 = 3;
// Time from a free slot to the first event that is assumed before any was seen.
const FIRST_EVENT_MS: f64 = 200.0;
const SMOOTHING: f64 = 0.1;
// Time for which a request stays in line beyond the moment from which it can't be on time.
const LATE_GRACE_MS: u64 = 250;
// Longest time in line of a request that has come back after a refusal.
const RETURNED_WAIT_MS: u64 = 2_200;
// Clients' waits differ by their own delays; only a larger difference tells a request that returned.
const RETURNED_MARGIN_MS: u64 = 250;
// Longest time between two looks at a line that nothing has moved.
const LINE_TICK: Duration = Duration::from_millis(40);
// Time after which a service without any engine may have one again.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// The lines of all services.
#[derive(Default)]
pub struct Lines {
    inner: Mutex<LinesInner>,
    freed: Notify,
}

#[derive(Default)]
struct LinesInner {
    services: BTreeMap<Arc<str>, ServiceLine>,
    // Longest wait that clients of a route stated, by route.
    longest_wait_ms: BTreeMap<Arc<str>, u64>,
    next_ticket: u64,
}

struct ServiceLine {
    line: Line,
    spec: EngineSpec,
    waiting: BTreeMap<u64, Waiting>,
    // Average time from a free slot to the first event.
    first_event_ms: f64,
}

struct Waiting {
    demand: Demand,
    slot: oneshot::Sender<UseGuard>,
}

/// What a request takes at a decode engine.
#[derive(Clone, Copy)]
struct Demand {
    kv_tokens: u64,
}

impl Lines {
    /// Tells that a slot may have become free.
    pub fn slot_freed(&self) {
        self.freed.notify_one();
    }

    /// Returns the number of requests in line, by service.
    pub fn lengths(&self) -> Vec<(Arc<str>, usize)> {
        self.inner()
            .services
            .iter()
            .map(|(name, service)| (name.clone(), service.line.len()))
            .collect()
    }

    fn inner(&self) -> MutexGuard<'_, LinesInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives free slots to the requests in line, for as long as the process lives.
pub async fn run(gateway: SharedGateway) {
    loop {
        // A tick catches slots that became free without a message, such as those of a peer that died.
        let _ = tokio::time::timeout(LINE_TICK, gateway.lines.freed.notified()).await;
        if gateway
            .lines
            .lengths()
            .iter()
            .any(|(_, length)| *length > 0)
        {
            serve_lines(&gateway);
        } else {
            gateway.lines.freed.notified().await;
        }
    }
}

fn serve_lines(gateway: &SharedGateway) {
    let mut inner = gateway.lines.inner();
    for (name, service) in &mut inner.services {
        while let Some(ticket) = service.line.next(clock::now()).map(|waiter| waiter.ticket) {
            let Some(waiting) = service.waiting.get(&ticket) else {
                service.line.remove(ticket);
                continue;
            };
            let Some(guard) = take_slot(gateway, name, &service.spec, waiting.demand, None) else {
                break;
            };
            service.line.grant(ticket, clock::now());
            if let Some(waiting) = service.waiting.remove(&ticket) {
                // A client that has just left drops the slot again.
                drop(waiting.slot.send(guard));
            }
        }
    }
}

fn take_slot(
    gateway: &SharedGateway,
    service: &str,
    spec: &EngineSpec,
    demand: Demand,
    except: Option<&str>,
) -> Option<UseGuard> {
    let upstream = {
        let settings = gateway.settings.load();
        let beliefs = gateway.beliefs();
        let now = clock::now();
        let mut candidates = beliefs.candidates(service);
        candidates.retain(|candidate| {
            candidate.upstream.stage != Some(Stage::Prefill)
                && except != Some(&*candidate.upstream.id)
                && !beliefs.records.is_avoided(&candidate.upstream.id, now)
        });
        let chooser = Chooser {
            data_centre: &settings.data_centre,
            records: &beliefs.records,
            now,
        };
        let place = chooser.decode(&candidates, demand.kv_tokens, spec.kv_tokens)?;
        candidates.swap_remove(place).upstream
    };
    let used = Use {
        requests: 1,
        prefill_tokens: 0,
        kv_tokens: demand.kv_tokens,
    };
    Some(gateway.begin_use(&upstream, used))
}

/// Forwards a generation request and returns the answer.
pub async fn generate(
    gateway: &SharedGateway,
    request: &ClientRequest,
    spec: &EngineSpec,
) -> Result<Response<AnswerBody>, Rejection> {
    let size = request.prompt.unwrap_or(PromptSize {
        prompt_tokens: 1,
        max_output_tokens: 1,
    });
    let demand = Demand {
        kv_tokens: size.prompt_tokens + size.max_output_tokens,
    };
    let mut slot = wait_for_slot(gateway, request, spec, demand).await?;
    let slot_ms = clock::now();
    let mut runs = 0;
    let mut timed_out = false;
    let mut use_prefill = true;
    for sends in 1..=MAX_DECODE_SENDS {
        let handle = match use_prefill {
            true => prefill(gateway, request, size, &slot).await,
            false => None,
        };
        let sent = decode(gateway, request, &slot, handle).await;
        match sent {
            Sent::Answered(reply) => match accept(gateway, request, reply, slot, slot_ms) {
                Ok(response) => return Ok(response),
                Err(given_back) => {
                    slot = given_back;
                    runs += 1;
                }
            },
            Sent::NotSent(_) | Sent::NotExecuted(_) => use_prefill = false,
            Sent::Lost(_) => runs += 1,
            Sent::TimedOut => {
                runs += 1;
                timed_out = true;
            }
        }
        let repeatable = runs == 0
            || (request.route.repeat.is_idempotent() && runs < request.route.max_attempts);
        if !repeatable || sends == MAX_DECODE_SENDS || !take_retry(gateway, request) {
            break;
        }
        // Another engine if one has a slot; else the same one may have room again.
        let other = take_slot(
            gateway,
            &request.service.name,
            spec,
            demand,
            Some(&slot.upstream().id),
        );
        slot = other.unwrap_or(slot);
    }
    let remaining_ms = request.deadline_ms.remaining(clock::now());
    Err(match (runs, timed_out) {
        (0, _) => {
            let spread = rand::random();
            let retry_ms = retry_after_ms(gateway, &request.service.name, spread);
            Rejection::come_back(Reason::NotRun, retry_ms, remaining_ms)
        }
        (_, true) => Rejection::new(Reason::ExpiredMayHaveRun),
        (_, false) => Rejection::new(Reason::AnswerLost),
    })
}

fn take_retry(gateway: &Gateway, request: &ClientRequest) -> bool {
    let now = clock::now();
    if request.deadline_ms <= now {
        return false;
    }
    let settings = gateway.settings.load();
    let mut beliefs = gateway.beliefs();
    let members = beliefs.exchange.hearing(now).members;
    beliefs
        .retries
        .take_retry(&request.service.name, &settings.retries, members, now)
}

fn retry_after_ms(gateway: &Gateway, service: &str, spread: f64) -> u64 {
    let inner = gateway.lines.inner();
    inner
        .services
        .get(service)
        .map_or(NO_ENGINE_RETRY_MS, |service| {
            service.line.retry_after_ms(spread)
        })
}

/// Takes a request out of its line when its client leaves.
struct Ticket<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    ticket: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut inner = self.gateway.lines.inner();
        if let Some(service) = inner.services.get_mut(self.service) {
            service.line.remove(self.ticket);
            let left = service.waiting.remove(&self.ticket);
            drop(inner);
            drop(left);
        }
    }
}

async fn wait_for_slot(
    gateway: &SharedGateway,
    request: &ClientRequest,
    spec: &EngineSpec,
    demand: Demand,
) -> Result<UseGuard, Rejection> {
    let now = clock::now();
    let name = &request.service.name;
    if !has_decode_engine(gateway, name) {
        return Err(Rejection::come_back(
            Reason::NoUpstream,
            NO_ENGINE_RETRY_MS,
            request.deadline_ms.remaining(now),
        ));
    }
    let (ticket, waiter, receiver) = {
        let mut inner = gateway.lines.inner();
        let elapsed_ms = inner.elapsed_before(request);
        let ticket = inner.next_ticket;
        inner.next_ticket += 1;
        let service = inner.service(name, spec);
        service.spec = spec.clone();
        if service.line.is_empty()
            && let Some(guard) = take_slot(gateway, name, spec, demand, None)
        {
            return Ok(guard);
        }
        let waiter = service.waiter(ticket, request, elapsed_ms);
        let returned = elapsed_ms > RETURNED_MARGIN_MS;
        let spread = rand::random();
        if let Entry::Refuse { retry_after_ms } = service.line.enter(waiter, returned, spread, now)
        {
            return Err(Rejection::come_back(
                Reason::Overloaded,
                retry_after_ms,
                request.deadline_ms.remaining(now),
            ));
        }
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting {
            demand,
            slot: sender,
        };
        service.waiting.insert(ticket, waiting);
        (ticket, waiter, receiver)
    };
    gateway.lines.slot_freed();
    let _ticket = Ticket {
        gateway,
        service: name,
        ticket,
    };
    let limit = Duration::from_millis(waiter.leave_deadline_ms.remaining(now));
    let granted = tokio::time::timeout(limit, receiver).await;
    let waited_ms = clock::now().since(now);
    metrics::histogram!(counters::WAIT_MS).record(waited_ms as f64);
    match granted {
        Ok(Ok(guard)) => Ok(guard),
        _ => Err(Rejection::come_back(
            Reason::Overloaded,
            retry_after_ms(gateway, name, rand::random()),
            request.deadline_ms.remaining(clock::now()),
        )),
    }
}

fn has_decode_engine(gateway: &Gateway, service: &str) -> bool {
    gateway
        .beliefs()
        .upstreams
        .serving(service)
        .any(|upstream| upstream.stage != Some(Stage::Prefill))
}

impl LinesInner {
    // Returns how long the client has been trying before this request, as far as its stated wait
    // tells: clients that return after a refusal have less time left.
    fn elapsed_before(&mut self, request: &ClientRequest) -> u64 {
        let longest_ms = self
            .longest_wait_ms
            .entry(request.route.name.clone())
            .or_default();
        *longest_ms = (*longest_ms).max(request.client_wait_ms);
        *longest_ms - request.client_wait_ms
    }

    fn service(&mut self, name: &Arc<str>, spec: &EngineSpec) -> &mut ServiceLine {
        self.services
            .entry(name.clone())
            .or_insert_with(|| ServiceLine {
                line: Line::default(),
                spec: spec.clone(),
                waiting: BTreeMap::new(),
                first_event_ms: FIRST_EVENT_MS,
            })
    }
}

impl ServiceLine {
    fn waiter(&self, ticket: u64, request: &ClientRequest, elapsed_ms: u64) -> Waiter {
        let objective_ms = request.route.objective_ms;
        let usable_ms = objective_ms
            .saturating_sub(elapsed_ms)
            .saturating_sub(self.first_event_ms as u64);
        let on_time_deadline_ms = request.received_ms.after(usable_ms);
        let wait_ms = if elapsed_ms > RETURNED_MARGIN_MS {
            RETURNED_WAIT_MS
        } else {
            usable_ms + LATE_GRACE_MS
        };
        Waiter {
            ticket,
            priority: request.priority,
            on_time_deadline_ms,
            leave_deadline_ms: request.received_ms.after(wait_ms).min(request.deadline_ms),
        }
    }
}

// Has the prompt read by a prefill engine. Without a handle the decode engine reads it itself.
async fn prefill(
    gateway: &SharedGateway,
    request: &ClientRequest,
    size: PromptSize,
    slot: &UseGuard,
) -> Option<CacheHandle> {
    let guard = choose_prefill(gateway, request, size)?;
    let names = &gateway.dialect.headers;
    let stage = HeaderValue::from_static(gateway.dialect.prefill_stage);
    let extra = vec![(names.stage.clone(), stage)];
    let started_ms = clock::now();
    let limit_ms = request
        .deadline_ms
        .min(started_ms.after(request.route.objective_ms));
    let sent = forwarding::send(gateway, request, guard.upstream(), extra, limit_ms).await;
    let Sent::Answered(reply) = sent else {
        return None;
    };
    let handle = read_handle(gateway, reply).await;
    match &handle {
        Some(_) => {
            let elapsed_ms = clock::now().since(started_ms);
            gateway.note(guard.upstream(), Outcome::Answered { elapsed_ms });
        }
        None => gateway.note(guard.upstream(), Outcome::Failed),
    }
    let handle = handle?;
    let source = (gateway.dialect.cache_source)(guard.upstream().address, &handle);
    gateway.events.write(
        "prefilled",
        serde_json::json!({
            "request_id": request.id_text(),
            "prefill": &*guard.upstream().id,
            "decode": &*slot.upstream().id,
            "elapsed_ms": clock::now().since(started_ms),
        }),
    );
    Some(CacheHandle { id: source })
}

fn choose_prefill(
    gateway: &SharedGateway,
    request: &ClientRequest,
    size: PromptSize,
) -> Option<UseGuard> {
    let upstream = {
        let settings = gateway.settings.load();
        let beliefs = gateway.beliefs();
        let now = clock::now();
        let mut candidates: Vec<Candidate> = beliefs.candidates(&request.service.name);
        candidates.retain(|candidate| {
            candidate.upstream.stage == Some(Stage::Prefill)
                && !beliefs.records.is_avoided(&candidate.upstream.id, now)
        });
        let chooser = Chooser {
            data_centre: &settings.data_centre,
            records: &beliefs.records,
            now,
        };
        let place = chooser.prefill(&candidates, size.prompt_tokens)?;
        candidates.swap_remove(place).upstream
    };
    let used = Use {
        requests: 1,
        prefill_tokens: size.prompt_tokens,
        kv_tokens: size.prompt_tokens,
    };
    Some(gateway.begin_use(&upstream, used))
}

async fn read_handle(gateway: &Gateway, reply: Reply) -> Option<CacheHandle> {
    if reply.status != StatusCode::OK {
        return None;
    }
    let (body, returning) = reply.into_body();
    let whole = Limited::new(body, MAX_HANDLE_BYTES).collect().await.ok()?;
    returning.give_back();
    (gateway.dialect.decode_cache_handle)(&whole.to_bytes())
}

async fn decode(
    gateway: &SharedGateway,
    request: &ClientRequest,
    slot: &UseGuard,
    source: Option<CacheHandle>,
) -> Sent {
    let names = &gateway.dialect.headers;
    let mut extra = Vec::new();
    if let Some(source) = source
        && let Ok(value) = HeaderValue::from_str(&source.id)
    {
        extra.push((names.cache_source.clone(), value));
    }
    forwarding::send(
        gateway,
        request,
        slot.upstream(),
        extra,
        request.deadline_ms,
    )
    .await
}

// Turns the head of an engine's answer into the response, or gives the slot back if the answer
// can't be used.
fn accept(
    gateway: &SharedGateway,
    request: &ClientRequest,
    reply: Reply,
    slot: UseGuard,
    slot_ms: TimeMs,
) -> Result<Response<AnswerBody>, UseGuard> {
    if !forwarding::is_genuine(gateway, reply.status, &reply.headers) {
        gateway.note(slot.upstream(), Outcome::Failed);
        return Err(slot);
    }
    let now = clock::now();
    let elapsed_ms = now.since(slot_ms);
    if reply.status.is_success() {
        gateway.note(slot.upstream(), Outcome::Answered { elapsed_ms });
        let mut inner = gateway.lines.inner();
        if let Some(service) = inner.services.get_mut(&request.service.name) {
            service.first_event_ms += SMOOTHING * (elapsed_ms as f64 - service.first_event_ms);
        }
    } else {
        gateway.note(slot.upstream(), Outcome::Failed);
    }
    let status = reply.status;
    let headers = headers::to_client(&reply.headers);
    let (body, returning) = reply.into_body();
    let relay = Relay {
        gateway: gateway.clone(),
        request_id: request.id_text().to_owned(),
        body,
        returning: Some(returning),
        guard: slot,
        deadline_ms: request.deadline_ms,
        bytes: 0,
        last_part_ms: now,
        longest_gap_ms: 0,
    };
    let mut response = Response::new(AnswerBody::streamed(relay.into_body()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}
