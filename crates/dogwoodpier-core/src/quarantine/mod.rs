//! Quarantine of requests that crash the upstreams that run them.
//!
//! A crash makes a suspect of each request that was in flight there. A suspect of one crash runs
//! again at once, but only one copy of it at a time in the whole fleet, so that an ordinary failure
//! of an engine delays nobody. A suspect of two crashes runs alone: no other such suspect runs at
//! the same time anywhere, so a third crash is its own, and it is quarantined.

mod fingerprint;
mod suspects;
mod turns;

pub use fingerprint::fingerprint;
pub use suspects::Crash;
pub use suspects::Standing;
pub use suspects::SuspectSettings;
pub use suspects::SuspectTable;
pub use turns::Turn;
pub use turns::Turns;
