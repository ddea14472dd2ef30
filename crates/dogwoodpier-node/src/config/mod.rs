//! The configuration in force at this node.
//!
//! Versions come from the platform's watch (`source`) and from peers (`relay`). Each is checked
//! against its hashes and resolved before it is taken, and only a higher version is taken.

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
// Former roots, kept to tell which parts a peer has already.
const RECENT_ROOTS: usize = 8;

/// Texts of parts by their hash.
type Parts = BTreeMap<Arc<str>, Arc<str>>;

/// The configuration in force and how fresh the node's knowledge of it is.
pub struct ConfigStore {
    current: ArcSwap<EffectiveConfig>,
    knowledge: Mutex<Knowledge>,
    // Held while a version is fetched, so that one is fetched once.
    fetching: tokio::sync::Mutex<()>,
    // The peer that names the highest version not in force here.
    ahead: Mutex<Option<NodeInfo>>,
    ahead_notify: Notify,
    taken_notify: Notify,
}

struct Knowledge {
    versions: Versions,
    freshness: Freshness,
    root: Option<Root>,
    recent: VecDeque<Root>,
    parts: Parts,
    rejected: Option<Rejected>,
    // The last judgement, to log changes only.
    trust: KeyValidity,
}

// A version that this node can't take.
#[plain]
struct Rejected {
    version: u64,
    reason: Arc<str>,
}

impl ConfigStore {
    /// Returns the store of a node without a configuration. Keys are relied on for `freshness_ms`
    /// after the last news of the platform, and what peers say about it as long.
    pub fn new(freshness_ms: u64) -> Self {
        Self {
            current: ArcSwap::default(),
            knowledge: Mutex::new(Knowledge {
                versions: Versions::default(),
                freshness: Freshness::new(freshness_ms, freshness_ms),
                root: None,
                recent: VecDeque::new(),
                parts: Parts::new(),
                rejected: None,
                trust: KeyValidity::Stale,
            }),
            fetching: tokio::sync::Mutex::new(()),
            ahead: Mutex::new(None),
            ahead_notify: Notify::new(),
            taken_notify: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<EffectiveConfig> {
        self.current.load_full()
    }

    /// Returns the workspace whose key this is. Refuses unknown and withdrawn keys, and all keys
    /// while the node can't know which are withdrawn.
    pub fn authenticate(&self, key: &str, now: TimeMs) -> Result<Arc<str>, Refusal> {
        let key_hash = keys::hash_key(key);
        if self.trust(now) == KeyValidity::Stale {
            return Err(self.refuse_stale());
        }
        match self.current.load().workspace_of_key(&key_hash) {
            Some(workspace) => Ok(workspace.clone()),
            None => Err(Refusal::not_run(
                RefusalReason::InvalidKey,
                "the key is unknown or withdrawn; ask the operators for a new one",
            )),
        }
    }

    /// Returns whether a key, by the hash that `keys::hash_key` gives, may be used now. Requests
    /// that run for longer ask this again and again.
    pub fn is_key_valid(&self, key_hash: &str, now: TimeMs) -> bool {
        self.trust(now) != KeyValidity::Stale
            && self.current.load().workspace_of_key(key_hash).is_some()
    }

    /// Returns whether the node may rely on its keys.
    pub fn trust(&self, now: TimeMs) -> KeyValidity {
        let knowledge = self.lock();
        knowledge.freshness.key_validity(&knowledge.versions, now)
    }

    /// Returns the age of the newest contact with the platform that this node knows of, its own or a
    /// peer's. Ask before the version: an age that is older than the version does no harm.
    pub fn platform_contact_age_ms(&self, now: TimeMs) -> u64 {
        let knowledge = self.lock();
        if knowledge.versions.keys() > knowledge.versions.in_force() {
            // Peers would take it for news of the version in force.
            return NEVER_CONTACTED_AGE_MS;
        }
        knowledge.freshness.contact_age_ms(now)
    }

    /// Takes in what a peer says in a heartbeat. A higher version is fetched from it in the
    /// background. `asked_ms` is a time at or before the moment at which the peer said it.
    pub fn heard(
        &self,
        peer: &NodeInfo,
        config_version: u64,
        contact_age_ms: u64,
        asked_ms: TimeMs,
    ) {
        let mut knowledge = self.lock();
        if contact_age_ms < asked_ms.0 {
            let contact_ms = TimeMs(asked_ms.0 - contact_age_ms);
            knowledge.take_news(config_version, contact_ms);
        }
        let rejected = knowledge
            .rejected
            .as_ref()
            .is_some_and(|rejected| rejected.version == config_version);
        if knowledge.versions.observe(config_version) && !rejected {
            drop(knowledge);
            *lock(&self.ahead) = Some(peer.clone());
            self.ahead_notify.notify_one();
        }
    }

    /// Returns the configuration in force for a peer that has an older one.
    pub fn fetch(&self, newer_than: u64) -> FetchConfigReply {
        relay::bundle(&self.lock(), newer_than)
    }

    /// Returns the state as JSON, without key hashes.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        let current = self.current();
        let knowledge = self.lock();
        let root = knowledge.root.as_ref();
        serde_json::json!({
            "version": current.version,
            "keys_version": knowledge.versions.keys(),
            "highest_seen_version": knowledge.versions.highest_seen(),
            "message": root.map(|root| root.message.clone()),
            "author": root.map(|root| root.author.clone()),
            "rejected": knowledge.rejected.as_ref().map(|rejected| serde_json::json!({
                "version": rejected.version,
                "reason": rejected.reason,
            })),
            "platform_contact_age_ms": knowledge.freshness.contact_age_ms(now),
            "key_trust": format!("{:?}", knowledge.freshness.key_validity(&knowledge.versions, now)),
            "slot_count": current.slot_count,
            "key_count": current.keys.len(),
            "workspaces": current.workspaces,
            "pools": current.pools,
            "models": current.models,
            "routes": current.routes,
        })
    }

    /// Puts a version in force if it is higher than what is in force and its parts are whole and
    /// readable. `source` names where it came from in metrics. Returns false if it is to be fetched
    /// again, since parts were missing or damaged.
    fn take(&self, root: Root, parts: Parts, source: &'static str) -> bool {
        let find = |hash: &str| parts.get(hash).cloned();
        let generation = root.generation;
        let joined = storage::join(&root, find);
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
            .and_then(|effective| self.check_slots(effective));
        match resolved {
            Ok(effective) => self.put_in_force(root, parts, effective, source),
            Err(reason) => self.reject(&root, &parts, &reason),
        }
        true
    }

    fn check_slots(&self, effective: EffectiveConfig) -> Result<EffectiveConfig, String> {
        let current = self.current();
        if current.version > 0 && current.slot_count != effective.slot_count {
            return Err(format!(
                "fleet.slot_count changed from {} to {}; limits are divided by it",
                current.slot_count, effective.slot_count
            ));
        }
        Ok(effective)
    }

    fn put_in_force(
        &self,
        root: Root,
        parts: Parts,
        effective: EffectiveConfig,
        source: &'static str,
    ) {
        let mut knowledge = self.lock();
        if !knowledge.versions.activate(root.generation) {
            return;
        }
        let version = root.generation;
        self.current.store(Arc::new(effective));
        knowledge.parts = parts;
        if let Some(former) = knowledge.root.replace(root) {
            knowledge.recent.push_front(former);
            knowledge.recent.truncate(RECENT_ROOTS);
        }
        knowledge.rejected = None;
        knowledge.settle();
        drop(knowledge);
        info!("configuration {version} in force, from {source}");
        gauge!(counters::CONFIG_VERSION).set(version as f64);
        counter!(counters::CONFIGS_TAKEN_TOTAL, "source" => source).increment(1);
        self.taken_notify.notify_one();
    }

    // Keeps the configuration in force, but for keys that the rejected one withdraws.
    fn reject(&self, root: &Root, parts: &Parts, reason: &str) {
        let granted = storage::join_keys(root, |hash| parts.get(hash).cloned());
        let mut knowledge = self.lock();
        if root.generation <= knowledge.versions.keys() {
            return;
        }
        if let Some(granted) = granted.filter(|_| knowledge.versions.in_force() > 0) {
            let mut current = EffectiveConfig::clone(&self.current.load());
            current
                .keys
                .retain(|hash, workspace| granted.get(hash) == Some(workspace));
            self.current.store(Arc::new(current));
            knowledge.versions.activate_keys(root.generation);
            knowledge.settle();
        }
        let version = root.generation;
        let known = knowledge
            .rejected
            .replace(Rejected {
                version,
                reason: reason.into(),
            })
            .is_some_and(|rejected| rejected.version == version);
        drop(knowledge);
        counter!(counters::CONFIGS_REJECTED_TOTAL, "reason" => "unreadable").increment(1);
        if !known {
            error!("configuration {version} is not taken, the former stays in force: {reason}");
        }
    }

    /// Returns whether this node attests to its peers that the platform is out for everybody.
    pub fn attests_outage(&self, now: TimeMs) -> bool {
        let knowledge = self.lock();
        knowledge.freshness.reports_outage(&knowledge.versions, now)
    }

    /// Takes in whether a peer attested an outage when it was asked at `asked_ms`.
    pub fn take_witness(&self, instance: &str, attests_outage: bool, asked_ms: TimeMs) {
        self.lock()
            .freshness
            .handle_outage_report(instance, attests_outage, asked_ms);
    }

    // Reviews the trust in the keys, and tells operators of a change.
    fn review(&self, tried_peers: usize, now: TimeMs) {
        let mut knowledge = self.lock();
        knowledge.freshness.review(tried_peers, now);
        let trust = knowledge.freshness.key_validity(&knowledge.versions, now);
        let age_ms = knowledge.freshness.contact_age_ms(now);
        let former = std::mem::replace(&mut knowledge.trust, trust);
        drop(knowledge);
        gauge!(counters::PLATFORM_CONTACT_AGE_MS).set(age_ms as f64);
        let trusted = if trust == KeyValidity::Stale {
            0.0
        } else {
            1.0
        };
        gauge!(counters::KEYS_TRUSTED_STATE).set(trusted);
        if trust == former {
            return;
        }
        match trust {
            KeyValidity::Fresh => info!("news of the platform is recent, keys are relied on"),
            KeyValidity::Outage => {
                warn!("no news of the platform at any peer, keys are relied on as known")
            }
            KeyValidity::Stale => {
                warn!("cut off from news of the platform, keyed requests are refused")
            }
        }
    }

    fn refuse_stale(&self) -> Refusal {
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

    fn lock(&self) -> MutexGuard<'_, Knowledge> {
        lock(&self.knowledge)
    }
}

impl Knowledge {
    fn take_news(&mut self, version: u64, contact_ms: TimeMs) {
        let news = VersionReport {
            version,
            contact_ms,
        };
        self.freshness
            .handle_version_report(news, &mut self.versions);
    }

    fn settle(&mut self) {
        self.freshness.apply_pending(&mut self.versions);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps the configuration up to date from the platform's watch and from peers.
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
        node.config.review(node.peers.tried(now), now);
    }
}
