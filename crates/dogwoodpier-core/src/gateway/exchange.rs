//! What instances tell each other about their use of shared upstreams and quotas.
//!
//! Load pattern: many instances place requests on the same few engines, each with load reports that
//! are hundreds of milliseconds old. Every instance tells its peers how many requests it has at
//! each upstream, so that all of them count the same free slots. Counts replace each other and
//! totals only grow, so lost or repeated messages do no harm. An instance that begins to place for
//! the others finds in their reports what they were given before, and adds what it gives.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::quota::Hearing;

/// Use of one upstream by one instance.
#[wire]
#[derive(Copy, Default, Eq)]
pub struct Use {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens sent for prefill and not ended.
    pub prefill_tokens: u64,
    /// Tokens of KV cache that its requests take or will take.
    pub kv_tokens: u64,
}

impl Use {
    /// Adds another use.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prefill_tokens += other.prefill_tokens;
        self.kv_tokens += other.kv_tokens;
    }

    /// Takes another use away, as far as it is there.
    pub fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// A place at an upstream that this instance gave to a peer.
#[plain]
pub struct Grant {
    /// The peer's question.
    pub ticket: u64,
    /// The upstream.
    pub upstream: Arc<str>,
    /// What the peer's request takes there.
    pub used: Use,
    /// Time of the grant.
    pub granted_ms: TimeMs,
}

// Time after which a peer's reports show the use of a place that it was granted: a report's
// interval and some delay on the way.
const GRANT_SETTLED_MS: u64 = 500;

/// What an instance tells its peers.
#[wire]
pub struct Report {
    /// Name of the sender.
    pub instance: Arc<str>,
    /// Drawn at the start of the sender's process; its totals belong to it.
    pub incarnation: u64,
    /// Grows with each report of an incarnation.
    pub sequence: u64,
    /// Whether the sender is shutting down and admits nothing more.
    pub leaving: bool,
    /// Use of upstreams by id; those not named are unused.
    pub uses: BTreeMap<Arc<str>, Use>,
    /// Questions by which the sender was granted what it uses, by upstream. A receiver that granted
    /// them tells by these which grants are in `uses` already.
    pub tickets: BTreeMap<Arc<str>, Vec<u64>>,
    /// Units admitted since the start, by workspace.
    pub admitted: BTreeMap<Arc<str>, u64>,
    /// Upstreams that the sender can't reach, and for how many milliseconds it avoids them.
    pub down_for_ms: BTreeMap<Arc<str>, u64>,
    /// Upstreams that take no more work, with the start of their incarnation: the receiver may be cut
    /// off from the store.
    pub leaving_upstreams: BTreeMap<Arc<str>, Option<u64>>,
    /// Revision of the store up to which the sender has seen a change, by kind of object.
    pub seen_revisions: BTreeMap<Arc<str>, u64>,
}

/// Units that a peer admitted since its report before.
#[plain]
pub struct Charge {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Units to charge.
    pub units: u64,
}

impl Default for ExchangeOptions {
    fn default() -> Self {
        Self {
            // Three heartbeats of a peer, so that one lost message does no harm.
            silence_ms: 1_000,
            // Longer than a freeze or a partition that an instance usually survives.
            death_ms: 15_000,
        }
    }
}

#[derive(Debug)]
struct Peer {
    report: Option<Report>,
    heard_ms: Option<TimeMs>,
    known_since_ms: TimeMs,
    grants: Vec<HeldGrant>,
}

#[derive(Debug)]
struct HeldGrant {
    grant: Grant,
    // The peer's report counts it.
    is_reported: bool,
}

impl Peer {
    fn new(now: TimeMs) -> Self {
        Self {
            report: None,
            heard_ms: None,
            known_since_ms: now,
            grants: Vec::new(),
        }
    }

    fn use_of(&self, upstream: &str) -> Use {
        let reported = self
            .report
            .as_ref()
            .and_then(|report| report.uses.get(upstream));
        let mut total = reported.copied().unwrap_or_default();
        for held in &self.grants {
            if *held.grant.upstream == *upstream && !held.is_reported {
                total.add(held.grant.used);
            }
        }
        total
    }

    // Tells the grants that the last report counts from those that it doesn't yet, and drops those
    // that the peer has ended.
    fn settle(&mut self, now: TimeMs) {
        let Some(report) = &self.report else {
            return;
        };
        self.grants.retain_mut(|held| {
            let HeldGrant { grant, is_reported } = held;
            let tickets = report.tickets.get(&grant.upstream);
            let is_shown = tickets.is_some_and(|tickets| tickets.contains(&grant.ticket));
            let has_ended = *is_reported && !is_shown;
            *is_reported = is_shown;
            is_shown || (!has_ended && now.since(grant.granted_ms) <= GRANT_SETTLED_MS)
        });
    }
}

/// Bounds on the trust in reports.
#[plain]
#[derive(Copy, Eq)]
pub struct ExchangeOptions {
    /// Silence after which a peer's report no longer counts.
    pub silence_ms: u64,
    /// Silence after which a peer is presumed dead and no longer counts as a member.
    pub death_ms: u64,
}

/// The peers of an instance and their last reports.
#[derive(Debug)]
pub struct Exchange {
    options: ExchangeOptions,
    peers: BTreeMap<Arc<str>, Peer>,
}

impl Exchange {
    /// Returns an exchange without peers.
    pub fn new(options: ExchangeOptions) -> Self {
        Self {
            options,
            peers: BTreeMap::new(),
        }
    }

    /// Notes that an instance is registered.
    pub fn register(&mut self, instance: &Arc<str>, now: TimeMs) {
        self.peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now));
    }

    /// Forgets an instance whose registration is gone.
    pub fn forget(&mut self, instance: &str) {
        self.peers.remove(instance);
    }

    /// Takes a report in. Returns what the peer admitted since the last one.
    ///
    /// The totals of an incarnation that is met for the first time are not charged: they may be
    /// older than any window.
    pub fn receive(&mut self, report: Report, now: TimeMs) -> Vec<Charge> {
        let peer = self
            .peers
            .entry(report.instance.clone())
            .or_insert_with(|| Peer::new(now));
        let mut charges = Vec::new();
        if let Some(last) = &peer.report
            && last.incarnation == report.incarnation
        {
            if report.sequence <= last.sequence {
                return charges;
            }
            for (workspace, total) in &report.admitted {
                let before = last.admitted.get(workspace).copied().unwrap_or(0);
                if *total > before {
                    charges.push(Charge {
                        workspace: workspace.clone(),
                        units: total - before,
                    });
                }
            }
        }
        peer.report = Some(report);
        peer.heard_ms = Some(now);
        peer.settle(now);
        charges
    }

    /// Notes a place that this instance gave to a peer.
    pub fn grant(&mut self, instance: &Arc<str>, grant: Grant) {
        let now = grant.granted_ms;
        self.peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now))
            .grants
            .push(HeldGrant {
                grant,
                is_reported: false,
            });
    }

    /// Ends the use of a place by a peer, without waiting for its next report.
    pub fn release(&mut self, instance: &str, ticket: u64, upstream: &str) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let place = peer
            .grants
            .iter()
            .position(|held| held.grant.ticket == ticket && *held.grant.upstream == *upstream);
        let Some(place) = place else {
            return;
        };
        let HeldGrant { grant, is_reported } = peer.grants.remove(place);
        if is_reported
            && let Some(report) = &mut peer.report
            && let Some(used) = report.uses.get_mut(upstream)
        {
            used.subtract(grant.used);
        }
    }

    /// Returns the use of an upstream by all peers that were heard lately.
    pub fn use_of(&self, upstream: &str, now: TimeMs) -> Use {
        let mut total = Use::default();
        for peer in self.peers.values() {
            if !self.is_heard(peer, now) {
                continue;
            }
            total.add(peer.use_of(upstream));
        }
        total
    }

    /// Returns how many instances there are and how many of them are heard, this one included.
    pub fn hearing(&self, now: TimeMs) -> Hearing {
        let mut hearing = Hearing::ALONE;
        for peer in self.peers.values() {
            let leaving = peer.report.as_ref().is_some_and(|report| report.leaving);
            let last_ms = peer.heard_ms.unwrap_or(peer.known_since_ms);
            if leaving || now.since(last_ms) > self.options.death_ms {
                continue;
            }
            hearing.members += 1;
            hearing.heard += u32::from(self.is_heard(peer, now));
        }
        hearing
    }

    /// Returns the peers that were heard lately and aren't leaving.
    pub fn heard_instances(&self, now: TimeMs) -> Vec<Arc<str>> {
        self.peers
            .iter()
            .filter(|(_, peer)| {
                let leaving = peer.report.as_ref().is_some_and(|report| report.leaving);
                self.is_heard(peer, now) && !leaving
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the peers that have been silent for longer than `silence_ms`.
    pub fn silent(&self, silence_ms: u64, now: TimeMs) -> Vec<Arc<str>> {
        self.peers
            .iter()
            .filter(|(_, peer)| {
                now.since(peer.heard_ms.unwrap_or(peer.known_since_ms)) > silence_ms
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn is_heard(&self, peer: &Peer, now: TimeMs) -> bool {
        peer.heard_ms
            .is_some_and(|heard_ms| now.since(heard_ms) <= self.options.silence_ms)
    }
}
