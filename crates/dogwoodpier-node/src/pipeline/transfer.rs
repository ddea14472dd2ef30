//! Moves a KV cache from its prefill engine to the reservation at the decode engine.

use std::time::Duration;

use dogwoodpier_core::TimeMs;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::wire::ImportRequest;

use crate::clock;
use crate::state::SharedNode;

use super::prefill::Computed;
use super::reserve::Seat;

/// Orders the transfer and waits for its end. It starts when this node's earlier transfers have
/// left the links, but within the first half of the result's life. A transfer that takes longer
/// than `timeout_ms` has stalled.
pub async fn transfer(
    node: &SharedNode,
    computed: &mut Computed,
    seat: &Seat,
    timeout_ms: u64,
    deadline_ms: TimeMs,
) -> Result<(), EngineError> {
    let booked_ms = clock::now();
    let pieces = computed.reply.pieces;
    let start_ms =
        node.upstreams
            .reserve_link(&computed.engine.name, &seat.engine.name, pieces, booked_ms);
    let latest_ms = booked_ms.after(computed.expires_ms.remaining(booked_ms) / 2);
    let pause_ms = start_ms.min(latest_ms).remaining(booked_ms);
    if pause_ms > 0 {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    let request = ImportRequest {
        hold: seat.hold.tag().clone(),
        source: computed.engine.address.clone(),
        kv_handle: computed.reply.kv_handle.clone(),
    };
    let started_ms = clock::now();
    let limit_ms = timeout_ms.min(deadline_ms.remaining(started_ms)).max(1);
    seat.engine.client.import(&request, limit_ms).await?;
    computed.used();
    let elapsed_ms = clock::now().since(started_ms);
    node.upstreams.record_transfer(pieces, elapsed_ms);
    Ok(())
}
