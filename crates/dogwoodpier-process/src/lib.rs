//! Process-wide services of dogwoodpier's programs: clock, graceful shutdown, event log, supervised
//! tasks and metrics recorder.

#![forbid(unsafe_code)]

pub mod clock;
pub mod drain;
pub mod events;
pub mod recorder;
pub mod supervise;
