//! What instances of a large fleet tell each other, and who decides for them.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::owners;
use dogwoodpier_core::gateway::owners::UnresponsiveOwners;
use dogwoodpier_core::gateway::peer_reports::Grant;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;

fn name(instance: usize) -> Arc<str> {
    format!("n{instance}").into()
}

fn fleet(size: usize) -> PeerReports {
    let mut exchange = PeerReports::new(PeerReportOptions::default());
    for peer in 1..size {
        exchange.register(&name(peer), 1.0, TimeMs(0));
    }
    exchange
}

fn used(requests: u32) -> UpstreamLoad {
    UpstreamLoad {
        requests,
        ..UpstreamLoad::default()
    }
}

fn report(instance: usize, sequence: u64, uses: BTreeMap<Arc<str>, UpstreamLoad>) -> Report {
    Report {
        instance: name(instance),
        incarnation: 1,
        sequence,
        capacity: 1.0,
        leaving: false,
        uses,
        uses_valid_ms: 1_000,
        tickets: BTreeMap::new(),
        down_for_ms: BTreeMap::new(),
        leaving_upstreams: BTreeMap::new(),
        seen_revisions: BTreeMap::new(),
        suspects: Vec::new(),
        evacuations: Default::default(),
    }
}

#[test]
fn reports_keep_their_rate() {
    assert_eq!(fleet(8).heartbeat_ms(), 300);
    for size in [30, 100, 300, 550] {
        let exchange = fleet(size);
        let a_second = (size as u64 - 1) * 1_000 / exchange.heartbeat_ms();
        assert!(a_second <= 100, "{a_second} reports a second of {size}");
        // Three of a peer's reports may be lost.
        assert!(exchange.liveness_timeout_ms() >= 3 * exchange.heartbeat_ms());
    }
}

// The look at all engines for one request of the largest fleet: 550 instances, 2,200 engines.
#[test]
fn sums_of_large_fleets() {
    let engines: Vec<Arc<str>> = (0..2_200)
        .map(|engine| format!("e{engine}").into())
        .collect();
    let mut exchange = fleet(550);
    for peer in 1..550 {
        let uses = (0..40).map(|place| (engines[peer * 4 % 2_160 + place].clone(), used(1)));
        exchange.handle_report(report(peer, 1, uses.collect()), TimeMs(0));
    }
    // A tenth of the objective of a first token, on a tenth of a core, in a debug build. The best of
    // some tries, as the host may be busy.
    let look = || {
        let started = Instant::now();
        let requests = engines
            .iter()
            .map(|id| exchange.peer_load(id, TimeMs(500)).requests);
        assert_eq!(requests.sum::<u32>(), 549 * 40);
        started.elapsed()
    };
    let best = (0..5).map(|_| look()).min();
    let best = best.expect("some tries");
    assert!(best.as_millis() < 50, "{best:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Report {
        peer: usize,
        uses: Vec<(usize, u32)>,
    },
    Repeat {
        peer: usize,
    },
    Grant {
        peer: usize,
        upstream: usize,
    },
    Release {
        peer: usize,
        grant: usize,
    },
    Forget {
        peer: usize,
    },
    Expire,
    Pass {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let uses = proptest::collection::vec((0_usize..4, 1_u32..5), 0..4);
    prop_oneof![
        4 => (1_usize..5, uses).prop_map(|(peer, uses)| Step::Report { peer, uses }),
        1 => (1_usize..5).prop_map(|peer| Step::Repeat { peer }),
        3 => (1_usize..5, 0_usize..4).prop_map(|(peer, upstream)| Step::Grant { peer, upstream }),
        2 => (1_usize..5, 0_usize..5).prop_map(|(peer, grant)| Step::Release { peer, grant }),
        1 => (1_usize..5).prop_map(|peer| Step::Forget { peer }),
        1 => Just(Step::Expire),
        3 => (1_u64..700).prop_map(|ms| Step::Pass { ms }),
    ]
}

// What a peer uses, by the rules in their plainest form.
#[derive(Default)]
struct Oracle {
    uses: BTreeMap<usize, u32>,
    // Time, upstream and ticket of each.
    grants: Vec<(u64, usize, u64)>,
    deadline_ms: u64,
    sequence: u64,
    // Whether the last report is remembered, so that a repeated one is told from a new one.
    is_known: bool,
}

proptest! {
    #![proptest_config(common::config(0x6578_6368, 400))]

    // The sums that are kept are those of a count from scratch, whatever is lost, late or repeated.
    #[test]
    fn sums_match_counts(steps in proptest::collection::vec(step(), 1..60)) {
        let mut exchange = PeerReports::new(PeerReportOptions::default());
        let mut oracles: BTreeMap<usize, Oracle> = BTreeMap::new();
        let mut now_ms = 0;
        let mut ticket = 0;
        for step in steps {
            let now = TimeMs(now_ms);
            match step {
                Step::Report { peer, uses } => {
                    let oracle = oracles.entry(peer).or_default();
                    oracle.sequence += 1;
                    oracle.is_known = true;
                    oracle.uses = uses.into_iter().collect();
                    // Grants that a report doesn't show count for half a second.
                    oracle.grants.retain(|(granted_ms, ..)| now_ms - granted_ms <= 500);
                    oracle.deadline_ms = now_ms + 1_000;
                    let named = oracle.uses.iter().map(|(upstream, requests)| {
                        (format!("e{upstream}").into(), used(*requests))
                    });
                    exchange.handle_report(report(peer, oracle.sequence, named.collect()), now);
                }
                Step::Repeat { peer } => {
                    let oracle = oracles.entry(peer).or_default();
                    let sequence = oracle.sequence;
                    if oracle.is_known {
                        exchange.handle_report(report(peer, sequence, BTreeMap::new()), now);
                    }
                }
                Step::Grant { peer, upstream } => {
                    let oracle = oracles.entry(peer).or_default();
                    if oracle.deadline_ms < now_ms {
                        oracle.uses.clear();
                        oracle.grants.clear();
                    }
                    ticket += 1;
                    oracle.grants.push((now_ms, upstream, ticket));
                    oracle.deadline_ms = oracle.deadline_ms.max(now_ms + 500);
                    let grant = Grant {
                        ticket,
                        upstream: format!("e{upstream}").into(),
                        load: used(1),
                        granted_ms: now,
                    };
                    exchange.grant(&name(peer), grant);
                }
                Step::Release { peer, grant } => {
                    let oracle = oracles.entry(peer).or_default();
                    // Some releases come twice, or for a place that another peer has.
                    let (upstream, released) = match oracle.grants.get(grant) {
                        Some((_, upstream, ticket)) => (*upstream, *ticket),
                        None => (0, grant as u64),
                    };
                    oracle.grants.retain(|(_, held, ticket)| (*held, *ticket) != (upstream, released));
                    exchange.release(&name(peer), released, &format!("e{upstream}"), now);
                }
                Step::Forget { peer } => {
                    let sequence = oracles.remove(&peer).map_or(0, |oracle| oracle.sequence);
                    oracles.entry(peer).or_default().sequence = sequence;
                    exchange.forget(&name(peer));
                }
                Step::Expire => exchange.expire(now),
                Step::Pass { ms } => now_ms += ms,
            }
            for upstream in 0..4 {
                let counted: u32 = oracles
                    .values()
                    .filter(|oracle| oracle.deadline_ms >= now_ms)
                    .map(|oracle| {
                        let granted = oracle.grants.iter().filter(|(_, id, _)| *id == upstream);
                        oracle.uses.get(&upstream).copied().unwrap_or(0) + granted.count() as u32
                    })
                    .sum();
                let found = exchange.peer_load(&format!("e{upstream}"), TimeMs(now_ms)).requests;
                prop_assert_eq!(found, counted, "e{} at {}", upstream, now_ms);
            }
        }
    }
}

#[test]
fn small_instances_own_nothing() {
    let names: Vec<Arc<str>> = (0..60).map(name).collect();
    let capacity = |place: usize| if place.is_multiple_of(10) { 0.5 } else { 0.12 };
    let members = || {
        let members = names.iter().enumerate();
        members.map(|(place, name)| (name, capacity(place)))
    };
    let mut chosen: Vec<Arc<str>> = Vec::new();
    for service in 0..100 {
        let ranked = owners::rank_owners(&format!("s{service}"), members(), 2);
        assert_eq!(ranked.len(), 2);
        chosen.extend(ranked);
    }
    chosen.sort();
    chosen.dedup();
    // All of the large ones, and only these.
    assert_eq!(chosen.len(), 6);
    assert!(chosen.iter().all(|name| name.ends_with('0')));
    // A single large one would be the only choice: the small ones follow it.
    let last_large = members().filter(|(name, capacity)| *capacity < 0.5 || ***name == *"n0");
    assert_eq!(owners::rank_owners("s", last_large, 2).len(), 2);
}

#[test]
fn instances_agree_on_owners() {
    let names: Vec<Arc<str>> = (0..300).map(name).collect();
    let members = || names.iter().map(|name| (name, 1.0));
    let owner = owners::rank_owners("desk", members(), 2);
    let reversed = owners::rank_owners("desk", members().rev(), 2);
    assert_eq!(owner, reversed);
    // Without the first choice, the second one follows; other members change nothing.
    let without = members().filter(|(name, _)| **name != owner[0]);
    assert_eq!(owners::rank_owners("desk", without, 1), owner[1..]);
}

#[test]
fn suspicion_grows() {
    let mut suspects = UnresponsiveOwners::default();
    let owner = name(1);
    suspects.record_timeout(&owner, TimeMs(0));
    suspects.record_timeout(&owner, TimeMs(10));
    assert!(suspects.contains("n1", TimeMs(1_400)));
    assert!(!suspects.contains("n1", TimeMs(1_500)));
    // Still silent when it is asked again: it is left alone for twice as long.
    suspects.record_timeout(&owner, TimeMs(1_600));
    assert!(suspects.contains("n1", TimeMs(4_500)));
    assert!(!suspects.contains("n1", TimeMs(4_600)));
    // One that answered for a while starts anew.
    suspects.record_timeout(&owner, TimeMs(60_000));
    assert!(!suspects.contains("n1", TimeMs(61_500)));
}

// A restarted instance takes those that it hasn't heard yet for alive, as the others do.
#[test]
fn unheard_peers_are_relied_on() {
    let exchange = fleet(300);
    assert_eq!(exchange.live_peers(TimeMs(2_000)).count(), 299);
    assert_eq!(exchange.membership(TimeMs(2_000)).reachable, 1);
    assert_eq!(exchange.live_peers(TimeMs(20_000)).count(), 0);
}
