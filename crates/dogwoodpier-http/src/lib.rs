//! HTTP/1 connections to the platform and to upstreams.
//!
//! A [`Pool`] keeps connections to one address. It distinguishes requests that can't have been sent
//! from those that may have run, and never sends a request twice. If one connection stops
//! responding, the pool drops all of them, since others that were opened at the same time may have
//! stopped as well.

#![forbid(unsafe_code)]

pub mod connections;
pub mod error;
pub mod pool;
pub mod relay;
pub mod response;

pub use connections::ConnectionReturn;
pub use connections::Connections;
pub use connections::Destination;
pub use connections::Reply;
pub use connections::Witness;
pub use error::BodyError;
pub use error::SendError;
pub use pool::Pool;
pub use pool::PoolOptions;
pub use response::StreamingResponse;
