//! Messages between the nodes of a fleet.
//!
//! The code in `generated` is made from `proto/peer.proto` by the test `generated_code`, which
//! also fails when the two differ. Run it with `UPDATE_GENERATED=1` after a change.

#![forbid(unsafe_code)]

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
mod generated;

pub use generated::*;
