//! Loads the claims of a slot that this node has taken over, before this node decides on any claim.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::ClaimSettings;
use dogwoodpier_core::claims::ClaimTable;
use dogwoodpier_core::claims::GroupContent;
use dogwoodpier_core::claims::Groups;
use dogwoodpier_core::claims::Handover;
use dogwoodpier_core::claims::Record;
use dogwoodpier_proto::FetchClaimsRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::SlotRef;

use crate::clock;
use crate::slots::HeldSlot;
use crate::state::SharedNode;

use super::DISPATCH_TIMEOUT_MS;
use super::convert;
use super::holder::SlotClaims;
use super::holder::Tenure;
use super::lock;

/// Kind of the objects on the platform that store groups of claims.
pub const CLAIMS_KIND: &str = "claims";
const MAX_KEYS: usize = 100_000;
const MAX_OUTCOME_BYTES: usize = 8 * 1024 * 1024;
const MAX_GROUP_BYTES: usize = 64 * 1024;
const MIN_WRITE_INTERVAL_MS: u64 = 100;
// Rate of background writes of groups, over all slots.
const WRITES_PER_S: u64 = 100;
const MS_PER_S: u64 = 1_000;

/// Loads the claims of a slot unless they are loaded for this tenure already. Returns whether they
/// are loaded.
pub async fn load(node: &SharedNode, claims: &SlotClaims, held: &HeldSlot) -> bool {
    let loaded_version = lock(&claims.tenure)
        .as_ref()
        .map(|tenure| tenure.table.tenure_version());
    if loaded_version == Some(held.replaced_version) {
        return true;
    }
    let prefix = format!("{}/", held.slot);
    let Ok(listing) = node.platform.list(CLAIMS_KIND, &prefix).await else {
        return false;
    };
    // A listing older than the take-over may lack writes of the former holder.
    if listing.revision < held.version {
        return false;
    }
    let now = clock::now();
    let mut groups = Groups::new(held.slot, MAX_GROUP_BYTES, write_interval_ms(node));
    let mut records: Vec<Record> = Vec::new();
    let window_ms = node.settings.tuning.claim_window_ms;
    let expires_ms = now.after(window_ms.saturating_add(DISPATCH_TIMEOUT_MS));
    for object in listing.items {
        let Ok(content) = serde_json::from_value::<GroupContent>(object.value) else {
            return false;
        };
        records.extend(content.records);
        groups.record_loaded(object.name, expires_ms);
    }
    let handover = match held.replaced_version {
        0 => Some(Handover::default()),
        version => node.claims.copies_at(held.slot, version),
    };
    let settings = ClaimSettings {
        window_ms,
        dispatch_ms: DISPATCH_TIMEOUT_MS,
        max_keys: MAX_KEYS,
        max_outcome_bytes: MAX_OUTCOME_BYTES,
    };
    let table = ClaimTable::take_over(settings, held.replaced_version, records, handover, now);
    *lock(&claims.tenure) = Some(Tenure {
        version: held.version,
        table,
        groups,
        loaded_ms: now,
    });
    true
}

/// Fetches the claims that the former holder of a slot granted from the other nodes, if they are
/// missing.
pub async fn fetch_missing(node: &SharedNode, claims: &SlotClaims, held: &HeldSlot) {
    let is_blocked = claims.with_held(node, |tenure, _, now| tenure.table.is_blocked(now));
    if is_blocked != Some(true) {
        return;
    }
    for peer in node.peers.alive(clock::now()) {
        if let Some(handover) = fetch_from_peer(node, &peer, held).await {
            claims.with_held(node, |tenure, current, now: TimeMs| {
                if current.replaced_version == held.replaced_version {
                    tenure.table.complete(handover, now);
                }
            });
            return;
        }
    }
}

async fn fetch_from_peer(node: &SharedNode, peer: &NodeInfo, held: &HeldSlot) -> Option<Handover> {
    let request = FetchClaimsRequest {
        sender: Some(node.id()),
        slot: Some(SlotRef {
            slot: held.slot,
            version: held.replaced_version,
        }),
        tenure: held.replaced_tenure,
    };
    let reply = node
        .peers
        .transport()
        .call(
            "fetch_claims",
            &peer.peer_address,
            request,
            |mut client, request| async move { client.fetch_claims(request).await },
        )
        .await
        .ok()?;
    convert::handover(reply, clock::now())
}

fn write_interval_ms(node: &SharedNode) -> u64 {
    let slot_count = u64::from(node.config.current().slot_count);
    MIN_WRITE_INTERVAL_MS.max(slot_count * MS_PER_S / WRITES_PER_S)
}
