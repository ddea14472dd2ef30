//! Guards against requests to upstreams that have left, after the store was restored from a copy that
//! still has their entries.

use std::net::SocketAddr;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::upstreams::Upstream;
use dogwoodpier_core::gateway::upstreams::Upstreams;

const HELD_BACK_DEADLINE_MS: TimeMs = TimeMs(6_000);

fn upstream(id: &str, started_unix_ms: u64) -> Upstream {
    Upstream {
        id: id.into(),
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "a".into(),
        software_version: "v1".into(),
        slots: 8,
        accepts_work: true,
        stage: None,
        started_unix_ms: Some(started_unix_ms),
    }
}

fn available(upstreams: &Upstreams) -> Vec<&str> {
    let available = upstreams.available("desk");
    available.map(|upstream| &*upstream.id).collect()
}

// Two upstreams, of which one has left, and a listing of before.
fn restored() -> Upstreams {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(upstream("gone", 1));
    upstreams.upsert(upstream("there", 1));
    upstreams.remove("gone", None);
    upstreams.replace(
        [upstream("gone", 1), upstream("there", 1)],
        None,
        Some(HELD_BACK_DEADLINE_MS),
    );
    upstreams
}

#[test]
fn gone_upstream_is_held_back() {
    let mut upstreams = restored();
    assert_eq!(available(&upstreams), ["there"]);
    // Another listing of the same era says nothing new.
    upstreams.replace([upstream("gone", 1), upstream("there", 1)], None, None);
    assert_eq!(available(&upstreams), ["there"]);
    // Peers must not take it for draining, which it might never cease to be.
    assert!(upstreams.draining().is_empty());
}

#[test]
fn changed_entry_is_accepted() {
    let mut upstreams = restored();
    upstreams.upsert(Upstream {
        slots: 9,
        ..upstream("gone", 1)
    });
    assert_eq!(available(&upstreams), ["gone", "there"]);
}

#[test]
fn entry_that_stays_is_accepted_later() {
    let mut upstreams = restored();
    assert!(
        upstreams
            .expire(TimeMs(HELD_BACK_DEADLINE_MS.0 - 1))
            .is_empty()
    );
    assert_eq!(available(&upstreams), ["there"]);
    assert!(upstreams.expire(HELD_BACK_DEADLINE_MS).is_empty());
    assert_eq!(available(&upstreams), ["gone", "there"]);
}

#[test]
fn removed_entry_stays_gone() {
    let mut upstreams = restored();
    upstreams.remove("gone", None);
    upstreams.expire(HELD_BACK_DEADLINE_MS);
    assert_eq!(available(&upstreams), ["there"]);
}

#[test]
fn other_incarnation_is_accepted() {
    let mut upstreams = restored();
    upstreams.replace(
        [upstream("gone", 2), upstream("there", 1)],
        None,
        Some(HELD_BACK_DEADLINE_MS),
    );
    assert_eq!(available(&upstreams), ["gone", "there"]);
}

// An entry that has lapsed is back once its upstream reaches the store again.
#[test]
fn entry_that_returns_without_restore_is_accepted() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(upstream("lapsed", 1));
    upstreams.remove("lapsed", None);
    upstreams.upsert(upstream("lapsed", 1));
    assert_eq!(available(&upstreams), ["lapsed"]);
}

// It had left and came back before the store was restored.
#[test]
fn upstream_that_came_back_is_not_held_back() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(upstream("back", 1));
    upstreams.remove("back", None);
    upstreams.upsert(upstream("back", 1));
    upstreams.replace([upstream("back", 1)], None, Some(HELD_BACK_DEADLINE_MS));
    assert_eq!(available(&upstreams), ["back"]);
}

// It was draining when the store was restored from a copy of before.
#[test]
fn draining_upstream_in_copy_stays_draining() {
    let mut upstreams = Upstreams::default();
    upstreams.upsert(Upstream {
        accepts_work: false,
        ..upstream("draining", 1)
    });
    upstreams.replace([upstream("draining", 1)], None, Some(HELD_BACK_DEADLINE_MS));
    assert!(available(&upstreams).is_empty());
    upstreams.expire(HELD_BACK_DEADLINE_MS);
    assert!(available(&upstreams).is_empty());
}
