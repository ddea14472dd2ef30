//! The operators' tool of dogwoodpier, as a library.

#![forbid(unsafe_code)]

pub mod apply;
pub mod cli;
pub mod collect;
pub mod commands;
pub mod error;
pub mod explain;
pub mod nodes;
pub mod store;

pub use error::Error;
pub use error::Result;
