//! Claims keys for the requests that this node serves, and reports the outcomes of their
//! dispatches.

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
use super::DISPATCH_TIMEOUT_MS;
use super::Grant;

// Time for which a claim is retried. A slot whose holder has died gets a new holder well within it.
const CLAIM_TIMEOUT_MS: u64 = 8_000;
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(100);
// A retry delay above this means that the holder won't grant within `CLAIM_TIMEOUT_MS`.
const LONG_RETRY_MS: u64 = 5_000;
const RETRY_AFTER_MS: u64 = 1_000;
// Maximum time for which an answer waits until its outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(250);
// Time for which the report of an outcome is retried. After it the claim stays without an outcome.
const REPORT_TIMEOUT_MS: u64 = 60_000;

// Node that decides claims of a slot, to this node's knowledge.
enum Target {
    Local,
    Peer(NodeInfo),
}

impl Claims {
    /// Claims a key before its request is dispatched.
    ///
    /// The execution of a refusal is `not-run` if no request with this key was ever dispatched or
    /// the key belongs to a different request, and `unknown` if an earlier attempt may run or have
    /// run.
    pub async fn claim(
        &self,
        node: &SharedNode,
        workspace: &Arc<str>,
        idempotency_key: &str,
        fingerprint: u64,
        deadline_ms: TimeMs,
    ) -> Result<Claimed, Refusal> {
        let now = clock::now();
        let attempt = Attempt::new(rand::random(), DISPATCH_TIMEOUT_MS, now);
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
        let retry_deadline_ms = now.after(CLAIM_TIMEOUT_MS).min(deadline_ms);
        let result = claim_with_retries(node, &item, retry_deadline_ms).await;
        let verdict = result.verdict();
        if verdict == ClaimVerdict::Granted && grant.may_dispatch(clock::now()) {
            return Ok(Claimed::Granted(grant));
        }
        if let (ClaimVerdict::Recorded, Some(outcome)) = (verdict, &result.outcome) {
            return Ok(Claimed::Recorded(outcome.clone()));
        }
        let may_be_recorded = matches!(verdict, ClaimVerdict::Granted | ClaimVerdict::Unavailable);
        if may_be_recorded {
            // The holder may have recorded the attempt. Reporting it as not run frees the key.
            self.record(node, grant, not_run());
        }
        Err(refusal(verdict, &result))
    }

    /// Records the outcome of a granted claim, and waits up to `RECORD_TIMEOUT` for the holder's
    /// confirmation. A caller that repeats the request after the answer then gets the same answer,
    /// even if a node has died in between. Without a confirmation, reporting continues in the
    /// background.
    pub async fn record_before_answer(
        &self,
        node: &SharedNode,
        grant: Grant,
        outcome: RecordedOutcome,
    ) {
        let reported = self.record(node, grant, outcome);
        // The answer is sent after a timeout as well.
        let _ = tokio::time::timeout(RECORD_TIMEOUT, reported).await;
    }

    /// Reports the outcome of a granted claim in the background, until the holder has confirmed it
    /// or `REPORT_TIMEOUT_MS` have passed.
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
            let deadline_ms = clock::now().after(REPORT_TIMEOUT_MS);
            for round in 0.. {
                if report_outcome(&node, &item, round).await || clock::now() >= deadline_ms {
                    break;
                }
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
            node.claims.unrecorded.fetch_sub(1, Ordering::SeqCst);
        })
    }
}

// Repeats the claim until it is decided, its holder won't grant soon, or the deadline has passed.
async fn claim_with_retries(
    node: &SharedNode,
    item: &ClaimItem,
    retry_deadline_ms: TimeMs,
) -> ClaimResult {
    // Carried over from earlier rounds, since it stays true after a later call without an answer.
    let mut never_dispatched = false;
    for round in 0.. {
        let target = target(node, item.slot, round);
        let mut result = match target {
            Some(target) => send_claim(node, item, &target).await,
            None => None,
        }
        .unwrap_or_else(unavailable_result);
        never_dispatched |= result.never_dispatched;
        result.never_dispatched = never_dispatched;
        let is_final = result.verdict() != ClaimVerdict::Unavailable
            || result.retry_after_ms > LONG_RETRY_MS
            || clock::now() >= retry_deadline_ms;
        if is_final {
            let verdict = result.verdict().as_str_name();
            counter!(counters::CLAIMS_TOTAL, "verdict" => verdict).increment(1);
            return result;
        }
        tokio::time::sleep(CLAIM_RETRY_DELAY).await;
    }
    unavailable_result()
}

// Returns the node to call in a round: this node if it may act on the slot, else the holder and the
// standby alternately, since this node may learn late of a failover.
fn target(node: &SharedNode, slot: u32, round: usize) -> Option<Target> {
    if node.slots.held(slot, clock::now()).is_some() {
        return Some(Target::Local);
    }
    let standby = match round % 2 {
        0 => None,
        _ => node.slots.standby(slot),
    };
    standby
        .or_else(|| node.slots.holder(slot))
        .map(Target::Peer)
}

async fn send_claim(node: &SharedNode, item: &ClaimItem, target: &Target) -> Option<ClaimResult> {
    let request = ClaimRequest {
        sender: Some(node.id()),
        items: vec![item.clone()],
    };
    let reply = match target {
        Target::Local => node.claims.grant(node, request).await,
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
    // Results are matched by the attempt's id, never by their position.
    reply
        .results
        .into_iter()
        .find(|result| result.attempt_id == item.attempt_id)
}

fn unavailable_result() -> ClaimResult {
    ClaimResult {
        verdict: ClaimVerdict::Unavailable.into(),
        retry_after_ms: RETRY_AFTER_MS,
        ..ClaimResult::default()
    }
}

// Reports an outcome once. Returns whether the holder has confirmed it.
async fn report_outcome(node: &SharedNode, item: &OutcomeItem, round: usize) -> bool {
    let request = RecordOutcomesRequest {
        sender: Some(node.id()),
        items: vec![item.clone()],
    };
    let reply = match target(node, item.slot, round) {
        Some(Target::Local) => Some(node.claims.record_outcomes(node, request).await),
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
        ClaimVerdict::Mismatch => Refusal::new(
            RefusalReason::ClaimMismatch,
            Execution::Unknown,
            "this request was not sent, but another one with this idempotency key may have run",
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
