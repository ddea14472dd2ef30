//! Sends the reports that [`dogwoodpier_core::gateway::greetings`] decides on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;

use dogwoodpier_core::gateway::greetings::Greetings;

use crate::counters;
use crate::peer_messages;
use crate::peer_messages::Message;
use crate::state::SharedGateway;

// Reports that are sent in one go. Hundreds at once would overflow the receive buffer of an instance
// that many others answer at the same time.
const BATCH_SIZE: usize = 32;
// Time between two batches: a fleet of 550 instances is greeted within 100 ms.
const BATCH_PAUSE: Duration = Duration::from_millis(5);

/// The peers that are to be sent a report at once.
#[derive(Default)]
pub struct PeerGreetings {
    greetings: Mutex<Greetings<SocketAddr>>,
    needed: Notify,
}

impl PeerGreetings {
    /// Records that an incarnation of a peer is known, at an address. It is sent a report if this is
    /// news.
    pub fn record_peer(&self, instance: &Arc<str>, incarnation: u64, address: SocketAddr) {
        if self.lock().record_peer(instance, incarnation, address) {
            self.needed.notify_one();
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&self, instance: &str) {
        self.lock().forget(instance);
    }

    fn lock(&self) -> MutexGuard<'_, Greetings<SocketAddr>> {
        self.greetings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends reports to the peers that have just become known, for as long as the process lives.
pub async fn run(gateway: SharedGateway) {
    loop {
        let batch = gateway.greetings.lock().take(BATCH_SIZE);
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
