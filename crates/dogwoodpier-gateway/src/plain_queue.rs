//! Capacity for requests to plain services that are full. Requests wait here in order, in deployments
//! that call for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::oneshot;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::admission_window::Cause;
use dogwoodpier_core::gateway::admission_window::ServiceCapacity;
use dogwoodpier_core::gateway::plain_queue;
use dogwoodpier_core::gateway::plain_queue::Enqueue;
use dogwoodpier_core::gateway::plain_queue::PlainQueue;
use dogwoodpier_core::gateway::plain_queue::SendEnd;
use dogwoodpier_core::gateway::plain_queue::Waiter;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_process::clock;

use crate::counters;
use crate::forwarding::SendOutcome;
use crate::reject;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;

// All workspaces have the same weight, as the configuration states none.
const WORKSPACE_WEIGHT: u32 = 1;
// Stated waits of clients vary by their own delays. A larger difference shows that a client was
// rejected before: it is below the shortest time after which a client with a second to wait returns.
const RETURNED_MARGIN_MS: u64 = 100;

/// The queues of all plain services.
#[derive(Default)]
pub struct PlainQueues {
    services: Mutex<BTreeMap<Arc<str>, ServiceQueue>>,
}

#[derive(Default)]
struct ServiceQueue {
    queue: PlainQueue,
    // Signal the requests in the queue that they may be sent.
    senders: BTreeMap<u64, oneshot::Sender<()>>,
    next_ticket: u64,
}

impl PlainQueues {
    /// Returns the number of waiting requests by service.
    pub fn lengths(&self) -> BTreeMap<Arc<str>, usize> {
        let services = self.lock();
        let lengths = services
            .iter()
            .map(|(name, service)| (name.clone(), service.queue.len()));
        lengths.filter(|(_, length)| *length > 0).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, ServiceQueue>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceQueue {
    // Signals the requests that may be sent now.
    fn dispatch(&mut self, gateway: &Gateway, name: &Arc<str>, now: TimeMs) {
        if self.queue.expire(now) {
            log_limit(gateway, name, "ended", None, 0.0);
        }
        while let Some(ticket) = self.queue.next(now) {
            let sender = self.senders.remove(&ticket);
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                // Its client has just left.
                self.queue.remove(ticket);
            }
        }
    }
}

/// Permission to send a request to an upstream of a plain service. Dropping it releases the capacity.
#[must_use]
pub struct PlainSlot {
    entry: Option<Entry>,
}

// A request in a queue or at an upstream.
struct Entry {
    gateway: SharedGateway,
    service: Arc<str>,
    ticket: u64,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut services = self.gateway.plain_queues.lock();
        if let Some(service) = services.get_mut(&self.service) {
            service.senders.remove(&self.ticket);
            service.queue.remove(self.ticket);
            service.dispatch(&self.gateway, &self.service, clock::now());
        }
    }
}

impl PlainSlot {
    /// Returns whether the request got its capacity from a queue.
    pub fn is_queued(&self) -> bool {
        self.entry.is_some()
    }

    /// Records that an upstream rejected the request, which was sent at `sent_ms`, as full.
    pub fn record_full(&self, request: &ClientRequest, upstream: &Upstream, sent_ms: TimeMs) {
        self.record(request, upstream, sent_ms, |queue, end, capacity, now| {
            queue.record_full(end, capacity, now)
        });
    }

    /// Records the response to the request, which was sent at `sent_ms`.
    pub fn record_answer(&self, request: &ClientRequest, upstream: &Upstream, sent_ms: TimeMs) {
        self.record(request, upstream, sent_ms, |queue, end, capacity, now| {
            queue.record_answer(end, capacity, now)
        });
    }

    fn record<R>(&self, request: &ClientRequest, upstream: &Upstream, sent_ms: TimeMs, record: R)
    where
        R: FnOnce(
            &mut PlainQueue,
            &SendEnd<'_>,
            &dyn Fn() -> ServiceCapacity,
            TimeMs,
        ) -> Option<Cause>,
    {
        let Some(entry) = &self.entry else {
            return;
        };
        let gateway = &entry.gateway;
        let now = clock::now();
        let end = SendEnd {
            ticket: entry.ticket,
            upstream: &upstream.id,
            objective_ms: request.route.objective_ms,
            sent_ms,
        };
        let mut services = gateway.plain_queues.lock();
        let Some(service) = services.get_mut(&entry.service) else {
            return;
        };
        let capacity = || capacity(gateway, &entry.service, now);
        let started = record(&mut service.queue, &end, &capacity, now);
        let window = service.queue.window().size().unwrap_or(0.0);
        metrics::gauge!(counters::PLAIN_WINDOW, "service" => entry.service.to_string()).set(window);
        if let Some(cause) = started {
            let cause = match cause {
                Cause::Rejected => "rejected",
                Cause::Waited => "waited",
            };
            log_limit(gateway, &entry.service, "started", Some(cause), window);
        }
        service.dispatch(gateway, &entry.service, now);
    }
}

/// Gets the capacity to send a request to an upstream of its service, at once unless the service is
/// full. Waits for as long as the response can still be on time. `was_sent` means that an upstream has
/// rejected the request.
///
/// # Errors
///
/// Fails if the request can't be sent in time.
pub async fn acquire(
    gateway: &SharedGateway,
    request: &ClientRequest,
    was_sent: bool,
) -> Result<PlainSlot, Rejection> {
    if !gateway.features().queue_plain_requests {
        return Ok(PlainSlot { entry: None });
    }
    let was_rejected =
        was_sent || gateway.timing_stats.elapsed_before(request) > RETURNED_MARGIN_MS;
    let queued_ms = clock::now();
    let (entry, mut receiver, send_deadline_ms, cause) =
        enqueue(gateway, request, was_rejected, queued_ms)?;
    loop {
        if receiver.try_recv().is_ok() {
            break;
        }
        let now = clock::now();
        if send_deadline_ms <= now {
            let rejection = reject(gateway, request, "expired", now.since(queued_ms));
            drop(entry);
            return Err(rejection);
        }
        let next_ms = {
            let mut services = gateway.plain_queues.lock();
            let service = services.entry(entry.service.clone()).or_default();
            service.dispatch(gateway, &entry.service, now);
            service.queue.next_ms(now).unwrap_or(u64::MAX).max(1)
        };
        let limit = Duration::from_millis(send_deadline_ms.remaining(now).min(next_ms));
        if let Ok(Ok(())) = tokio::time::timeout(limit, &mut receiver).await {
            break;
        }
    }
    let cause = if was_sent { "retry" } else { cause };
    log_wait(gateway, request, cause, clock::now().since(queued_ms));
    Ok(PlainSlot { entry: Some(entry) })
}

type Queued = (Entry, oneshot::Receiver<()>, TimeMs, &'static str);

fn enqueue(
    gateway: &SharedGateway,
    request: &ClientRequest,
    was_rejected: bool,
    now: TimeMs,
) -> Result<Queued, Rejection> {
    let name = &request.service.name;
    let mut services = gateway.plain_queues.lock();
    let service = services.entry(name.clone()).or_default();
    let ticket = service.next_ticket;
    service.next_ticket += 1;
    let latency_ms = service.queue.window().latency_ms() as u64;
    let usable_ms = request.route.objective_ms.saturating_sub(latency_ms);
    let waiter = Waiter {
        ticket,
        priority: request.priority,
        workspace: workspace(request),
        weight: WORKSPACE_WEIGHT,
        was_rejected,
        send_deadline_ms: request
            .received_ms
            .after(usable_ms)
            .min(request.deadline_ms),
    };
    let send_deadline_ms = waiter.send_deadline_ms;
    let max_retry_ms = reject::max_retry_ms(request.deadline_ms.remaining(now));
    let result = service
        .queue
        .enqueue(waiter, max_retry_ms, rand::random(), now);
    if let Enqueue::Rejected {
        expected_ms,
        retry_after_ms,
    } = result
    {
        drop(services);
        let rejection = reject(gateway, request, "arrival", expected_ms);
        return Err(Rejection {
            retry_after_ms: Some(retry_after_ms),
            ..rejection
        });
    }
    let (sender, receiver) = oneshot::channel();
    service.senders.insert(ticket, sender);
    service.dispatch(gateway, name, now);
    let cause = match service.queue.next_ms(now) {
        Some(_) => "pace",
        None => "window",
    };
    let entry = Entry {
        gateway: gateway.clone(),
        service: name.clone(),
        ticket,
    };
    Ok((entry, receiver, send_deadline_ms, cause))
}

fn workspace(request: &ClientRequest) -> Arc<str> {
    let workspace = request.workspace.as_ref();
    workspace.map_or_else(|| "".into(), |workspace| workspace.name.clone())
}

// Returns what is known of the upstreams of a service.
fn capacity(gateway: &Gateway, service: &str, now: TimeMs) -> ServiceCapacity {
    let state = gateway.state();
    let (mut slots, mut requests) = (0.0, 0.0);
    for candidate in state.candidates(service) {
        slots += f64::from(candidate.upstream.slots);
        requests += f64::from(candidate.load.requests);
    }
    let members = state.peer_reports.membership(now).members.max(1);
    ServiceCapacity {
        slots_per_instance: slots / f64::from(members),
        is_busy: requests >= slots,
    }
}

/// Returns whether an upstream rejected a request because it is full, rather than because it was
/// replaced or is leaving.
pub fn is_full(gateway: &Gateway, upstream: &Arc<Upstream>, outcome: &SendOutcome) -> bool {
    let SendOutcome::NotExecuted(status) = outcome else {
        return false;
    };
    let upstreams = &gateway.state().upstreams;
    let known = upstreams.get(&upstream.id);
    *status != StatusCode::MISDIRECTED_REQUEST
        && known.is_some_and(|known| upstreams.is_available(known))
}

/// Returns the rejection of a request for which a full service has no capacity in time. `decision`
/// names where it was decided; `wait_ms` is the time that the request has waited or would wait.
pub fn reject(
    gateway: &Gateway,
    request: &ClientRequest,
    decision: &'static str,
    wait_ms: u64,
) -> Rejection {
    let name = &request.service.name;
    let (waiting, in_flight, window) = {
        let services = gateway.plain_queues.lock();
        let queue = services.get(name).map(|service| &service.queue);
        queue.map_or((0, 0, None), |queue| {
            (queue.len(), queue.in_flight(), queue.window().size())
        })
    };
    metrics::counter!(counters::PLAIN_REJECTED_TOTAL, "decision" => decision).increment(1);
    gateway.events.write(
        "plain_rejected",
        serde_json::json!({
            "request_id": request.id_text(),
            "service": &**name,
            "workspace": &*workspace(request),
            "decision": decision,
            "wait_ms": wait_ms,
            "waiting": waiting,
            "in_flight": in_flight,
            "window": window,
        }),
    );
    let max_retry_ms = reject::max_retry_ms(request.deadline_ms.remaining(clock::now()));
    Rejection {
        reason: Reason::Overloaded,
        retry_after_ms: Some(plain_queue::retry_after_ms(max_retry_ms, rand::random())),
    }
}

fn log_wait(gateway: &Gateway, request: &ClientRequest, cause: &'static str, waited_ms: u64) {
    if waited_ms == 0 {
        return;
    }
    let workspace = workspace(request).to_string();
    let labels = [
        ("workspace", workspace.clone()),
        ("cause", cause.to_owned()),
    ];
    metrics::counter!(counters::PLAIN_WAITS_TOTAL, &labels).increment(1);
    metrics::counter!(counters::PLAIN_WAIT_MS_TOTAL, &labels).increment(waited_ms);
    gateway.events.write(
        "plain_waited",
        serde_json::json!({
            "request_id": request.id_text(),
            "service": &*request.service.name,
            "workspace": workspace,
            "cause": cause,
            "waited_ms": waited_ms,
        }),
    );
}

fn log_limit(gateway: &Gateway, service: &str, state: &str, cause: Option<&str>, window: f64) {
    metrics::gauge!(counters::PLAIN_WINDOW, "service" => service.to_owned()).set(window);
    gateway.events.write(
        "plain_limit",
        serde_json::json!({
            "service": service,
            "state": state,
            "cause": cause,
            "window": window,
        }),
    );
}
