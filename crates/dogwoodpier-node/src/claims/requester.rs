//! Claims for this node's own requests, and the outcomes of their dispatches.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use tokio::task::JoinHandle;

use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::Attempt;
use dogwoodpier_core::claims::ClaimKey;
use dogwoodpier_core::claims::slot_of;
use dogwoodpier_proto::ClaimItem;
use dogwoodpier_proto::ClaimRequest;
use dogwoodpier_proto::ClaimResult;
use dogwoodpier_proto::ClaimVerdict;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_proto::OutcomeItem;
use dogwoodpier_proto::RecordOutcomesRequest;
use dogwoodpier_proto::RecordedOutcome;

use crate::clock;
use crate::counters;
use crate::state::SharedNode;

use super::Claimed;
use super::Claims;
use super::DISPATCH_MS;
use super::Grant;

// Time for which a claim is tried; a slot whose holder died has a new one well within it.
const TRY_MS: u64 = 8_000;
const PAUSE: Duration = Duration::from_millis(100);
// A holder that tells to come back later than this won't grant within the time for tries.
const LONG_RETRY_MS: u64 = 5_000;
const RETRY_AFTER_MS: u64 = 1_000;
// Longest time for which an answer waits for its record.
const RECORD_WAIT: Duration = Duration::from_secs(1);
const RECORD_PAUSE: Duration = Duration::from_millis(250);
// Time for which an outcome is reported; after it the claim stays without one.
const RECORD_MS: u64 = 60_000;

// Who decides on a slot, as far as this node knows.
enum Target {
    Own,
    Peer(NodeInfo),
}

impl Claims {
    /// Claims a key before its request is dispatched. A refusal is true to its execution: `not-run`
    /// where this key was certainly never dispatched, `unknown` where an earlier attempt may run.
    pub async fn claim(
        &self,
        node: &SharedNode,
        workspace: &Arc<str>,
        idempotency_key: &str,
        fingerprint: u64,
        deadline_ms: TimeMs,
    ) -> Result<Claimed, Refusal> {
        let now = clock::now();
        let attempt = Attempt::new(rand::random(), DISPATCH_MS, now);
        let key = ClaimKey {
            workspace: workspace.clone(),
            idempotency_key: idempotency_key.into(),
        };
        let slot = slot_of(&key, node.config.current().slot_count);
        let grant = Grant {
            workspace: workspace.clone(),
            idempotency_key: key.idempotency_key,
            attempt_id: attempt.attempt_id,
            slot,
            dispatch_deadline_ms: attempt.dispatch_deadline_ms.min(deadline_ms),
        };
        let item = ClaimItem {
            slot,
            workspace: workspace.to_string(),
            idempotency_key: idempotency_key.to_owned(),
            fingerprint,
            attempt_id: attempt.attempt_id,
        };
        let give_up_ms = now.after(TRY_MS).min(deadline_ms);
        let result = ask(node, &item, give_up_ms).await;
        let verdict = result.verdict();
        if verdict == ClaimVerdict::Granted && grant.may_dispatch(clock::now()) {
            return Ok(Claimed::Granted(grant));
        }
        if let (ClaimVerdict::Recorded, Some(outcome)) = (verdict, &result.outcome) {
            return Ok(Claimed::Recorded(outcome.clone()));
        }
        let owns = matches!(verdict, ClaimVerdict::Granted | ClaimVerdict::Unavailable);
        if owns {
            // The attempt may be recorded at the holder; it ends here, so that the key is free.
            self.record(node, grant, not_run());
        }
        Err(refusal(verdict, &result))
    }

    /// Records the outcome of a granted claim, and waits a short time for it to be kept: who asks
    /// again after the answer then gets the same one, even if a node has died in between. What is
    /// not kept by then is reported in the background.
    pub async fn record_before_answer(
        &self,
        node: &SharedNode,
        grant: Grant,
        outcome: RecordedOutcome,
    ) {
        let reported = self.record(node, grant, outcome);
        // Without an end in time the answer goes out all the same.
        let _ = tokio::time::timeout(RECORD_WAIT, reported).await;
    }

    /// Records the outcome of a granted claim, in the background and until it is kept.
    pub fn record(
        &self,
        node: &SharedNode,
        grant: Grant,
        outcome: RecordedOutcome,
    ) -> JoinHandle<()> {
        let item = OutcomeItem {
            slot: grant.slot,
            workspace: grant.workspace.to_string(),
            idempotency_key: grant.idempotency_key.to_string(),
            attempt_id: grant.attempt_id,
            outcome: Some(outcome),
        };
        self.unrecorded.fetch_add(1, Ordering::SeqCst);
        let node = node.clone();
        tokio::spawn(async move {
            let deadline_ms = clock::now().after(RECORD_MS);
            for turn in 0.. {
                if report(&node, &item, turn).await || clock::now() >= deadline_ms {
                    break;
                }
                tokio::time::sleep(RECORD_PAUSE).await;
            }
            node.claims.unrecorded.fetch_sub(1, Ordering::SeqCst);
        })
    }
}

// Asks until there is a verdict that another ask would not change soon.
async fn ask(node: &SharedNode, item: &ClaimItem, give_up_ms: TimeMs) -> ClaimResult {
    // What an earlier answer said still holds after a later ask that got none.
    let mut never_dispatched = false;
    for turn in 0.. {
        let target = target(node, item.slot, turn);
        let mut result = match target {
            Some(target) => ask_once(node, item, &target).await,
            None => None,
        }
        .unwrap_or_else(unanswered);
        never_dispatched |= result.never_dispatched;
        result.never_dispatched = never_dispatched;
        let is_final = result.verdict() != ClaimVerdict::Unavailable
            || result.retry_after_ms > LONG_RETRY_MS
            || clock::now() >= give_up_ms;
        if is_final {
            let verdict = result.verdict().as_str_name();
            counter!(counters::CLAIMS_TOTAL, "verdict" => verdict).increment(1);
            return result;
        }
        tokio::time::sleep(PAUSE).await;
    }
    unanswered()
}

// Returns whom to ask in a turn: this node if it may decide, else the holder and the standby in turn,
// since news of a failover may be late.
fn target(node: &SharedNode, slot: u32, turn: usize) -> Option<Target> {
    if node.slots.held(slot, clock::now()).is_some() {
        return Some(Target::Own);
    }
    let standby = match turn % 2 {
        0 => None,
        _ => node.slots.standby(slot),
    };
    standby
        .or_else(|| node.slots.holder(slot))
        .map(Target::Peer)
}

async fn ask_once(node: &SharedNode, item: &ClaimItem, target: &Target) -> Option<ClaimResult> {
    let request = ClaimRequest {
        sender: Some(node.id()),
        items: vec![item.clone()],
    };
    let reply = match target {
        Target::Own => node.claims.grant(node, request).await,
        Target::Peer(peer) => node
            .peers
            .transport()
            .call(
                "claim",
                &peer.peer_address,
                request,
                |mut client, request| async move { client.claim(request).await },
            )
            .await
            .ok()?,
    };
    // An answer is matched by its id, never by its place.
    reply
        .results
        .into_iter()
        .find(|result| result.attempt_id == item.attempt_id)
}

fn unanswered() -> ClaimResult {
    ClaimResult {
        verdict: ClaimVerdict::Unavailable.into(),
        retry_after_ms: RETRY_AFTER_MS,
        ..ClaimResult::default()
    }
}

async fn report(node: &SharedNode, item: &OutcomeItem, turn: usize) -> bool {
    let request = RecordOutcomesRequest {
        sender: Some(node.id()),
        items: vec![item.clone()],
    };
    let reply = match target(node, item.slot, turn) {
        Some(Target::Own) => Some(node.claims.take_outcomes(node, request).await),
        Some(Target::Peer(peer)) => node
            .peers
            .transport()
            .call(
                "record_outcomes",
                &peer.peer_address,
                request,
                |mut client, request| async move { client.record_outcomes(request).await },
            )
            .await
            .ok(),
        None => None,
    };
    reply.is_some_and(|reply| reply.recorded_attempt_ids.contains(&item.attempt_id))
}

fn not_run() -> RecordedOutcome {
    RecordedOutcome {
        not_run: true,
        ..RecordedOutcome::default()
    }
}

fn refusal(verdict: ClaimVerdict, result: &ClaimResult) -> Refusal {
    match verdict {
        ClaimVerdict::Pending | ClaimVerdict::Recorded => Refusal::new(
            RefusalReason::ClaimPending,
            Execution::Unknown,
            "a request with this idempotency key is running or its outcome is unknown",
        )
        .retry_after(RETRY_AFTER_MS),
        ClaimVerdict::Mismatch => Refusal::not_run(
            RefusalReason::ClaimMismatch,
            "this idempotency key came with another request before",
        ),
        _ => Refusal::new(
            RefusalReason::ClaimUnavailable,
            match result.never_dispatched {
                true => Execution::NotRun,
                false => Execution::Unknown,
            },
            "this request was not sent, but no node can tell now whether an earlier one with \
             this idempotency key was; ask again with the same key",
        )
        .retry_after(result.retry_after_ms.max(RETRY_AFTER_MS)),
    }
}
