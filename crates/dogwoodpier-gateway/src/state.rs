//! The state of a gateway and what its parts share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

use dogwoodpier_core::gateway::exchange::Exchange;
use dogwoodpier_core::gateway::exchange::Use;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::Records;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::retries::RetryBudget;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::shutdown::Stop;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::gateway::upstreams::Upstreams;
use dogwoodpier_http::Connections;
use dogwoodpier_platform::Client;
use dogwoodpier_process::clock;
use dogwoodpier_process::drain::Drain;
use dogwoodpier_process::events::EventLog;

use crate::dialect::Dialect;
use crate::engines::Lines;
use crate::registry::Addresses;
use crate::settings::Settings;

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
    pub beliefs: Mutex<Beliefs>,
    /// Requests that wait for a slot of an engine.
    pub lines: Lines,
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
    pub use_changed: Notify,
    /// Tells clients' connections to close once they are idle.
    pub close_idle: Notify,
    /// Time at which a stopping process ends, and whether the balancer has had time to notice.
    pub stop: Mutex<Option<Stop>>,
    /// Tells that the registration of this instance was removed.
    pub registration_lost: Notify,
    /// Addresses of the registered peers.
    pub peer_addresses: Addresses,
}

/// What the gateway believes of upstreams and peers.
pub struct Beliefs {
    /// Known upstreams.
    pub upstreams: Upstreams,
    /// Whether the upstreams were read once.
    pub upstreams_known: bool,
    /// How upstreams answered.
    pub records: Records,
    /// Peers and their reports.
    pub exchange: Exchange,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Budget of retries.
    pub retries: RetryBudget,
    /// Use of upstreams by requests of this instance.
    pub uses: BTreeMap<Arc<str>, Use>,
}

/// Shared handle.
pub type SharedGateway = Arc<Gateway>;

impl Gateway {
    /// Returns the beliefs, locked. The lock is held for decisions only, never over I/O.
    pub fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a new request may be taken: always, unless the process stops before it ends.
    pub fn takes(&self, route: &Route) -> bool {
        let stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.is_none_or(|stop| stop.takes(route, clock::now()))
    }

    /// Counts a request at an upstream until the guard is dropped.
    pub fn begin_use(self: &Arc<Self>, upstream: &Arc<Upstream>, used: Use) -> UseGuard {
        self.beliefs()
            .uses
            .entry(upstream.id.clone())
            .or_default()
            .add(used);
        self.use_changed.notify_one();
        UseGuard {
            gateway: self.clone(),
            upstream: upstream.clone(),
            used,
        }
    }

    /// Notes how a send to an upstream ended.
    pub fn note(&self, upstream: &Upstream, outcome: Outcome) {
        self.beliefs()
            .records
            .note(&upstream.id, outcome, clock::now());
        if outcome == Outcome::Unreachable {
            // Others opened in the same time may have gone silent with the one that failed.
            self.connections.close_idle(&upstream.id);
        }
    }
}

impl Beliefs {
    /// Returns the upstreams of a service that take new work, with what all instances have there.
    pub fn candidates(&self, service: &str) -> Vec<Candidate> {
        let now = clock::now();
        self.upstreams
            .serving(service)
            .map(|upstream| {
                let mut used = self.exchange.use_of(&upstream.id, now);
                if let Some(own) = self.uses.get(&upstream.id) {
                    used.add(*own);
                }
                Candidate {
                    upstream: upstream.clone(),
                    used,
                }
            })
            .collect()
    }
}

/// A request at an upstream. Dropping it ends the count.
pub struct UseGuard {
    gateway: SharedGateway,
    upstream: Arc<Upstream>,
    used: Use,
}

impl UseGuard {
    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        {
            let mut beliefs = self.gateway.beliefs();
            if let Some(used) = beliefs.uses.get_mut(&self.upstream.id) {
                used.requests -= self.used.requests;
                used.prefill_tokens -= self.used.prefill_tokens;
                used.kv_tokens -= self.used.kv_tokens;
                if *used == Use::default() {
                    beliefs.uses.remove(&self.upstream.id);
                }
            }
        }
        self.gateway.use_changed.notify_one();
        self.gateway.lines.slot_freed();
    }
}
