//! Configurations that peers have in force and that a restored store lacks.
//!
//! A running instance never goes back to an older configuration. One that starts after the store was
//! restored from a copy would take the copy's configuration for the newest one, until the operator
//! has written the newer one again. Its peers tell it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dogwoodpier_core::TimeMs;
use dogwoodpier_process::clock;

use crate::state::Gateway;

// Time for the operator to write the configuration again. After it, an older one is better than
// none.
const REWRITE_MS: u64 = 10_000;

/// What this instance and its peers know of the newest configuration.
#[derive(Default)]
pub struct NewerConfiguration {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    // Version of the configuration in the store, as read last.
    stored_version: Option<u64>,
    reported: Option<ReportedVersion>,
}

// The newest version that a peer has in force while the store has an older one.
#[derive(Clone, Copy)]
struct ReportedVersion {
    version: u64,
    wait_deadline_ms: TimeMs,
}

impl NewerConfiguration {
    /// Records the version of the configuration that the store has.
    pub fn record_stored(&self, version: u64) {
        self.lock().stored_version = Some(version);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the version in force at this instance if the store has an older one.
pub fn unstored_version(gateway: &Gateway) -> Option<u64> {
    let stored_version = gateway.newer_configuration.lock().stored_version?;
    version_in_force(gateway).filter(|version| *version > stored_version)
}

/// Handles a peer's report of the version that it has in force and the store lacks.
pub fn handle_report(gateway: &Gateway, version: u64) {
    let mut inner = gateway.newer_configuration.lock();
    if inner.reported.is_some_and(|known| known.version >= version) {
        return;
    }
    inner.reported = Some(ReportedVersion {
        version,
        wait_deadline_ms: clock::now().after(REWRITE_MS),
    });
    drop(inner);
    gateway.events.write(
        "newer_configuration_reported",
        serde_json::json!({ "version": version, "in_force": version_in_force(gateway) }),
    );
}

/// Returns whether a peer has a newer configuration in force, which the operator is about to write
/// again.
pub fn is_awaited(gateway: &Gateway) -> bool {
    let reported = gateway.newer_configuration.lock().reported;
    reported.is_some_and(|reported| {
        version_in_force(gateway) < Some(reported.version)
            && reported.wait_deadline_ms > clock::now()
    })
}

fn version_in_force(gateway: &Gateway) -> Option<u64> {
    let configuration = gateway.configuration.load();
    configuration.as_ref().map(|current| current.version)
}
