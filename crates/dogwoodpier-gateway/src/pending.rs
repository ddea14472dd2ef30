//! Requests to owners that await an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

use crate::owners::ANSWER_TIMEOUT;
use crate::owners::MAX_UNANSWERED_REQUESTS;
use crate::peer_messages::Message;
use crate::state::Gateway;

/// Requests of this instance that await an answer of type `A`.
pub struct PendingRequests<A> {
    next_ticket: AtomicU64,
    pending: Mutex<BTreeMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for PendingRequests<A> {
    fn default() -> Self {
        Self {
            // Starts at a random number, as answers to an earlier process may still arrive.
            next_ticket: AtomicU64::new(rand::random()),
            pending: Mutex::default(),
        }
    }
}

impl<A> PendingRequests<A> {
    /// Sends a request to an owner and waits for the answer. `message` returns the request with a
    /// ticket. Returns `None` if the owner does not answer.
    pub async fn send<M>(&self, gateway: &Gateway, owner: SocketAddr, message: M) -> Option<A>
    where
        M: FnOnce(u64) -> Message,
    {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, mut answer) = oneshot::channel();
        self.lock().insert(ticket, sender);
        let _entry = PendingEntry {
            pending: self,
            ticket,
        };
        let message = message(ticket);
        for _ in 0..MAX_UNANSWERED_REQUESTS {
            gateway.send_message(owner, &message);
            match tokio::time::timeout(ANSWER_TIMEOUT, &mut answer).await {
                Ok(answer) => return answer.ok(),
                Err(_) => continue,
            }
        }
        None
    }

    /// Delivers an answer. Returns whether a request still awaited it.
    pub fn deliver(&self, ticket: u64, answer: A) -> bool {
        let sender = self.lock().remove(&ticket);
        sender.is_some_and(|sender| sender.send(answer).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<A>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// Removes a request that no longer awaits an answer.
struct PendingEntry<'a, A> {
    pending: &'a PendingRequests<A>,
    ticket: u64,
}

impl<A> Drop for PendingEntry<'_, A> {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.ticket);
    }
}
