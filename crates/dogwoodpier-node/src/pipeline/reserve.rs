//! Reserves a decode sequence and KV pieces, first at the engine's coordinator, then at the engine.

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

/// A request for capacity at a decode engine.
#[derive(Clone, Debug)]
pub struct ReservationRequest {
    /// Pool of decode engines.
    pub pool: Arc<str>,
    /// Workspace.
    pub workspace: Arc<str>,
    /// Weight of the workspace in the fair queue.
    pub weight: u32,
    /// Capacity required at the engine.
    pub required: EngineCapacity,
    /// Cost that is charged to the workspace in the fair queue.
    pub cost_tokens: u64,
    /// Time after which a reservation is of no use.
    pub deadline_ms: TimeMs,
    /// Whether part of the answer has been delivered. Its caller loses more by a refusal than by a
    /// pause.
    pub answer_begun: bool,
}

/// A reservation at a decode engine. Dropping it cancels it.
pub struct DecodeReservation {
    /// Engine.
    pub engine: Engine,
    /// Hold that the reservation is tagged with.
    pub hold: Hold,
}

/// Requests a reservation from an engine's coordinator, which may keep the request in its queue for
/// up to `wait_ms`. If the coordinator cannot be reached, the reply is `Reserved` and the engine
/// itself decides.
pub async fn request_from_coordinator(
    node: &SharedNode,
    engine: &Arc<str>,
    request: &ReservationRequest,
    hold: &mut Hold,
    wait_ms: u64,
) -> ReserveReply {
    hold.add_coordinator(engine);
    let now = clock::now();
    let message = ReserveRequest {
        sender: Some(node.info()),
        engine: engine.to_string(),
        hold: hold.tag().to_string(),
        workspace: request.workspace.to_string(),
        sequences: request.required.sequences,
        pieces: request.required.pieces,
        deadline_in_ms: request.deadline_ms.remaining(now),
        weight: request.weight,
        cost_tokens: request.cost_tokens,
        wait_ms,
    };
    let Some(coordinator) = coordinator_of(node, engine) else {
        let reply = node.coordinator.reserve(node, message).await;
        update_hint(node, engine, &reply);
        return reply;
    };
    let answer = node
        .peers
        .transport()
        .call(
            "reserve",
            &coordinator.peer_address,
            message,
            |mut client, message| async move { client.reserve(message).await },
        )
        .await;
    match answer {
        Ok(reply) => {
            update_hint(node, engine, &reply);
            reply
        }
        Err(_) => ReserveReply {
            verdict: ReserveVerdict::Reserved.into(),
            ..ReserveReply::default()
        },
    }
}

/// Reserves the required capacity at the engine itself. Returns false if the engine is full.
pub async fn reserve_at_engine(
    node: &SharedNode,
    engine: &Engine,
    required: EngineCapacity,
    hold: &mut Hold,
) -> Result<bool, EngineError> {
    hold.add_engine(&engine.name);
    let request = wire::ReserveRequest {
        hold: hold.tag().clone(),
        sequences: required.sequences,
        pieces: required.pieces,
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

fn update_hint(node: &SharedNode, engine: &str, reply: &ReserveReply) {
    // Without a load report the engine's capacity is unknown and the figures of the reply have no
    // meaning.
    if node.upstreams.capacity(engine).is_some() {
        let free = EngineCapacity {
            sequences: reply.free_sequences,
            pieces: reply.free_pieces,
        };
        node.upstreams
            .update_free_capacity(engine, free, reply.wait_ms, clock::now());
    }
}
