//! Stores copies of other holders' claims, and hands claims over to a new holder of a slot.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::Handover;
use dogwoodpier_proto::FetchClaimsReply;
use dogwoodpier_proto::FetchClaimsRequest;
use dogwoodpier_proto::KeepClaimsReply;
use dogwoodpier_proto::KeepClaimsRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::SlotRef;

use crate::state::SharedNode;

use super::Claims;
use super::convert;
use super::lock;

impl Claims {
    /// Stores copies as standby, or as the designated successor of a hand-over. A withdrawn request
    /// drops the copies of its version instead.
    pub fn store_copies(
        &self,
        _node: &SharedNode,
        request: KeepClaimsRequest,
        now: TimeMs,
    ) -> KeepClaimsReply {
        let withdrawn = request.withdrawn;
        let (slot, message) = convert::replication_message(request);
        if withdrawn {
            if let Some(copies) = lock(&self.copies).get_mut(&slot) {
                copies.withdraw(message.version);
            }
            return KeepClaimsReply { kept: true };
        }
        let kept = lock(&self.copies)
            .entry(slot)
            .or_default()
            .apply(&message, now);
        KeepClaimsReply { kept }
    }

    /// Returns the claims that a former holder of a slot granted, from this node's copies or, if
    /// this node was that holder, from its own table.
    pub fn fetch_reply(&self, request: &FetchClaimsRequest, now: TimeMs) -> FetchClaimsReply {
        let slot = request.slot.unwrap_or_default();
        let handover = self
            .copies_at(slot.slot, slot.version)
            .or_else(|| self.own_handover(slot.slot, request.tenure, now));
        convert::fetch_reply(handover, now)
    }

    /// Stops granting claims of a held slot and sends its successor the claims that are not on the
    /// platform yet. Must be called before the conditional write that hands the slot over. A
    /// successor that received nothing has to fetch the claims from this node, which must still run
    /// then.
    ///
    /// Returns false if the slot may not be handed over now, because this node has not loaded its
    /// claims or the successor didn't confirm that it has stored them.
    pub async fn prepare_hand_over(
        &self,
        node: &SharedNode,
        slot: u32,
        successor: &NodeInfo,
    ) -> bool {
        let Some(claims) = self.find(slot) else {
            return false;
        };
        let message = claims.with_held(node, |tenure, held, now| {
            tenure.table.freeze(held.version, now)
        });
        let Some(message) = message else {
            return false;
        };
        let request = convert::replication_request(node.id(), slot, &message);
        send_copies(node, successor, request).await
    }

    /// Resumes granting claims of a slot after its hand-over has failed. If the successor doesn't
    /// confirm that it has dropped its copies, granting resumes only with the slot's next version.
    pub async fn cancel_hand_over(&self, node: &SharedNode, slot: u32, successor: &NodeInfo) {
        let Some(claims) = self.find(slot) else {
            return;
        };
        let Some(version) = claims.with_held(node, |_, held, _| held.version) else {
            return;
        };
        let request = KeepClaimsRequest {
            slot: Some(SlotRef { slot, version }),
            withdrawn: true,
            ..KeepClaimsRequest::default()
        };
        if send_copies(node, successor, request).await {
            claims.with_held(node, |tenure, _, _| tenure.table.unfreeze(version));
        }
    }

    /// Returns the copies of a slot if they are complete for a version.
    pub fn copies_at(&self, slot: u32, version: u64) -> Option<Handover> {
        lock(&self.copies).get(&slot)?.complete_at(version)
    }

    // Returns the claims that this node granted in a former tenure, and freezes the table. The
    // tenure is over, since the requesting node holds the slot.
    fn own_handover(&self, slot: u32, tenure_version: u64, now: TimeMs) -> Option<Handover> {
        let claims = self.find(slot)?;
        let mut tenure = lock(&claims.tenure);
        let tenure = tenure.as_mut()?;
        if tenure.table.tenure_version() != tenure_version {
            return None;
        }
        let message = tenure.table.freeze(u64::MAX, now);
        Some(Handover {
            records: message.records,
            blocked_deadline_ms: now.after(message.blocked_ms),
        })
    }
}

async fn send_copies(node: &SharedNode, peer: &NodeInfo, request: KeepClaimsRequest) -> bool {
    node.peers
        .transport()
        .call(
            "keep_claims",
            &peer.peer_address,
            request,
            |mut client, request| async move { client.keep_claims(request).await },
        )
        .await
        .is_ok_and(|reply| reply.kept)
}
