//! The choice of upstreams, from what instances tell each other and how upstreams answered.

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

fn chooser(records: &UpstreamHealth, now_ms: u64) -> Selector<'_> {
    Selector {
        data_centre: "a",
        health: records,
        now: TimeMs(now_ms),
    }
}

// Returns a report of a peer with some requests at an engine, of which these were granted by this
// instance.
fn report(sequence: u64, requests: u32, tickets: &[u64]) -> Report {
    let used = UpstreamLoad {
        requests,
        ..UpstreamLoad::default()
    };
    let uses: BTreeMap<Arc<str>, UpstreamLoad> = [("e1".into(), used)].into();
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
fn decode_needs_room() {
    let records = UpstreamHealth::default();
    let chooser = chooser(&records, 0);
    let engines = [
        candidate("full", 12, 0),
        candidate("little", 3, 95_000),
        candidate("free", 9, 0),
    ];
    assert_eq!(chooser.select_decode(&engines, 10_000, 100_000), Some(2));
    assert_eq!(chooser.select_decode(&engines[..2], 10_000, 100_000), None);
    // A request that is larger than any memory is tried on an empty engine.
    let empty = [candidate("empty", 0, 0)];
    assert_eq!(chooser.select_decode(&empty, 200_000, 100_000), Some(0));
}

#[test]
fn replaced_is_avoided() {
    let mut records = UpstreamHealth::default();
    records.record_outcome(&"old".into(), Outcome::Replaced, TimeMs(1_000));
    let engines = [candidate("old", 0, 0), candidate("other", 8, 0)];
    assert_eq!(
        chooser(&records, 2_000).select_decode(&engines, 1, 100),
        Some(1)
    );
    let mut known = Upstreams::default();
    known.upsert(upstream("old", 100));
    assert_eq!(
        known.replaced_by(&upstream("new", 200)),
        vec![Arc::from("old")]
    );
    assert!(known.replaced_by(&upstream("older", 50)).is_empty());
}

#[test]
fn peers_tell_of_failures() {
    let mut records = UpstreamHealth::default();
    let engine: Arc<str> = "dark".into();
    records.record_peer_unreachable(&engine, 1_000, TimeMs(0));
    assert!(records.is_avoided("dark", TimeMs(900)));
    assert!(!records.is_avoided("dark", TimeMs(1_100)));
    // What a peer said isn't told on as if it was seen here.
    assert!(records.unreachable(TimeMs(900)).is_empty());
    // An instance that has just been served doubts its peers.
    records.record_outcome(&engine, Outcome::Answered { elapsed_ms: 5 }, TimeMs(2_000));
    records.record_peer_unreachable(&engine, 1_000, TimeMs(2_100));
    assert!(!records.is_avoided("dark", TimeMs(2_200)));
}

#[test]
fn rejecting_upstream_is_left() {
    let mut records = UpstreamHealth::default();
    let shedding: Arc<str> = "shedding".into();
    for step in 0..20_u64 {
        records.record_outcome(&shedding, Outcome::Full, TimeMs(step * 100));
    }
    let services = [candidate("shedding", 0, 0), candidate("busy", 6, 0)];
    let chosen = chooser(&records, 2_100).select_plain(&services, 7);
    assert_eq!(chosen, Some(1));
    // It is tried again once its record has faded.
    assert_eq!(
        chooser(&records, 30_000).select_plain(&services, 7),
        Some(0)
    );
}

#[test]
fn grants_bridge_reports() {
    let mut exchange = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    exchange.handle_report(report(1, 0, &[]), TimeMs(0));
    for ticket in 0..3 {
        exchange.grant(&peer, grant(ticket, 10));
    }
    // The peer's report doesn't show the grants yet; they count all the same, and only once.
    exchange.handle_report(report(2, 1, &[0]), TimeMs(50));
    assert_eq!(exchange.peer_load("e1", TimeMs(50)).requests, 3);
    exchange.handle_report(report(3, 3, &[0, 1, 2]), TimeMs(100));
    assert_eq!(exchange.peer_load("e1", TimeMs(100)).requests, 3);
    // A release counts at once, before the next report.
    exchange.release("peer", 1, "e1", TimeMs(110));
    assert_eq!(exchange.peer_load("e1", TimeMs(110)).requests, 2);
}

// Grants of the broker before come with reports, those of this one are added to them.
#[test]
fn new_broker_counts_both() {
    let mut exchange = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    exchange.handle_report(report(1, 3, &[90, 91, 92]), TimeMs(0));
    for ticket in 0..2 {
        exchange.grant(&peer, grant(ticket, 10));
    }
    assert_eq!(exchange.peer_load("e1", TimeMs(20)).requests, 5);
    // One of the older ones ends while the first grant is reported.
    exchange.handle_report(report(2, 3, &[90, 91, 0]), TimeMs(50));
    assert_eq!(exchange.peer_load("e1", TimeMs(50)).requests, 4);
    // Both releases count once, whether they were reported or not.
    exchange.release("peer", 0, "e1", TimeMs(60));
    exchange.release("peer", 1, "e1", TimeMs(60));
    assert_eq!(exchange.peer_load("e1", TimeMs(60)).requests, 2);
}

// A request that ended while its release was lost no longer counts once the report lacks it.
#[test]
fn ended_grant_leaves_with_report() {
    let mut exchange = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    exchange.grant(&peer, grant(7, 0));
    exchange.handle_report(report(1, 1, &[7]), TimeMs(50));
    assert_eq!(exchange.peer_load("e1", TimeMs(50)).requests, 1);
    exchange.handle_report(report(2, 0, &[]), TimeMs(100));
    assert_eq!(exchange.peer_load("e1", TimeMs(100)).requests, 0);
}

#[test]
fn lost_release_settles() {
    let mut exchange = PeerReports::new(PeerReportOptions::default());
    let peer: Arc<str> = "peer".into();
    exchange.grant(&peer, grant(1, 0));
    exchange.handle_report(report(1, 0, &[]), TimeMs(100));
    assert_eq!(exchange.peer_load("e1", TimeMs(100)).requests, 1);
    exchange.handle_report(report(2, 0, &[]), TimeMs(700));
    assert_eq!(exchange.peer_load("e1", TimeMs(700)).requests, 0);
}

#[test]
fn dead_peer_frees_slots() {
    let mut exchange = PeerReports::new(PeerReportOptions::default());
    exchange.handle_report(report(1, 5, &[]), TimeMs(0));
    assert_eq!(exchange.peer_load("e1", TimeMs(900)).requests, 5);
    assert_eq!(exchange.peer_load("e1", TimeMs(1_100)).requests, 0);
    assert_eq!(exchange.membership(TimeMs(1_100)).members, 2);
    assert_eq!(exchange.membership(TimeMs(20_000)).members, 1);
}

#[test]
fn leaving_by_hearsay() {
    let mut known = Upstreams::default();
    known.upsert(upstream("e1", 100));
    // Told of another incarnation: not this one.
    assert!(!known.mark_draining("e1", Some(50)));
    assert!(known.mark_draining("e1", Some(100)));
    assert!(!known.mark_draining("e1", Some(100)));
    assert_eq!(known.available("engines").count(), 0);
    assert_eq!(known.draining().len(), 1);
}

// Entries that are older than what an upstream said, or that come back after they were gone.
#[test]
fn leaving_is_final() {
    let mut known = Upstreams::default();
    known.upsert(upstream("e1", 100));
    known.mark_draining("e1", Some(100));
    known.upsert(Upstream {
        slots: 7,
        ..upstream("e1", 100)
    });
    assert_eq!(known.available("engines").count(), 0);
    known.remove("e1", None);
    known.upsert(upstream("e1", 100));
    assert_eq!(known.available("engines").count(), 0);
    // Its next start takes work.
    known.upsert(upstream("e1", 200));
    assert_eq!(known.available("engines").count(), 1);
    // Said before its entry was read.
    known.mark_draining("e2", Some(100));
    known.upsert(upstream("e2", 100));
    assert_eq!(known.available("engines").count(), 1);
}

#[test]
fn pauses_are_bounded() {
    let mut records = UpstreamHealth::default();
    let id: Arc<str> = "e1".into();
    records.record_backoff(&id, 2_000, TimeMs(1_000));
    // A shorter one takes nothing back.
    records.record_backoff(&id, 100, TimeMs(1_000));
    assert_eq!(records.backoff_ms("e1", TimeMs(1_500)), 1_500);
    assert_eq!(records.backoffs(TimeMs(1_500))[&id], TimeMs(3_000));
    records.record_outcome(&id, Outcome::Answered { elapsed_ms: 5 }, TimeMs(2_000));
    records.record_freed("e1");
    assert_eq!(records.backoff_ms("e1", TimeMs(2_000)), 1_000);
    assert_eq!(records.backoff_ms("e1", TimeMs(3_000)), 0);
    records.record_backoff(&id, u64::MAX, TimeMs(3_000));
    assert_eq!(records.backoff_ms("e1", TimeMs(3_000)), 30_000);
}

#[test]
fn full_until_freed() {
    let mut records = UpstreamHealth::default();
    records.record_outcome(&"e1".into(), Outcome::Full, TimeMs(0));
    assert!(records.is_avoided("e1", TimeMs(300)));
    records.record_freed("e1");
    assert!(!records.is_avoided("e1", TimeMs(301)));
}

/// An engine of which others than this fleet use a part, as instances that are cut off from it.
struct Engine {
    capacity_kv_tokens: u64,
    unseen_kv_tokens: u64,
    // Ends and sizes of what it runs.
    running: Vec<(u64, u64)>,
}

impl Engine {
    fn seen_kv_tokens(&self) -> u64 {
        self.running.iter().map(|(_, kv_tokens)| kv_tokens).sum()
    }

    fn accepts(&self, kv_tokens: u64) -> bool {
        self.seen_kv_tokens() + self.unseen_kv_tokens + kv_tokens <= self.capacity_kv_tokens
    }
}

// A burst keeps a line of requests before an engine that has less memory than is counted here. Each
// rejection costs a whole prefill.
#[test]
fn rejections_teach_room() {
    const KV_TOKENS: u64 = 3_000;
    const RUN_MS: u64 = 2_000;
    let id: Arc<str> = "e1".into();
    let mut records = UpstreamHealth::default();
    let mut engine = Engine {
        capacity_kv_tokens: 28_000,
        unseen_kv_tokens: 8_000,
        running: Vec::new(),
    };
    let (mut placed, mut rejected) = (0, 0);
    for now_ms in (0..20_000).step_by(20) {
        let before = engine.running.len();
        engine.running.retain(|(end_ms, _)| *end_ms > now_ms);
        if engine.running.len() < before {
            records.record_freed(&id);
        }
        if records.is_avoided(&id, TimeMs(now_ms)) {
            continue;
        }
        let held = engine.seen_kv_tokens();
        let requests = engine.running.len() as u32;
        let candidates = [candidate("e1", requests, held)];
        let chosen = chooser(&records, now_ms).select_decode(
            &candidates,
            KV_TOKENS,
            engine.capacity_kv_tokens,
        );
        if chosen.is_none() {
            continue;
        }
        if engine.accepts(KV_TOKENS) {
            // Requests end one after the other.
            let end_ms = now_ms + RUN_MS + (placed * 331) % 1_000;
            engine.running.push((end_ms, KV_TOKENS));
            placed += 1;
        } else {
            rejected += 1;
            records.record_outcome(&id, Outcome::Full, TimeMs(now_ms));
            records.record_out_of_memory(&id, held + KV_TOKENS, TimeMs(now_ms));
        }
    }
    // Six fit at a time, each for two and a half seconds.
    assert!(placed >= 6 * 20 * 8 / 25, "{placed} placed");
    assert!(
        rejected * 4 <= placed,
        "{rejected} rejected, {placed} placed"
    );
}

#[test]
fn room_comes_back() {
    let id: Arc<str> = "e1".into();
    let mut records = UpstreamHealth::default();
    records.record_out_of_memory(&id, 20_000, TimeMs(0));
    assert_eq!(records.available_kv_tokens("e1", 28_000, TimeMs(0)), 19_000);
    assert_eq!(
        records.available_kv_tokens("e1", 28_000, TimeMs(60_000)),
        28_000
    );
    // One that rejects without any load is tried again all the same.
    records.record_out_of_memory(&id, 0, TimeMs(60_000));
    assert_eq!(
        records.available_kv_tokens("e1", 28_000, TimeMs(60_000)),
        7_000
    );
    assert_eq!(
        records.available_kv_tokens("e2", 28_000, TimeMs(60_000)),
        28_000
    );
}
