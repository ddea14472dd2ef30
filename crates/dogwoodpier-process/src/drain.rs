//! Graceful shutdown: counts the requests in flight and rejects new ones once it has begun.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// Guard that counts one request as in flight until it is dropped.
pub struct InFlight {
    drain: Arc<Drain>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.drain.in_flight.send_modify(|count| *count -= 1);
    }
}

/// Number of requests in flight, and whether new ones are accepted.
pub struct Drain {
    draining: AtomicBool,
    rejecting: AtomicBool,
    in_flight: watch::Sender<usize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            draining: AtomicBool::new(false),
            rejecting: AtomicBool::new(false),
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

    /// Begins to reject new requests. Called after `begin`, once the balancer has had time to notice.
    pub fn reject_new(&self) {
        self.rejecting.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Counts one more request in flight until the guard is dropped, or returns `None` if new
    /// requests are rejected.
    pub fn admit(self: &Arc<Self>) -> Option<InFlight> {
        // Counts the request before checking the flag, so that `wait_idle` can't miss an admitted one.
        self.in_flight.send_modify(|count| *count += 1);
        let guard = InFlight {
            drain: self.clone(),
        };
        (!self.rejecting.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Waits until no request is in flight, then rejects new ones. Requests that were admitted in
    /// between end before it returns.
    pub async fn close(&self) {
        self.wait_idle().await;
        self.reject_new();
        self.wait_idle().await;
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        let mut receiver = self.in_flight.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}
