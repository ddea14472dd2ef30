//! Routes, services and workspaces of one version of the gateway's configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

/// Whether and how a request may be sent again after it may have run.
#[plain]
#[derive(Copy, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream can continue the stream after the last event that was
        /// delivered.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One of the services between which a route splits its requests.
#[plain]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[plain]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path, beginning and ending with a slash.
    pub path_prefix: Arc<str>,
    /// Retry policy.
    pub retry_policy: RetryPolicy,
    /// Timeout of a request.
    pub timeout_ms: u64,
    /// Latency objective: the time within which an answer, or the first event of a stream, is on
    /// time.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that receive the requests, at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for a request, selected by weight with `draw`, a uniform random number.
    pub fn target(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// What the engines of a service have in common.
#[plain]
pub struct EngineSpec {
    /// Requests that an engine decodes concurrently.
    pub slots: u32,
    /// Tokens of KV cache that an engine can hold.
    pub kv_tokens: u64,
    /// Time after which an unused prefilled KV cache expires.
    pub handle_ttl_ms: u64,
}

/// A service: a group of upstreams that answer the same requests.
#[plain]
pub struct Service {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Maximum number of connections that an upstream accepts from all callers together.
    pub max_connections: u32,
    /// Path at which its upstreams answer health checks, if known.
    pub health_check_path: Option<Arc<str>>,
    /// Present if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
    /// Present if the upstreams accept only a few requests for some time after they start.
    pub cold_start: Option<ColdStart>,
}

/// What upstreams accept after they start.
#[plain]
#[derive(Copy)]
pub struct ColdStart {
    /// Time for which an upstream is usually cold.
    pub duration_ms: u64,
    /// Requests per second that it accepts from all instances together while it is cold.
    pub rate_per_s: f64,
}

/// How a workspace's quota counts a request.
#[plain]
#[derive(Copy, Eq)]
pub enum QuotaUnit {
    /// One unit per request.
    Requests,
    /// One unit per token of prompt and answer.
    Tokens {
        /// Tokens counted for a request that does not state its size.
        default_tokens: u64,
    },
}

/// A workspace and its quota.
#[plain]
pub struct Workspace {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What the quota counts.
    pub unit: QuotaUnit,
    /// Units per second over the whole fleet; 0 for no limit.
    pub rate_per_s: u64,
    /// Units that may be used at once.
    pub burst: u64,
}

/// Bounds on what clients may send.
#[plain]
#[derive(Copy, Eq)]
pub struct ClientLimits {
    /// Maximum number of bytes in the request line and header fields.
    pub max_header_bytes: usize,
    /// Maximum number of bytes in a request's body.
    pub max_body_bytes: usize,
    /// Time within which the request line and header fields have to arrive.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[plain]
pub struct Configuration {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Bounds on what clients may send.
    pub limits: ClientLimits,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Workspaces by name. If there are none, no request needs a key.
    pub workspaces: BTreeMap<Arc<str>, Arc<Workspace>>,
    keys: BTreeMap<Arc<str>, Arc<Workspace>>,
    // By host, and for each host in descending order of the prefix's length.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Returns a configuration without routes, services and workspaces.
    pub fn new(version: u64, limits: ClientLimits) -> Self {
        Self {
            version,
            limits,
            services: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            keys: BTreeMap::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a workspace and its keys.
    pub fn add_workspace<K>(&mut self, workspace: Workspace, keys: K)
    where
        K: IntoIterator<Item = Arc<str>>,
    {
        let workspace = Arc::new(workspace);
        for key in keys {
            self.keys.insert(key, workspace.clone());
        }
        self.workspaces.insert(workspace.name.clone(), workspace);
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let host_routes = self.routes.entry(route.host.clone()).or_default();
        let is_as_long = |other: &Arc<Route>| other.path_prefix.len() >= route.path_prefix.len();
        let index = host_routes
            .iter()
            .take_while(|other| is_as_long(other))
            .count();
        host_routes.insert(index, Arc::new(route));
    }

    /// Returns the host's route with the longest prefix of `path`. A port in `host` is ignored
    /// unless there are routes for the host with that port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let host_routes = self.routes.get(host.as_str()).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.routes.get(name)
        })?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the workspace to which a key belongs.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
