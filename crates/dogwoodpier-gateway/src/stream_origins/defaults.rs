//! Default software versions of services, in the store.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::routes::Configuration;
use dogwoodpier_core::gateway::software_versions;
use dogwoodpier_core::gateway::software_versions::DefaultVersion;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;
use dogwoodpier_platform::wire::Object;
use dogwoodpier_process::clock;

use crate::owners;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::store;

use super::RESUMABLE;
use super::StreamRecord;
use super::TIMEOUTS_OF_STREAM_LIFE;
use super::log_store_failure;

// Time for which a default version that may have changed isn't read again.
const REREAD_MS: u64 = 2_000;
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
const OBSERVATIONS_PER_MAINTENANCE: u32 = 4;
// By then the owner of a service has created its default version.
const OBSERVATIONS_BEFORE_READING: u32 = 20;
// Bounds the calls to the store for the removal of records.
const MAX_REMOVALS_PER_MAINTENANCE: usize = 20;

/// A default version as this instance has read it.
#[derive(Clone)]
pub(super) struct KnownDefault {
    /// The default version.
    pub(super) default: DefaultVersion,
    store_version: u64,
    read_ms: TimeMs,
    // Era of the store in which it was read.
    read_era: u64,
    // Time since which this instance has seen that streams of the era may lack a record.
    unrecorded_since_ms: Option<TimeMs>,
}

impl KnownDefault {
    // Returns whether the default version can't have changed since it was read.
    pub(super) fn is_unchanged(&self, gateway: &Gateway, service: &str) -> bool {
        let era = *gateway.store.era().borrow();
        let mut state = gateway.state();
        state.observe_versions(clock::now());
        let version = &self.default.version;
        self.read_era == era
            && state
                .versions
                .is_present_since(service, version, self.read_ms)
    }

    // Returns whether it need not be read again yet, although it may have changed.
    fn is_recent(&self, era: u64) -> bool {
        self.read_era == era && clock::now().since(self.read_ms) < REREAD_MS
    }
}

// Returns for how long after its beginning a stream of a service can be resumed, `None` if none can
// be.
fn stream_life_ms(configuration: &Configuration, service: &str) -> Option<u64> {
    let longest_ms = configuration
        .routes()
        .filter(|route| route.retry_policy == RESUMABLE)
        .filter(|route| {
            let mut targets = route.targets.iter();
            targets.any(|target| *target.service == *service)
        })
        .map(|route| route.timeout_ms)
        .max()?;
    Some(longest_ms * TIMEOUTS_OF_STREAM_LIFE)
}

/// Returns whether a stream is known to need no record: whoever resumes it will take it for one of the
/// default version.
pub(super) fn is_default(gateway: &Gateway, record: &StreamRecord) -> bool {
    trusted_default(gateway, &record.service)
        .is_some_and(|default| default.version == record.version)
}

// Returns the default version as read before, if streams without a record are of that version and it
// can't have changed since: it changes only after its engines have left, or with the store's era.
fn trusted_default(gateway: &Gateway, service: &Arc<str>) -> Option<DefaultVersion> {
    let known = gateway.stream_origins.known_default(service)?;
    let era = *gateway.store.era().borrow();
    let is_recorded = known.default.of_unrecorded(era).is_some();
    (is_recorded && known.is_unchanged(gateway, service)).then_some(known.default)
}

/// Returns the default version of a service, or `None` if the service has no engines and so no
/// version yet. `other` is a version for which it only matters whether it is the default.
pub(super) async fn read(
    gateway: &SharedGateway,
    service: &Arc<str>,
    other: Option<&Arc<str>>,
) -> Result<Option<DefaultVersion>, Error> {
    let _reading = gateway.stream_origins.reading.lock().await;
    if let Some(default) = trusted_default(gateway, service) {
        return Ok(Some(default));
    }
    let era = *gateway.store.era().borrow();
    let known = gateway.stream_origins.known_default(service);
    let known = known.filter(|known| known.is_recent(era));
    // A stream is recorded in vain if the default version has become the other one, or the only one of
    // streams without a record, in the meantime.
    if let (Some(known), Some(other)) = (known, other)
        && known.default.of_unrecorded(era) != Some(other)
    {
        return Ok(Some(known.default));
    }
    read_anew(gateway, service).await
}

/// Reads the default version of a service from the store, whatever is known of it.
pub(super) async fn read_anew(
    gateway: &SharedGateway,
    service: &Arc<str>,
) -> Result<Option<DefaultVersion>, Error> {
    let result = read_from_store(gateway, service).await;
    gateway.stream_origins.record_store_result(&result);
    result
}

async fn read_from_store(
    gateway: &SharedGateway,
    service: &Arc<str>,
) -> Result<Option<DefaultVersion>, Error> {
    let kind = gateway.dialect.objects.version_kind;
    // Engines that leave while the call is under way end the trust in its result.
    let read_ms = clock::now();
    let mut object = gateway.store.get(kind, service).await?;
    if object.is_none() {
        let Some(initial) = initial_default(gateway, service) else {
            return Ok(None);
        };
        let value = to_value(&initial)?;
        let created = gateway
            .store
            .put(kind, service, &value, Precondition::Absent)
            .await?;
        object = match created {
            PutOutcome::Written { version } => {
                log_default(gateway, service, &initial);
                Some(Object {
                    kind: kind.into(),
                    name: service.clone(),
                    version,
                    value,
                })
            }
            PutOutcome::Conflict { current } => current,
        };
    }
    let Some(object) = object else {
        return Ok(None);
    };
    let default = DefaultVersion::deserialize(&object.value).map_err(|error| {
        store::log_unreadable(gateway, &object, &error.to_string());
        Error::Protocol(format!("default version of {service}: {error}"))
    })?;
    store_default(gateway, service, default.clone(), object.version, read_ms);
    Ok(Some(default))
}

fn to_value(default: &DefaultVersion) -> Result<serde_json::Value, Error> {
    serde_json::to_value(default).map_err(|error| Error::Protocol(error.to_string()))
}

// Returns the first default version of a service. If there are several versions already, streams
// may have begun before without a record.
fn initial_default(gateway: &Gateway, service: &str) -> Option<DefaultVersion> {
    let slots = gateway.state().upstreams.version_slots(service);
    let era = *gateway.store.era().borrow();
    Some(DefaultVersion {
        version: software_versions::largest_version(&slots)?,
        recorded_era: (slots.len() == 1).then_some(era),
    })
}

fn store_default(
    gateway: &Gateway,
    service: &Arc<str>,
    default: DefaultVersion,
    store_version: u64,
    read_ms: TimeMs,
) {
    let era = *gateway.store.era().borrow();
    let is_recorded = default.of_unrecorded(era).is_some();
    let defaults = &mut gateway.stream_origins.lock().defaults;
    let before = defaults.get(service);
    let before = before.filter(|before| before.read_era == era);
    let unrecorded_since_ms = before.and_then(|before| before.unrecorded_since_ms);
    let known = KnownDefault {
        default,
        store_version,
        read_ms,
        read_era: era,
        unrecorded_since_ms: (!is_recorded).then(|| unrecorded_since_ms.unwrap_or(read_ms)),
    };
    defaults.insert(service.clone(), known);
}

fn log_default(gateway: &Gateway, service: &str, default: &DefaultVersion) {
    gateway.events.write(
        "default_version",
        serde_json::json!({
            "service": service,
            "version": &*default.version,
            "recorded_era": default.recorded_era,
        }),
    );
}

/// Observes the versions of engines, changes default versions and removes records, for as long as
/// the process lives.
pub async fn maintain(gateway: SharedGateway) {
    let mut observations: u32 = 0;
    loop {
        tokio::time::sleep(OBSERVATION_INTERVAL).await;
        gateway.state().observe_versions(clock::now());
        observations = observations.saturating_add(1);
        if !observations.is_multiple_of(OBSERVATIONS_PER_MAINTENANCE) {
            continue;
        }
        let has_owner_had_time = observations >= OBSERVATIONS_BEFORE_READING;
        if let Err(error) = maintain_store(&gateway, has_owner_had_time).await {
            log_store_failure(&gateway, "", &error);
        }
    }
}

// `has_owner_had_time` states whether the owner of a service has had time to create its default
// version, so that not all instances try at the start of a fleet.
async fn maintain_store(gateway: &SharedGateway, has_owner_had_time: bool) -> Result<(), Error> {
    for _ in 0..MAX_REMOVALS_PER_MAINTENANCE {
        let Some(id) = take_expired(gateway) else {
            break;
        };
        remove_record(gateway, &id).await?;
    }
    let configuration = gateway.configuration.load_full();
    let Some(configuration) = configuration else {
        return Ok(());
    };
    for service in configuration.services.values() {
        let life_ms = stream_life_ms(&configuration, &service.name);
        let (Some(life_ms), Some(_)) = (life_ms, &service.engine) else {
            continue;
        };
        let is_owner = owners::is_local(gateway, &service.name);
        if is_owner || has_owner_had_time {
            read_ahead(gateway, &service.name).await?;
        }
        if is_owner {
            adopt_records(gateway, &service.name, life_ms).await?;
            maintain_default(gateway, &service.name, life_ms).await?;
        } else {
            gateway.stream_origins.lock().adopted.remove(&service.name);
        }
    }
    Ok(())
}

// Reads the default version of a service with engines, so that the first stream doesn't wait for it,
// and again until streams without a record are of that version in the present era.
async fn read_ahead(gateway: &SharedGateway, service: &Arc<str>) -> Result<(), Error> {
    let era = *gateway.store.era().borrow();
    let known = gateway.stream_origins.known_default(service);
    let is_current = known
        .is_some_and(|known| known.default.of_unrecorded(era).is_some() || known.is_recent(era));
    let has_engines = !gateway.state().upstreams.version_slots(service).is_empty();
    if !is_current && has_engines {
        read(gateway, service, None).await?;
    }
    Ok(())
}

fn take_expired(gateway: &Gateway) -> Option<Arc<str>> {
    let recorded = &mut gateway.stream_origins.lock().recorded;
    let (deadline_ms, _) = recorded.front()?;
    if *deadline_ms > clock::now() {
        return None;
    }
    recorded.pop_front().map(|(_, id)| id)
}

// Takes over the removal of the records of a service from instances that have ended, once for each time
// in which this instance owns the service. Nobody can prove that a stream began at the default version
// while records of another one stay.
async fn adopt_records(gateway: &Gateway, service: &Arc<str>, life_ms: u64) -> Result<(), Error> {
    if gateway.stream_origins.lock().adopted.contains(service) {
        return Ok(());
    }
    let kind = gateway.dialect.objects.stream_kind;
    let listing = gateway.store.list(kind, "").await;
    gateway.stream_origins.record_store_result(&listing);
    let listing = listing?;
    let inner = &mut *gateway.stream_origins.lock();
    // A stream that is recorded by now has ended after `life_ms`, and can be resumed for as long again.
    let deadline_ms = clock::now().after(2 * life_ms);
    for object in listing.items {
        let record = StreamRecord::deserialize(&object.value);
        if record.is_ok_and(|record| record.service == *service) {
            inner.recorded.push_back((deadline_ms, object.name));
        }
    }
    inner.adopted.insert(service.clone());
    Ok(())
}

async fn remove_record(gateway: &Gateway, id: &str) -> Result<(), Error> {
    let kind = gateway.dialect.objects.stream_kind;
    let removed = gateway.store.delete(kind, id, Precondition::Any).await;
    gateway.stream_origins.record_store_result(&removed);
    removed.map(drop)
}

// Changes the default version of a service once its engines have been gone for `life_ms`, and states
// that all streams are recorded once those that may not be have ended.
async fn maintain_default(
    gateway: &SharedGateway,
    service: &Arc<str>,
    life_ms: u64,
) -> Result<(), Error> {
    let now = clock::now();
    let known = gateway.stream_origins.known_default(service);
    let Some(known) = known else {
        return Ok(());
    };
    let era = *gateway.store.era().borrow();
    if known.read_era != era {
        // Read ahead first.
        return Ok(());
    }
    let is_recorded = known.default.of_unrecorded(era).is_some();
    let next = match next_default(gateway, service, &known.default.version, life_ms) {
        Some(next) if has_left(gateway, service, &known.default.version).await? => Some(next),
        _ => None,
    };
    let unrecorded_since_ms = known.unrecorded_since_ms;
    let are_old_ended = unrecorded_since_ms.is_none_or(|since_ms| now.since(since_ms) >= life_ms);
    let changed = DefaultVersion {
        version: next.unwrap_or_else(|| known.default.version.clone()),
        recorded_era: match is_recorded || are_old_ended {
            true => Some(era),
            false => known.default.recorded_era,
        },
    };
    if changed == known.default {
        return Ok(());
    }
    let kind = gateway.dialect.objects.version_kind;
    let precondition = Precondition::Version(known.store_version);
    let value = to_value(&changed)?;
    let outcome = gateway.store.put(kind, service, &value, precondition).await;
    gateway.stream_origins.record_store_result(&outcome);
    match outcome? {
        PutOutcome::Written { version } => {
            log_default(gateway, service, &changed);
            store_default(gateway, service, changed.clone(), version, now);
            remove_records_of(gateway, service, &changed.version).await
        }
        PutOutcome::Conflict { .. } => {
            read_from_store(gateway, service).await?;
            Ok(())
        }
    }
}

fn next_default(gateway: &Gateway, service: &str, default: &str, life_ms: u64) -> Option<Arc<str>> {
    let state = gateway.state();
    let slots = state.upstreams.version_slots(service);
    let now = clock::now();
    state
        .versions
        .next_default(service, default, &slots, life_ms, now)
}

// Returns whether no engine of a service has the version now, by the entries themselves: what this
// instance knows of them may be old.
async fn has_left(gateway: &Gateway, service: &str, version: &str) -> Result<bool, Error> {
    let kind = gateway.dialect.objects.upstream_kind;
    let listing = gateway.store.list(kind, "").await?;
    let entries = listing.items.iter();
    let mut upstreams = entries
        .filter_map(|object| (gateway.dialect.decode_upstream)(&object.name, &object.value).ok());
    Ok(!upstreams
        .any(|upstream| *upstream.service == *service && *upstream.software_version == *version))
}

// Removes the records that the new default version makes needless, also those of instances that have
// ended in the meantime.
async fn remove_records_of(gateway: &Gateway, service: &str, version: &str) -> Result<(), Error> {
    let kind = gateway.dialect.objects.stream_kind;
    let listing = gateway.store.list_stale(kind, "").await?;
    for object in listing.items {
        let record = StreamRecord::deserialize(&object.value);
        let is_needless =
            record.is_ok_and(|record| *record.service == *service && *record.version == *version);
        if is_needless {
            remove_record(gateway, &object.name).await?;
        }
    }
    Ok(())
}
