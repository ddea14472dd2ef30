//! Quarantine of parts of prompts that crash the upstreams which write an answer on them.
//!
//! [`dogwoodpier_core::quarantine::PartTable`] decides. This module exchanges its evidence with the
//! peers, and converts what the registrations of instances keep over a restart of the whole fleet.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dogwoodpier_core::quarantine::PartAnswer;
use dogwoodpier_core::quarantine::PartCrash;
use dogwoodpier_core::quarantine::PartSettings;
use dogwoodpier_core::quarantine::PartTable;
use dogwoodpier_core::quarantine::QuarantinedParts;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::counters;
use crate::owners;
use crate::peer_messages::Message;
use crate::quarantine::InFlight;
use crate::state::Gateway;

// Crashes of other causes may account for two.
const MIN_CRASHES: usize = 3;
const MIN_REQUESTS: usize = 2;
// Ten minutes: long enough that a part which crashes upstreams takes few of them, and short enough
// for one that happened to be in flight at several crashes.
const CRASH_MS: u64 = 600_000;
const COMMON_CAUSE_MS: u64 = 100;
// Parts that most requests of a route share are answered several times meanwhile.
const ANSWER_MS: u64 = 10_000;
// Three heartbeats of a fleet of 300 instances.
const BROADCAST_MS: u64 = 10_000;
const MAX_CRASHES: usize = 64;
// Several times the slots of an engine.
const MAX_SUSPECTS: usize = 64;
const MAX_PARTS: usize = 32;
const MAX_ANSWERED_PARTS: usize = 4_096;
// Reports of crashes in one message. Each takes less than 400 bytes.
const MAX_REPORTS: usize = 64;
// Expected number of instances that tell all peers of an answer that clears a reported part.
const EXPECTED_CORRECTIONS: f64 = 5.0;
// Name whose owner repeats the evidence to instances that have just joined.
const OWNED_NAME: &str = "quarantine";

/// Crashes of upstreams that were beginning to answer requests, by the parts of their prompts.
pub struct PromptParts {
    table: Mutex<PartTable>,
}

/// Evidence against parts of prompts, from one instance to another.
#[wire]
pub struct PartReport {
    /// Crashes.
    pub crashes: Vec<PartCrash>,
    /// Answers to requests with parts that were suspected.
    pub answers: Vec<PartAnswer>,
}

/// A crash as a registration keeps it. Numbers are hexadecimal texts, because not every store keeps
/// all digits of large numbers.
#[wire]
#[derive(Eq)]
pub struct StoredCrash {
    /// Hash of the upstream and its incarnation.
    pub crash_id: String,
    /// Hash of the request.
    pub fingerprint: String,
    /// Parts of the prompt.
    pub parts: Vec<String>,
    /// Time of the crash.
    pub observed_unix_ms: u64,
}

impl StoredCrash {
    /// Returns whether both tell of the same crash. Their times may differ by rounding.
    pub fn is_same_crash(&self, other: &Self) -> bool {
        let observed_unix_ms = self.observed_unix_ms;
        let other = Self {
            observed_unix_ms,
            ..other.clone()
        };
        *self == other
    }
}

impl Default for PromptParts {
    fn default() -> Self {
        let settings = PartSettings {
            min_crashes: MIN_CRASHES,
            min_requests: MIN_REQUESTS,
            crash_ms: CRASH_MS,
            common_cause_ms: COMMON_CAUSE_MS,
            answer_ms: ANSWER_MS,
            broadcast_ms: BROADCAST_MS,
            max_crashes: MAX_CRASHES,
            max_suspects: MAX_SUSPECTS,
            max_parts: MAX_PARTS,
            max_answered: MAX_ANSWERED_PARTS,
        };
        Self {
            table: Mutex::new(PartTable::new(settings)),
        }
    }
}

impl PromptParts {
    /// Returns the time until a request with these parts may be sent to an upstream, or `None` if it
    /// may be sent now.
    pub fn retry_after_ms(&self, parts: &[u64]) -> Option<u64> {
        let now = clock::now();
        let table = self.lock();
        let quarantined = table.find_quarantined(parts, now)?;
        Some(quarantined.until_ms.remaining(now))
    }

    /// Returns the quarantined parts, in the form that requests name them.
    pub fn quarantined(&self) -> Vec<Vec<String>> {
        let table = self.lock();
        let sets = table.quarantined().iter();
        sets.map(|set| format_parts(&set.parts)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, PartTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns parts in the form that requests name them.
pub fn format_parts(parts: &[u64]) -> Vec<String> {
    parts.iter().map(|part| format!("{part:x}")).collect()
}

/// Records that an upstream has crashed when it began to answer a request.
pub fn record_crash(gateway: &Gateway, request: &InFlight, crash_id: u64) {
    let crash = PartCrash {
        crash_id,
        fingerprint: request.content.fingerprint,
        parts: request.content.shared_parts.to_vec(),
        ago_ms: 0,
    };
    let report = update(gateway, |table| table.record_crash(crash, clock::now()));
    if let Some(report) = report {
        broadcast(gateway, vec![report], Vec::new());
    }
}

/// Records that an upstream has answered a request with these parts, or has written so much of the
/// answer that they don't crash it.
pub fn record_answer(gateway: &Gateway, parts: &[u64]) {
    if parts.is_empty() {
        return;
    }
    let answers = update(gateway, |table| table.record_answer(parts, clock::now()));
    if !answers.is_empty() {
        broadcast(gateway, Vec::new(), answers);
    }
}

/// Handles a peer's report.
pub fn handle_report(gateway: &Gateway, report: PartReport) {
    let now = clock::now();
    let corrections = update(gateway, |table| {
        for answer in report.answers {
            table.handle_answer(answer, now);
        }
        let crashes = report.crashes.into_iter();
        crashes
            .flat_map(|crash| table.handle_crash(crash, now))
            .collect::<Vec<_>>()
    });
    if corrections.is_empty() {
        return;
    }
    // Most instances know of an answer that the peer lacks. A few of them suffice to tell the others.
    let members = gateway.state().peer_reports.membership(now).members;
    if rand::random::<f64>() * (members as f64) < EXPECTED_CORRECTIONS {
        broadcast(gateway, Vec::new(), corrections);
    }
}

/// Returns the report to send with a heartbeat, if there is anything to tell.
pub fn recent_report(gateway: &Gateway) -> Option<PartReport> {
    let now = clock::now();
    let (mut crashes, answers, evidence) = update(gateway, |table| {
        table.expire(now);
        let crashes = table.recent_crashes(now);
        (crashes, table.recent_answers(now), table.evidence(now))
    });
    if !evidence.is_empty() && owners::is_local(gateway, OWNED_NAME) {
        crashes.extend(evidence);
    }
    if crashes.is_empty() && answers.is_empty() {
        return None;
    }
    // Keeps the most recent crashes, which peers have had the fewest chances to learn of.
    crashes.sort_by_key(|crash| crash.ago_ms);
    crashes.truncate(MAX_REPORTS);
    Some(PartReport { crashes, answers })
}

/// Returns the evidence that this instance keeps in its registration: against parts whose crashes it
/// has seen itself, and against all if it owns the quarantine.
pub fn stored_evidence(gateway: &Gateway) -> Vec<StoredCrash> {
    let (evidence, is_own) = {
        let table = gateway.quarantine.parts.lock();
        (table.evidence(clock::now()), table.has_own_evidence())
    };
    if evidence.is_empty() || (!is_own && !owners::is_local(gateway, OWNED_NAME)) {
        return Vec::new();
    }
    let unix_ms = unix_now_ms();
    evidence
        .into_iter()
        .map(|crash| StoredCrash {
            crash_id: format!("{:x}", crash.crash_id),
            fingerprint: format!("{:x}", crash.fingerprint),
            parts: format_parts(&crash.parts),
            observed_unix_ms: unix_ms.saturating_sub(crash.ago_ms),
        })
        .collect()
}

/// Restores the evidence that a registration has kept. That of this instance itself, from before its
/// restart, is told to the peers again.
pub fn restore_evidence(gateway: &Gateway, stored: &[StoredCrash], is_own: bool) {
    let unix_ms = unix_now_ms();
    let crashes = stored.iter().filter_map(|crash| parse(crash, unix_ms));
    let crashes: Vec<PartCrash> = crashes.collect();
    if crashes.len() < stored.len() {
        gateway.events.write(
            "unreadable_evidence",
            serde_json::json!({ "crashes": stored.len() - crashes.len() }),
        );
    }
    let now = clock::now();
    update(gateway, |table| {
        for crash in crashes {
            match is_own {
                true => drop(table.record_crash(crash, now)),
                false => drop(table.handle_crash(crash, now)),
            }
        }
    });
}

fn parse(stored: &StoredCrash, unix_ms: u64) -> Option<PartCrash> {
    let number = |text: &String| u64::from_str_radix(text, 16).ok();
    Some(PartCrash {
        crash_id: number(&stored.crash_id)?,
        fingerprint: number(&stored.fingerprint)?,
        parts: stored.parts.iter().map(number).collect::<Option<_>>()?,
        ago_ms: unix_ms.saturating_sub(stored.observed_unix_ms),
    })
}

fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

// Changes the table, and logs and signals if other parts are quarantined than before.
fn update<R>(gateway: &Gateway, change: impl FnOnce(&mut PartTable) -> R) -> R {
    let parts = &gateway.quarantine.parts;
    let mut table = parts.lock();
    let before = table.quarantined().clone();
    let result = change(&mut table);
    let after = table.quarantined().clone();
    drop(table);
    if before != after {
        log_changes(gateway, &before, &after);
        metrics::gauge!(counters::QUARANTINED_PARTS).set(after.len() as f64);
        gateway.quarantine.signal_change();
    }
    result
}

fn log_changes(gateway: &Gateway, before: &[QuarantinedParts], after: &[QuarantinedParts]) {
    let contains = |sets: &[QuarantinedParts], set: &QuarantinedParts| {
        sets.iter().any(|other| other.parts == set.parts)
    };
    for set in after.iter().filter(|set| !contains(before, set)) {
        gateway.events.write(
            "parts_quarantined",
            serde_json::json!({ "parts": format_parts(&set.parts), "crashes": set.crashes }),
        );
    }
    for set in before.iter().filter(|set| !contains(after, set)) {
        gateway.events.write(
            "parts_released",
            serde_json::json!({ "parts": format_parts(&set.parts) }),
        );
    }
}

fn broadcast(gateway: &Gateway, crashes: Vec<PartCrash>, answers: Vec<PartAnswer>) {
    send_to_all(gateway, PartReport { crashes, answers });
}

/// Sends a report to all peers.
pub fn send_to_all(gateway: &Gateway, report: PartReport) {
    let message = Message::Parts(report);
    for address in gateway.peer_addresses.all() {
        gateway.send_message(address, &message);
    }
}
