//! Clients of model engines and plain services.
//!
//! One module a protocol: `engine` speaks to model engines, `service` to plain services. Both hide
//! HTTP behind typed messages, so that another wire form is one more module.

#![forbid(unsafe_code)]

pub mod engine;
pub mod headers;
pub mod prefix;
pub mod service;
pub mod sse;
pub mod wire;
