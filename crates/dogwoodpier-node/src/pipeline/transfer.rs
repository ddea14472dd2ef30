//! Moves a KV cache from its prefill engine to the reservation at the decode engine.

use std::time::Duration;

use dogwoodpier_core::TimeMs;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::wire::ImportRequest;

use crate::clock;
use crate::state::SharedNode;

use super::prefill::PrefillResult;
use super::reserve::DecodeReservation;

/// Requests the transfer from the decode engine and waits for its completion. The transfer starts
/// when this node's earlier transfers on both links are expected to be complete, and at the latest
/// after half of the remaining lifetime of the prefill result. It fails if it takes longer than
/// `timeout_ms`.
pub async fn transfer(
    node: &SharedNode,
    prefilled: &mut PrefillResult,
    reservation: &DecodeReservation,
    timeout_ms: u64,
    deadline_ms: TimeMs,
) -> Result<(), EngineError> {
    let requested_ms = clock::now();
    let pieces = prefilled.reply.pieces;
    let start_ms = node.upstreams.reserve_link(
        &prefilled.engine.name,
        &reservation.engine.name,
        pieces,
        requested_ms,
    );
    let latest_ms = requested_ms.after(prefilled.expires_ms.remaining(requested_ms) / 2);
    let delay_ms = start_ms.min(latest_ms).remaining(requested_ms);
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let request = ImportRequest {
        hold: reservation.hold.tag().clone(),
        source: prefilled.engine.address.clone(),
        kv_handle: prefilled.reply.kv_handle.clone(),
    };
    let started_ms = clock::now();
    let limit_ms = timeout_ms.min(deadline_ms.remaining(started_ms)).max(1);
    reservation.engine.client.import(&request, limit_ms).await?;
    prefilled.mark_transferred();
    let elapsed_ms = clock::now().since(started_ms);
    node.upstreams.record_transfer(pieces, elapsed_ms);
    Ok(())
}
