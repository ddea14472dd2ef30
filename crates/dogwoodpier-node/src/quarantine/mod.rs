//! Quarantine: stops requests that crash the upstreams that run them.
//!
//! The decisions are in [`dogwoodpier_core::quarantine`]. One node of the fleet, picked by
//! rendezvous hash, grants the turns of a suspect (`turn`), so that the number of crashes doesn't
//! grow with the number of nodes that its caller sends it to.

mod run_permit;
mod turn;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::join_all;
use log::warn;
use metrics::counter;
use xxhash_rust::xxh3::xxh3_64;

use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::quarantine::Crash;
use dogwoodpier_core::quarantine::ExclusiveRun;
use dogwoodpier_core::quarantine::ExclusiveRuns;
use dogwoodpier_core::quarantine::RunPolicy;
use dogwoodpier_core::quarantine::SuspectSettings;
use dogwoodpier_core::quarantine::SuspectTable;
use dogwoodpier_proto::CrashReport;

use crate::clock;
use crate::counters;
use crate::peers;
use crate::state::SharedNode;

pub use self::run_permit::RunPermit;

// Time for which a crash counts against a request.
const CRASH_EXPIRY_MS: u64 = 600_000;
const QUARANTINE_MS: u64 = 3_600_000;
const SAME_CRASH_MS: u64 = 1_000;
const BROADCAST_MS: u64 = 10_000;
const MAX_REQUESTS: usize = 10_000;
const MAX_CRASHES: usize = 4;
const TURN_RETRY_DELAY: Duration = Duration::from_millis(50);
const RETRY_AFTER_MS: u64 = 1_000;

/// Crash reports of the fleet, and the turns of suspects that this node grants.
pub struct Quarantine {
    suspects: Mutex<SuspectTable>,
    turns: Mutex<ExclusiveRuns>,
}

impl Default for Quarantine {
    fn default() -> Self {
        let settings = SuspectSettings {
            crash_ms: CRASH_EXPIRY_MS,
            quarantine_ms: QUARANTINE_MS,
            same_crash_ms: SAME_CRASH_MS,
            broadcast_ms: BROADCAST_MS,
            max_requests: MAX_REQUESTS,
            max_crashes: MAX_CRASHES,
        };
        Self {
            suspects: Mutex::new(SuspectTable::new(settings)),
            turns: Mutex::default(),
        }
    }
}

impl Quarantine {
    /// Admits a request, waits for its turn first if it is a suspect, or refuses it if it is
    /// quarantined or its deadline has passed.
    pub async fn admit(
        &self,
        node: &SharedNode,
        fingerprint: u64,
        deadline_ms: TimeMs,
    ) -> Result<RunPermit, Refusal> {
        let mut permit = RunPermit::new(node, fingerprint);
        loop {
            let now = clock::now();
            let wanted = match lock(&self.suspects).run_policy(fingerprint, now) {
                RunPolicy::Unrestricted => None,
                RunPolicy::SingleCopy => Some(ExclusiveRun::OneCopy(fingerprint)),
                RunPolicy::Exclusive => Some(ExclusiveRun::Alone),
                RunPolicy::Quarantined { retry_after_ms } => {
                    return Err(quarantined(retry_after_ms));
                }
            };
            // The reply to a request for a turn may bring crash reports that change the policy, so
            // the policy is looked up again in each round.
            if permit.matches(wanted) {
                return Ok(permit);
            }
            if now >= deadline_ms {
                return Err(deadline_exceeded());
            }
            match wanted {
                Some(turn) if permit.acquire_turn(turn).await => {}
                Some(_) => tokio::time::sleep(TURN_RETRY_DELAY).await,
                None => permit = RunPermit::new(node, fingerprint),
            }
        }
    }

    /// Admits a request again that has crashed an upstream. The execution of a refusal is
    /// `unknown`, since the request may have run.
    pub async fn readmit(
        &self,
        node: &SharedNode,
        fingerprint: u64,
        deadline_ms: TimeMs,
    ) -> Result<RunPermit, Refusal> {
        let result = self.admit(node, fingerprint, deadline_ms).await;
        result.map_err(|refusal| Refusal {
            execution: Execution::Unknown,
            ..refusal
        })
    }

    /// Returns the crash reports for a heartbeat.
    pub fn reports(&self, now: TimeMs) -> Vec<CrashReport> {
        let crashes = lock(&self.suspects).reports(now);
        crash_reports(&crashes, now)
    }

    /// Records crash reports from a peer.
    pub fn record_reports(&self, reports: &[CrashReport], now: TimeMs) {
        let mut suspects = lock(&self.suspects);
        for report in reports {
            let crash = Crash {
                fingerprint: report.fingerprint,
                crash_id: report.crash_id,
                alone: report.alone,
                expires_ms: now.after(report.expires_in_ms.min(QUARANTINE_MS)),
            };
            suspects.handle_report(crash, now);
        }
    }

    /// Returns the quarantine's state as JSON for `/dump`.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::json!({
            "suspects": lock(&self.suspects).len(),
            "turns": lock(&self.turns).len(),
        })
    }

    // Records a crash that this node has seen and reports it to every peer. Returns when each peer
    // has answered or its call has timed out: otherwise a caller that repeats the request at once
    // might reach a node that doesn't know it as a suspect yet.
    async fn record_crash(&self, node: &SharedNode, fingerprint: u64, alone: bool, crash_id: u64) {
        let now = clock::now();
        let is_new = {
            let mut suspects = lock(&self.suspects);
            let crash = suspects.observe(fingerprint, crash_id, alone, now);
            suspects.handle_report(crash, now)
        };
        counter!(counters::CRASHES_TOTAL, "alone" => alone.to_string()).increment(1);
        if !is_new {
            return;
        }
        warn!(
            "request {fingerprint:016x} was in flight at an upstream that crashed, alone: {alone}"
        );
        // Spawned as tasks, which continue if the request's caller disconnects.
        let peers = node.peers.alive(now).into_iter();
        let heartbeats = peers.map(|peer| tokio::spawn(peers::send_heartbeat(node.clone(), peer)));
        let results = join_all(heartbeats).await;
        let unanswered = results
            .iter()
            .filter(|result| !matches!(result, Ok(true)))
            .count();
        if unanswered > 0 {
            warn!("{unanswered} peers did not acknowledge the crash of request {fingerprint:016x}");
        }
    }

    fn reports_of(&self, fingerprint: u64, now: TimeMs) -> Vec<CrashReport> {
        let crashes = lock(&self.suspects).reports_of(fingerprint, now);
        crash_reports(&crashes, now)
    }
}

// Returns the id of a crash, made of the upstream, the observing node and the upstream's start.
fn crash_id(upstream: &str, observer: u64, upstream_start: u64) -> u64 {
    let observation = [observer.to_le_bytes(), upstream_start.to_le_bytes()].concat();
    Crash::id(xxh3_64(upstream.as_bytes()), xxh3_64(&observation))
}

fn crash_reports(crashes: &[Crash], now: TimeMs) -> Vec<CrashReport> {
    let message = |crash: &Crash| CrashReport {
        fingerprint: crash.fingerprint,
        crash_id: crash.crash_id,
        expires_in_ms: crash.expires_ms.remaining(now),
        alone: crash.alone,
    };
    crashes.iter().map(message).collect()
}

fn quarantined(retry_after_ms: u64) -> Refusal {
    Refusal::not_run(
        RefusalReason::Quarantined,
        "earlier runs of this request crashed the upstreams that ran it",
    )
    .retry_after(retry_after_ms)
}

fn deadline_exceeded() -> Refusal {
    Refusal::not_run(
        RefusalReason::DeadlineExceeded,
        "the request waited for its turn after an upstream had crashed",
    )
    .retry_after(RETRY_AFTER_MS)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
