//! The resolved form of declarations, which nodes apply.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_core::Tokens;
use dogwoodpier_core::TokensPerSecond;
use dogwoodpier_derive::wire;

/// A configuration with all defaults and exceptions applied.
#[wire]
#[derive(Default)]
pub struct EffectiveConfig {
    /// Version on the platform. A node replaces its configuration only by one with a higher version.
    pub version: u64,
    /// Number of slots of the fleet.
    pub slot_count: u32,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Arc<str>, Workspace>,
    /// Workspace names by key hash, see [`EffectiveConfig::workspace_of_key`].
    pub keys: BTreeMap<Arc<str>, Arc<str>>,
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, Pool>,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Routes to plain services, longest prefix first.
    pub routes: Vec<Route>,
}

/// Limits, targets and permissions of a workspace.
#[wire]
pub struct Workspace {
    /// Sustained rate over the whole fleet.
    pub rate_tokens_per_s: TokensPerSecond,
    /// Burst size over the whole fleet.
    pub burst_tokens: Tokens,
    /// Weight of the workspace in queues: its share of the service while requests wait.
    pub weight: u32,
    /// Priority at the engines. Higher values are served first.
    pub priority: i32,
    /// Target for the time to the first token.
    pub first_token_target_ms: u64,
    /// Target for the time between two tokens.
    pub token_gap_target_ms: u64,
    /// Timeout of a request whose caller sets no deadline.
    pub request_timeout_ms: u64,
    /// Models and routes that the workspace may use. Empty means all.
    pub allowed: Vec<Arc<str>>,
}

/// A model and the pools that serve it.
#[wire]
pub struct Model {
    /// Pool of prefill engines.
    pub prefill_pool: Arc<str>,
    /// Pool of decode engines.
    pub decode_pool: Arc<str>,
}

/// A pool of interchangeable upstreams. Its members come from the platform's list of instances.
#[wire]
pub struct Pool {
    /// Kind of its upstreams.
    pub kind: PoolKind,
    /// Transfer rate of each link for KV transfers.
    pub link_bytes_per_s: u64,
    /// Longest time without data from an upstream during a response.
    pub progress_timeout_ms: u64,
}

/// Kind of the upstreams of a pool.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Engines that prefill.
    Prefill,
    /// Engines that decode.
    Decode,
    /// Plain services.
    Service,
}

/// A path that is forwarded to a plain service.
#[wire]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Prefix of the path, starting with a slash.
    pub path_prefix: Arc<str>,
    /// HTTP methods that the route accepts, in upper case. Empty means all.
    pub methods: Vec<Arc<str>>,
    /// Pool that serves the route.
    pub pool: Arc<str>,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Whether calls need no key.
    pub open: bool,
    /// Tokens that a call costs against the workspace's limits.
    pub cost_tokens: Tokens,
    /// Timeout of a call.
    pub timeout_ms: u64,
}

impl EffectiveConfig {
    /// Returns the name of the workspace that a key belongs to. `key_hash` is the lower-case hex of
    /// the key's SHA-256 hash.
    pub fn workspace_of_key(&self, key_hash: &str) -> Option<&Arc<str>> {
        self.keys.get(key_hash)
    }

    /// Returns the route for a method and path, if one matches. A prefix matches whole segments of
    /// the path. No route matches a path with dot segments, since the service behind the route could
    /// resolve it to another route's path.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        if has_dot_segment(path) {
            return None;
        }
        self.routes.iter().find(|route| {
            is_under(path, &route.path_prefix)
                && (route.methods.is_empty()
                    || route.methods.iter().any(|allowed| &**allowed == method))
        })
    }
}

fn is_under(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

// Treats backslashes as slashes and decodes percent-encoded dots, slashes and backslashes, since many
// services do so, before it looks for dot segments.
fn has_dot_segment(path: &str) -> bool {
    path.to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace('\\', "/")
        .split('/')
        .any(|segment| matches!(segment, "." | ".."))
}
