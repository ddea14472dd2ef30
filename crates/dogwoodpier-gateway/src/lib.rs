//! The HTTP gateway of dogwoodpier.
//!
//! Forwards clients' requests to upstreams that operators declare in an object store or that
//! register themselves there. A [`Dialect`] supplies the names and formats of a deployment; the
//! decisions are made in `dogwoodpier_core::gateway`.

#![forbid(unsafe_code)]

pub mod admission;
pub mod body;
pub mod broker;
pub mod client_budget;
pub mod codec;
pub mod cold;
pub mod counters;
pub mod dialect;
pub mod dispatch;
pub mod engines;
mod evacuations;
pub mod forwarding;
pub mod greetings;
pub mod headers;
mod newer_configuration;
pub mod operators;
pub mod owners;
mod paths;
pub mod peer_messages;
pub mod pending;
pub mod permits;
pub mod plain;
pub mod plain_queue;
mod prefill;
pub mod prompt_parts;
mod quarantine;
pub mod queues;
pub mod quota;
pub mod readiness;
pub mod registry;
pub mod reject;
mod reload;
pub mod request;
pub mod seen_positions;
pub mod server;
pub mod settings;
pub mod sse;
pub mod start;
pub mod state;
pub mod store;
pub mod stream;
mod stream_origins;
pub mod traffic;
pub mod upstream_speeds;
mod witness;

pub use dialect::Dialect;
pub use settings::Settings;
