//! Learned speeds and output lengths: wrong figures are bounded, lost ones are learned again, and
//! neither takes more than a bounded memory.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::cost::CostModel;
use dogwoodpier_core::gateway::cost_placement::CostSelector;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::speed::ObservedSpeed;
use dogwoodpier_core::gateway::speed::StatedLoad;
use dogwoodpier_core::gateway::speed::UpstreamSpeeds;
use dogwoodpier_core::gateway::speed_samples::SampleOutbox;
use dogwoodpier_core::gateway::speed_samples::SeenSpeed;
use dogwoodpier_core::gateway::upstreams::Stage;
use dogwoodpier_core::gateway::upstreams::Upstream;

fn stated(slowness: f64) -> StatedLoad {
    StatedLoad {
        running: 1,
        waiting: 0,
        slots: 12,
        slowness: Some(slowness),
    }
}

fn observed(unit_ms: f64, slowness: Option<f64>) -> ObservedSpeed {
    ObservedSpeed {
        unit_ms,
        slowness,
        count: 1,
    }
}

fn engine(id: &str, requests: u32, kv_tokens: u64) -> Candidate {
    let upstream = Upstream {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        software_version: "v1".into(),
        slots: 12,
        accepts_work: true,
        stage: Some(Stage::Decode),
        started_unix_ms: None,
    };
    Candidate {
        upstream: Arc::new(upstream),
        load: UpstreamLoad {
            requests,
            prefill_tokens: 0,
            kv_tokens,
        },
    }
}

// Returns how slow an upstream counts next to three usual ones.
fn slowness(speeds: &UpstreamSpeeds, id: &str, now_ms: u64) -> f64 {
    let ids: [Arc<str>; 4] = ["a".into(), "b".into(), "c".into(), id.into()];
    let median_unit_ms = speeds.median_unit_ms(&ids);
    speeds.slowness(id, median_unit_ms, 1.0, TimeMs(now_ms))
}

fn with_usual_upstreams() -> UpstreamSpeeds {
    let mut speeds = UpstreamSpeeds::default();
    for id in ["a", "b", "c"] {
        for step in 0..10 {
            speeds.record_observed(&id.into(), observed(10.0, None), TimeMs(step * 100));
        }
    }
    speeds
}

// A permanently slow engine must count as slow after a few requests, not only after the first stated
// slowdown.
#[test]
fn speed_is_learned_within_five_requests() {
    let mut speeds = with_usual_upstreams();
    assert_eq!(slowness(&speeds, "slow", 1_000), 1.0);
    for step in 0..5 {
        let now = TimeMs(1_000 + step * 200);
        speeds.record_observed(&"slow".into(), observed(24.0, None), now);
    }
    let learned = slowness(&speeds, "slow", 2_000);
    assert!((2.0..=2.4).contains(&learned), "{learned}");
}

// One stalled request, the first or a later one, must not count as a slow upstream for long.
#[test]
fn single_outlier_is_forgotten() {
    for before in [0, 10] {
        let mut speeds = with_usual_upstreams();
        let mut record = |unit_ms, count| {
            for _ in 0..count {
                speeds.record_observed(&"d".into(), observed(unit_ms, None), TimeMs(1_000));
            }
        };
        record(10.0, before);
        record(400.0, 1);
        record(10.0, 8);
        let counted = slowness(&speeds, "d", 1_000);
        assert!(counted < 1.6, "after {before} usual ones: {counted}");
    }
}

// A figure from a slowdown that has passed must not keep requests away.
#[test]
fn stated_figure_fades_with_age() {
    let mut speeds = with_usual_upstreams();
    let service: Arc<str> = "engines".into();
    for step in 0..50 {
        speeds.record_stated(&service, &"a".into(), stated(1.0), TimeMs(step * 20));
    }
    speeds.record_stated(&service, &"a".into(), stated(2.5), TimeMs(1_000));
    let fresh = slowness(&speeds, "a", 1_000);
    let old = slowness(&speeds, "a", 3_000);
    assert!(fresh > 2.0, "{fresh}");
    assert!(old < 1.15, "{old}");
    // An older figure that arrives late is ignored.
    speeds.record_stated(&service, &"a".into(), stated(0.2), TimeMs(900));
    assert_eq!(slowness(&speeds, "a", 1_000), fresh);
}

// A service whose upstreams state only their load is served as before.
#[test]
fn load_without_slowness_does_not_enable_placement_by_cost() {
    let mut speeds = UpstreamSpeeds::default();
    let service: Arc<str> = "engines".into();
    let load = StatedLoad {
        slowness: None,
        ..stated(1.0)
    };
    assert!(!speeds.record_stated(&service, &"a".into(), load, TimeMs(0)));
    assert!(!speeds.is_stated("engines", TimeMs(0)));
    assert!(speeds.record_stated(&service, &"a".into(), stated(1.0), TimeMs(1)));
    assert!(speeds.is_stated("engines", TimeMs(1)));
    assert!(!speeds.is_stated("others", TimeMs(1)));
    assert!(!speeds.is_stated("engines", TimeMs(400_000)));
}

#[test]
fn malformed_figures_are_bounded_or_ignored() {
    let mut speeds = with_usual_upstreams();
    let service: Arc<str> = "engines".into();
    for wrong in [1.0, f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        speeds.record_stated(&service, &"d".into(), stated(wrong), TimeMs(1_000));
        speeds.record_observed(&"d".into(), observed(wrong, Some(wrong)), TimeMs(1_000));
        let counted = slowness(&speeds, "d", 1_000);
        assert!((0.1..=10.0).contains(&counted), "{wrong}: {counted}");
    }
    let merged = observed(f64::NAN, None).merge(observed(1.0, None));
    speeds.record_observed(&"e".into(), merged, TimeMs(1_000));
    assert_eq!(slowness(&speeds, "e", 1_000), 1.0);
}

#[test]
fn memory_is_bounded() {
    let mut speeds = UpstreamSpeeds::default();
    for number in 0..9_000_u64 {
        let id = format!("u{number}").into();
        speeds.record_observed(&id, observed(1.0, None), TimeMs(number));
    }
    assert_eq!(speeds.len(), 8_800);
    let mut costs = CostModel::default();
    for number in 0..4_500 {
        let workspace = format!("w{number}").into();
        costs.record(&"chat".into(), Some(&workspace), 100, 100);
    }
    assert_eq!(costs.len(), 4_000);
}

// A fast engine must never be given more KV memory than a slow one could be.
#[test]
fn fast_engine_gets_no_more_memory() {
    let mut speeds = with_usual_upstreams();
    for step in 0..20 {
        speeds.record_observed(&"fast".into(), observed(4.0, None), TimeMs(step * 100));
    }
    let health = UpstreamHealth::default();
    for draw in (0..=u64::MAX).step_by(1 << 59) {
        let by_cost = CostSelector {
            selector: Selector {
                data_centre: "a",
                health: &health,
                now: TimeMs(2_000),
            },
            speeds: &speeds,
            draw,
        };
        let engines = [
            engine("fast", 3, 95_000),
            engine("full", 12, 0),
            engine("a", 9, 0),
        ];
        let select = |engines| by_cost.select_decode(engines, 10_000, 100_000, 200.0);
        assert_eq!(select(&engines), Some(2));
        assert_eq!(select(&engines[..2]), None);
    }
}

// Records requests that state an output of 100 tokens.
fn record_many(costs: &mut CostModel, workspace: &str, output_tokens: u64, count: usize) {
    for _ in 0..count {
        costs.record(&"chat".into(), Some(&workspace.into()), 100, output_tokens);
    }
}

fn expected_output(costs: &CostModel, workspace: &str, stated_tokens: u64) -> f64 {
    let workspace = workspace.into();
    let cost = costs.expect(&"chat".into(), Some(&workspace), 100, stated_tokens);
    cost.expect("the route is known").output_tokens
}

#[test]
fn output_lengths_are_learned_by_workspace() {
    let mut costs = CostModel::default();
    assert_eq!(costs.expect(&"chat".into(), None, 100, 1_000), None);
    record_many(&mut costs, "long", 800, 40);
    record_many(&mut costs, "short", 20, 40);
    let long = expected_output(&costs, "long", 100);
    let short = expected_output(&costs, "short", 100);
    let unseen = expected_output(&costs, "unseen", 100);
    assert!(long > unseen && unseen > short, "{long} {unseen} {short}");
}

// A workspace whose requests write what they state must not be given more memory than they state.
#[test]
fn right_lengths_are_not_raised() {
    let mut costs = CostModel::default();
    record_many(&mut costs, "right", 100, 40);
    for stated_tokens in [1, 50, 4_000] {
        let expected = expected_output(&costs, "right", stated_tokens);
        assert!(expected <= stated_tokens as f64, "{expected}");
    }
}

// Lengths that jump tenfold must be expected after some twenty requests.
#[test]
fn tenfold_jump_is_learned() {
    let mut costs = CostModel::default();
    record_many(&mut costs, "firm", 100, 100);
    let before = expected_output(&costs, "firm", 100);
    record_many(&mut costs, "firm", 1_000, 20);
    let after = expected_output(&costs, "firm", 100);
    assert!(after > before * 4.0, "{before} {after}");
    // Extreme lengths are bounded.
    record_many(&mut costs, "firm", u64::MAX, 100);
    assert!(expected_output(&costs, "firm", 100) < 10_000.0);
}

// A broker must not receive more messages in a larger fleet, and no engine may be left out for good
// when an instance sees more engines than fit into a message.
#[test]
fn samples_are_sent_at_a_bounded_rate_and_in_turn() {
    for (members, most) in [(1_u32, 1_200), (82, 15), (550, 3)] {
        let mut outbox = SampleOutbox::default();
        let (mut messages, mut sent, mut observations) = (0, [0_u32; 20], 0);
        for now_ms in (0..60_000_u64).step_by(10) {
            for engine in 0..20 {
                let seen = SeenSpeed {
                    stated: None,
                    observed: Some(observed(10.0, None)),
                };
                outbox.add(&format!("e{engine:02}").into(), seen);
            }
            let samples = outbox.take(members, TimeMs(now_ms));
            messages += u32::from(!samples.is_empty());
            assert!(samples.len() <= 8, "{}", samples.len());
            for sample in samples {
                let engine: usize = sample.upstream[1..].parse().unwrap();
                sent[engine] += 1;
                observations += u32::from(sample.observed.unwrap().count);
            }
        }
        assert!(messages <= most, "{members} members: {messages} messages");
        let (fewest, most) = (sent.iter().min(), sent.iter().max());
        assert!(most.unwrap() - fewest.unwrap() <= 1, "{members}: {sent:?}");
        assert!(observations > messages, "{observations} in {messages}");
    }
}
