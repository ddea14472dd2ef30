//! Tests of the limits on what clients may have an instance hold.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::client_limits;
use dogwoodpier_core::gateway::client_limits::ByteLimits;
use dogwoodpier_core::gateway::client_limits::CONNECTION_BYTES;
use dogwoodpier_core::gateway::client_limits::Held;
use dogwoodpier_core::gateway::client_limits::Phase;
use dogwoodpier_core::gateway::client_limits::Progress;
use dogwoodpier_core::gateway::client_limits::ProgressLimits;
use dogwoodpier_core::gateway::client_limits::Purpose;

// The smallest instance.
const MEMORY_BYTES: usize = 88 << 20;
const DESCRIPTORS: usize = 3_075;
// Limit of the configuration, and the longest body of ordinary requests.
const MAX_BODY_BYTES: usize = 4_194_304;
const ORDINARY_BODY_BYTES: usize = 55_000;
const PIECE_BYTES: usize = 16_384;

const PHASES: [Phase; 5] = [
    Phase::Idle,
    Phase::Head,
    Phase::Body,
    Phase::Serving,
    Phase::Unread,
];

fn progress(phase: Phase, progress_ms: u64) -> Progress {
    Progress {
        phase,
        progress_ms: TimeMs(progress_ms),
        begun_ms: TimeMs(progress_ms),
    }
}

// Bodies of a crowd arrive piece by piece, in turns. Returns what is held once nobody is granted more.
fn held_by_crowd(limits: &ByteLimits, purpose: Purpose, clients: usize, body_bytes: usize) -> Held {
    let mut held = Held::default();
    let mut bodies = vec![0; clients];
    let mut is_growing = true;
    while is_growing {
        is_growing = false;
        for body in &mut bodies {
            let added = PIECE_BYTES.min(body_bytes - *body);
            if added > 0 && limits.grants(held, purpose, *body, added) {
                *held.bytes(purpose) += added;
                *body += added;
                is_growing = true;
            }
        }
    }
    held
}

// Bodies in transfer of 45 clients took 213 MB of an instance with 88 MB.
#[test]
fn crowds_of_bodies_stay_within_limits() {
    let limits = ByteLimits::of_memory(MEMORY_BYTES);
    for purpose in [Purpose::Request, Purpose::Response] {
        for body_bytes in [ORDINARY_BODY_BYTES, 1 << 20, MAX_BODY_BYTES] {
            let held = held_by_crowd(&limits, purpose, 2_000, body_bytes);
            assert!(held.total_bytes() <= limits.total_bytes, "{held:?}");
        }
    }
}

// Large bodies that are held must not have ordinary requests rejected.
#[test]
fn small_bodies_are_granted_while_large_ones_are_rejected() {
    let limits = ByteLimits::of_memory(MEMORY_BYTES);
    let mut held = Held {
        request_bytes: limits.request_bytes,
        response_bytes: limits.response_bytes,
    };
    assert!(!limits.grants(held, Purpose::Request, ORDINARY_BODY_BYTES, PIECE_BYTES));
    assert!(!limits.grants(held, Purpose::Response, MAX_BODY_BYTES, PIECE_BYTES));
    for _ in 0..90 {
        assert!(limits.grants(held, Purpose::Request, 0, ORDINARY_BODY_BYTES));
        held.request_bytes += ORDINARY_BODY_BYTES;
    }
}

// A limit must not be reached by one client within the limits of the configuration.
#[test]
fn single_request_is_granted_on_smallest_instance() {
    for memory_bytes in [32 << 20, MEMORY_BYTES] {
        let limits = ByteLimits::of_memory(memory_bytes);
        let held = Held::default();
        assert!(limits.grants(held, Purpose::Request, 0, MAX_BODY_BYTES));
        assert!(limits.grants(held, Purpose::Response, 0, 1 << 20));
        let held = Held {
            request_bytes: MAX_BODY_BYTES,
            response_bytes: 1 << 20,
        };
        assert!(!limits.are_short(held) || memory_bytes < MEMORY_BYTES);
    }
}

// All limits together must leave memory and descriptors for the process itself.
#[test]
fn limits_together_fit_the_instance() {
    for (memory_bytes, descriptors) in [
        (MEMORY_BYTES, DESCRIPTORS),
        (512 << 20, 10_250),
        (MEMORY_BYTES, 300),
    ] {
        let clients = client_limits::max_client_connections(memory_bytes, descriptors);
        let pages = client_limits::max_page_connections(descriptors);
        let bytes = ByteLimits::of_memory(memory_bytes).total_bytes + clients * CONNECTION_BYTES;
        assert!(bytes <= memory_bytes / 4 * 3, "{bytes} of {memory_bytes}");
        // Each request of a client uses a connection to an upstream.
        let used = 2 * client_limits::max_with_closing(clients)
            + 2 * client_limits::max_with_closing(pages)
            + client_limits::max_idle_upstream_connections(descriptors);
        assert!(used <= descriptors * 9 / 10, "{used} of {descriptors}");
    }
}

// A limit of 128 had a third more connections opened on a deployment with 140 engines, whose requests
// were later by a sixth.
#[test]
fn connections_to_all_upstreams_stay_open() {
    assert!(client_limits::max_idle_upstream_connections(DESCRIPTORS) >= 4 * 140);
}

// A request that an upstream may be running must not be cut to make room.
#[test]
fn least_useful_connection_is_closed_first() {
    let mut connections: Vec<(usize, Progress)> = Vec::new();
    for (number, phase) in PHASES.into_iter().cycle().take(50).enumerate() {
        connections.push((number, progress(phase, 1_000 - number as u64)));
    }
    let mut last_ms = 0;
    while let Some(closed) = client_limits::least_useful(connections.iter().copied()) {
        let index = connections.iter().position(|(number, _)| *number == closed);
        let (_, progress) = connections.swap_remove(index.expect("a listed connection"));
        assert_ne!(progress.phase, Phase::Serving);
        assert!(progress.progress_ms.0 >= last_ms, "{progress:?}");
        last_ms = progress.progress_ms.0;
    }
    assert_eq!(connections.len(), 10);
}

// A client that makes progress, or holds nothing, must not be closed for its bytes.
#[test]
fn only_stalled_bodies_are_closed_for_bytes() {
    let now = TimeMs(10_000);
    let open = [
        (1, progress(Phase::Idle, 0)),
        (2, progress(Phase::Serving, 0)),
        (3, progress(Phase::Body, 9_500)),
        (4, progress(Phase::Unread, 7_000)),
        (5, progress(Phase::Body, 7_900)),
    ];
    assert_eq!(client_limits::longest_stalled(open, 2_000, now), Some(4));
    let others = open.into_iter().filter(|(number, _)| *number != 4);
    assert_eq!(client_limits::longest_stalled(others, 2_000, now), Some(5));
    let others = open.into_iter().filter(|(number, _)| *number < 4);
    assert_eq!(client_limits::longest_stalled(others, 2_000, now), None);
}

// Bodies that arrive very slowly filled the reserve, and ordinary requests found no room.
#[test]
fn oldest_body_is_closed_for_small_requests() {
    let now = TimeMs(10_000);
    let body = |begun_ms| Progress {
        begun_ms: TimeMs(begun_ms),
        ..progress(Phase::Body, 9_990)
    };
    let open = [(1, body(9_500)), (2, body(3_000)), (3, body(2_000))];
    assert_eq!(client_limits::longest_stalled(open, 2_000, now), None);
    assert_eq!(client_limits::oldest_body(open, 2_000, now), Some(3));
    let serving = [(1, body(9_500)), (2, progress(Phase::Serving, 0))];
    assert_eq!(client_limits::oldest_body(serving, 2_000, now), None);
}

// A response that is read slowly must not be cut.
#[test]
fn only_unread_responses_time_out() {
    let limits = ProgressLimits::default();
    let now = TimeMs(limits.response_ms + 10);
    for phase in PHASES {
        let is_cut = limits.is_unread_too_long(progress(phase, 1), now);
        assert_eq!(is_cut, phase == Phase::Unread);
        assert!(!limits.is_unread_too_long(progress(phase, 20), now));
    }
}
