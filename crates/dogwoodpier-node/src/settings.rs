//! Settings of a node, read from a TOML file.

use std::net::SocketAddr;
use std::sync::Arc;

use dogwoodpier_derive::wire;

/// Settings of a node.
#[wire]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub instance: Arc<str>,
    /// Data centre of this instance.
    pub data_centre: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators: metrics, health, dump.
    pub operator_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Intervals, timeouts and bounds.
    #[serde(default)]
    pub tuning: Tuning,
    /// Choice of engines.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Choice of engines.
#[wire]
#[derive(Copy, Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// How engines are chosen.
    pub policy: RoutingPolicy,
}

/// How engines are chosen. All but the first serve as baselines for measurements.
#[wire]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// A decode reservation from the engine's keeper before the prefill, and engines by price.
    #[default]
    Reserve,
    /// Engines in turn, no reservation before the prefill.
    RoundRobin,
    /// The engine with the least load by its last report, no reservation before the prefill.
    LeastLoaded,
}

/// Intervals, timeouts and bounds.
#[wire]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval_ms: u64,
    /// Silence after which a peer no longer counts as a member.
    pub member_timeout_ms: u64,
    /// Length of an heir's promise.
    pub promise_ms: u64,
    /// Time for which a slot's version must stand still before anyone may claim it.
    pub long_lease_ms: u64,
    /// Longest life of a loan of tokens.
    pub loan_ms: u64,
    /// Life of an idempotency key's claim.
    pub claim_window_ms: u64,
    /// Time for one call to a peer.
    pub peer_timeout_ms: u64,
    /// Time for one call to the platform.
    pub platform_timeout_ms: u64,
    /// Time between two reads of the platform's list of instances.
    pub instances_interval_ms: u64,
    /// Time between two reads of an engine's load report.
    pub load_interval_ms: u64,
    /// Time without news of the platform after which a cut-off node stops taking keyed requests.
    pub freshness_ms: u64,
    /// Longest shutdown.
    pub drain_ms: u64,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest time to read a request's body.
    pub body_timeout_ms: u64,
    /// Longest time for a caller to take the next part of an answer.
    pub write_timeout_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 500,
            member_timeout_ms: 3_000,
            promise_ms: 3_000,
            long_lease_ms: 4_500_000,
            loan_ms: 2_000,
            claim_window_ms: 3_600_000,
            peer_timeout_ms: 1_000,
            platform_timeout_ms: 2_000,
            instances_interval_ms: 1_000,
            load_interval_ms: 500,
            freshness_ms: 3_000,
            drain_ms: 30_000,
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout_ms: 10_000,
            write_timeout_ms: 30_000,
        }
    }
}

/// Where and how to log.
#[wire]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Most detailed level written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Arc<str>,
    /// `text` or `json`.
    pub format: Arc<str>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            format: "text".into(),
        }
    }
}
