//! The directory of upstreams: the platform's list, combined with the results of calls and the load
//! reports of engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::seq::SliceRandom;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::holds::HoldId;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_core::selection::DecodeHint;
use dogwoodpier_core::selection::PrefillHint;
use dogwoodpier_platform::wire::Instance;
use dogwoodpier_platform::wire::InstanceRole;
use dogwoodpier_platform::wire::InstanceState;
use dogwoodpier_upstream::engine::EngineClient;
use dogwoodpier_upstream::engine::EngineOptions;
use dogwoodpier_upstream::prefix::prefix_hashes;
use dogwoodpier_upstream::service::ServiceClient;
use dogwoodpier_upstream::service::ServiceOptions;
use dogwoodpier_upstream::wire::CacheEvents;
use dogwoodpier_upstream::wire::LoadReport;

use super::cache::PrefixHints;

const CONNECT_TIMEOUT_MS: u64 = 500;
const CALL_TIMEOUT_MS: u64 = 1_000;
// Time for which an upstream that is no longer listed is kept, so that cancels still reach it.
const UNLISTED_RETENTION_MS: u64 = 30_000;
const DEFAULT_TOKENS_PER_PIECE: u32 = 16;

/// An engine and its client.
#[derive(Clone)]
pub struct Engine {
    /// Name.
    pub name: Arc<str>,
    /// Address "ip:port" at which other engines reach it.
    pub address: Arc<str>,
    /// Client.
    pub client: EngineClient,
}

/// A plain service and its client.
#[derive(Clone)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Client.
    pub client: ServiceClient,
}

/// All upstreams by name.
#[derive(Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Entry>,
}

struct Entry {
    instance: Instance,
    client: EntryClient,
    // Time since which the platform has not listed it, absent while it is listed.
    unlisted_since_ms: Option<TimeMs>,
    healthy: bool,
    failures: u64,
    report: Option<LoadReport>,
    // Time to which the free capacity and the prefill queue refer.
    load_as_of_ms: TimeMs,
    free: EngineCapacity,
    wait_ms: u64,
    queued_prompt_tokens: u64,
    prefills: BTreeMap<HoldId, SentPrefill>,
    prefixes: PrefixHints,
}

enum EntryClient {
    Engine(EngineClient),
    Service(ServiceClient),
}

struct SentPrefill {
    tokens: u64,
    sent_ms: TimeMs,
}

impl Directory {
    /// Applies the platform's list of upstreams.
    pub fn update_listed(&mut self, instances: Vec<Instance>, now: TimeMs) {
        for entry in self.entries.values_mut() {
            entry.unlisted_since_ms.get_or_insert(now);
        }
        for instance in instances {
            match self.entries.get_mut(&instance.name) {
                Some(entry) if entry.instance.address == instance.address => {
                    entry.instance = instance;
                    entry.unlisted_since_ms = None;
                }
                _ => {
                    if let Some(entry) = Entry::new(instance) {
                        self.entries.insert(entry.instance.name.clone(), entry);
                    }
                }
            }
        }
        self.entries.retain(|_, entry| {
            entry.unlisted_since_ms.is_none_or(|unlisted_since_ms| {
                now.since(unlisted_since_ms) < UNLISTED_RETENTION_MS
            })
        });
    }

    /// Returns the upstreams that the platform lists.
    pub fn listed(&self) -> Vec<Instance> {
        let listed = self
            .entries
            .values()
            .filter(|entry| entry.unlisted_since_ms.is_none());
        listed.map(|entry| entry.instance.clone()).collect()
    }

    /// Returns whether an upstream is known, listed or not.
    pub fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// Returns an engine.
    pub fn engine(&self, name: &str) -> Option<Engine> {
        self.entries.get(name)?.engine()
    }

    /// Returns whether an upstream accepts new requests according to the platform, whether this node
    /// reaches it or not.
    pub fn accepts_work(&self, name: &str) -> bool {
        self.entries.get(name).is_some_and(Entry::accepts_work)
    }

    /// Returns the available services of a pool, in random order.
    pub fn services(&self, pool: &str) -> Vec<Service> {
        let mut services: Vec<Service> = self
            .available(InstanceRole::Service, pool)
            .filter_map(|entry| match &entry.client {
                EntryClient::Service(client) => Some(Service {
                    name: entry.instance.name.clone(),
                    client: client.clone(),
                }),
                EntryClient::Engine(_) => None,
            })
            .collect();
        services.shuffle(&mut rand::rng());
        services
    }

    /// Returns load hints of the available decode engines of a pool.
    pub fn decode_hints(&self, pool: &str) -> Vec<DecodeHint> {
        self.available(InstanceRole::DecodeEngine, pool)
            .map(|entry| DecodeHint {
                engine: entry.instance.name.clone(),
                capacity: entry.capacity().unwrap_or_default(),
                free: entry.free,
                wait_ms: entry.wait_ms,
            })
            .collect()
    }

    /// Returns load hints of the available prefill engines of a pool, for one prompt.
    pub fn prefill_hints(&self, pool: &str, model: &str, prompt: &str) -> Vec<PrefillHint> {
        let tokens_per_piece = self.tokens_per_piece(pool);
        let hashes = prefix_hashes(model, prompt, tokens_per_piece);
        self.available(InstanceRole::PrefillEngine, pool)
            .map(|entry| PrefillHint {
                engine: entry.instance.name.clone(),
                queued_tokens: entry.queued_tokens(),
                cached_tokens: entry.prefixes.count_leading(&hashes) as u64
                    * u64::from(tokens_per_piece),
                tokens_per_s: entry
                    .report
                    .as_ref()
                    .map_or(0, |report| report.prefill_tokens_per_s),
                link_wait_ms: 0,
            })
            .collect()
    }

    /// Returns whether an upstream is a decode engine.
    pub fn is_decode(&self, name: &str) -> bool {
        self.entries
            .get(name)
            .is_some_and(|entry| entry.instance.role == InstanceRole::DecodeEngine)
    }

    /// Returns the names of all known engines, listed or not.
    pub fn engines(&self) -> Vec<Arc<str>> {
        self.entries
            .values()
            .filter(|entry| matches!(entry.client, EntryClient::Engine(_)))
            .map(|entry| entry.instance.name.clone())
            .collect()
    }

    /// Returns the capacity of an engine, if a load report has been received.
    pub fn capacity(&self, name: &str) -> Option<EngineCapacity> {
        self.entries.get(name)?.capacity()
    }

    /// Returns the number of tokens in a KV piece of a pool's engines, or a default before the
    /// first load report.
    pub fn tokens_per_piece(&self, pool: &str) -> u32 {
        self.entries
            .values()
            .filter(|entry| *entry.instance.pool == *pool)
            .find_map(|entry| entry.report.as_ref().map(|report| report.tokens_per_piece))
            .unwrap_or(DEFAULT_TOKENS_PER_PIECE)
    }

    /// Updates the free capacity and estimated wait of an engine.
    pub fn update_free_capacity(
        &mut self,
        name: &str,
        free: EngineCapacity,
        wait_ms: u64,
        now: TimeMs,
    ) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.free = free;
            entry.wait_ms = wait_ms;
            entry.load_as_of_ms = now;
        }
    }

    /// Records a failed call. An engine is unavailable until its next load report.
    pub fn record_failure(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.failures += u64::from(entry.healthy);
            // A service stays healthy, because it publishes no load reports that could restore it.
            entry.healthy = entry.instance.role == InstanceRole::Service;
            // The engine may have lost its cache as well.
            entry.prefixes = PrefixHints::default();
        }
    }

    /// Returns how often an upstream has changed from healthy to failed; for a service, the number
    /// of failed calls.
    pub fn failure_count(&self, name: &str) -> u64 {
        self.entries.get(name).map_or(0, |entry| entry.failures)
    }

    /// Applies a load report that was requested at `requested_ms`.
    pub fn update_load(&mut self, name: &str, report: LoadReport, requested_ms: TimeMs) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.healthy = true;
        let load_as_of_ms = TimeMs(requested_ms.0.saturating_sub(report.age_ms));
        // Replies to calls may have brought newer values since.
        if load_as_of_ms > entry.load_as_of_ms || entry.report.is_none() {
            entry.load_as_of_ms = load_as_of_ms;
            entry.free = EngineCapacity {
                sequences: report.max_sequences.saturating_sub(report.sequences),
                pieces: report.max_pieces.saturating_sub(report.pieces),
            };
            entry.queued_prompt_tokens = report.queued_prompt_tokens;
        }
        entry.report = Some(report);
    }

    /// Returns the sequence number after which to request an engine's cache events.
    pub fn cache_events_after(&self, name: &str) -> u64 {
        self.entries
            .get(name)
            .map_or(0, |entry| entry.prefixes.after_sequence())
    }

    /// Applies cache events.
    pub fn apply_cache_events(&mut self, name: &str, events: &CacheEvents) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.prefixes.apply_events(events);
        }
    }

    /// Records a prefill that is being sent, with the tokens it has to compute.
    pub fn record_prefill_sent(&mut self, name: &str, hold: HoldId, tokens: u64, now: TimeMs) {
        if let Some(entry) = self.entries.get_mut(name) {
            let sent_ms = now;
            entry.prefills.insert(hold, SentPrefill { tokens, sent_ms });
        }
    }

    /// Records that a prefill has ended.
    pub fn record_prefill_ended(&mut self, name: &str, hold: HoldId) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.prefills.remove(&hold);
        }
    }

    /// Records that an engine has computed a prompt, whose prefixes it has now cached.
    pub fn record_prefill_computed(&mut self, name: &str, model: &str, prompt: &str) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if let Some(report) = &entry.report {
            for prefix_hash in prefix_hashes(model, prompt, report.tokens_per_piece) {
                entry.prefixes.add(prefix_hash);
            }
        }
    }

    /// Returns the state as JSON.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        self.entries
            .values()
            .map(|entry| {
                serde_json::json!({
                    "name": entry.instance.name,
                    "role": entry.instance.role,
                    "pool": entry.instance.pool,
                    "state": entry.instance.state,
                    "listed": entry.unlisted_since_ms.is_none(),
                    "healthy": entry.healthy,
                    "hint_age_ms": now.since(entry.load_as_of_ms),
                    "free_sequences": entry.free.sequences,
                    "free_pieces": entry.free.pieces,
                    "wait_ms": entry.wait_ms,
                })
            })
            .collect()
    }

    fn available<'a>(
        &'a self,
        role: InstanceRole,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a Entry> {
        self.entries.values().filter(move |entry| {
            entry.instance.role == role && *entry.instance.pool == *pool && entry.is_available()
        })
    }
}

impl Entry {
    // Returns `None` if the address is not a socket address.
    fn new(instance: Instance) -> Option<Self> {
        let address: SocketAddr = instance.address.parse().ok()?;
        let client = if instance.role == InstanceRole::Service {
            EntryClient::Service(ServiceClient::new(ServiceOptions {
                address,
                connect_timeout_ms: CONNECT_TIMEOUT_MS,
            }))
        } else {
            EntryClient::Engine(EngineClient::new(EngineOptions {
                address,
                connect_timeout_ms: CONNECT_TIMEOUT_MS,
                call_timeout_ms: CALL_TIMEOUT_MS,
            }))
        };
        // An engine becomes healthy with its first load report.
        let healthy = instance.role == InstanceRole::Service;
        Some(Self {
            instance,
            client,
            unlisted_since_ms: None,
            healthy,
            failures: 0,
            report: None,
            load_as_of_ms: TimeMs(0),
            free: EngineCapacity::default(),
            wait_ms: 0,
            queued_prompt_tokens: 0,
            prefills: BTreeMap::new(),
            prefixes: PrefixHints::default(),
        })
    }

    fn engine(&self) -> Option<Engine> {
        match &self.client {
            EntryClient::Engine(client) => Some(Engine {
                name: self.instance.name.clone(),
                address: self.instance.address.clone(),
                client: client.clone(),
            }),
            EntryClient::Service(_) => None,
        }
    }

    fn is_available(&self) -> bool {
        self.healthy && self.accepts_work()
    }

    fn accepts_work(&self) -> bool {
        self.unlisted_since_ms.is_none() && self.instance.state == InstanceState::Live
    }

    fn capacity(&self) -> Option<EngineCapacity> {
        self.report.as_ref().map(|report| EngineCapacity {
            sequences: report.max_sequences,
            pieces: report.max_pieces,
        })
    }

    // Returns the queued tokens of the last load report plus those that this node has sent since.
    fn queued_tokens(&self) -> u64 {
        let sent: u64 = self
            .prefills
            .values()
            .filter(|prefill| prefill.sent_ms > self.load_as_of_ms)
            .map(|prefill| prefill.tokens)
            .sum();
        self.queued_prompt_tokens + sent
    }
}
