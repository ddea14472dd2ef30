//! Permits to run a request.

use tokio::task::JoinHandle;

use dogwoodpier_core::quarantine::ExclusiveRun;

use crate::state::SharedNode;

use super::crash_id;
use super::turn;
use super::turn::RENEW_INTERVAL;

/// Permit to run one request now. Dropping it releases the request's turn, if it has one.
#[derive(Default)]
pub struct RunPermit {
    entry: Option<Entry>,
    crashed: bool,
}

struct Entry {
    node: SharedNode,
    fingerprint: u64,
    turn_id: u64,
    requested: Option<ExclusiveRun>,
    granted: bool,
    renewal: Option<JoinHandle<()>>,
}

impl RunPermit {
    /// Creates the permit of a request without a turn.
    pub(super) fn new(node: &SharedNode, fingerprint: u64) -> Self {
        Self {
            entry: Some(Entry {
                node: node.clone(),
                fingerprint,
                turn_id: rand::random(),
                requested: None,
                granted: false,
                renewal: None,
            }),
            crashed: false,
        }
    }

    /// Records that an upstream crashed while it ran the request, and waits until the peers have
    /// answered the report or their calls have timed out. `upstream_start` distinguishes crashes of
    /// one upstream.
    pub async fn record_crash(&mut self, upstream: &str, upstream_start: u64) {
        self.crashed = true;
        if let Some(entry) = &self.entry {
            let alone = entry.granted && entry.requested == Some(ExclusiveRun::Alone);
            let id = crash_id(upstream, entry.node.incarnation, upstream_start);
            let quarantine = &entry.node.quarantine;
            quarantine
                .record_crash(&entry.node, entry.fingerprint, alone, id)
                .await;
        }
    }

    /// Returns whether an upstream crashed while it ran the request.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Returns whether the granted turn is the one that the request needs; `None` stands for no
    /// turn.
    pub(super) fn matches(&self, wanted: Option<ExclusiveRun>) -> bool {
        let turn = self
            .entry
            .as_ref()
            .and_then(|entry| entry.requested.filter(|_| entry.granted));
        turn == wanted
    }

    /// Requests a turn, and releases another one that was requested before. Returns whether the
    /// turn is granted.
    pub(super) async fn acquire_turn(&mut self, wanted: ExclusiveRun) -> bool {
        let Some(entry) = &mut self.entry else {
            return false;
        };
        if entry.requested != Some(wanted) {
            entry.release();
        }
        entry.requested = Some(wanted);
        entry.granted = turn::request(&entry.node, entry.fingerprint, wanted, entry.turn_id).await;
        if entry.granted && entry.renewal.is_none() {
            entry.renewal = Some(tokio::spawn(renew(
                entry.node.clone(),
                entry.fingerprint,
                wanted,
                entry.turn_id,
            )));
        }
        entry.granted
    }
}

impl Entry {
    fn release(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        if let Some(requested) = self.requested.take() {
            let (node, turn_id) = (self.node.clone(), self.turn_id);
            tokio::spawn(turn::release(node, self.fingerprint, requested, turn_id));
        }
        self.granted = false;
        self.turn_id = rand::random();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.release();
    }
}

// Renews a turn until the task is aborted.
async fn renew(node: SharedNode, fingerprint: u64, wanted: ExclusiveRun, turn_id: u64) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        turn::request(&node, fingerprint, wanted, turn_id).await;
    }
}
