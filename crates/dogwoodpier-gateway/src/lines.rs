//! Slots of engines and the lines of requests that wait for them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::routes::EngineSpec;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::gateway::wait_queue::Enqueue;
use dogwoodpier_core::gateway::wait_queue::WaitQueue;
use dogwoodpier_core::gateway::wait_queue::Waiter;
use dogwoodpier_process::clock;

use crate::reject::Reason;
use crate::state::Beliefs;
use crate::state::Gateway;
use crate::state::Holder;
use crate::state::SharedGateway;
use crate::state::UseGuard;

// Longest and shortest time between two looks at a line. Each release and report of a peer may have
// freed a slot: a broker of hundreds of instances would do nothing but look.
const LINE_TICK: Duration = Duration::from_millis(40);
const LINE_PAUSE: Duration = Duration::from_millis(4);
/// Time after which a service without any engine may have one again.
pub const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// What a request asks of the engines of a service.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Identity of the request, for logs.
    pub request_id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of KV cache that the request is expected to take.
    pub kv_tokens: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Latest time to get a slot for an answer that is on time.
    pub on_time_deadline_ms: TimeMs,
    /// Time at which the request leaves the line without a slot.
    pub leave_deadline_ms: TimeMs,
    /// Whether its client was refused before.
    pub returned: bool,
    /// Engine that just failed the request.
    pub except: Option<Arc<str>>,
    /// Engines that want nothing from the instance that serves the request, and until when.
    pub paused: BTreeMap<Arc<str>, TimeMs>,
    /// Data centre of the instance that serves the request.
    pub data_centre: Arc<str>,
}

/// Engines that a request may use.
pub struct Place {
    /// Engine to decode on.
    pub decode: UseGuard,
    /// Engine to prefill on; without one the decode engine reads the prompt itself.
    pub prefill: Option<UseGuard>,
}

/// A claim that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Time after which its client should come back.
    pub retry_after_ms: u64,
}

/// The lines of all services.
#[derive(Default)]
pub struct Lines {
    services: Mutex<BTreeMap<Arc<str>, ServiceLine>>,
    freed: Notify,
}

#[derive(Default)]
struct ServiceLine {
    line: WaitQueue,
    waiting: BTreeMap<u64, Waiting>,
    next_ticket: u64,
}

struct Waiting {
    claim: Arc<Claim>,
    holder: Holder,
    place: oneshot::Sender<Place>,
}

impl Lines {
    /// Tells that a slot may have become free.
    pub fn slot_freed(&self) {
        self.freed.notify_one();
    }

    /// Returns the number of requests in line, by service.
    pub fn lengths(&self) -> Vec<(Arc<str>, usize)> {
        self.lock()
            .iter()
            .map(|(name, service)| (name.clone(), service.line.len()))
            .collect()
    }

    fn is_empty(&self) -> bool {
        self.lock().values().all(|service| service.line.is_empty())
    }

    fn retry_after_ms(&self, service: &str) -> u64 {
        self.lock()
            .get(service)
            .map_or(NO_ENGINE_RETRY_MS, |service| {
                service.line.retry_after_ms(rand::random())
            })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, ServiceLine>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives free slots to the requests in line, for as long as the process lives.
pub async fn run(gateway: SharedGateway) {
    loop {
        if gateway.lines.is_empty() {
            gateway.lines.freed.notified().await;
        } else {
            // A tick catches slots that became free without a message, as those of a dead peer.
            let _ = tokio::time::timeout(LINE_TICK, gateway.lines.freed.notified()).await;
        }
        serve_lines(&gateway);
        tokio::time::sleep(LINE_PAUSE).await;
    }
}

fn serve_lines(gateway: &SharedGateway) {
    for service in gateway.lines.lock().values_mut() {
        while let Some(ticket) = service.line.peek(clock::now()).map(|waiter| waiter.ticket) {
            let Some(waiting) = service.waiting.get(&ticket) else {
                service.line.remove(ticket);
                continue;
            };
            let Some(place) = take_place(gateway, &waiting.claim, &waiting.holder) else {
                break;
            };
            log_placed(gateway, &waiting.claim, &place, service.line.len());
            service.line.dequeue(ticket, clock::now());
            if let Some(waiting) = service.waiting.remove(&ticket) {
                // A client that has just left drops the place again.
                drop(waiting.place.send(place));
            }
        }
    }
}

/// Takes a request out of its line when its client leaves.
struct Ticket<'a> {
    gateway: &'a Gateway,
    service: &'a str,
    ticket: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let left = self
            .gateway
            .lines
            .lock()
            .get_mut(self.service)
            .and_then(|service| {
                service.line.remove(self.ticket);
                service.waiting.remove(&self.ticket)
            });
        // Outside the lock: it may hold a place that goes back.
        drop(left);
    }
}

/// Waits for a place in the lines of this instance.
pub async fn wait(gateway: &SharedGateway, claim: Claim, holder: Holder) -> Result<Place, Refused> {
    let now = clock::now();
    let claim = Arc::new(claim);
    let leave_deadline_ms = claim.leave_deadline_ms;
    let (ticket, receiver) = {
        let mut services = gateway.lines.lock();
        let service = services.entry(claim.service.clone()).or_default();
        if (service.line.is_empty() || claim.except.is_some())
            && let Some(place) = take_place(gateway, &claim, &holder)
        {
            log_placed(gateway, &claim, &place, service.line.len());
            return Ok(place);
        }
        let ticket = service.next_ticket;
        service.next_ticket += 1;
        let waiter = Waiter {
            ticket,
            priority: claim.priority,
            on_time_deadline_ms: claim.on_time_deadline_ms,
            queue_deadline_ms: leave_deadline_ms,
        };
        let spread = rand::random();
        match service.line.enqueue(waiter, claim.returned, spread, now) {
            Enqueue::Rejected { retry_after_ms } => {
                log_not_placed(gateway, &claim, service.line.len(), "no slot in time");
                return Err(Refused { retry_after_ms });
            }
            Enqueue::Queued => {}
        }
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting {
            claim: claim.clone(),
            holder,
            place: sender,
        };
        service.waiting.insert(ticket, waiting);
        (ticket, receiver)
    };
    gateway.lines.slot_freed();
    let _ticket = Ticket {
        gateway,
        service: &claim.service,
        ticket,
    };
    let limit = Duration::from_millis(leave_deadline_ms.remaining(now));
    match tokio::time::timeout(limit, receiver).await {
        Ok(Ok(place)) => Ok(place),
        _ => {
            let length = gateway
                .lines
                .lock()
                .get(&claim.service)
                .map_or(0, |service| service.line.len());
            log_not_placed(gateway, &claim, length, "no slot while it waited");
            Err(Refused {
                retry_after_ms: gateway.lines.retry_after_ms(&claim.service),
            })
        }
    }
}

// Logs a place, with what its engine holds now, this request included.
fn log_placed(gateway: &Gateway, claim: &Claim, place: &Place, waiting: usize) {
    let decode = place.decode.upstream();
    let used = gateway.beliefs().use_of(&decode.id, clock::now());
    gateway.events.write(
        "placed",
        serde_json::json!({
            "request_id": &*claim.request_id,
            "service": &*claim.service,
            "decode": &*decode.id,
            "prefill": place.prefill.as_ref().map(|prefill| &*prefill.upstream().id),
            "kv_tokens": claim.kv_tokens,
            "decode_slots": decode.slots,
            "decode_requests": used.requests,
            "decode_kv_tokens": used.kv_tokens,
            "waiting": waiting,
        }),
    );
}

fn log_not_placed(gateway: &Gateway, claim: &Claim, waiting: usize, cause: &str) {
    let (engines, used_slots, slots) = {
        let mut candidates = gateway.beliefs().candidates(&claim.service);
        candidates.retain(|candidate| candidate.upstream.stage != Some(Stage::Prefill));
        let used = candidates.iter().map(|candidate| candidate.load.requests);
        let slots = candidates.iter().map(|candidate| candidate.upstream.slots);
        (candidates.len(), used.sum::<u32>(), slots.sum::<u32>())
    };
    let now = clock::now();
    gateway.events.write(
        "not_placed",
        serde_json::json!({
            "request_id": &*claim.request_id,
            "service": &*claim.service,
            "cause": cause,
            "waiting": waiting,
            "engines": engines,
            "used_slots": used_slots,
            "slots": slots,
            "on_time_left_ms": claim.on_time_deadline_ms.remaining(now),
            "returned": claim.returned,
        }),
    );
}

/// Returns whether any engine of a service decodes.
pub fn has_decode_engine(gateway: &Gateway, service: &str) -> bool {
    gateway
        .beliefs()
        .upstreams
        .available(service)
        .any(|upstream| upstream.stage != Some(Stage::Prefill))
}

/// Returns why no upstream of a service may get new work.
pub fn no_upstream(gateway: &Gateway, service: &str) -> Reason {
    match gateway.beliefs().upstreams.is_evacuated(service) {
        true => Reason::Evacuated,
        false => Reason::NoUpstream,
    }
}

/// Returns for how long all engines of a service that decode want nothing from this instance.
pub fn pause_ms(gateway: &Gateway, service: &str) -> u64 {
    let now = clock::now();
    let beliefs = gateway.beliefs();
    let serving = beliefs.upstreams.available(service);
    let decoding = serving.filter(|upstream| upstream.stage != Some(Stage::Prefill));
    let pauses = decoding.map(|upstream| beliefs.records.backoff_ms(&upstream.id, now));
    pauses.min().unwrap_or(0)
}

fn take_place(gateway: &SharedGateway, claim: &Claim, holder: &Holder) -> Option<Place> {
    let configuration = gateway.configuration.load();
    let spec = configuration
        .as_ref()?
        .services
        .get(&claim.service)?
        .engine
        .as_ref()?;
    let (decode, prefill) = choose(&gateway.beliefs(), claim, spec)?;
    Some(begin(gateway, claim, &decode, prefill.as_ref(), holder))
}

/// Counts a request at the engines that it was given.
pub fn begin(
    gateway: &SharedGateway,
    claim: &Claim,
    decode: &Arc<Upstream>,
    prefill: Option<&Arc<Upstream>>,
    holder: &Holder,
) -> Place {
    let decode_use = UpstreamLoad {
        requests: 1,
        prefill_tokens: 0,
        kv_tokens: claim.kv_tokens,
    };
    let prefill_use = UpstreamLoad {
        requests: 1,
        prefill_tokens: claim.prompt_tokens,
        kv_tokens: claim.prompt_tokens,
    };
    Place {
        decode: gateway.begin_use(decode, decode_use, holder.clone()),
        prefill: prefill.map(|prefill| gateway.begin_use(prefill, prefill_use, holder.clone())),
    }
}

fn choose(
    beliefs: &Beliefs,
    claim: &Claim,
    spec: &EngineSpec,
) -> Option<(Arc<Upstream>, Option<Arc<Upstream>>)> {
    let now = clock::now();
    let (mut prefilling, mut decoding): (Vec<Candidate>, Vec<Candidate>) = beliefs
        .candidates(&claim.service)
        .into_iter()
        .filter(|candidate| !beliefs.records.is_avoided(&candidate.upstream.id, now))
        .filter(|candidate| claim.except.as_ref() != Some(&candidate.upstream.id))
        .filter(|candidate| {
            let paused = claim.paused.get(&candidate.upstream.id);
            paused.is_none_or(|deadline_ms| *deadline_ms <= now)
        })
        .partition(|candidate| candidate.upstream.stage == Some(Stage::Prefill));
    let chooser = Selector {
        data_centre: &claim.data_centre,
        health: &beliefs.records,
        now,
    };
    let fill = beliefs
        .fills
        .get(&claim.service)
        .copied()
        .unwrap_or_default();
    let decode = chooser.select_decode(&decoding, claim.kv_tokens, fill.limit(spec.kv_tokens))?;
    let decode = decoding.swap_remove(decode).upstream;
    let prefill = chooser
        .select_prefill(&prefilling, claim.prompt_tokens)
        .map(|place| prefilling.swap_remove(place).upstream);
    Some((decode, prefill))
}
