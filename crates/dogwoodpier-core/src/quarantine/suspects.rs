//! Crash reports by request, and the run policy that follows from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::SuspectUpdate;

/// Lifetimes and limits of crash reports.
#[plain]
pub struct SuspectSettings {
    /// Time for which a crash counts against a request.
    pub crash_ms: u64,
    /// Time for which a request is quarantined after its last crash.
    pub quarantine_ms: u64,
    /// Two reports of crashes of one upstream count as one crash if the crashes were observed less
    /// than this time apart, as different nodes report the same crash.
    pub same_crash_ms: u64,
    /// Time for which a new report is sent with every heartbeat.
    pub broadcast_ms: u64,
    /// Maximum number of requests for which reports are kept.
    pub max_requests: usize,
    /// Number of crashes, of whatever cause, after which a request is quarantined.
    pub max_crashes: usize,
}

/// A crash of an upstream while a request was in flight there.
#[plain]
#[derive(Copy)]
pub struct Crash {
    /// Hash of workspace, route or model, and body.
    pub fingerprint: u64,
    /// Hash of the upstream in the upper half, of observer and crash in the lower.
    pub crash_id: u64,
    /// True if the request ran alone: no other suspect ran alone at that time or was allowed to.
    pub alone: bool,
    /// Time after which the report no longer counts.
    pub expires_ms: TimeMs,
}

/// Whether and how a request may run.
#[plain]
#[derive(Copy, Eq)]
pub enum RunPolicy {
    /// It may run without restriction.
    Unrestricted,
    /// It may run while no other copy of it runs.
    SingleCopy,
    /// It may run while no other suspect with this policy runs.
    Exclusive,
    /// It may not run.
    Quarantined {
        /// Time until the caller may send it again.
        retry_after_ms: u64,
    },
}

/// The crash reports that are known to a node.
#[plain]
pub struct SuspectTable {
    settings: SuspectSettings,
    crashes: BTreeMap<u64, Vec<KnownCrash>>,
    // Times of the last answers to requests that were suspects, by fingerprint.
    answers: BTreeMap<u64, AnswerTime>,
    // Ids of possible crashes that are being probed, by fingerprint: one for each cut connection.
    probes: BTreeMap<u64, Vec<u64>>,
    // Offset among the older reports at which the next heartbeat continues.
    next_old_offset: usize,
}

#[plain]
#[derive(Copy)]
struct KnownCrash {
    crash: Crash,
    learned_ms: TimeMs,
    // Observed by this node, not reported by another.
    is_own: bool,
}

#[plain]
#[derive(Copy)]
struct AnswerTime {
    answered_ms: TimeMs,
    is_own: bool,
}

/// Time within which a process that is ending has closed its sockets.
pub const PROBE_MS: u64 = 50;

// Number of crashes after which a request runs alone.
const EXCLUSIVE_RUN_CRASHES: usize = 2;
// Maximum number of reports in one heartbeat.
const MAX_NEW_REPORTS: usize = 64;
const MAX_OLD_REPORTS: usize = 4;

impl Crash {
    /// Returns the id of a crash of an upstream as one node saw it.
    pub fn id(upstream_hash: u64, observer_hash: u64) -> u64 {
        (upstream_hash << 32) | (observer_hash & 0xffff_ffff)
    }

    fn upstream(&self) -> u64 {
        self.crash_id >> 32
    }
}

impl SuspectSettings {
    fn lifetime_ms(&self, alone: bool) -> u64 {
        match alone {
            true => self.quarantine_ms,
            false => self.crash_ms,
        }
    }

    // Returns when a crash was observed, whatever the delay of the report.
    fn observed_ms(&self, crash: &Crash) -> TimeMs {
        TimeMs(
            crash
                .expires_ms
                .0
                .saturating_sub(self.lifetime_ms(crash.alone)),
        )
    }
}

impl SuspectTable {
    /// Returns a table without reports.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            crashes: BTreeMap::new(),
            answers: BTreeMap::new(),
            probes: BTreeMap::new(),
            next_old_offset: 0,
        }
    }

    /// Returns a report of a crash that this node has just observed.
    pub fn observe(&self, fingerprint: u64, crash_id: u64, alone: bool, now: TimeMs) -> Crash {
        Crash {
            fingerprint,
            crash_id,
            alone,
            expires_ms: now.after(self.settings.lifetime_ms(alone)),
        }
    }

    /// Records a report from another node. Returns whether it was added as a new crash.
    pub fn handle_report(&mut self, crash: Crash, now: TimeMs) -> bool {
        self.insert(crash, false, now)
    }

    pub(super) fn insert(&mut self, crash: Crash, is_own: bool, now: TimeMs) -> bool {
        self.expire(now);
        let same_crash_ms = self.settings.same_crash_ms;
        let settings = self.settings.clone();
        let observed_ms = settings.observed_ms(&crash);
        let is_full = self.crashes.len() >= self.settings.max_requests;
        let is_answered = self
            .answers
            .get(&crash.fingerprint)
            .is_some_and(|answered| observed_ms <= answered.answered_ms);
        if is_answered {
            return false;
        }
        if crash.expires_ms <= now || (is_full && !self.crashes.contains_key(&crash.fingerprint)) {
            return false;
        }
        let reports = self.crashes.entry(crash.fingerprint).or_default();
        let same = reports.iter_mut().find(|known| {
            known.crash.crash_id == crash.crash_id
                || (known.crash.upstream() == crash.upstream()
                    && observed_ms.0.abs_diff(settings.observed_ms(&known.crash).0) < same_crash_ms)
        });
        if let Some(same) = same {
            // If any of the reports is of a request that ran alone, the crash is attributed to it.
            same.crash.alone |= crash.alone;
            same.crash.expires_ms = same.crash.expires_ms.max(crash.expires_ms);
            return false;
        }
        reports.push(KnownCrash {
            crash,
            learned_ms: now,
            is_own,
        });
        true
    }

    // Drops the crashes of a request that were observed before it was answered. Returns whether
    // there were any.
    pub(super) fn clear_crashes(
        &mut self,
        fingerprint: u64,
        answered_ms: TimeMs,
        is_own: bool,
        now: TimeMs,
    ) -> bool {
        // Returns early, because most answered requests are not suspects.
        if !self.crashes.contains_key(&fingerprint) {
            return false;
        }
        self.expire(now);
        let settings = self.settings.clone();
        let Some(reports) = self.crashes.get_mut(&fingerprint) else {
            return false;
        };
        let count = reports.len();
        reports.retain(|known| settings.observed_ms(&known.crash) > answered_ms);
        let dropped = reports.len() < count;
        if reports.is_empty() {
            self.crashes.remove(&fingerprint);
        }
        if dropped {
            let answered = AnswerTime {
                answered_ms,
                is_own,
            };
            self.evict_oldest_answer();
            self.answers.insert(fingerprint, answered);
        }
        dropped
    }

    // Makes room for one more answer within the limit `max_requests`.
    fn evict_oldest_answer(&mut self) {
        if self.answers.len() < self.settings.max_requests {
            return;
        }
        let oldest = self.answers.iter();
        let oldest = oldest.min_by_key(|(_, answered)| answered.answered_ms);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.answers.remove(&fingerprint);
        }
    }

    pub(super) fn settings(&self) -> &SuspectSettings {
        &self.settings
    }

    /// Returns whether and how a request may run.
    pub fn run_policy(&self, fingerprint: u64, now: TimeMs) -> RunPolicy {
        let crashes: Vec<&Crash> = self.live_crashes(fingerprint, now).collect();
        let probes = self.count_probes(fingerprint, &crashes);
        let is_confirmed =
            crashes.len() >= self.settings.max_crashes || crashes.iter().any(|crash| crash.alone);
        let last_ms = crashes.iter().map(|crash| crash.expires_ms).max();
        match crashes.len() {
            count if !is_confirmed && count + probes >= self.settings.max_crashes => {
                RunPolicy::Quarantined {
                    retry_after_ms: PROBE_MS,
                }
            }
            0 => RunPolicy::Unrestricted,
            _ if is_confirmed => RunPolicy::Quarantined {
                retry_after_ms: last_ms.map_or(0, |last_ms| last_ms.remaining(now)),
            },
            count if count >= EXCLUSIVE_RUN_CRASHES => RunPolicy::Exclusive,
            _ => RunPolicy::SingleCopy,
        }
    }

    /// Returns the reports on a request.
    pub fn reports_of(&self, fingerprint: u64, now: TimeMs) -> Vec<Crash> {
        self.live_crashes(fingerprint, now).copied().collect()
    }

    /// Returns the reports for the next heartbeat: the new ones, and a few of the older ones in
    /// rotation for nodes that have just joined.
    pub fn reports(&mut self, now: TimeMs) -> Vec<Crash> {
        self.expire(now);
        let broadcast_ms = self.settings.broadcast_ms;
        let all: Vec<KnownCrash> = self.crashes.values().flatten().copied().collect();
        let is_new = |known: &&KnownCrash| now.since(known.learned_ms) < broadcast_ms;
        let new = all.iter().filter(is_new).take(MAX_NEW_REPORTS);
        let mut reports: Vec<Crash> = new.map(|known| known.crash).collect();
        let old: Vec<&KnownCrash> = all.iter().filter(|known| !is_new(known)).collect();
        for offset in 0..MAX_OLD_REPORTS.min(old.len()) {
            reports.push(old[(self.next_old_offset + offset) % old.len()].crash);
        }
        self.next_old_offset = self.next_old_offset.wrapping_add(MAX_OLD_REPORTS);
        reports
    }

    /// Returns the updates for the next heartbeat of a gateway: its own recent observations, and a
    /// few crashes of requests that may soon be quarantined, in rotation for instances that have
    /// just joined. Recent observations of other instances are left out, because those send them
    /// themselves.
    pub fn updates(&mut self, now: TimeMs) -> Vec<SuspectUpdate> {
        self.expire(now);
        let broadcast_ms = self.settings.broadcast_ms;
        let own = self.crashes.values().flatten();
        let own = own.filter(|known| known.is_own && now.since(known.learned_ms) < broadcast_ms);
        let mut updates: Vec<SuspectUpdate> = own.map(|known| known.crash.as_update(now)).collect();
        let answers = self.answers.iter().filter(|(_, answered)| {
            answered.is_own && now.since(answered.answered_ms) < broadcast_ms
        });
        updates.extend(
            answers.map(|(fingerprint, answered)| SuspectUpdate::Answered {
                fingerprint: *fingerprint,
                ago_ms: now.since(answered.answered_ms),
            }),
        );
        updates.truncate(MAX_NEW_REPORTS);
        let repeated = self.crashes.values();
        let repeated: Vec<Crash> = repeated
            .filter(|reports| reports.len() >= EXCLUSIVE_RUN_CRASHES)
            .flatten()
            .map(|known| known.crash)
            .collect();
        for offset in 0..MAX_OLD_REPORTS.min(repeated.len()) {
            updates.push(repeated[(self.next_old_offset + offset) % repeated.len()].as_update(now));
        }
        self.next_old_offset = self.next_old_offset.wrapping_add(MAX_OLD_REPORTS);
        updates
    }

    /// Begins a probe: an upstream cut a request's connection, and whether it crashed is not known
    /// yet.
    pub fn begin_probe(&mut self, fingerprint: u64, crash_id: u64) {
        self.probes.entry(fingerprint).or_default().push(crash_id);
    }

    /// Ends a probe, as it is now known whether the upstream crashed.
    pub fn end_probe(&mut self, fingerprint: u64, crash_id: u64) {
        let Some(probes) = self.probes.get_mut(&fingerprint) else {
            return;
        };
        if let Some(index) = probes.iter().position(|probe| *probe == crash_id) {
            probes.swap_remove(index);
        }
        if probes.is_empty() {
            self.probes.remove(&fingerprint);
        }
    }

    // Returns the number of upstreams that may have crashed, beside those known to have crashed.
    // Probes are counted once per upstream, because an upstream that keeps running may cut many
    // connections of a request that is sent often.
    fn count_probes(&self, fingerprint: u64, known: &[&Crash]) -> usize {
        let probes = self.probes.get(&fingerprint).into_iter().flatten();
        let unknown = probes.filter(|probe| known.iter().all(|crash| crash.crash_id != **probe));
        unknown.collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of crashes that count against a request.
    pub fn crashes_of(&self, fingerprint: u64, now: TimeMs) -> usize {
        self.live_crashes(fingerprint, now).count()
    }

    /// Returns the number of requests that have reports.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn live_crashes(&self, fingerprint: u64, now: TimeMs) -> impl Iterator<Item = &Crash> {
        self.crashes
            .get(&fingerprint)
            .into_iter()
            .flatten()
            .map(|known| &known.crash)
            .filter(move |crash| crash.expires_ms > now)
    }

    fn expire(&mut self, now: TimeMs) {
        self.crashes.retain(|_, reports| {
            reports.retain(|known| known.crash.expires_ms > now);
            !reports.is_empty()
        });
        let crash_ms = self.settings.crash_ms;
        self.answers
            .retain(|_, answered| now.since(answered.answered_ms) < crash_ms);
    }
}
