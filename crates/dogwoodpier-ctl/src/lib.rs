//! Library of `dogwoodpierctl`, the operators' command line tool of dogwoodpier.

#![forbid(unsafe_code)]

pub mod apply;
pub mod cli;
pub mod commands;
pub mod error;
pub mod explain;
pub mod garbage;
pub mod nodes;
pub mod store;

pub use error::Error;
pub use error::Result;
