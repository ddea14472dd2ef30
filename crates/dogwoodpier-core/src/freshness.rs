//! Freshness: whether a node may rely on the keys that it knows.
//!
//! A node learns that the platform had some version at some time, from the platform or from a peer.
//! Keys may be relied on while that news is recent. Without recent news the node tells two cases
//! apart: the platform is out for everybody, then peers answer and have no news either; or the node
//! is cut off, then most peers don't answer.

use dogwoodpier_derive::plain;

use crate::units::TimeMs;
use crate::versions::Versions;

/// Least share of the peers tried lately that must answer for the lack of news to count as an outage
/// of the platform.
pub const OUTAGE_REACH: f64 = 0.5;
/// Age of a contact that never was.
pub const NO_CONTACT_AGE_MS: u64 = u64::MAX;

/// Says that the platform had a version of the configuration at a time.
#[plain]
#[derive(Copy)]
pub struct News {
    /// The version.
    pub version: u64,
    /// A time at or before the moment at which the platform answered: when the question was sent.
    pub contact_ms: TimeMs,
}

/// Whether keys may be relied on.
#[plain]
#[derive(Copy, Eq)]
pub enum Trust {
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
    reach_valid_ms: u64,
    contact_ms: Option<TimeMs>,
    // News of a version that is not in force yet.
    pending: Option<News>,
    outage_deadline_ms: Option<TimeMs>,
}

impl Freshness {
    /// Returns the state of a node without news. News counts for `limit_ms`, a look at the reach of
    /// the peers for `reach_valid_ms`.
    pub fn new(limit_ms: u64, reach_valid_ms: u64) -> Self {
        Self {
            limit_ms,
            reach_valid_ms,
            contact_ms: None,
            pending: None,
            outage_deadline_ms: None,
        }
    }

    /// Takes in news. It counts once the version that it names is in force; news of a version below
    /// that is an old read and says nothing.
    pub fn take_news(&mut self, news: News, versions: &mut Versions) {
        versions.see(news.version);
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
    pub fn settle(&mut self, versions: &mut Versions) {
        if let Some(news) = self.pending.take_if(|news| news.version <= versions.keys()) {
            self.take_news(news, versions);
        }
    }

    /// Takes in the share of the peers tried lately that answered, `None` without peers.
    pub fn take_reach(&mut self, reach: Option<f64>, now: TimeMs) {
        self.outage_deadline_ms = reach
            .is_some_and(|reach| reach >= OUTAGE_REACH)
            .then(|| now.after(self.reach_valid_ms));
    }

    /// Returns the age of the news, [`NO_CONTACT_AGE_MS`] if there is none.
    pub fn contact_age_ms(&self, now: TimeMs) -> u64 {
        self.contact_ms
            .map_or(NO_CONTACT_AGE_MS, |contact_ms| now.since(contact_ms))
    }

    /// Returns whether keys may be relied on.
    pub fn trust(&self, versions: &Versions, now: TimeMs) -> Trust {
        if versions.in_force() == 0 {
            return Trust::Stale;
        }
        if self.contact_age_ms(now) <= self.limit_ms {
            return Trust::Fresh;
        }
        let reaches_peers = self
            .outage_deadline_ms
            .is_some_and(|deadline_ms| now < deadline_ms);
        if reaches_peers && !versions.is_behind() {
            Trust::Outage
        } else {
            Trust::Stale
        }
    }
}
