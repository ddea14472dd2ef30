//! The event log under too much load: bounded, never waiting, and it says what it left out.

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
    serde_json::from_str(line).expect("a line is an object")
}

#[test]
fn ten_times_the_load() {
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
    let of = |event: &str| lines.iter().filter(|line| line["event"] == event).count();
    assert!(written > 600, "{written}");
    // At most four seconds have begun in between, each with its own budget.
    assert!(of("served") <= 4 * LINES_PER_S as usize, "{}", of("served"));
    assert!(
        of("rejected") >= 2 * LINES_PER_S as usize,
        "{}",
        of("rejected")
    );
    let left_out: u64 = lines
        .iter()
        .filter_map(|line| line["lines_left_out"].as_u64())
        .sum();
    assert!(left_out > 0, "what was left out is counted");
}

#[test]
fn full_queue_makes_nobody_wait() {
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
