//! Reserves a decode sequence and KV pieces, at the engine's coordinator and at the engine.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_proto::ReserveReply;
use dogwoodpier_proto::ReserveRequest;
use dogwoodpier_proto::ReserveVerdict;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::wire;

use crate::clock;
use crate::coordinator::coordinator_of;
use crate::state::SharedNode;
use crate::upstreams::Engine;
use crate::upstreams::Hold;

/// What a request needs of a decode engine.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Pool of decode engines.
    pub pool: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Share of the workspace in a full queue.
    pub weight: u32,
    /// Room at the engine.
    pub room: EngineCapacity,
    /// Service that the request will get.
    pub cost_tokens: u64,
    /// Time after which a reservation is of no use.
    pub deadline_ms: TimeMs,
}

/// A reservation at a decode engine. Dropping it cancels it.
pub struct Seat {
    /// Engine.
    pub engine: Engine,
    /// Tag of the reservation.
    pub hold: Hold,
}

/// Asks an engine's coordinator for a reservation, and lets it keep the request in its queue for
/// `wait_ms`. A coordinator that can't be reached is passed over: the engine decides.
pub async fn ask_coordinator(
    node: &SharedNode,
    engine: &Arc<str>,
    wanted: &Wanted,
    hold: &mut Hold,
    wait_ms: u64,
) -> ReserveReply {
    hold.add_coordinator(engine);
    let now = clock::now();
    let request = ReserveRequest {
        sender: Some(node.info()),
        engine: engine.to_string(),
        hold: hold.tag().to_string(),
        workspace: wanted.workspace.to_string(),
        sequences: wanted.room.sequences,
        pieces: wanted.room.pieces,
        deadline_in_ms: wanted.deadline_ms.remaining(now),
        weight: wanted.weight,
        cost_tokens: wanted.cost_tokens,
        wait_ms,
    };
    let Some(coordinator) = coordinator_of(node, engine) else {
        let reply = node.coordinator.reserve(node, request).await;
        note(node, engine, &reply);
        return reply;
    };
    let answer = node
        .peers
        .transport()
        .call(
            "reserve",
            &coordinator.peer_address,
            request,
            |mut client, request| async move { client.reserve(request).await },
        )
        .await;
    match answer {
        Ok(reply) => {
            note(node, engine, &reply);
            reply
        }
        Err(_) => ReserveReply {
            verdict: ReserveVerdict::Reserved.into(),
            ..ReserveReply::default()
        },
    }
}

/// Reserves the room at the engine itself. Returns false if it is full.
pub async fn take_room(
    node: &SharedNode,
    engine: &Engine,
    room: EngineCapacity,
    hold: &mut Hold,
) -> Result<bool, EngineError> {
    hold.add_engine(&engine.name);
    let request = wire::ReserveRequest {
        hold: hold.tag().clone(),
        sequences: room.sequences,
        pieces: room.pieces,
    };
    match engine.client.reserve(&request).await {
        Ok(()) => Ok(true),
        Err(EngineError::Busy(busy)) => {
            hold.remove_engine(&engine.name);
            let free = EngineCapacity {
                sequences: busy.free_sequences,
                pieces: busy.free_pieces,
            };
            node.upstreams
                .update_free_capacity(&engine.name, free, 0, clock::now());
            Ok(false)
        }
        Err(error) => Err(error),
    }
}

fn note(node: &SharedNode, engine: &str, reply: &ReserveReply) {
    // A reply without a book behind it tells nothing.
    if node.upstreams.capacity(engine).is_some() {
        let free = EngineCapacity {
            sequences: reply.free_sequences,
            pieces: reply.free_pieces,
        };
        node.upstreams
            .update_free_capacity(engine, free, reply.wait_ms, clock::now());
    }
}
