//! Settings of a node, read from a TOML file.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use log::LevelFilter;
use serde_json::Value;

use dogwoodpier_config::Finding;
use dogwoodpier_config::Problems;
use dogwoodpier_config::reader::Diagnostics;
use dogwoodpier_config::reader::TableReader;
use dogwoodpier_config::settings;
use dogwoodpier_derive::wire;

use crate::telemetry::FORMAT_JSON;

const MAX_NAME_BYTES: usize = 63;
const FORMAT_TEXT: &str = "text";

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
    /// Address under which peers reach this instance, if not [`Settings::peer_address`].
    pub advertised_peer_address: Option<SocketAddr>,
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

impl Settings {
    /// Returns the address under which peers reach this instance.
    pub fn reachable_peer_address(&self) -> SocketAddr {
        self.advertised_peer_address.unwrap_or(self.peer_address)
    }
}

/// Choice of engines.
#[wire]
#[derive(Copy, Default, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Policy by which engines are chosen.
    pub policy: RoutingPolicy,
}

/// Policy by which engines are chosen. All but the first serve as baselines for measurements.
#[wire]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// A decode reservation from the engine's coordinator before the prefill, and prefill engines
    /// chosen by estimated time.
    #[default]
    Reserve,
    /// Engines in round-robin order, no reservation before the prefill.
    RoundRobin,
    /// The engine with the least load in the last reports, no reservation before the prefill.
    LeastLoaded,
}

/// Intervals, timeouts and bounds.
#[wire]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval_ms: u64,
    /// Time without a message from a peer after which it no longer counts as a member.
    pub member_timeout_ms: u64,
    /// Duration of a standby's promise.
    pub promise_ms: u64,
    /// Time for which a slot's version must stay the same before any node may claim the slot.
    pub long_lease_ms: u64,
    /// Longest lifetime of a loan of tokens.
    pub loan_ms: u64,
    /// Lifetime of an idempotency key's claim.
    pub claim_window_ms: u64,
    /// Timeout of a call to a peer.
    pub peer_timeout_ms: u64,
    /// Timeout of a call to the platform.
    pub platform_timeout_ms: u64,
    /// Time between two reads of the platform's list of instances.
    pub instances_interval_ms: u64,
    /// Time between two reads of an engine's load report.
    pub load_interval_ms: u64,
    /// Time without contact with the platform, own or reported by peers, after which a node that is
    /// cut off refuses requests with keys.
    pub freshness_ms: u64,
    /// Longest time for each step of the shutdown.
    pub drain_ms: u64,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest time to read a request's body.
    pub body_timeout_ms: u64,
    /// Longest time for a caller to read the next part of a response.
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

// Allowed range of a field of `Tuning`.
struct Bounds {
    field: &'static str,
    min: i64,
    max: i64,
}

const fn bounds(field: &'static str, min: i64, max: i64) -> Bounds {
    Bounds { field, min, max }
}

const HOUR_MS: i64 = 3_600_000;
const DAY_MS: i64 = 24 * HOUR_MS;
const MAX_BODY_BYTES: i64 = 256 * 1024 * 1024;

const TUNING_BOUNDS: &[Bounds] = &[
    bounds("heartbeat_interval_ms", 10, 60_000),
    bounds("member_timeout_ms", 50, HOUR_MS),
    bounds("promise_ms", 50, HOUR_MS),
    bounds("long_lease_ms", 1_000, 7 * DAY_MS),
    bounds("loan_ms", 10, HOUR_MS),
    bounds("claim_window_ms", 1_000, 7 * DAY_MS),
    bounds("peer_timeout_ms", 10, 60_000),
    bounds("platform_timeout_ms", 10, 60_000),
    bounds("instances_interval_ms", 10, HOUR_MS),
    bounds("load_interval_ms", 10, HOUR_MS),
    bounds("freshness_ms", 100, HOUR_MS),
    bounds("drain_ms", 0, DAY_MS),
    bounds("max_body_bytes", 1, MAX_BODY_BYTES),
    bounds("body_timeout_ms", 10, HOUR_MS),
    bounds("write_timeout_ms", 10, HOUR_MS),
];

/// Loads settings from a file, or returns all problems found in them.
pub fn load(file: &Path) -> Result<Settings, Problems> {
    settings::load(file, parse)
}

/// Parses and checks settings. `file` names the text in messages.
pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
    settings::parse(file, text, read, check)
}

fn read(mut root: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Option<Settings> {
    let instance = read_name(&mut root, "instance", report);
    let data_centre = read_name(&mut root, "data_centre", report);
    let caller_address = root.address("caller_address", report);
    let operator_address = root.address("operator_address", report);
    let peer_address = root.address("peer_address", report);
    let advertised_peer_address = root.optional_address("advertised_peer_address", report);
    let platform_address = root.address("platform_address", report);
    let tuning = read_tuning(root.table("tuning", report), report);
    let routing = read_routing(root.table("routing", report), report);
    let log = read_log(root.table("log", report), report);
    root.finish(report);
    Some(Settings {
        instance: instance?,
        data_centre: data_centre?,
        caller_address: caller_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        advertised_peer_address,
        platform_address: platform_address?,
        tuning,
        routing,
        log,
    })
}

fn read_name(
    fields: &mut TableReader<'_, '_>,
    field: &'static str,
    report: &mut Diagnostics<'_>,
) -> Option<Arc<str>> {
    let requirement =
        format!("give a name of 1 to {MAX_NAME_BYTES} letters, digits, hyphens and underscores");
    fields.require(field, &requirement, report);
    let name = fields.text(field, report)?;
    let valid = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_'));
    if !valid {
        let message = format!("{name:?} is no name: {requirement}");
        report.add(Finding::new(fields.path_of(field), message));
    }
    valid.then_some(name)
}

fn read_tuning(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Tuning {
    let mut values = serde_json::Map::new();
    for Bounds { field, min, max } in TUNING_BOUNDS {
        let Some(value) = fields.integer(field, report) else {
            continue;
        };
        if (*min..=*max).contains(&value) {
            values.insert((*field).to_owned(), Value::from(value));
        } else {
            let message = format!("must be a whole number from {min} to {max}, not {value}");
            report.add(Finding::new(fields.path_of(field), message));
        }
    }
    fields.finish(report);
    serde_json::from_value(Value::Object(values)).unwrap_or_else(|error| {
        report.add(Finding::new("tuning", error.to_string()));
        Tuning::default()
    })
}

fn read_routing(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> RoutingSettings {
    let mut routing = RoutingSettings::default();
    if let Some(policy) = fields.text("policy", report) {
        match serde_json::from_value(Value::from(&*policy)) {
            Ok(policy) => routing.policy = policy,
            Err(_) => {
                let message =
                    format!("{policy:?} is not one of reserve, round-robin, least-loaded");
                report.add(Finding::new(fields.path_of("policy"), message));
            }
        }
    }
    fields.finish(report);
    routing
}

fn read_log(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> LogSettings {
    let mut log = LogSettings::default();
    if let Some(level) = fields.text("level", report) {
        if level.parse::<LevelFilter>().is_err() {
            let message = format!("{level:?} is not one of error, warn, info, debug, trace");
            report.add(Finding::new(fields.path_of("level"), message));
        }
        log.level = level;
    }
    if let Some(format) = fields.text("format", report) {
        if ![FORMAT_TEXT, FORMAT_JSON].contains(&&*format) {
            let message = format!("{format:?} is not one of {FORMAT_TEXT}, {FORMAT_JSON}");
            report.add(Finding::new(fields.path_of("format"), message));
        }
        log.format = format;
    }
    fields.finish(report);
    log
}

// Checks conditions that involve several settings.
fn check(settings: &Settings, report: &mut Diagnostics<'_>) {
    let listen_addresses = [
        ("caller_address", settings.caller_address),
        ("operator_address", settings.operator_address),
        ("peer_address", settings.peer_address),
    ];
    for (index, (field, address)) in listen_addresses.iter().enumerate() {
        if let Some((other, _)) = listen_addresses[..index]
            .iter()
            .find(|(_, earlier)| earlier == address)
        {
            let message = format!("is the same as {other}: give each its own port");
            report.add(Finding::new(*field, message));
        }
    }
    for (field, address) in [
        ("peer_address", settings.reachable_peer_address()),
        ("platform_address", settings.platform_address),
    ] {
        if address.ip().is_unspecified() {
            let message = "must be an address that others can connect to, not all addresses";
            report.add(Finding::new(field, message));
        }
    }
    check_tuning(&settings.tuning, report);
}

fn check_tuning(tuning: &Tuning, report: &mut Diagnostics<'_>) {
    // Each rule names the field that must be larger, then the value that it must exceed.
    let rules = [
        (
            ("member_timeout_ms", tuning.member_timeout_ms),
            (
                "twice heartbeat_interval_ms",
                2 * tuning.heartbeat_interval_ms,
            ),
        ),
        (
            ("promise_ms", tuning.promise_ms),
            (
                "twice heartbeat_interval_ms",
                2 * tuning.heartbeat_interval_ms,
            ),
        ),
        (
            ("freshness_ms", tuning.freshness_ms),
            (
                "twice heartbeat_interval_ms",
                2 * tuning.heartbeat_interval_ms,
            ),
        ),
        (
            ("long_lease_ms", tuning.long_lease_ms),
            ("claim_window_ms", tuning.claim_window_ms),
        ),
        (
            ("long_lease_ms", tuning.long_lease_ms),
            ("promise_ms", tuning.promise_ms),
        ),
    ];
    for ((field, value), (other, bound)) in rules {
        if value <= bound {
            let message = format!("{value} must be more than {other}, {bound}");
            report.add(Finding::new(format!("tuning.{field}"), message));
        }
    }
}
