//! State that the tasks of a gateway share.

use std::cell::LazyCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::memory_limit::MemoryLimit;
use dogwoodpier_core::gateway::partition::PartitionDetector;
use dogwoodpier_core::gateway::peer_reports::Grant;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::permits;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::permits::Permits;
use dogwoodpier_core::gateway::permits::SendLimit;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::quota::Membership;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::quota::RecentDecisions;
use dogwoodpier_core::gateway::retries::PREFILL_RESERVE;
use dogwoodpier_core::gateway::retries::RetryBudget;
use dogwoodpier_core::gateway::retries::RetryOptions;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::shutdown::Shutdown;
use dogwoodpier_core::gateway::software_versions::SeenVersions;
use dogwoodpier_core::gateway::upstream_limits::UpstreamLimits;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::gateway::upstreams::Upstreams;
use dogwoodpier_http::Connections;
use dogwoodpier_platform::Client;
use dogwoodpier_process::clock;
use dogwoodpier_process::drain::Drain;
use dogwoodpier_process::events::EventLog;

use crate::broker;
use crate::broker::Broker;
use crate::broker::EngineFailure;
use crate::broker::EngineRelease;
use crate::client_budget::ClientBudget;
use crate::codec;
use crate::cold::ColdNews;
use crate::cold::InvalidReports;
use crate::dialect::Dialect;
use crate::dialect::Features;
use crate::engines::TimingStats;
use crate::greetings::PeerGreetings;
use crate::newer_configuration::NewerConfiguration;
use crate::owners::Owners;
use crate::peer_messages::Message;
use crate::pending::PendingRequests;
use crate::plain_queue::PlainQueues;
use crate::quarantine::Quarantine;
use crate::queues::Queues;
use crate::quota::RepeatedTickets;
use crate::registry::PeerAddresses;
use crate::request::ClientRequest;
use crate::seen_positions::SeenPositions;
use crate::settings::Settings;
use crate::stream_origins::StreamOrigins;
use crate::upstream_speeds::LearnedCosts;

const MS_PER_S: f64 = 1_000.0;

/// A gateway, shared by all of its tasks.
pub struct Gateway {
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Settings in force.
    pub settings: ArcSwap<Settings>,
    /// Header names and formats of the deployment.
    pub dialect: &'static Dialect,
    /// Configuration in force; absent until the first one has been read.
    pub configuration: ArcSwapOption<Configuration>,
    /// What is known of newer configurations that the store lacks.
    pub newer_configuration: NewerConfiguration,
    /// State that routing decisions are made from.
    pub state: Mutex<RoutingState>,
    /// UDP socket for messages between peers.
    pub socket: UdpSocket,
    /// Placement requests of this instance and of its peers.
    pub broker: Broker,
    /// Owners that did not answer recently.
    pub owners: Owners,
    /// Quota requests of this instance that await an answer.
    pub pending_quota_requests: PendingRequests<Decision>,
    /// Permit requests of this instance that await an answer.
    pub pending_permit_requests: PendingRequests<PermitDecision>,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    /// Cold upstreams of which the peers have to be told.
    pub cold_news: ColdNews,
    /// Invalid remaining cold times that are not logged yet.
    pub invalid_cold_reports: InvalidReports,
    /// Software versions that began streams.
    pub stream_origins: StreamOrigins,
    /// Speeds of upstreams and costs of requests, as far as they are known.
    pub learned_costs: LearnedCosts,
    /// Statistics on clients' waits and engines' first events.
    pub timing_stats: TimingStats,
    /// Requests that wait for a slot of an engine.
    pub queues: Queues,
    /// Requests that wait for capacity of a plain service.
    pub plain_queues: PlainQueues,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Held while the links to upstreams are checked.
    pub checking_links: tokio::sync::Mutex<()>,
    /// Client of the object store.
    pub store: Client,
    /// Requests in flight, and whether new ones are accepted.
    pub drain: Arc<Drain>,
    /// Event log.
    pub events: EventLog,
    /// Bytes and connections that clients use.
    pub client_budget: ClientBudget,
    /// Wakes the task that reports to peers.
    pub report_needed: Notify,
    /// Makes clients' connections close as soon as they are idle.
    pub close_idle: Notify,
    /// Deadlines of the shutdown, present once the process is stopping.
    pub shutdown: Mutex<Option<Shutdown>>,
    /// Signals that the registration of this instance was removed from the store.
    pub registration_lost: Notify,
    /// Positions of the store that this instance and its peers have seen.
    pub seen_positions: SeenPositions,
    /// Addresses of the known peers.
    pub peer_addresses: PeerAddresses,
    /// Tickets of quota requests that were answered when they were repeated.
    pub repeated_tickets: RepeatedTickets,
    /// Peers that are to be sent a report at once.
    pub greetings: PeerGreetings,
    /// Number of the last report to peers.
    pub report_sequence: AtomicU64,
}

/// State that routing decisions are made from: what this instance knows of upstreams and peers,
/// which may be outdated.
pub struct RoutingState {
    /// Known upstreams.
    pub upstreams: Upstreams,
    /// What is known of this instance's links to upstreams.
    pub partition: PartitionDetector,
    /// Software versions of engines that this instance has seen.
    pub versions: SeenVersions,
    /// Whether the upstreams' entries have been read at least once.
    pub upstreams_known: bool,
    /// Recent outcomes of sends, by upstream.
    pub health: UpstreamHealth,
    /// Rate limits that upstreams have named, and cold upstreams.
    pub upstream_limits: UpstreamLimits,
    /// Permits for the limited upstreams that this instance issues them for.
    pub permits: Permits,
    /// Whether the registrations of the peers have been read at least once.
    pub peers_known: bool,
    /// Known peers and their latest reports.
    pub peer_reports: PeerReports,
    /// Quotas of the workspaces that this instance owns.
    pub quotas: Quotas,
    /// Recent decisions on quota requests of peers.
    pub quota_decisions: RecentDecisions,
    /// This instance's own shares of quotas, used when no owner answers.
    pub quota_shares: Quotas,
    /// Retry budgets by service.
    pub retries: RetryBudget,
    /// Part of the engines' memory that may be allocated, by service.
    pub memory_limits: BTreeMap<Arc<str>, MemoryLimit>,
    /// Load of this instance's requests, by upstream.
    pub own_load: BTreeMap<Arc<str>, UpstreamLoad>,
    /// Tickets of the placement requests by which that load was granted, by upstream.
    pub tickets: BTreeMap<Arc<str>, Vec<u64>>,
}

/// Shared handle to a gateway.
pub type SharedGateway = Arc<Gateway>;

impl Gateway {
    /// Locks the routing state. The lock is held for decisions only, never across I/O.
    pub fn state(&self) -> MutexGuard<'_, RoutingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the optional behaviour that the settings call for.
    pub fn features(&self) -> Features {
        (self.dialect.decode_features)(&self.settings.load().features)
    }

    /// Returns whether a new request is accepted: always, unless the process would exit before the
    /// request ends.
    pub fn accepts(&self, route: &Route) -> bool {
        let shutdown = self.shutdown.lock().unwrap_or_else(PoisonError::into_inner);
        shutdown.is_none_or(|shutdown| shutdown.accepts(route, clock::now()))
    }

    /// Takes a retry from the budget of the request's service. Returns false if the budget is spent
    /// or the deadline of the request has passed.
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

    /// Takes the first prefill of a request from the retry budget. It counts as a retry until an
    /// engine has accepted it. Returns false if the budget is spent.
    pub fn take_prefill_retry(&self, request: &ClientRequest) -> bool {
        let now = clock::now();
        self.with_retries(request, now, |retries, service, options, members| {
            retries.take_prefill_retry(service, options, members, now)
        })
    }

    /// Refunds the first prefill of a request after an engine has accepted it.
    pub fn refund_prefill_retry(&self, request: &ClientRequest) {
        self.state().retries.refund(&request.service.name);
    }

    // Runs `take` on the retry budgets with the options in force and the number of instances that
    // share them.
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

    /// Counts the load of a request at an upstream until the returned guard is dropped.
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
            result: broker::GrantOutcome::Used,
            has_failed: false,
        }
    }

    /// Sends a message to a peer. Delivery is not guaranteed; later messages make up for a lost
    /// one.
    pub fn send_message(&self, address: SocketAddr, message: &Message) {
        match codec::encode(message) {
            Ok(bytes) => {
                if let Err(error) = self.socket.try_send_to(&bytes, address) {
                    log::debug!("can't send a message to {address}: {error}");
                }
            }
            Err(error) => log::error!("can't encode a message to a peer: {error}"),
        }
    }

    /// Records how a send to an upstream ended.
    pub fn record_outcome(&self, upstream: &Upstream, outcome: Outcome) {
        self.state()
            .health
            .record_outcome(&upstream.id, outcome, clock::now());
        if matches!(outcome, Outcome::Unreachable | Outcome::Replaced) {
            self.report_needed.notify_one();
            // Idle connections that were opened at about the same time may be dead as well.
            self.connections.close_idle(&upstream.id);
        }
    }
}

impl RoutingState {
    /// Returns the upstreams of a service that accept new work, with the load of all instances
    /// there.
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

    /// Removes the candidates that may not be sent a request now because of their rate limits, as
    /// far as this instance knows.
    pub fn retain_permitted(&self, candidates: &mut Vec<Candidate>, now: TimeMs) {
        let membership = LazyCell::new(|| self.peer_reports.membership(now));
        candidates.retain(|candidate| {
            let upstream = &candidate.upstream;
            let limit = self.upstream_limits.send_limit(upstream, now);
            limit.is_none_or(|limit| {
                let membership = match limit.is_cold {
                    true => self.permit_membership(limit, now),
                    false => *membership,
                };
                let permits = &self.permits;
                self.upstream_limits.withheld_ms(upstream, now) == 0
                    && permits.is_available(&upstream.id, limit, membership, now)
            })
        });
    }

    /// Returns the membership that determines this instance's share of an upstream's rate limit.
    pub fn permit_membership(&self, limit: SendLimit, now: TimeMs) -> Membership {
        match limit.is_cold {
            true => self.peer_reports.registered_membership(now),
            false => self.peer_reports.membership(now),
        }
    }

    /// Returns whether an upstream is cold.
    pub fn is_cold(&self, upstream: &Upstream, now: TimeMs) -> bool {
        self.upstream_limits.cold.remaining_ms(upstream, now) > 0
    }

    /// Returns the average time between two permits for the decode engines of a service, 0 if one of
    /// them has no rate limit.
    pub fn permit_interval_ms(&self, service: &str) -> f64 {
        let serving = self.upstreams.available(service);
        let decoding = serving.filter(|upstream| upstream.stage != Some(Stage::Prefill));
        let now = clock::now();
        let limits = decoding.map(|upstream| self.upstream_limits.send_limit(upstream, now));
        let rates =
            limits.map(|limit| limit.map(|limit| permits::permit_rate_per_s(limit.rate_per_s)));
        let total_per_s: Option<f64> = rates.sum();
        total_per_s
            .filter(|total_per_s| *total_per_s > 0.0)
            .map_or(0.0, |total_per_s| MS_PER_S / total_per_s)
    }

    /// Records which software versions the known engines have now.
    pub fn observe_versions(&mut self, now: TimeMs) {
        self.versions.observe(self.upstreams.engine_versions(), now);
    }

    /// Removes what is known of an upstream that is gone.
    pub fn forget_upstream(&mut self, id: &str) {
        self.forget_incarnation(id);
        self.upstream_limits.cold.forget(id);
    }

    /// Removes what is known of the former incarnation of an upstream that has restarted.
    pub fn forget_incarnation(&mut self, id: &str) {
        self.health.forget(id);
        self.upstream_limits.forget(id);
        self.permits.forget(id);
    }

    /// Adjusts the part of a service's engine memory that may be allocated, by the result of a
    /// placement that has ended.
    pub fn update_memory_limit(
        &mut self,
        configuration: &Option<Arc<Configuration>>,
        id: &Arc<str>,
        load: UpstreamLoad,
        result: broker::GrantOutcome,
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
        // Engines reject prefills for reasons other than memory.
        if load.prefill_tokens > 0 {
            return;
        }
        match result {
            broker::GrantOutcome::Used => self
                .memory_limits
                .entry(service)
                .or_default()
                .record_accepted(),
            broker::GrantOutcome::Full => {
                let now = clock::now();
                let held_kv_tokens = self.total_load(id, now).kv_tokens + load.kv_tokens;
                self.health.record_out_of_memory(id, held_kv_tokens, now);
                let limit = self.memory_limits.entry(service).or_default();
                limit.record_rejected(held_kv_tokens, kv_tokens);
            }
            broker::GrantOutcome::Unreachable
            | broker::GrantOutcome::Withheld
            | broker::GrantOutcome::Replaced
            | broker::GrantOutcome::Unknown => {}
        }
    }

    /// Returns the load of all instances at an upstream.
    pub fn total_load(&self, upstream: &str, now: TimeMs) -> UpstreamLoad {
        let mut load = self.peer_reports.peer_load(upstream, now);
        if let Some(own) = self.own_load.get(upstream) {
            load.add(*own);
        }
        load
    }
}

/// Where a request comes from and which instance placed it.
#[derive(Clone, Debug)]
pub enum Holder {
    /// A request of this instance, placed by this instance.
    Local,
    /// A request of this instance, placed by a broker.
    Granted {
        /// Address of the broker.
        broker: SocketAddr,
        /// Ticket of the placement request that the broker granted.
        ticket: u64,
    },
    /// A request of a peer, placed by this instance.
    Peer {
        /// Name of the peer.
        instance: Arc<str>,
        /// Ticket of the peer's placement request.
        ticket: u64,
    },
    /// A request of a peer that has been notified of its placement.
    HandedOver,
}

/// The load of one request at an upstream. Dropping it ends the count.
pub struct LoadGuard {
    gateway: SharedGateway,
    upstream: Arc<Upstream>,
    load: UpstreamLoad,
    holder: Holder,
    result: broker::GrantOutcome,
    has_failed: bool,
}

impl LoadGuard {
    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Sets the result that is recorded for the upstream, or sent to the broker that granted it.
    pub fn set_result(&mut self, result: broker::GrantOutcome) {
        self.result = result;
    }

    /// Notes that the request failed at the upstream, for the broker that granted it.
    pub fn set_failed(&mut self) {
        self.has_failed = true;
    }

    /// Transfers the count to the peer that holds the placement and returns the upstream's id. The
    /// count ends with the peer's release message or its reports.
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
        if self.result == broker::GrantOutcome::Used {
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
                let release = EngineRelease {
                    instance: self.gateway.settings.load().instance.clone(),
                    ticket: *ticket,
                    upstream: self.upstream.id.clone(),
                    result: self.result,
                };
                self.gateway
                    .send_message(*broker, &Message::Release(release));
                if self.has_failed {
                    let upstream = self.upstream.id.clone();
                    let failure = Message::EngineFailure(EngineFailure { upstream });
                    self.gateway.send_message(*broker, &failure);
                }
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
