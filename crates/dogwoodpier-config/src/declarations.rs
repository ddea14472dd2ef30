//! Data types of declarations.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::effective::Model;
use crate::effective::PoolKind;

/// Everything that operators declare.
#[wire]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Properties of the whole fleet.
    pub fleet: Fleet,
    /// Values that apply wherever no exception overrides them.
    pub defaults: Defaults,
    /// Workspaces by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<Arc<str>, WorkspaceEntry>,
    /// Keys by name. The name is a label for operators, not a secret.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub keys: BTreeMap<Arc<str>, KeyEntry>,
    /// Pools by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub pools: BTreeMap<Arc<str>, PoolEntry>,
    /// Models by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub models: BTreeMap<Arc<str>, Model>,
    /// Routes to plain services by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<Arc<str>, RouteEntry>,
    /// Deviations from the defaults.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub exceptions: Vec<Exception>,
}

/// Properties of the whole fleet.
#[wire]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of slots. It can't change once it is set, since the limits are divided by it: shares of
    /// two divisions could add up to more than the limit.
    pub slot_count: u32,
}

/// Values that apply wherever no exception overrides them.
#[wire]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// Values of each workspace.
    pub workspaces: WorkspaceValues,
    /// Values of each pool.
    pub pools: PoolValues,
    /// Values of each route.
    pub routes: RouteValues,
}

/// A workspace.
#[wire]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceEntry {
    /// Models and routes that the workspace may use. Empty means all.
    pub allowed: Vec<Arc<str>>,
}

/// A key with which callers authenticate.
#[wire]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Workspace that the key belongs to.
    pub workspace: Arc<str>,
    /// Lower-case hex of the key's SHA-256 hash.
    pub sha256: Arc<str>,
}

/// A pool of interchangeable upstreams.
#[wire]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// Kind of its upstreams.
    pub kind: PoolKind,
}

/// A path that is forwarded to a plain service.
#[wire]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Prefix of the path, starting with a slash.
    pub path_prefix: Arc<str>,
    /// HTTP methods that the route accepts, in upper case. Empty means all.
    #[serde(default)]
    pub methods: Vec<Arc<str>>,
    /// Pool that serves the route.
    pub pool: Arc<str>,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Whether calls need no key.
    #[serde(default)]
    pub open: bool,
}

/// A deviation from the defaults.
#[wire]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Field that changes: `workspaces.NAME.FIELD`, `pools.NAME.FIELD` or `routes.NAME.FIELD`.
    pub change: Arc<str>,
    /// Value that replaces the default.
    pub value: i64,
    /// Why the value deviates from the default.
    pub reason: Arc<str>,
}

/// A field that has a default and may be changed by an exception.
#[plain]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Smallest value.
    pub min: i64,
    /// Largest value.
    pub max: i64,
    /// Whether the operator must set it in the defaults, since no built-in value suits every fleet.
    pub required: bool,
}

// Defines a struct of integer fields with bounds and access by name. Each field is given as
// `name: type = built-in default, min, max, required`.
macro_rules! values {
    (
        $(#[$struct_meta:meta])*
        $name:ident {
            $(
                $(#[$field_meta:meta])*
                $field:ident: $type:ty = $default:expr, $min:expr, $max:expr, $required:expr;
            )*
        }
    ) => {
        $(#[$struct_meta])*
        #[wire]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $(
                $(#[$field_meta])*
                pub $field: $type,
            )*
        }

        impl $name {
            /// The fields with their bounds.
            pub const FIELDS: &'static [Field] = &[
                $(Field {
                    name: stringify!($field),
                    min: $min,
                    max: $max,
                    required: $required,
                },)*
            ];

            /// Returns the value of a field, or `None` if there is no such field.
            pub fn get(&self, field: &str) -> Option<i64> {
                match field {
                    $(stringify!($field) => i64::try_from(self.$field).ok(),)*
                    _ => None,
                }
            }

            /// Sets a field. Returns false if there is no such field or the value doesn't fit it.
            pub fn set(&mut self, field: &str, value: i64) -> bool {
                match field {
                    $(stringify!($field) => match <$type>::try_from(value) {
                        Ok(value) => {
                            self.$field = value;
                            true
                        }
                        Err(_) => false,
                    },)*
                    _ => false,
                }
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    };
}

const MAX_TOKENS: i64 = 1_000_000_000_000;
const MAX_TIME_MS: i64 = 3_600_000;
const MAX_LINK_BYTES_PER_S: i64 = 1_000_000_000_000;

values! {
    /// Values of a workspace.
    WorkspaceValues {
        /// Sustained rate over the whole fleet.
        rate_tokens_per_s: u64 = 1, 1, MAX_TOKENS, true;
        /// Burst size over the whole fleet.
        burst_tokens: u64 = 1, 1, MAX_TOKENS, true;
        /// Weight of the workspace in queues: its share of the service while requests wait.
        weight: u32 = 1, 1, 1_000, false;
        /// Priority at the engines. Higher values are served first.
        priority: i32 = 0, -100, 100, false;
        /// Target for the time to the first token.
        first_token_target_ms: u64 = 2_000, 1, MAX_TIME_MS, false;
        /// Target for the time between two tokens.
        token_gap_target_ms: u64 = 100, 1, MAX_TIME_MS, false;
        /// Timeout of a request whose caller sets no deadline.
        request_timeout_ms: u64 = 120_000, 1, MAX_TIME_MS, false;
    }
}

values! {
    /// Values of a pool.
    PoolValues {
        /// Transfer rate of each link for KV transfers.
        link_bytes_per_s: u64 = 1_250_000_000, 1, MAX_LINK_BYTES_PER_S, false;
        /// Longest time without data from an upstream during a response.
        progress_timeout_ms: u64 = 5_000, 1, MAX_TIME_MS, false;
    }
}

values! {
    /// Values of a route.
    RouteValues {
        /// Tokens that a call costs against the workspace's limits.
        cost_tokens: u64 = 1, 0, MAX_TOKENS, false;
        /// Timeout of a call.
        timeout_ms: u64 = 10_000, 1, MAX_TIME_MS, false;
    }
}
