//! What every program of dogwoodpier needs of its process: a clock, a shutdown, an event log, tasks
//! that are started again, and a recorder of metrics.

#![forbid(unsafe_code)]

pub mod clock;
pub mod drain;
pub mod events;
pub mod recorder;
pub mod supervise;
