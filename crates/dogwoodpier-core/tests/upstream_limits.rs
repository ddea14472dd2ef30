//! Tests of the rate limits that upstreams name: what is observed of them, and the permits that the
//! fleet issues.

mod common;
#[path = "common/members.rs"]
mod members;

use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::permits::Permits;
use dogwoodpier_core::gateway::quota::Membership;
use dogwoodpier_core::gateway::upstream_limits::ReportedLimit;
use dogwoodpier_core::gateway::upstream_limits::UpstreamLimits;
use dogwoodpier_core::gateway::upstreams::Upstream;

use self::members::Members;

const UPSTREAM: &str = "i-1";
// Window over which operators measure, and what they tolerate: one and a half times the limit, and
// a number of requests.
const WINDOW_MS: u64 = 4_000;
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

/// Instances that ask the instance which they consider the owner for permits.
struct Fleet {
    members: Members,
    permits: Vec<Permits>,
    // Times at which requests were sent.
    sent_ms: Vec<u64>,
}

impl Fleet {
    fn new(size: usize, delay_ms: u64) -> Self {
        Self {
            members: Members::new(size, delay_ms),
            permits: (0..size).map(|_| Permits::default()).collect(),
            sent_ms: Vec::new(),
        }
    }

    fn request(
        &mut self,
        instance: usize,
        limit_per_s: f64,
        max_wait_ms: u64,
        now_ms: u64,
        partition_at: Option<usize>,
    ) {
        let now = TimeMs(now_ms);
        let owner = self
            .members
            .reachable_owner(instance, UPSTREAM, now, partition_at);
        if let Some(owner) = owner {
            self.request_from(owner, limit_per_s, max_wait_ms, now_ms);
        }
    }

    // Returns whether a permit was issued.
    fn request_from(
        &mut self,
        owner: usize,
        limit_per_s: f64,
        max_wait_ms: u64,
        now_ms: u64,
    ) -> bool {
        let now = TimeMs(now_ms);
        let membership = self.members.membership(owner, now);
        let permits = &mut self.permits[owner];
        let id: Arc<str> = UPSTREAM.into();
        let decision = permits.request(&id, limit_per_s, max_wait_ms, membership, now);
        if let PermitDecision::Granted { wait_ms } = decision {
            self.sent_ms.push(now_ms + wait_ms);
            return true;
        }
        false
    }

    fn most_sent_in_window(&self) -> usize {
        let windows = self.sent_ms.iter().map(|from_ms| {
            let window = *from_ms..from_ms + WINDOW_MS;
            self.sent_ms.iter().filter(|at| window.contains(at)).count()
        });
        windows.max().unwrap_or(0)
    }
}

fn tolerated(limit_per_s: f64) -> usize {
    let limit = limit_per_s * WINDOW_MS as f64 / 1_000.0;
    (limit * TOLERANCE_FACTOR + TOLERANCE_REQUESTS) as usize
}

proptest! {
    #![proptest_config(common::config(0x6c69_6d69, 48))]

    // Many times the limit is requested, spread unevenly over the instances, while reports are delayed
    // and the fleet may be partitioned in two.
    #[test]
    fn permits_stay_within_the_limit(
        size in 1_usize..9,
        delay_ms in 1_u64..120,
        limit_per_s in 0.5_f64..40.0,
        max_wait_ms in 0_u64..400,
        partition in proptest::option::of((0_u64..15_000, 500_u64..8_000)),
        picks in proptest::collection::vec(0_usize..64, 200),
    ) {
        let mut fleet = Fleet::new(size, delay_ms);
        for step in 0..4_000_u64 {
            let now_ms = step * 5;
            let partition_at = partition
                .filter(|(from_ms, for_ms)| (*from_ms..from_ms + for_ms).contains(&now_ms))
                .map(|_| size / 2);
            fleet.members.step(now_ms, partition_at);
            // Squaring prefers low numbers.
            let pick = picks[step as usize % picks.len()];
            let instance = pick * pick / 64 % size;
            fleet.request(instance, limit_per_s, max_wait_ms, now_ms, partition_at);
        }
        let most = fleet.most_sent_in_window();
        let tolerated = tolerated(limit_per_s);
        prop_assert!(most <= tolerated, "{} requests, tolerated {}", most, tolerated);
        if partition.is_none() {
            let limit = limit_per_s * 20.0;
            let sent = fleet.sent_ms.len();
            prop_assert!(sent as f64 >= limit * 0.8 - 2.0, "{} requests of {}", sent, limit);
        }
    }

    // The upstream changes its limit every second.
    #[test]
    fn permits_follow_changes_of_the_limit(
        limits_per_s in proptest::collection::vec(1.0_f64..30.0, 12),
        max_wait_ms in 0_u64..400,
    ) {
        let mut permits = Permits::default();
        let id: Arc<str> = UPSTREAM.into();
        let mut granted_ms = Vec::new();
        for now_ms in (0..12_000_u64).step_by(5) {
            let limit_per_s = limits_per_s[now_ms as usize / 1_000];
            let now = TimeMs(now_ms);
            let decision = permits.request(&id, limit_per_s, max_wait_ms, Membership::ALONE, now);
            if decision != (PermitDecision::Granted { wait_ms: 0 }) {
                continue;
            }
            granted_ms.push(now_ms);
        }
        for second in 0..8 {
            let window = second as u64 * 1_000..second as u64 * 1_000 + WINDOW_MS;
            let granted = granted_ms.iter().filter(|at| window.contains(at)).count();
            let allowed: f64 = limits_per_s[second..second + 4].iter().sum();
            prop_assert!(granted as f64 <= allowed + 30.0 / 4.0 + 1.0, "{} of {}", granted, allowed);
        }
    }
}

// With 300 instances, an equal share of the limit is one request in a minute.
#[test]
fn hundreds_of_instances_use_the_whole_limit() {
    const LIMIT_PER_S: f64 = 5.0;
    let mut fleet = Fleet::new(300, 40);
    for step in 0..400_u64 {
        let now_ms = step * 25;
        fleet.members.step(now_ms, None);
        fleet.request(step as usize * 7 % 300, LIMIT_PER_S, 0, now_ms, None);
    }
    let sent = fleet.sent_ms.len();
    assert!((42..=51).contains(&sent), "{sent} requests in 10 s");
}

// The owner answers so slowly that half of the instances have turned to its successor, while all of
// them still receive its reports.
#[test]
fn two_issuers_stay_within_the_limit() {
    const LIMIT_PER_S: f64 = 5.0;
    const DELAY_MS: u64 = 100;
    let mut fleet = Fleet::new(4, 20);
    let mut notices: Vec<(u64, usize)> = Vec::new();
    for now_ms in (0..20_000_u64).step_by(10) {
        fleet.members.step(now_ms, None);
        for (_, issuer) in notices.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            let now = TimeMs(now_ms);
            let membership = fleet.members.membership(issuer, now);
            let permits = &mut fleet.permits[issuer];
            permits.record_issued(&UPSTREAM.into(), LIMIT_PER_S, membership, now);
        }
        for issuer in 0..2 {
            if fleet.request_from(issuer, LIMIT_PER_S, 0, now_ms) {
                notices.push((now_ms + DELAY_MS, 1 - issuer));
            }
        }
    }
    let most = fleet.most_sent_in_window();
    let tolerated = tolerated(LIMIT_PER_S);
    assert!(most <= tolerated, "{most} requests, tolerated {tolerated}");
    let sent = fleet.sent_ms.len();
    assert!((95..=115).contains(&sent), "{sent} requests in 20 s");
}

#[test]
fn permits_are_issued_in_turn() {
    let mut permits = Permits::default();
    let id: Arc<str> = UPSTREAM.into();
    let mut request = |max_wait_ms, now_ms| {
        permits.request(&id, 10.0, max_wait_ms, Membership::ALONE, TimeMs(now_ms))
    };
    let granted = |wait_ms| PermitDecision::Granted { wait_ms };
    assert_eq!(request(250, 0), granted(100));
    assert_eq!(request(250, 0), granted(200));
    // The third would have to wait longer than it can.
    let denied = PermitDecision::Denied {
        retry_after_ms: 300,
    };
    assert_eq!(request(250, 0), denied);
    assert_eq!(request(250, 60), granted(240));
    assert_eq!(request(0, 400), granted(0));
    // A pause saves up a quarter of a second at most.
    assert_eq!(request(0, 60_000), granted(0));
    assert_eq!(request(0, 60_000), granted(0));
    assert_eq!(request(60, 60_000), granted(50));
}

#[test]
fn unusable_limits_allow_a_request_now_and_then() {
    for limit_per_s in [0.0, -1.0, f64::NAN, f64::NEG_INFINITY] {
        let mut fleet = Fleet::new(2, 5);
        for step in 0..4_000_u64 {
            fleet.members.step(step * 5, None);
            fleet.request(step as usize % 2, limit_per_s, 0, step * 5, None);
        }
        let sent = fleet.sent_ms.len();
        assert!((4..=5).contains(&sent), "{limit_per_s}: {sent} in 20 s");
    }
}

fn upstream(started_unix_ms: u64) -> Upstream {
    Upstream {
        id: UPSTREAM.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        software_version: "v1".into(),
        slots: 6,
        accepts_work: true,
        stage: None,
        started_unix_ms: Some(started_unix_ms),
    }
}

fn reported(limit_per_s: Option<f64>, age_ms: u64) -> ReportedLimit {
    ReportedLimit {
        started_unix_ms: Some(1),
        limit_per_s,
        age_ms,
    }
}

#[test]
fn only_later_request_ends_limit() {
    let mut limits = UpstreamLimits::default();
    let upstream = upstream(1);
    assert!(!limits.record_no_limit(&upstream, TimeMs(50)));
    assert!(limits.record_limit(&upstream, 4.7, TimeMs(100)));
    assert!(!limits.record_limit(&upstream, 4.7, TimeMs(200)));
    // The request was sent before the limit was last named.
    assert!(!limits.record_no_limit(&upstream, TimeMs(150)));
    assert_eq!(limits.limit_per_s(&upstream), Some(4.7));
    assert!(limits.record_no_limit(&upstream, TimeMs(201)));
    assert_eq!(limits.limit_per_s(&upstream), None);
}

#[test]
fn latest_report_counts() {
    let mut limits = UpstreamLimits::default();
    let upstream = upstream(1);
    assert!(limits.record_report(&upstream, reported(Some(5.0), 100), TimeMs(1_000)));
    // An older report of another peer.
    assert!(!limits.record_report(&upstream, reported(Some(9.0), 400), TimeMs(1_100)));
    assert!(!limits.record_report(&upstream, reported(None, 400), TimeMs(1_100)));
    assert_eq!(limits.limit_per_s(&upstream), Some(5.0));
    assert!(limits.record_limit(&upstream, 4.0, TimeMs(1_200)));
    assert!(!limits.record_report(&upstream, reported(Some(5.0), 100), TimeMs(1_250)));
    assert!(limits.record_report(&upstream, reported(None, 10), TimeMs(1_300)));
    assert_eq!(limits.limit_per_s(&upstream), None);
}

// What a peer has observed is not passed on, nor is an observation of this instance's own that a
// peer's has replaced.
#[test]
fn only_own_latest_observations_are_reported() {
    let mut limits = UpstreamLimits::default();
    let upstream = upstream(1);
    limits.record_report(&upstream, reported(Some(5.0), 0), TimeMs(1_000));
    assert!(limits.reports(TimeMs(1_000)).is_empty());
    limits.record_limit(&upstream, 5.0, TimeMs(2_000));
    let expected = reported(Some(5.0), 500);
    assert_eq!(limits.reports(TimeMs(2_500))[UPSTREAM], expected);
    limits.record_report(&upstream, reported(Some(5.0), 0), TimeMs(3_000));
    assert!(limits.reports(TimeMs(3_000)).is_empty());
    limits.record_no_limit(&upstream, TimeMs(4_000));
    assert_eq!(limits.reports(TimeMs(4_100))[UPSTREAM], reported(None, 100));
    // The end of a limit is reported for a time only.
    assert!(limits.reports(TimeMs(60_000)).is_empty());
}

#[test]
fn limit_ends_with_its_incarnation() {
    let mut limits = UpstreamLimits::default();
    limits.record_limit(&upstream(1), 5.0, TimeMs(100));
    assert_eq!(limits.limit_per_s(&upstream(2)), None);
    assert!(!limits.record_report(&upstream(2), reported(Some(5.0), 0), TimeMs(200)));
    assert!(limits.record_limit(&upstream(2), 3.0, TimeMs(300)));
    assert_eq!(limits.limit_per_s(&upstream(2)), Some(3.0));
}

#[test]
fn denied_upstream_is_withheld_while_it_is_limited() {
    let mut limits = UpstreamLimits::default();
    let upstream = upstream(1);
    limits.record_limit(&upstream, 5.0, TimeMs(100));
    limits.withhold(&upstream, TimeMs(300));
    assert_eq!(limits.withheld_ms(&upstream, TimeMs(120)), 180);
    assert_eq!(limits.withheld_ms(&upstream, TimeMs(300)), 0);
    limits.record_no_limit(&upstream, TimeMs(150));
    assert_eq!(limits.withheld_ms(&upstream, TimeMs(160)), 0);
}
