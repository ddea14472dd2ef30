//! Slots of engines and the queues of requests that wait for them.

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
use crate::state::Gateway;
use crate::state::Holder;
use crate::state::LoadGuard;
use crate::state::RoutingState;
use crate::state::SharedGateway;
use crate::upstream_speeds;

// Longest and shortest time between two runs over the queues. Every release and report of a peer
// may have freed a slot; without a shortest time, a broker of hundreds of instances would spend all
// its time on the queues.
const QUEUE_TICK: Duration = Duration::from_millis(40);
const QUEUE_PAUSE: Duration = Duration::from_millis(4);
/// Time after which a service without engines may have one again.
pub const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// The requirements of a request on the engines of a service.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Id of the request, for logs.
    pub request_id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected KV cache of the request, in tokens.
    pub kv_tokens: u64,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Latest time at which a slot still leads to a response that is on time.
    pub on_time_deadline_ms: TimeMs,
    /// Time at which the request leaves the queue without a slot.
    pub queue_deadline_ms: TimeMs,
    /// Whether its client was refused before.
    pub returned: bool,
    /// Engine that has just failed the request and is not used again.
    pub excluded_engine: Option<Arc<str>>,
    /// Engines that asked the serving instance to back off, and until when.
    pub backoffs: BTreeMap<Arc<str>, TimeMs>,
    /// Data centre of the serving instance.
    pub data_centre: Arc<str>,
    /// Software version whose engines may run the request, if only one may.
    pub version: Option<Arc<str>>,
}

/// Engines that were allocated to a request.
pub struct Placement {
    /// Engine that decodes.
    pub decode: LoadGuard,
    /// Engine that prefills; if absent, the decode engine prefills as well.
    pub prefill: Option<LoadGuard>,
}

/// A placement was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the client should retry.
    pub retry_after_ms: u64,
}

/// The queues of all services.
#[derive(Default)]
pub struct Queues {
    services: Mutex<BTreeMap<QueueKey, ServiceQueue>>,
    freed: Notify,
}

// Requests that only engines of one version may run have a queue of their own, as they must neither
// block the others nor be overtaken by them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    service: Arc<str>,
    version: Option<Arc<str>>,
}

impl QueueKey {
    fn of(request: &SlotRequest) -> Self {
        Self {
            service: request.service.clone(),
            version: request.version.clone(),
        }
    }
}

#[derive(Default)]
struct ServiceQueue {
    queue: WaitQueue,
    requests: BTreeMap<u64, QueuedRequest>,
    next_ticket: u64,
}

struct QueuedRequest {
    request: Arc<SlotRequest>,
    holder: Holder,
    sender: oneshot::Sender<Placement>,
}

impl Queues {
    /// Signals that a slot may have become free.
    pub fn slot_freed(&self) {
        self.freed.notify_one();
    }

    /// Returns the number of queued requests by service.
    pub fn lengths(&self) -> BTreeMap<Arc<str>, usize> {
        let mut lengths = BTreeMap::new();
        for (key, service) in self.lock().iter() {
            *lengths.entry(key.service.clone()).or_default() += service.queue.len();
        }
        lengths
    }

    fn is_empty(&self) -> bool {
        self.lock().values().all(|service| service.queue.is_empty())
    }

    fn len(&self, key: &QueueKey) -> usize {
        self.lock()
            .get(key)
            .map_or(0, |service| service.queue.len())
    }

    fn retry_after_ms(&self, key: &QueueKey) -> u64 {
        self.lock().get(key).map_or(NO_ENGINE_RETRY_MS, |service| {
            service.queue.retry_after_ms(rand::random())
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<QueueKey, ServiceQueue>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Allocates free slots to queued requests, for as long as the process lives.
pub async fn run(gateway: SharedGateway) {
    loop {
        if gateway.queues.is_empty() {
            gateway.queues.freed.notified().await;
        } else {
            // The tick finds slots that became free without a message, such as those of a dead
            // peer.
            let _ = tokio::time::timeout(QUEUE_TICK, gateway.queues.freed.notified()).await;
        }
        serve_queues(&gateway);
        tokio::time::sleep(QUEUE_PAUSE).await;
    }
}

fn serve_queues(gateway: &SharedGateway) {
    // Dropped after the lock on the queues is released.
    let mut refused = Vec::new();
    let mut queues = gateway.queues.lock();
    // Requests with fewer engines to choose from come first.
    for (key, service) in queues.iter_mut().rev() {
        let version = key.version.as_ref();
        if version.is_some() && !has_decode_engine(gateway, &key.service, version, None) {
            refused.append(&mut service.refuse_all());
        }
        while let Some(ticket) = service.queue.peek(clock::now()).map(|waiter| waiter.ticket) {
            let Some(queued) = service.requests.get(&ticket) else {
                service.queue.remove(ticket);
                continue;
            };
            let Some(placement) = try_place(gateway, &queued.request, &queued.holder) else {
                break;
            };
            log_placed(gateway, &queued.request, &placement, service.queue.len());
            service.queue.dequeue(ticket, clock::now());
            if let Some(queued) = service.requests.remove(&ticket) {
                // If the client has just left, the placement is dropped and its slots are free
                // again.
                drop(queued.sender.send(placement));
            }
        }
    }
    queues.retain(|key, service| key.version.is_none() || !service.queue.is_empty());
    drop(queues);
}

impl ServiceQueue {
    // Empties the queue. The requests are refused when the returned entries are dropped.
    fn refuse_all(&mut self) -> Vec<QueuedRequest> {
        let requests = std::mem::take(&mut self.requests);
        for ticket in requests.keys() {
            self.queue.remove(*ticket);
        }
        requests.into_values().collect()
    }
}

/// Removes a request from its queue when its client leaves.
struct QueueEntry<'a> {
    gateway: &'a Gateway,
    key: &'a QueueKey,
    ticket: u64,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let left = self
            .gateway
            .queues
            .lock()
            .get_mut(self.key)
            .and_then(|service| {
                service.queue.remove(self.ticket);
                service.requests.remove(&self.ticket)
            });
        // Dropped after the lock on the queues is released.
        drop(left);
    }
}

/// Waits in the queue of the service for a placement by this instance.
pub async fn wait(
    gateway: &SharedGateway,
    request: SlotRequest,
    holder: Holder,
) -> Result<Placement, Refusal> {
    let now = clock::now();
    let request = Arc::new(request);
    let key = QueueKey::of(&request);
    let queue_deadline_ms = request.queue_deadline_ms;
    if request.version.is_some() && !has_usable_engine(gateway, &request) {
        log_refused(gateway, &request, 0, "no engine of its version");
        return Err(Refusal {
            retry_after_ms: NO_ENGINE_RETRY_MS,
        });
    }
    let (ticket, receiver) = {
        let mut services = gateway.queues.lock();
        let service = services.entry(key.clone()).or_default();
        if (service.queue.is_empty() || request.excluded_engine.is_some())
            && let Some(placement) = try_place(gateway, &request, &holder)
        {
            log_placed(gateway, &request, &placement, service.queue.len());
            return Ok(placement);
        }
        let ticket = service.next_ticket;
        service.next_ticket += 1;
        let waiter = Waiter {
            ticket,
            priority: request.priority,
            on_time_deadline_ms: request.on_time_deadline_ms,
            queue_deadline_ms,
        };
        let permit_interval_ms = gateway.state().permit_interval_ms(&request.service);
        service.queue.set_min_grant_interval(permit_interval_ms);
        let spread = rand::random();
        match service.queue.enqueue(waiter, request.returned, spread, now) {
            Enqueue::Rejected { retry_after_ms } => {
                log_refused(gateway, &request, service.queue.len(), "no slot in time");
                return Err(Refusal { retry_after_ms });
            }
            Enqueue::Queued => {}
        }
        let (sender, receiver) = oneshot::channel();
        let queued = QueuedRequest {
            request: request.clone(),
            holder,
            sender,
        };
        service.requests.insert(ticket, queued);
        (ticket, receiver)
    };
    gateway.queues.slot_freed();
    let _entry = QueueEntry {
        gateway,
        key: &key,
        ticket,
    };
    let limit = Duration::from_millis(queue_deadline_ms.remaining(now));
    match tokio::time::timeout(limit, receiver).await {
        Ok(Ok(placement)) => Ok(placement),
        _ => {
            let length = gateway.queues.len(&key);
            log_refused(gateway, &request, length, "no slot while it waited");
            Err(Refusal {
                retry_after_ms: gateway.queues.retry_after_ms(&key),
            })
        }
    }
}

// Logs a placement with the load of its decode engine, this request included.
fn log_placed(gateway: &Gateway, request: &SlotRequest, placement: &Placement, queued: usize) {
    let decode = placement.decode.upstream();
    let load = gateway.state().total_load(&decode.id, clock::now());
    gateway.events.write(
        "placed",
        serde_json::json!({
            "request_id": &*request.request_id,
            "service": &*request.service,
            "decode": &*decode.id,
            "decode_version": &*decode.software_version,
            "prefill": placement.prefill.as_ref().map(|prefill| &*prefill.upstream().id),
            "kv_tokens": request.kv_tokens,
            "decode_slots": decode.slots,
            "decode_requests": load.requests,
            "decode_kv_tokens": load.kv_tokens,
            "waiting": queued,
        }),
    );
}

fn log_refused(gateway: &Gateway, request: &SlotRequest, queued: usize, cause: &str) {
    let (engines, used_slots, slots) = {
        let mut candidates = gateway.state().candidates(&request.service);
        candidates.retain(|candidate| candidate.upstream.stage != Some(Stage::Prefill));
        let used = candidates.iter().map(|candidate| candidate.load.requests);
        let slots = candidates.iter().map(|candidate| candidate.upstream.slots);
        (candidates.len(), used.sum::<u32>(), slots.sum::<u32>())
    };
    let now = clock::now();
    gateway.events.write(
        "not_placed",
        serde_json::json!({
            "request_id": &*request.request_id,
            "service": &*request.service,
            "cause": cause,
            "waiting": queued,
            "engines": engines,
            "used_slots": used_slots,
            "slots": slots,
            "on_time_left_ms": request.on_time_deadline_ms.remaining(now),
            "returned": request.returned,
            "version": request.version.as_deref(),
        }),
    );
}

/// Returns whether a service has an engine, other than `excluded`, that decodes and accepts new
/// work. With `version`, only engines of that version count.
pub fn has_decode_engine(
    gateway: &Gateway,
    service: &str,
    version: Option<&Arc<str>>,
    excluded: Option<&Arc<str>>,
) -> bool {
    let state = gateway.state();
    let mut engines = decode_engines(&state, service, version);
    engines.any(|engine| excluded != Some(&engine.id))
}

fn has_usable_engine(gateway: &Gateway, request: &SlotRequest) -> bool {
    let (version, excluded) = (request.version.as_ref(), request.excluded_engine.as_ref());
    has_decode_engine(gateway, &request.service, version, excluded)
}

fn decode_engines<'a>(
    state: &'a RoutingState,
    service: &'a str,
    version: Option<&'a Arc<str>>,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    state
        .upstreams
        .available(service)
        .filter(|upstream| upstream.stage != Some(Stage::Prefill))
        .filter(move |upstream| version.is_none_or(|version| *version == upstream.software_version))
}

/// Returns the reason why a service has no upstream that accepts new work.
pub fn no_upstream(gateway: &Gateway, service: &str) -> Reason {
    match gateway.state().upstreams.is_evacuated(service) {
        true => Reason::Evacuated,
        false => Reason::NoUpstream,
    }
}

/// Returns the shortest time for which an engine of a service that decodes asked this instance to
/// back off, 0 if one accepts requests now. With `version`, only engines of that version count.
pub fn backoff_ms(gateway: &Gateway, service: &str, version: Option<&Arc<str>>) -> u64 {
    let now = clock::now();
    let state = gateway.state();
    let engines = decode_engines(&state, service, version);
    let backoffs = engines.map(|engine| state.health.backoff_ms(&engine.id, now));
    backoffs.min().unwrap_or(0)
}

fn try_place(gateway: &SharedGateway, request: &SlotRequest, holder: &Holder) -> Option<Placement> {
    let configuration = gateway.configuration.load();
    let spec = configuration
        .as_ref()?
        .services
        .get(&request.service)?
        .engine
        .as_ref()?;
    let (decode, prefill) = select_engines(gateway, request, spec)?;
    Some(occupy(gateway, request, &decode, prefill.as_ref(), holder))
}

/// Counts the load of a request at the engines of its placement.
pub fn occupy(
    gateway: &SharedGateway,
    request: &SlotRequest,
    decode: &Arc<Upstream>,
    prefill: Option<&Arc<Upstream>>,
    holder: &Holder,
) -> Placement {
    let decode_load = UpstreamLoad {
        requests: 1,
        prefill_tokens: 0,
        kv_tokens: request.kv_tokens,
    };
    let prefill_load = UpstreamLoad {
        requests: 1,
        prefill_tokens: request.prompt_tokens,
        kv_tokens: request.prompt_tokens,
    };
    Placement {
        decode: gateway.track_load(decode, decode_load, holder.clone()),
        prefill: prefill.map(|prefill| gateway.track_load(prefill, prefill_load, holder.clone())),
    }
}

fn select_engines(
    gateway: &Gateway,
    request: &SlotRequest,
    spec: &EngineSpec,
) -> Option<(Arc<Upstream>, Option<Arc<Upstream>>)> {
    let now = clock::now();
    let state = gateway.state();
    let mut candidates = state.candidates(&request.service);
    state.retain_permitted(&mut candidates, now);
    let (mut prefilling, mut decoding): (Vec<Candidate>, Vec<Candidate>) = candidates
        .into_iter()
        .filter(|candidate| !state.health.is_avoided(&candidate.upstream.id, now))
        .filter(|candidate| request.excluded_engine.as_ref() != Some(&candidate.upstream.id))
        .filter(|candidate| {
            let deadline_ms = request.backoffs.get(&candidate.upstream.id);
            deadline_ms.is_none_or(|deadline_ms| *deadline_ms <= now)
        })
        .partition(|candidate| candidate.upstream.stage == Some(Stage::Prefill));
    if let Some(version) = &request.version {
        decoding.retain(|candidate| candidate.upstream.software_version == *version);
    }
    let selector = Selector {
        data_centre: &request.data_centre,
        health: &state.health,
        now,
    };
    let memory_limit = state
        .memory_limits
        .get(&request.service)
        .copied()
        .unwrap_or_default();
    let capacity_kv_tokens = memory_limit.limit(spec.kv_tokens);
    let decode = select_warm_first(&state, decoding, |engines| {
        upstream_speeds::select_decode(gateway, request, &selector, engines, capacity_kv_tokens)
    })?;
    // The KV cache of one software version is not known to suit another.
    prefilling.retain(|candidate| candidate.upstream.software_version == decode.software_version);
    let prefill = select_warm_first(&state, prefilling, |engines| {
        upstream_speeds::select_prefill(gateway, request, &selector, engines)
    });
    Some((decode, prefill))
}

// Selects among the engines that are warm, and among the cold ones, which are slow, only if no warm one
// can be selected.
fn select_warm_first<S>(
    state: &RoutingState,
    engines: Vec<Candidate>,
    select: S,
) -> Option<Arc<Upstream>>
where
    S: Fn(&[Candidate]) -> Option<usize>,
{
    let now = clock::now();
    let (cold, warm): (Vec<Candidate>, Vec<Candidate>) = engines
        .into_iter()
        .partition(|engine| state.is_cold(&engine.upstream, now));
    let selected = |engines: &[Candidate]| Some(engines[select(engines)?].upstream.clone());
    selected(&warm).or_else(|| selected(&cold))
}
