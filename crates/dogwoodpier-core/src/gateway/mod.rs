//! Decisions of the gateway: routing, quotas, retries, placement and queueing.
//!
//! The gateway forwards HTTP requests to upstreams that an operator and a platform declare. This
//! module makes its decisions, without I/O; the `dogwoodpier-gateway` crate carries them out.

pub mod admission_window;
pub mod client_limits;
pub mod cold_upstreams;
pub mod cost;
pub mod cost_placement;
pub mod evacuations;
pub mod greetings;
pub mod memory_limit;
pub mod owners;
pub mod partition;
pub mod peer_reports;
pub mod permits;
pub mod placement;
pub mod plain_queue;
pub mod quota;
pub mod retries;
pub mod routes;
pub mod shutdown;
pub mod software_versions;
pub mod speed;
pub mod speed_samples;
pub mod store_position;
pub mod token_bucket;
pub mod upstream_limits;
pub mod upstreams;
pub mod wait_queue;
pub mod workspace_use;
