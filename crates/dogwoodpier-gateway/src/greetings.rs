//! Reports that instances exchange as soon as they know of each other, without waiting for the next
//! heartbeat.
//!
//! Load pattern: all instances of a fleet start at once. An owner that has heard from few of them uses
//! a small part of each quota, and heartbeats of large fleets are seconds apart. An instance that reads
//! the registration of another incarnation therefore sends it a report at once, and one that receives the
//! first report of an incarnation answers with its own. Both are ordinary reports, so an instance of an
//! earlier build understands them. Each pair of incarnations exchanges them once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use crate::counters;
use crate::peer_messages;
use crate::peer_messages::Message;
use crate::state::SharedGateway;

// Reports that are sent in one go. Hundreds at once would overflow the receive buffer of an instance
// that many others answer at the same time.
const BATCH_SIZE: usize = 32;
// Time between two batches: a fleet of 550 instances is greeted within 100 ms.
const BATCH_PAUSE: Duration = Duration::from_millis(5);
// Incarnations of a peer that are remembered. While processes of two incarnations run under one name,
// their reports alternate; with a single one, two such pairs would answer each other without end.
const MAX_INCARNATIONS: usize = 4;

/// Which incarnations of peers have been sent a report, and which are to be sent one.
#[derive(Default)]
pub struct Greetings {
    inner: Mutex<Inner>,
    needed: Notify,
}

#[derive(Default)]
struct Inner {
    // Incarnations of each peer that were sent a report outside of heartbeats, the oldest first.
    greeted: BTreeMap<Arc<str>, Vec<u64>>,
    waiting: BTreeSet<SocketAddr>,
}

impl Greetings {
    /// Records that an incarnation of a peer is known, at an address. It is sent a report if this is
    /// news.
    pub fn record_peer(&self, instance: &Arc<str>, incarnation: u64, address: SocketAddr) {
        let mut inner = self.lock();
        let greeted = inner.greeted.entry(instance.clone()).or_default();
        if greeted.contains(&incarnation) {
            return;
        }
        if greeted.len() == MAX_INCARNATIONS {
            greeted.remove(0);
        }
        greeted.push(incarnation);
        inner.waiting.insert(address);
        self.needed.notify_one();
    }

    /// Forgets a peer that is gone.
    pub fn forget(&self, instance: &str) {
        self.lock().greeted.remove(instance);
    }

    fn take_batch(&self) -> Vec<SocketAddr> {
        let waiting = &mut self.lock().waiting;
        let batch: Vec<SocketAddr> = waiting.iter().copied().take(BATCH_SIZE).collect();
        for address in &batch {
            waiting.remove(address);
        }
        batch
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends reports to the peers that have just become known, for as long as the process lives.
pub async fn run(gateway: SharedGateway) {
    loop {
        let batch = gateway.greetings.take_batch();
        if batch.is_empty() {
            gateway.greetings.needed.notified().await;
            continue;
        }
        metrics::counter!(counters::GREETINGS_TOTAL).increment(batch.len() as u64);
        let message = Message::Report(peer_messages::build_report(&gateway));
        for address in batch {
            gateway.send_message(address, &message);
        }
        tokio::time::sleep(BATCH_PAUSE).await;
    }
}
