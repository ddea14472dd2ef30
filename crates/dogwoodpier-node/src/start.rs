//! Starting and stopping a node.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;

use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;

use crate::claims;
use crate::config;
use crate::coordinator;
use crate::limits;
use crate::peers;
use crate::servers::callers;
use crate::servers::operators;
use crate::settings::Settings;
use crate::slots;
use crate::state::Node;
use crate::state::SharedNode;
use crate::upstreams;

// Time from when readiness begins to fail until requests are rejected, so that the load balancer can
// stop sending them first.
const BALANCER_REACTION_TIME: Duration = Duration::from_millis(1_500);

/// Runs a node until the process receives SIGTERM or SIGINT, then drains the node.
///
/// # Errors
///
/// Fails if an address can't be bound; the error names the address.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let node = Arc::new(build_node(settings));
    // The peer address is bound before anything else. A node claims the slots of its former
    // incarnation early, which is safe only if that incarnation can no longer serve this address.
    let listener = TcpListener::bind(node.settings.peer_address)
        .await
        .with_context(|| format!("can't bind peer_address {}", node.settings.peer_address))?;
    let (stop_peers, peers_stopped) = oneshot::channel::<()>();
    let peer_server = tokio::spawn(peers::serve(node.clone(), listener, async {
        // The sender is dropped only when `run` returns early, which ends the process too.
        let _ = peers_stopped.await;
    }));
    spawn_tasks(&node);
    let operator_server =
        operators::start(node.clone()).context("can't start the operators' server")?;
    let caller_server = callers::start(node.clone()).context("can't start the callers' server")?;
    info!(
        "node {} started as incarnation {:016x}, callers at {}",
        node.settings.instance, node.incarnation, node.settings.caller_address
    );

    wait_for_stop_signal().await?;
    drain(&node).await;
    run_with_drain_timeout(&node, "closing the callers' server", caller_server.close()).await;
    let _ = stop_peers.send(());
    run_with_drain_timeout(&node, "closing the peer server", peer_server).await;
    run_with_drain_timeout(
        &node,
        "closing the operators' server",
        operator_server.close(),
    )
    .await;
    info!("node {} stopped", node.settings.instance);
    Ok(())
}

fn build_node(settings: Settings) -> Node {
    let tuning = &settings.tuning;
    let platform = Client::new(ClientOptions {
        address: settings.platform_address,
        timeout_ms: tuning.platform_timeout_ms,
    });
    Node {
        incarnation: rand::random(),
        platform,
        peers: peers::Peers::new(
            settings.instance.clone(),
            tuning.member_timeout_ms,
            tuning.peer_timeout_ms,
        ),
        config: config::ConfigStore::new(tuning.freshness_ms),
        slots: slots::Slots::default(),
        limits: limits::Limits::default(),
        claims: claims::Claims::default(),
        quarantine: crate::quarantine::Quarantine::default(),
        upstreams: upstreams::Upstreams::default(),
        coordinator: coordinator::Coordinator::default(),
        drain: Arc::default(),
        settings,
    }
}

fn spawn_tasks(node: &SharedNode) {
    tokio::spawn(config::run(node.clone()));
    tokio::spawn(upstreams::run(node.clone()));
    tokio::spawn(peers::registry::run(node.clone()));
    tokio::spawn(peers::run(node.clone()));
    tokio::spawn(slots::run(node.clone()));
    tokio::spawn(limits::run(node.clone()));
    tokio::spawn(claims::run(node.clone()));
    tokio::spawn(coordinator::run(node.clone()));
}

async fn wait_for_stop_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("can't listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("can't listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

// Waits for the requests in flight, then hands the slots of this node over to others. Each step
// takes at most `drain_ms`; requests that still run after that are cut, and their number is logged.
async fn drain(node: &SharedNode) {
    info!(
        "node {} drains with {} requests in flight",
        node.settings.instance,
        node.drain.in_flight()
    );
    node.drain.begin();
    // Requests that the load balancer still sends meanwhile are served.
    tokio::time::sleep(BALANCER_REACTION_TIME).await;
    node.drain.reject_new();
    if !run_with_drain_timeout(node, "requests in flight", node.drain.wait_idle()).await {
        warn!(
            "{} requests were cut by the shutdown",
            node.drain.in_flight()
        );
    }
    run_with_drain_timeout(node, "handing over slots", slots::release_all(node)).await;
}

// Runs a step of the shutdown for at most `drain_ms`. Returns whether it finished.
async fn run_with_drain_timeout<F>(node: &Node, what: &str, step: F) -> bool
where
    F: Future,
{
    let limit = Duration::from_millis(node.settings.tuning.drain_ms);
    let finished = tokio::time::timeout(limit, step).await.is_ok();
    if !finished {
        warn!(
            "shutdown step \"{what}\" did not finish within {} ms; continuing",
            limit.as_millis()
        );
    }
    finished
}
