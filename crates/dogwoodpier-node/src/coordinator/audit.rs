//! Compares what engines hold with what their nodes still use, and cancels orphans.
//!
//! A node that is asked about its own holds has the last word. Holds of an incarnation that can't
//! be asked are orphans once it has been silent for a time; the sum of [`SILENCE_MS`],
//! [`GRACE_MS`], one interval and the calls is the bound on memory held for nobody.

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

const INTERVAL: Duration = Duration::from_secs(1);
// Silence after which a node that can't be asked no longer counts as alive.
const SILENCE_MS: u64 = 5_000;
// Time for which a hold's owner must be silent at each audit.
const GRACE_MS: u64 = 5_000;
// With fewer of its peers in reach, and no news of the platform, a node takes itself to be cut off.
const MIN_REACH: f64 = 0.5;

/// Audits the engines that this node keeps, until the process ends.
pub async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let engines = node.upstreams.engines();
        let kept: Vec<Arc<str>> = engines
            .into_iter()
            .filter(|engine| coordinator_of(&node, engine).is_none())
            .collect();
        node.coordinator
            .lock()
            .retain(|engine, _| kept.contains(engine));
        let audits = kept.iter().map(|engine| audit(&node, engine));
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
    // At once: what the list shows is out of date as soon as holds end.
    if let Some(capacity) = node.upstreams.capacity(name) {
        node.coordinator
            .take_audit(name, &held, capacity, clock::now());
    }
    let owners = owners(node, &held).await;
    let now = clock::now();
    let orphans = node
        .coordinator
        .lock()
        .entry(name.clone())
        .or_default()
        .audit
        .orphans(owners, GRACE_MS, now);
    for hold in orphans {
        counter!(counters::HOLD_ORPHANS_TOTAL).increment(1);
        let request = CancelRequest {
            hold: hold.to_string().into(),
        };
        // One that is lost is followed by the next audit's, if the hold is an orphan still.
        let _ = engine.client.cancel(&request).await;
    }
}

async fn owners(node: &SharedNode, held: &[EngineHold]) -> Vec<(HoldId, OwnerStatus)> {
    let mut by_incarnation: BTreeMap<u64, Vec<HoldId>> = BTreeMap::new();
    for entry in held {
        by_incarnation
            .entry(entry.hold.incarnation)
            .or_default()
            .push(entry.hold);
    }
    let mut owners = Vec::new();
    for (incarnation, holds) in by_incarnation {
        owners.extend(owners_of(node, incarnation, holds).await);
    }
    owners
}

async fn owners_of(
    node: &SharedNode,
    incarnation: u64,
    holds: Vec<HoldId>,
) -> Vec<(HoldId, OwnerStatus)> {
    if incarnation == node.incarnation {
        return holds
            .into_iter()
            .map(|hold| (hold, word(node.upstreams.uses_hold(hold))))
            .collect();
    }
    let peers = node.peers.all();
    let peer = peers.iter().find(|info| {
        info.id
            .as_ref()
            .is_some_and(|id| id.incarnation == incarnation)
    });
    if let Some(used) = match peer {
        Some(peer) => ask(node, peer, &holds).await,
        None => None,
    } {
        return holds
            .into_iter()
            .map(|hold| (hold, word(used.contains(&hold.sequence))))
            .collect();
    }
    let now = clock::now();
    let alive = node.peers.may_live(incarnation, SILENCE_MS, now)
        || is_cut_off(node, now)
        || (peer.is_none() && knows_too_little(node, now));
    let owner = if alive {
        OwnerStatus::InUse
    } else {
        OwnerStatus::Unreachable
    };
    holds.into_iter().map(|hold| (hold, owner)).collect()
}

fn word(used: bool) -> OwnerStatus {
    if used {
        OwnerStatus::InUse
    } else {
        OwnerStatus::NotInUse
    }
}

// Returns the sequences that the peer uses, or `None` if it didn't answer for this incarnation.
async fn ask(node: &SharedNode, peer: &NodeInfo, holds: &[HoldId]) -> Option<HashSet<u64>> {
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
    let asked = peer.id.as_ref()?;
    // Another incarnation of the same instance proves that the asked one has ended.
    (answerer.instance == asked.instance).then(|| reply.used_sequences.into_iter().collect())
}

fn is_cut_off(node: &SharedNode, now: TimeMs) -> bool {
    let contact_age_ms = node.config.platform_contact_age_ms(now);
    let fresh = contact_age_ms <= node.settings.tuning.freshness_ms;
    let in_reach = node.peers.reach(now).is_none_or(|reach| reach > MIN_REACH);
    !fresh && !in_reach
}

// A peer whose incarnation isn't known yet may be the owner of any hold.
fn knows_too_little(node: &SharedNode, now: TimeMs) -> bool {
    node.peers
        .alive(now)
        .iter()
        .any(|info| info.id.as_ref().is_none_or(|id| id.incarnation == 0))
}
