//! Declarations of workspaces, keys, pools and routes.
//!
//! Operators write declarations in TOML: defaults, and exceptions that each carry a reason. Valid
//! declarations resolve to [`EffectiveConfig`], the form that nodes apply. The platform stores them as
//! parts named by content hash, and one root that lists the parts, see [`storage`].

#![forbid(unsafe_code)]

pub mod check;
pub mod declarations;
pub mod diff;
pub mod effective;
pub mod keys;
pub mod parse;
pub mod problem;
pub mod reader;
pub mod resolve;
pub mod settings;
pub mod storage;

pub use declarations::Declarations;
pub use effective::EffectiveConfig;
pub use problem::Finding;
pub use problem::Problem;
pub use problem::Problems;
