//! Clients of model engines and plain services.
//!
//! Each protocol has its own module: `engine` for model engines, `service` for plain services. Both
//! hide HTTP behind typed messages, so that another wire format can be added as a module.

#![forbid(unsafe_code)]

pub mod engine;
pub mod headers;
pub mod prefix;
pub mod service;
pub mod sse;
pub mod wire;
