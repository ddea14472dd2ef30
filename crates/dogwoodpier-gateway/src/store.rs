//! What the gateway reads from the object store: the configuration, upstreams and evacuations.
//!
//! One task per kind lists the objects and then watches them. What was read stays in force while
//! the store is unavailable, and a configuration is never replaced by an older version.
//!
//! Calls to the store are expensive and a pending watch is a single call, so watches wait long.
//! Peers' reports reveal a watch whose connection is dead: they contain the position up to which
//! the peer has seen changes, and an instance that stays behind lists again over a new connection.
//! So does one that learns, from any call, that the store was restored from a copy.
//! The watches of the fleet end at different times, so that there is always an instance that has
//! just started one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::store_position::StorePosition;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::WatchOutcome;
use dogwoodpier_platform::wire::Change;
use dogwoodpier_platform::wire::Listing;
use dogwoodpier_platform::wire::Object;
use dogwoodpier_process::clock;

use crate::cold;
use crate::counters;
use crate::evacuations;
use crate::state::Gateway;
use crate::state::SharedGateway;

// Pause before a failed call is retried, doubled with each further failure: long enough for a busy
// store, and short compared to the time within which a change has to be in force. Rejected calls
// count as calls too, so instances that the store rejects must not retry aggressively.
const RETRY_PAUSE_MS: u64 = 150;
const MAX_RETRY_PAUSE_MS: u64 = 1_000;

// Changes often come in groups, and all of them are in force well within the required time. Each
// change of an upstream costs one call per instance, so larger fleets batch for longer; changes
// then have to be in force within several seconds.
const BATCH_DELAY_MS: u64 = 300;
const BATCH_DELAY_MS_PER_MEMBER: u64 = 5;
const MAX_BATCH_DELAY_MS: u64 = 1_200;
// Average time between the ends of two watches of the fleet.
const FLEET_WATCH_INTERVAL_MS: u64 = 350;
// Shortest value of a watch's longest wait.
const MIN_WATCH_MS: u64 = 1_400;
/// Longest wait of a watch. The store allows at most 30 s.
pub const MAX_WATCH_MS: u64 = 28_000;
// Longer than the store keeps the entry of an upstream that doesn't renew it.
const LAPSE_MS: u64 = 6_000;
// Time between two checks whether this instance has to read the store.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// How objects of one kind are read and applied.
pub struct Follower {
    /// Kind of the objects.
    pub kind: &'static str,
    /// Applies a complete listing. The flag says whether it is the first one since the store was
    /// restored from a copy.
    pub replace: fn(&SharedGateway, Listing, bool, &StoreOutage),
    /// Applies one change, with the position up to which its call reports changes.
    pub change: fn(&SharedGateway, Change, StorePosition, &StoreOutage),
    /// Returns the pause after changes, in milliseconds by the number of instances. Further changes
    /// in this time are read with one call.
    pub batch_delay_ms: fn(u64) -> u64,
    /// Returns the longest wait of a watch in milliseconds, by the number of reachable instances.
    pub max_watch_ms: fn(u64) -> u64,
    /// Returns whether this instance reads the store; otherwise it learns of changes from peers
    /// that do.
    pub reads_store: fn(&Gateway) -> bool,
}

/// The most recent outage of the store, or its return from a copy.
#[derive(Debug, Default)]
pub struct StoreOutage {
    // Time of the last failed call plus the grace time for entries; 0 before the first failure.
    grace_deadline_ms: AtomicU64,
    // Position of the last listing.
    listed: Mutex<Option<StorePosition>>,
}

impl StoreOutage {
    /// Returns the time until which a missing entry may be due to an outage of the store or to the
    /// copy.
    pub fn grace_deadline_ms(&self, now: TimeMs) -> Option<TimeMs> {
        let deadline_ms = TimeMs(self.grace_deadline_ms.load(Ordering::Relaxed));
        (deadline_ms > now).then_some(deadline_ms)
    }

    fn record(&self, deadline_ms: TimeMs) {
        self.grace_deadline_ms
            .store(deadline_ms.0, Ordering::Relaxed);
    }

    // Returns whether the store was restored from a copy since the last listing.
    fn record_listing(&self, position: StorePosition) -> bool {
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let before = listed.replace(position);
        before.is_some_and(|before| before.is_in_era_before(position))
    }
}

/// Follows the objects of one kind, for as long as the process lives.
pub async fn follow(gateway: SharedGateway, follower: Follower) {
    let outage = StoreOutage::default();
    let mut position = None;
    let mut lost = false;
    let mut pause_ms = RETRY_PAUSE_MS;
    loop {
        if !(follower.reads_store)(&gateway) {
            position = None;
            tokio::time::sleep(READ_CHECK_INTERVAL).await;
            continue;
        }
        let result = match position {
            None => list(&gateway, &follower, &outage).await,
            Some(after) => watch_once(&gateway, &follower, &outage, after).await,
        };
        match result {
            Ok(next) => {
                pause_ms = RETRY_PAUSE_MS;
                if lost {
                    lost = false;
                    log_store(&gateway, &follower, "regained", "");
                }
                position = next;
            }
            Err(error) => {
                metrics::counter!(counters::STORE_FAILURES_TOTAL, "kind" => follower.kind)
                    .increment(1);
                outage.record(grace_deadline_ms(&gateway));
                // A watch that continues after an outage may miss changes made during it.
                position = None;
                if !lost {
                    lost = true;
                    log_store(&gateway, &follower, "lost", &error.to_string());
                }
                // Randomized, as many instances lose the store at the same time.
                let spread_ms = rand::random_range(pause_ms / 2..=pause_ms);
                tokio::time::sleep(Duration::from_millis(spread_ms)).await;
                pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
            }
        }
    }
}

/// Logs each return of the store from a copy, for as long as the process lives.
pub async fn observe_era(gateway: SharedGateway) {
    let mut eras = gateway.store.era();
    let mut before = 0;
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        gateway.events.write(
            "store_era",
            serde_json::json!({ "era": era, "before": before }),
        );
        before = era;
    }
}

// Returns the time until which entries may be missing because of what happens now.
fn grace_deadline_ms(gateway: &Gateway) -> TimeMs {
    let grace_ms = gateway.settings.load().entry_grace_ms;
    clock::now().after(grace_ms)
}

fn log_store(gateway: &Gateway, follower: &Follower, state: &str, detail: &str) {
    gateway.events.write(
        "store",
        serde_json::json!({ "kind": follower.kind, "state": state, "detail": detail }),
    );
}

async fn list(
    gateway: &SharedGateway,
    follower: &Follower,
    outage: &StoreOutage,
) -> Result<Option<StorePosition>, Error> {
    let listing = gateway.store.list(follower.kind, "").await?;
    let newest = listing.items.iter().map(|object| object.version).max();
    let newest = StorePosition::new(listing.era, newest.unwrap_or(0));
    gateway.seen_positions.record_own(follower.kind, newest);
    let position = StorePosition::new(listing.era, listing.revision);
    // Entries that were written after the copy are written again.
    let was_restored = outage.record_listing(position);
    if was_restored {
        outage.record(grace_deadline_ms(gateway));
    }
    (follower.replace)(gateway, listing, was_restored, outage);
    Ok(Some(position))
}

async fn watch_once(
    gateway: &SharedGateway,
    follower: &Follower,
    outage: &StoreOutage,
    after: StorePosition,
) -> Result<Option<StorePosition>, Error> {
    let kinds = [follower.kind];
    let wait_ms = watch_wait_ms(gateway, follower);
    let outcome = tokio::select! {
        outcome = gateway.store.watch(&kinds, after.revision(), wait_ms) => outcome?,
        () = gateway.seen_positions.peers_ahead(follower.kind, after) => {
            log_store(gateway, follower, "silent", "peers have seen newer changes");
            gateway.store.reset_connections();
            return Ok(None);
        }
        () = restored_after(gateway, after) => return Ok(None),
    };
    match outcome {
        WatchOutcome::TooOld => {
            log_store(gateway, follower, "history_gone", "");
            Ok(None)
        }
        WatchOutcome::Changes(changes) => {
            let position = StorePosition::new(changes.era, changes.revision);
            // If the revision has been given out again, changes were made before it since the store
            // was restored.
            if after.is_in_era_before(position) {
                return Ok(None);
            }
            if !changes.changes.is_empty() {
                gateway.seen_positions.record_own(follower.kind, position);
                for change in changes.changes {
                    (follower.change)(gateway, change, position, outage);
                }
                let members = u64::from(
                    gateway
                        .state()
                        .peer_reports
                        .membership(clock::now())
                        .members,
                );
                tokio::time::sleep(Duration::from_millis((follower.batch_delay_ms)(members))).await;
            }
            Ok(Some(position))
        }
    }
}

// Waits until any call shows that the store was restored from a copy after `position`.
async fn restored_after(gateway: &Gateway, position: StorePosition) {
    let mut eras = gateway.store.era();
    let is_later = |era: &u64| position.is_in_era_before(StorePosition::new(*era, 0));
    if eras.wait_for(is_later).await.is_err() {
        std::future::pending().await
    }
}

fn watch_wait_ms(gateway: &Gateway, follower: &Follower) -> u64 {
    let members = gateway
        .state()
        .peer_reports
        .membership(clock::now())
        .reachable;
    let longest_ms = (follower.max_watch_ms)(u64::from(members));
    rand::random_range(longest_ms * 2 / 3..=longest_ms)
}

// In a larger fleet an instance can wait longer, as another one reads the store in the meantime.
fn fleet_max_watch_ms(members: u64) -> u64 {
    (members * FLEET_WATCH_INTERVAL_MS).clamp(MIN_WATCH_MS, MAX_WATCH_MS)
}

/// Returns the follower of the configuration.
pub fn configuration(gateway: &Gateway) -> Follower {
    Follower {
        kind: gateway.dialect.objects.config_kind,
        replace: |gateway, listing, _, _| {
            for object in listing.items {
                apply_configuration(gateway, &object);
            }
        },
        change: |gateway, change, _, _| {
            if !change.deleted {
                apply_configuration(gateway, &change.object);
            }
        },
        batch_delay_ms: |_| BATCH_DELAY_MS,
        max_watch_ms: fleet_max_watch_ms,
        reads_store: |_| true,
    }
}

fn apply_configuration(gateway: &SharedGateway, object: &Object) {
    if *object.name != *gateway.dialect.objects.config_name {
        return;
    }
    let configuration = match (gateway.dialect.decode_configuration)(&object.value) {
        Ok(configuration) => configuration,
        Err(error) => {
            log_unreadable(gateway, object, &error.to_string());
            return;
        }
    };
    gateway
        .newer_configuration
        .record_stored(configuration.version);
    let current = gateway.configuration.load();
    let current = current.as_ref().map(|current| current.version);
    if current.is_some_and(|current| current >= configuration.version) {
        if current != Some(configuration.version) {
            log_outdated(gateway, current, configuration.version);
        }
        return;
    }
    metrics::gauge!(counters::CONFIG_VERSION).set(configuration.version as f64);
    gateway.events.write(
        "configuration",
        serde_json::json!({
            "version": configuration.version,
            "before": current,
            "routes": configuration.route_count(),
            "workspaces": configuration.workspaces.len(),
            "store_version": object.version,
        }),
    );
    cold::configure(gateway, &configuration);
    gateway.configuration.store(Some(Arc::new(configuration)));
}

fn log_outdated(gateway: &Gateway, current: Option<u64>, stored: u64) {
    gateway.events.write(
        "configuration_outdated",
        serde_json::json!({ "version": current, "stored": stored }),
    );
}

/// Returns the follower of the upstreams' entries.
pub fn upstreams(gateway: &Gateway) -> Follower {
    Follower {
        kind: gateway.dialect.objects.upstream_kind,
        replace: |gateway, listing, was_restored, outage| {
            let listed: Vec<(Upstream, &Object)> = listing
                .items
                .iter()
                .filter_map(|object| Some((read_upstream(gateway, object)?, object)))
                .collect();
            // Before requests are sent to upstreams that were unknown.
            for (upstream, object) in &listed {
                cold::record_entry(gateway, upstream, object);
            }
            let listing = listed.into_iter().map(|(upstream, _)| upstream);
            let now = clock::now();
            let held_back_deadline_ms = was_restored.then(|| now.after(LAPSE_MS));
            let grace_deadline_ms = outage.grace_deadline_ms(now);
            let mut state = gateway.state();
            state
                .upstreams
                .replace(listing, grace_deadline_ms, held_back_deadline_ms);
            // Engines may have come and gone since the last change that was seen.
            state.versions.reset();
            state.observe_versions(now);
            state.upstreams_known = true;
        },
        change: |gateway, change, _, outage| {
            if change.deleted {
                remove_upstream(gateway, &change.object.name, outage);
            } else if let Some(upstream) = read_upstream(gateway, &change.object) {
                put_upstream(gateway, upstream, &change.object);
            } else {
                // An entry that was overwritten with invalid data no longer describes an upstream.
                remove_upstream(gateway, &change.object.name, &StoreOutage::default());
            }
        },
        batch_delay_ms: |members| {
            (BATCH_DELAY_MS + members * BATCH_DELAY_MS_PER_MEMBER).min(MAX_BATCH_DELAY_MS)
        },
        max_watch_ms: fleet_max_watch_ms,
        reads_store: |_| true,
    }
}

fn read_upstream(gateway: &Gateway, object: &Object) -> Option<Upstream> {
    (gateway.dialect.decode_upstream)(&object.name, &object.value)
        .inspect_err(|error| log_unreadable(gateway, object, &error.to_string()))
        .ok()
}

fn put_upstream(gateway: &SharedGateway, upstream: Upstream, object: &Object) {
    let fields = serde_json::json!({
        "upstream": &*upstream.id,
        "address": upstream.address.to_string(),
        "version": &*upstream.software_version,
        "accepts_work": upstream.accepts_work,
    });
    // Before requests are sent to this incarnation.
    cold::record_entry(gateway, &upstream, object);
    let restarted = {
        let mut state = gateway.state();
        let before = state.upstreams.get(&upstream.id).cloned();
        let restarted =
            before.is_some_and(|before| before.started_unix_ms != upstream.started_unix_ms);
        if !state.upstreams.upsert(upstream.clone()) {
            return;
        }
        state.observe_versions(clock::now());
        if restarted {
            state.forget_incarnation(&upstream.id);
            gateway.learned_costs.forget(&upstream.id);
        }
        for id in state.upstreams.replaced_by(&upstream) {
            state
                .health
                .record_outcome(&id, Outcome::Replaced, clock::now());
        }
        restarted
    };
    if restarted {
        gateway.connections.close_idle(&upstream.id);
    }
    gateway.events.write("upstream", fields);
    gateway.report_needed.notify_one();
    gateway.queues.slot_freed();
}

fn remove_upstream(gateway: &SharedGateway, id: &str, outage: &StoreOutage) {
    let keep_deadline_ms = outage.grace_deadline_ms(clock::now());
    let known = {
        let mut state = gateway.state();
        let known = state.upstreams.remove(id, keep_deadline_ms);
        if keep_deadline_ms.is_none() {
            state.forget_upstream(id);
            gateway.learned_costs.forget(id);
        }
        known
    };
    if !known {
        return;
    }
    if keep_deadline_ms.is_none() {
        gateway.connections.close_idle(id);
    }
    gateway.events.write(
        "upstream_gone",
        serde_json::json!({ "upstream": id, "kept_for_now": keep_deadline_ms.is_some() }),
    );
}

/// Removes upstreams and evacuations whose entries stayed missing, for as long as the process lives.
pub async fn expire_missing(gateway: SharedGateway) {
    const INTERVAL: Duration = Duration::from_millis(250);
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = clock::now();
        let has_ended = gateway.state().upstreams.evacuations.expire(now);
        if has_ended {
            evacuations::log_evacuations(&gateway, "missing since the store was restored");
        }
        let expired = gateway.state().upstreams.expire(now);
        for id in expired {
            gateway.connections.close_idle(&id);
            gateway
                .events
                .write("upstream_expired", serde_json::json!({ "upstream": &*id }));
        }
    }
}

/// Logs and counts an object that can't be decoded.
pub fn log_unreadable(gateway: &Gateway, object: &Object, problem: &str) {
    metrics::counter!(counters::UNREADABLE_TOTAL, "kind" => object.kind.to_string()).increment(1);
    gateway.events.write(
        "unreadable_entry",
        serde_json::json!({
            "kind": &*object.kind,
            "name": &*object.name,
            "store_version": object.version,
            "problem": problem,
        }),
    );
}
