//! Decision logic of dogwoodpier without I/O, clocks or threads.
//!
//! Every type here is a plain state machine. Callers pass the time in and carry out what a call
//! returns, so that tests can drive each decision in the same way as the node.

#![forbid(unsafe_code)]

pub mod claims;
pub mod delivery;
pub mod escrow;
pub mod fair_queue;
pub mod freshness;
pub mod gateway;
pub mod holds;
pub mod links;
pub mod quarantine;
pub mod refusal;
pub mod rendezvous;
pub mod reservations;
pub mod selection;
pub mod slots;
pub mod units;
pub mod versions;

pub use refusal::Execution;
pub use refusal::Refusal;
pub use refusal::RefusalReason;
pub use units::Pieces;
pub use units::TimeMs;
pub use units::Tokens;
pub use units::TokensPerSecond;
