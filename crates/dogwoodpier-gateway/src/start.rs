//! Start and shutdown of a gateway.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context;
use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::partition::PartitionDetector;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::permits::Permits;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::quota::RecentDecisions;
use dogwoodpier_core::gateway::retries::RetryBudget;
use dogwoodpier_core::gateway::shutdown::Shutdown;
use dogwoodpier_core::gateway::software_versions::SeenVersions;
use dogwoodpier_core::gateway::upstream_limits::UpstreamLimits;
use dogwoodpier_core::gateway::upstreams::Upstreams;
use dogwoodpier_http::Connections;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;
use dogwoodpier_process::clock;
use dogwoodpier_process::events::EventLog;
use dogwoodpier_process::events::EventOptions;
use dogwoodpier_process::recorder;
use dogwoodpier_process::supervise::supervise;

use crate::broker::Broker;
use crate::client_budget::ClientBudget;
use crate::cold;
use crate::cold::ColdNews;
use crate::cold::InvalidReports;
use crate::dialect::Dialect;
use crate::engines::TimingStats;
use crate::evacuations;
use crate::greetings;
use crate::greetings::PeerGreetings;
use crate::newer_configuration::NewerConfiguration;
use crate::owners::Owners;
use crate::paths;
use crate::peer_messages;
use crate::pending::PendingRequests;
use crate::plain_queue::PlainQueues;
use crate::quarantine::Quarantine;
use crate::queues;
use crate::queues::Queues;
use crate::quota;
use crate::quota::RepeatedTickets;
use crate::readiness;
use crate::registry;
use crate::reload;
use crate::seen_positions::SeenPositions;
use crate::server;
use crate::settings::Settings;
use crate::state::Gateway;
use crate::state::RoutingState;
use crate::state::SharedGateway;
use crate::store;
use crate::stream_origins;
use crate::stream_origins::StreamOrigins;
use crate::upstream_speeds::LearnedCosts;

// Time after which a balancer that checks every second has seen twice that the instance isn't
// ready.
const BALANCER_NOTICE_MS: u64 = 2_600;
// Part of the grace time that is reserved for the exit of the process.
const EXIT_MARGIN_MS: u64 = 400;
// Time for the last bytes of the last response to be sent.
const FLUSH_PAUSE: Duration = Duration::from_millis(100);

/// Runs a gateway until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Fails if an address can't be bound; the error names it.
pub async fn run(
    settings: Settings,
    settings_file: PathBuf,
    dialect: &'static Dialect,
) -> anyhow::Result<()> {
    recorder::start()?;
    let socket = peer_messages::bind(settings.peer_address).await?;
    let gateway = Arc::new(build(settings, dialect, socket));
    log_to_events(&gateway)?;
    let settings = gateway.settings.load_full();
    let budget = &gateway.client_budget;
    budget.limit_idle_upstreams(&settings, &gateway.connections);
    spawn_tasks(&gateway);
    readiness::start(
        gateway.clone(),
        "readiness",
        settings.readiness_address,
        readiness::balancer_page,
    )
    .await?;
    readiness::start(
        gateway.clone(),
        "operators",
        settings.operator_address,
        readiness::operator_page,
    )
    .await?;
    paths::start_relay(gateway.clone()).await?;
    server::start(gateway.clone()).await?;
    gateway.events.write(
        "started",
        serde_json::json!({
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": gateway.incarnation,
            "data_centre": &*settings.data_centre,
            "client_address": settings.client_address.to_string(),
            "store_address": settings.store_address.to_string(),
        }),
    );
    tokio::spawn(reload::run(gateway.clone(), settings_file));
    let stop_ms = wait_for_stop().await?;
    drain(&gateway, stop_ms).await;
    Ok(())
}

// Forwards warnings of libraries and of the gateway's servers to the event log.
fn log_to_events(gateway: &SharedGateway) -> anyhow::Result<()> {
    let events = gateway.events.clone();
    let output = fern::Output::call(move |record| {
        events.write(
            "log",
            serde_json::json!({
                "level": record.level().as_str(),
                "target": record.target(),
                "message": record.args().to_string(),
            }),
        );
    });
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .chain(output)
        .apply()
        .context("a logger is set already")
}

fn build(settings: Settings, dialect: &'static Dialect, socket: UdpSocket) -> Gateway {
    let store = Client::with_protocol(
        ClientOptions {
            address: settings.store_address,
            timeout_ms: settings.timing.store_timeout_ms,
        },
        dialect.store,
    );
    let events = EventLog::to_stdout(&settings.instance, EventOptions::default());
    Gateway {
        incarnation: rand::random(),
        dialect,
        configuration: ArcSwapOption::empty(),
        newer_configuration: NewerConfiguration::default(),
        state: Mutex::new(RoutingState {
            upstreams: Upstreams::default(),
            partition: PartitionDetector::default(),
            versions: SeenVersions::default(),
            upstreams_known: false,
            health: UpstreamHealth::default(),
            upstream_limits: UpstreamLimits::default(),
            permits: Permits::default(),
            peers_known: false,
            peer_reports: PeerReports::new(settings.report_options),
            quotas: Quotas::default(),
            quota_decisions: RecentDecisions::default(),
            quota_shares: Quotas::default(),
            retries: RetryBudget::default(),
            memory_limits: Default::default(),
            own_load: Default::default(),
            tickets: Default::default(),
        }),
        socket,
        broker: Broker::default(),
        owners: Owners::default(),
        pending_quota_requests: PendingRequests::default(),
        pending_permit_requests: PendingRequests::default(),
        quarantine: Quarantine::default(),
        cold_news: ColdNews::default(),
        invalid_cold_reports: InvalidReports::default(),
        stream_origins: StreamOrigins::default(),
        learned_costs: LearnedCosts::default(),
        timing_stats: TimingStats::default(),
        queues: Queues::default(),
        plain_queues: PlainQueues::default(),
        connections: Connections::default(),
        checking_links: tokio::sync::Mutex::default(),
        store,
        drain: Arc::default(),
        events,
        client_budget: ClientBudget::default(),
        report_needed: Notify::new(),
        close_idle: Notify::new(),
        shutdown: Mutex::new(None),
        registration_lost: Notify::new(),
        seen_positions: SeenPositions::default(),
        peer_addresses: registry::PeerAddresses::default(),
        repeated_tickets: RepeatedTickets::default(),
        greetings: PeerGreetings::default(),
        report_sequence: AtomicU64::new(0),
        settings: ArcSwap::from_pointee(settings),
    }
}

fn spawn_tasks(gateway: &SharedGateway) {
    spawn_supervised(gateway, "configuration", |gateway| {
        let follower = store::configuration(&gateway);
        store::follow(gateway, follower)
    });
    spawn_supervised(gateway, "upstreams", |gateway| {
        let follower = store::upstreams(&gateway);
        store::follow(gateway, follower)
    });
    if gateway.settings.load().evacuations {
        spawn_supervised(gateway, "evacuations", |gateway| {
            let follower = evacuations::follower(&gateway);
            store::follow(gateway, follower)
        });
    }
    spawn_supervised(gateway, "store_era", store::observe_era);
    spawn_supervised(gateway, "find_peers", registry::find_peers);
    spawn_supervised(gateway, "expire_missing", store::expire_missing);
    spawn_supervised(gateway, "register", registry::run);
    spawn_supervised(gateway, "clean_registrations", registry::clean);
    spawn_supervised(gateway, "lines", queues::run);
    spawn_supervised(gateway, "receive", peer_messages::receive);
    spawn_supervised(gateway, "report", peer_messages::report);
    spawn_supervised(gateway, "greetings", greetings::run);
    spawn_supervised(gateway, "cold_news", cold::notify_peers);
    spawn_supervised(gateway, "quotas", quota::advance);
    spawn_supervised(gateway, "readiness", readiness::report);
    spawn_supervised(gateway, "stream_origins", stream_origins::maintain);
}

// Spawns a task that is restarted if it panics.
fn spawn_supervised<T, F>(gateway: &SharedGateway, name: &'static str, task: T)
where
    T: Fn(SharedGateway) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let shared = gateway.clone();
    supervise(gateway.events.clone(), name, move || task(shared.clone()));
}

async fn wait_for_stop() -> anyhow::Result<TimeMs> {
    let mut terminate = signal(SignalKind::terminate()).context("can't listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("can't listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(clock::now())
}

// Waits until the requests in flight have ended. Those still running at the end of the grace time are cut and
// counted.
async fn drain(gateway: &SharedGateway, stop_ms: TimeMs) {
    let grace_ms = gateway.settings.load().grace_ms;
    let exit_ms = stop_ms.after(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    gateway.events.write(
        "stopping",
        serde_json::json!({ "in_flight": gateway.drain.in_flight() }),
    );
    let shutdown = Shutdown {
        notice_deadline_ms: stop_ms.after(BALANCER_NOTICE_MS),
        exit_ms,
    };
    *gateway
        .shutdown
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = Some(shutdown);
    gateway.drain.begin();
    // Requests that the balancer still sends are served until it has had time to notice.
    tokio::time::sleep(Duration::from_millis(BALANCER_NOTICE_MS)).await;
    gateway.close_idle.notify_waiters();
    let limit = Duration::from_millis(exit_ms.remaining(clock::now()));
    let closed = tokio::time::timeout(limit, gateway.drain.close()).await;
    gateway.report_needed.notify_one();
    tokio::time::sleep(FLUSH_PAUSE).await;
    gateway.events.write(
        "stopped",
        serde_json::json!({ "cut": gateway.drain.in_flight(), "all_ended": closed.is_ok() }),
    );
    tokio::time::sleep(FLUSH_PAUSE).await;
}
