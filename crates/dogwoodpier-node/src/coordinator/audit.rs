//! Audits engines: compares the holds of each engine with those that nodes still use, and cancels
//! orphans.
//!
//! A node's answer about its own holds is final. Holds of an incarnation that can't be called are
//! orphans once it has been silent for a time. An engine keeps memory for an orphan for at most
//! [`SILENCE_MS`], [`GRACE_MS`], one [`AUDIT_INTERVAL`] and the duration of the calls together.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::holds::OwnerStatus;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_core::reservations::EngineHold;
use dogwoodpier_proto::CheckHoldsRequest;
use dogwoodpier_proto::NodeInfo;
use dogwoodpier_upstream::wire::CancelRequest;

use crate::clock;
use crate::counters;
use crate::state::SharedNode;

use super::coordinator_of;

const AUDIT_INTERVAL: Duration = Duration::from_secs(1);
// Silence after which a node that can't be called no longer counts as alive.
const SILENCE_MS: u64 = 5_000;
// Time for which a hold's owner must be unreachable at every audit before the hold is an orphan.
const GRACE_MS: u64 = 5_000;
// A node without recent contact to the platform that reaches no more than this share of its peers
// counts itself as cut off.
const MIN_REACHABLE_SHARE: f64 = 0.5;

/// Audits the engines that this node coordinates, until the process ends.
pub async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(AUDIT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let engines = node.upstreams.engines();
        let coordinated: Vec<Arc<str>> = engines
            .into_iter()
            .filter(|engine| coordinator_of(&node, engine).is_none())
            .collect();
        node.coordinator
            .lock()
            .retain(|engine, _| coordinated.contains(engine));
        let audits = coordinated.iter().map(|engine| audit(&node, engine));
        futures_util::future::join_all(audits).await;
    }
}

async fn audit(node: &SharedNode, name: &Arc<str>) {
    let Some(engine) = node.upstreams.engine(name) else {
        return;
    };
    let Ok(list) = engine.client.holds().await else {
        return;
    };
    let held: Vec<EngineHold> = list
        .holds
        .iter()
        .filter_map(|entry| {
            Some(EngineHold {
                hold: entry.hold.parse().ok()?,
                capacity: EngineCapacity {
                    sequences: entry.sequences,
                    pieces: entry.pieces,
                },
            })
        })
        .collect();
    // Reconciled before the owners are called, since the list is outdated as soon as holds end.
    if let Some(capacity) = node.upstreams.capacity(name) {
        node.coordinator
            .reconcile(name, &held, capacity, clock::now());
    }
    let statuses = owner_statuses(node, &held).await;
    let now = clock::now();
    let orphans = node
        .coordinator
        .lock()
        .entry(name.clone())
        .or_default()
        .audit
        .orphans(statuses, GRACE_MS, now);
    for hold in orphans {
        counter!(counters::HOLD_ORPHANS_TOTAL).increment(1);
        let request = CancelRequest {
            hold: hold.to_string().into(),
        };
        // A lost cancel is repeated by the next audit, if the hold is still an orphan.
        let _ = engine.client.cancel(&request).await;
    }
}

// Returns the holds with the status of their owners, calling each owner once.
async fn owner_statuses(node: &SharedNode, held: &[EngineHold]) -> Vec<(HoldId, OwnerStatus)> {
    let mut by_incarnation: BTreeMap<u64, Vec<HoldId>> = BTreeMap::new();
    for entry in held {
        by_incarnation
            .entry(entry.hold.incarnation)
            .or_default()
            .push(entry.hold);
    }
    let mut statuses = Vec::new();
    for (incarnation, holds) in by_incarnation {
        statuses.extend(statuses_of_owner(node, incarnation, holds).await);
    }
    statuses
}

async fn statuses_of_owner(
    node: &SharedNode,
    incarnation: u64,
    holds: Vec<HoldId>,
) -> Vec<(HoldId, OwnerStatus)> {
    if incarnation == node.incarnation {
        return holds
            .into_iter()
            .map(|hold| (hold, owner_status(node.upstreams.is_hold_in_use(hold))))
            .collect();
    }
    let peers = node.peers.all();
    let peer = peers.iter().find(|info| {
        info.id
            .as_ref()
            .is_some_and(|id| id.incarnation == incarnation)
    });
    if let Some(used) = match peer {
        Some(peer) => fetch_used_sequences(node, peer, &holds).await,
        None => None,
    } {
        return holds
            .into_iter()
            .map(|hold| (hold, owner_status(used.contains(&hold.sequence))))
            .collect();
    }
    let now = clock::now();
    let alive = node.peers.may_be_running(incarnation, SILENCE_MS, now)
        || is_cut_off(node, now)
        || (peer.is_none() && has_unidentified_peer(node, now));
    let status = if alive {
        OwnerStatus::InUse
    } else {
        OwnerStatus::Unreachable
    };
    holds.into_iter().map(|hold| (hold, status)).collect()
}

fn owner_status(used: bool) -> OwnerStatus {
    if used {
        OwnerStatus::InUse
    } else {
        OwnerStatus::NotInUse
    }
}

// Returns the sequence numbers of the holds that the peer uses, or `None` if no process of the
// peer's instance answered.
async fn fetch_used_sequences(
    node: &SharedNode,
    peer: &NodeInfo,
    holds: &[HoldId],
) -> Option<HashSet<u64>> {
    let request = CheckHoldsRequest {
        asked: peer.id.clone(),
        sequences: holds.iter().map(|hold| hold.sequence).collect(),
    };
    let reply = node
        .peers
        .transport()
        .call(
            "check_holds",
            &peer.peer_address,
            request,
            |mut client, request| async move { client.check_holds(request).await },
        )
        .await
        .ok()?;
    let answerer = reply.answerer?;
    let requested = peer.id.as_ref()?;
    // An answer of another incarnation of the instance is valid too: it proves that the requested
    // incarnation has ended.
    (answerer.instance == requested.instance).then(|| reply.used_sequences.into_iter().collect())
}

fn is_cut_off(node: &SharedNode, now: TimeMs) -> bool {
    let contact_age_ms = node.config.platform_contact_age_ms(now);
    let has_recent_contact = contact_age_ms <= node.settings.tuning.freshness_ms;
    let reaches_peers = node
        .peers
        .answered_share(now)
        .is_none_or(|share| share > MIN_REACHABLE_SHARE);
    !has_recent_contact && !reaches_peers
}

// Returns whether the incarnation of an alive peer isn't known yet. Such a peer may own any hold.
fn has_unidentified_peer(node: &SharedNode, now: TimeMs) -> bool {
    node.peers
        .alive(now)
        .iter()
        .any(|info| info.id.as_ref().is_none_or(|id| id.incarnation == 0))
}
