//! Messages between peers, over UDP.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::evacuations::Evacuations;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::upstream_limits::ReportedLimit;
use dogwoodpier_core::quarantine::SuspectUpdate;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::broker;
use crate::broker::EngineFailure;
use crate::broker::EngineRelease;
use crate::broker::PlacementAnswer;
use crate::broker::PlacementRequest;
use crate::broker::VersionPlacementRequest;
use crate::codec;
use crate::cold;
use crate::cold::ColdReport;
use crate::evacuations;
use crate::forwarding;
use crate::newer_configuration;
use crate::permits;
use crate::permits::PermitAnswer;
use crate::permits::PermitNotice;
use crate::permits::PermitRequest;
use crate::prompt_parts;
use crate::prompt_parts::PartReport;
use crate::quarantine;
use crate::quota;
use crate::quota::QuotaAnswer;
use crate::quota::QuotaRefund;
use crate::quota::QuotaRequest;
use crate::registry;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::upstream_speeds;
use crate::upstream_speeds::SpeedReport;

// Largest message: several times the size of a report with load at a hundred upstreams.
const MAX_MESSAGE_BYTES: usize = 60_000;

// Heartbeats to a broker after which it no longer counts the load of a silent instance.
const BROKER_HEARTBEATS_BEFORE_EXPIRY: u64 = 4;

/// A message between instances.
#[wire]
pub enum Message {
    /// The state of an instance, with its load on upstreams.
    Report(Report),
    /// A request for a placement.
    Ask(PlacementRequest),
    /// The answer to a placement request.
    Answer(PlacementAnswer),
    /// The end of the use of a granted engine.
    Release(EngineRelease),
    /// A request for units of a workspace.
    QuotaAsk(QuotaRequest),
    /// The answer to a request for units.
    QuotaAnswer(QuotaAnswer),
    /// Units of a request that has not run.
    QuotaReturn(QuotaRefund),
    /// A request was in flight when an upstream crashed, or has been answered since.
    Suspect(SuspectUpdate),
    /// The withdrawal of a placement request.
    Withdraw {
        /// Instance that sent the request.
        instance: Arc<str>,
        /// Ticket of the request.
        ticket: u64,
    },
    /// A request for a permit to send to a limited upstream.
    PermitAsk(PermitRequest),
    /// The answer to a permit request.
    PermitAnswer(PermitAnswer),
    /// Notice of a permit that the sender has issued.
    PermitNotice(PermitNotice),
    /// Rate limits of upstreams that the sender has observed. They are no part of a report, whose
    /// encoding must not change while instances of an earlier version run.
    Limits(LimitReport),
    /// Evidence against parts of prompts that crash upstreams.
    Parts(PartReport),
    /// Version of the configuration that the sender has in force and that the store lacks since it
    /// was restored from a copy.
    UnstoredConfiguration(u64),
    /// A request for a placement on engines of one software version.
    AskVersion(VersionPlacementRequest),
    /// A request failed at an engine that the receiver had granted.
    EngineFailure(EngineFailure),
    /// Samples of the speed of a service's engines, for its broker.
    Speeds(SpeedReport),
    /// The answer to a request for units that has arrived before and is not charged again. Instances of
    /// an earlier build, which would refund it, ignore it.
    QuotaRepeat(QuotaAnswer),
    /// Upstreams that the sender has found to be cold.
    Cold(ColdReport),
}

/// Rate limits of upstreams that an instance itself has observed.
#[wire]
pub struct LimitReport {
    /// Name of the sender.
    pub instance: Arc<str>,
    /// The limits, by the id of the upstream.
    pub limits: BTreeMap<Arc<str>, ReportedLimit>,
}

/// Binds the socket for messages between peers.
pub async fn bind(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .with_context(|| format!("can't bind peer_address {address}"))
}

/// Receives and handles messages of peers, for as long as the process lives.
pub async fn receive(gateway: SharedGateway) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (length, from) = match gateway.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A peer that is unreachable shows up here; its missing reports are noticed
                // elsewhere.
                log::debug!("can't receive a message: {error}");
                continue;
            }
        };
        match codec::decode(&buffer[..length]) {
            Ok(message) => handle_message(&gateway, from, message),
            Err(error) => gateway.events.write(
                "unreadable_message",
                serde_json::json!({ "from": from.to_string(), "problem": error.to_string() }),
            ),
        }
    }
}

fn handle_message(gateway: &SharedGateway, from: SocketAddr, message: Message) {
    match message {
        Message::Report(report) => handle_report(gateway, from, report),
        Message::Ask(request) => broker::handle_request(gateway, from, request, None),
        Message::Answer(answer) => broker::handle_answer(gateway, from, answer),
        Message::Release(release) => broker::handle_release(gateway, &release),
        Message::QuotaAsk(request) => quota::handle_request(gateway, from, &request),
        Message::QuotaAnswer(answer) => quota::handle_answer(gateway, from, answer),
        Message::QuotaReturn(refund) => quota::handle_refund(gateway, &refund),
        Message::Suspect(update) => quarantine::handle_updates(gateway, &[update]),
        Message::Withdraw { instance, ticket } => {
            broker::handle_withdrawal(gateway, &instance, ticket);
        }
        Message::PermitAsk(request) => permits::handle_request(gateway, from, &request),
        Message::PermitAnswer(answer) => permits::handle_answer(gateway, answer),
        Message::PermitNotice(notice) => permits::handle_notice(gateway, &notice),
        Message::Limits(report) => handle_limits(gateway, &report),
        Message::Parts(report) => prompt_parts::handle_report(gateway, report),
        Message::UnstoredConfiguration(version) => {
            newer_configuration::handle_report(gateway, version);
        }
        Message::AskVersion(VersionPlacementRequest { request, version }) => {
            broker::handle_request(gateway, from, request, Some(version));
        }
        Message::EngineFailure(failure) => broker::handle_failure(gateway, &failure),
        Message::Speeds(report) => upstream_speeds::handle_report(gateway, report),
        Message::QuotaRepeat(answer) => quota::handle_repeat(gateway, &answer),
        Message::Cold(report) => cold::handle_report(gateway, &report),
    }
}

fn handle_report(gateway: &SharedGateway, from: SocketAddr, report: Report) {
    let now = clock::now();
    registry::record_reporting_peer(gateway, &report.instance, report.incarnation, from);
    // The peer may have started since the store was restored.
    if let Some(version) = newer_configuration::unstored_version(gateway) {
        gateway.send_message(from, &Message::UnstoredConfiguration(version));
    }
    quarantine::handle_updates(gateway, &report.suspects);
    evacuations::merge(gateway, report.evacuations.clone(), &report.instance);
    for (kind, position) in &report.seen_revisions {
        gateway.seen_positions.record_peer(kind, *position);
    }
    {
        let mut state = gateway.state();
        let down_for_ms = report.down_for_ms.clone();
        for (id, started_unix_ms) in &report.leaving_upstreams {
            if state.upstreams.mark_draining(id, *started_unix_ms) {
                gateway.events.write(
                    "upstream_leaving",
                    serde_json::json!({ "upstream": &**id, "source": &*report.instance }),
                );
            }
        }
        state.peer_reports.handle_report(report, now);
        for (upstream, for_ms) in &down_for_ms {
            state.health.record_peer_unreachable(upstream, *for_ms, now);
        }
    }
    gateway.queues.slot_freed();
}

fn handle_limits(gateway: &Gateway, report: &LimitReport) {
    let now = clock::now();
    let mut state = gateway.state();
    for (id, reported) in &report.limits {
        let Some(upstream) = state.upstreams.get(id).cloned() else {
            continue;
        };
        let limits = &mut state.upstream_limits;
        if limits.record_report(&upstream, *reported, now) {
            forwarding::log_limit(gateway, &upstream, reported.limit_per_s, &report.instance);
        }
    }
}

/// Reports to all peers at every heartbeat and on urgent changes, and to the brokers while this
/// instance uses engines, for as long as the process lives.
pub async fn report(gateway: SharedGateway) {
    let mut sent = SentReports::default();
    loop {
        let timing = gateway.settings.load().timing;
        let heartbeat_ms = gateway.state().peer_reports.heartbeat_ms();
        let next_ms = sent
            .last_broadcast_ms
            .after(heartbeat_ms)
            .remaining(clock::now());
        // Peers add up the load of many instances. A heartbeat has to be sent at a time unrelated
        // to changes of load: one triggered by a change would mostly show the request that has just
        // begun.
        let is_due = tokio::select! {
            biased;
            () = tokio::time::sleep(Duration::from_millis(next_ms)) => true,
            () = gateway.report_needed.notified() => false,
            () = tokio::time::sleep(Duration::from_millis(timing.broker_heartbeat_ms)) => false,
        };
        let now = clock::now();
        let report = build_report(&gateway);
        let limits = gateway.state().upstream_limits.reports(now);
        if is_due || sent.lack_limit(&gateway, &limits) {
            sent.limited = limits.keys().cloned().collect();
            send_limits(&gateway, limits);
        }
        let brokers = broker::addresses(&gateway);
        if is_due && let Some(report) = prompt_parts::recent_report(&gateway) {
            prompt_parts::send_to_all(&gateway, report);
        }
        if is_due || sent.needs_broadcast(&gateway, &report, now) {
            sent.record_broadcast(&report, now);
            let mut others = gateway.peer_addresses.all();
            others.retain(|address| !brokers.contains(address));
            send_report(&gateway, &others, report.clone());
        }
        // One more report after the last request has ended, to clear the load in the previous one.
        if is_due || !report.uses.is_empty() || sent.brokers_hold_load {
            sent.brokers_hold_load = !report.uses.is_empty();
            let uses_valid_ms = timing.broker_heartbeat_ms * BROKER_HEARTBEATS_BEFORE_EXPIRY;
            let report = Report {
                uses_valid_ms,
                ..report
            };
            send_report(&gateway, &brokers, report);
        }
        let next_ms = sent
            .last_broadcast_ms
            .after(heartbeat_ms)
            .remaining(clock::now());
        let pause_ms = timing.report_interval_ms.min(next_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn send_report(gateway: &SharedGateway, addresses: &[SocketAddr], report: Report) {
    let message = Message::Report(report);
    for address in addresses {
        gateway.send_message(*address, &message);
    }
}

fn send_limits(gateway: &Gateway, limits: BTreeMap<Arc<str>, ReportedLimit>) {
    if limits.is_empty() {
        return;
    }
    let message = Message::Limits(LimitReport {
        instance: gateway.settings.load().instance.clone(),
        limits,
    });
    for address in gateway.peer_addresses.all() {
        gateway.send_message(address, &message);
    }
}

// What the reports so far contained.
#[derive(Default)]
struct SentReports {
    // Time of the last report to all peers.
    last_broadcast_ms: TimeMs,
    leaving: bool,
    down: BTreeSet<Arc<str>>,
    limited: BTreeSet<Arc<str>>,
    brokers_hold_load: bool,
    evacuations: Evacuations,
}

impl SentReports {
    // Returns whether a report has to reach all peers at once. All of them avoid unreachable
    // upstreams, leaving owners and evacuated data centres, and only a few instances watch the
    // store for evacuations. A leaving upstream needs no report to all peers: each of them reads it
    // from the store, and the heartbeat covers those that are cut off from it.
    fn needs_broadcast(&self, gateway: &Gateway, report: &Report, now: TimeMs) -> bool {
        if report.leaving != self.leaving {
            return true;
        }
        if report.evacuations != self.evacuations && evacuations::is_watcher(gateway) {
            return true;
        }
        let unreported: Vec<&Arc<str>> = report
            .down_for_ms
            .keys()
            .filter(|id| !self.down.contains(*id))
            .collect();
        // Most instances find out at the same time; the first one notifies the others.
        !unreported.is_empty() && {
            let state = gateway.state();
            let mut unreported = unreported.into_iter();
            unreported.any(|id| !state.health.is_unreachable_from_peers(id, now))
        }
    }

    // Returns whether a limit has to reach all peers at once, since each of them exceeds it until it
    // knows it. The first instance that observes a limit notifies the others.
    fn lack_limit(&self, gateway: &Gateway, limits: &BTreeMap<Arc<str>, ReportedLimit>) -> bool {
        let limited = limits
            .iter()
            .filter(|(_, reported)| reported.limit_per_s.is_some());
        let mut unreported = limited.filter(|(id, _)| !self.limited.contains(*id));
        unreported.any(|(id, _)| !gateway.state().upstream_limits.is_reported_by_peers(id))
    }

    fn record_broadcast(&mut self, report: &Report, now: TimeMs) {
        self.last_broadcast_ms = now;
        self.leaving = report.leaving;
        self.evacuations = report.evacuations.clone();
        self.down = report.down_for_ms.keys().cloned().collect();
    }
}

/// Builds a report of this instance's present state.
pub fn build_report(gateway: &Gateway) -> Report {
    let now = clock::now();
    let mut state = gateway.state();
    // Drawn under the lock, so that a report with a higher number is newer.
    let sequence = gateway.report_sequence.fetch_add(1, Ordering::Relaxed) + 1;
    state.peer_reports.expire(now);
    Report {
        instance: gateway.settings.load().instance.clone(),
        incarnation: gateway.incarnation,
        sequence,
        capacity: gateway.settings.load().capacity,
        leaving: gateway.drain.is_draining() && gateway.drain.in_flight() == 0,
        uses: state.own_load.clone(),
        uses_valid_ms: state.peer_reports.liveness_timeout_ms(),
        tickets: state.tickets.clone(),
        down_for_ms: state.health.unreachable(now),
        leaving_upstreams: state.upstreams.draining(),
        seen_revisions: gateway.seen_positions.own(),
        suspects: gateway.quarantine.pending_updates(),
        evacuations: state.upstreams.evacuations.clone(),
    }
}
