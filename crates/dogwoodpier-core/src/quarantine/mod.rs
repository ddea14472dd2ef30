//! Quarantine of requests that crash the upstreams that run them.
//!
//! A crash makes a suspect of each request that was in flight there. A suspect of one crash runs
//! again at once, but only one copy of it at a time in the whole fleet, so that an ordinary failure
//! of an engine delays nobody. A suspect of two crashes runs alone: no other such suspect runs at
//! the same time anywhere, so a third crash is its own, and it is quarantined.
//!
//! Load pattern of the gateway: the caller of such a request sends it again, with a new identity and
//! to another instance, and each repeat ends one more upstream. Its crashes are counted over the
//! fleet, and it is quarantined after a number of them with no answer in between. It takes no turns:
//! its suspects are requests whose callers wait for fractions of a second. A request that is sent
//! often, such as a lookup, meets ordinary crashes too, but is answered in between.

mod exclusive_runs;
mod fingerprint;
mod suspects;
mod updates;

pub use exclusive_runs::ExclusiveRun;
pub use exclusive_runs::ExclusiveRuns;
pub use fingerprint::fingerprint;
pub use suspects::Crash;
pub use suspects::PROBE_MS;
pub use suspects::RunPolicy;
pub use suspects::SuspectSettings;
pub use suspects::SuspectTable;
pub use updates::SuspectUpdate;
