//! Routes, services and workspaces of one version of the gateway's configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

/// What may be repeated of a request.
#[plain]
#[derive(Copy, Eq)]
pub enum RetryPolicy {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    AtMostOnce,
    /// Answers with a stream of events.
    Stream {
        /// Whether another upstream may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request that may have run can be sent again from its beginning.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service among which a route divides its requests.
#[plain]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route: which requests it takes and how they are handled.
#[plain]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Host that requests name, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path, beginning and ending with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time for a request.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective_ms: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Most upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Services, at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for a request, chosen by weight with `draw`, a uniform random number.
    pub fn target(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        None
    }
}

/// What the engines of a service have in common.
#[plain]
pub struct EngineSpec {
    /// Requests that an engine decodes at once.
    pub slots: u32,
    /// Tokens of KV cache that an engine holds.
    pub kv_tokens: u64,
    /// Life of a prefilled KV cache that nobody takes.
    pub handle_ttl_ms: u64,
}

/// A service: upstreams that answer the same requests.
#[plain]
pub struct Service {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Most connections that an upstream accepts, from all callers together.
    pub max_connections: u32,
    /// Present if the upstreams are model engines.
    pub engine: Option<EngineSpec>,
}

/// How a workspace's quota counts a request.
#[plain]
#[derive(Copy, Eq)]
pub enum QuotaUnit {
    /// One a request.
    Requests,
    /// Tokens read and generated.
    Tokens {
        /// Tokens counted for a request that states none.
        default_tokens: u64,
    },
}

/// A workspace and its quota.
#[plain]
pub struct Workspace {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Urgency that goes before the route's, 0 first.
    pub priority: Option<u8>,
    /// What the quota counts.
    pub unit: QuotaUnit,
    /// Units a second over the whole fleet; 0 for no limit.
    pub rate_per_s: u64,
    /// Units that may be used at once.
    pub burst: u64,
}

/// Bounds on what clients may send.
#[plain]
#[derive(Copy, Eq)]
pub struct ClientLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[plain]
pub struct Configuration {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Bounds on what clients may send.
    pub limits: ClientLimits,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Workspaces by name. Without any, no request needs a key.
    pub workspaces: BTreeMap<Arc<str>, Arc<Workspace>>,
    keys: BTreeMap<Arc<str>, Arc<Workspace>>,
    // By host; the routes of a host with the longest prefix first.
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
        let of_host = self.routes.entry(route.host.clone()).or_default();
        let longer = |other: &Arc<Route>| other.path_prefix.len() >= route.path_prefix.len();
        let place = of_host.iter().take_while(|other| longer(other)).count();
        of_host.insert(place, Arc::new(route));
    }

    /// Returns the route of a host with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let of_host = self.routes.get(host.as_str()).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.routes.get(name)
        })?;
        of_host
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
