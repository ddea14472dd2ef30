//! HTTP servers of the node.

pub mod callers;
pub mod operators;
