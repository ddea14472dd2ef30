//! The state of a gateway and what its parts share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::memory_limit::MemoryLimit;
use dogwoodpier_core::gateway::peer_reports::Grant;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::retries::PREFILL_RESERVE;
use dogwoodpier_core::gateway::retries::RetryBudget;
use dogwoodpier_core::gateway::retries::RetryOptions;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::shutdown::Shutdown;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::gateway::upstreams::Upstreams;
use dogwoodpier_http::Connections;
use dogwoodpier_platform::Client;
use dogwoodpier_process::clock;
use dogwoodpier_process::drain::Drain;
use dogwoodpier_process::events::EventLog;

use crate::broker;
use crate::broker::Broker;
use crate::broker::Release;
use crate::codec;
use crate::dialect::Dialect;
use crate::engines::TimingStats;
use crate::exchange::Message;
use crate::owners::Owners;
use crate::quarantine::Quarantine;
use crate::queues::Queues;
use crate::quota::PendingQuotaAsks;
use crate::registry::PeerAddresses;
use crate::request::ClientRequest;
use crate::settings::Settings;
use crate::store::Revisions;

/// A gateway. Its parts share it.
pub struct Gateway {
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Settings in force.
    pub settings: ArcSwap<Settings>,
    /// Names and formats of the deployment.
    pub dialect: &'static Dialect,
    /// Configuration in force, absent until the first one was read.
    pub configuration: ArcSwapOption<Configuration>,
    /// What the gateway believes of upstreams and peers.
    pub state: Mutex<RoutingState>,
    /// Socket for messages of peers.
    pub socket: UdpSocket,
    /// Questions for places, asked and answered.
    pub broker: Broker,
    /// Owners that didn't answer.
    pub owners: Owners,
    /// Questions for units of quotas.
    pub pending_quota_asks: PendingQuotaAsks,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    /// What was learned about engines.
    pub timing_stats: TimingStats,
    /// Requests that wait for a slot of an engine.
    pub queues: Queues,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Client of the object store.
    pub store: Client,
    /// Requests in flight, and whether new ones are taken.
    pub drain: Arc<Drain>,
    /// Event log.
    pub events: EventLog,
    /// Bytes of requests' bodies held.
    pub buffered_bytes: AtomicUsize,
    /// Wakes the task that reports to peers.
    pub report_needed: Notify,
    /// Tells clients' connections to close once they are idle.
    pub close_idle: Notify,
    /// Time at which a stopping process ends, and whether the balancer has had time to notice.
    pub shutdown: Mutex<Option<Shutdown>>,
    /// Tells that the registration of this instance was removed.
    pub registration_lost: Notify,
    /// Revisions of the store that were seen.
    pub revisions: Revisions,
    /// Addresses of the registered peers.
    pub peer_addresses: PeerAddresses,
}

/// What the gateway believes of upstreams and peers.
pub struct RoutingState {
    /// Known upstreams.
    pub upstreams: Upstreams,
    /// Whether the upstreams were read once.
    pub upstreams_known: bool,
    /// How upstreams answered.
    pub health: UpstreamHealth,
    /// Peers and their reports.
    pub peer_reports: PeerReports,
    /// Quotas of the workspaces that this instance decides for.
    pub quotas: Quotas,
    /// This instance's own shares of quotas, for when no owner answers.
    pub quota_shares: Quotas,
    /// Budget of retries.
    pub retries: RetryBudget,
    /// How far the memory of engines can be filled, by service.
    pub memory_limits: BTreeMap<Arc<str>, MemoryLimit>,
    /// Use of upstreams by requests of this instance.
    pub own_load: BTreeMap<Arc<str>, UpstreamLoad>,
    /// Questions by which they were granted, by upstream.
    pub tickets: BTreeMap<Arc<str>, Vec<u64>>,
}

/// Shared handle.
pub type SharedGateway = Arc<Gateway>;

impl Gateway {
    /// Returns the beliefs, locked. The lock is held for decisions only, never over I/O.
    pub fn state(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a new request may be taken: always, unless the process stops before it ends.
    pub fn accepts(&self, route: &Route) -> bool {
        let shutdown = self.shutdown.lock().unwrap_or_else(PoisonError::into_inner);
        shutdown.is_none_or(|shutdown| shutdown.accepts(route, clock::now()))
    }

    /// Takes a further send of a request out of the budget of retries. Returns false if none is left,
    /// or no time.
    pub fn take_retry(&self, request: &ClientRequest) -> bool {
        let now = clock::now();
        if request.deadline_ms <= now {
            return false;
        }
        let reserve = match request.service.engine {
            Some(_) => PREFILL_RESERVE,
            None => 0.0,
        };
        self.with_retries(request, now, |retries, service, options, members| {
            retries.take_retry(service, options, members, reserve, now)
        })
    }

    /// Takes the first prefill of a request out of the budget: it counts as a retry unless an engine
    /// accepts it. Returns false if nothing is left.
    pub fn take_prefill_retry(&self, request: &ClientRequest) -> bool {
        let now = clock::now();
        self.with_retries(request, now, |retries, service, options, members| {
            retries.take_prefill_retry(service, options, members, now)
        })
    }

    /// Gives back what was taken for a first prefill that was accepted.
    pub fn refund_prefill_retry(&self, request: &ClientRequest) {
        self.state().retries.refund(&request.service.name);
    }

    // Asks the budget for a request's service, as shared with the members of the fleet.
    fn with_retries<A>(&self, request: &ClientRequest, now: TimeMs, take: A) -> bool
    where
        A: FnOnce(&mut RetryBudget, &Arc<str>, &RetryOptions, u32) -> bool,
    {
        let options = self.settings.load().retries;
        let mut state = self.state();
        let members = state.peer_reports.membership(now).members;
        let service = &request.service.name;
        take(&mut state.retries, service, &options, members)
    }

    /// Counts a request at an upstream until the guard is dropped.
    pub fn track_load(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
        load: UpstreamLoad,
        holder: Holder,
    ) -> LoadGuard {
        {
            let mut state = self.state();
            match &holder {
                Holder::Local | Holder::Granted { .. } => {
                    state
                        .own_load
                        .entry(upstream.id.clone())
                        .or_default()
                        .add(load);
                    if let Holder::Granted { ticket, .. } = &holder {
                        let tickets = state.tickets.entry(upstream.id.clone()).or_default();
                        tickets.push(*ticket);
                    }
                    self.report_needed.notify_one();
                }
                Holder::HandedOver => {}
                Holder::Peer { instance, ticket } => {
                    let grant = Grant {
                        ticket: *ticket,
                        upstream: upstream.id.clone(),
                        load,
                        granted_ms: clock::now(),
                    };
                    state.peer_reports.grant(instance, grant);
                }
            }
        }
        LoadGuard {
            gateway: self.clone(),
            upstream: upstream.clone(),
            load,
            holder,
            result: broker::Result::Used,
        }
    }

    /// Sends a message to a peer. One that is lost is made up for by later ones.
    pub fn send_message(&self, address: SocketAddr, message: &Message) {
        match codec::encode(message) {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, address) {
                    log::debug!("message to {address}: {error}");
                }
            }
            Err(error) => log::error!("can't encode a message to a peer: {error}"),
        }
    }

    /// Notes how a send to an upstream ended.
    pub fn record_outcome(&self, upstream: &Upstream, outcome: Outcome) {
        self.state()
            .health
            .record_outcome(&upstream.id, outcome, clock::now());
        if matches!(outcome, Outcome::Unreachable | Outcome::Replaced) {
            self.report_needed.notify_one();
            // Others opened in the same time may have gone silent with the one that failed.
            self.connections.close_idle(&upstream.id);
        }
    }
}

impl RoutingState {
    /// Returns the upstreams of a service that take new work, with what all instances have there.
    pub fn candidates(&self, service: &str) -> Vec<Candidate> {
        let now = clock::now();
        self.upstreams
            .available(service)
            .map(|upstream| Candidate {
                upstream: upstream.clone(),
                load: self.total_load(&upstream.id, now),
            })
            .collect()
    }

    /// Learns from the end of a place at an engine how much memory can be given out.
    pub fn update_memory_limit(
        &mut self,
        configuration: &Option<Arc<Configuration>>,
        id: &Arc<str>,
        load: UpstreamLoad,
        result: broker::Result,
    ) {
        let upstream = self.upstreams.get(id);
        let Some(service) = upstream.map(|upstream| upstream.service.clone()) else {
            return;
        };
        let services = configuration.as_ref().map(|known| &known.services);
        let engine = services
            .and_then(|services| services.get(&service))
            .and_then(|service| service.engine.as_ref());
        let Some(kv_tokens) = engine.map(|engine| engine.kv_tokens) else {
            return;
        };
        // Prefills are rejected for other reasons than memory.
        if load.prefill_tokens > 0 {
            return;
        }
        match result {
            broker::Result::Used => self
                .memory_limits
                .entry(service)
                .or_default()
                .record_accepted(),
            broker::Result::Full => {
                let now = clock::now();
                let held_kv_tokens = self.total_load(id, now).kv_tokens + load.kv_tokens;
                self.health.record_out_of_memory(id, held_kv_tokens, now);
                let limit = self.memory_limits.entry(service).or_default();
                limit.record_rejected(held_kv_tokens, kv_tokens);
            }
            broker::Result::Unreachable | broker::Result::Replaced | broker::Result::Unknown => {}
        }
    }

    /// Returns what all instances have at an upstream.
    pub fn total_load(&self, upstream: &str, now: TimeMs) -> UpstreamLoad {
        let mut load = self.peer_reports.peer_load(upstream, now);
        if let Some(own) = self.own_load.get(upstream) {
            load.add(*own);
        }
        load
    }
}

/// For whom a request is counted at an upstream.
#[derive(Clone, Debug)]
pub enum Holder {
    /// A request of this instance, placed by itself.
    Local,
    /// A request of this instance that a broker placed.
    Granted {
        /// Address of the broker.
        broker: SocketAddr,
        /// The question that the broker answered.
        ticket: u64,
    },
    /// A request of a peer that this instance placed.
    Peer {
        /// Name of the peer.
        instance: Arc<str>,
        /// The question that was answered.
        ticket: u64,
    },
    /// A request of a peer that has been told of its place.
    HandedOver,
}

/// A request at an upstream. Dropping it ends the count.
pub struct LoadGuard {
    gateway: SharedGateway,
    upstream: Arc<Upstream>,
    load: UpstreamLoad,
    holder: Holder,
    result: broker::Result,
}

impl LoadGuard {
    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Notes how the upstream did, for the broker that granted it.
    pub fn set_result(&mut self, result: broker::Result) {
        self.result = result;
    }

    /// Leaves the count to the peer that holds it, and returns the upstream's id. The peer's release
    /// or its reports end the count.
    pub fn hand_over(mut self) -> Arc<str> {
        self.holder = Holder::HandedOver;
        self.upstream.id.clone()
    }

    fn end_own_load(&self) {
        let mut state = self.gateway.state();
        if let Holder::Granted { ticket, .. } = &self.holder
            && let Some(tickets) = state.tickets.get_mut(&self.upstream.id)
        {
            tickets.retain(|held| held != ticket);
            if tickets.is_empty() {
                state.tickets.remove(&self.upstream.id);
            }
        }
        if self.result == broker::Result::Used {
            state.health.record_freed(&self.upstream.id);
        }
        if let Some(load) = state.own_load.get_mut(&self.upstream.id) {
            load.subtract(self.load);
            if *load == UpstreamLoad::default() {
                state.own_load.remove(&self.upstream.id);
            }
        }
        if let Holder::Local = self.holder {
            let configuration = self.gateway.configuration.load();
            state.update_memory_limit(&configuration, &self.upstream.id, self.load, self.result);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        match &self.holder {
            Holder::Local => self.end_own_load(),
            Holder::Granted { broker, ticket } => {
                self.end_own_load();
                let release = Release {
                    instance: self.gateway.settings.load().instance.clone(),
                    ticket: *ticket,
                    upstream: self.upstream.id.clone(),
                    result: self.result,
                };
                self.gateway
                    .send_message(*broker, &Message::Release(release));
            }
            Holder::HandedOver => return,
            Holder::Peer { instance, ticket } => {
                let mut state = self.gateway.state();
                let peer_reports = &mut state.peer_reports;
                peer_reports.release(instance, *ticket, &self.upstream.id, clock::now());
            }
        }
        self.gateway.report_needed.notify_one();
        self.gateway.queues.slot_freed();
    }
}
