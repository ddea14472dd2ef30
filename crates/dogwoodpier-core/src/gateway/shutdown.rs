//! Which requests a stopping instance still takes.
//!
//! Load pattern: instances are stopped in turn while clients keep connections open, and a balancer
//! that has few other instances goes on sending new ones. A request is taken as long as it can be
//! expected to end before the process does; any other is refused while it is known not to have run.

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::routes::Route;

/// The end of a process that was told to stop.
#[plain]
#[derive(Copy, Eq)]
pub struct Shutdown {
    /// Time by which the balancer has noticed.
    pub notice_deadline_ms: TimeMs,
    /// Time at which the process ends.
    pub exit_ms: TimeMs,
}

impl Shutdown {
    /// Returns whether a request that arrives now is taken.
    pub fn accepts(&self, route: &Route, now: TimeMs) -> bool {
        if now < self.notice_deadline_ms {
            return true;
        }
        // A stream lasts as long as its engine generates; other requests end with their timeout.
        !route.retry_policy.is_stream() && now.after(route.timeout_ms) <= self.exit_ms
    }
}
