//! Recording of streams that are about to begin.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_platform::Error;
use dogwoodpier_platform::Precondition;
use dogwoodpier_platform::PutOutcome;
use dogwoodpier_process::clock;

use crate::request::ClientRequest;
use crate::state::Gateway;
use crate::state::SharedGateway;

use super::StreamRecord;
use super::defaults;
use super::is_resumable;
use super::log_store_failure;
use super::request_life_ms;
use super::resumes;

// Time from a placement within which its stream has to be recorded. Most of it passes during the
// prefill, whose cache expires soon after.
const RECORD_TIMEOUT_MS: u64 = 400;
// Time to wait for the store if the stream can begin without it.
const READ_TIMEOUT_MS: u64 = 100;
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What became of the recording of a stream.
pub enum Recorded {
    /// The stream has no record and may begin. So may a later try at another version, which is
    /// recorded then.
    AnyVersion,
    /// The stream has a record, so it begins at this version or not at all.
    OneVersion,
    /// The store did nothing, so the stream may only begin at its default version.
    Default(Arc<str>),
    /// The stream may have a record, so this attempt of the client must not begin a stream.
    Failed,
}

/// The recording of a stream that is about to begin. Dropping it gives up the recording.
pub struct Recording {
    gateway: SharedGateway,
    stream: Option<UnrecordedStream>,
    task: Option<JoinHandle<Written>>,
    started_ms: TimeMs,
}

// A stream that needs a record.
#[derive(Clone)]
struct UnrecordedStream {
    id: Arc<str>,
    record: StreamRecord,
    // Time after which the stream has ended.
    end_deadline_ms: TimeMs,
    // Time after which no client resumes it.
    removal_deadline_ms: TimeMs,
}

// Result of writing a record.
enum Written {
    // The stream began at the default version and needs no record.
    Needless,
    Done,
    // The store has certainly written nothing.
    Nothing,
    // Another record has the same name.
    Conflict,
}

impl Recording {
    /// Waits for the result.
    pub async fn finish(mut self) -> Recorded {
        let (Some(mut task), Some(stream)) = (self.task.take(), self.stream.take()) else {
            return Recorded::AnyVersion;
        };
        let timeout_ms = match passing_version(&self.gateway, &stream.record) {
            PassingVersion::Absent => 0,
            PassingVersion::Own | PassingVersion::Sole => READ_TIMEOUT_MS,
            PassingVersion::Present(_) | PassingVersion::Unknown => RECORD_TIMEOUT_MS,
        };
        let remaining_ms = self.started_ms.after(timeout_ms).remaining(clock::now());
        let limit = Duration::from_millis(remaining_ms);
        let written = tokio::time::timeout(limit, &mut task).await;
        let default = passing_version(&self.gateway, &stream.record);
        match (written, default) {
            (Ok(Ok(Written::Needless)), _) => Recorded::AnyVersion,
            (Ok(Ok(Written::Done)), _) => Recorded::OneVersion,
            (Ok(Ok(Written::Nothing)), PassingVersion::Present(default)) => {
                Recorded::Default(default)
            }
            (
                Ok(Ok(Written::Nothing)),
                PassingVersion::Own | PassingVersion::Absent | PassingVersion::Sole,
            ) => {
                let gateway = self.gateway.clone();
                tokio::spawn(async move { record_later(&gateway, &stream).await });
                Recorded::OneVersion
            }
            // The task goes on.
            (Err(_), PassingVersion::Own | PassingVersion::Absent | PassingVersion::Sole) => {
                Recorded::OneVersion
            }
            (Err(_), _) => {
                self.gateway.stream_origins.record_store_failure();
                task.abort();
                Recorded::Failed
            }
            (Ok(_), _) => Recorded::Failed,
        }
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

// The version for which a stream without a record passes.
enum PassingVersion {
    // It is the stream's own, or nobody resumes the stream.
    Own,
    // Engines have it, so they would resume the stream.
    Present(Arc<str>),
    // No engine has it, so nobody resumes the stream at a wrong version.
    Absent,
    // It is unknown, and all engines have one version.
    Sole,
    // It is unknown, and engines have several versions.
    Unknown,
}

fn passing_version(gateway: &Gateway, record: &StreamRecord) -> PassingVersion {
    let service = &record.service;
    let known = gateway.stream_origins.known_default(service);
    let Some(known) = known else {
        return match gateway.state().upstreams.version_slots(service).len() {
            0 | 1 => PassingVersion::Sole,
            _ => PassingVersion::Unknown,
        };
    };
    if known.default.version == record.version && known.is_unchanged(gateway, service) {
        return PassingVersion::Own;
    }
    let version = known.default.version;
    let mut state = gateway.state();
    state.observe_versions(clock::now());
    match state.versions.is_present(service, &version) {
        true => PassingVersion::Present(version),
        false => PassingVersion::Absent,
    }
}

/// Begins to record that a request is about to begin a stream at an engine, if it needs a record.
pub fn record(gateway: &SharedGateway, request: &ClientRequest, upstream: &Upstream) -> Recording {
    let mut recording = Recording {
        gateway: gateway.clone(),
        stream: None,
        task: None,
        started_ms: clock::now(),
    };
    if !is_resumable(request) || resumes(gateway, request) {
        return recording;
    }
    let life_ms = request_life_ms(request);
    let end_deadline_ms = clock::now().after(life_ms);
    let stream = UnrecordedStream {
        id: request.id_text().into(),
        record: StreamRecord {
            service: request.service.name.clone(),
            version: upstream.software_version.clone(),
        },
        end_deadline_ms,
        removal_deadline_ms: end_deadline_ms.after(life_ms),
    };
    let record = stream.record.clone();
    gateway
        .stream_origins
        .remember(&stream.id, record, stream.removal_deadline_ms);
    if defaults::is_default(gateway, &stream.record) {
        return recording;
    }
    let gateway = gateway.clone();
    recording.stream = Some(stream.clone());
    recording.task = Some(tokio::spawn(async move {
        write_record(&gateway, &stream).await
    }));
    recording
}

// Writes the record of a stream, until it is known whether it is written or the stream has ended.
async fn write_record(gateway: &SharedGateway, stream: &UnrecordedStream) -> Written {
    let UnrecordedStream { id, record, .. } = stream;
    let kind = gateway.dialect.objects.stream_kind;
    let default = defaults::read(gateway, &record.service, Some(&record.version)).await;
    let era = *gateway.store.era().borrow();
    match default {
        Ok(Some(default)) if default.of_unrecorded(era) == Some(&record.version) => {
            return Written::Needless;
        }
        Ok(_) => {}
        Err(error) => {
            log_store_failure(gateway, id, &error);
            return Written::Nothing;
        }
    }
    let Ok(value) = serde_json::to_value(record) else {
        return Written::Nothing;
    };
    let started_ms = clock::now();
    let mut may_be_written = false;
    loop {
        let result = gateway
            .store
            .put(kind, id, &value, Precondition::Absent)
            .await;
        gateway.stream_origins.record_store_result(&result);
        let is_written = match result {
            Ok(PutOutcome::Written { .. }) => true,
            // An earlier call without an answer has written it.
            Ok(PutOutcome::Conflict { current }) => {
                current.is_some_and(|current| current.value == value)
            }
            Err(error) => {
                log_store_failure(gateway, id, &error);
                may_be_written |= !matches!(error, Error::NotDone(_));
                if !may_be_written {
                    return Written::Nothing;
                }
                if clock::now() >= stream.end_deadline_ms {
                    return Written::Conflict;
                }
                tokio::time::sleep(RECORD_RETRY_PAUSE).await;
                continue;
            }
        };
        if !is_written {
            return Written::Conflict;
        }
        log_recorded(gateway, id, record, started_ms);
        let recorded = &mut gateway.stream_origins.lock().recorded;
        recorded.push_back((stream.removal_deadline_ms, id.clone()));
        return Written::Done;
    }
}

// Writes the record of a stream that has begun, once the store is available again.
async fn record_later(gateway: &SharedGateway, stream: &UnrecordedStream) {
    while clock::now() < stream.end_deadline_ms {
        tokio::time::sleep(RECORD_RETRY_PAUSE).await;
        if !matches!(write_record(gateway, stream).await, Written::Nothing) {
            return;
        }
    }
}

fn log_recorded(gateway: &Gateway, id: &str, record: &StreamRecord, started_ms: TimeMs) {
    gateway.events.write(
        "stream_recorded",
        serde_json::json!({
            "request_id": id,
            "service": &*record.service,
            "version": &*record.version,
            "elapsed_ms": clock::now().since(started_ms),
        }),
    );
}
