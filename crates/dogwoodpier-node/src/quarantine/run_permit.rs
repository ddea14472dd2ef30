//! The right of one request to run now.

use tokio::task::JoinHandle;

use dogwoodpier_core::quarantine::ExclusiveRun;

use crate::state::SharedNode;

use super::crash_id;
use super::turn;
use super::turn::RENEW_INTERVAL;

/// The right of one request to run now. Dropping it gives the turn back, if it has one.
#[derive(Default)]
pub struct RunPermit {
    entry: Option<Entry>,
    crashed: bool,
}

struct Entry {
    node: SharedNode,
    fingerprint: u64,
    turn_id: u64,
    asked: Option<ExclusiveRun>,
    granted: bool,
    renewal: Option<JoinHandle<()>>,
}

impl RunPermit {
    /// Returns the permit of a request without a turn.
    pub(super) fn new(node: &SharedNode, fingerprint: u64) -> Self {
        Self {
            entry: Some(Entry {
                node: node.clone(),
                fingerprint,
                turn_id: rand::random(),
                asked: None,
                granted: false,
                renewal: None,
            }),
            crashed: false,
        }
    }

    /// Records that an upstream crashed while it ran the request, and waits until the peers know.
    /// `upstream_start` tells crashes of one upstream apart.
    pub async fn crashed(&mut self, upstream: &str, upstream_start: u64) {
        self.crashed = true;
        if let Some(entry) = &self.entry {
            let alone = entry.granted && entry.asked == Some(ExclusiveRun::Alone);
            let id = crash_id(upstream, entry.node.incarnation, upstream_start);
            let quarantine = &entry.node.quarantine;
            quarantine
                .crashed(&entry.node, entry.fingerprint, alone, id)
                .await;
        }
    }

    /// Returns whether an upstream crashed while it ran the request.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Returns whether this is all that a request needs that must have a turn, or none.
    pub(super) fn has(&self, wanted: Option<ExclusiveRun>) -> bool {
        let turn = self
            .entry
            .as_ref()
            .and_then(|entry| entry.asked.filter(|_| entry.granted));
        turn == wanted
    }

    /// Asks for a turn, in place of another one. Returns whether it is granted.
    pub(super) async fn ask(&mut self, wanted: ExclusiveRun) -> bool {
        let Some(entry) = &mut self.entry else {
            return false;
        };
        if entry.asked != Some(wanted) {
            entry.give_back();
        }
        entry.asked = Some(wanted);
        entry.granted = turn::ask(&entry.node, entry.fingerprint, wanted, entry.turn_id).await;
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
    fn give_back(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        if let Some(asked) = self.asked.take() {
            let (node, turn_id) = (self.node.clone(), self.turn_id);
            tokio::spawn(turn::leave(node, self.fingerprint, asked, turn_id));
        }
        self.granted = false;
        self.turn_id = rand::random();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.give_back();
    }
}

async fn renew(node: SharedNode, fingerprint: u64, wanted: ExclusiveRun, turn_id: u64) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        turn::ask(&node, fingerprint, wanted, turn_id).await;
    }
}
