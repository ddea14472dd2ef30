//! Turns of suspects, which are requested from and granted by one node for the whole fleet.

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

/// Time between two requests that renew a turn.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
// Time after which a turn that was not renewed goes to the next request.
const TURN_TTL_MS: u64 = 5_000;

/// Requests or renews a turn, and records the crash reports in the reply. Returns whether the turn
/// is granted.
pub async fn request(
    node: &SharedNode,
    fingerprint: u64,
    turn: ExclusiveRun,
    turn_id: u64,
) -> bool {
    let reply = send(node, fingerprint, turn, turn_id, false).await;
    node.quarantine.record_reports(&reply.crashes, clock::now());
    reply.granted
}

/// Releases a turn, and reports the crashes of the request with it.
pub async fn release(node: SharedNode, fingerprint: u64, turn: ExclusiveRun, turn_id: u64) {
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
        return node.quarantine.handle_turn_request(&request, now);
    };
    let reply = node
        .peers
        .transport()
        .call(
            "take_turn",
            &coordinator.peer_address,
            request.clone(),
            |mut client, request| async move { client.take_turn(request).await },
        )
        .await;
    // A node that can't reach the turn's coordinator grants the turn itself, which then excludes
    // only its own suspects.
    reply.unwrap_or_else(|_| node.quarantine.handle_turn_request(&request, clock::now()))
}

// Returns the node that grants a turn, or `None` if it is this one.
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
    /// Grants, renews or releases a turn as the turn's coordinator, and exchanges crash reports of
    /// the request.
    pub fn handle_turn_request(&self, request: &TurnRequest, now: TimeMs) -> TurnReply {
        self.record_reports(&request.crashes, now);
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
            false => turns.acquire(turn, request.turn_id, TURN_TTL_MS, now),
        };
        drop(turns);
        TurnReply {
            granted,
            crashes: self.reports_of(request.fingerprint, now),
        }
    }
}
