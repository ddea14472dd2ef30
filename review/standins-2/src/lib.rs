//! Stand-ins of the store, runners and clients for the cases of the review, with blocking threads.

pub mod client;
pub mod configuration;
pub mod gateway;
pub mod http;
pub mod ordinary;
pub mod record;
pub mod runner;
pub mod store;
