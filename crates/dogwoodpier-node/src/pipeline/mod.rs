//! The request pipeline: a sequence of filters, one per module.
//!
//! `accept → authenticate → quarantine → admit → queue → reserve → prefill → transfer → decode →
//! respond`; a request to a plain service goes from `admit` to `forward` to `respond`.
//!
//! `serve` runs a request through the filters. `accept` parses its head before `authenticate`, and
//! `body` reads its body afterwards, so that requests without a valid key take no memory for
//! bodies. `model` runs the engine filters, once for each attempt.

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
