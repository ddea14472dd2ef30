//! Registrations of instances in the store, by which peers find each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde_json::Value;

use dogwoodpier_derive::wire;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;
use dogwoodpier_platform::wire::Object;
use dogwoodpier_process::clock;

use crate::prompt_parts;
use crate::prompt_parts::StoredCrash;
use crate::state::Gateway;
use crate::state::SharedGateway;

// Pause between attempts to register, and to list the peers for the first time, while the store is
// unavailable.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
// Changes of the quarantined parts come in series; one write covers those of this time.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);
// Time over which the instances of a fleet register again after the store was restored, so that
// they stay within the writes a second that it takes.
const RESTORE_SPREAD_MS: u64 = 2_000;
// Time without reports after which an instance's registration is removed. An instance that is alive
// registers again.
const REMOVE_SILENT_AFTER_MS: u64 = 60_000;
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

// Names of new peers in one log line, which the start of a whole fleet would fill otherwise.
const MAX_NAMES_LOGGED: usize = 8;

// Instances of a fleet start together, so a new one reads the listing more often at first.
const INITIAL_LISTING_INTERVAL: Duration = Duration::from_millis(300);
const LISTING_INTERVAL: Duration = Duration::from_secs(5);

/// The registration of an instance.
#[wire]
pub struct Registration {
    /// Address for messages between peers.
    pub peer_address: SocketAddr,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Capacity relative to other instances.
    #[serde(default = "default_capacity")]
    pub capacity: f64,
    /// Crashes because of which parts of prompts are quarantined.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<StoredCrash>,
}

fn default_capacity() -> f64 {
    1.0
}

/// Addresses of the peers that are registered or send reports.
#[derive(Default)]
pub struct PeerAddresses {
    by_instance: Mutex<BTreeMap<Arc<str>, SocketAddr>>,
    // Peers that became known by their reports, for the next log line.
    reporting: Mutex<Vec<Arc<str>>>,
}

impl PeerAddresses {
    /// Returns the addresses of all peers.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.lock().values().copied().collect()
    }

    /// Returns the address of a peer.
    pub fn get(&self, instance: &str) -> Option<SocketAddr> {
        self.lock().get(instance).copied()
    }

    /// Returns the names of all peers.
    pub fn instances(&self) -> Vec<Arc<str>> {
        self.lock().keys().cloned().collect()
    }

    fn reporting(&self) -> MutexGuard<'_, Vec<Arc<str>>> {
        self.reporting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    // Returns whether the peer is new or its address has changed.
    fn insert(&self, instance: &Arc<str>, address: SocketAddr) -> bool {
        self.lock().insert(instance.clone(), address) != Some(address)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, SocketAddr>> {
        self.by_instance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registers this instance, and registers it again whenever its registration has been removed, the
/// store was restored from a copy, or the evidence that the registration is to keep has changed.
pub async fn run(gateway: SharedGateway) {
    let mut eras = gateway.store.era();
    loop {
        let stored = loop {
            match register(&gateway).await {
                Ok(stored) => break stored,
                Err(error) => gateway.events.write(
                    "registration_failed",
                    serde_json::json!({ "detail": error.to_string() }),
                ),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        eras.mark_unchanged();
        tokio::select! {
            () = gateway.registration_lost.notified() => {
                // The listing may be older than the registration.
                tokio::time::sleep(LISTING_INTERVAL).await;
            }
            Ok(()) = eras.changed() => {
                // All instances register again.
                let spread_ms = rand::random_range(0..RESTORE_SPREAD_MS);
                tokio::time::sleep(Duration::from_millis(spread_ms)).await;
            }
            () = evidence_differs(&gateway, &stored) => {}
        }
    }
}

// Waits until the registration is to keep other evidence than `stored`.
async fn evidence_differs(gateway: &Gateway, stored: &[StoredCrash]) {
    let mut changes = gateway.quarantine.changes();
    let is_stored = |current: &[StoredCrash]| {
        let mut pairs = stored.iter().zip(current);
        stored.len() == current.len() && pairs.all(|(one, other)| one.is_same_crash(other))
    };
    while is_stored(&prompt_parts::stored_evidence(gateway)) {
        // Another instance may be the owner of the quarantine by then.
        if tokio::time::timeout(LISTING_INTERVAL, changes.changed())
            .await
            .is_ok()
        {
            tokio::time::sleep(CHANGE_PAUSE).await;
        }
    }
}

// Returns the evidence that the registration keeps.
async fn register(gateway: &Gateway) -> anyhow::Result<Vec<StoredCrash>> {
    let settings = gateway.settings.load_full();
    let kind = gateway.dialect.objects.instance_kind;
    let mut expect = Precondition::Absent;
    loop {
        let crashes = prompt_parts::stored_evidence(gateway);
        let registration = serde_json::to_value(Registration {
            peer_address: settings.peer_address,
            incarnation: gateway.incarnation,
            capacity: settings.capacity,
            crashes: crashes.clone(),
        })?;
        let outcome = gateway
            .store
            .put(kind, &settings.instance, &registration, expect)
            .await?;
        match outcome {
            PutOutcome::Written { .. } => return Ok(crashes),
            PutOutcome::Conflict { current } => match current {
                // The answer to an earlier attempt was lost; the registration exists already.
                Some(object) if object.value == registration => return Ok(crashes),
                Some(object) => {
                    restore_own_evidence(gateway, &object);
                    expect = Precondition::Version(object.version);
                }
                None => expect = Precondition::Absent,
            },
        }
    }
}

// Takes the evidence from the registration of the previous incarnation before it is replaced.
fn restore_own_evidence(gateway: &Gateway, object: &Object) {
    match parse_registration(&object.value) {
        Ok(previous) if previous.incarnation != gateway.incarnation => {
            prompt_parts::restore_evidence(gateway, &previous.crashes, true);
        }
        Ok(_) => {}
        Err(error) => log_unreadable(gateway, object, &error),
    }
}

fn log_unreadable(gateway: &Gateway, object: &Object, error: &serde_json::Error) {
    gateway.events.write(
        "unreadable_registration",
        serde_json::json!({ "instance": &*object.name, "problem": error.to_string() }),
    );
}

/// Reads the registrations periodically, for as long as the process lives. Membership only guides
/// decisions, so a cheap read that may be seconds old is sufficient.
pub async fn find_peers(gateway: SharedGateway) {
    let kind = gateway.dialect.objects.instance_kind;
    // After a restart of all instances, the registrations of before name all peers already, and owners
    // need them with the first request.
    let mut pause = Duration::ZERO;
    let mut has_listed = false;
    loop {
        tokio::time::sleep(pause).await;
        pause = (pause * 2).clamp(INITIAL_LISTING_INTERVAL, LISTING_INTERVAL);
        let reporting = std::mem::take(&mut *gateway.peer_addresses.reporting());
        log_peers(&gateway, "peers_reported", reporting);
        match gateway.store.list_stale(kind, "").await {
            Ok(listing) => {
                apply_listing(&gateway, &listing.items);
                // The first listing may be older than the registration of this process.
                let own = gateway.settings.load().instance.clone();
                if has_listed && !listing.items.iter().any(|object| object.name == own) {
                    gateway.registration_lost.notify_one();
                }
                has_listed = true;
            }
            Err(error) => {
                // An instance that knows no peers takes itself for the whole fleet.
                if !has_listed {
                    pause = RETRY_PAUSE;
                }
                gateway.events.write(
                    "peers_not_read",
                    serde_json::json!({ "detail": error.to_string() }),
                );
            }
        }
    }
}

fn apply_listing(gateway: &SharedGateway, objects: &[Object]) {
    gateway.state().peers_known = true;
    let known = gateway.peer_addresses.instances();
    let added = objects
        .iter()
        .filter(|object| add_peer(gateway, object))
        .map(|object| object.name.clone());
    log_peers(gateway, "peers_registered", added.collect());
    let now = clock::now();
    for instance in known {
        let is_listed = objects.iter().any(|object| object.name == instance);
        // The listing may be older than the registration of a peer that sends reports.
        if !is_listed && !gateway.state().peer_reports.is_reachable(&instance, now) {
            remove_peer(gateway, &instance);
        }
    }
}

// Writes one log line for all peers that have become known in the same way since the last line.
fn log_peers(gateway: &Gateway, event: &'static str, mut peers: Vec<Arc<str>>) {
    if peers.is_empty() {
        return;
    }
    let count = peers.len();
    peers.truncate(MAX_NAMES_LOGGED);
    let known = gateway.peer_addresses.lock().len();
    gateway.events.write(
        event,
        serde_json::json!({ "count": count, "first": peers, "known": known }),
    );
}

// Returns whether the peer is new or its address has changed.
fn add_peer(gateway: &SharedGateway, object: &Object) -> bool {
    if *object.name == *gateway.settings.load().instance {
        return false;
    }
    let registration: Registration = match parse_registration(&object.value) {
        Ok(registration) => registration,
        Err(error) => {
            log_unreadable(gateway, object, &error);
            return false;
        }
    };
    prompt_parts::restore_evidence(gateway, &registration.crashes, false);
    let now = clock::now();
    let is_reachable = {
        let peer_reports = &mut gateway.state().peer_reports;
        peer_reports.register(&object.name, registration.capacity, now);
        peer_reports.is_reachable(&object.name, now)
    };
    let known = gateway.peer_addresses.get(&object.name);
    if is_reachable && known.is_some() {
        return false;
    }
    let address = registration.peer_address;
    let is_new = gateway.peer_addresses.insert(&object.name, address);
    let incarnation = registration.incarnation;
    gateway
        .greetings
        .record_peer(&object.name, incarnation, address);
    is_new
}

/// Records the address from which a peer reports. An instance owns services and workspaces as soon
/// as its peers receive its reports, so all of them need its address at the same time, while they
/// read its registration seconds apart.
pub fn record_reporting_peer(
    gateway: &Gateway,
    instance: &Arc<str>,
    incarnation: u64,
    from: SocketAddr,
) {
    if *instance == gateway.settings.load().instance {
        return;
    }
    if gateway.peer_addresses.insert(instance, from) {
        gateway.peer_addresses.reporting().push(instance.clone());
    }
    gateway.greetings.record_peer(instance, incarnation, from);
}

fn parse_registration(value: &Value) -> serde_json::Result<Registration> {
    serde_json::from_value(value.clone())
}

fn remove_peer(gateway: &SharedGateway, instance: &str) {
    gateway.peer_addresses.lock().remove(instance);
    gateway.state().peer_reports.forget(instance);
    gateway.greetings.forget(instance);
    gateway
        .events
        .write("peer_gone", serde_json::json!({ "peer": instance }));
}

/// Removes the registrations of instances that have been silent for long. If several instances do
/// so at once, the later ones find nothing to remove.
pub async fn clean(gateway: SharedGateway) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let silent = gateway
            .state()
            .peer_reports
            .silent_peers(REMOVE_SILENT_AFTER_MS, clock::now());
        for instance in silent {
            let kind = gateway.dialect.objects.instance_kind;
            if let Err(error) = gateway
                .store
                .delete(kind, &instance, Precondition::Any)
                .await
            {
                gateway.events.write(
                    "registration_not_removed",
                    serde_json::json!({ "peer": &*instance, "detail": error.to_string() }),
                );
            }
        }
    }
}
