//! The request pipeline: a row of filters, one file each.
//!
//! `accept → authenticate → quarantine → admit → queue → reserve → prefill → transfer → decode →
//! respond`; a request to a plain service goes from `admit` to `forward` to `respond`.

pub mod forward;
pub mod request;

pub use request::Request;
