//! Records of the software versions that began streams, in the store.
//!
//! [`dogwoodpier_core::gateway::software_versions`] decides which streams need a record. This module
//! writes the records, looks them up for clients that resume a stream, and removes them.

mod defaults;
mod proof;
mod recording;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::routes::RetryPolicy;
use dogwoodpier_core::gateway::software_versions::Unproven;
use dogwoodpier_derive::wire;
use dogwoodpier_platform::Error;
use dogwoodpier_process::clock;

use crate::counters;
use crate::queues;
use crate::reject::Reason;
use crate::reject::Rejection;
use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::store;

use self::defaults::KnownDefault;
pub use self::defaults::maintain;
use self::proof::Proofs;
pub use self::recording::Recorded;
pub use self::recording::record;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
// A client that resumes a stream within the timeout of its route began it at most this many
// timeouts ago.
const TIMEOUTS_OF_STREAM_LIFE: u64 = 2;
// Time after a failed call to the store during which streams begin only where they need no record.
const STORE_FAILURE_MS: u64 = 2_000;
// Time after which a store that did not answer may be available again.
const UNKNOWN_RETRY_MS: u64 = 500;
// Times after which another attempt to resume a stream of unknown version may succeed, as a release
// that ends changes the answer. They are spread, as clients resume the streams of a fleet that was
// restarted at the same time.
const UNPROVEN_RETRY_MS: RangeInclusive<u64> = 500..=1_000;
// Streams that an instance remembers; more than it begins in the life of a stream.
const MAX_REMEMBERED: usize = 20_000;

/// The record of a stream.
#[wire]
struct StreamRecord {
    service: Arc<str>,
    version: Arc<str>,
}

/// What this instance knows of the versions that began streams.
#[derive(Default)]
pub struct StreamOrigins {
    inner: Mutex<Inner>,
    // Held while a default version is read, so that concurrent requests read it once.
    reading: tokio::sync::Mutex<()>,
    proofs: Proofs,
}

#[derive(Default)]
struct Inner {
    // Streams that this instance began or resumed, by the attempt that brought their first event.
    remembered: BTreeMap<Arc<str>, Remembered>,
    // Ids of the remembered streams, the oldest first.
    remembered_order: VecDeque<Arc<str>>,
    // Default versions by service.
    defaults: BTreeMap<Arc<str>, KnownDefault>,
    // Records that this instance has written or taken over, with the time of their removal.
    recorded: VecDeque<(TimeMs, Arc<str>)>,
    // Services that this instance owns and of which `recorded` has the records of ended instances.
    adopted: BTreeSet<Arc<str>>,
    store_failed_ms: Option<TimeMs>,
}

struct Remembered {
    record: StreamRecord,
    deadline_ms: TimeMs,
}

impl StreamOrigins {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remember(&self, id: &str, record: StreamRecord, deadline_ms: TimeMs) {
        let mut inner = self.lock();
        let id: Arc<str> = id.into();
        let remembered = Remembered {
            record,
            deadline_ms,
        };
        if inner.remembered.insert(id.clone(), remembered).is_none() {
            inner.remembered_order.push_back(id);
        }
        let now = clock::now();
        while let Some(oldest) = inner.remembered_order.front().cloned() {
            let has_expired = inner
                .remembered
                .get(&oldest)
                .is_none_or(|remembered| remembered.deadline_ms <= now);
            if !has_expired && inner.remembered_order.len() <= MAX_REMEMBERED {
                break;
            }
            inner.remembered.remove(&oldest);
            inner.remembered_order.pop_front();
        }
    }

    fn remembered(&self, id: &str) -> Option<StreamRecord> {
        let inner = self.lock();
        let remembered = inner.remembered.get(id)?;
        (remembered.deadline_ms > clock::now()).then(|| remembered.record.clone())
    }

    fn known_default(&self, service: &str) -> Option<KnownDefault> {
        self.lock().defaults.get(service).cloned()
    }

    fn has_store_failed(&self) -> bool {
        let failed_ms = self.lock().store_failed_ms;
        failed_ms.is_some_and(|failed_ms| clock::now().since(failed_ms) < STORE_FAILURE_MS)
    }

    fn record_store_result<T>(&self, result: &Result<T, Error>) {
        self.lock().store_failed_ms = result.is_err().then(clock::now);
    }

    fn record_store_failure(&self) {
        self.lock().store_failed_ms = Some(clock::now());
    }
}

fn request_life_ms(request: &ClientRequest) -> u64 {
    request.route.timeout_ms * TIMEOUTS_OF_STREAM_LIFE
}

fn is_resumable(request: &ClientRequest) -> bool {
    request.route.retry_policy == RESUMABLE
}

// Returns whether a client goes on with a stream that an earlier attempt has begun.
fn resumes(gateway: &Gateway, request: &ClientRequest) -> bool {
    let names = &gateway.dialect.headers;
    is_resumable(request)
        && (request.headers.contains_key(&names.last_event_id)
            || request.headers.contains_key(&names.resumes))
}

/// Returns the version whose engines may run a request, `None` if all may.
///
/// # Errors
///
/// Rejects a request that resumes a stream whose version is unknown.
pub async fn required_version(
    gateway: &SharedGateway,
    request: &ClientRequest,
) -> Result<Option<Arc<str>>, Rejection> {
    if !resumes(gateway, request) {
        return Ok(version_without_store(gateway, request));
    }
    let first = request.header_text(&gateway.dialect.headers.resumes);
    let found = find_origin(gateway, request, first).await;
    let (record, source, detail) = match &found {
        Ok((record, source)) => (Some(record), *source, ""),
        Err(unknown) => (None, "unknown", unknown.detail()),
    };
    metrics::counter!(counters::RESUMED_STREAMS_TOTAL, "source" => source).increment(1);
    gateway.events.write(
        "stream_origin",
        serde_json::json!({
            "request_id": request.id_text(),
            "resumes": first,
            "service": &*request.service.name,
            "version": record.map(|record| &*record.version),
            "source": source,
            "detail": detail,
        }),
    );
    let (record, _) = found.map_err(|unknown| unknown.rejection(request))?;
    if record.service != request.service.name {
        return Err(Rejection::new(Reason::VersionUnknown));
    }
    if let Some(first) = first.filter(|first| !first.is_empty()) {
        let deadline_ms = clock::now().after(request_life_ms(request));
        let version = record.version.clone();
        gateway.stream_origins.remember(first, record, deadline_ms);
        return Ok(Some(version));
    }
    Ok(Some(record.version))
}

// Returns the version at which a stream can begin without a record, if none can be written now and
// an engine has that version.
fn version_without_store(gateway: &Gateway, request: &ClientRequest) -> Option<Arc<str>> {
    if !is_resumable(request) || !gateway.stream_origins.has_store_failed() {
        return None;
    }
    let service = &request.service.name;
    let known = gateway.stream_origins.known_default(service);
    let version = known?.default.version;
    queues::has_decode_engine(gateway, service, Some(&version), None).then_some(version)
}

// Why it is unknown which version began a stream.
enum Unknown {
    // The store doesn't answer.
    NoStore,
    // The record can't be decoded.
    Unreadable,
    // No engine of the service has been seen yet.
    NoDefault,
    // Without the id of the attempt that began it, nothing proves the version.
    Unproven(Unproven),
}

impl Unknown {
    fn detail(&self) -> &'static str {
        match self {
            Self::NoStore => "no_store",
            Self::Unreadable => "unreadable",
            Self::NoDefault => "no_default",
            Self::Unproven(reason) => reason.as_str(),
        }
    }

    fn rejection(&self, request: &ClientRequest) -> Rejection {
        let retry_after_ms = match self {
            Self::NoStore => UNKNOWN_RETRY_MS,
            Self::Unreadable | Self::NoDefault | Self::Unproven(_) => {
                rand::random_range(UNPROVEN_RETRY_MS)
            }
        };
        let remaining_ms = request.deadline_ms.remaining(clock::now());
        Rejection::with_retry_after(Reason::VersionUnknown, retry_after_ms, remaining_ms)
    }
}

// Finds out which version began a stream, and how that is known.
async fn find_origin(
    gateway: &SharedGateway,
    request: &ClientRequest,
    first: Option<&str>,
) -> Result<(StreamRecord, &'static str), Unknown> {
    let service = &request.service.name;
    let Some(first) = first.filter(|first| !first.is_empty()) else {
        let version = proof::prove(gateway, request).await?;
        let record = StreamRecord {
            service: service.clone(),
            version,
        };
        return Ok((record, "no_records"));
    };
    if let Some(record) = gateway.stream_origins.remembered(first) {
        return Ok((record, "own"));
    }
    let unavailable = |error: Error| {
        log_store_failure(gateway, first, &error);
        Unknown::NoStore
    };
    let kind = gateway.dialect.objects.stream_kind;
    let object = gateway.store.get(kind, first).await;
    gateway.stream_origins.record_store_result(&object);
    if let Some(object) = object.map_err(unavailable)? {
        let record = StreamRecord::deserialize(&object.value);
        return record.map(|record| (record, "record")).map_err(|error| {
            store::log_unreadable(gateway, &object, &error.to_string());
            Unknown::Unreadable
        });
    }
    // What this instance knows may be older than the stream.
    let default = defaults::read_anew(gateway, service).await;
    let default = default.map_err(unavailable)?.ok_or(Unknown::NoDefault)?;
    let era = *gateway.store.era().borrow();
    let version = default.of_unrecorded(era);
    let record = StreamRecord {
        service: service.clone(),
        version: version
            .ok_or(Unknown::Unproven(Unproven::Restored))?
            .clone(),
    };
    Ok((record, "default"))
}

fn log_store_failure(gateway: &Gateway, id: &str, error: &Error) {
    gateway.events.write(
        "stream_record_failed",
        serde_json::json!({ "request_id": id, "detail": error.to_string() }),
    );
}
