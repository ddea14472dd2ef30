//! Client of a model engine.

pub mod client;
pub mod error;
pub mod stream;

pub use client::EngineClient;
pub use client::EngineOptions;
pub use error::EngineError;
pub use stream::DecodeStream;
