//! Paths to upstreams: this instance's own links, or a peer that relays connections while those are
//! lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use futures_util::future::join_all;
use http::StatusCode;
use rand::seq::SliceRandom;
use tokio::net::TcpListener;

use dogwoodpier_core::gateway::partition::Check;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_http::Destination;
use dogwoodpier_http::relay;
use dogwoodpier_process::clock;
use dogwoodpier_process::drain::InFlight;

use crate::counters;
use crate::state::Gateway;
use crate::state::SharedGateway;

// Upstreams that a check connects to, beside the one that failed.
const CHECKED_UPSTREAMS: usize = 3;
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);
// Peers among which a connection finds a relay.
const MAX_RELAYS: usize = 8;
// Bounds the memory and descriptors that peers may use here.
const MAX_RELAYED_CONNECTIONS: usize = 256;
/// Time without any response after which a request that waits for one has the links checked.
pub const SILENCE_MS: u64 = 400;

/// Returns the destination of requests to an upstream, by the path that is in use.
pub fn destination(gateway: &Gateway, upstream: &Upstream) -> Destination {
    let is_partitioned = gateway.state().partition.is_partitioned();
    let relays = match is_partitioned {
        true => relays(gateway),
        false => Vec::new(),
    };
    Destination {
        relays,
        ..direct(gateway, upstream)
    }
}

/// Returns the destination of requests to an upstream over this instance's own links.
pub fn direct(gateway: &Gateway, upstream: &Upstream) -> Destination {
    Destination {
        id: upstream.id.clone(),
        address: upstream.address,
        connect_timeout_ms: gateway.settings.load().timing.connect_timeout_ms,
        relays: Vec::new(),
    }
}

// Returns the addresses of some live peers, in random order, so that instances that have lost their
// links together spread over the others.
fn relays(gateway: &Gateway) -> Vec<SocketAddr> {
    let peers: Vec<Arc<str>> = {
        let state = gateway.state();
        let peers = state.peer_reports.live_peers(clock::now());
        peers.map(|(peer, _)| peer.clone()).collect()
    };
    let addresses = peers.iter();
    let mut addresses: Vec<SocketAddr> = addresses
        .filter_map(|peer| gateway.peer_addresses.get(peer))
        .collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_RELAYS);
    addresses
}

/// Returns whether an upstream accepts connections, from peers if this instance has lost its links. If
/// no peer has links either, the upstreams are more likely down than all instances cut off.
pub async fn accepts_connections(gateway: &SharedGateway, upstream: &Upstream) -> bool {
    let to = destination(gateway, upstream);
    let is_connected = gateway.connections.probe(&to).await.is_ok();
    if is_connected {
        record_connected(gateway, &to);
        return true;
    }
    if !to.relays.is_empty() || !check(gateway, upstream).await {
        return false;
    }
    let to = destination(gateway, upstream);
    gateway.connections.probe(&to).await.is_ok()
}

/// Records that a connection to a destination was established.
pub fn record_connected(gateway: &Gateway, to: &Destination) {
    if to.relays.is_empty() && gateway.state().partition.record_connected(clock::now()) {
        log_end(gateway);
    }
}

/// Checks the links of this instance after it could not connect to an upstream. Returns whether it
/// has lost them.
pub async fn check(gateway: &SharedGateway, failed: &Upstream) -> bool {
    // Requests that fail together share a check.
    let _checking = gateway.checking_links.lock().await;
    let begun_ms = clock::now();
    if !gateway.state().partition.needs_check(begun_ms) {
        return gateway.state().partition.is_partitioned();
    }
    let (known, others) = other_upstreams(gateway, &failed.id);
    let connects = others.iter().map(|upstream| connects(gateway, upstream));
    let connected = join_all(connects).await;
    let check = Check {
        tried: connected.len() + 1,
        connected: connected.into_iter().filter(|connected| *connected).count(),
    };
    let (has_begun, is_partitioned) = {
        let mut state = gateway.state();
        let partition = &mut state.partition;
        let has_begun = partition.record_check(check, known, begun_ms, clock::now());
        let is_partitioned = partition.is_partitioned();
        if has_begun {
            // The upstreams are not down, and peers must not be told so.
            state.health.forget_unreachable();
        }
        (has_begun, is_partitioned)
    };
    if has_begun {
        gateway.connections.close_all_idle();
        metrics::gauge!(counters::UPSTREAMS_REACHABLE).set(0.0);
        gateway.events.write(
            "upstreams_unreachable",
            serde_json::json!({ "tried": check.tried, "known": known, "last": &*failed.id }),
        );
        gateway.report_needed.notify_one();
        tokio::spawn(await_recovery(gateway.clone()));
    }
    is_partitioned
}

// Returns the number of known upstreams, and some of them other than `id`.
fn other_upstreams(gateway: &Gateway, id: &str) -> (usize, Vec<Arc<Upstream>>) {
    let state = gateway.state();
    let mut upstreams: Vec<Arc<Upstream>> = state.upstreams.all().cloned().collect();
    let known = upstreams.len();
    upstreams.retain(|upstream| *upstream.id != *id);
    upstreams.shuffle(&mut rand::rng());
    upstreams.truncate(CHECKED_UPSTREAMS);
    (known, upstreams)
}

async fn connects(gateway: &Gateway, upstream: &Upstream) -> bool {
    let to = direct(gateway, upstream);
    metrics::counter!(counters::CONNECTIONS_TOTAL).increment(1);
    gateway.connections.probe(&to).await.is_ok()
}

// Tries the links until one works.
async fn await_recovery(gateway: SharedGateway) {
    while gateway.state().partition.is_partitioned() {
        tokio::time::sleep(RECOVERY_INTERVAL).await;
        let (_, upstreams) = other_upstreams(&gateway, "");
        let connects = upstreams
            .iter()
            .map(|upstream| connects(&gateway, upstream));
        if join_all(connects).await.contains(&true)
            && gateway.state().partition.record_connected(clock::now())
        {
            log_end(&gateway);
        }
    }
}

fn log_end(gateway: &Gateway) {
    metrics::gauge!(counters::UPSTREAMS_REACHABLE).set(1.0);
    gateway
        .events
        .write("upstreams_reachable", serde_json::json!({}));
}

/// Checks the links once a request has waited for its response for [`SILENCE_MS`] and no upstream has
/// responded to any request in that time.
pub async fn check_if_silent(gateway: &SharedGateway, upstream: &Upstream) {
    let begun_ms = clock::now();
    tokio::time::sleep(Duration::from_millis(SILENCE_MS)).await;
    let is_silent = gateway.state().partition.is_silent_since(begun_ms);
    if is_silent && !connects(gateway, upstream).await {
        check(gateway, upstream).await;
    }
}

/// Binds the address at which peers find this instance as a relay, and serves it for as long as the
/// process lives.
pub async fn start_relay(gateway: SharedGateway) -> anyhow::Result<()> {
    let address = gateway.settings.load().peer_address;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("can't bind peer_address {address}"))?;
    let admitting = gateway.clone();
    let admit = move |id: &str| admit(&admitting, id);
    let handle_failure = move |to: Destination| refusal(gateway.clone(), to);
    tokio::spawn(relay::serve(
        listener,
        MAX_RELAYED_CONNECTIONS,
        admit,
        handle_failure,
    ));
    Ok(())
}

// Admits connections to known upstreams. They count as requests in flight, so that a shutdown waits
// for them.
fn admit(gateway: &SharedGateway, id: &str) -> Result<(Destination, InFlight), StatusCode> {
    let upstream = gateway.state().upstreams.get(id).cloned();
    let upstream = upstream.ok_or(StatusCode::NOT_FOUND)?;
    let in_flight = gateway.drain.admit();
    let is_stopping = gateway.drain.is_draining();
    if is_stopping || gateway.state().partition.is_partitioned() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let in_flight = in_flight.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    Ok((direct(gateway, &upstream), in_flight))
}

// Returns the status for an upstream that could not be connected to.
async fn refusal(gateway: SharedGateway, to: Destination) -> StatusCode {
    let upstream = gateway.state().upstreams.get(&to.id).cloned();
    match upstream {
        Some(upstream) if check(&gateway, &upstream).await => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}
