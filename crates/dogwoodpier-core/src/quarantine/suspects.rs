//! Crash reports by request, and what follows from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::SuspectUpdate;

/// Lifetimes and bounds of crash reports.
#[plain]
pub struct SuspectSettings {
    /// Time for which a crash counts against a request.
    pub crash_ms: u64,
    /// Time for which a request is quarantined after its last crash.
    pub quarantine_ms: u64,
    /// Time for which two reports of one upstream's crash by different nodes count as one.
    pub same_crash_ms: u64,
    /// Time for which a new report goes out with every heartbeat.
    pub broadcast_ms: u64,
    /// Most requests that reports are kept of.
    pub max_requests: usize,
    /// Crashes, however they came about, after which a request is no longer tried.
    pub max_crashes: usize,
}

/// A crash that a request was in flight in.
#[plain]
#[derive(Copy)]
pub struct Crash {
    /// Hash of workspace, route or model, and body.
    pub fingerprint: u64,
    /// Hash of the upstream in the upper half, of observer and crash in the lower.
    pub crash_id: u64,
    /// True if no other suspect ran alone or was allowed to.
    pub alone: bool,
    /// Time after which the report no longer counts.
    pub expires_ms: TimeMs,
}

/// What a request may do.
#[plain]
#[derive(Copy, Eq)]
pub enum RunPolicy {
    /// Run.
    Unrestricted,
    /// Run while no other copy of it runs.
    SingleCopy,
    /// Run while no other suspect runs that needs this.
    Exclusive,
    /// Not run.
    Quarantined {
        /// Time until it may be sent again.
        retry_after_ms: u64,
    },
}

/// The crash reports that a node knows.
#[plain]
pub struct SuspectTable {
    settings: SuspectSettings,
    crashes: BTreeMap<u64, Vec<Known>>,
    // Last answers of requests that were suspects, by fingerprint.
    answers: BTreeMap<u64, Answered>,
    // Crashes that there may have been, by fingerprint: one for each connection that was cut.
    probes: BTreeMap<u64, Vec<u64>>,
    // Where the next heartbeat goes on with older reports.
    next_old: usize,
}

#[plain]
#[derive(Copy)]
struct Known {
    crash: Crash,
    learned_ms: TimeMs,
    // Seen by this node and not heard of.
    is_own: bool,
}

#[plain]
#[derive(Copy)]
struct Answered {
    answered_ms: TimeMs,
    is_own: bool,
}

/// Time in which a process that is ending has closed its sockets.
pub const PROBE_MS: u64 = 50;

// Crashes after which a request runs alone.
const ALONE_CRASHES: usize = 2;
// Reports in one heartbeat.
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

    // Returns when a crash was seen, whenever the report of it arrived.
    fn seen_ms(&self, crash: &Crash) -> TimeMs {
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
            next_old: 0,
        }
    }

    /// Returns a report of a crash that this node has just seen.
    pub fn observe(&self, fingerprint: u64, crash_id: u64, alone: bool, now: TimeMs) -> Crash {
        Crash {
            fingerprint,
            crash_id,
            alone,
            expires_ms: now.after(self.settings.lifetime_ms(alone)),
        }
    }

    /// Takes in a report. Returns whether it is of a crash that was not known.
    pub fn handle_report(&mut self, crash: Crash, now: TimeMs) -> bool {
        self.insert(crash, false, now)
    }

    pub(super) fn insert(&mut self, crash: Crash, is_own: bool, now: TimeMs) -> bool {
        self.expire(now);
        let same_crash_ms = self.settings.same_crash_ms;
        let settings = self.settings.clone();
        let seen_ms = settings.seen_ms(&crash);
        let is_full = self.crashes.len() >= self.settings.max_requests;
        let is_answered = self
            .answers
            .get(&crash.fingerprint)
            .is_some_and(|answered| seen_ms <= answered.answered_ms);
        if is_answered {
            return false;
        }
        if crash.expires_ms <= now || (is_full && !self.crashes.contains_key(&crash.fingerprint)) {
            return false;
        }
        let known = self.crashes.entry(crash.fingerprint).or_default();
        let same = known.iter_mut().find(|known| {
            known.crash.crash_id == crash.crash_id
                || (known.crash.upstream() == crash.upstream()
                    && seen_ms.0.abs_diff(settings.seen_ms(&known.crash).0) < same_crash_ms)
        });
        if let Some(same) = same {
            // The same crash seen by the one who ran the request alone says more.
            same.crash.alone |= crash.alone;
            same.crash.expires_ms = same.crash.expires_ms.max(crash.expires_ms);
            return false;
        }
        known.push(Known {
            crash,
            learned_ms: now,
            is_own,
        });
        true
    }

    // Drops the crashes of a request that were seen before it was answered. Returns whether there were
    // any.
    pub(super) fn acquit(
        &mut self,
        fingerprint: u64,
        answered_ms: TimeMs,
        is_own: bool,
        now: TimeMs,
    ) -> bool {
        // Most requests that are answered are no suspects.
        if !self.crashes.contains_key(&fingerprint) {
            return false;
        }
        self.expire(now);
        let settings = self.settings.clone();
        let Some(known) = self.crashes.get_mut(&fingerprint) else {
            return false;
        };
        let count = known.len();
        known.retain(|known| settings.seen_ms(&known.crash) > answered_ms);
        let dropped = known.len() < count;
        if known.is_empty() {
            self.crashes.remove(&fingerprint);
        }
        if dropped {
            let answered = Answered {
                answered_ms,
                is_own,
            };
            self.forget_oldest_answer();
            self.answers.insert(fingerprint, answered);
        }
        dropped
    }

    // Keeps the answers within the bound of requests.
    fn forget_oldest_answer(&mut self) {
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

    /// Returns what a request may do.
    pub fn run_policy(&self, fingerprint: u64, now: TimeMs) -> RunPolicy {
        let crashes: Vec<&Crash> = self.live(fingerprint, now).collect();
        let probes = self.count_probes(fingerprint, &crashes);
        let is_guilty =
            crashes.len() >= self.settings.max_crashes || crashes.iter().any(|crash| crash.alone);
        let last_ms = crashes.iter().map(|crash| crash.expires_ms).max();
        match crashes.len() {
            count if !is_guilty && count + probes >= self.settings.max_crashes => {
                RunPolicy::Quarantined {
                    retry_after_ms: PROBE_MS,
                }
            }
            0 => RunPolicy::Unrestricted,
            _ if is_guilty => RunPolicy::Quarantined {
                retry_after_ms: last_ms.map_or(0, |last_ms| last_ms.remaining(now)),
            },
            count if count >= ALONE_CRASHES => RunPolicy::Exclusive,
            _ => RunPolicy::SingleCopy,
        }
    }

    /// Returns the reports of a request.
    pub fn reports_of(&self, fingerprint: u64, now: TimeMs) -> Vec<Crash> {
        self.live(fingerprint, now).copied().collect()
    }

    /// Returns the reports for the next heartbeat: all that are new, and a few of the older ones
    /// for nodes that have just joined.
    pub fn reports(&mut self, now: TimeMs) -> Vec<Crash> {
        self.expire(now);
        let spread_ms = self.settings.broadcast_ms;
        let all: Vec<Known> = self.crashes.values().flatten().copied().collect();
        let is_new = |known: &&Known| now.since(known.learned_ms) < spread_ms;
        let new = all.iter().filter(is_new).take(MAX_NEW_REPORTS);
        let mut reports: Vec<Crash> = new.map(|known| known.crash).collect();
        let old: Vec<&Known> = all.iter().filter(|known| !is_new(known)).collect();
        for offset in 0..MAX_OLD_REPORTS.min(old.len()) {
            reports.push(old[(self.next_old + offset) % old.len()].crash);
        }
        self.next_old = self.next_old.wrapping_add(MAX_OLD_REPORTS);
        reports
    }

    /// Returns the news for the next heartbeat of a gateway: what it has seen itself lately, and a few
    /// of the older crashes of requests that may soon be quarantined, for instances that have just
    /// joined. What others have seen they tell themselves.
    pub fn updates(&mut self, now: TimeMs) -> Vec<SuspectUpdate> {
        self.expire(now);
        let spread_ms = self.settings.broadcast_ms;
        let own = self.crashes.values().flatten();
        let own = own.filter(|known| known.is_own && now.since(known.learned_ms) < spread_ms);
        let mut news: Vec<SuspectUpdate> = own.map(|known| known.crash.as_update(now)).collect();
        let answers = self
            .answers
            .iter()
            .filter(|(_, answered)| answered.is_own && now.since(answered.answered_ms) < spread_ms);
        news.extend(
            answers.map(|(fingerprint, answered)| SuspectUpdate::Answered {
                fingerprint: *fingerprint,
                ago_ms: now.since(answered.answered_ms),
            }),
        );
        news.truncate(MAX_NEW_REPORTS);
        let repeated = self.crashes.values();
        let repeated: Vec<Crash> = repeated
            .filter(|known| known.len() >= ALONE_CRASHES)
            .flatten()
            .map(|known| known.crash)
            .collect();
        for offset in 0..MAX_OLD_REPORTS.min(repeated.len()) {
            news.push(repeated[(self.next_old + offset) % repeated.len()].as_update(now));
        }
        self.next_old = self.next_old.wrapping_add(MAX_OLD_REPORTS);
        news
    }

    /// Notes that it isn't known yet whether an upstream that cut a request's connection has crashed.
    pub fn begin_probe(&mut self, fingerprint: u64, crash_id: u64) {
        self.probes.entry(fingerprint).or_default().push(crash_id);
    }

    /// Notes that it is known.
    pub fn end_probe(&mut self, fingerprint: u64, crash_id: u64) {
        let Some(probes) = self.probes.get_mut(&fingerprint) else {
            return;
        };
        if let Some(place) = probes.iter().position(|probe| *probe == crash_id) {
            probes.swap_remove(place);
        }
        if probes.is_empty() {
            self.probes.remove(&fingerprint);
        }
    }

    // Returns the number of upstreams that may have crashed beside those that are known to. An upstream
    // that goes on may cut many connections of a request that is sent often.
    fn count_probes(&self, fingerprint: u64, known: &[&Crash]) -> usize {
        let probes = self.probes.get(&fingerprint).into_iter().flatten();
        let unknown = probes.filter(|probe| known.iter().all(|crash| crash.crash_id != **probe));
        unknown.collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of crashes that count against a request.
    pub fn crashes_of(&self, fingerprint: u64, now: TimeMs) -> usize {
        self.live(fingerprint, now).count()
    }

    /// Returns the number of requests with reports.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn live(&self, fingerprint: u64, now: TimeMs) -> impl Iterator<Item = &Crash> {
        self.crashes
            .get(&fingerprint)
            .into_iter()
            .flatten()
            .map(|known| &known.crash)
            .filter(move |crash| crash.expires_ms > now)
    }

    fn expire(&mut self, now: TimeMs) {
        self.crashes.retain(|_, known| {
            known.retain(|known| known.crash.expires_ms > now);
            !known.is_empty()
        });
        let crash_ms = self.settings.crash_ms;
        self.answers
            .retain(|_, answered| now.since(answered.answered_ms) < crash_ms);
    }
}
