//! Turns of suspects: asked of one node for the fleet, given out there.

use std::time::Duration;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::quarantine::ExclusiveRun;
use dogwoodpier_core::rendezvous;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::TurnReply;
use dogwoodpier_proto::TurnRequest;

use crate::clock;
use crate::state::SharedNode;

use super::Quarantine;
use super::lock;

/// Time between two asks that keep a turn.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
// Time after which a turn that was not asked for again goes to the next.
const KEEP_MS: u64 = 5_000;

/// Asks for a turn, or keeps it. Takes in what the node that gives out turns knows of the request.
pub async fn ask(node: &SharedNode, fingerprint: u64, turn: ExclusiveRun, turn_id: u64) -> bool {
    let reply = send(node, fingerprint, turn, turn_id, false).await;
    node.quarantine.take_reports(&reply.crashes, clock::now());
    reply.granted
}

/// Gives a turn back, and tells what has become of the request.
pub async fn leave(node: SharedNode, fingerprint: u64, turn: ExclusiveRun, turn_id: u64) {
    send(&node, fingerprint, turn, turn_id, true).await;
}

async fn send(
    node: &SharedNode,
    fingerprint: u64,
    turn: ExclusiveRun,
    turn_id: u64,
    done: bool,
) -> TurnReply {
    let now = clock::now();
    let request = TurnRequest {
        sender: Some(node.id()),
        fingerprint,
        turn_id,
        alone: turn == ExclusiveRun::Alone,
        done,
        crashes: node.quarantine.reports_of(fingerprint, now),
    };
    let Some(coordinator) = coordinator(node, turn, now) else {
        return node.quarantine.take_turn(&request, now);
    };
    let answer = node
        .peers
        .transport()
        .call(
            "take_turn",
            &coordinator.peer_address,
            request.clone(),
            |mut client, request| async move { client.take_turn(request).await },
        )
        .await;
    // A node that is cut off gives turns to its own suspects only.
    answer.unwrap_or_else(|_| node.quarantine.take_turn(&request, clock::now()))
}

// Returns the node that gives out a turn, or `None` if it is this one.
fn coordinator(node: &SharedNode, turn: ExclusiveRun, now: TimeMs) -> Option<NodeInfo> {
    let name = match turn {
        ExclusiveRun::OneCopy(fingerprint) => format!("turn-{fingerprint:016x}"),
        ExclusiveRun::Alone => "turn-alone".to_owned(),
    };
    let own = &*node.settings.instance;
    let peers = node.peers.alive(now);
    let instance = |peer: &NodeInfo| peer.id.clone().unwrap_or_default().instance;
    peers
        .into_iter()
        .max_by_key(|peer| rendezvous::weight(&name, &instance(peer)))
        .filter(|peer| rendezvous::weight(&name, &instance(peer)) > rendezvous::weight(&name, own))
}

impl Quarantine {
    /// Gives out turns to the suspects of the fleet.
    pub fn take_turn(&self, request: &TurnRequest, now: TimeMs) -> TurnReply {
        self.take_reports(&request.crashes, now);
        let turn = match request.alone {
            true => ExclusiveRun::Alone,
            false => ExclusiveRun::OneCopy(request.fingerprint),
        };
        let mut turns = lock(&self.turns);
        turns.expire(now);
        let granted = match request.done {
            true => {
                turns.release(turn, request.turn_id);
                false
            }
            false => turns.acquire(turn, request.turn_id, KEEP_MS, now),
        };
        drop(turns);
        TurnReply {
            granted,
            crashes: self.reports_of(request.fingerprint, now),
        }
    }
}
