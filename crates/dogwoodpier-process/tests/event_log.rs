//! Event log under overload: its rate is bounded, writers never block, and dropped lines are counted.

use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use dogwoodpier_process::events::EventLog;
use dogwoodpier_process::events::EventOptions;

const LINES_PER_S: u32 = 50;
const OPTIONS: EventOptions = EventOptions {
    lines_per_s: LINES_PER_S,
};

fn parse(line: &str) -> Value {
    serde_json::from_str(line).expect("each line is valid JSON")
}

#[test]
fn rate_is_limited_per_event() {
    let (sender, receiver) = sync_channel(100_000);
    let log = EventLog::with_sender("i1", OPTIONS, sender);
    let started = Instant::now();
    let mut written = 0;
    while started.elapsed() < Duration::from_millis(2_200) {
        for _ in 0..5 {
            log.write("served", json!({ "request_id": "r1" }));
            written += 1;
        }
        log.write("rejected", json!({ "request_id": "r2" }));
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(log);
    let lines: Vec<Value> = receiver.iter().map(|line| parse(&line)).collect();
    let count_of = |event: &str| lines.iter().filter(|line| line["event"] == event).count();
    assert!(written > 600, "{written}");
    // The log was written in at most four different seconds of the clock, each with its own limit.
    assert!(
        count_of("served") <= 4 * LINES_PER_S as usize,
        "{}",
        count_of("served")
    );
    assert!(
        count_of("rejected") >= 2 * LINES_PER_S as usize,
        "{}",
        count_of("rejected")
    );
    let dropped: u64 = lines
        .iter()
        .filter_map(|line| line["lines_left_out"].as_u64())
        .sum();
    assert!(dropped > 0, "dropped lines are counted");
}

#[test]
fn full_queue_does_not_block_writers() {
    let (sender, receiver) = sync_channel(4);
    let options = EventOptions {
        lines_per_s: 10_000,
    };
    let log = EventLog::with_sender("i1", options, sender);
    let started = Instant::now();
    for number in 0..1_000 {
        log.write("served", json!({ "number": number }));
    }
    assert!(started.elapsed() < Duration::from_millis(500));
    assert_eq!(log.lines_lost(), 996);
    drop(log);
    assert_eq!(receiver.iter().count(), 4);
}
