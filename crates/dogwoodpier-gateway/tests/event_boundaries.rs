//! Event boundaries in arbitrary bytes: nothing is lost or added, and buffers are bounded.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use dogwoodpier_gateway::sse::EventCounter;
use dogwoodpier_gateway::sse::EventSplitter;

// Longer than an event may be, sent in several parts.
const LONG_EVENT_BYTES: usize = 200_000;
const PART_BYTES: usize = 10_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(400)
    }
}

// Bytes in which ends of events are frequent.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![
        4 => Just(b'\n'),
        3 => Just(b'\r'),
        2 => Just(b'i'),
        2 => Just(b'd'),
        2 => Just(b':'),
        2 => Just(b'7'),
        1 => any::<u8>(),
    ];
    vec(byte, 0..200)
}

// Returns whether `bytes` are empty or end with a blank line.
fn ends_with_blank_line(bytes: &[u8]) -> bool {
    bytes.is_empty() || bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_byte_is_returned(parts in vec(bytes(), 0..12)) {
        let mut events = EventSplitter::default();
        let mut out = Vec::new();
        for part in &parts {
            let complete = events.push(part);
            prop_assert!(ends_with_blank_line(&complete));
            out.extend_from_slice(&complete);
        }
        out.extend_from_slice(&events.take_remainder());
        prop_assert_eq!(out, parts.concat());
    }

    // The same events are complete no matter how a stream is split into parts. Blank lines after an
    // event may come with it or with the next one.
    #[test]
    fn split_does_not_change_complete_events(stream in bytes(), cut in 0_usize..200) {
        let mut at_once = EventSplitter::default();
        let complete = at_once.push(&stream);
        let mut in_parts = EventSplitter::default();
        let cut = cut.min(stream.len());
        let first = in_parts.push(&stream[..cut]);
        let second = in_parts.push(&stream[cut..]);
        let parts = [first, second].concat();
        prop_assert_eq!(parts.trim_ascii_end(), complete.trim_ascii_end());
        prop_assert_eq!(in_parts.last_id(), at_once.last_id());
    }
}

#[test]
fn long_event_is_not_buffered() {
    let mut events = EventSplitter::default();
    let part = vec![b'x'; PART_BYTES];
    let mut out = events.push(b"id: 1\n\n").len();
    for _ in 0..LONG_EVENT_BYTES / PART_BYTES {
        out += events.push(&part).len();
    }
    assert_eq!(out, 7 + LONG_EVENT_BYTES);
    // Another engine can't resume in the middle of an event.
    assert!(!events.can_resume());
}

#[test]
fn crlf_blank_line_ends_event() {
    let mut events = EventSplitter::default();
    assert_eq!(events.push(b"id: 4\r\ndata: a\r\n\r"), "");
    assert_eq!(events.push(b"\nid: 5"), "id: 4\r\ndata: a\r\n\r\n");
    assert_eq!(events.last_id().expect("an id"), "4");
}

// The splits of a stream into chunks don't change the count.
#[test]
fn events_are_counted() {
    let stream = b": ping\n\nid: 1\r\ndata: a\r\n\r\n\nid: 2\ndata: b\n\n:";
    for split in 0..stream.len() {
        let mut events = EventCounter::default();
        events.push(&stream[..split]);
        events.push(&stream[split..]);
        assert_eq!(events.complete(), 2, "split at {split}");
        assert!(events.is_inside_event());
    }
}

#[test]
fn end_of_event_is_recognized() {
    let mut events = EventCounter::default();
    assert!(!events.is_inside_event());
    events.push(b"data: a\n");
    assert!(events.is_inside_event());
    assert_eq!(events.complete(), 0);
    events.push(b"\n");
    assert!(!events.is_inside_event());
    assert_eq!(events.complete(), 1);
}
