//! Quarantine: stops requests that crash the engines that run them.

use dogwoodpier_core::Refusal;
use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::CrashReport;

use crate::state::SharedNode;

/// Crash reports of the fleet, and suspects that run alone.
#[derive(Default)]
pub struct Quarantine {}

/// The right of one request to run now. Dropping it lets the next suspect run.
#[derive(Debug, Default)]
pub struct Passage {
    /// True if the request is a suspect and must run alone.
    pub suspect: bool,
}

impl Passage {
    /// Records that an upstream crashed while it ran the request.
    pub fn crashed(&mut self, _node: &SharedNode, _upstream: &str, _start: u64, _now: TimeMs) {}
}

impl Quarantine {
    /// Lets a request pass, waits for its turn if it is a suspect, or refuses it.
    pub async fn enter(&self, _fingerprint: u64, _deadline_ms: TimeMs) -> Result<Passage, Refusal> {
        Ok(Passage::default())
    }

    /// Records that an engine crashed while it ran the request. `engine_start` tells crashes of one
    /// engine apart.
    pub fn crashed(
        &self,
        _fingerprint: u64,
        _engine: &str,
        _engine_start: u64,
        _suspect: bool,
        _now: TimeMs,
    ) {
    }

    /// Returns reports that are new for a peer.
    pub fn reports_for(&self, _peer: &str, _now: TimeMs) -> Vec<CrashReport> {
        Vec::new()
    }

    /// Takes in reports from a peer.
    pub fn take_reports(&self, _reports: &[CrashReport], _now: TimeMs) {}

    /// Returns the state as JSON.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::Value::Null
    }
}
