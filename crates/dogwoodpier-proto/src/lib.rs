//! Messages between the nodes of a fleet.
//!
//! The test `generated_code` generates the code in `generated` from `proto/peer.proto` and fails if
//! the committed code differs. Run it with `UPDATE_GENERATED=1` after a change of the schema to
//! replace the committed code.

#![forbid(unsafe_code)]

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
mod generated;

pub use generated::*;
