//! Quarantine of requests that crash the upstreams that run them.
//!
//! Each request that was in flight at an upstream when it crashed becomes a suspect. A suspect of
//! one crash may run again at once, but only one copy of it at a time in the whole fleet, so that
//! an ordinary failure of an engine delays no request. A suspect of two crashes runs alone: no
//! other suspect of two crashes runs at the same time anywhere. A third crash is therefore
//! attributed to this request, and it is quarantined.
//!
//! Load pattern of the gateway: the caller of a crashing request sends it again, with a new
//! identity and to another instance, and each repeat ends one more upstream. Its crashes are
//! counted over the fleet, and it is quarantined after a number of them with no answer in between.
//! The gateway uses no exclusive runs, because the callers of its suspects wait only for fractions
//! of a second. A request that is sent often, such as a lookup, meets ordinary crashes too, but is
//! answered in between.
//!
//! A part of a prompt may crash upstreams too, whatever else the requests with it hold. Such
//! requests have different fingerprints; [`PartTable`] finds the part.

mod exclusive_runs;
mod fingerprint;
mod prompt_parts;
mod suspects;
mod updates;

pub use exclusive_runs::ExclusiveRun;
pub use exclusive_runs::ExclusiveRuns;
pub use fingerprint::fingerprint;
pub use prompt_parts::PartAnswer;
pub use prompt_parts::PartCrash;
pub use prompt_parts::PartSettings;
pub use prompt_parts::PartTable;
pub use prompt_parts::QuarantinedParts;
pub use suspects::Crash;
pub use suspects::PROBE_MS;
pub use suspects::RunPolicy;
pub use suspects::SuspectSettings;
pub use suspects::SuspectTable;
pub use updates::SuspectUpdate;
