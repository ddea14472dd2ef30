//! Members of a fleet that exchange reports and choose owners.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::owners;
use dogwoodpier_core::gateway::owners::UnresponsiveOwners;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::quota::Membership;

const REPORT_INTERVAL_MS: u64 = 300;

/// Instances whose reports arrive after a delay. No message crosses a partition.
pub struct Members {
    peer_reports: Vec<PeerReports>,
    unresponsive: Vec<UnresponsiveOwners>,
    in_flight: Vec<(u64, usize, Report)>,
    delay_ms: u64,
    sequence: u64,
}

impl Members {
    /// Creates a fleet of instances that are registered but have not reported yet.
    pub fn new(size: usize, delay_ms: u64) -> Self {
        let mut members = Self {
            peer_reports: (0..size)
                .map(|_| PeerReports::new(PeerReportOptions::default()))
                .collect(),
            unresponsive: (0..size).map(|_| UnresponsiveOwners::default()).collect(),
            in_flight: Vec::new(),
            delay_ms,
            sequence: 0,
        };
        for instance in 0..size {
            for peer in (0..size).filter(|peer| *peer != instance) {
                members.peer_reports[instance].register(&name(peer), 1.0, TimeMs(0));
            }
        }
        members
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.peer_reports.len()
    }

    /// Returns the membership of the fleet as an instance knows it.
    pub fn membership(&self, instance: usize, now: TimeMs) -> Membership {
        self.peer_reports[instance].membership(now)
    }

    /// Returns the instance that `instance` considers the owner of `owned`.
    pub fn owner(&self, instance: usize, owned: &str, now: TimeMs) -> usize {
        let own = name(instance);
        let peers = self.peer_reports[instance].live_peers(now);
        let peers = peers.filter(|(peer, _)| !self.unresponsive[instance].contains(peer, now));
        let members = peers.chain(std::iter::once((&own, 1.0)));
        let owner = owners::rank_owners(owned, members, 1).remove(0);
        owner[1..]
            .parse()
            .expect("the name of an instance ends with its number")
    }

    /// Returns the owner that answers an instance, or `None` if the first two don't.
    pub fn reachable_owner(
        &mut self,
        instance: usize,
        owned: &str,
        now: TimeMs,
        partition_at: Option<usize>,
    ) -> Option<usize> {
        for _ in 0..2 {
            let owner = self.owner(instance, owned, now);
            if !is_partitioned(instance, owner, partition_at) {
                return Some(owner);
            }
            self.unresponsive[instance].record_timeout(&name(owner), now);
        }
        None
    }

    /// Delivers the reports that have arrived and sends those that are due.
    pub fn step(&mut self, now_ms: u64, partition_at: Option<usize>) {
        self.deliver(now_ms);
        if now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report(now_ms, partition_at);
        }
    }

    fn report(&mut self, now_ms: u64, partition_at: Option<usize>) {
        self.sequence += 1;
        for from in 0..self.len() {
            for to in (0..self.len()).filter(|to| *to != from) {
                if is_partitioned(from, to, partition_at) {
                    continue;
                }
                let report = Report {
                    instance: name(from),
                    incarnation: 1,
                    sequence: self.sequence,
                    capacity: 1.0,
                    leaving: false,
                    uses: Default::default(),
                    uses_valid_ms: 1_000,
                    tickets: Default::default(),
                    down_for_ms: Default::default(),
                    leaving_upstreams: Default::default(),
                    seen_revisions: Default::default(),
                    suspects: Vec::new(),
                    evacuations: Default::default(),
                };
                self.in_flight.push((now_ms + self.delay_ms, to, report));
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let now = TimeMs(now_ms);
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.in_flight = later;
        for (_, to, report) in due {
            self.peer_reports[to].handle_report(report, now);
        }
    }
}

fn is_partitioned(from: usize, to: usize, partition_at: Option<usize>) -> bool {
    partition_at.is_some_and(|partition_at| (from < partition_at) != (to < partition_at))
}

fn name(instance: usize) -> Arc<str> {
    format!("n{instance}").into()
}
