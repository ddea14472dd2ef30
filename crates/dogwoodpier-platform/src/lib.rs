//! Client of the platform's object API.
//!
//! The API keeps small JSON objects by kind and name. Each write gets a version from one counter of
//! the whole store, updates can be conditional on a version, and a watch waits for changes.

#![forbid(unsafe_code)]

pub mod client;
pub mod wire;

pub use client::Client;
