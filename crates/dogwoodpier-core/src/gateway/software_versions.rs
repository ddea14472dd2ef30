//! Software versions of engines, and which of them began a stream.
//!
//! What two versions write doesn't fit together, so a stream that was cut goes on only at the version
//! that began it. Any instance may be asked to resume it, also one that has just started. Each
//! service therefore has a default version in the store, and a stream that begins at another version
//! is recorded there before its first event goes out. A stream without a record began at the default
//! version. While a service has one version, nothing is written.
//!
//! The default version changes only after it has been absent for as long as a stream can last. By
//! then no stream that it began can be resumed any more.
//!
//! Load pattern of [`prove_default`]: all instances start at once, and clients resume streams without
//! naming the attempt that began them, so no record can be looked up. The stream began at the default
//! version if the store holds no record of another version of its service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

/// The version of a service's streams that have no record.
#[wire]
#[derive(Eq)]
pub struct DefaultVersion {
    /// The version.
    pub version: Arc<str>,
    /// Era of the store in which every stream of another version that can still be resumed has a
    /// record. Absent if there may be streams without one, and so of unknown version.
    pub recorded_era: Option<u64>,
}

impl DefaultVersion {
    /// Returns the version of a stream that has no record in an era of the store, or `None` if it is
    /// unknown.
    pub fn of_unrecorded(&self, era: u64) -> Option<&Arc<str>> {
        (self.recorded_era == Some(era)).then_some(&self.version)
    }
}

/// Versions of the recorded streams, by a listing of all records.
#[plain]
#[derive(Default, Eq)]
pub struct RecordedVersions {
    /// Era of the store that was listed.
    pub era: u64,
    /// Versions by service.
    pub versions: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Number of records that can't be decoded: they may be of any service and version.
    pub unreadable: usize,
}

/// Why a stream can't be proven to have begun at the default version of its service.
#[plain]
#[derive(Copy, Eq)]
pub enum Unproven {
    /// The engines of the service have several versions, or there are none.
    SeveralVersions,
    /// The default version is not the version of the engines.
    DefaultDiffers,
    /// Engines of another version served when the stream may have begun. It may have no record if it
    /// began there while the store was away and the default version had no engines.
    OthersSeen,
    /// Streams of another version are recorded.
    OthersRecorded,
    /// Records may be missing since the store was restored from a copy.
    Restored,
    /// The service that began the stream is unknown, as its route is split between services.
    SplitRoute,
}

impl Unproven {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SeveralVersions => "several_versions",
            Self::DefaultDiffers => "default_differs",
            Self::OthersSeen => "others_seen",
            Self::OthersRecorded => "others_recorded",
            Self::Restored => "restored",
            Self::SplitRoute => "split_route",
        }
    }
}

/// Returns the only version that engines of a service have. `slots` are the slots of each version.
///
/// # Errors
///
/// Fails if there are several versions or none. Streams of all but one of them are recorded then, so
/// a listing would prove nothing while they serve, and a stream may be about to be recorded by an
/// instance that knows the engines of the default version to be gone.
pub fn only_version(slots: &BTreeMap<Arc<str>, u32>) -> Result<&Arc<str>, Unproven> {
    let mut versions = slots.keys();
    match (versions.next(), versions.next()) {
        (Some(version), None) => Ok(version),
        _ => Err(Unproven::SeveralVersions),
    }
}

/// Returns the version that began a stream of which nothing but its service is known, if that can be
/// proven: the default version.
///
/// The listing must have begun after the stream, and the default version must have been read after
/// the listing. When the default version changes, the records of the new one are removed, so one that
/// was read before could be that of streams whose records are listed no more. `era` is the era of the
/// store after both calls, and `slots` are the slots of each version that engines have.
///
/// # Errors
///
/// Fails with the reason if the stream may have begun at another version.
pub fn prove_default(
    service: &str,
    slots: &BTreeMap<Arc<str>, u32>,
    recorded: &RecordedVersions,
    default: &DefaultVersion,
    era: u64,
) -> Result<Arc<str>, Unproven> {
    let only = only_version(slots)?;
    if recorded.era != era {
        return Err(Unproven::Restored);
    }
    let version = default.of_unrecorded(era).ok_or(Unproven::Restored)?;
    if version != only {
        return Err(Unproven::DefaultDiffers);
    }
    let of_service = recorded.versions.get(service);
    let mut recorded_versions = of_service.into_iter().flatten();
    if recorded.unreadable > 0 || recorded_versions.any(|recorded| recorded != version) {
        return Err(Unproven::OthersRecorded);
    }
    Ok(version.clone())
}

/// Presence of a version among the engines of a service.
#[plain]
#[derive(Copy, Eq)]
struct Presence {
    // Start of the present time in which the version has been there all along; absent if it isn't
    // there now.
    present_since_ms: Option<TimeMs>,
    last_seen_ms: TimeMs,
}

#[derive(Debug)]
struct ServiceVersions {
    observed_since_ms: TimeMs,
    versions: BTreeMap<Arc<str>, Presence>,
}

/// The versions that an instance itself has seen.
#[derive(Debug, Default)]
pub struct SeenVersions {
    services: BTreeMap<Arc<str>, ServiceVersions>,
    observed_ms: Option<TimeMs>,
}

// Versions of a service above which those that left first are dropped.
const MAX_VERSIONS: usize = 32;
// Time between two observations after which the instance has stood still. It is shorter than any
// stream's life, so that no default version can change unseen.
const MAX_OBSERVATION_GAP_MS: u64 = 1_000;

impl SeenVersions {
    /// Records which versions engines have now, as pairs of a service and a version. Forgets what was
    /// seen before if the instance has stood still, as what it knows of the engines may be old.
    pub fn observe<'a, E>(&mut self, engines: E, now: TimeMs)
    where
        E: IntoIterator<Item = (&'a Arc<str>, &'a Arc<str>)>,
    {
        let observed_ms = self.observed_ms.replace(now);
        if observed_ms.is_some_and(|before| now.since(before) > MAX_OBSERVATION_GAP_MS) {
            self.reset();
        }
        for (service, version) in engines {
            let seen = self
                .services
                .entry(service.clone())
                .or_insert_with(|| ServiceVersions {
                    observed_since_ms: now,
                    versions: BTreeMap::new(),
                });
            let presence = seen.versions.entry(version.clone()).or_insert(Presence {
                present_since_ms: None,
                last_seen_ms: now,
            });
            presence.present_since_ms.get_or_insert(now);
            presence.last_seen_ms = now;
        }
        for seen in self.services.values_mut() {
            seen.end_absent(now);
        }
    }

    /// Forgets what was seen, as versions may have come and gone unseen.
    pub fn reset(&mut self) {
        self.services.clear();
    }

    /// Returns whether an engine of the service has the version.
    pub fn is_present(&self, service: &str, version: &str) -> bool {
        self.present_since(service, version).is_some()
    }

    /// Returns whether engines of the service have had the version all the time since `since_ms`, and
    /// just before.
    pub fn is_present_since(&self, service: &str, version: &str, since_ms: TimeMs) -> bool {
        self.present_since(service, version)
            .is_some_and(|present_since_ms| present_since_ms < since_ms)
    }

    /// Returns for how long no engine of the service has had the version, as far as the instance
    /// has seen.
    pub fn absent_ms(&self, service: &str, version: &str, now: TimeMs) -> u64 {
        let Some(seen) = self.services.get(service) else {
            return 0;
        };
        match seen.versions.get(version) {
            Some(presence) if presence.present_since_ms.is_some() => 0,
            Some(presence) => now.since(presence.last_seen_ms),
            None => now.since(seen.observed_since_ms),
        }
    }

    /// Returns whether engines of the service have had another version since `since_ms`, as far as the
    /// instance has seen.
    pub fn has_seen_others(&self, service: &str, version: &str, since_ms: TimeMs) -> bool {
        let seen = self.services.get(service);
        let mut versions = seen.into_iter().flat_map(|seen| &seen.versions);
        versions.any(|(other, presence)| **other != *version && presence.last_seen_ms >= since_ms)
    }

    /// Returns the version that is to become the default one of a service: the one with the most
    /// slots, once the present default has been absent for `life_ms`. `slots` are the slots of each
    /// version.
    pub fn next_default(
        &self,
        service: &str,
        default: &str,
        slots: &BTreeMap<Arc<str>, u32>,
        life_ms: u64,
        now: TimeMs,
    ) -> Option<Arc<str>> {
        if self.absent_ms(service, default, now) < life_ms {
            return None;
        }
        largest_version(slots)
    }

    fn present_since(&self, service: &str, version: &str) -> Option<TimeMs> {
        let seen = self.services.get(service)?;
        seen.versions.get(version)?.present_since_ms
    }
}

/// Returns the version with the most slots.
pub fn largest_version(slots: &BTreeMap<Arc<str>, u32>) -> Option<Arc<str>> {
    let largest = slots.iter().max_by_key(|(_, slots)| **slots);
    largest.map(|(version, _)| version.clone())
}

impl ServiceVersions {
    // Ends the presence of the versions that were not seen at `now`.
    fn end_absent(&mut self, now: TimeMs) {
        for presence in self.versions.values_mut() {
            if presence.last_seen_ms != now {
                presence.present_since_ms = None;
            }
        }
        while self.versions.len() > MAX_VERSIONS {
            let oldest = self
                .versions
                .iter()
                .min_by_key(|(_, presence)| presence.last_seen_ms)
                .map(|(version, _)| version.clone());
            let Some(oldest) = oldest else { return };
            self.versions.remove(&oldest);
        }
    }
}
