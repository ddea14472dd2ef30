//! Graceful shutdown: counts requests in flight and refuses new ones once it has begun.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// Requests in flight and whether new ones are taken.
pub struct Drain {
    draining: AtomicBool,
    in_flight: watch::Sender<usize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            draining: AtomicBool::new(false),
            in_flight: watch::Sender::new(0),
        }
    }
}

impl Drain {
    /// Returns true once the shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Begins the shutdown. Readiness fails from now on, so that the balancer sends nothing new.
    pub fn begin(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Counts one more request in flight.
    pub fn enter(&self) {
        self.in_flight.send_modify(|count| *count += 1);
    }

    /// Counts one request less in flight.
    pub fn leave(&self) {
        self.in_flight.send_modify(|count| *count -= 1);
    }

    /// Waits until nothing is in flight.
    pub async fn wait_idle(&self) {
        let mut receiver = self.in_flight.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}
