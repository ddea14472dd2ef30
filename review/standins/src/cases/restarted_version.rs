//! A runner crashes and starts again under its id with another version of its software, while the
//! store is down.

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

const STREAMS: usize = 36;
const GATEWAYS: [&str; 3] = ["front-1", "front-2", "front-3"];
// The rule tolerates as many.
const TOLERATED: usize = 2;

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
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        deployment.store.set_down(true);
        record.note("the store is down");
        deployment.runners[0]
            .kill_and_restart(Duration::from_millis(300), json!({ "version": "v2" }));
        record.note("decode-0 has crashed and started again with v2");
        thread::sleep(Duration::from_millis(200));
    }
    let mut requests = Requests::default();
    for number in 0..STREAMS {
        let front = deployment.gateways[number % GATEWAYS.len()].front;
        let id = format!("stream-{number}");
        requests.send(front, Call::generation(&id, "/summary/x", 5_000, EVENTS));
    }
    record.note(&format!("{STREAMS} streams sent"));
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        deployment.runners[0].kill();
        record.note("decode-0 crashes again");
        thread::sleep(Duration::from_millis(2_000));
        deployment.store.set_down(false);
        record.note("the store is back");
    }
    let mut answers = requests.finish(record);
    for (call, answer) in &mut answers {
        if !answer.complete && events(answer) > 0 {
            let again = call.resume(answer);
            let result = again.send(deployment.gateways[0].front);
            record.answer(&again.id, &result);
            answer.body.push_str(&result.body);
        }
    }
    record.add("runners", &deployment.runs());
    for name in GATEWAYS {
        record.add(&format!("log of {name}"), &deployment.log_of(name));
    }
    let is_mixed = |answer: &Answer| answer.body.contains(" v1\n") && answer.body.contains(" v2\n");
    let mixed = answers.iter().filter(|(_, answer)| is_mixed(answer));
    let mixed: Vec<&str> = mixed.map(|(call, _)| call.id.as_str()).collect();
    record.note(&format!(
        "{} streams hold events of two versions: {mixed:?}",
        mixed.len()
    ));
    mixed.len() > TOLERATED
}
