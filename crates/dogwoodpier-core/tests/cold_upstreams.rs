//! Tests of cold upstreams: what is known of them, and that all instances together keep to the rate
//! that a cold upstream accepts.

#[path = "common/cold_fleet.rs"]
mod cold_fleet;
#[path = "common/cold_scenario.rs"]
mod cold_scenario;
mod common;

use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::cold_upstreams::ColdUpstreams;
use dogwoodpier_core::gateway::cold_upstreams::EntryState;
use dogwoodpier_core::gateway::cold_upstreams::MAX_COLD_MS;
use dogwoodpier_core::gateway::cold_upstreams::ReportedCold;
use dogwoodpier_core::gateway::peer_reports::PeerReportOptions;
use dogwoodpier_core::gateway::peer_reports::PeerReports;
use dogwoodpier_core::gateway::permits::PermitDecision;
use dogwoodpier_core::gateway::permits::Permits;
use dogwoodpier_core::gateway::permits::SendLimit;
use dogwoodpier_core::gateway::quota::Membership;
use dogwoodpier_core::gateway::upstream_limits::UpstreamLimits;
use dogwoodpier_core::gateway::upstreams::Upstream;

use self::cold_fleet::ColdFleet;
use self::cold_scenario::Fault;
use self::cold_scenario::Scenario;
use self::cold_scenario::cold_start;
use self::cold_scenario::upstream;

const RATE_PER_S: f64 = 37.0;

// Guards against an upstream that crashes because the instances together send it more than it
// accepts while it is cold.
proptest! {
    #![proptest_config(common::config(0x636f_6c64, 96))]

    #[test]
    fn cold_upstream_gets_no_more_than_its_rate(
        size in 2_usize..9,
        rate_per_s in 4.0_f64..60.0,
        max_delay_ms in 1_u64..150,
        loss in 0.0_f64..0.25,
        duplication in 0.0_f64..0.2,
        faults in proptest::collection::vec(fault(), 0..4),
        seed in any::<u64>(),
        heartbeat_ms in 300_u64..1_500,
        has_pauses in any::<bool>(),
        has_joint_sends in any::<bool>(),
    ) {
        let scenario = Scenario {
            size,
            rate_per_s,
            max_delay_ms,
            loss,
            duplication,
            faults,
            seed,
            heartbeat_ms,
            has_pauses,
            has_joint_sends,
        };
        let mut fleet = ColdFleet::new(scenario);
        fleet.run();
        let most = fleet.most_in_a_second();
        let tolerated = rate_per_s * 1.5 + 5.0;
        prop_assert!((most as f64) < tolerated, "{} requests, tolerated {}", most, tolerated);
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let time = 0_u64..7_000;
    prop_oneof![
        (time.clone(), 300_u64..8_000, any::<bool>()).prop_map(|(from_ms, for_ms, one_way)| {
            Fault::Partition {
                from_ms,
                for_ms,
                one_way,
            }
        }),
        (time.clone(), 0_usize..8, 0_u64..2_000).prop_map(|(at_ms, instance, for_ms)| {
            Fault::Restart {
                at_ms,
                instance,
                for_ms,
            }
        }),
        (time.clone(), 0_u64..1_000)
            .prop_map(|(at_ms, for_ms)| Fault::RestartAll { at_ms, for_ms }),
        (time.clone(), 0_usize..8).prop_map(|(at_ms, instance)| Fault::Leave { at_ms, instance }),
        time.clone().prop_map(|at_ms| Fault::Join { at_ms }),
        (time.clone(), 300_u64..8_000)
            .prop_map(|(from_ms, for_ms)| Fault::StoreOutage { from_ms, for_ms }),
        time.prop_map(|at_ms| Fault::ColdAgain { at_ms }),
    ]
}

// Guards against a limit that holds only because almost nothing is sent.
#[test]
fn most_of_the_rate_is_used() {
    for size in [1, 4, 8, 82] {
        let mut fleet = ColdFleet::new(Scenario {
            size,
            rate_per_s: RATE_PER_S,
            max_delay_ms: 15,
            loss: 0.0,
            duplication: 0.0,
            faults: Vec::new(),
            seed: 1,
            heartbeat_ms: 300,
            has_pauses: false,
            has_joint_sends: false,
        });
        fleet.run();
        let most = fleet.most_in_a_second();
        assert!(
            most as f64 >= RATE_PER_S * 0.6,
            "{size}: {most} in a second"
        );
    }
}

fn cold() -> ColdUpstreams {
    let mut cold = ColdUpstreams::default();
    let services = [("desk".into(), cold_start(RATE_PER_S))];
    cold.configure(services.into(), &Arc::from("g1"));
    cold
}

fn entry(remaining_ms: u64, version: u64) -> EntryState {
    EntryState {
        remaining_ms: Some(remaining_ms),
        version,
        is_new: false,
        age_ms: None,
    }
}

fn rate(cold: &ColdUpstreams, upstream: &Upstream, now_ms: u64) -> Option<f64> {
    let limit = cold.limit(upstream, TimeMs(now_ms));
    limit.map(|limit| limit.rate_per_s)
}

// Guards against an upstream that gets its full share from all instances when its cold time ends.
#[test]
fn rate_grows_in_steps_after_the_cold_time() {
    let mut cold = cold();
    let upstream = upstream(1);
    assert!(cold.record_entry(&upstream, entry(3_000, 1), TimeMs(1_000)));
    assert_eq!(rate(&cold, &upstream, 3_999), Some(RATE_PER_S));
    assert_eq!(rate(&cold, &upstream, 4_000), Some(RATE_PER_S * 2.0));
    assert_eq!(rate(&cold, &upstream, 4_500), Some(RATE_PER_S * 4.0));
    assert_eq!(rate(&cold, &upstream, 5_500), None);
    let ends = (0..40).map(|instance| {
        let mut cold = ColdUpstreams::default();
        let services = [("desk".into(), cold_start(RATE_PER_S))];
        cold.configure(services.into(), &format!("g{instance}").into());
        cold.record_entry(&upstream, entry(3_000, 1), TimeMs(1_000));
        (5_000..=5_500)
            .find(|now_ms| rate(&cold, &upstream, *now_ms).is_none())
            .expect("the limit ends")
    });
    let ends: std::collections::BTreeSet<u64> = ends.collect();
    assert!(ends.len() > 20, "{} different ends", ends.len());
}

// Guards against a cold time that never ends because a listing repeats the same entry.
#[test]
fn repeated_entry_counts_once() {
    let mut cold = cold();
    let upstream = upstream(1);
    assert!(cold.record_entry(&upstream, entry(1_000, 7), TimeMs(0)));
    assert!(!cold.record_entry(&upstream, entry(1_000, 7), TimeMs(900)));
    assert_eq!(cold.remaining_ms(&upstream, TimeMs(900)), 100);
    assert!(!cold.record_entry(&upstream, entry(200, 8), TimeMs(900)));
    assert_eq!(cold.remaining_ms(&upstream, TimeMs(900)), 200);
}

// Guards against an entry that was written before a response and ends the cold time that the response
// has stated.
#[test]
fn entry_written_before_a_response_is_ignored() {
    let mut cold = cold();
    let upstream = upstream(1);
    assert!(cold.record_response(&upstream, 3_000, TimeMs(0)));
    assert!(!cold.record_entry(&upstream, entry(0, 1), TimeMs(1_000)));
    assert_eq!(cold.remaining_ms(&upstream, TimeMs(1_000)), 2_000);
    assert!(!cold.record_entry(&upstream, entry(0, 2), TimeMs(2_500)));
    assert_eq!(cold.remaining_ms(&upstream, TimeMs(2_500)), 0);
    // A response is never older than what is known.
    assert!(cold.record_response(&upstream, 3_000, TimeMs(3_000)));
    assert!(!cold.record_response(&upstream, 0, TimeMs(3_100)));
    assert_eq!(cold.remaining_ms(&upstream, TimeMs(3_100)), 0);
}

// Guards against requests at the full rate to an upstream that has started and not yet stated that it is
// cold.
#[test]
fn new_incarnation_is_presumed_cold() {
    let state = EntryState {
        remaining_ms: None,
        version: 1,
        is_new: true,
        age_ms: Some(100),
    };
    let mut cold = cold();
    assert!(cold.record_entry(&upstream(1), state, TimeMs(0)));
    assert_eq!(cold.remaining_ms(&upstream(1), TimeMs(1)), 2_999);
    // It states the end itself.
    assert!(!cold.record_entry(&upstream(1), entry(0, 2), TimeMs(500)));
    assert_eq!(cold.remaining_ms(&upstream(1), TimeMs(500)), 0);
    // An instance that starts must not take all upstreams for cold ones.
    let old = EntryState {
        age_ms: Some(60_000),
        ..state
    };
    let mut cold = ColdUpstreams::default();
    assert!(!cold.record_entry(&upstream(1), old, TimeMs(0)));
    // The configuration is read after the entry.
    let mut cold = ColdUpstreams::default();
    cold.record_entry(&upstream(2), state, TimeMs(0));
    let services = [("desk".into(), cold_start(RATE_PER_S))];
    cold.configure(services.into(), &Arc::from("g1"));
    assert_eq!(cold.remaining_ms(&upstream(2), TimeMs(1)), 2_999);
    assert_eq!(cold.remaining_ms(&upstream(3), TimeMs(1)), 0);
}

// Guards against requests at the full rate by an instance that knows of the restart from a peer only.
#[test]
fn report_of_a_later_incarnation_limits_the_earlier_one() {
    let mut cold = cold();
    let reported = ReportedCold {
        started_unix_ms: Some(2),
        remaining_ms: 3_000,
        age_ms: 10,
    };
    assert!(cold.record_report(&"i-1".into(), reported, TimeMs(100)));
    assert!(!cold.record_report(&"i-1".into(), reported, TimeMs(100)));
    assert_eq!(cold.remaining_ms(&upstream(1), TimeMs(100)), 3_000);
    // The entry of the earlier incarnation arrives late.
    assert!(!cold.record_entry(&upstream(1), entry(0, 1), TimeMs(200)));
    assert_eq!(cold.remaining_ms(&upstream(2), TimeMs(200)), 2_900);
    // What is known of the later incarnation is no longer news.
    assert!(!cold.record_entry(&upstream(2), entry(2_900, 2), TimeMs(200)));
    // What a peer has reported is not reported again.
    assert_eq!(cold.report("i-1", TimeMs(200)), None);
    cold.record_response(&upstream(2), 4_000, TimeMs(300));
    let news = cold.report("i-1", TimeMs(400)).expect("a longer time");
    assert_eq!((news.remaining_ms, news.age_ms), (3_900, 100));
    // An earlier incarnation no longer counts.
    let earlier = ReportedCold {
        started_unix_ms: Some(1),
        ..reported
    };
    assert!(!cold.record_report(&"i-1".into(), earlier, TimeMs(6_000)));
    assert_eq!(cold.remaining_ms(&upstream(3), TimeMs(200)), 0);
}

// Guards against an upstream whose cold times are ignored for good once its clock was set back.
#[test]
fn earlier_start_counts_after_a_time() {
    let mut cold = cold();
    assert!(cold.record_entry(&upstream(9), entry(1_000, 1), TimeMs(0)));
    assert!(!cold.record_entry(&upstream(2), entry(3_000, 2), TimeMs(2_000)));
    assert!(cold.record_entry(&upstream(2), entry(3_000, 3), TimeMs(3_200)));
    assert_eq!(cold.remaining_ms(&upstream(2), TimeMs(3_200)), 3_000);
}

// Guards against a limit in deployments that don't configure one, and against a time without end.
#[test]
fn only_configured_services_have_cold_upstreams() {
    let mut cold = ColdUpstreams::default();
    cold.record_entry(&upstream(1), entry(3_000, 1), TimeMs(0));
    assert_eq!(rate(&cold, &upstream(1), 1), None);
    assert_eq!(cold.remaining_ms(&upstream(1), TimeMs(1)), 0);
    let mut cold = self::cold();
    cold.record_entry(&upstream(1), entry(u64::MAX, 1), TimeMs(0));
    assert_eq!(cold.remaining_ms(&upstream(1), TimeMs(0)), MAX_COLD_MS);
}

// Guards against a named limit that a higher cold rate replaces, and the other way round.
#[test]
fn lower_limit_counts() {
    let mut limits = UpstreamLimits::default();
    let services = [("desk".into(), cold_start(RATE_PER_S))];
    limits.cold.configure(services.into(), &Arc::from("g1"));
    let upstream = upstream(1);
    assert_eq!(limits.send_limit(&upstream, TimeMs(0)), None);
    limits.record_limit(&upstream, 5.0, TimeMs(0));
    let named = SendLimit::from(5.0);
    assert_eq!(limits.send_limit(&upstream, TimeMs(0)), Some(named));
    limits
        .cold
        .record_entry(&upstream, entry(1_000, 1), TimeMs(0));
    let both = SendLimit::cold(5.0);
    assert_eq!(limits.send_limit(&upstream, TimeMs(0)), Some(both));
    limits.record_limit(&upstream, 90.0, TimeMs(1));
    let cold = SendLimit::cold(RATE_PER_S);
    assert_eq!(limits.send_limit(&upstream, TimeMs(1)), Some(cold));
}

// Guards against requests that were saved up during a pause and arrive beside those of the next second.
#[test]
fn pause_saves_up_few_permits_for_a_cold_upstream() {
    let mut permits = Permits::default();
    let id: Arc<str> = "i-1".into();
    let mut granted = 0;
    for now_ms in [0, 60_000] {
        granted = 0;
        let mut request = || {
            let limit = SendLimit::cold(100.0);
            permits.request(&id, limit, 0, Membership::ALONE, TimeMs(now_ms))
        };
        while request() == (PermitDecision::Granted { wait_ms: 0 }) {
            granted += 1;
        }
    }
    assert_eq!(granted, 5);
}

// Guards against a successor that issues permits while the owner has not noticed that it is cut off.
#[test]
fn silent_owner_is_replaced_after_it_has_noticed() {
    let mut peers = PeerReports::new(PeerReportOptions::default());
    peers.register(&"g1".into(), 1.0, TimeMs(0));
    let liveness_ms = peers.liveness_timeout_ms();
    let is_candidate = |now_ms| peers.sole_owner_candidates(TimeMs(now_ms)).count() == 1;
    assert!(is_candidate(liveness_ms + 1));
    assert!(is_candidate(liveness_ms * 2));
    assert!(!is_candidate(liveness_ms * 2 + 1));
    // Its part of the rate is not used until it is forgotten.
    let membership = peers.registered_membership(TimeMs(1_000_000));
    assert_eq!((membership.members, membership.reachable), (2, 1));
    peers.forget("g1");
    let membership = peers.registered_membership(TimeMs(1_000_000));
    assert_eq!(membership, Membership::ALONE);
}
