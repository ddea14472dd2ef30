//! Reports between instances about their load on shared upstreams and their membership of the
//! fleet.
//!
//! Load pattern: many instances place requests on the same few engines, each with load reports that
//! are hundreds of milliseconds old. Every instance reports to its peers how many requests it has
//! at each upstream, so that all of them count the same free slots. Each report replaces the one
//! before, so lost or repeated messages do no harm. An instance that becomes a broker finds in the
//! reports of its peers what an earlier broker granted them, and adds its own grants.
//!
//! In a fleet of hundreds of instances, frequent reports from all to all would take up a small
//! instance's whole processor and link. The time between two reports therefore grows with the
//! fleet, and the number of reports that arrive per second stays the same. Information that every
//! instance has, such as the store's latest revision, still reaches a peer soon, from whichever
//! instance reports next. The total load of each upstream is updated as reports arrive, because a
//! broker examines every engine for every request.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::TimeMs;
use crate::quarantine::SuspectUpdate;

use super::evacuations::Evacuations;
use super::quota::Membership;
use super::quota::has_stood_still;
use super::store_position::StorePosition;

/// Load on one upstream, by one instance or several.
#[wire]
#[derive(Copy, Default, Eq)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of prefills in flight.
    pub prefill_tokens: u64,
    /// Tokens of KV cache that the requests take or will take.
    pub kv_tokens: u64,
}

impl UpstreamLoad {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        // Saturating, as figures from peers are not validated.
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    /// Subtracts another load, down to 0 at most.
    pub fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// Capacity of an upstream that this instance granted to a request of a peer.
#[plain]
pub struct Grant {
    /// The peer's number of its request for capacity.
    pub ticket: u64,
    /// The upstream.
    pub upstream: Arc<str>,
    /// Load of the peer's request on the upstream.
    pub load: UpstreamLoad,
    /// Time of the grant.
    pub granted_ms: TimeMs,
}

// Time after which a peer's reports contain the load of a grant: the interval of reports to a
// broker and some network delay.
const GRANT_REPORT_TIMEOUT_MS: u64 = 500;

/// Report of an instance to its peers.
#[wire]
pub struct Report {
    /// Name of the sender.
    pub instance: Arc<str>,
    /// Incarnation of the sender's process, drawn when it started.
    pub incarnation: u64,
    /// Number that grows with each report of an incarnation.
    pub sequence: u64,
    /// Capacity of the sender relative to other instances.
    pub capacity: f64,
    /// Whether the sender is shutting down and admits no more requests.
    pub leaving: bool,
    /// Load of the sender on upstreams, by id. The sender does not use upstreams that are missing
    /// here.
    pub uses: BTreeMap<Arc<str>, UpstreamLoad>,
    /// Time for which the receiver counts this load, unless a newer report replaces it.
    pub uses_valid_ms: u64,
    /// Tickets of the grants that the sender uses, by upstream. A receiver that issued them
    /// derives from these which of its grants are already included in `uses`.
    pub tickets: BTreeMap<Arc<str>, Vec<u64>>,
    /// Upstreams that the sender cannot reach, and for how many milliseconds it avoids them.
    pub down_for_ms: BTreeMap<Arc<str>, u64>,
    /// Upstreams that accept no new requests, with the start time of their incarnation. They are
    /// reported because the receiver may be cut off from the store.
    pub leaving_upstreams: BTreeMap<Arc<str>, Option<u64>>,
    /// Revision of the latest change in the store that the sender has seen, by kind of object.
    pub seen_revisions: BTreeMap<Arc<str>, StorePosition>,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: Vec<SuspectUpdate>,
    /// Evacuated data centres, whose upstreams receive no new requests.
    pub evacuations: Evacuations,
}

/// Intervals and timeouts of the reports to all peers.
#[plain]
#[derive(Copy, Eq)]
pub struct PeerReportOptions {
    /// Shortest time between two reports of an instance to all peers.
    pub heartbeat_ms: u64,
    /// Reports from peers that an instance receives per second. In larger fleets each instance
    /// reports less often to keep to it.
    pub reports_per_s: u64,
    /// Shortest time without a report after which a peer is presumed dead and no longer counts as a
    /// member.
    pub dead_timeout_ms: u64,
}

impl Default for PeerReportOptions {
    fn default() -> Self {
        Self {
            // Three tenths of the liveness timeout in a small fleet.
            heartbeat_ms: 300,
            // Costs a hundredth of a core and 0.1 Mbit/s on the smallest instances.
            reports_per_s: 100,
            // Longer than the pauses and partitions after which an instance usually comes back.
            dead_timeout_ms: 15_000,
        }
    }
}

const NEVER_MS: TimeMs = TimeMs(u64::MAX);

// Time without a report after which a peer is not considered live, in heartbeats: three reports may
// be lost or late.
const LIVENESS_TIMEOUT_HEARTBEATS: f64 = 10.0 / 3.0;
// Time without a report after which a peer is not an upstream's only owner any more, in liveness
// timeouts: the peer may have last heard from this instance one heartbeat later, and notices after
// one liveness timeout.
const HANDOVER_LIVENESS_TIMEOUTS: u64 = 2;
// Least time without a report after which a peer is presumed dead, in heartbeats.
const DEAD_TIMEOUT_HEARTBEATS: u64 = 5;

#[derive(Debug)]
struct Peer {
    report: Option<Report>,
    last_report_ms: Option<TimeMs>,
    first_seen_ms: TimeMs,
    // Time until which its load counts.
    uses_deadline_ms: TimeMs,
    // Capacity relative to other instances.
    capacity: f64,
    grants: Vec<PeerGrant>,
    // Its share of the total loads.
    counted_loads: BTreeMap<Arc<str>, UpstreamLoad>,
}

#[derive(Debug)]
struct PeerGrant {
    grant: Grant,
    // Whether the peer's last report includes the grant.
    is_reported: bool,
}

impl Peer {
    fn new(now: TimeMs) -> Self {
        Self {
            report: None,
            last_report_ms: None,
            first_seen_ms: now,
            uses_deadline_ms: TimeMs::default(),
            capacity: 1.0,
            grants: Vec::new(),
            counted_loads: BTreeMap::new(),
        }
    }

    // Returns the load from the last report plus that of the grants that the report does not
    // include yet.
    fn loads(&self) -> BTreeMap<Arc<str>, UpstreamLoad> {
        let reported = self.report.as_ref().map(|report| report.uses.clone());
        let mut uses = reported.unwrap_or_default();
        for granted in self.grants.iter().filter(|granted| !granted.is_reported) {
            uses.entry(granted.grant.upstream.clone())
                .or_default()
                .add(granted.grant.load);
        }
        uses
    }

    fn last_contact_ms(&self) -> TimeMs {
        self.last_report_ms.unwrap_or(self.first_seen_ms)
    }

    fn is_leaving(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.leaving)
    }

    // Marks the grants that the last report includes. Drops those that the peer no longer uses:
    // grants that have disappeared from its reports, and grants that were not reported in time.
    fn reconcile_grants(&mut self, now: TimeMs) {
        let Some(report) = &self.report else {
            return;
        };
        self.grants.retain_mut(|granted| {
            let PeerGrant { grant, is_reported } = granted;
            let tickets = report.tickets.get(&grant.upstream);
            let is_in_report = tickets.is_some_and(|tickets| tickets.contains(&grant.ticket));
            let has_ended = *is_reported && !is_in_report;
            *is_reported = is_in_report;
            is_in_report || (!has_ended && now.since(grant.granted_ms) <= GRANT_REPORT_TIMEOUT_MS)
        });
    }
}

/// The peers of an instance with their last reports.
#[derive(Debug)]
pub struct PeerReports {
    options: PeerReportOptions,
    peers: BTreeMap<Arc<str>, Peer>,
    // Loads of all peers together, by upstream.
    total_loads: BTreeMap<Arc<str>, UpstreamLoad>,
    // Time before which no peer's share of the total loads expires.
    expiry_ms: TimeMs,
    observed_ms: Option<TimeMs>,
    // End of the last time in which the instance stood still. The silence of peers until then says
    // nothing about them.
    woken_ms: TimeMs,
}

impl PeerReports {
    /// Creates an empty table without peers.
    pub fn new(options: PeerReportOptions) -> Self {
        Self {
            options,
            peers: BTreeMap::new(),
            total_loads: BTreeMap::new(),
            expiry_ms: NEVER_MS,
            observed_ms: None,
            woken_ms: TimeMs::default(),
        }
    }

    /// Notes that the instance runs. An instance that has not run for a while has received no reports,
    /// so its peers are members still, although none of them is reachable.
    pub fn observe(&mut self, now: TimeMs) {
        if has_stood_still(self.observed_ms.replace(now), now) {
            self.woken_ms = now;
        }
    }

    /// Adds a registered instance or updates its capacity, which is relative to other instances.
    pub fn register(&mut self, instance: &Arc<str>, capacity: f64, now: TimeMs) {
        let peer = self
            .peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now));
        peer.capacity = capacity;
    }

    /// Removes an instance whose registration is gone.
    pub fn forget(&mut self, instance: &str) {
        if let Some(peer) = self.peers.remove(instance) {
            subtract_loads(&mut self.total_loads, &peer.counted_loads);
        }
    }

    /// Returns the time between two reports of an instance to all peers, which grows with the
    /// fleet.
    pub fn heartbeat_ms(&self) -> u64 {
        let members = self.peers.len() as u64 + 1;
        let min_interval_ms = members * 1_000 / self.options.reports_per_s.max(1);
        min_interval_ms.max(self.options.heartbeat_ms)
    }

    /// Returns the time without a report after which a peer is not considered live.
    pub fn liveness_timeout_ms(&self) -> u64 {
        (self.heartbeat_ms() as f64 * LIVENESS_TIMEOUT_HEARTBEATS) as u64
    }

    /// Stores a report in place of the peer's last one. Of the same incarnation, reports whose
    /// sequence number is not higher than the last are ignored.
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
        // Reports are not validated; an unusable capacity leaves the last one unchanged.
        if report.capacity.is_finite() && report.capacity > 0.0 {
            peer.capacity = report.capacity;
        }
        peer.report = Some(report);
        peer.last_report_ms = Some(now);
        peer.reconcile_grants(now);
        self.update_totals(&instance, now);
    }

    /// Records a grant of this instance to a peer.
    pub fn grant(&mut self, instance: &Arc<str>, grant: Grant) {
        let now = grant.granted_ms;
        if self.expiry_ms < now {
            self.expire(now);
        }
        let peer = self
            .peers
            .entry(instance.clone())
            .or_insert_with(|| Peer::new(now));
        peer.grants.push(PeerGrant {
            grant,
            is_reported: false,
        });
        peer.uses_deadline_ms = peer
            .uses_deadline_ms
            .max(now.after(GRANT_REPORT_TIMEOUT_MS));
        self.update_totals(instance, now);
    }

    /// Releases a grant of a peer at once, without waiting for the peer's next report. Returns the
    /// released load, or `None` if this instance has no such grant.
    pub fn release(
        &mut self,
        instance: &str,
        ticket: u64,
        upstream: &str,
        now: TimeMs,
    ) -> Option<UpstreamLoad> {
        let peer = self.peers.get_mut(instance)?;
        let index = peer.grants.iter().position(|granted| {
            granted.grant.ticket == ticket && *granted.grant.upstream == *upstream
        });
        let PeerGrant { grant, is_reported } = peer.grants.remove(index?);
        if is_reported
            && let Some(report) = &mut peer.report
            && let Some(load) = report.uses.get_mut(upstream)
        {
            load.subtract(grant.load);
        }
        self.update_totals(instance, now);
        Some(grant.load)
    }

    /// Returns the load on an upstream by all peers whose load has not expired.
    pub fn peer_load(&self, upstream: &str, now: TimeMs) -> UpstreamLoad {
        let mut total = self.total_loads.get(upstream).copied().unwrap_or_default();
        if self.expiry_ms < now {
            // Some loads have expired since the totals were last updated; they are subtracted here.
            for peer in self.peers.values() {
                if peer.uses_deadline_ms < now
                    && let Some(load) = peer.counted_loads.get(upstream)
                {
                    total.subtract(*load);
                }
            }
        }
        total
    }

    /// Removes the expired loads of peers from the totals.
    pub fn expire(&mut self, now: TimeMs) {
        let total_loads = &mut self.total_loads;
        let mut expiry_ms = NEVER_MS;
        for peer in self.peers.values_mut() {
            if peer.uses_deadline_ms < now {
                subtract_loads(total_loads, &std::mem::take(&mut peer.counted_loads));
                peer.grants.clear();
                if let Some(report) = &mut peer.report {
                    report.uses.clear();
                }
            } else if !peer.counted_loads.is_empty() {
                expiry_ms = expiry_ms.min(peer.uses_deadline_ms);
            }
        }
        self.expiry_ms = expiry_ms;
    }

    // Replaces a peer's share of the total loads.
    fn update_totals(&mut self, instance: &str, now: TimeMs) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let loads = match peer.uses_deadline_ms < now {
            true => BTreeMap::new(),
            false => peer.loads(),
        };
        let previous_loads = std::mem::replace(&mut peer.counted_loads, loads);
        if !peer.counted_loads.is_empty() {
            self.expiry_ms = self.expiry_ms.min(peer.uses_deadline_ms);
        }
        subtract_loads(&mut self.total_loads, &previous_loads);
        for (upstream, load) in &peer.counted_loads {
            match self.total_loads.get_mut(upstream) {
                Some(total) => total.add(*load),
                None => {
                    self.total_loads.insert(upstream.clone(), *load);
                }
            }
        }
    }

    /// Returns how many instances are members of the fleet and how many of them are reachable, this
    /// one included.
    pub fn membership(&self, now: TimeMs) -> Membership {
        let timeout_ms = self.liveness_timeout_ms();
        let dead_timeout_ms = self
            .options
            .dead_timeout_ms
            .max(self.heartbeat_ms() * DEAD_TIMEOUT_HEARTBEATS);
        let mut membership = Membership::ALONE;
        for peer in self.peers.values() {
            let contact_ms = peer.last_contact_ms().max(self.woken_ms);
            if peer.is_leaving() || now.since(contact_ms) > dead_timeout_ms {
                continue;
            }
            membership.members += 1;
            let is_reachable = |last_report_ms| now.since(last_report_ms) <= timeout_ms;
            membership.reachable += u32::from(peer.last_report_ms.is_some_and(is_reachable));
        }
        membership
    }

    /// Returns whether a peer has sent a report within the liveness timeout.
    pub fn is_reachable(&self, instance: &str, now: TimeMs) -> bool {
        let last_report_ms = self
            .peers
            .get(instance)
            .and_then(|peer| peer.last_report_ms);
        last_report_ms
            .is_some_and(|last_report_ms| now.since(last_report_ms) <= self.liveness_timeout_ms())
    }

    /// Returns the live peers with their relative capacities: those that are not leaving and that
    /// have sent a report, or have become known without one, within the liveness timeout.
    pub fn live_peers(&self, now: TimeMs) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let timeout_ms = self.liveness_timeout_ms();
        self.peers
            .iter()
            .filter(move |(_, peer)| {
                !peer.is_leaving() && now.since(peer.last_contact_ms()) <= timeout_ms
            })
            .map(|(name, peer)| (name, peer.capacity))
    }

    /// Returns how many instances are registered or have reported, and how many of them are reachable,
    /// this one included. Unlike [`Self::membership`], a silent instance counts until it is forgotten,
    /// as it may be serving beyond a partition.
    pub fn registered_membership(&self, now: TimeMs) -> Membership {
        let serving = self.peers.values().filter(|peer| !peer.is_leaving());
        Membership {
            members: serving.count() as u32 + 1,
            ..self.membership(now)
        }
    }

    /// Returns all peers that are not leaving, with their relative capacities. A silent one may still
    /// receive messages.
    pub fn registered_peers(&self) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let peers = self.peers.iter().filter(|(_, peer)| !peer.is_leaving());
        peers.map(|(name, peer)| (name, peer.capacity))
    }

    /// Returns the peers that may own an upstream alone, with their relative capacities. A peer that
    /// has become silent is among them until it has noticed that it is cut off from this instance, so
    /// that it does not act as the owner beside its successor.
    pub fn sole_owner_candidates(&self, now: TimeMs) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let timeout_ms = self.liveness_timeout_ms() * HANDOVER_LIVENESS_TIMEOUTS;
        self.peers
            .iter()
            .filter(move |(_, peer)| {
                !peer.is_leaving() && now.since(peer.last_contact_ms()) <= timeout_ms
            })
            .map(|(name, peer)| (name, peer.capacity))
    }

    /// Returns the peers that have not sent a report for longer than `timeout_ms`, counted from
    /// when they became known if they have never sent one, and from when this instance last stood
    /// still.
    pub fn silent_peers(&self, timeout_ms: u64, now: TimeMs) -> Vec<Arc<str>> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_contact_ms().max(self.woken_ms)) > timeout_ms)
            .map(|(name, _)| name.clone())
            .collect()
    }
}

fn subtract_loads(
    total_loads: &mut BTreeMap<Arc<str>, UpstreamLoad>,
    loads: &BTreeMap<Arc<str>, UpstreamLoad>,
) {
    for (upstream, load) in loads {
        if let Some(total) = total_loads.get_mut(upstream) {
            total.subtract(*load);
            if *total == UpstreamLoad::default() {
                total_loads.remove(upstream);
            }
        }
    }
}
