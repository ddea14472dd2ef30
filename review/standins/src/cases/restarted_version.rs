//! A runner is cut off from the store, crashes behind the cut and starts again under its id with
//! another version of its software. Streams begin there, the connections of all clients break, and
//! they take their streams up at other machines.

use std::thread;
use std::time::Duration;

use serde_json::json;

use super::Requests;
use super::events;
use crate::client::Answer;
use crate::client::Call;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::EVENTS;
use crate::record::Record;

const STREAMS: usize = 48;
const GATEWAYS: [&str; 3] = ["front-1", "front-2", "front-3"];
const EVENTS_BEFORE_BREAK: usize = 10;
// The rule tolerates as many.
const TOLERATED: usize = 2;
// No store listens there.
const CUT_STORE: &str = "127.0.0.1:9";

pub fn play(has_trouble: bool, record: &mut Record) -> bool {
    let changes = json!({ "summary": { "resumable": true, "max-attempts": 2 } });
    let mut deployment = Deployment::start(deployment::configuration(changes));
    for number in 0..6 {
        let id = format!("decode-{number}");
        deployment.add_runner(&id, "quote-llm", "decode", json!({}));
    }
    for number in 0..3 {
        let id = format!("prefill-{number}");
        deployment.add_runner(&id, "quote-llm", "prefill", json!({}));
    }
    deployment.add_gateways(&GATEWAYS, Vec::new());
    deployment.wait_ready();
    // All machines have read the service's default version by then.
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        let changes = json!({ "version": "v2", "store": CUT_STORE });
        deployment.runners[0].kill_and_restart(Duration::from_millis(300), changes);
        record.note("decode-0, cut off from the store, has crashed and started again with v2");
    }
    let front = |number: usize| deployment.gateways[number % GATEWAYS.len()].front;
    let mut requests = Requests::default();
    for number in 0..STREAMS {
        let call = Call::generation(&format!("stream-{number}"), "/summary/x", 5_000, EVENTS);
        let breaks_after = Some(EVENTS_BEFORE_BREAK);
        let call = Call {
            breaks_after,
            ..call
        };
        requests.send(front(number), call);
    }
    let begun = requests.finish(record);
    record.note(&format!("{STREAMS} streams were sent and cut off"));
    let mut requests = Requests::default();
    for (number, (call, answer)) in begun.iter().enumerate() {
        // Retries reach other machines.
        requests.send(front(number + 1), call.resume(answer));
    }
    let resumed = requests.finish(record);
    record.add("runners", &deployment.runs());
    for name in GATEWAYS {
        record.add(&format!("log of {name}"), &deployment.log_of(name));
    }
    let mut mixed = Vec::new();
    for ((call, first), (_, again)) in begun.iter().zip(&resumed) {
        let holds = |version: &str| [first, again].into_iter().any(|part| holds(part, version));
        if events(again) > 0 && holds("v1") && holds("v2") {
            mixed.push(call.id.clone());
        }
    }
    record.note(&format!(
        "{} streams hold events of two versions: {mixed:?}",
        mixed.len()
    ));
    mixed.len() > TOLERATED
}

fn holds(answer: &Answer, version: &str) -> bool {
    answer.body.contains(&format!(" {version}\n"))
}
