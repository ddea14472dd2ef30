//! Runners of the prefill stage send bytes that are no answer without end in some of their answers.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::Requests;
use crate::client::Call;
use crate::deployment;
use crate::deployment::Deployment;
use crate::record::Record;

const GATEWAYS: [&str; 3] = ["front-1", "front-2", "front-3"];
const TIMEOUT_MS: u64 = 2_000;
const EVENTS: u64 = 10;
// Three spells of garbling, each with one answer in twenty.
const SPELL: Duration = Duration::from_millis(5_500);
const PAUSE: Duration = Duration::from_millis(2_500);
const SPELLS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const MIN_LATE: usize = 8;

pub fn play(has_trouble: bool, record: &mut Record) -> bool {
    let changes = json!({ "digest": { "timeout-ms": TIMEOUT_MS } });
    let mut deployment = Deployment::start(deployment::configuration(changes));
    let short = json!({ "events": EVENTS, "gap_ms": 30 });
    for number in 0..6 {
        let id = format!("decode-{number}");
        deployment.add_runner(&id, "quote-llm", "decode", short.clone());
    }
    for number in 0..3 {
        let id = format!("prefill-{number}");
        deployment.add_runner(&id, "quote-llm", "prefill", json!({}));
    }
    deployment.add_gateways(&GATEWAYS, Vec::new());
    deployment.wait_ready();
    let mut requests = Requests::default();
    let mut number = 0;
    for _ in 0..SPELLS {
        if has_trouble {
            for runner in &mut deployment.runners[6..] {
                runner.order("spoil 20");
            }
            record.note("one in twenty prefill answers goes on without end");
        }
        let started = Instant::now();
        while started.elapsed() < SPELL {
            let front = deployment.gateways[number % GATEWAYS.len()].front;
            let id = format!("stream-{number}");
            requests.send(front, Call::generation(&id, "/digest/x", 5_000, EVENTS));
            number += 1;
            thread::sleep(REQUEST_INTERVAL);
        }
        for runner in &mut deployment.runners[6..] {
            runner.order("sound");
        }
        thread::sleep(PAUSE);
    }
    record.note(&format!("{number} streams sent"));
    let answers = requests.finish(record);
    record.add("runners", &deployment.runs());
    for name in GATEWAYS {
        record.add(&format!("log of {name}"), &deployment.log_of(name));
    }
    let after = |limit_ms: u64| {
        let limit = Duration::from_millis(limit_ms);
        answers
            .iter()
            .filter(move |(_, answer)| answer.elapsed > limit)
    };
    let unanswered = after(TIMEOUT_MS).count();
    let late = after(TIMEOUT_MS + 500).count();
    record.note(&format!(
        "{unanswered} requests had no final answer at the route's timeout of {TIMEOUT_MS} ms, {late} \
         of them none half a second later"
    ));
    late >= MIN_LATE && late * 2 > unanswered
}
