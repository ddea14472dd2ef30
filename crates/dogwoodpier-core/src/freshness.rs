//! Freshness: whether a node may rely on the keys that it has.
//!
//! A node learns from the platform or from a peer that the platform had some version at some time.
//! Keys are valid while such a report is recent. Without a recent report, the node distinguishes
//! two cases. If the platform is out for all nodes, at least half of the peers attest that their
//! requests to it are not answered and that they have relied on their keys ever since. If the node
//! is cut off, most peers don't answer. A node that was away for a while can't attest an outage,
//! because it may have missed a version that no other reachable node has.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::units::TimeMs;
use crate::versions::Versions;

/// Minimum share of the recently called peers that must attest an outage.
pub const OUTAGE_SHARE: f64 = 0.5;
/// Age of the last contact if there was none.
pub const NEVER_CONTACTED_AGE_MS: u64 = u64::MAX;
/// Number of reviews per freshness period.
pub const REVIEWS_PER_PERIOD: u64 = 12;

// Number of consecutive reviews that must find a request to the platform unanswered.
const MIN_UNANSWERED_REVIEWS: u32 = 4;
// Number of review intervals for which a detected outage stays valid.
const OUTAGE_VALID_REVIEWS: u64 = 4;

/// A report that the platform had a version of the configuration at some time.
#[plain]
#[derive(Copy)]
pub struct VersionReport {
    /// The version.
    pub version: u64,
    /// Time at which the request to the platform was sent, which is not later than its answer.
    pub contact_ms: TimeMs,
}

/// Whether keys may be relied on.
#[plain]
#[derive(Copy, Eq)]
pub enum KeyValidity {
    /// The last report is recent.
    Fresh,
    /// The platform is out for all nodes, and the last known keys stay valid.
    Outage,
    /// The node may be cut off, or a newer version exists that it could not fetch.
    Stale,
}

/// What a node knows about the state of the platform, with the times of its reports.
#[plain]
pub struct Freshness {
    limit_ms: u64,
    outage_report_ms: u64,
    contact_ms: Option<TimeMs>,
    // Report of a version whose keys are not in force yet.
    pending_report: Option<VersionReport>,
    // Whether a request to the platform is unanswered, and the number of consecutive reviews that
    // found it so.
    is_awaiting_answer: bool,
    unanswered_reviews: u32,
    // Send time of the request to which each peer attested an outage.
    outage_reports: BTreeMap<Arc<str>, TimeMs>,
    outage_deadline_ms: Option<TimeMs>,
}

impl Freshness {
    /// Returns the state of a node without reports. A version report is recent for `limit_ms`, and
    /// an outage report of a peer is valid for `outage_report_ms`.
    pub fn new(limit_ms: u64, outage_report_ms: u64) -> Self {
        Self {
            limit_ms,
            outage_report_ms,
            contact_ms: None,
            pending_report: None,
            is_awaiting_answer: false,
            unanswered_reviews: 0,
            outage_reports: BTreeMap::new(),
            outage_deadline_ms: None,
        }
    }

    /// Records that a request was sent to the platform.
    pub fn record_request(&mut self) {
        self.is_awaiting_answer = true;
    }

    /// Records that the platform answered a request.
    pub fn record_response(&mut self) {
        self.is_awaiting_answer = false;
        self.unanswered_reviews = 0;
    }

    /// Returns whether this node attests an outage to its peers: its requests to the platform are
    /// not answered, its keys are still valid, and the version in force is the highest it knows of,
    /// so that peers can fetch it.
    pub fn reports_outage(&self, versions: &Versions, now: TimeMs) -> bool {
        self.unanswered_reviews >= MIN_UNANSWERED_REVIEWS
            && self.key_validity(versions, now) != KeyValidity::Stale
            && versions.in_force() == versions.highest_seen()
    }

    /// Handles a version report. The report takes effect once the keys of its version are in force.
    /// A report of an older version is an outdated read and is ignored.
    pub fn handle_version_report(&mut self, report: VersionReport, versions: &mut Versions) {
        versions.observe(report.version);
        if report.version == versions.keys() {
            self.contact_ms = self.contact_ms.max(Some(report.contact_ms));
        } else if report.version > versions.keys()
            && self.pending_report.is_none_or(|old| {
                (old.version, old.contact_ms) < (report.version, report.contact_ms)
            })
        {
            self.pending_report = Some(report);
        }
    }

    /// Applies the pending report if the keys of its version are now in force.
    pub fn apply_pending(&mut self, versions: &mut Versions) {
        if let Some(report) = self
            .pending_report
            .take_if(|report| report.version <= versions.keys())
        {
            self.handle_version_report(report, versions);
        }
    }

    /// Records whether a peer attested an outage in its answer to a request sent at `requested_ms`.
    pub fn handle_outage_report(
        &mut self,
        instance: &str,
        attests_outage: bool,
        requested_ms: TimeMs,
    ) {
        if attests_outage {
            let last_requested_ms = self
                .outage_reports
                .entry(instance.into())
                .or_insert(requested_ms);
            *last_requested_ms = requested_ms.max(*last_requested_ms);
        } else {
            self.outage_reports.remove(instance);
        }
    }

    /// Reviews the state. Must be called [`REVIEWS_PER_PERIOD`] times in each `limit_ms`.
    /// `tried_peers` is the number of recently called peers, whether or not they answered. The time
    /// without an answer is counted in reviews, so that a pause of the process is not mistaken for
    /// an outage of the platform.
    pub fn review(&mut self, tried_peers: usize, now: TimeMs) {
        if self.is_awaiting_answer {
            self.unanswered_reviews = self.unanswered_reviews.saturating_add(1);
        }
        let outage_report_ms = self.outage_report_ms;
        self.outage_reports
            .retain(|_, requested_ms| now.since(*requested_ms) <= outage_report_ms);
        let valid_ms = OUTAGE_VALID_REVIEWS * self.limit_ms / REVIEWS_PER_PERIOD;
        let share = self.outage_reports.len() as f64 / tried_peers as f64;
        let is_outage = tried_peers > 0 && share >= OUTAGE_SHARE;
        self.outage_deadline_ms = is_outage.then(|| now.after(valid_ms));
    }

    /// Returns the age of the last report in force, or [`NEVER_CONTACTED_AGE_MS`] if there is none.
    pub fn contact_age_ms(&self, now: TimeMs) -> u64 {
        self.contact_ms
            .map_or(NEVER_CONTACTED_AGE_MS, |contact_ms| now.since(contact_ms))
    }

    /// Returns whether keys may be relied on.
    pub fn key_validity(&self, versions: &Versions, now: TimeMs) -> KeyValidity {
        if versions.in_force() == 0 {
            return KeyValidity::Stale;
        }
        if self.contact_age_ms(now) <= self.limit_ms {
            return KeyValidity::Fresh;
        }
        let is_outage = self
            .outage_deadline_ms
            .is_some_and(|deadline_ms| now < deadline_ms);
        if is_outage && !versions.is_behind() {
            KeyValidity::Outage
        } else {
            KeyValidity::Stale
        }
    }
}
