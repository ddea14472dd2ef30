//! Decisions of the gateway: routing, quotas, retries, placement and waiting.
//!
//! The gateway forwards HTTP requests to upstreams that an operator and a platform declare. All
//! of its decisions stand here, without I/O; the `dogwoodpier-gateway` crate carries them out.

pub mod evacuations;
pub mod memory_limit;
pub mod owners;
pub mod peer_reports;
pub mod placement;
pub mod quota;
pub mod retries;
pub mod routes;
pub mod shutdown;
pub mod upstreams;
pub mod wait_queue;
