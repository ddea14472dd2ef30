//! Fake servers that stand in for the platform, model engines and plain services.
//!
//! Each stand-in is an HTTP server that runs inside a test or, as an example program, as a process
//! of its own. `POST /control/faults` injects faults, and `GET /control/stats` returns counters.
//! [`fleet`] starts real nodes together with the stand-ins that they need.

#![forbid(unsafe_code)]

pub mod caller;
pub mod control;
pub mod crash;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod options;
pub mod platform;
pub mod relay;
pub mod respond;
pub mod seen;
pub mod server;
pub mod service;
pub mod wait;
