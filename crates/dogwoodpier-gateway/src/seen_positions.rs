//! How far this instance and its peers have followed the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use dogwoodpier_core::gateway::store_position::StorePosition;

// Time within which a change that one instance has seen reaches the others, unless their watch is
// dead.
const PEERS_AHEAD_TIMEOUT: Duration = Duration::from_millis(400);

/// Positions of the store up to which changes of one kind have been seen.
#[derive(Debug)]
struct SeenPosition {
    own: StorePosition,
    peers: watch::Sender<StorePosition>,
}

/// Positions of the store that this instance and its peers have seen, by kind.
#[derive(Debug, Default)]
pub struct SeenPositions {
    kinds: Mutex<BTreeMap<Arc<str>, SeenPosition>>,
}

impl SeenPositions {
    /// Records the position that a peer has seen.
    pub fn record_peer(&self, kind: &str, position: StorePosition) {
        if let Some(seen) = self.lock().get(kind) {
            seen.peers.send_if_modified(|known| {
                let newer = position > *known;
                *known = position.max(*known);
                newer
            });
        }
    }

    /// Returns the positions up to which this instance has seen changes, by kind.
    pub fn own(&self) -> BTreeMap<Arc<str>, StorePosition> {
        let kinds = self.lock();
        kinds
            .iter()
            .map(|(kind, seen)| (kind.clone(), seen.own))
            .collect()
    }

    /// Records the position that this instance has seen.
    pub fn record_own(&self, kind: &str, position: StorePosition) {
        let mut kinds = self.lock();
        let seen = kinds.entry(kind.into()).or_insert_with(|| SeenPosition {
            own: StorePosition::default(),
            peers: watch::Sender::new(StorePosition::default()),
        });
        seen.own = seen.own.max(position);
    }

    /// Waits until peers have been ahead of `position` for longer than a change takes to arrive.
    pub async fn peers_ahead(&self, kind: &str, position: StorePosition) {
        let receiver = self.lock().get(kind).map(|seen| seen.peers.subscribe());
        let Some(mut receiver) = receiver else {
            return std::future::pending().await;
        };
        if receiver.wait_for(|known| *known > position).await.is_err() {
            return std::future::pending().await;
        }
        tokio::time::sleep(PEERS_AHEAD_TIMEOUT).await;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, SeenPosition>> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
