//! The request pipeline: a row of filters, one file each.
//!
//! `accept → authenticate → quarantine → admit → queue → reserve → prefill → transfer → decode →
//! respond`; a request to a plain service goes from `admit` to `forward` to `respond`.
//!
//! `accept` reads the head of a request before and its body after `authenticate`, so that bodies
//! without a valid key take no memory. `model` drives the engine filters, once for each attempt.

pub mod accept;
pub mod admit;
pub mod authenticate;
pub mod body;
pub mod decode;
pub mod dispatch;
pub mod forward;
pub mod model;
pub mod model_call;
pub mod prefill;
pub mod queue;
pub mod request;
pub mod reserve;
pub mod respond;
pub mod secrets;
pub mod serve;
pub mod sse;
pub mod transfer;

pub use request::Request;
