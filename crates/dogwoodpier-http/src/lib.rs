//! HTTP/1 connections to the platform and to upstreams.
//!
//! A [`Pool`] keeps connections to one address. It tells a request that can't have been sent from
//! one that may have run, never sends a request twice, and drops its connections once one of them
//! goes silent, since others opened in the same time may have gone silent with it.

#![forbid(unsafe_code)]

pub mod answer;
pub mod connections;
pub mod error;
pub mod pool;

pub use answer::StreamingResponse;
pub use connections::ConnectionReturn;
pub use connections::Connections;
pub use connections::Destination;
pub use connections::Reply;
pub use connections::accepts_connections;
pub use error::BodyError;
pub use error::SendError;
pub use pool::Pool;
pub use pool::PoolOptions;
