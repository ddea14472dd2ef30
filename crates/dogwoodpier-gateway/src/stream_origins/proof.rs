//! Proof that a stream began at the default version of its service, for clients that resume it
//! without naming the attempt that began it.
//!
//! A proof costs a listing of all records and a read of the default version. Requests that arrive
//! while a listing is under way share the next one: a record that was written before a request arrived
//! is certain to be in a listing that begins after that. So nothing is kept from one listing to the next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::software_versions;
use dogwoodpier_core::gateway::software_versions::DefaultVersion;
use dogwoodpier_core::gateway::software_versions::RecordedVersions;
use dogwoodpier_core::gateway::software_versions::Unproven;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::wire::Listing;
use dogwoodpier_process::clock;

use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::store;

use super::StreamRecord;
use super::Unknown;
use super::defaults;
use super::log_store_failure;
use super::request_life_ms;

// Time between the beginnings of two listings of an instance. It bounds the calls to the store when
// many clients resume streams, and delays only those that come right after another one.
const LISTING_INTERVAL: Duration = Duration::from_millis(100);

/// The latest listing of the records of streams.
#[derive(Default)]
pub(super) struct Proofs {
    // Listings that have begun.
    begun: AtomicU64,
    // Held while records are listed.
    latest: tokio::sync::Mutex<Option<SharedListing>>,
}

struct SharedListing {
    number: u64,
    begun: Instant,
    // `None` if the store did not answer.
    recorded: Option<RecordedVersions>,
    // Default versions that were read after the listing, by service. `None` for those that the store
    // did not answer.
    defaults: BTreeMap<Arc<str>, Option<Option<DefaultVersion>>>,
}

/// Returns the version that began the stream that a request resumes, if that can be proven.
pub(super) async fn prove(
    gateway: &SharedGateway,
    request: &ClientRequest,
) -> Result<Arc<str>, Unknown> {
    let service = &request.service.name;
    // The service is drawn by the id of the first attempt.
    if request.route.targets.len() > 1 {
        return Err(Unknown::Unproven(Unproven::SplitRoute));
    }
    check_before_listing(gateway, request).await?;
    let proofs = &gateway.stream_origins.proofs;
    let begun_before = proofs.begun.load(Ordering::SeqCst);
    let mut latest = proofs.latest.lock().await;
    let listing = match latest.take() {
        Some(listing) if listing.number > begun_before => listing,
        before => begin_listing(gateway, request, before).await,
    };
    let listing = latest.insert(listing);
    let recorded = listing.recorded.as_ref().ok_or(Unknown::NoStore)?;
    if !listing.defaults.contains_key(service) {
        let default = read_default(gateway, request).await;
        listing.defaults.insert(service.clone(), default);
    }
    let default = listing.defaults.get(service);
    let default = default.and_then(Option::as_ref).ok_or(Unknown::NoStore)?;
    let default = default.as_ref().ok_or(Unknown::NoDefault)?;
    let slots = gateway.state().upstreams.version_slots(service);
    let era = *gateway.store.era().borrow();
    software_versions::prove_default(service, &slots, recorded, default, era)
        .map_err(Unknown::Unproven)
}

// Rejects a request at once for which a listing would prove nothing, as many streams are recorded then.
async fn check_before_listing(
    gateway: &SharedGateway,
    request: &ClientRequest,
) -> Result<(), Unknown> {
    let service = &request.service.name;
    let slots = gateway.state().upstreams.version_slots(service);
    let only = software_versions::only_version(&slots).map_err(Unknown::Unproven)?;
    let now = clock::now();
    let begun_ms = TimeMs(now.0.saturating_sub(request_life_ms(request)));
    let have_served = {
        let mut state = gateway.state();
        state.observe_versions(now);
        state.versions.has_seen_others(service, only, begun_ms)
    };
    if have_served {
        return Err(Unknown::Unproven(Unproven::OthersSeen));
    }
    let era = *gateway.store.era().borrow();
    let is_default = |default: &DefaultVersion| default.of_unrecorded(era) == Some(only);
    let known = gateway.stream_origins.known_default(service);
    if known.is_some_and(|known| is_default(&known.default)) {
        return Ok(());
    }
    // It may have changed since it was read.
    let result = defaults::read(gateway, service, Some(only)).await;
    let default = result.map_err(|error| unavailable(gateway, request, &error))?;
    let era = *gateway.store.era().borrow();
    match default {
        None => Err(Unknown::NoDefault),
        Some(default) if default.version != *only => {
            Err(Unknown::Unproven(Unproven::DefaultDiffers))
        }
        Some(default) if default.of_unrecorded(era).is_none() => {
            Err(Unknown::Unproven(Unproven::Restored))
        }
        Some(_) => Ok(()),
    }
}

async fn begin_listing(
    gateway: &SharedGateway,
    request: &ClientRequest,
    before: Option<SharedListing>,
) -> SharedListing {
    if let Some(before) = before {
        tokio::time::sleep_until(before.begun + LISTING_INTERVAL).await;
    }
    let number = gateway
        .stream_origins
        .proofs
        .begun
        .fetch_add(1, Ordering::SeqCst)
        + 1;
    let begun = Instant::now();
    let kind = gateway.dialect.objects.stream_kind;
    let result = gateway.store.list(kind, "").await;
    gateway.stream_origins.record_store_result(&result);
    let recorded = match result {
        Ok(listing) => Some(recorded_versions(gateway, &listing)),
        Err(error) => {
            unavailable(gateway, request, &error);
            None
        }
    };
    gateway.events.write(
        "stream_records_listed",
        serde_json::json!({
            "request_id": request.id_text(),
            "elapsed_ms": begun.elapsed().as_millis() as u64,
            "services": recorded.as_ref().map(|recorded| recorded.versions.len()),
        }),
    );
    SharedListing {
        number,
        begun,
        recorded,
        defaults: BTreeMap::new(),
    }
}

fn recorded_versions(gateway: &Gateway, listing: &Listing) -> RecordedVersions {
    let mut recorded = RecordedVersions {
        era: listing.era,
        ..RecordedVersions::default()
    };
    for object in &listing.items {
        match StreamRecord::deserialize(&object.value) {
            Ok(record) => {
                let versions = recorded.versions.entry(record.service).or_default();
                versions.insert(record.version);
            }
            Err(error) => {
                recorded.unreadable += 1;
                store::log_unreadable(gateway, object, &error.to_string());
            }
        }
    }
    recorded
}

// Returns `None` if the store does not answer.
async fn read_default(
    gateway: &SharedGateway,
    request: &ClientRequest,
) -> Option<Option<DefaultVersion>> {
    let result = defaults::read_anew(gateway, &request.service.name).await;
    result
        .inspect_err(|error| {
            unavailable(gateway, request, error);
        })
        .ok()
}

fn unavailable(gateway: &Gateway, request: &ClientRequest, error: &Error) -> Unknown {
    log_store_failure(gateway, request.id_text(), error);
    Unknown::NoStore
}
