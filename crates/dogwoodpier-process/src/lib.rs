//! What every program of dogwoodpier needs of its process: a clock, a shutdown and an event log.

#![forbid(unsafe_code)]

pub mod clock;
pub mod drain;
pub mod events;
