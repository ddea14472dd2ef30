//! Stand-in for the platform's object API.

pub mod api;
pub mod faults;
pub mod instances;
pub mod store;

pub use api::Platform;
pub use api::PlatformOptions;
pub use faults::PlatformFaults;
