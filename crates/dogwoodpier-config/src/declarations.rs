//! The form of declarations.

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
    /// Values that hold wherever no exception says otherwise.
    pub defaults: Defaults,
    /// Workspaces by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<Arc<str>, WorkspaceEntry>,
    /// Keys by name. The name is a label for operators and no secret.
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
    /// Number of slots. It can't change once it is set, since the limits are divided by it.
    pub slot_count: u32,
}

/// Values that hold wherever no exception says otherwise.
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
    /// Models and routes that the workspace may use; empty means all.
    pub allowed: Vec<Arc<str>>,
}

/// A key that callers present.
#[wire]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Workspace that the key belongs to.
    pub workspace: Arc<str>,
    /// Lower-case hex of the key's SHA-256 hash.
    pub sha256: Arc<str>,
}

/// A pool of like upstreams.
#[wire]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// What its upstreams are.
    pub kind: PoolKind,
}

/// A path that is forwarded to a plain service.
#[wire]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Prefix of the path, starting with a slash.
    pub path_prefix: Arc<str>,
    /// Methods it takes, upper case; empty means all.
    #[serde(default)]
    pub methods: Vec<Arc<str>>,
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// True if a call may be repeated.
    pub idempotent: bool,
    /// True if it needs no key.
    #[serde(default)]
    pub open: bool,
}

/// One deviation from the defaults.
#[wire]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What changes: `workspaces.NAME.FIELD`, `pools.NAME.FIELD` or `routes.NAME.FIELD`.
    pub change: Arc<str>,
    /// The value in place of the default.
    pub value: i64,
    /// Why it deviates.
    pub reason: Arc<str>,
}

/// A field that has a default and may be changed by an exception.
#[plain]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// Least value.
    pub min: i64,
    /// Largest value.
    pub max: i64,
    /// Whether the defaults must name it, for want of a value that suits everybody.
    pub required: bool,
}

// Defines a struct of integer fields together with access to them by name.
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

            /// Returns the value of a field, `None` if there is no such field.
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
        /// Most tokens at once over the whole fleet.
        burst_tokens: u64 = 1, 1, MAX_TOKENS, true;
        /// Share in a full queue.
        weight: u32 = 1, 1, 1_000, false;
        /// Priority at the engines, larger goes first.
        priority: i32 = 0, -100, 100, false;
        /// Target for the first token.
        first_token_target_ms: u64 = 2_000, 1, MAX_TIME_MS, false;
        /// Target between two tokens.
        token_gap_target_ms: u64 = 100, 1, MAX_TIME_MS, false;
        /// Longest time to serve a request whose caller names no deadline.
        request_timeout_ms: u64 = 120_000, 1, MAX_TIME_MS, false;
    }
}

values! {
    /// Values of a pool.
    PoolValues {
        /// Rate of each link for KV transfers.
        link_bytes_per_s: u64 = 1_250_000_000, 1, MAX_LINK_BYTES_PER_S, false;
        /// Longest silence of an upstream in the middle of an answer.
        progress_timeout_ms: u64 = 5_000, 1, MAX_TIME_MS, false;
    }
}

values! {
    /// Values of a route.
    RouteValues {
        /// Price of a call against the workspace's rate.
        cost_tokens: u64 = 1, 0, MAX_TOKENS, false;
        /// Longest time for a call.
        timeout_ms: u64 = 10_000, 1, MAX_TIME_MS, false;
    }
}
