//! Settings of a gateway, read from a TOML file.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use dogwoodpier_config::Finding;
use dogwoodpier_config::Problems;
use dogwoodpier_config::reader::Diagnostics;
use dogwoodpier_config::reader::TableReader;
use dogwoodpier_config::settings;
use dogwoodpier_core::gateway::client_limits::ByteLimits;
use dogwoodpier_core::gateway::client_limits::ProgressLimits;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::quota::Overdraft;
use dogwoodpier_core::gateway::retries::RetryOptions;
use dogwoodpier_derive::plain;

const MS_PER_S: f64 = 1_000.0;
// Part of the tolerated units that is lent. The rest covers units that are admitted while reports
// of other instances are under way.
const QUOTA_TOLERANCE_SHARE: f64 = 0.6;
const BYTES_PER_MB: usize = 1 << 20;
// A client must be given longer than the time between two steps of a slow but sound one.
const MIN_PROGRESS_S: f64 = 0.1;

/// Settings of a gateway.
#[plain]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub instance: Arc<str>,
    /// Data centre of this instance.
    pub data_centre: Arc<str>,
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address at which a balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Address for metrics and the state dump.
    pub operator_address: SocketAddr,
    /// UDP address for messages between peers.
    pub peer_address: SocketAddr,
    /// Address of the object store.
    pub store_address: SocketAddr,
    /// Bounds of retries.
    pub retries: RetryOptions,
    /// Capacity relative to other instances: its share of a processor core.
    pub capacity: f64,
    /// Units that a workspace may be lent beyond its rate while upstreams have room.
    pub quota_tolerance: Overdraft,
    /// Whether operators may evacuate data centres, so that the store is read for evacuations.
    pub evacuations: bool,
    /// Names of the optional features that the deployment calls for.
    pub features: Vec<Arc<str>>,
    /// Time from SIGTERM to the end of the process.
    pub grace_ms: u64,
    /// Time for which the entry of an upstream may be missing after an outage of the store.
    pub entry_grace_ms: u64,
    /// Memory of this instance.
    pub memory_bytes: usize,
    /// Limits on the bytes that are held for clients at once.
    pub byte_limits: ByteLimits,
    /// Time limits on the progress of clients.
    pub progress_limits: ProgressLimits,
    /// Maximum number of open file descriptors; absent for the limit of the process itself.
    pub max_descriptors: Option<usize>,
    /// Heartbeat of reports to peers, and limits on the trust in them.
    pub report_options: PeerReportOptions,
    /// Time limits of calls.
    pub timing: Timing,
}

/// Time limits of calls.
#[plain]
#[derive(Copy, Eq)]
pub struct Timing {
    /// Time limit of a call to the store.
    pub store_timeout_ms: u64,
    /// Time limit of a connection attempt to an upstream.
    pub connect_timeout_ms: u64,
    /// Shortest time between two reports to a broker.
    pub report_interval_ms: u64,
    /// Longest time between two reports to a broker while an engine is used.
    pub broker_heartbeat_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            // A call takes milliseconds; this is enough even for a store that is a hundred times
            // slower.
            store_timeout_ms: 700,
            // A few round trips between data centres.
            connect_timeout_ms: 150,
            // Brokers know what they grant and what is released; reports only make up for lost
            // messages.
            report_interval_ms: 150,
            // Several fit into the time after which a broker no longer counts the load of a silent
            // peer.
            broker_heartbeat_ms: 300,
        }
    }
}

/// Loads settings from a file.
///
/// # Errors
///
/// Fails with all problems that were found.
pub fn load(file: &Path) -> Result<Settings, Problems> {
    settings::load(file, parse)
}

/// Parses and checks settings. `file` names the text in messages.
///
/// # Errors
///
/// Fails with all problems that were found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
    settings::parse(file, text, read, |_, _| ())
}

fn read(mut root: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Option<Settings> {
    let instance = name(&mut root, "instance", report);
    let data_centre = name(&mut root, "data_centre", report);
    let client_address = root.address("client_address", report);
    let readiness_address = root.address("readiness_address", report);
    let operator_address = root.address("operator_address", report);
    let peer_address = root.address("peer_address", report);
    let store_address = root.address("store_address", report);
    let grace_s = number(&mut root, "grace_s", 0.5, 3_600.0, report);
    let entry_grace_s = number(&mut root, "entry_grace_s", 0.0, 3_600.0, report);
    let memory_mb = number(&mut root, "memory_mb", 32.0, 1_048_576.0, report);
    let max_descriptors = match root.has("max_descriptors") {
        true => number(&mut root, "max_descriptors", 64.0, 1e9, report).map(Some),
        false => Some(None),
    };
    let progress = ProgressLimits::default();
    let body_ms = progress_ms(&mut root, "body_progress_s", progress.body_ms, report);
    let response_ms = progress_ms(
        &mut root,
        "response_progress_s",
        progress.response_ms,
        report,
    );
    // The default is for a fleet of equal instances.
    let capacity = match root.has("processor_share") {
        true => number(&mut root, "processor_share", 0.001, 1_024.0, report),
        false => Some(1.0),
    };
    let tolerance = number(&mut root, "quota_tolerance_units", 0.0, 1e15, report);
    let evacuations = root.flag("evacuations", report);
    let features = root.texts("features", report);
    let mut retries = root.table("retries", report);
    let ratio = number(&mut retries, "ratio", 0.0, 10.0, report);
    let allowance = number(&mut retries, "allowance", 0.0, 1e9, report);
    let window_s = number(&mut retries, "window_s", 0.1, 3_600.0, report);
    retries.finish(report);
    root.finish(report);
    let memory_bytes = memory_mb? as usize * BYTES_PER_MB;
    Some(Settings {
        instance: instance?,
        data_centre: data_centre?,
        client_address: client_address?,
        readiness_address: readiness_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        store_address: store_address?,
        retries: RetryOptions {
            ratio: ratio?,
            allowance: allowance?,
            window_ms: (window_s? * MS_PER_S) as u64,
        },
        capacity: capacity?,
        quota_tolerance: Overdraft {
            units: (tolerance? * QUOTA_TOLERANCE_SHARE) as u64,
        },
        evacuations: evacuations.unwrap_or(false),
        features,
        grace_ms: (grace_s? * MS_PER_S) as u64,
        entry_grace_ms: (entry_grace_s? * MS_PER_S) as u64,
        memory_bytes,
        byte_limits: ByteLimits::of_memory(memory_bytes),
        progress_limits: ProgressLimits {
            body_ms: body_ms?,
            response_ms: response_ms?,
        },
        max_descriptors: max_descriptors?.map(|descriptors| descriptors as usize),
        report_options: PeerReportOptions::default(),
        timing: Timing::default(),
    })
}

// Reads an optional time limit on the progress of clients.
fn progress_ms(
    fields: &mut TableReader<'_, '_>,
    field: &'static str,
    default_ms: u64,
    report: &mut Diagnostics<'_>,
) -> Option<u64> {
    if !fields.has(field) {
        return Some(default_ms);
    }
    let seconds = number(fields, field, MIN_PROGRESS_S, 3_600.0, report)?;
    Some((seconds * MS_PER_S) as u64)
}

fn name(
    fields: &mut TableReader<'_, '_>,
    field: &'static str,
    report: &mut Diagnostics<'_>,
) -> Option<Arc<str>> {
    let right = "give a name, not empty";
    fields.require(field, right, report);
    let name = fields.text(field, report)?;
    if name.is_empty() {
        report.add(Finding::new(fields.path_of(field), right));
        return None;
    }
    Some(name)
}

fn number(
    fields: &mut TableReader<'_, '_>,
    field: &'static str,
    min: f64,
    max: f64,
    report: &mut Diagnostics<'_>,
) -> Option<f64> {
    let right = format!("give a number from {min} to {max}");
    fields.require(field, &right, report);
    let number = fields.number(field, report)?;
    if !(min..=max).contains(&number) {
        let message = format!("{number} is out of bounds: {right}");
        report.add(Finding::new(fields.path_of(field), message));
        return None;
    }
    Some(number)
}
