//! Brokers: for each service, one instance allocates the slots of the engines.
//!
//! Load pattern: a slot becomes free while requests wait at many instances. If each instance placed
//! by its own knowledge of the others, all of them would take the same slot. Instead the instances
//! agree on a broker by rendezvous hashing over the live members and send it their requests. The
//! broker's state is soft: its peers' reports rebuild it at another instance. An instance whose
//! broker does not answer asks the next one, and finally places by its own knowledge.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::owners;
use crate::owners::ANSWER_TIMEOUT;
use crate::owners::Owner;
use crate::peer_messages::Message;
use crate::queues;
use crate::queues::Placement;
use crate::queues::Refusal;
use crate::queues::SlotRequest;
use crate::state::Gateway;
use crate::state::Holder;
use crate::state::SharedGateway;

// Unanswered requests after which an instance turns from a broker to the next one.
const MAX_UNANSWERED_BROKER_REQUESTS: u32 = 3;
// Time between two messages while a request waits in a broker's queue.
const QUEUED_POLL_INTERVAL: Duration = Duration::from_millis(250);
// Time after the end of a request's wait within which the verdict of its broker arrives.
const VERDICT_MARGIN_MS: u64 = 100;
// Calls to brokers for one request, answered or not, before the instance places it itself.
const MAX_BROKER_CALLS: usize = 4;
// Time for which the verdict on a request is kept, for repeated messages.
const ANSWER_RETENTION_MS: u64 = 5_000;

/// A request for a placement. Durations count from the time of sending.
#[wire]
pub struct PlacementRequest {
    /// Instance that sends the request.
    pub instance: Arc<str>,
    /// Identifies the request at that instance.
    pub ticket: u64,
    /// Id of the client's request, for logs.
    pub request_id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected KV cache of the request, in tokens.
    pub kv_tokens: u64,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Time left to get a slot that leads to a response on time.
    pub on_time_in_ms: u64,
    /// Time left until the request leaves the queue.
    pub leave_in_ms: u64,
    /// Whether its client was refused before.
    pub returned: bool,
    /// Engine that has just failed the request and is not used again.
    pub except: Option<Arc<str>>,
    /// Engines that asked the instance to back off, with the remaining milliseconds.
    pub paused: BTreeMap<Arc<str>, u64>,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
}

/// A request for a placement on engines of one software version.
#[wire]
pub struct VersionPlacementRequest {
    /// The request.
    pub request: PlacementRequest,
    /// The version.
    pub version: Arc<str>,
}

/// A broker's decision on a request.
#[wire]
pub enum PlacementVerdict {
    /// The request is queued.
    Waiting,
    /// The request has a placement.
    Granted {
        /// Engine that decodes.
        decode: Arc<str>,
        /// Engine that prefills.
        prefill: Option<Arc<str>>,
    },
    /// No placement is expected in time.
    Refused {
        /// Time after which the client should retry.
        retry_after_ms: u64,
    },
}

/// The answer to a request for a placement.
#[wire]
pub struct PlacementAnswer {
    /// Ticket of the request.
    pub ticket: u64,
    /// Decision of the broker.
    pub verdict: PlacementVerdict,
}

/// Outcome of the use of a granted engine.
#[wire]
#[derive(Copy, Eq)]
pub enum GrantOutcome {
    /// It served the request, or nothing is known.
    Used,
    /// It rejected the request because it was full.
    Full,
    /// It could not be reached.
    Unreachable,
    /// Another incarnation runs at its address.
    Replaced,
    /// The instance does not know the engine, or not yet.
    Unknown,
    /// Nothing was sent to it, as its rate limit allowed no request.
    Withheld,
}

/// The end of the use of a granted engine.
#[wire]
pub struct EngineRelease {
    /// Instance that used it.
    pub instance: Arc<str>,
    /// Ticket of the request.
    pub ticket: u64,
    /// The engine.
    pub upstream: Arc<str>,
    /// Outcome of its use.
    pub result: GrantOutcome,
}

/// Notice that a request failed at a granted engine: its connection was cut, or the engine answered
/// with an error or with nothing that can be used. Follows the release, whose encoding must not change
/// while instances of an earlier version run.
#[wire]
#[derive(Eq)]
pub struct EngineFailure {
    /// The engine.
    pub upstream: Arc<str>,
}

enum IncomingRequest {
    Waiting(AbortHandle),
    Decided {
        verdict: PlacementVerdict,
        retention_deadline_ms: TimeMs,
    },
}

/// Placement requests under way, in both directions.
pub struct Broker {
    next_ticket: AtomicU64,
    // Requests of this instance, with the channels for verdicts.
    outgoing: Mutex<BTreeMap<u64, mpsc::UnboundedSender<PlacementVerdict>>>,
    // Requests of peers.
    incoming: Mutex<BTreeMap<(Arc<str>, u64), IncomingRequest>>,
}

impl Default for Broker {
    fn default() -> Self {
        Self {
            // Starts at a random number, as peers may still know the tickets of an earlier process.
            next_ticket: AtomicU64::new(rand::random()),
            outgoing: Mutex::default(),
            incoming: Mutex::default(),
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Gets a placement for a request from the broker of its service.
pub async fn place(
    gateway: &SharedGateway,
    mut request: SlotRequest,
) -> Result<Placement, Refusal> {
    for _ in 0..MAX_BROKER_CALLS {
        let Owner::Peer { instance, address } = owners::owner_of(gateway, &request.service) else {
            break;
        };
        match query_broker(gateway, address, &request).await {
            BrokerReply::Decided(result) => return result,
            // A broker of an earlier build does not know requests for one version.
            BrokerReply::NoAnswer if request.version.is_some() => break,
            BrokerReply::NoAnswer => {
                gateway
                    .owners
                    .record_timeout(gateway, &instance, &request.service)
            }
            // The release message states the reason, and the broker may have other engines.
            BrokerReply::Unusable(decode) => request.excluded_engine = Some(decode),
        }
    }
    queues::wait(gateway, request, Holder::Local).await
}

/// Returns the addresses of the brokers of all services with engines, their successors included.
pub fn addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let configuration = gateway.configuration.load();
    let services = configuration
        .iter()
        .flat_map(|configuration| configuration.services.values());
    let mut addresses: Vec<SocketAddr> = services
        .filter(|service| service.engine.is_some())
        .flat_map(|service| owners::addresses(gateway, &service.name))
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Withdraws a request of this instance if its client leaves before it is decided.
struct OutgoingRequest<'a> {
    gateway: &'a Gateway,
    broker: SocketAddr,
    ticket: u64,
    decided: bool,
}

impl Drop for OutgoingRequest<'_> {
    fn drop(&mut self) {
        locked(&self.gateway.broker.outgoing).remove(&self.ticket);
        if self.decided {
            return;
        }
        let withdrawal = Message::Withdraw {
            instance: self.gateway.settings.load().instance.clone(),
            ticket: self.ticket,
        };
        self.gateway.send_message(self.broker, &withdrawal);
    }
}

// How a request to a broker ended.
enum BrokerReply {
    Decided(Result<Placement, Refusal>),
    // The broker did not answer, or has not decided in time.
    NoAnswer,
    // This instance can't use the granted decode engine or the granted prefill engine. Holds the
    // decode engine.
    Unusable(Arc<str>),
}

// Sends a request to a broker and waits for its verdict.
async fn query_broker(
    gateway: &SharedGateway,
    broker: SocketAddr,
    request: &SlotRequest,
) -> BrokerReply {
    let ticket = gateway.broker.next_ticket.fetch_add(1, Ordering::Relaxed);
    let (sender, mut verdicts) = mpsc::unbounded_channel();
    locked(&gateway.broker.outgoing).insert(ticket, sender);
    let mut outgoing = OutgoingRequest {
        gateway,
        broker,
        ticket,
        decided: false,
    };
    let instance = gateway.settings.load().instance.clone();
    let verdict_deadline_ms = request.queue_deadline_ms.after(VERDICT_MARGIN_MS);
    let mut unanswered = 0;
    let mut timeout = ANSWER_TIMEOUT;
    while unanswered < MAX_UNANSWERED_BROKER_REQUESTS {
        let now = clock::now();
        let message = PlacementRequest {
            instance: instance.clone(),
            ticket,
            request_id: request.request_id.clone(),
            service: request.service.clone(),
            prompt_tokens: request.prompt_tokens,
            kv_tokens: request.kv_tokens,
            priority: request.priority,
            on_time_in_ms: request.on_time_deadline_ms.remaining(now),
            leave_in_ms: request.queue_deadline_ms.remaining(now),
            returned: request.returned,
            except: request.excluded_engine.clone(),
            paused: request
                .backoffs
                .iter()
                .map(|(upstream, deadline_ms)| (upstream.clone(), deadline_ms.remaining(now)))
                .collect(),
            data_centre: request.data_centre.clone(),
        };
        let message = match &request.version {
            None => Message::Ask(message),
            Some(version) => Message::AskVersion(VersionPlacementRequest {
                request: message,
                version: version.clone(),
            }),
        };
        gateway.send_message(broker, &message);
        match tokio::time::timeout(timeout, verdicts.recv()).await {
            Ok(Some(PlacementVerdict::Waiting)) if clock::now() >= verdict_deadline_ms => {
                return BrokerReply::NoAnswer;
            }
            Ok(Some(PlacementVerdict::Waiting)) => {
                unanswered = 0;
                timeout = QUEUED_POLL_INTERVAL;
            }
            Ok(Some(PlacementVerdict::Refused { retry_after_ms })) => {
                outgoing.decided = true;
                return BrokerReply::Decided(Err(Refusal { retry_after_ms }));
            }
            Ok(Some(PlacementVerdict::Granted { decode, prefill })) => {
                outgoing.decided = true;
                return accept(gateway, broker, ticket, request, &decode, prefill.as_ref());
            }
            Ok(None) => return BrokerReply::NoAnswer,
            Err(_) => {
                unanswered += 1;
                // Another broker does not know of the latest placements, so it is worth waiting for
                // one that is only busy.
                timeout = ANSWER_TIMEOUT * 2_u32.pow(unanswered);
            }
        }
    }
    BrokerReply::NoAnswer
}

// Accepts a placement, unless this instance does not know one of its engines or knows that it takes
// no work: one of the two instances is then cut off from the store, or behind the other.
fn accept(
    gateway: &SharedGateway,
    broker: SocketAddr,
    ticket: u64,
    request: &SlotRequest,
    decode: &Arc<str>,
    prefill: Option<&Arc<str>>,
) -> BrokerReply {
    let known = |id: &Arc<str>| gateway.state().upstreams.get(id).cloned();
    let usable = |id: &Arc<str>| {
        known(id).filter(|upstream| {
            let version = request.version.as_ref();
            version.is_none_or(|version| *version == upstream.software_version)
                && gateway.state().upstreams.is_available(upstream)
        })
    };
    let (Some(decode), None | Some(Some(_))) = (usable(decode), prefill.map(usable)) else {
        for upstream in [Some(decode), prefill].into_iter().flatten() {
            let result = match known(upstream) {
                Some(_) if usable(upstream).is_some() => GrantOutcome::Used,
                Some(_) => GrantOutcome::Replaced,
                None => GrantOutcome::Unknown,
            };
            release(gateway, broker, ticket, upstream.clone(), result);
        }
        return BrokerReply::Unusable(decode.clone());
    };
    let holder = Holder::Granted { broker, ticket };
    let prefill = prefill.and_then(usable);
    BrokerReply::Decided(Ok(queues::occupy(
        gateway,
        request,
        &decode,
        prefill.as_ref(),
        &holder,
    )))
}

fn release(
    gateway: &Gateway,
    broker: SocketAddr,
    ticket: u64,
    upstream: Arc<str>,
    result: GrantOutcome,
) {
    let release = EngineRelease {
        instance: gateway.settings.load().instance.clone(),
        ticket,
        upstream,
        result,
    };
    gateway.send_message(broker, &Message::Release(release));
}

/// Handles the answer to a request of this instance.
pub fn handle_answer(gateway: &Gateway, from: SocketAddr, answer: PlacementAnswer) {
    let sender = locked(&gateway.broker.outgoing)
        .get(&answer.ticket)
        .cloned();
    match (sender, answer.verdict) {
        (Some(sender), verdict) => {
            // The request may be dropped at this moment. A repeated answer takes the branch below,
            // which releases the placement.
            if sender.send(verdict).is_err() {
                log::debug!("answer for a request that was dropped");
            }
        }
        (None, PlacementVerdict::Granted { decode, prefill }) => {
            for upstream in [Some(decode), prefill].into_iter().flatten() {
                release(gateway, from, answer.ticket, upstream, GrantOutcome::Used);
            }
        }
        (None, _) => {}
    }
}

/// Handles the request of a peer: answers it now, or once it is decided. With `version`, only engines
/// of that version may be granted.
pub fn handle_request(
    gateway: &SharedGateway,
    from: SocketAddr,
    request: PlacementRequest,
    version: Option<Arc<str>>,
) {
    let key = (request.instance.clone(), request.ticket);
    let now = clock::now();
    let mut incoming = locked(&gateway.broker.incoming);
    incoming.retain(|_, incoming| match incoming {
        IncomingRequest::Waiting(_) => true,
        IncomingRequest::Decided {
            retention_deadline_ms,
            ..
        } => *retention_deadline_ms > now,
    });
    let ticket = request.ticket;
    let verdict = match incoming.get(&key) {
        Some(IncomingRequest::Waiting(_)) => PlacementVerdict::Waiting,
        Some(IncomingRequest::Decided { verdict, .. }) => verdict.clone(),
        None => {
            let task = tokio::spawn(decide(gateway.clone(), from, request, version));
            incoming.insert(key, IncomingRequest::Waiting(task.abort_handle()));
            // The task answers as soon as the request is decided, mostly at once.
            return;
        }
    };
    drop(incoming);
    gateway.send_message(from, &Message::Answer(PlacementAnswer { ticket, verdict }));
}

async fn decide(
    gateway: SharedGateway,
    from: SocketAddr,
    request: PlacementRequest,
    version: Option<Arc<str>>,
) {
    let key = (request.instance.clone(), request.ticket);
    let holder = Holder::Peer {
        instance: request.instance.clone(),
        ticket: request.ticket,
    };
    let now = clock::now();
    let slot_request = SlotRequest {
        request_id: request.request_id,
        service: request.service,
        prompt_tokens: request.prompt_tokens,
        kv_tokens: request.kv_tokens,
        priority: request.priority,
        on_time_deadline_ms: now.after(request.on_time_in_ms),
        queue_deadline_ms: now.after(request.leave_in_ms),
        returned: request.returned,
        excluded_engine: request.except,
        backoffs: request
            .paused
            .into_iter()
            .map(|(upstream, pause_ms)| (upstream, now.after(pause_ms)))
            .collect(),
        data_centre: request.data_centre,
        version,
    };
    let waiting = queues::wait(&gateway, slot_request, holder);
    tokio::pin!(waiting);
    let ticket = key.1;
    let result = tokio::select! {
        biased;
        result = &mut waiting => result,
        () = tokio::time::sleep(ANSWER_TIMEOUT / 4) => {
            let verdict = PlacementVerdict::Waiting;
            gateway.send_message(from, &Message::Answer(PlacementAnswer { ticket, verdict }));
            waiting.await
        }
    };
    let verdict = match result {
        Ok(placement) => PlacementVerdict::Granted {
            decode: placement.decode.hand_over(),
            prefill: placement.prefill.map(crate::state::LoadGuard::hand_over),
        },
        Err(refusal) => PlacementVerdict::Refused {
            retry_after_ms: refusal.retry_after_ms,
        },
    };
    let decided = IncomingRequest::Decided {
        verdict: verdict.clone(),
        retention_deadline_ms: clock::now().after(ANSWER_RETENTION_MS),
    };
    locked(&gateway.broker.incoming).insert(key, decided);
    gateway.send_message(from, &Message::Answer(PlacementAnswer { ticket, verdict }));
}

/// Handles the release of a placement by a peer.
pub fn handle_release(gateway: &Gateway, release: &EngineRelease) {
    let now = clock::now();
    {
        let mut state = gateway.state();
        let released =
            state
                .peer_reports
                .release(&release.instance, release.ticket, &release.upstream, now);
        if let Some(load) = released {
            let configuration = gateway.configuration.load();
            state.update_memory_limit(&configuration, &release.upstream, load, release.result);
        }
        let outcome = match release.result {
            GrantOutcome::Used => {
                state.health.record_freed(&release.upstream);
                None
            }
            GrantOutcome::Withheld => None,
            GrantOutcome::Full => Some(Outcome::Full),
            GrantOutcome::Unreachable => Some(Outcome::Unreachable),
            GrantOutcome::Replaced => Some(Outcome::Replaced),
            GrantOutcome::Unknown => Some(Outcome::Unknown),
        };
        if let Some(outcome) = outcome {
            state.health.record_outcome(&release.upstream, outcome, now);
        }
    }
    gateway.queues.slot_freed();
}

/// Handles the notice of a peer that a request failed at an engine. Without it the broker would place
/// more requests at an engine that fails them, as the slots there are free again at once.
pub fn handle_failure(gateway: &Gateway, failure: &EngineFailure) {
    let now = clock::now();
    let mut state = gateway.state();
    if state.upstreams.get(&failure.upstream).is_some() {
        let health = &mut state.health;
        health.record_outcome(&failure.upstream, Outcome::Failed, now);
    }
}

/// Handles the withdrawal of a request by a peer.
pub fn handle_withdrawal(gateway: &Gateway, instance: &Arc<str>, ticket: u64) {
    let incoming = locked(&gateway.broker.incoming).remove(&(instance.clone(), ticket));
    if let Some(IncomingRequest::Waiting(task)) = incoming {
        task.abort();
    }
}
