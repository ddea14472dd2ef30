//! What instances tell each other about their use of shared upstreams and quotas.
//!
//! Load pattern: many instances place requests on the same few engines, each with load reports that
//! are hundreds of milliseconds old. Every instance tells its peers how many requests it has at
//! each upstream, so that all of them count the same free slots. Counts replace each other, so
//! lost or repeated messages do no harm. An instance that begins to place for
//! the others finds in their reports what they were given before, and adds what it gives.
//!
//! In a fleet of hundreds, reports of all to all would take a small instance's whole processor and
//! link. So the time between two reports grows with the fleet and the number that arrives a second
//! stays the same; what every instance knows, such as the store's latest revision, still reaches a
//! peer soon, from whoever reports next. The sums of all uses are kept as reports come in: a broker
//! looks at each engine for each request.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;
use crate::quarantine::SuspectUpdate;

use super::evacuations::Evacuations;
use super::quota::Membership;

/// Use of one upstream by one instance.
#[wire]
#[derive(Copy, Default, Eq)]
pub struct UpstreamLoad {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens sent for prefill and not ended.
    pub prefill_tokens: u64,
    /// Tokens of KV cache that its requests take or will take.
    pub kv_tokens: u64,
}

impl UpstreamLoad {
    /// Adds another use.
    pub fn add(&mut self, other: Self) {
        // Peers may report anything.
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
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
    pub load: UpstreamLoad,
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
    /// What the sender can carry against others.
    pub capacity: f64,
    /// Whether the sender is shutting down and admits nothing more.
    pub leaving: bool,
    /// Use of upstreams by id; those not named are unused.
    pub uses: BTreeMap<Arc<str>, UpstreamLoad>,
    /// Time for which the receiver counts these uses, unless it hears of others before.
    pub uses_valid_ms: u64,
    /// Questions by which the sender was granted what it uses, by upstream. A receiver that granted
    /// them tells by these which grants are in `uses` already.
    pub tickets: BTreeMap<Arc<str>, Vec<u64>>,
    /// Upstreams that the sender can't reach, and for how many milliseconds it avoids them.
    pub down_for_ms: BTreeMap<Arc<str>, u64>,
    /// Upstreams that take no more work, with the start of their incarnation: the receiver may be cut
    /// off from the store.
    pub leaving_upstreams: BTreeMap<Arc<str>, Option<u64>>,
    /// Revision of the store up to which the sender has seen a change, by kind of object.
    pub seen_revisions: BTreeMap<Arc<str>, u64>,
    /// Requests that crash upstreams.
    pub suspects: Vec<SuspectUpdate>,
    /// Data centres whose upstreams get nothing new.
    pub evacuations: Evacuations,
}

/// Pace of the reports to all peers, and bounds on the trust in them.
#[plain]
#[derive(Copy, Eq)]
pub struct PeerReportOptions {
    /// Shortest time between two reports of an instance to all peers.
    pub heartbeat_ms: u64,
    /// Reports of peers that an instance takes in a second; those of larger fleets come less often.
    pub reports_per_s: u64,
    /// Shortest silence after which a peer is presumed dead and no longer counts as a member.
    pub death_ms: u64,
}

impl Default for PeerReportOptions {
    fn default() -> Self {
        Self {
            // A third of the silence after which a peer of a small fleet isn't relied on.
            heartbeat_ms: 300,
            // A hundredth of a core and a tenth of a megabit a second on the smallest instances.
            reports_per_s: 100,
            // Longer than a freeze or a partition that an instance usually survives.
            death_ms: 15_000,
        }
    }
}

const NEVER_MS: TimeMs = TimeMs(u64::MAX);

// Silence after which a peer isn't relied on, in heartbeats: three may be lost or late.
const SILENT_HEARTBEATS: f64 = 10.0 / 3.0;
// The same for a peer's death.
const DEAD_HEARTBEATS: u64 = 5;

#[derive(Debug)]
struct Peer {
    report: Option<Report>,
    heard_ms: Option<TimeMs>,
    known_since_ms: TimeMs,
    // Time until which the uses of its report count.
    uses_deadline_ms: TimeMs,
    // Part of what it can carry against other instances.
    capacity: f64,
    grants: Vec<HeldGrant>,
    // Its part of the sums.
    counted: BTreeMap<Arc<str>, UpstreamLoad>,
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
            uses_deadline_ms: TimeMs::default(),
            capacity: 1.0,
            grants: Vec::new(),
            counted: BTreeMap::new(),
        }
    }

    // Returns what it uses by its report and the grants that the report doesn't show yet.
    fn uses(&self) -> BTreeMap<Arc<str>, UpstreamLoad> {
        let reported = self.report.as_ref().map(|report| report.uses.clone());
        let mut uses = reported.unwrap_or_default();
        for held in self.grants.iter().filter(|held| !held.is_reported) {
            uses.entry(held.grant.upstream.clone())
                .or_default()
                .add(held.grant.load);
        }
        uses
    }

    fn last_ms(&self) -> TimeMs {
        self.heard_ms.unwrap_or(self.known_since_ms)
    }

    fn is_leaving(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.leaving)
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

/// The peers of an instance and their last reports.
#[derive(Debug)]
pub struct PeerReports {
    options: PeerReportOptions,
    peers: BTreeMap<Arc<str>, Peer>,
    // Sums of what the peers use, by upstream.
    sums: BTreeMap<Arc<str>, UpstreamLoad>,
    // Time before which no peer's part of the sums runs out.
    expiry_ms: TimeMs,
}

impl PeerReports {
    /// Returns an exchange without peers.
    pub fn new(options: PeerReportOptions) -> Self {
        Self {
            options,
            peers: BTreeMap::new(),
            sums: BTreeMap::new(),
            expiry_ms: NEVER_MS,
        }
    }

    /// Notes that an instance is registered, and what it can carry against others.
    pub fn register(&mut self, instance: &Arc<str>, capacity: f64, now: TimeMs) {
        let peer = self
            .peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now));
        peer.capacity = capacity;
    }

    /// Forgets an instance whose registration is gone.
    pub fn forget(&mut self, instance: &str) {
        if let Some(peer) = self.peers.remove(instance) {
            subtract_all(&mut self.sums, &peer.counted);
        }
    }

    /// Returns the time between two reports of an instance to all peers.
    pub fn heartbeat_ms(&self) -> u64 {
        let members = self.peers.len() as u64 + 1;
        let paced_ms = members * 1_000 / self.options.reports_per_s.max(1);
        paced_ms.max(self.options.heartbeat_ms)
    }

    /// Returns the silence after which a peer isn't relied on.
    pub fn liveness_timeout_ms(&self) -> u64 {
        (self.heartbeat_ms() as f64 * SILENT_HEARTBEATS) as u64
    }

    /// Takes a report in. Of one incarnation, later reports replace earlier ones.
    pub fn handle_report(&mut self, report: Report, now: TimeMs) {
        if self.expiry_ms < now {
            self.expire(now);
        }
        let instance = report.instance.clone();
        let peer = self
            .peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now));
        if let Some(last) = &peer.report
            && last.incarnation == report.incarnation
            && report.sequence <= last.sequence
        {
            return;
        }
        peer.uses_deadline_ms = now.after(report.uses_valid_ms);
        // Peers may report anything.
        if report.capacity.is_finite() && report.capacity > 0.0 {
            peer.capacity = report.capacity;
        }
        peer.report = Some(report);
        peer.heard_ms = Some(now);
        peer.settle(now);
        self.recount(&instance, now);
    }

    /// Notes a place that this instance gave to a peer.
    pub fn grant(&mut self, instance: &Arc<str>, grant: Grant) {
        let now = grant.granted_ms;
        if self.expiry_ms < now {
            self.expire(now);
        }
        let peer = self
            .peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now));
        peer.grants.push(HeldGrant {
            grant,
            is_reported: false,
        });
        peer.uses_deadline_ms = peer.uses_deadline_ms.max(now.after(GRANT_SETTLED_MS));
        self.recount(instance, now);
    }

    /// Ends the use of a place by a peer, without waiting for its next report. Returns what was used, if
    /// this instance granted it.
    pub fn release(
        &mut self,
        instance: &str,
        ticket: u64,
        upstream: &str,
        now: TimeMs,
    ) -> Option<UpstreamLoad> {
        let peer = self.peers.get_mut(instance)?;
        let place = peer
            .grants
            .iter()
            .position(|held| held.grant.ticket == ticket && *held.grant.upstream == *upstream);
        let HeldGrant { grant, is_reported } = peer.grants.remove(place?);
        if is_reported
            && let Some(report) = &mut peer.report
            && let Some(used) = report.uses.get_mut(upstream)
        {
            used.subtract(grant.load);
        }
        self.recount(instance, now);
        Some(grant.load)
    }

    /// Returns the use of an upstream by all peers whose reports still count.
    pub fn peer_load(&self, upstream: &str, now: TimeMs) -> UpstreamLoad {
        let mut total = self.sums.get(upstream).copied().unwrap_or_default();
        if self.expiry_ms < now {
            // Until the sums are brought up to date, those that have run out are left out here.
            for peer in self.peers.values() {
                if peer.uses_deadline_ms < now
                    && let Some(used) = peer.counted.get(upstream)
                {
                    total.subtract(*used);
                }
            }
        }
        total
    }

    /// Brings the sums up to date: the uses of peers that have been silent no longer count.
    pub fn expire(&mut self, now: TimeMs) {
        let sums = &mut self.sums;
        let mut expiry_ms = NEVER_MS;
        for peer in self.peers.values_mut() {
            if peer.uses_deadline_ms < now {
                subtract_all(sums, &std::mem::take(&mut peer.counted));
                peer.grants.clear();
                if let Some(report) = &mut peer.report {
                    report.uses.clear();
                }
            } else if !peer.counted.is_empty() {
                expiry_ms = expiry_ms.min(peer.uses_deadline_ms);
            }
        }
        self.expiry_ms = expiry_ms;
    }

    // Replaces a peer's part of the sums.
    fn recount(&mut self, instance: &str, now: TimeMs) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let uses = match peer.uses_deadline_ms < now {
            true => BTreeMap::new(),
            false => peer.uses(),
        };
        let before = std::mem::replace(&mut peer.counted, uses);
        if !peer.counted.is_empty() {
            self.expiry_ms = self.expiry_ms.min(peer.uses_deadline_ms);
        }
        subtract_all(&mut self.sums, &before);
        for (upstream, used) in &peer.counted {
            match self.sums.get_mut(upstream) {
                Some(sum) => sum.add(*used),
                None => {
                    self.sums.insert(upstream.clone(), *used);
                }
            }
        }
    }

    /// Returns how many instances there are and how many of them are heard, this one included.
    pub fn membership(&self, now: TimeMs) -> Membership {
        let silence_ms = self.liveness_timeout_ms();
        let death_ms = self
            .options
            .death_ms
            .max(self.heartbeat_ms() * DEAD_HEARTBEATS);
        let mut membership = Membership::ALONE;
        for peer in self.peers.values() {
            if peer.is_leaving() || now.since(peer.last_ms()) > death_ms {
                continue;
            }
            membership.members += 1;
            let is_heard = |heard_ms| now.since(heard_ms) <= silence_ms;
            membership.reachable += u32::from(peer.heard_ms.is_some_and(is_heard));
        }
        membership
    }

    /// Returns whether a peer's reports are fresh.
    pub fn is_reachable(&self, instance: &str, now: TimeMs) -> bool {
        let heard_ms = self.peers.get(instance).and_then(|peer| peer.heard_ms);
        heard_ms.is_some_and(|heard_ms| now.since(heard_ms) <= self.liveness_timeout_ms())
    }

    /// Returns the peers that may be relied on, with what they can carry: those that aren't leaving
    /// and were heard lately or have become known lately.
    pub fn live_peers(&self, now: TimeMs) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let silence_ms = self.liveness_timeout_ms();
        self.peers
            .iter()
            .filter(move |(_, peer)| !peer.is_leaving() && now.since(peer.last_ms()) <= silence_ms)
            .map(|(name, peer)| (name, peer.capacity))
    }

    /// Returns the peers that have been silent for longer than `silence_ms`.
    pub fn silent_peers(&self, silence_ms: u64, now: TimeMs) -> Vec<Arc<str>> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_ms()) > silence_ms)
            .map(|(name, _)| name.clone())
            .collect()
    }
}

fn subtract_all(
    sums: &mut BTreeMap<Arc<str>, UpstreamLoad>,
    uses: &BTreeMap<Arc<str>, UpstreamLoad>,
) {
    for (upstream, used) in uses {
        if let Some(sum) = sums.get_mut(upstream) {
            sum.subtract(*used);
            if *sum == UpstreamLoad::default() {
                sums.remove(upstream);
            }
        }
    }
}
