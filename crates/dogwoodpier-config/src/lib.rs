//! Declarations of workspaces, keys, pools and routes.
//!
//! Operators write declarations in TOML: defaults, and exceptions that each carry a reason. Checked
//! declarations resolve to [`Effective`], the form that nodes decide by.

#![forbid(unsafe_code)]

pub mod effective;

pub use effective::Effective;
