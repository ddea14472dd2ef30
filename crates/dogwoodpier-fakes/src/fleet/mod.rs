//! A complete fleet on this host: real nodes as child processes, with stand-ins for the platform,
//! the engines and the services.

pub mod node;
pub mod plan;
pub mod ports;
pub mod process;
pub mod running;
pub mod upstream;

pub use node::NodeProcess;
pub use plan::EXAMPLE_DECLARATIONS;
pub use plan::EXAMPLE_MODEL_KEY;
pub use plan::EXAMPLE_ORDER_KEY;
pub use plan::FleetPlan;
pub use plan::NodePlan;
pub use plan::Placement;
pub use plan::UpstreamKind;
pub use plan::UpstreamPlan;
pub use running::Fleet;
