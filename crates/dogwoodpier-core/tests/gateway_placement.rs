//! Tests of the selection of upstreams, based on reports of peers and outcomes of requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::peer_reports::Grant;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::peer_reports::Report;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::gateway::upstreams::Upstreams;

fn upstream(id: &str, started_unix_ms: u64) -> Upstream {
    Upstream {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        software_version: "v1".into(),
        slots: 12,
        accepts_work: true,
        stage: Some(Stage::Decode),
        started_unix_ms: Some(started_unix_ms),
    }
}

fn candidate(id: &str, requests: u32, kv_tokens: u64) -> Candidate {
    Candidate {
        upstream: Arc::new(upstream(id, 1)),
        load: UpstreamLoad {
            requests,
            prefill_tokens: 0,
            kv_tokens,
        },
    }
}

fn selector(health: &UpstreamHealth, now_ms: u64) -> Selector<'_> {
    Selector {
        data_centre: "a",
        health,
        now: TimeMs(now_ms),
    }
}

// Returns a report of a peer with `requests` on an engine and the tickets of its grants.
fn report(sequence: u64, requests: u32, tickets: &[u64]) -> Report {
    let load = UpstreamLoad {
        requests,
        ..UpstreamLoad::default()
    };
    let uses: BTreeMap<Arc<str>, UpstreamLoad> = [("e1".into(), load)].into();
    Report {
        instance: "peer".into(),
        incarnation: 1,
        sequence,
        capacity: 1.0,
        leaving: false,
        uses: if requests == 0 { BTreeMap::new() } else { uses },
        uses_valid_ms: 1_000,
        tickets: [("e1".into(), tickets.to_vec())].into(),
        down_for_ms: BTreeMap::new(),
        leaving_upstreams: Default::default(),
        seen_revisions: BTreeMap::new(),
        suspects: Vec::new(),
        evacuations: Default::default(),
    }
}

fn grant(ticket: u64, granted_ms: u64) -> Grant {
    Grant {
        ticket,
        upstream: "e1".into(),
        load: UpstreamLoad {
            requests: 1,
            ..UpstreamLoad::default()
        },
        granted_ms: TimeMs(granted_ms),
    }
}

#[test]
fn decode_needs_a_slot_and_memory() {
    let health = UpstreamHealth::default();
    let selector = selector(&health, 0);
    let engines = [
        candidate("full", 12, 0),
        candidate("low-memory", 3, 95_000),
        candidate("free", 9, 0),
    ];
    assert_eq!(selector.select_decode(&engines, 10_000, 100_000), Some(2));
    assert_eq!(selector.select_decode(&engines[..2], 10_000, 100_000), None);
    // A request that is larger than the memory of any engine is sent to an idle one.
    let empty = [candidate("empty", 0, 0)];
    assert_eq!(selector.select_decode(&empty, 200_000, 100_000), Some(0));
}

#[test]
fn replaced_upstream_is_avoided() {
    let mut health = UpstreamHealth::default();
    health.record_outcome(&"old".into(), Outcome::Replaced, TimeMs(1_000));
    let engines = [candidate("old", 0, 0), candidate("other", 8, 0)];
    assert_eq!(
        selector(&health, 2_000).select_decode(&engines, 1, 100),
        Some(1)
    );
    let mut upstreams = Upstreams::default();
    upstreams.upsert(upstream("old", 100));
    assert_eq!(
        upstreams.replaced_by(&upstream("new", 200)),
        vec![Arc::from("old")]
    );
    assert!(upstreams.replaced_by(&upstream("older", 50)).is_empty());
}

#[test]
fn upstream_unreachable_from_peers_is_avoided() {
    let mut health = UpstreamHealth::default();
    let engine: Arc<str> = "unreachable".into();
    health.record_peer_unreachable(&engine, 1_000, TimeMs(0));
    assert!(health.is_avoided("unreachable", TimeMs(900)));
    assert!(!health.is_avoided("unreachable", TimeMs(1_100)));
    // A peer's report is not passed on as this instance's own observation.
    assert!(health.unreachable(TimeMs(900)).is_empty());
    // Reports of peers are ignored just after an answer from the upstream.
    health.record_outcome(&engine, Outcome::Answered { elapsed_ms: 5 }, TimeMs(2_000));
    health.record_peer_unreachable(&engine, 1_000, TimeMs(2_100));
    assert!(!health.is_avoided("unreachable", TimeMs(2_200)));
}

#[test]
fn rejecting_upstream_is_avoided_until_its_failures_decay() {
    let mut health = UpstreamHealth::default();
    let rejecting: Arc<str> = "rejecting".into();
    for step in 0..20_u64 {
        health.record_outcome(&rejecting, Outcome::Full, TimeMs(step * 100));
    }
    let services = [candidate("rejecting", 0, 0), candidate("busy", 6, 0)];
    let chosen = selector(&health, 2_100).select_plain(&services, 7);
    assert_eq!(chosen, Some(1));
    // It is tried again when the effect of the rejections has decayed.
    assert_eq!(
        selector(&health, 30_000).select_plain(&services, 7),
        Some(0)
    );
}

#[test]
fn grants_count_until_they_are_reported() {
    let mut reports = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    reports.handle_report(report(1, 0, &[]), TimeMs(0));
    for ticket in 0..3 {
        reports.grant(&peer, grant(ticket, 10));
    }
    // Grants that the peer's report does not include yet are counted, and each grant is counted
    // only once.
    reports.handle_report(report(2, 1, &[0]), TimeMs(50));
    assert_eq!(reports.peer_load("e1", TimeMs(50)).requests, 3);
    reports.handle_report(report(3, 3, &[0, 1, 2]), TimeMs(100));
    assert_eq!(reports.peer_load("e1", TimeMs(100)).requests, 3);
    // A release takes effect at once, before the next report.
    reports.release("peer", 1, "e1", TimeMs(110));
    assert_eq!(reports.peer_load("e1", TimeMs(110)).requests, 2);
}

// Grants of the previous broker are part of the peers' reports; grants of the new one are added.
#[test]
fn new_broker_counts_reported_and_own_grants() {
    let mut reports = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    reports.handle_report(report(1, 3, &[90, 91, 92]), TimeMs(0));
    for ticket in 0..2 {
        reports.grant(&peer, grant(ticket, 10));
    }
    assert_eq!(reports.peer_load("e1", TimeMs(20)).requests, 5);
    // A request granted by the previous broker ends, and the first new grant is reported.
    reports.handle_report(report(2, 3, &[90, 91, 0]), TimeMs(50));
    assert_eq!(reports.peer_load("e1", TimeMs(50)).requests, 4);
    // Each release is subtracted once, whether its grant was reported or not.
    reports.release("peer", 0, "e1", TimeMs(60));
    reports.release("peer", 1, "e1", TimeMs(60));
    assert_eq!(reports.peer_load("e1", TimeMs(60)).requests, 2);
}

// If the release of a request is lost, the request stops counting when it is missing from the next
// report.
#[test]
fn grant_missing_from_next_report_is_dropped() {
    let mut reports = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    reports.grant(&peer, grant(7, 0));
    reports.handle_report(report(1, 1, &[7]), TimeMs(50));
    assert_eq!(reports.peer_load("e1", TimeMs(50)).requests, 1);
    reports.handle_report(report(2, 0, &[]), TimeMs(100));
    assert_eq!(reports.peer_load("e1", TimeMs(100)).requests, 0);
}

#[test]
fn unreported_grant_expires() {
    let mut reports = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    reports.grant(&peer, grant(1, 0));
    reports.handle_report(report(1, 0, &[]), TimeMs(100));
    assert_eq!(reports.peer_load("e1", TimeMs(100)).requests, 1);
    reports.handle_report(report(2, 0, &[]), TimeMs(700));
    assert_eq!(reports.peer_load("e1", TimeMs(700)).requests, 0);
}

#[test]
fn load_of_dead_peer_expires() {
    let mut reports = PeerReports::new(PeerReportOptions::default());
    reports.handle_report(report(1, 5, &[]), TimeMs(0));
    assert_eq!(reports.peer_load("e1", TimeMs(900)).requests, 5);
    assert_eq!(reports.peer_load("e1", TimeMs(1_100)).requests, 0);
    assert_eq!(reports.membership(TimeMs(1_100)).members, 2);
    assert_eq!(reports.membership(TimeMs(20_000)).members, 1);
}

#[test]
fn only_the_named_incarnation_drains() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(upstream("e1", 100));
    // A message about another incarnation has no effect.
    assert!(!upstreams.mark_draining("e1", Some(50)));
    assert!(upstreams.mark_draining("e1", Some(100)));
    assert!(!upstreams.mark_draining("e1", Some(100)));
    assert_eq!(upstreams.available("engines").count(), 0);
    assert_eq!(upstreams.draining().len(), 1);
}

// Entries of the store that are outdated, or that reappear after their removal, do not end
// draining.
#[test]
fn draining_incarnation_stays_draining() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(upstream("e1", 100));
    upstreams.mark_draining("e1", Some(100));
    upstreams.upsert(Upstream {
        slots: 7,
        ..upstream("e1", 100)
    });
    assert_eq!(upstreams.available("engines").count(), 0);
    upstreams.remove("e1", None);
    upstreams.upsert(upstream("e1", 100));
    assert_eq!(upstreams.available("engines").count(), 0);
    // The next incarnation accepts requests.
    upstreams.upsert(upstream("e1", 200));
    assert_eq!(upstreams.available("engines").count(), 1);
    // Marked as draining before its entry was read.
    upstreams.mark_draining("e2", Some(100));
    upstreams.upsert(upstream("e2", 100));
    assert_eq!(upstreams.available("engines").count(), 1);
}

#[test]
fn backoff_is_limited() {
    let mut health = UpstreamHealth::default();
    let id: Arc<str> = "e1".into();
    health.record_backoff(&id, 2_000, TimeMs(1_000));
    // A shorter backoff does not shorten the current one.
    health.record_backoff(&id, 100, TimeMs(1_000));
    assert_eq!(health.backoff_ms("e1", TimeMs(1_500)), 1_500);
    assert_eq!(health.backoffs(TimeMs(1_500))[&id], TimeMs(3_000));
    health.record_outcome(&id, Outcome::Answered { elapsed_ms: 5 }, TimeMs(2_000));
    health.record_freed("e1");
    assert_eq!(health.backoff_ms("e1", TimeMs(2_000)), 1_000);
    assert_eq!(health.backoff_ms("e1", TimeMs(3_000)), 0);
    health.record_backoff(&id, u64::MAX, TimeMs(3_000));
    assert_eq!(health.backoff_ms("e1", TimeMs(3_000)), 30_000);
}

#[test]
fn full_upstream_is_avoided_until_freed() {
    let mut health = UpstreamHealth::default();
    health.record_outcome(&"e1".into(), Outcome::Full, TimeMs(0));
    assert!(health.is_avoided("e1", TimeMs(300)));
    health.record_freed("e1");
    assert!(!health.is_avoided("e1", TimeMs(301)));
}

/// An engine whose memory is partly used by callers that are not counted, such as instances that
/// are cut off from the fleet.
struct Engine {
    capacity_kv_tokens: u64,
    uncounted_kv_tokens: u64,
    // End times and sizes of the requests in flight.
    running: Vec<(u64, u64)>,
}

impl Engine {
    fn counted_kv_tokens(&self) -> u64 {
        self.running.iter().map(|(_, kv_tokens)| kv_tokens).sum()
    }

    fn accepts(&self, kv_tokens: u64) -> bool {
        self.counted_kv_tokens() + self.uncounted_kv_tokens + kv_tokens <= self.capacity_kv_tokens
    }
}

// In a burst, requests are always waiting for an engine that has less memory than expected.
// Rejections must be rare, as each one costs a whole prefill.
#[test]
fn few_rejections_by_engine_with_less_memory() {
    const KV_TOKENS: u64 = 3_000;
    const RUN_MS: u64 = 2_000;
    let id: Arc<str> = "e1".into();
    let mut health = UpstreamHealth::default();
    let mut engine = Engine {
        capacity_kv_tokens: 28_000,
        uncounted_kv_tokens: 8_000,
        running: Vec::new(),
    };
    let (mut placed, mut rejected) = (0, 0);
    for now_ms in (0..20_000).step_by(20) {
        let previous_len = engine.running.len();
        engine.running.retain(|(end_ms, _)| *end_ms > now_ms);
        if engine.running.len() < previous_len {
            health.record_freed(&id);
        }
        if health.is_avoided(&id, TimeMs(now_ms)) {
            continue;
        }
        let held = engine.counted_kv_tokens();
        let requests = engine.running.len() as u32;
        let candidates = [candidate("e1", requests, held)];
        let chosen = selector(&health, now_ms).select_decode(
            &candidates,
            KV_TOKENS,
            engine.capacity_kv_tokens,
        );
        if chosen.is_none() {
            continue;
        }
        if engine.accepts(KV_TOKENS) {
            // Requests end at different times.
            let end_ms = now_ms + RUN_MS + (placed * 331) % 1_000;
            engine.running.push((end_ms, KV_TOKENS));
            placed += 1;
        } else {
            rejected += 1;
            health.record_outcome(&id, Outcome::Full, TimeMs(now_ms));
            health.record_out_of_memory(&id, held + KV_TOKENS, TimeMs(now_ms));
        }
    }
    // Six requests fit at a time, each for about two and a half seconds.
    assert!(placed >= 6 * 20 * 8 / 25, "{placed} placed");
    assert!(
        rejected * 4 <= placed,
        "{rejected} rejected, {placed} placed"
    );
}

#[test]
fn memory_estimate_recovers() {
    let id: Arc<str> = "e1".into();
    let mut health = UpstreamHealth::default();
    health.record_out_of_memory(&id, 20_000, TimeMs(0));
    assert_eq!(health.available_kv_tokens("e1", 28_000, TimeMs(0)), 19_000);
    assert_eq!(
        health.available_kv_tokens("e1", 28_000, TimeMs(60_000)),
        28_000
    );
    // The estimate has a lower bound, so that an engine that rejects requests while idle is tried
    // again.
    health.record_out_of_memory(&id, 0, TimeMs(60_000));
    assert_eq!(
        health.available_kv_tokens("e1", 28_000, TimeMs(60_000)),
        7_000
    );
    assert_eq!(
        health.available_kv_tokens("e2", 28_000, TimeMs(60_000)),
        28_000
    );
}
