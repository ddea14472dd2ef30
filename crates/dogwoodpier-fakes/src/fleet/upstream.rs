//! Stand-ins for the platform and upstreams of a fleet, inside this process or as child processes.

use std::net::SocketAddr;
use std::path::Path;

use crate::crash::Crash;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::engine::EngineRole;
use crate::fleet::plan::Placement;
use crate::fleet::plan::UpstreamKind;
use crate::fleet::process::Process;
use crate::platform::Platform;
use crate::platform::PlatformOptions;
use crate::relay::Relay;
use crate::server::Server;
use crate::service::Service;
use crate::service::ServiceOptions;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A running stand-in.
pub enum FakeServer {
    /// A server in this process.
    Server(Server),
    /// A child process.
    Process {
        /// The process.
        process: Box<Process>,
        /// Address that it listens on.
        address: SocketAddr,
    },
}

impl FakeServer {
    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Server(server) => server.address(),
            Self::Process { address, .. } => *address,
        }
    }

    /// Stops the stand-in without a graceful shutdown.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        match self {
            Self::Server(server) => {
                server.stop();
                Ok(())
            }
            Self::Process { process, .. } => process.kill().await,
        }
    }

    /// Starts a stand-in for the platform.
    pub async fn platform(
        placement: &Placement,
        directory: &Path,
        instances_lag_ms: u64,
    ) -> anyhow::Result<Self> {
        let options = PlatformOptions {
            address: ANY_PORT,
            instances_lag_ms,
        };
        match placement {
            Placement::InProcess => {
                let server = Platform::start(options, Crash::stop_server()).await?;
                Ok(Self::Server(server))
            }
            Placement::Processes {
                directory: programs,
            } => {
                let numeric_options = [("instances-lag-ms", options.instances_lag_ms)];
                let program = programs.join("platform");
                start_process(
                    &program,
                    ANY_PORT,
                    &[],
                    &numeric_options,
                    directory,
                    "platform",
                )
                .await
            }
        }
    }

    /// Starts a stand-in for an upstream, at `address` or, if that is absent, at a free port.
    pub async fn upstream(
        placement: &Placement,
        directory: &Path,
        name: &str,
        kind: &UpstreamKind,
        address: Option<SocketAddr>,
    ) -> anyhow::Result<Self> {
        let address = address.unwrap_or(ANY_PORT);
        let programs = match placement {
            Placement::InProcess => return start_in_process(kind, address).await,
            Placement::Processes { directory } => directory,
        };
        match kind {
            UpstreamKind::Engine(options) => {
                let role = [("role", role_name(options.role))];
                let numeric_options = engine_options(options);
                let program = programs.join("engine");
                start_process(&program, address, &role, &numeric_options, directory, name).await
            }
            UpstreamKind::Service { work_ms } => {
                let numeric_options = [("work-ms", *work_ms)];
                let program = programs.join("service");
                start_process(&program, address, &[], &numeric_options, directory, name).await
            }
        }
    }
}

/// A stand-in with an optional relay, over which nodes connect to it.
pub struct RelayedServer {
    /// The stand-in.
    pub stand_in: FakeServer,
    relay: Option<Relay>,
}

impl RelayedServer {
    /// Starts a relay to the stand-in if `with_relay` is true.
    pub async fn new(stand_in: FakeServer, with_relay: bool) -> anyhow::Result<Self> {
        let relay = match with_relay {
            true => Some(Relay::start(stand_in.address()).await?),
            false => None,
        };
        Ok(Self { stand_in, relay })
    }

    /// Returns the address for nodes: that of the relay if there is one, else that of the stand-in.
    pub fn address(&self) -> SocketAddr {
        match &self.relay {
            Some(relay) => relay.address(),
            None => self.stand_in.address(),
        }
    }

    /// Silences all open connections permanently. Does nothing without a relay.
    pub fn silence_open_connections(&self) {
        if let Some(relay) = &self.relay {
            relay.silence_open_connections();
        }
    }
}

async fn start_in_process(kind: &UpstreamKind, address: SocketAddr) -> anyhow::Result<FakeServer> {
    let crash = Crash::stop_server();
    let server = match kind {
        UpstreamKind::Engine(options) => {
            let options = EngineOptions {
                address,
                ..options.clone()
            };
            Engine::start(options, crash).await?
        }
        UpstreamKind::Service { work_ms } => {
            let options = ServiceOptions {
                address,
                work_ms: *work_ms,
            };
            Service::start(options, crash).await?
        }
    };
    Ok(FakeServer::Server(server))
}

async fn start_process(
    program: &Path,
    address: SocketAddr,
    text_options: &[(&str, &str)],
    numeric_options: &[(&str, u64)],
    directory: &Path,
    name: &str,
) -> anyhow::Result<FakeServer> {
    let mut arguments = vec![format!("--address={address}")];
    arguments.extend(
        text_options
            .iter()
            .map(|(key, value)| format!("--{key}={value}")),
    );
    arguments.extend(
        numeric_options
            .iter()
            .map(|(key, value)| format!("--{key}={value}")),
    );
    let log = directory.join(format!("{name}.log"));
    let (process, address) = Process::start_stand_in(program, &arguments, log).await?;
    Ok(FakeServer::Process {
        process: Box::new(process),
        address,
    })
}

fn role_name(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
        EngineRole::Both => "both",
    }
}

fn engine_options(options: &EngineOptions) -> [(&'static str, u64); 13] {
    [
        ("max-sequences", options.max_sequences.into()),
        ("max-pieces", options.max_pieces.into()),
        ("tokens-per-piece", options.tokens_per_piece.into()),
        ("prefill-tokens-per-s", options.prefill_tokens_per_s),
        ("token-gap-us", options.token_gap_us),
        (
            "token-gap-per-sequence-us",
            options.token_gap_per_sequence_us,
        ),
        ("prefill-ttl-ms", options.prefill_ttl_ms),
        ("bytes-per-piece", options.bytes_per_piece),
        ("link-bytes-per-s", options.link_bytes_per_s),
        ("load-interval-ms", options.load_interval_ms),
        ("cache-lag-ms", options.cache_lag_ms),
        ("cache-loss-percent", options.cache_loss_percent.into()),
        ("seed", options.seed),
    ]
}
