//! Client of the platform's object API.
//!
//! The API stores small JSON objects by kind and name. Each write gets a version from a counter of
//! the whole store, writes can be conditional on a version, and a watch waits for changes.

#![forbid(unsafe_code)]

pub mod calls;
pub mod client;
pub mod error;
pub mod protocol;
pub mod resolve;
pub mod wire;

pub use calls::CallCount;
pub use calls::Operation;
pub use client::Client;
pub use client::ClientOptions;
pub use client::Precondition;
pub use client::PutOutcome;
pub use client::WatchOutcome;
pub use error::Error;
pub use error::Result;
pub use protocol::Call;
pub use protocol::Page;
pub use protocol::Protocol;
