//! The node program of dogwoodpier.
//!
//! Each instance runs one node. A node passes callers' requests through the filters of `pipeline`
//! and coordinates the limits, claims and reservations that the filters use with its peers.

#![forbid(unsafe_code)]

pub mod claims;
pub mod cli;
pub mod config;
pub mod coordinator;
pub mod counters;
pub mod limits;
pub mod peers;
pub mod pipeline;
pub mod quarantine;
pub mod servers;
pub mod settings;
pub mod slots;
pub mod start;
pub mod state;
pub mod telemetry;
pub mod upstreams;

pub use dogwoodpier_process::clock;
pub use dogwoodpier_process::drain;

pub use settings::Settings;
pub use state::Node;
