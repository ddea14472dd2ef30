//! Guards against an instance that takes upstreams for down while it has lost its own links, and
//! against one that gives up its links because a few upstreams are down.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::partition::Check;
use dogwoodpier_core::gateway::partition::PartitionDetector;

const KNOWN: usize = 9;

fn check(tried: usize, connected: usize) -> Check {
    Check { tried, connected }
}

#[test]
fn partition_begins_when_all_checked_upstreams_fail() {
    let mut detector = PartitionDetector::default();
    detector.record_connected(TimeMs(1_000));
    assert!(detector.needs_check(TimeMs(2_000)));
    assert!(detector.record_check(check(4, 0), KNOWN, TimeMs(2_000), TimeMs(2_150)));
    assert!(detector.is_partitioned());
    // It begins only once.
    assert!(!detector.record_check(check(4, 0), KNOWN, TimeMs(2_000), TimeMs(2_150)));
    assert!(detector.record_connected(TimeMs(9_000)));
    assert!(!detector.is_partitioned());
}

#[test]
fn upstreams_that_are_down_are_no_partition() {
    let mut detector = PartitionDetector::default();
    assert!(!detector.record_check(check(4, 1), KNOWN, TimeMs(2_000), TimeMs(2_150)));
    // One upstream alone proves nothing if there are more.
    assert!(!detector.record_check(check(1, 0), KNOWN, TimeMs(4_000), TimeMs(4_150)));
    assert!(!detector.is_partitioned());
    assert!(detector.record_check(check(1, 0), 1, TimeMs(6_000), TimeMs(6_150)));
}

#[test]
fn connection_during_a_check_refutes_it() {
    let mut detector = PartitionDetector::default();
    detector.record_connected(TimeMs(2_100));
    assert!(!detector.record_check(check(4, 0), KNOWN, TimeMs(2_000), TimeMs(2_150)));
    assert!(!detector.is_partitioned());
}

#[test]
fn checks_are_not_repeated_at_once() {
    let mut detector = PartitionDetector::default();
    detector.record_check(check(4, 3), KNOWN, TimeMs(2_000), TimeMs(2_002));
    assert!(!detector.needs_check(TimeMs(2_500)));
    assert!(detector.needs_check(TimeMs(3_100)));
}

#[test]
fn response_ends_silence() {
    let mut detector = PartitionDetector::default();
    assert!(detector.is_silent_since(TimeMs(1_000)));
    detector.record_response(TimeMs(1_200));
    assert!(!detector.is_silent_since(TimeMs(1_000)));
    assert!(detector.is_silent_since(TimeMs(1_300)));
}
