//! The resolved form of declarations that nodes decide by.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_core::Tokens;
use dogwoodpier_core::TokensPerSecond;
use dogwoodpier_derive::wire;

/// One configuration, with all defaults and exceptions applied.
#[wire]
#[derive(Default)]
pub struct EffectiveConfig {
    /// Version on the platform; a node only ever moves to a higher one.
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

/// Limits and rights of a workspace.
#[wire]
pub struct Workspace {
    /// Sustained rate over the whole fleet.
    pub rate_tokens_per_s: TokensPerSecond,
    /// Most tokens at once over the whole fleet.
    pub burst_tokens: Tokens,
    /// Share in a full queue.
    pub weight: u32,
    /// Priority at the engines, larger goes first.
    pub priority: i32,
    /// Target for the first token.
    pub first_token_target_ms: u64,
    /// Target between two tokens.
    pub token_gap_target_ms: u64,
    /// Longest time to serve a request whose caller names no deadline.
    pub request_timeout_ms: u64,
    /// Models and routes that the workspace may use; empty means all.
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

/// A pool of like upstreams. Its members come from the platform's list of instances.
#[wire]
pub struct Pool {
    /// What its upstreams are.
    pub kind: PoolKind,
    /// Rate of each link for KV transfers.
    pub link_bytes_per_s: u64,
    /// Longest silence of an upstream in the middle of an answer.
    pub progress_timeout_ms: u64,
}

/// What the upstreams of a pool are.
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
    /// Methods it takes, upper case; empty means all.
    pub methods: Vec<Arc<str>>,
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// True if a call may be repeated.
    pub idempotent: bool,
    /// True if it needs no key.
    pub open: bool,
    /// Price of a call against the workspace's rate.
    pub cost_tokens: Tokens,
    /// Longest time for a call.
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
                    || route.methods.iter().any(|known| &**known == method))
        })
    }
}

fn is_under(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

// A backslash counts as a slash and an encoded character as itself, as many services take them.
fn has_dot_segment(path: &str) -> bool {
    path.to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace('\\', "/")
        .split('/')
        .any(|segment| matches!(segment, "." | ".."))
}
