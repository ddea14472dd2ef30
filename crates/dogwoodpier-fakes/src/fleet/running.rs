//! A running fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tempfile::TempDir;

use dogwoodpier_config::Declarations;
use dogwoodpier_ctl::apply;
use dogwoodpier_ctl::store;
use dogwoodpier_platform::Client;
use dogwoodpier_platform::ClientOptions;
use dogwoodpier_platform::wire::Instance;
use dogwoodpier_platform::wire::InstanceList;
use dogwoodpier_platform::wire::InstanceRole;
use dogwoodpier_platform::wire::InstanceState;

use crate::control;
use crate::engine::EngineRole;
use crate::fleet::node::NodeProcess;
use crate::fleet::plan::FleetPlan;
use crate::fleet::plan::NodePlan;
use crate::fleet::plan::Placement;
use crate::fleet::plan::UpstreamKind;
use crate::fleet::plan::UpstreamPlan;
use crate::fleet::upstream::FakeServer;
use crate::fleet::upstream::RelayedServer;

const PLATFORM_TIMEOUT_MS: u64 = 5_000;
const MAX_RESTART_RETRIES: u32 = 200;
const RESTART_RETRY_INTERVAL: Duration = Duration::from_millis(10);
const DECLARATIONS_FILE: &str = "declarations.toml";

/// A running fleet. All of its processes and servers are stopped when it is dropped.
pub struct Fleet {
    plan: FleetPlan,
    platform: RelayedServer,
    client: Client,
    upstreams: BTreeMap<String, RunningUpstream>,
    nodes: BTreeMap<String, NodeProcess>,
    instances: BTreeMap<Arc<str>, Instance>,
    directory: TempDir,
}

struct RunningUpstream {
    plan: UpstreamPlan,
    server: RelayedServer,
}

impl Fleet {
    /// Starts the platform, applies the declarations, starts the upstreams and the nodes, and waits
    /// until all nodes are ready and list all upstreams as healthy.
    pub async fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let directory = TempDir::new()?;
        let platform =
            FakeServer::platform(&plan.placement, directory.path(), plan.instances_lag_ms).await?;
        let platform = RelayedServer::new(platform, plan.relays).await?;
        let client = Client::new(ClientOptions {
            address: platform.stand_in.address(),
            timeout_ms: PLATFORM_TIMEOUT_MS,
        });
        let mut fleet = Self {
            plan: plan.clone(),
            platform,
            client,
            upstreams: BTreeMap::new(),
            nodes: BTreeMap::new(),
            instances: BTreeMap::new(),
            directory,
        };
        fleet
            .declare(&plan.declarations, "first declarations")
            .await?;
        for upstream in &plan.upstreams {
            fleet.start_upstream(upstream).await?;
        }
        for node in &plan.nodes {
            fleet.start_node(node).await?;
        }
        fleet.publish_instances().await?;
        for node in fleet.nodes.values() {
            fleet.wait_in_service(node).await?;
        }
        Ok(fleet)
    }

    /// Returns a client of the platform.
    pub fn platform(&self) -> &Client {
        &self.client
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.stand_in.address()
    }

    /// Silences all open connections of nodes to the platform and the upstreams permanently: they
    /// stay open, but all bytes are discarded. New connections work. Does nothing without
    /// [`FleetPlan::relays`].
    pub fn silence_open_connections(&self) {
        self.platform.silence_open_connections();
        for upstream in self.upstreams.values() {
            upstream.server.silence_open_connections();
        }
    }

    /// Replaces the faults that the platform injects.
    pub async fn set_platform_faults<T>(&self, faults: &T) -> anyhow::Result<()>
    where
        T: Serialize,
    {
        Ok(control::set_faults(self.platform_address(), faults).await?)
    }

    /// Returns the number of calls that the platform received, by operation.
    pub async fn platform_calls(&self) -> anyhow::Result<BTreeMap<String, u64>> {
        Ok(control::get(self.platform_address(), "/control/stats").await?)
    }

    /// Replaces the current declarations, whatever their version, and returns the new version.
    pub async fn declare(&self, toml: &str, message: &str) -> anyhow::Result<u64> {
        let declarations = parse_declarations(toml)?;
        let current = store::read_current(&self.client).await?;
        let order = apply::ApplyRequest {
            declarations,
            expect_version: current.map_or(0, |current| current.root.generation),
            message: message.into(),
            author: "fleet".into(),
        };
        match apply::apply(&self.client, &order).await? {
            apply::Outcome::Applied { version, .. } | apply::Outcome::Same { version } => {
                Ok(version)
            }
        }
    }

    /// Returns the nodes by name.
    pub fn nodes(&self) -> &BTreeMap<String, NodeProcess> {
        &self.nodes
    }

    /// Returns a node.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such node.
    pub fn node(&self, name: &str) -> &NodeProcess {
        self.nodes.get(name).expect("the fleet has this node")
    }

    /// Returns a mutable reference to a node, for example to kill or restart it.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such node.
    pub fn node_mut(&mut self, name: &str) -> &mut NodeProcess {
        self.nodes.get_mut(name).expect("the fleet has this node")
    }

    /// Starts another node, adds it to the platform's instance list, and waits until it is ready
    /// and lists all upstreams as healthy.
    pub async fn add_node(&mut self, plan: &NodePlan) -> anyhow::Result<()> {
        self.start_node(plan).await?;
        self.publish_instances().await?;
        self.wait_in_service(self.node(&plan.name)).await
    }

    /// Starts another upstream and adds it to the platform's instance list.
    pub async fn add_upstream(&mut self, plan: &UpstreamPlan) -> anyhow::Result<()> {
        self.start_upstream(plan).await?;
        self.publish_instances().await
    }

    /// Returns the names of the upstreams of a pool.
    pub fn pool(&self, pool: &str) -> Vec<String> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.plan.pool == pool)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the address of an upstream.
    pub fn upstream_address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        Ok(self.upstream(name)?.server.stand_in.address())
    }

    /// Replaces the faults that an upstream injects.
    pub async fn set_faults<T>(&self, name: &str, faults: &T) -> anyhow::Result<()>
    where
        T: Serialize,
    {
        Ok(control::set_faults(self.upstream_address(name)?, faults).await?)
    }

    /// Returns the counters of an upstream from its `/control/stats`.
    pub async fn stats<T>(&self, name: &str) -> anyhow::Result<T>
    where
        T: DeserializeOwned,
    {
        Ok(control::get(self.upstream_address(name)?, "/control/stats").await?)
    }

    /// Returns the requests that an upstream recorded.
    pub async fn seen(&self, name: &str) -> anyhow::Result<Vec<crate::seen::SeenRequest>> {
        Ok(control::get(self.upstream_address(name)?, "/control/seen").await?)
    }

    /// Kills an upstream without a graceful shutdown. It stays on the platform's instance list.
    pub async fn kill_upstream(&mut self, name: &str) -> anyhow::Result<()> {
        let upstream = self.upstreams.get_mut(name).context("no such upstream")?;
        upstream.server.stand_in.kill().await
    }

    /// Restarts an upstream at the same address.
    pub async fn restart_upstream(&mut self, name: &str) -> anyhow::Result<()> {
        let upstream = self.upstreams.get_mut(name).context("no such upstream")?;
        upstream.server.stand_in.kill().await?;
        let address = Some(upstream.server.stand_in.address());
        let mut retries_left = MAX_RESTART_RETRIES;
        loop {
            let started = FakeServer::upstream(
                &self.plan.placement,
                self.directory.path(),
                name,
                &upstream.plan.kind,
                address,
            )
            .await;
            match started {
                Ok(stand_in) => {
                    upstream.server.stand_in = stand_in;
                    return Ok(());
                }
                Err(error) if retries_left == 0 => return Err(error),
                // A server in this process closes its listener asynchronously, so the address can
                // be in use for a short time.
                Err(_) => tokio::time::sleep(RESTART_RETRY_INTERVAL).await,
            }
            retries_left -= 1;
        }
    }

    /// Sets the state of an instance in the platform's instance list.
    pub async fn set_state(&mut self, name: &str, state: InstanceState) -> anyhow::Result<()> {
        let instance = self.instances.get_mut(name).context("no such instance")?;
        instance.state = state;
        self.publish_instances().await
    }

    /// Removes an instance from the platform's instance list.
    pub async fn unlist(&mut self, name: &str) -> anyhow::Result<()> {
        self.instances.remove(name);
        self.publish_instances().await
    }

    /// Waits until a node is ready and lists as many healthy upstreams as the fleet has.
    pub async fn wait_in_service(&self, node: &NodeProcess) -> anyhow::Result<()> {
        node.wait_ready().await?;
        node.wait_for("the node lists all upstreams as healthy", |dump| {
            let upstreams = dump["upstreams"]["upstreams"].as_array();
            let healthy_count = upstreams.map_or(0, |upstreams| {
                let is_healthy =
                    |upstream: &&Value| upstream["listed"] == true && upstream["healthy"] == true;
                upstreams.iter().filter(is_healthy).count()
            });
            healthy_count >= self.upstreams.len()
        })
        .await
    }

    fn upstream(&self, name: &str) -> anyhow::Result<&RunningUpstream> {
        self.upstreams.get(name).context("no such upstream")
    }

    async fn start_node(&mut self, plan: &NodePlan) -> anyhow::Result<()> {
        let node = NodeProcess::start(
            plan,
            &self.plan.node_program,
            self.directory.path(),
            self.platform.address(),
            self.plan.peer_delay_ms,
            &self.plan.node_settings,
        )
        .await?;
        self.add_instance(Instance {
            name: plan.name.as_str().into(),
            role: InstanceRole::Node,
            address: node.peer_address.to_string().into(),
            data_centre: plan.data_centre.as_str().into(),
            pool: "".into(),
            state: InstanceState::Live,
        });
        self.nodes.insert(plan.name.clone(), node);
        Ok(())
    }

    async fn start_upstream(&mut self, plan: &UpstreamPlan) -> anyhow::Result<()> {
        let placement: &Placement = &self.plan.placement;
        let directory = self.directory.path();
        let stand_in =
            FakeServer::upstream(placement, directory, &plan.name, &plan.kind, None).await?;
        let server = RelayedServer::new(stand_in, self.plan.relays).await?;
        self.add_instance(Instance {
            name: plan.name.as_str().into(),
            role: instance_role(&plan.kind),
            address: server.address().to_string().into(),
            data_centre: plan.data_centre.as_str().into(),
            pool: plan.pool.as_str().into(),
            state: InstanceState::Live,
        });
        let upstream = RunningUpstream {
            plan: plan.clone(),
            server,
        };
        self.upstreams.insert(plan.name.clone(), upstream);
        Ok(())
    }

    fn add_instance(&mut self, instance: Instance) {
        self.instances.insert(instance.name.clone(), instance);
    }

    async fn publish_instances(&self) -> anyhow::Result<()> {
        let list = InstanceList {
            instances: self.instances.values().cloned().collect(),
        };
        let address = self.platform_address();
        control::put(address, Method::PUT, "/control/instances", &list).await?;
        Ok(())
    }
}

fn instance_role(kind: &UpstreamKind) -> InstanceRole {
    match kind {
        UpstreamKind::Engine(options) if options.role == EngineRole::Prefill => {
            InstanceRole::PrefillEngine
        }
        UpstreamKind::Engine(_) => InstanceRole::DecodeEngine,
        UpstreamKind::Service { .. } => InstanceRole::Service,
    }
}

fn parse_declarations(toml: &str) -> anyhow::Result<Declarations> {
    dogwoodpier_config::parse::parse(DECLARATIONS_FILE, toml)
        .map_err(|problems| anyhow::anyhow!("invalid declarations: {problems}"))
}
