//! Admission of requests during shutdown.
//!
//! Load pattern: instances are stopped one after another while clients keep connections open, and a
//! load balancer with few other instances continues to send new connections. A request is accepted
//! if it can be expected to end before the process exits. Any other request is refused before it
//! has run, so that it can safely be sent again.

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::routes::Route;

/// Schedule of a shutdown.
#[plain]
#[derive(Copy, Eq)]
pub struct Shutdown {
    /// Time by which the load balancer has noticed the shutdown.
    pub notice_deadline_ms: TimeMs,
    /// Time at which the process exits.
    pub exit_ms: TimeMs,
}

impl Shutdown {
    /// Returns whether a request of `route` that arrives at `now` is accepted.
    pub fn accepts(&self, route: &Route, now: TimeMs) -> bool {
        if now < self.notice_deadline_ms {
            return true;
        }
        // The duration of a stream is unknown, as it lasts until its engine has generated the whole
        // answer. Other requests end at their timeout at the latest.
        !route.retry_policy.is_stream() && now.after(route.timeout_ms) <= self.exit_ms
    }
}
