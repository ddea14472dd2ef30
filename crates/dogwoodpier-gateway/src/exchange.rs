//! Reports to and from peers, over UDP.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;

use dogwoodpier_core::gateway::exchange::Report;
use dogwoodpier_process::clock;

use crate::state::SharedGateway;

// Largest datagram: several times the report of an instance that uses each of a hundred upstreams.
const MAX_REPORT_BYTES: usize = 60_000;

/// Binds the socket for reports.
pub async fn bind(address: SocketAddr) -> anyhow::Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .with_context(|| format!("can't bind peer_address {address}"))
}

/// Takes reports of peers in, for as long as the process lives.
pub async fn receive(gateway: SharedGateway, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_REPORT_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An unreachable peer is reported here; its silence is noticed elsewhere.
                log::debug!("receiving reports: {error}");
                continue;
            }
        };
        match serde_json::from_slice(&buffer[..length]) {
            Ok(report) => take(&gateway, report),
            Err(error) => gateway.events.write(
                "unreadable_report",
                serde_json::json!({ "from": from.to_string(), "problem": error.to_string() }),
            ),
        }
    }
}

fn take(gateway: &SharedGateway, report: Report) {
    let now = clock::now();
    let configuration = gateway.configuration.load_full();
    {
        let mut beliefs = gateway.beliefs();
        let charges = beliefs.exchange.receive(report, now);
        let hearing = beliefs.exchange.hearing(now);
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

/// Reports to all peers whenever something changed, and at least at every heartbeat.
pub async fn report(gateway: SharedGateway, socket: &UdpSocket) {
    let mut sequence = 0;
    loop {
        let timing = gateway.settings.load().timing;
        let heartbeat = Duration::from_millis(timing.report_heartbeat_ms);
        // Woken early if the use of an upstream changed.
        let _ = tokio::time::timeout(heartbeat, gateway.use_changed.notified()).await;
        sequence += 1;
        send_all(&gateway, socket, sequence).await;
        tokio::time::sleep(Duration::from_millis(timing.report_interval_ms)).await;
    }
}

async fn send_all(gateway: &SharedGateway, socket: &UdpSocket, sequence: u64) {
    let report = {
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
            admitted: beliefs.quotas.admitted().clone(),
        }
    };
    let Ok(bytes) = serde_json::to_vec(&report) else {
        return;
    };
    for address in gateway.peer_addresses.all() {
        // A report that can't be sent is made up for by the next one.
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!("report to {address}: {error}");
        }
    }
}
