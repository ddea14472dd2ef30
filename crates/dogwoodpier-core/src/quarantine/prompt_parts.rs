//! Parts of prompts that crash the upstreams which write an answer on them.
//!
//! Load pattern: requests of which no two are alike crash one upstream after the other. They have
//! one part of their prompts in common, while sound requests share their caller and their other
//! parts. Each crash also cuts the sound requests that the upstream was answering.
//!
//! A suspect of a crash is a request whose answer had only just begun, because the part crashes the
//! upstream as soon as it writes on it. Parts that were answered shortly before a crash or since are
//! no candidates for its cause. A set of parts is quarantined once it occurs in the suspects of
//! several crashes and several requests. Parts that always occurred together can't be told apart, so
//! only requests with all of them are rejected: sound requests with some of them are served, and
//! their answers narrow the set.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

/// Limits and lifetimes of the evidence against parts of prompts.
#[plain]
#[derive(Copy)]
pub struct PartSettings {
    /// Number of crashes after which parts are quarantined.
    pub min_crashes: usize,
    /// Number of different requests that these crashes must have as suspects.
    pub min_requests: usize,
    /// Time for which a crash counts.
    pub crash_ms: u64,
    /// Crashes less than this time apart count as one, because upstreams that fail together have a
    /// common cause.
    pub common_cause_ms: u64,
    /// Time for which an answer clears its parts of later crashes.
    pub answer_ms: u64,
    /// Time for which a new observation is sent with every heartbeat.
    pub broadcast_ms: u64,
    /// Maximum number of crashes that are kept.
    pub max_crashes: usize,
    /// Maximum number of suspects that are kept for a crash.
    pub max_suspects: usize,
    /// Maximum number of parts that are kept for a suspect.
    pub max_parts: usize,
    /// Number of answered parts that are kept at least, if so many were answered in `answer_ms`.
    pub max_answered: usize,
}

/// A crash of an upstream while it was beginning to answer a request.
#[wire]
#[derive(Eq)]
pub struct PartCrash {
    /// Hash of the upstream and its incarnation.
    pub crash_id: u64,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Parts of its prompt that may have caused the crash.
    pub parts: Vec<u64>,
    /// Time since the crash, as the clocks of instances differ.
    pub ago_ms: u64,
}

/// An answer to a request with a part of a prompt.
#[wire]
#[derive(Copy, Eq)]
pub struct PartAnswer {
    /// The part.
    pub part: u64,
    /// Time since the answer.
    pub ago_ms: u64,
}

/// Parts whose requests are rejected if they contain all of them.
#[plain]
#[derive(Eq)]
pub struct QuarantinedParts {
    /// The parts, in ascending order.
    pub parts: Vec<u64>,
    /// Number of crashes that they explain.
    pub crashes: usize,
    /// Time until which they are quarantined.
    pub until_ms: TimeMs,
}

/// The evidence against parts of prompts that is known to an instance.
#[plain]
pub struct PartTable {
    settings: PartSettings,
    crashes: Vec<Crash>,
    answered: AnsweredParts,
    // Recent own answers that have cleared parts.
    own_answers: Vec<(u64, TimeMs)>,
    quarantined: Arc<[QuarantinedParts]>,
}

#[plain]
struct Crash {
    id: u64,
    observed_ms: TimeMs,
    // By the fingerprint of the request.
    suspects: BTreeMap<u64, Suspect>,
}

#[plain]
struct Suspect {
    parts: BTreeSet<u64>,
    // Observed by this instance, not reported by another.
    is_own: bool,
    learned_ms: TimeMs,
}

// Where a part occurs among the suspects of crashes.
#[derive(Default, PartialEq)]
struct Occurrences {
    // Indices of crashes.
    crashes: BTreeSet<usize>,
    fingerprints: BTreeSet<u64>,
}

// Times of answers by part, in two generations: the older one is dropped as a whole.
#[plain]
#[derive(Default)]
struct AnsweredParts {
    recent: BTreeMap<u64, TimeMs>,
    older: BTreeMap<u64, TimeMs>,
    rotated_ms: TimeMs,
}

impl AnsweredParts {
    fn record(&mut self, part: u64, answered_ms: TimeMs, settings: &PartSettings, now: TimeMs) {
        let is_full = self.recent.len() >= settings.max_answered;
        if is_full || now.since(self.rotated_ms) >= settings.answer_ms {
            self.older = std::mem::take(&mut self.recent);
            self.rotated_ms = now;
        }
        let known_ms = self.recent.entry(part).or_default();
        *known_ms = (*known_ms).max(answered_ms);
    }

    fn last_ms(&self, part: u64) -> Option<TimeMs> {
        let generations = [&self.recent, &self.older];
        generations
            .into_iter()
            .filter_map(|answered| answered.get(&part).copied())
            .max()
    }
}

impl Suspect {
    fn has_all(&self, parts: &[u64]) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }
}

impl Crash {
    fn supports(&self, parts: &[u64]) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| suspect.has_all(parts))
    }

    fn clear(&mut self, part: u64) {
        for suspect in self.suspects.values_mut() {
            suspect.parts.remove(&part);
        }
    }
}

impl PartTable {
    /// Returns a table without evidence.
    pub fn new(settings: PartSettings) -> Self {
        Self {
            settings,
            crashes: Vec::new(),
            answered: AnsweredParts::default(),
            own_answers: Vec::new(),
            quarantined: Arc::default(),
        }
    }

    /// Records a crash that this instance has observed. Returns the report for the peers, or `None`
    /// if the crash says nothing new.
    pub fn record_crash(&mut self, crash: PartCrash, now: TimeMs) -> Option<PartCrash> {
        let (crash, _) = self.without_answered(crash, now);
        self.insert(&crash, true, now).then_some(crash)
    }

    /// Applies a peer's report of a crash. Returns the answers that clear some of its parts and that
    /// the peer does not know of.
    pub fn handle_crash(&mut self, crash: PartCrash, now: TimeMs) -> Vec<PartAnswer> {
        let (crash, cleared) = self.without_answered(crash, now);
        self.insert(&crash, false, now);
        cleared
    }

    /// Records that an upstream has answered a request with these parts. Returns the answers that
    /// have cleared any of them.
    pub fn record_answer(&mut self, parts: &[u64], now: TimeMs) -> Vec<PartAnswer> {
        let cleared: Vec<u64> = parts
            .iter()
            .copied()
            .filter(|part| self.apply_answer(*part, now, now))
            .collect();
        self.own_answers
            .extend(cleared.iter().map(|part| (*part, now)));
        let answers = cleared.into_iter();
        answers.map(|part| PartAnswer { part, ago_ms: 0 }).collect()
    }

    /// Applies a peer's report of an answer. Returns whether it has cleared the part.
    pub fn handle_answer(&mut self, answer: PartAnswer, now: TimeMs) -> bool {
        let answered_ms = TimeMs(now.0.saturating_sub(answer.ago_ms));
        self.apply_answer(answer.part, answered_ms, now)
    }

    /// Returns the quarantined parts that a request with these parts contains.
    pub fn find_quarantined(&self, parts: &[u64], now: TimeMs) -> Option<&QuarantinedParts> {
        let mut quarantined = self.quarantined.iter();
        quarantined
            .find(|set| set.until_ms > now && set.parts.iter().all(|part| parts.contains(part)))
    }

    /// Returns all quarantined parts.
    pub fn quarantined(&self) -> &Arc<[QuarantinedParts]> {
        &self.quarantined
    }

    /// Drops outdated evidence.
    pub fn expire(&mut self, now: TimeMs) {
        let settings = self.settings;
        self.own_answers
            .retain(|(_, answered_ms)| now.since(*answered_ms) < settings.broadcast_ms);
        let known = self.crashes.len();
        self.crashes
            .retain(|crash| now.since(crash.observed_ms) < settings.crash_ms);
        if self.crashes.len() < known {
            self.update_quarantined();
        }
    }

    /// Returns this instance's own recent observations, for the next heartbeat.
    pub fn recent_crashes(&self, now: TimeMs) -> Vec<PartCrash> {
        let broadcast_ms = self.settings.broadcast_ms;
        let is_recent = |suspect: &Suspect| {
            suspect.is_own
                && now.since(suspect.learned_ms) < broadcast_ms
                && !suspect.parts.is_empty()
        };
        let reports = self.crashes.iter().flat_map(|crash| {
            let recent = crash.suspects.iter();
            let recent = recent.filter(move |(_, suspect)| is_recent(suspect));
            recent
                .map(move |(fingerprint, suspect)| crash.report(*fingerprint, &suspect.parts, now))
        });
        reports.collect()
    }

    /// Returns this instance's own recent answers that have cleared parts, for the next heartbeat.
    pub fn recent_answers(&self, now: TimeMs) -> Vec<PartAnswer> {
        let answers = self.own_answers.iter();
        answers
            .map(|(part, answered_ms)| PartAnswer {
                part: *part,
                ago_ms: now.since(*answered_ms),
            })
            .collect()
    }

    /// Returns evidence that suffices to quarantine the same parts again, one report for each crash.
    pub fn evidence(&self, now: TimeMs) -> Vec<PartCrash> {
        let sets = self.quarantined.iter();
        sets.flat_map(|set| self.evidence_against(&set.parts, now))
            .collect()
    }

    /// Returns whether this instance itself has observed a crash of quarantined parts.
    pub fn has_own_evidence(&self) -> bool {
        let is_own = |crash: &Crash, parts: &[u64]| {
            let mut suspects = crash.suspects.values();
            suspects.any(|suspect| suspect.is_own && suspect.has_all(parts))
        };
        self.quarantined
            .iter()
            .any(|set| self.crashes.iter().any(|crash| is_own(crash, &set.parts)))
    }

    fn evidence_against(&self, parts: &[u64], now: TimeMs) -> Vec<PartCrash> {
        let mut used = BTreeSet::new();
        let mut reports = Vec::new();
        for crash in &self.crashes {
            let suspects = crash.suspects.iter();
            let suspects = suspects.filter(|(_, suspect)| suspect.has_all(parts));
            // Prefers requests that are not among the reports yet, as several are required.
            let fingerprint = suspects
                .map(|(fingerprint, _)| *fingerprint)
                .min_by_key(|fingerprint| used.contains(fingerprint));
            if let Some(fingerprint) = fingerprint {
                used.insert(fingerprint);
                reports.push(crash.report(fingerprint, parts, now));
            }
        }
        reports
    }

    // Removes the parts that were answered shortly before the crash or since. Also returns the
    // answers.
    fn without_answered(&self, mut crash: PartCrash, now: TimeMs) -> (PartCrash, Vec<PartAnswer>) {
        let observed_ms = TimeMs(now.0.saturating_sub(crash.ago_ms));
        let mut cleared = Vec::new();
        crash.parts.retain(|part| {
            let answered_ms = self.answered.last_ms(*part);
            let clearing = answered_ms
                .filter(|answered_ms| answered_ms.after(self.settings.answer_ms) > observed_ms);
            cleared.extend(clearing.map(|answered_ms| PartAnswer {
                part: *part,
                ago_ms: now.since(answered_ms),
            }));
            clearing.is_none()
        });
        // The last parts are those that the fewest requests share.
        let surplus = crash.parts.len().saturating_sub(self.settings.max_parts);
        crash.parts.drain(..surplus);
        (crash, cleared)
    }

    fn insert(&mut self, report: &PartCrash, is_own: bool, now: TimeMs) -> bool {
        self.expire(now);
        if report.parts.is_empty() || report.ago_ms >= self.settings.crash_ms {
            return false;
        }
        let observed_ms = TimeMs(now.0.saturating_sub(report.ago_ms));
        let mut known = self.crashes.iter();
        let known = known.position(|crash| crash.id == report.crash_id);
        let index = known.unwrap_or_else(|| self.add_crash(report.crash_id, observed_ms));
        let crash = &mut self.crashes[index];
        // A report that was held up on its way shows a later time.
        let is_corrected = observed_ms < crash.observed_ms;
        crash.observed_ms = crash.observed_ms.min(observed_ms);
        let is_new = !crash.suspects.contains_key(&report.fingerprint)
            && crash.suspects.len() < self.settings.max_suspects;
        if is_new {
            let suspect = Suspect {
                parts: report.parts.iter().copied().collect(),
                is_own,
                learned_ms: now,
            };
            crash.suspects.insert(report.fingerprint, suspect);
        }
        if is_new || is_corrected {
            self.update_quarantined();
        }
        is_new
    }

    // Returns the index of the new crash. Beyond the limit, drops the oldest crash, but none that
    // keeps parts in quarantine as long as there is another one.
    fn add_crash(&mut self, id: u64, observed_ms: TimeMs) -> usize {
        if self.crashes.len() >= self.settings.max_crashes {
            let quarantined = &self.quarantined;
            let is_needed =
                |crash: &Crash| quarantined.iter().any(|set| crash.supports(&set.parts));
            let crashes = self.crashes.iter().enumerate();
            let dropped = crashes.min_by_key(|(_, crash)| (is_needed(crash), crash.observed_ms));
            if let Some((index, _)) = dropped {
                self.crashes.swap_remove(index);
            }
        }
        self.crashes.push(Crash {
            id,
            observed_ms,
            suspects: BTreeMap::new(),
        });
        self.crashes.len() - 1
    }

    // Returns whether the answer has removed the part from any suspect.
    fn apply_answer(&mut self, part: u64, answered_ms: TimeMs, now: TimeMs) -> bool {
        let settings = self.settings;
        self.answered.record(part, answered_ms, &settings, now);
        let cleared_until_ms = answered_ms.after(settings.answer_ms);
        let mut has_cleared = false;
        for crash in &mut self.crashes {
            let occurs = crash.supports(&[part]);
            if occurs && crash.observed_ms < cleared_until_ms {
                crash.clear(part);
                has_cleared = true;
            }
        }
        if has_cleared {
            self.update_quarantined();
        }
        has_cleared
    }

    // Determines the quarantined parts anew from all evidence. The parts that explain the most
    // crashes come first, and crashes that they explain are not counted against others.
    fn update_quarantined(&mut self) {
        let mut unexplained: Vec<usize> = (0..self.crashes.len()).collect();
        let mut quarantined = Vec::new();
        while let Some(set) = self.find_cause(&unexplained) {
            unexplained.retain(|index| !self.crashes[*index].supports(&set.parts));
            quarantined.push(set);
        }
        self.quarantined = quarantined.into();
    }

    fn find_cause(&self, unexplained: &[usize]) -> Option<QuarantinedParts> {
        let mut by_part: BTreeMap<u64, Occurrences> = BTreeMap::new();
        for index in unexplained {
            for (fingerprint, suspect) in &self.crashes[*index].suspects {
                for part in &suspect.parts {
                    let occurrences = by_part.entry(*part).or_default();
                    occurrences.crashes.insert(*index);
                    occurrences.fingerprints.insert(*fingerprint);
                }
            }
        }
        let candidates = by_part.iter().filter_map(|(part, occurrences)| {
            let crashes = self.count_failures(&occurrences.crashes);
            let requests = occurrences.fingerprints.len();
            let suffices =
                crashes >= self.settings.min_crashes && requests >= self.settings.min_requests;
            suffices.then_some((part, occurrences, crashes))
        });
        // Of the parts that explain the most crashes, the one with the fewest suspects is the most
        // specific: others were also in sound requests that the crashes have cut.
        let (part, occurrences, crashes) =
            candidates.max_by_key(|(part, occurrences, crashes)| {
                let suspects = std::cmp::Reverse(occurrences.fingerprints.len());
                (*crashes, suspects, **part)
            })?;
        Some(QuarantinedParts {
            parts: self.common_parts(*part, &occurrences.crashes),
            crashes,
            until_ms: self.quarantined_until(&occurrences.crashes),
        })
    }

    // Returns the parts that all suspects with `part` have in common.
    fn common_parts(&self, part: u64, crashes: &BTreeSet<usize>) -> Vec<u64> {
        let suspects = crashes
            .iter()
            .flat_map(|index| self.crashes[*index].suspects.values())
            .filter(|suspect| suspect.parts.contains(&part));
        let common = suspects
            .map(|suspect| suspect.parts.clone())
            .reduce(|common, parts| &common & &parts);
        common.unwrap_or_default().into_iter().collect()
    }

    // Returns the number of crashes, of which those close to each other count as one.
    fn count_failures(&self, crashes: &BTreeSet<usize>) -> usize {
        let mut count = 0;
        let mut next_ms = TimeMs(0);
        for observed_ms in self.observed_times(crashes) {
            if observed_ms >= next_ms {
                count += 1;
                next_ms = observed_ms.after(self.settings.common_cause_ms);
            }
        }
        count
    }

    fn quarantined_until(&self, crashes: &BTreeSet<usize>) -> TimeMs {
        let observed_ms = self.observed_times(crashes);
        let last_needed = observed_ms.iter().nth_back(self.settings.min_crashes - 1);
        last_needed
            .copied()
            .unwrap_or_default()
            .after(self.settings.crash_ms)
    }

    // Returns when the crashes were observed, the earliest first.
    fn observed_times(&self, crashes: &BTreeSet<usize>) -> Vec<TimeMs> {
        let observed_ms = crashes.iter().map(|index| self.crashes[*index].observed_ms);
        let mut observed_ms: Vec<TimeMs> = observed_ms.collect();
        observed_ms.sort_unstable();
        observed_ms
    }
}

impl Crash {
    fn report<'a, P>(&self, fingerprint: u64, parts: P, now: TimeMs) -> PartCrash
    where
        P: IntoIterator<Item = &'a u64>,
    {
        PartCrash {
            crash_id: self.id,
            fingerprint,
            parts: parts.into_iter().copied().collect(),
            ago_ms: now.since(self.observed_ms),
        }
    }
}
