//! Graceful shutdown: counts requests in flight and refuses new ones once it has begun.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

/// One request in flight. Dropping it ends the count.
pub struct InFlight {
    drain: Arc<Drain>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.drain.in_flight.send_modify(|count| *count -= 1);
    }
}

/// Requests in flight and whether new ones are taken.
pub struct Drain {
    draining: AtomicBool,
    refusing: AtomicBool,
    in_flight: watch::Sender<usize>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
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

    /// Begins to refuse new requests. Follows `begin` once the balancer had time to notice.
    pub fn reject_new(&self) {
        self.refusing.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        *self.in_flight.borrow()
    }

    /// Counts one more request in flight until the guard is dropped, or returns `None` if new
    /// requests are refused.
    pub fn admit(self: &Arc<Self>) -> Option<InFlight> {
        // Counts before it looks, so that `wait_idle` can't miss a request that gets in.
        self.in_flight.send_modify(|count| *count += 1);
        let guard = InFlight {
            drain: self.clone(),
        };
        (!self.refusing.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Waits until nothing is in flight, then refuses new requests. Those that got in meanwhile end
    /// before it returns.
    pub async fn close(&self) {
        self.wait_idle().await;
        self.reject_new();
        self.wait_idle().await;
    }

    /// Waits until nothing is in flight.
    pub async fn wait_idle(&self) {
        let mut receiver = self.in_flight.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}
