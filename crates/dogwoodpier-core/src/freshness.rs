//! Freshness: whether a node may rely on the keys that it knows.
//!
//! A node learns that the platform had some version at some time, from the platform or from a peer.
//! Keys may be relied on while that news is recent. Without recent news the node tells two cases
//! apart: the platform is out for everybody, then most peers attest that they ask it in vain and have
//! relied on their keys ever since; or the node is cut off, then most peers don't answer. A node that
//! was away for a while can't attest, since it may have missed a version that nobody else has now.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::units::TimeMs;
use crate::versions::Versions;

/// Least share of the peers tried lately that must attest an outage.
pub const OUTAGE_SHARE: f64 = 0.5;
/// Age of a contact that never was.
pub const NEVER_CONTACTED_AGE_MS: u64 = u64::MAX;
/// Reviews per freshness period.
pub const REVIEWS_PER_PERIOD: u64 = 12;

// Reviews in a row that must find a question to the platform unanswered.
const FAILING_REVIEWS: u32 = 4;
// Reviews for which the result of one counts.
const VALID_REVIEWS: u64 = 4;

/// Says that the platform had a version of the configuration at a time.
#[plain]
#[derive(Copy)]
pub struct VersionReport {
    /// The version.
    pub version: u64,
    /// A time at or before the moment at which the platform answered: when the question was sent.
    pub contact_ms: TimeMs,
}

/// Whether keys may be relied on.
#[plain]
#[derive(Copy, Eq)]
pub enum KeyValidity {
    /// The news is recent.
    Fresh,
    /// The platform is out for everybody: keys are relied on as they were.
    Outage,
    /// The node may be cut off, or a newer version exists that it could not get.
    Stale,
}

/// What a node knows of the platform, and since when.
#[plain]
pub struct Freshness {
    limit_ms: u64,
    witness_ms: u64,
    contact_ms: Option<TimeMs>,
    // News of a version that is not in force yet.
    pending: Option<VersionReport>,
    // Whether a question to the platform has no answer yet, and the reviews that found it so.
    is_asking: bool,
    unanswered_reviews: u32,
    // When the peers that attest an outage were asked.
    witnesses: BTreeMap<Arc<str>, TimeMs>,
    outage_deadline_ms: Option<TimeMs>,
}

impl Freshness {
    /// Returns the state of a node without news. News counts for `limit_ms`, what a peer says about
    /// the platform for `witness_ms`.
    pub fn new(limit_ms: u64, witness_ms: u64) -> Self {
        Self {
            limit_ms,
            witness_ms,
            contact_ms: None,
            pending: None,
            is_asking: false,
            unanswered_reviews: 0,
            witnesses: BTreeMap::new(),
            outage_deadline_ms: None,
        }
    }

    /// Notes that a question to the platform was sent.
    pub fn record_request(&mut self) {
        self.is_asking = true;
    }

    /// Notes that the platform answered a question.
    pub fn record_response(&mut self) {
        self.is_asking = false;
        self.unanswered_reviews = 0;
    }

    /// Returns whether this node attests an outage to its peers: it asks the platform in vain, relies
    /// on its keys nevertheless, and can pass on all that it knows of.
    pub fn reports_outage(&self, versions: &Versions, now: TimeMs) -> bool {
        self.unanswered_reviews >= FAILING_REVIEWS
            && self.key_validity(versions, now) != KeyValidity::Stale
            && versions.in_force() == versions.highest_seen()
    }

    /// Takes in news. It counts once the version that it names is in force; news of a version below
    /// that is an old read and says nothing.
    pub fn handle_version_report(&mut self, news: VersionReport, versions: &mut Versions) {
        versions.observe(news.version);
        if news.version == versions.keys() {
            self.contact_ms = self.contact_ms.max(Some(news.contact_ms));
        } else if news.version > versions.keys()
            && self
                .pending
                .is_none_or(|old| (old.version, old.contact_ms) < (news.version, news.contact_ms))
        {
            self.pending = Some(news);
        }
    }

    /// Lets pending news count if its version is now in force.
    pub fn apply_pending(&mut self, versions: &mut Versions) {
        if let Some(news) = self.pending.take_if(|news| news.version <= versions.keys()) {
            self.handle_version_report(news, versions);
        }
    }

    /// Takes in whether a peer attested an outage when it was asked at `asked_ms`.
    pub fn handle_outage_report(&mut self, instance: &str, attests_outage: bool, asked_ms: TimeMs) {
        if attests_outage {
            let latest_ms = self.witnesses.entry(instance.into()).or_insert(asked_ms);
            *latest_ms = asked_ms.max(*latest_ms);
        } else {
            self.witnesses.remove(instance);
        }
    }

    /// Reviews the state, [`REVIEWS_PER_PERIOD`] times in each `limit_ms`. `tried_peers` are those
    /// called lately, answered or not. Reviews are counted rather than timed, so that a pause of the
    /// process doesn't pass for a silence of the platform.
    pub fn review(&mut self, tried_peers: usize, now: TimeMs) {
        if self.is_asking {
            self.unanswered_reviews = self.unanswered_reviews.saturating_add(1);
        }
        let witness_ms = self.witness_ms;
        self.witnesses
            .retain(|_, asked_ms| now.since(*asked_ms) <= witness_ms);
        let valid_ms = VALID_REVIEWS * self.limit_ms / REVIEWS_PER_PERIOD;
        let share = self.witnesses.len() as f64 / tried_peers as f64;
        let is_outage = tried_peers > 0 && share >= OUTAGE_SHARE;
        self.outage_deadline_ms = is_outage.then(|| now.after(valid_ms));
    }

    /// Returns the age of the news, [`NEVER_CONTACTED_AGE_MS`] if there is none.
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
