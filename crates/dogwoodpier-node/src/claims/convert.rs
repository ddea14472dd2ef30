//! Conversions between peer messages and the types of [`dogwoodpier_core::claims`].

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::ClaimDecision;
use dogwoodpier_core::claims::ClaimKey;
use dogwoodpier_core::claims::Handover;
use dogwoodpier_core::claims::Outcome;
use dogwoodpier_core::claims::OutcomeHeader;
use dogwoodpier_core::claims::Record;
use dogwoodpier_core::claims::RecordState;
use dogwoodpier_core::claims::ReplicationMessage;
use dogwoodpier_core::claims::Stamp;
use dogwoodpier_proto::ClaimResult;
use dogwoodpier_proto::ClaimVerdict;
use dogwoodpier_proto::FetchClaimsReply;
use dogwoodpier_proto::Header;
use dogwoodpier_proto::KeepClaimsRequest;
use dogwoodpier_proto::KeptClaim;
use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::RecordedOutcome;
use dogwoodpier_proto::SlotRef;

/// Converts a replication message to a request to a standby or successor.
pub fn replication_request(
    holder: NodeId,
    slot: u32,
    message: &ReplicationMessage,
) -> KeepClaimsRequest {
    KeepClaimsRequest {
        holder: Some(holder),
        slot: Some(SlotRef {
            slot,
            version: message.version,
        }),
        claims: message.records.iter().map(kept_claim).collect(),
        tenure_version: message.tenure_version,
        baseline: message.baseline,
        after_revision: message.after_revision,
        through_revision: message.through_revision,
        platform_revision: message.platform_revision,
        blocked_ms: message.blocked_ms,
        withdrawn: false,
    }
}

/// Converts a request from a slot's holder to the slot's number and the replication message.
pub fn replication_message(request: KeepClaimsRequest) -> (u32, ReplicationMessage) {
    let slot = request.slot.unwrap_or_default();
    let message = ReplicationMessage {
        version: slot.version,
        tenure_version: request.tenure_version,
        baseline: request.baseline,
        after_revision: request.after_revision,
        through_revision: request.through_revision,
        platform_revision: request.platform_revision,
        blocked_ms: request.blocked_ms,
        records: request.claims.into_iter().map(record).collect(),
    };
    (slot.slot, message)
}

/// Returns the reply to a new holder that fetches the claims of a slot.
pub fn fetch_reply(handover: Option<Handover>, now: TimeMs) -> FetchClaimsReply {
    let Some(handover) = handover else {
        return FetchClaimsReply::default();
    };
    FetchClaimsReply {
        complete: true,
        claims: handover.records.iter().map(kept_claim).collect(),
        blocked_ms: handover.blocked_deadline_ms.remaining(now),
    }
}

/// Converts a peer's reply, or returns `None` if its claims are not complete.
pub fn handover(reply: FetchClaimsReply, now: TimeMs) -> Option<Handover> {
    reply.complete.then(|| Handover {
        records: reply.claims.into_iter().map(record).collect(),
        blocked_deadline_ms: now.after(reply.blocked_ms),
    })
}

/// Converts the outcome of an attempt to the state of its record.
pub fn record_state(outcome: RecordedOutcome) -> RecordState {
    if outcome.not_run {
        return RecordState::NotRun;
    }
    RecordState::Finished(Outcome {
        status: u16::try_from(outcome.status).unwrap_or_default(),
        headers: outcome
            .headers
            .into_iter()
            .map(|header| OutcomeHeader {
                name: header.name.into(),
                value: header.value,
            })
            .collect(),
        body: (!outcome.body_dropped).then_some(outcome.body),
    })
}

/// Converts the decision on an attempt to its result message.
pub fn claim_result(attempt_id: u64, decision: &ClaimDecision) -> ClaimResult {
    let mut result = ClaimResult {
        attempt_id,
        ..ClaimResult::default()
    };
    let verdict = match decision {
        ClaimDecision::Granted => ClaimVerdict::Granted,
        ClaimDecision::Recorded(outcome) => {
            result.outcome = Some(recorded_outcome(outcome));
            ClaimVerdict::Recorded
        }
        ClaimDecision::Pending => ClaimVerdict::Pending,
        ClaimDecision::Mismatch => ClaimVerdict::Mismatch,
        ClaimDecision::Unavailable {
            never_dispatched,
            retry_after_ms,
        } => {
            result.never_dispatched = *never_dispatched;
            result.retry_after_ms = *retry_after_ms;
            ClaimVerdict::Unavailable
        }
    };
    result.verdict = verdict.into();
    result
}

fn kept_claim(record: &Record) -> KeptClaim {
    KeptClaim {
        workspace: record.key.workspace.to_string(),
        idempotency_key: record.key.idempotency_key.to_string(),
        fingerprint: record.fingerprint,
        attempt_id: record.attempt_id,
        tenure_version: record.stamp.tenure_version,
        revision: record.stamp.revision,
        outcome: match &record.state {
            RecordState::Pending => None,
            RecordState::NotRun => Some(RecordedOutcome {
                not_run: true,
                ..RecordedOutcome::default()
            }),
            RecordState::Finished(outcome) => Some(recorded_outcome(outcome)),
        },
    }
}

fn record(claim: KeptClaim) -> Record {
    Record {
        key: ClaimKey {
            workspace: claim.workspace.into(),
            idempotency_key: claim.idempotency_key.into(),
        },
        fingerprint: claim.fingerprint,
        attempt_id: claim.attempt_id,
        stamp: Stamp {
            tenure_version: claim.tenure_version,
            revision: claim.revision,
        },
        state: claim.outcome.map_or(RecordState::Pending, record_state),
    }
}

fn recorded_outcome(outcome: &Outcome) -> RecordedOutcome {
    RecordedOutcome {
        status: outcome.status.into(),
        headers: outcome
            .headers
            .iter()
            .map(|header| Header {
                name: header.name.to_string(),
                value: header.value.clone(),
            })
            .collect(),
        body: outcome.body.clone().unwrap_or_default(),
        not_run: false,
        body_dropped: outcome.body.is_none(),
    }
}
