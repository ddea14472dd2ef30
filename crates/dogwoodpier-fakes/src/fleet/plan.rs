//! Description of a fleet to start.

use std::path::PathBuf;

use dogwoodpier_derive::plain;

use crate::engine::EngineOptions;
use crate::engine::EngineRole;

/// Description of a fleet to start.
#[plain]
pub struct FleetPlan {
    /// Path of the `dogwoodpier` program.
    pub node_program: PathBuf,
    /// Where the stand-ins run.
    pub placement: Placement,
    /// Nodes.
    pub nodes: Vec<NodePlan>,
    /// Engines and plain services.
    pub upstreams: Vec<UpstreamPlan>,
    /// True if nodes connect to the platform and the upstreams over relays in this process, so that
    /// [`Fleet::silence_open_connections`](crate::fleet::Fleet::silence_open_connections) works.
    pub relays: bool,
    /// Delay of the bytes on connections between nodes, in both directions.
    pub peer_delay_ms: u64,
    /// Delay until a change of the instance list is published.
    pub instances_lag_ms: u64,
    /// Declarations in TOML.
    pub declarations: String,
    /// TOML that is appended to the settings of each node, for example a `[tuning]` table.
    pub node_settings: String,
}

/// Where stand-ins run.
#[plain]
pub enum Placement {
    /// Inside the process of the test.
    InProcess,
    /// As child processes.
    Processes {
        /// Directory with the example programs of this crate.
        directory: PathBuf,
    },
}

/// A node of a fleet.
#[plain]
pub struct NodePlan {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// TOML that is appended to the node's settings, after that of the fleet.
    pub settings: String,
}

/// An upstream of a fleet.
#[plain]
pub struct UpstreamPlan {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Pool.
    pub pool: String,
    /// Kind of upstream.
    pub kind: UpstreamKind,
}

/// Kind of an upstream.
#[plain]
pub enum UpstreamKind {
    /// A model engine. The fleet chooses its address and ignores the one in the options.
    Engine(EngineOptions),
    /// A plain service.
    Service {
        /// Duration of each call.
        work_ms: u64,
    },
}

impl FleetPlan {
    /// Returns a plan without upstreams, with nodes named `node-1`, `node-2` and so on, which are
    /// distributed over data centres in turn.
    pub fn new<P>(node_program: P, nodes: usize, data_centres: usize) -> Self
    where
        P: Into<PathBuf>,
    {
        let nodes = (0..nodes)
            .map(|number| NodePlan {
                name: format!("node-{}", number + 1),
                data_centre: format!("dc-{}", number % data_centres.max(1) + 1),
                settings: String::new(),
            })
            .collect();
        Self {
            node_program: node_program.into(),
            placement: Placement::InProcess,
            nodes,
            upstreams: Vec::new(),
            relays: false,
            peer_delay_ms: 0,
            instances_lag_ms: 200,
            declarations: String::new(),
            node_settings: String::new(),
        }
    }

    /// Adds an engine in the first data centre.
    pub fn engine(self, name: &str, pool: &str, options: EngineOptions) -> Self {
        self.upstream(name, pool, UpstreamKind::Engine(options))
    }

    /// Adds a plain service in the first data centre.
    pub fn service(self, name: &str, pool: &str) -> Self {
        self.upstream(name, pool, UpstreamKind::Service { work_ms: 0 })
    }

    fn upstream(mut self, name: &str, pool: &str, kind: UpstreamKind) -> Self {
        self.upstreams.push(UpstreamPlan {
            name: name.to_owned(),
            data_centre: "dc-1".to_owned(),
            pool: pool.to_owned(),
            kind,
        });
        self
    }
}

/// Declarations of the fleet that [`FleetPlan::example`] returns.
pub const EXAMPLE_DECLARATIONS: &str = include_str!("../../../../examples/declarations.toml");
/// A key of the example's workspace that may use the model.
pub const EXAMPLE_MODEL_KEY: &str = "sales-key";
/// A key of the example's workspace that may use the order service.
pub const EXAMPLE_ORDER_KEY: &str = "order-desk-key";

impl FleetPlan {
    /// Returns a plan for the example declarations: two data centres, a prefill engine, two
    /// decode engines and a plain service.
    pub fn example<P>(node_program: P, nodes: usize) -> Self
    where
        P: Into<PathBuf>,
    {
        let mut plan = Self::new(node_program, nodes, 2)
            .engine(
                "prefill-1",
                "quotes-prefill",
                EngineOptions::new(EngineRole::Prefill),
            )
            .engine(
                "decode-1",
                "quotes-decode",
                EngineOptions::new(EngineRole::Decode),
            )
            .engine(
                "decode-2",
                "quotes-decode",
                EngineOptions::new(EngineRole::Decode),
            )
            .service("orders-1", "order-service");
        plan.declarations = EXAMPLE_DECLARATIONS.to_owned();
        plan
    }
}
