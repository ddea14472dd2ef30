//! The configuration in force at this node.
//!
//! Versions come from the platform's watch (`source`) and from peers (`relay`). Each is checked
//! against its hashes and resolved before it is put in force, and only a version higher than the
//! one in force replaces it.

mod relay;
mod source;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::debug;
use log::error;
use log::info;
use log::warn;
use metrics::counter;
use metrics::gauge;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use dogwoodpier_config::EffectiveConfig;
use dogwoodpier_config::keys;
use dogwoodpier_config::resolve;
use dogwoodpier_config::storage;
use dogwoodpier_config::storage::Root;
use dogwoodpier_config::storage::StorageError;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::freshness::Freshness;
use dogwoodpier_core::freshness::KeyValidity;
use dogwoodpier_core::freshness::NEVER_CONTACTED_AGE_MS;
use dogwoodpier_core::freshness::REVIEWS_PER_PERIOD;
use dogwoodpier_core::freshness::VersionReport;
use dogwoodpier_core::versions::Versions;
use dogwoodpier_derive::plain;
use dogwoodpier_proto::FetchConfigReply;
use dogwoodpier_proto::NodeInfo;

use crate::clock;
use crate::counters;
use crate::state::SharedNode;

const RETRY_AFTER_STALE_MS: u64 = 2_000;
const RETRY_AFTER_START_MS: u64 = 1_000;
// Former roots that are kept to know which parts a peer already has.
const MAX_FORMER_ROOTS: usize = 8;

/// Texts of parts, by hash.
type Parts = BTreeMap<Arc<str>, Arc<str>>;

/// The configuration in force, and when the platform was last known to have it.
pub struct ConfigStore {
    current: ArcSwap<EffectiveConfig>,
    state: Mutex<State>,
    // Held while a version is fetched, so that each is fetched only once.
    fetch_lock: tokio::sync::Mutex<()>,
    // The peer that last reported a version to fetch.
    newer_peer: Mutex<Option<NodeInfo>>,
    newer_version_notify: Notify,
    applied_notify: Notify,
}

struct State {
    versions: Versions,
    freshness: Freshness,
    root: Option<Root>,
    former_roots: VecDeque<Root>,
    parts: Parts,
    rejected: Option<Rejected>,
    // The result of the last review, so that only changes are logged.
    reviewed_validity: KeyValidity,
}

// A version that this node can't put in force.
#[plain]
struct Rejected {
    version: u64,
    reason: Arc<str>,
}

impl ConfigStore {
    /// Returns a store without a configuration. Keys are relied on for `freshness_ms` after the last
    /// known contact with the platform, and peers' reports of an outage count for as long.
    pub fn new(freshness_ms: u64) -> Self {
        Self {
            current: ArcSwap::default(),
            state: Mutex::new(State {
                versions: Versions::default(),
                freshness: Freshness::new(freshness_ms, freshness_ms),
                root: None,
                former_roots: VecDeque::new(),
                parts: Parts::new(),
                rejected: None,
                reviewed_validity: KeyValidity::Stale,
            }),
            fetch_lock: tokio::sync::Mutex::new(()),
            newer_peer: Mutex::new(None),
            newer_version_notify: Notify::new(),
            applied_notify: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<EffectiveConfig> {
        self.current.load_full()
    }

    /// Returns the workspace that a key belongs to. Refuses unknown and withdrawn keys, and all keys
    /// while the node can't know which are withdrawn.
    pub fn authenticate(&self, key: &str, now: TimeMs) -> Result<Arc<str>, Refusal> {
        let key_hash = keys::hash_key(key);
        if self.key_validity(now) == KeyValidity::Stale {
            return Err(self.stale_keys_refusal());
        }
        match self.current.load().workspace_of_key(&key_hash) {
            Some(workspace) => Ok(workspace.clone()),
            None => Err(Refusal::not_run(
                RefusalReason::InvalidKey,
                "the key is unknown or withdrawn; ask the operators for a new one",
            )),
        }
    }

    /// Returns whether a key, given by its hash from `keys::hash_key`, may be used now. Requests that
    /// run for long check this repeatedly.
    pub fn is_key_valid(&self, key_hash: &str, now: TimeMs) -> bool {
        self.key_validity(now) != KeyValidity::Stale
            && self.current.load().workspace_of_key(key_hash).is_some()
    }

    /// Returns whether the node may rely on its keys.
    pub fn key_validity(&self, now: TimeMs) -> KeyValidity {
        let state = self.lock();
        state.freshness.key_validity(&state.versions, now)
    }

    /// Returns the age of the newest contact with the platform that this node knows of, its own or a
    /// peer's. Callers that also report the version read the age first: an age from before a version
    /// came into force does no harm, while a newer age would make an older version look current.
    pub fn platform_contact_age_ms(&self, now: TimeMs) -> u64 {
        let state = self.lock();
        if state.versions.keys() > state.versions.in_force() {
            // Peers would take the contact as one that confirms the version in force.
            return NEVER_CONTACTED_AGE_MS;
        }
        state.freshness.contact_age_ms(now)
    }

    /// Applies a peer's version and contact with the platform from a heartbeat. A higher version is
    /// fetched from the peer in the background. The peer made the report at `not_before_ms` or later.
    pub fn handle_peer_report(
        &self,
        peer: &NodeInfo,
        config_version: u64,
        contact_age_ms: u64,
        not_before_ms: TimeMs,
    ) {
        let mut state = self.lock();
        if contact_age_ms < not_before_ms.0 {
            let contact_ms = TimeMs(not_before_ms.0 - contact_age_ms);
            state.record_contact(config_version, contact_ms);
        }
        let rejected = state
            .rejected
            .as_ref()
            .is_some_and(|rejected| rejected.version == config_version);
        if state.versions.observe(config_version) && !rejected {
            drop(state);
            *lock(&self.newer_peer) = Some(peer.clone());
            self.newer_version_notify.notify_one();
        }
    }

    /// Returns the reply to a peer that fetches a configuration above the version `newer_than`.
    pub fn fetch_reply(&self, newer_than: u64) -> FetchConfigReply {
        relay::fetch_reply(&self.lock(), newer_than)
    }

    /// Returns the state as JSON, without key hashes.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        let current = self.current();
        let state = self.lock();
        let root = state.root.as_ref();
        serde_json::json!({
            "version": current.version,
            "keys_version": state.versions.keys(),
            "highest_seen_version": state.versions.highest_seen(),
            "message": root.map(|root| root.message.clone()),
            "author": root.map(|root| root.author.clone()),
            "rejected": state.rejected.as_ref().map(|rejected| serde_json::json!({
                "version": rejected.version,
                "reason": rejected.reason,
            })),
            "platform_contact_age_ms": state.freshness.contact_age_ms(now),
            "key_trust": format!("{:?}", state.freshness.key_validity(&state.versions, now)),
            "slot_count": current.slot_count,
            "key_count": current.keys.len(),
            "workspaces": current.workspaces,
            "pools": current.pools,
            "models": current.models,
            "routes": current.routes,
        })
    }

    /// Puts a version in force if it is higher than the one in force and its parts are complete and
    /// readable. `source` names its origin in metrics and logs. Returns false if parts are missing or
    /// damaged, so that the version must be fetched again.
    fn apply(&self, root: Root, parts: Parts, source: &'static str) -> bool {
        let find_part = |hash: &str| parts.get(hash).cloned();
        let generation = root.generation;
        let joined = storage::join(&root, find_part);
        if let Err(error @ (StorageError::Missing(_) | StorageError::Corrupt(_))) = &joined {
            debug!("configuration {generation} from {source} is not whole: {error}");
            counter!(counters::CONFIGS_REJECTED_TOTAL, "reason" => "not_whole").increment(1);
            return false;
        }
        let resolved = joined
            .map_err(|error| error.to_string())
            .and_then(|declarations| {
                resolve::resolve(&declarations, generation).map_err(|findings| {
                    findings
                        .first()
                        .map(ToString::to_string)
                        .unwrap_or_default()
                })
            })
            .and_then(|effective| self.check_slot_count(effective));
        match resolved {
            Ok(effective) => self.activate(root, parts, effective, source),
            Err(reason) => self.reject(&root, &parts, &reason),
        }
        true
    }

    fn check_slot_count(&self, effective: EffectiveConfig) -> Result<EffectiveConfig, String> {
        let current = self.current();
        if current.version > 0 && current.slot_count != effective.slot_count {
            return Err(format!(
                "fleet.slot_count changed from {} to {}; limits are divided by it",
                current.slot_count, effective.slot_count
            ));
        }
        Ok(effective)
    }

    fn activate(&self, root: Root, parts: Parts, effective: EffectiveConfig, source: &'static str) {
        let mut state = self.lock();
        if !state.versions.activate(root.generation) {
            return;
        }
        let version = root.generation;
        self.current.store(Arc::new(effective));
        state.parts = parts;
        if let Some(former) = state.root.replace(root) {
            state.former_roots.push_front(former);
            state.former_roots.truncate(MAX_FORMER_ROOTS);
        }
        state.rejected = None;
        state.apply_pending();
        drop(state);
        info!("configuration {version} in force, from {source}");
        gauge!(counters::CONFIG_VERSION).set(version as f64);
        counter!(counters::CONFIGS_TAKEN_TOTAL, "source" => source).increment(1);
        self.applied_notify.notify_one();
    }

    // Keeps the configuration in force, except for the keys that the rejected one withdraws.
    fn reject(&self, root: &Root, parts: &Parts, reason: &str) {
        let granted_keys = storage::join_keys(root, |hash| parts.get(hash).cloned());
        let mut state = self.lock();
        if root.generation <= state.versions.keys() {
            return;
        }
        if let Some(granted_keys) = granted_keys.filter(|_| state.versions.in_force() > 0) {
            let mut current = EffectiveConfig::clone(&self.current.load());
            current
                .keys
                .retain(|hash, workspace| granted_keys.get(hash) == Some(workspace));
            self.current.store(Arc::new(current));
            state.versions.activate_keys(root.generation);
            state.apply_pending();
        }
        let version = root.generation;
        let already_logged = state
            .rejected
            .replace(Rejected {
                version,
                reason: reason.into(),
            })
            .is_some_and(|rejected| rejected.version == version);
        drop(state);
        counter!(counters::CONFIGS_REJECTED_TOTAL, "reason" => "unreadable").increment(1);
        if !already_logged {
            error!("configuration {version} is not taken, the former stays in force: {reason}");
        }
    }

    /// Returns whether this node reports an outage of the platform to its peers.
    pub fn attests_outage(&self, now: TimeMs) -> bool {
        let state = self.lock();
        state.freshness.reports_outage(&state.versions, now)
    }

    /// Records whether a peer reported an outage of the platform in its answer to the heartbeat sent
    /// at `sent_ms`.
    pub fn handle_outage_report(&self, instance: &str, attests_outage: bool, sent_ms: TimeMs) {
        self.lock()
            .freshness
            .handle_outage_report(instance, attests_outage, sent_ms);
    }

    // Reviews whether keys may be relied on, updates the metrics and logs a change.
    fn review(&self, called_peers: usize, now: TimeMs) {
        let mut state = self.lock();
        state.freshness.review(called_peers, now);
        let validity = state.freshness.key_validity(&state.versions, now);
        let age_ms = state.freshness.contact_age_ms(now);
        let former = std::mem::replace(&mut state.reviewed_validity, validity);
        drop(state);
        gauge!(counters::PLATFORM_CONTACT_AGE_MS).set(age_ms as f64);
        let trusted = if validity == KeyValidity::Stale {
            0.0
        } else {
            1.0
        };
        gauge!(counters::KEYS_TRUSTED_STATE).set(trusted);
        if validity == former {
            return;
        }
        match validity {
            KeyValidity::Fresh => info!("contact with the platform is recent; accepting keys"),
            KeyValidity::Outage => {
                warn!("most peers report an outage of the platform; accepting the last known keys")
            }
            KeyValidity::Stale => {
                warn!(
                    "no recent contact with the platform, or a newer version is missing; refusing keys"
                )
            }
        }
    }

    fn stale_keys_refusal(&self) -> Refusal {
        if self.current.load().version == 0 {
            return Refusal::not_run(
                RefusalReason::KeysStale,
                "this instance has no configuration yet; come back soon",
            )
            .retry_after(RETRY_AFTER_START_MS);
        }
        Refusal::not_run(
            RefusalReason::KeysStale,
            "this instance can't tell at present whether keys are still valid; come back soon",
        )
        .retry_after(RETRY_AFTER_STALE_MS)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn record_contact(&mut self, version: u64, contact_ms: TimeMs) {
        let report = VersionReport {
            version,
            contact_ms,
        };
        self.freshness
            .handle_version_report(report, &mut self.versions);
    }

    fn apply_pending(&mut self) {
        self.freshness.apply_pending(&mut self.versions);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps the configuration up to date by the platform's watch and by peers, until the process ends.
pub async fn run(node: SharedNode) {
    tokio::join!(
        source::run(node.clone()),
        relay::run_fetch(node.clone()),
        relay::run_push(node.clone()),
        review(node),
    );
}

async fn review(node: SharedNode) {
    let interval_ms = node.settings.tuning.freshness_ms / REVIEWS_PER_PERIOD;
    let mut interval = tokio::time::interval(Duration::from_millis(interval_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = clock::now();
        node.config
            .review(node.peers.recently_called_count(now), now);
    }
}
