//! Which peers a node presumes to be alive, and which share of its calls they answer.

use dogwoodpier_core::TimeMs;
use dogwoodpier_node::peers::Members;
use dogwoodpier_proto::NodeId;
use dogwoodpier_proto::NodeInfo;

const TIMEOUT_MS: u64 = 3_000;
const START: TimeMs = TimeMs(1_000_000);

fn info(instance: &str, incarnation: u64) -> NodeInfo {
    NodeInfo {
        id: Some(NodeId {
            instance: instance.to_owned(),
            incarnation,
        }),
        peer_address: "127.0.0.1:1".to_owned(),
        data_centre: "dc1".to_owned(),
        draining: false,
    }
}

fn names(members: &Members, now: TimeMs) -> Vec<String> {
    let alive = members.alive(now).into_iter();
    alive
        .filter_map(|info| info.id.map(|id| id.instance))
        .collect()
}

#[test]
fn listed_member_is_alive_until_call_fails() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    members.update_listed(vec![info("a", 0), info("b", 0)], START);
    assert_eq!(names(&members, START), ["a", "b"]);
    members.record_call("a", false, START.after(1));
    assert_eq!(names(&members, START.after(1)), ["b"]);
    members.record_heartbeat(info("a", 7), START.after(2));
    assert_eq!(names(&members, START.after(2)), ["a", "b"]);
}

#[test]
fn draining_member_is_not_alive() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    let draining = NodeInfo {
        draining: true,
        ..info("a", 7)
    };
    members.record_heartbeat(draining, START);
    assert!(names(&members, START).is_empty());
}

#[test]
fn new_member_survives_lagging_list() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    members.record_registration(info("a", 7), START);
    members.update_listed(vec![], START.after(10_000));
    assert!(members.may_be_running(7, TIMEOUT_MS, START.after(10_000)));
    members.update_listed(vec![], START.after(60_000));
    assert!(!members.may_be_running(7, TIMEOUT_MS, START.after(60_000)));
}

#[test]
fn replaced_incarnation_is_dead() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    members.record_heartbeat(info("a", 7), START);
    assert!(members.may_be_running(7, TIMEOUT_MS, START));
    members.record_heartbeat(info("a", 8), START.after(1));
    assert!(!members.may_be_running(7, TIMEOUT_MS, START.after(1)));
    assert!(members.may_be_running(8, TIMEOUT_MS, START.after(1)));
}

#[test]
fn silent_incarnation_is_dead_only_after_failed_call() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    members.record_heartbeat(info("a", 7), START);
    members.update_listed(vec![info("a", 0)], START);
    let later = START.after(60_000);
    assert!(members.may_be_running(7, TIMEOUT_MS, later));
    members.record_call("a", false, later);
    assert!(!members.may_be_running(7, TIMEOUT_MS, later));
}

#[test]
fn reach_counts_answered_share_of_recent_calls() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    assert_eq!(members.answered_share(START), None);
    members.update_listed(vec![info("a", 0), info("b", 0)], START);
    members.record_call("a", true, START);
    members.record_call("b", false, START);
    assert_eq!(members.answered_share(START), Some(0.5));
    assert_eq!(members.answered_share(START.after(TIMEOUT_MS + 1)), None);
}

#[test]
fn node_is_not_its_own_peer() {
    let mut members = Members::new("own".into(), TIMEOUT_MS);
    members.record_heartbeat(info("own", 7), START);
    members.add_known(info("own", 7), START);
    members.record_registration(info("own", 7), START);
    members.update_listed(vec![info("own", 0)], START);
    assert!(members.all().is_empty());
}
