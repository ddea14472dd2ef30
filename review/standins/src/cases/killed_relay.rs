//! A machine that is partitioned from all runners reaches them through others, and one of these is
//! killed while it passes on answers that end with their connection.

use std::thread;
use std::time::Duration;

use serde_json::json;

use super::Requests;
use super::count_truncated;
use crate::client::Call;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::EVENTS;
use crate::path::Path;
use crate::record::Record;

const OTHERS: [&str; 6] = [
    "front-1", "front-2", "front-3", "front-4", "front-5", "front-6",
];
const CUT: &str = "front-cut";
const STREAMS: usize = 24;
const ORDERS_IN_ROW: usize = 5;
const MAX_ORDERS: usize = 100;

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
    for number in 0..4 {
        let short = json!({ "events": 1, "gap_ms": 1 });
        deployment.add_runner(&format!("desk-{number}"), "order-desk", "", short);
    }
    let runners = deployment.runners.iter();
    let addresses: Vec<_> = runners.map(|runner| runner.address).collect();
    let paths: Vec<Path> = addresses.iter().copied().map(Path::open).collect();
    let seen = addresses.iter().zip(&paths);
    let view = seen.map(|(address, path)| (address.to_string(), path.address.to_string()));
    let view = view.collect();
    deployment.add_gateways(&OTHERS, Vec::new());
    deployment.add_gateways(&[CUT], view);
    deployment.wait_ready();
    let front = deployment.gateways[OTHERS.len()].front;
    if has_trouble {
        for path in &paths {
            path.set_cut(true);
        }
        record.note("front-cut is partitioned from all runners: new connections are refused");
    }
    let mut served_in_row = 0;
    for number in 0..MAX_ORDERS {
        let answer = Call::plain(&format!("order-{number}"), "/order/x").send(front);
        record.answer(&format!("order-{number}"), &answer);
        served_in_row = match answer.status {
            200 => served_in_row + 1,
            _ => 0,
        };
        if served_in_row == ORDERS_IN_ROW {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    if served_in_row < ORDERS_IN_ROW {
        crate::cannot_run("front-cut serves no orders");
    }
    let mut requests = Requests::default();
    for number in 0..STREAMS {
        let call = Call::generation(&format!("stream-{number}"), "/digest/x", 5_000, EVENTS);
        requests.send(front, call);
    }
    record.note(&format!("{STREAMS} streams sent to front-cut"));
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        deployment.gateways[0].kill();
        record.note("front-1 is killed (SIGKILL)");
    }
    let answers = requests.finish(record);
    record.add("runners", &deployment.runs());
    record.add("log of front-cut", &deployment.log_of(CUT));
    count_truncated(&answers, EVENTS, record) > 0
}
