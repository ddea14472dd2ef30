//! Stand-in for a model engine with continuous batching. It takes real time for its computations.

pub mod api;
pub mod cache;
pub mod decode;
pub mod faults;
pub mod options;
pub mod prefill;
pub mod report;
pub mod state;
pub mod text;
pub mod transfer;

pub use api::Engine;
pub use faults::EngineFaults;
pub use options::EngineOptions;
pub use options::EngineRole;
pub use report::EngineStats;
