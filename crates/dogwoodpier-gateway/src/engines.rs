//! Generation requests: a slot of a decode engine first, then the prefill, then the stream.
//!
//! A prefilled KV cache lives for a fraction of a second, so it is made only once there is a place
//! to decode it and a connection to get there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::routes::RetryPolicy;
use dogwoodpier_http::ConnectionReturn;
use dogwoodpier_http::Reply;
use dogwoodpier_process::clock;

use crate::body::AnswerBody;
use crate::broker;
use crate::counters;
use crate::dialect::PromptSize;
use crate::events::Events;
use crate::forwarding;
use crate::forwarding::Sent;
use crate::headers;
use crate::lines;
use crate::lines::Claim;
use crate::lines::Place;
use crate::prefill;
use crate::prefill::Progress;
use crate::quarantine;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::state::UseGuard;
use crate::stream::Relay;
use crate::stream::Resume;

// Places that one request is given, those whose engines rejected it included.
const MAX_PLACES: u32 = 4;
// Time from a free slot to the first event that is assumed before any was seen.
const FIRST_EVENT_MS: f64 = 200.0;
const SMOOTHING: f64 = 0.1;
// Time for which a request stays in line beyond the moment from which it can't be on time.
const LATE_GRACE_MS: u64 = 250;
// Longest time in line of a request that has come back after a refusal.
const RETURNED_WAIT_MS: u64 = 2_200;
// Clients' waits differ by their own delays; only a larger difference tells a request that returned.
const RETURNED_MARGIN_MS: u64 = 250;
// Part of the expected output that a request holds on average while it runs. Requests of an engine
// are at different points of theirs.
const HELD_OUTPUT: f64 = 0.8;

/// What was learned about the routes and services of engines.
#[derive(Default)]
pub struct Learned {
    inner: Mutex<LearnedInner>,
}

#[derive(Default)]
struct LearnedInner {
    // Longest wait that clients of a route stated, by route.
    longest_wait_ms: BTreeMap<Arc<str>, u64>,
    // Average time from a free slot to the first event, by service.
    first_event_ms: BTreeMap<Arc<str>, f64>,
}

impl Learned {
    // Returns how long the client has been trying before this request, as far as its stated wait
    // tells: clients that return after a refusal have less time left.
    fn elapsed_before(&self, request: &ClientRequest) -> u64 {
        let mut inner = self.lock();
        let longest_ms = inner
            .longest_wait_ms
            .entry(request.route.name.clone())
            .or_default();
        *longest_ms = (*longest_ms).max(request.client_wait_ms);
        *longest_ms - request.client_wait_ms
    }

    fn first_event_ms(&self, service: &str) -> f64 {
        let inner = self.lock();
        inner
            .first_event_ms
            .get(service)
            .copied()
            .unwrap_or(FIRST_EVENT_MS)
    }

    fn note_first_event(&self, service: &Arc<str>, elapsed_ms: u64) {
        let mut inner = self.lock();
        let average_ms = inner
            .first_event_ms
            .entry(service.clone())
            .or_insert(FIRST_EVENT_MS);
        *average_ms += SMOOTHING * (elapsed_ms as f64 - *average_ms);
    }

    fn lock(&self) -> MutexGuard<'_, LearnedInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that goes on at another engine.
pub struct Resumed {
    /// Body of the engine's answer.
    pub body: Incoming,
    /// Connection to give back at the end.
    pub returning: ConnectionReturn,
    /// Place at the engine.
    pub guard: UseGuard,
}

/// Goes on with a stream that was cut, at another engine than `failed`, after the event that the
/// client has last.
pub async fn resume(
    gateway: &SharedGateway,
    request: &ClientRequest,
    runs: u32,
    failed: Arc<str>,
    last_event: Option<HeaderValue>,
) -> Option<Resumed> {
    let may_run =
        runs < request.route.max_attempts && !gateway.quarantine.holds(request.fingerprint);
    if !may_run || !gateway.take_retry(request) {
        return None;
    }
    let now = clock::now();
    let progress = Progress {
        failed: Some(failed),
        ..Progress::default()
    };
    let claim = Claim {
        // The client sees a pause until then: waiting longer than its objective is no use.
        on_time_deadline_ms: now.after(request.route.objective_ms),
        leave_deadline_ms: now.after(request.route.objective_ms),
        returned: true,
        ..claim(gateway, request, &progress)
    };
    let place = broker::place(gateway, claim).await.ok()?;
    let names = &gateway.dialect.headers;
    let extra = last_event.map(|last| (names.last_event_id.clone(), last));
    let extra = extra.into_iter().collect();
    let upstream = place.decode.upstream().clone();
    let sent = forwarding::send(gateway, request, &upstream, extra, request.deadline_ms).await;
    if let Sent::Cut(_) = sent {
        quarantine::note_cut(gateway, &request.in_flight(), &upstream).await;
    }
    let Sent::Answered(reply) = sent else {
        return None;
    };
    if !reply.status.is_success() {
        return None;
    }
    gateway.events.write(
        "stream_resumed",
        serde_json::json!({
            "request_id": request.id_text(),
            "upstream": &*upstream.id,
            "pause_ms": clock::now().since(now),
        }),
    );
    let (body, returning) = reply.into_body();
    Some(Resumed {
        body,
        returning,
        guard: place.decode,
    })
}

/// Forwards a generation request and returns the answer.
pub async fn generate(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
) -> Result<Response<AnswerBody>, Rejection> {
    if !lines::has_decode_engine(gateway, &request.service.name) {
        return Err(Rejection::come_back(
            lines::no_upstream(gateway, &request.service.name),
            lines::NO_ENGINE_RETRY_MS,
            request.deadline_ms.remaining(clock::now()),
        ));
    }
    let mut progress = Progress::default();
    for places in 1..=MAX_PLACES {
        if request.deadline_ms <= clock::now() {
            break;
        }
        let claim = claim(gateway, request, &progress);
        let started_ms = clock::now();
        let pause_ms = lines::pause_ms(gateway, &request.service.name);
        if pause_ms > claim.leave_deadline_ms.remaining(started_ms) {
            return Err(reject(request, &progress, pause_ms));
        }
        let place = broker::place(gateway, claim).await;
        let waited_ms = clock::now().since(started_ms);
        metrics::histogram!(counters::WAIT_MS).record(waited_ms as f64);
        let place = match place {
            Ok(place) => place,
            Err(refused) => {
                return Err(reject(request, &progress, refused.retry_after_ms));
            }
        };
        progress.failed = Some(place.decode.upstream().id.clone());
        if let Some(response) = run(gateway, request, place, &mut progress).await {
            return Ok(response);
        }
        // A place at an engine that couldn't be reached costs no retry: nothing was sent there.
        let costs_retry = progress.attempts.send_costs_retry();
        if !progress.attempts.may_retry(&request.route)
            || places == MAX_PLACES
            || gateway.quarantine.holds(request.fingerprint)
            || (costs_retry && !gateway.take_retry(request))
        {
            break;
        }
    }
    if progress.attempts.runs == 0
        && let Some(rejection) = gateway.quarantine.rejection(request.fingerprint)
    {
        return Err(rejection);
    }
    Err(reject(request, &progress, lines::NO_ENGINE_RETRY_MS))
}

fn reject(request: &ClientRequest, progress: &Progress, retry_after_ms: u64) -> Rejection {
    let remaining_ms = request.deadline_ms.remaining(clock::now());
    match (progress.attempts.runs, progress.timed_out) {
        (0, _) => Rejection::come_back(Reason::Overloaded, retry_after_ms, remaining_ms),
        (_, true) => Rejection::new(Reason::ExpiredMayHaveRun),
        (_, false) => Rejection::new(Reason::AnswerLost),
    }
}

fn claim(gateway: &Gateway, request: &ClientRequest, progress: &Progress) -> Claim {
    let size = request.prompt.unwrap_or(PromptSize {
        prompt_tokens: 1,
        max_output_tokens: 1,
        expected_output_tokens: None,
    });
    let expected = size
        .expected_output_tokens
        .map_or(size.max_output_tokens, |expected| {
            expected.min(size.max_output_tokens)
        });
    let service = &request.service.name;
    let elapsed_ms = gateway.learned.elapsed_before(request);
    let first_event_ms = gateway.learned.first_event_ms(service) as u64;
    let usable_ms = request
        .route
        .objective_ms
        .saturating_sub(elapsed_ms)
        .saturating_sub(first_event_ms);
    let returned = elapsed_ms > RETURNED_MARGIN_MS;
    let wait_ms = if returned {
        RETURNED_WAIT_MS
    } else {
        usable_ms + LATE_GRACE_MS
    };
    Claim {
        request_id: request.id_text().into(),
        service: service.clone(),
        prompt_tokens: size.prompt_tokens,
        kv_tokens: size.prompt_tokens + (expected as f64 * HELD_OUTPUT) as u64,
        priority: request.priority,
        on_time_deadline_ms: request.received_ms.after(usable_ms),
        leave_deadline_ms: request.received_ms.after(wait_ms).min(request.deadline_ms),
        returned,
        except: progress.failed.clone(),
        paused: gateway.beliefs().records.backoffs(clock::now()),
        data_centre: gateway.settings.load().data_centre.clone(),
    }
}

// Runs a request at a place. Returns the response, or notes in `progress` what happened.
async fn run(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
    place: Place,
    progress: &mut Progress,
) -> Option<Response<AnswerBody>> {
    let Place {
        mut decode,
        prefill,
    } = place;
    let slot_ms = clock::now();
    if let Err(error) = forwarding::prepare(gateway, decode.upstream()).await {
        decode.set_result(broker::Result::Unreachable);
        gateway.note(decode.upstream(), Outcome::Unreachable);
        gateway.events.write(
            "engine_unreachable",
            serde_json::json!({
                "request_id": request.id_text(),
                "upstream": &*decode.upstream().id,
                "detail": error.to_string(),
            }),
        );
        return None;
    }
    let source = match progress.fresh_cache(request) {
        Some(cache) => Some(cache),
        None => prefill::read_prompt(gateway, request, prefill, &decode, progress).await,
    };
    // News may have come while it waited for its place or its prompt was read.
    if gateway.quarantine.holds(request.fingerprint) {
        return None;
    }
    let names = &gateway.dialect.headers;
    let extra = source.map(|source| (names.cache_source.clone(), source));
    let extra = extra.into_iter().collect();
    let upstream = decode.upstream().clone();
    let sent = forwarding::send(gateway, request, &upstream, extra, request.deadline_ms).await;
    progress.attempts.sends += 1;
    match sent {
        Sent::Answered(reply) => {
            let runs = progress.attempts.runs + 1;
            let accepted = accept(gateway, request, reply, decode, slot_ms, runs);
            progress.attempts.runs += u32::from(accepted.is_none());
            return accepted;
        }
        Sent::NotSent(_) => decode.set_result(broker::Result::Unreachable),
        Sent::NotExecuted(StatusCode::MISDIRECTED_REQUEST) => {
            decode.set_result(broker::Result::Replaced);
        }
        Sent::NotExecuted(_) | Sent::Withheld => decode.set_result(broker::Result::Full),
        Sent::Cut(_) => {
            progress.attempts.runs += 1;
            quarantine::note_cut(gateway, &request.in_flight(), &upstream).await;
        }
        Sent::Lost(_) => progress.attempts.runs += 1,
        Sent::TimedOut => {
            progress.attempts.runs += 1;
            progress.timed_out = true;
        }
    }
    None
}

// Turns the head of an engine's answer into the response, or returns `None` if it can't be used.
fn accept(
    gateway: &SharedGateway,
    request: &Arc<ClientRequest>,
    reply: Reply,
    decode: UseGuard,
    slot_ms: TimeMs,
    runs: u32,
) -> Option<Response<AnswerBody>> {
    let genuine = forwarding::is_genuine(gateway, reply.status, &reply.headers);
    let now = clock::now();
    let elapsed_ms = now.since(slot_ms);
    if genuine && reply.status.is_success() {
        gateway.note(decode.upstream(), Outcome::Answered { elapsed_ms });
        gateway
            .learned
            .note_first_event(&request.service.name, elapsed_ms);
    } else {
        gateway.note(decode.upstream(), Outcome::Failed);
    }
    if !genuine {
        return None;
    }
    let status = reply.status;
    let mut headers = headers::to_client(&reply.headers);
    let resume = resumable(gateway, request, status, runs);
    if resume.is_some() {
        // The parts of two engines need not be as long as that of the first would have been.
        headers.remove(header::CONTENT_LENGTH);
    }
    let (body, returning) = reply.into_body();
    let relay = Relay {
        gateway: gateway.clone(),
        run: request.in_flight(),
        body,
        returning: Some(returning),
        guard: decode,
        deadline_ms: request.deadline_ms,
        bytes: 0,
        last_part_ms: now,
        longest_gap_ms: 0,
        resume,
    };
    let mut response = Response::new(AnswerBody::streamed(relay.into_body()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Some(response)
}

fn resumable(
    gateway: &Gateway,
    request: &Arc<ClientRequest>,
    status: StatusCode,
    runs: u32,
) -> Option<Resume> {
    let may_resume = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    let last_event = request.headers.get(&gateway.dialect.headers.last_event_id);
    (may_resume && status.is_success()).then(|| Resume {
        request: request.clone(),
        runs,
        events: Events::after(last_event.cloned()),
    })
}
