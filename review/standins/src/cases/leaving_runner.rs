//! A runner leaves as planned and exits while it still writes answers that end with their connection.

use std::thread;
use std::time::Duration;

use serde_json::json;

use super::Requests;
use super::count_truncated;
use crate::client::Call;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::EVENTS;
use crate::record::Record;

const STREAMS: usize = 24;
const GATEWAYS: [&str; 3] = ["front-1", "front-2", "front-3"];

pub fn play(has_trouble: bool, record: &mut Record) -> bool {
    let mut deployment = Deployment::start(deployment::configuration(json!({})));
    let unframed = json!({ "framing": "unframed" });
    for number in 0..6 {
        let id = format!("decode-{number}");
        deployment.add_runner(&id, "quote-llm", "decode", unframed.clone());
    }
    for number in 0..3 {
        let id = format!("prefill-{number}");
        deployment.add_runner(&id, "quote-llm", "prefill", json!({}));
    }
    deployment.add_gateways(&GATEWAYS, Vec::new());
    deployment.wait_ready();
    let mut requests = Requests::default();
    for number in 0..STREAMS {
        let front = deployment.gateways[number % GATEWAYS.len()].front;
        let call = Call::generation(&format!("stream-{number}"), "/digest/x", 5_000, EVENTS);
        requests.send(front, call);
    }
    record.note(&format!("{STREAMS} streams sent"));
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        let leaving = &mut deployment.runners[0];
        leaving.order("drain");
        record.note(&format!(
            "{} reports that it drains, and exits 2.3 s after the store has accepted that",
            leaving.id()
        ));
    }
    let answers = requests.finish(record);
    record.add("runners", &deployment.runs());
    for name in GATEWAYS {
        record.add(&format!("log of {name}"), &deployment.log_of(name));
    }
    count_truncated(&answers, EVENTS, record) > 0
}
