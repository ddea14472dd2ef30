//! Messages to and from peers, over UDP.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::exchange::Report;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::broker;
use crate::broker::Answer;
use crate::broker::Ask;
use crate::broker::Release;
use crate::state::SharedGateway;

// Largest message: several times the report of an instance that uses each of a hundred upstreams.
const MAX_MESSAGE_BYTES: usize = 60_000;

// Part of a workspace's burst that may be admitted before all peers are told.
const BURST_PARTS: u64 = 32;

/// A message between instances.
#[wire]
pub enum Message {
    /// What an instance uses and admitted.
    Report(Report),
    /// A question for a place.
    Ask(Ask),
    /// The answer to a question.
    Answer(Answer),
    /// The end of the use of a place.
    Release(Release),
    /// A question that no longer matters.
    Withdraw {
        /// Instance that asked.
        instance: Arc<str>,
        /// The question.
        ticket: u64,
    },
}

/// Binds the socket for reports.
pub async fn bind(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .with_context(|| format!("can't bind peer_address {address}"))
}

/// Takes messages of peers in, for as long as the process lives.
pub async fn receive(gateway: SharedGateway) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (length, from) = match gateway.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An unreachable peer is reported here; its silence is noticed elsewhere.
                log::debug!("receiving messages: {error}");
                continue;
            }
        };
        match serde_json::from_slice(&buffer[..length]) {
            Ok(message) => take(&gateway, from, message),
            Err(error) => gateway.events.write(
                "unreadable_message",
                serde_json::json!({ "from": from.to_string(), "problem": error.to_string() }),
            ),
        }
    }
}

fn take(gateway: &SharedGateway, from: SocketAddr, message: Message) {
    match message {
        Message::Report(report) => take_report(gateway, report),
        Message::Ask(question) => broker::take_ask(gateway, from, question),
        Message::Answer(answer) => broker::take_answer(gateway, from, answer),
        Message::Release(release) => broker::take_release(gateway, &release),
        Message::Withdraw { instance, ticket } => {
            broker::take_withdrawal(gateway, &instance, ticket);
        }
    }
}

fn take_report(gateway: &SharedGateway, report: Report) {
    let now = clock::now();
    let configuration = gateway.configuration.load_full();
    for (kind, revision) in &report.seen_revisions {
        gateway.revisions.note_peer(kind, *revision);
    }
    {
        let mut beliefs = gateway.beliefs();
        let down_for_ms = report.down_for_ms.clone();
        for (id, started_unix_ms) in &report.leaving_upstreams {
            if beliefs.upstreams.mark_leaving(id, *started_unix_ms) {
                gateway.events.write(
                    "upstream_leaving",
                    serde_json::json!({ "upstream": &**id, "source": &*report.instance }),
                );
            }
        }
        let charges = beliefs.exchange.receive(report, now);
        let hearing = beliefs.exchange.hearing(now);
        for (upstream, for_ms) in &down_for_ms {
            beliefs.records.note_peer_down(upstream, *for_ms, now);
        }
        for charge in charges {
            let workspace = configuration
                .as_ref()
                .and_then(|configuration| configuration.workspaces.get(&charge.workspace));
            if let Some(workspace) = workspace {
                beliefs.quotas.charge(workspace, charge.units, hearing, now);
            }
        }
    }
    gateway.lines.slot_freed();
}

/// Reports to the brokers whenever something changed, and to all peers when it concerns them and at
/// least at every heartbeat.
pub async fn report(gateway: SharedGateway) {
    let mut sequence = 0;
    let mut last_to_all = LastToAll::default();
    loop {
        let timing = gateway.settings.load().timing;
        let heartbeat = Duration::from_millis(timing.report_heartbeat_ms);
        // Woken early if the use of an upstream changed.
        let woken = tokio::time::timeout(heartbeat, gateway.use_changed.notified()).await;
        sequence += 1;
        let report = compose(&gateway, sequence);
        let now = clock::now();
        let due = last_to_all.sent_ms.after(timing.report_heartbeat_ms) <= now;
        let addresses = if woken.is_err() || due || last_to_all.concerns_all(&gateway, &report) {
            last_to_all = LastToAll {
                sent_ms: now,
                admitted: report.admitted.clone(),
                unusable: unusable(&report).cloned().collect(),
            };
            gateway.peer_addresses.all()
        } else {
            broker::addresses(&gateway)
        };
        let message = Message::Report(report);
        for address in addresses {
            gateway.tell(address, &message);
        }
        tokio::time::sleep(Duration::from_millis(timing.report_interval_ms)).await;
    }
}

// What the last report to all peers said.
#[derive(Default)]
struct LastToAll {
    sent_ms: TimeMs,
    admitted: BTreeMap<Arc<str>, u64>,
    unusable: BTreeSet<Arc<str>>,
}

fn unusable(report: &Report) -> impl Iterator<Item = &Arc<str>> {
    let leaving = report.leaving_upstreams.keys();
    report.down_for_ms.keys().chain(leaving)
}

impl LastToAll {
    // All peers charge what is admitted, and avoid upstreams that are down.
    fn concerns_all(&self, gateway: &SharedGateway, report: &Report) -> bool {
        let unreported = |id| !self.unusable.contains(id);
        if unusable(report).any(unreported) {
            return true;
        }
        let configuration = gateway.configuration.load();
        let Some(configuration) = configuration.as_ref() else {
            return false;
        };
        report.admitted.iter().any(|(name, total)| {
            let reported = self.admitted.get(name).copied().unwrap_or(0);
            configuration
                .workspaces
                .get(name)
                .is_some_and(|workspace| total - reported > workspace.burst / BURST_PARTS)
        })
    }
}

fn compose(gateway: &SharedGateway, sequence: u64) -> Report {
    let now = clock::now();
    let configuration = gateway.configuration.load_full();
    let mut beliefs = gateway.beliefs();
    if let Some(configuration) = configuration {
        let hearing = beliefs.exchange.hearing(now);
        beliefs
            .quotas
            .advance(configuration.workspaces.values(), hearing, now);
    }
    Report {
        instance: gateway.settings.load().instance.clone(),
        incarnation: gateway.incarnation,
        sequence,
        leaving: gateway.drain.is_draining() && gateway.drain.in_flight() == 0,
        uses: beliefs.uses.clone(),
        tickets: beliefs.tickets.clone(),
        admitted: beliefs.quotas.admitted().clone(),
        down_for_ms: beliefs.records.down(now),
        leaving_upstreams: beliefs.upstreams.leaving(),
        seen_revisions: gateway.revisions.here(),
    }
}
