//! The store comes back from a copy, or a service has two software versions from the first start on.
//! Clients begin streams, their connections break, and they take the streams up at other machines.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::Requests;
use super::events;
use crate::client::Answer;
use crate::client::Call;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::EVENTS;
use crate::record::Record;

const GATEWAYS: [&str; 7] = [
    "front-1", "front-2", "front-3", "front-4", "front-5", "front-6", "front-7",
];
const STREAMS: usize = 24;
const MIN_TAKEN_UP: usize = 12;
const EVENTS_BEFORE_BREAK: usize = 10;
const COPY_AGE: Duration = Duration::from_secs(3);
const AWAY: Duration = Duration::from_secs(1);
// Beyond the pages' stability-ms of 3,000, so that all machines are in touch again.
const STABLE_AFTER: Duration = Duration::from_secs(5);
const LATE_AFTER: Duration = Duration::from_secs(60);

/// What precedes the streams.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A drill of the store.
    Drill,
    /// Two of the six decode runners have another version.
    Versions,
    None,
}

pub fn play(trouble: Trouble, record: &mut Record) -> bool {
    let changes = json!({ "summary": { "resumable": true, "max-attempts": 2 } });
    let mut deployment = Deployment::start(deployment::configuration(changes));
    for number in 0..6 {
        let id = format!("decode-{number}");
        let version = match number {
            4.. if trouble == Trouble::Versions => "v2",
            _ => "v1",
        };
        deployment.add_runner(&id, "quote-llm", "decode", json!({ "version": version }));
    }
    for number in 0..3 {
        let id = format!("prefill-{number}");
        deployment.add_runner(&id, "quote-llm", "prefill", json!({}));
    }
    deployment.add_gateways(&GATEWAYS, Vec::new());
    deployment.wait_ready();
    // All machines have read the service's default version by then.
    thread::sleep(Duration::from_secs(6));
    let copy = deployment.store.copy();
    thread::sleep(COPY_AGE);
    if trouble == Trouble::Drill {
        deployment.store.set_down(true);
        record.note("the store is away");
        thread::sleep(AWAY);
        deployment.store.restore(copy);
        deployment.store.set_down(false);
        record.note("the store is back from a copy that is 4 s old");
    }
    let returned = Instant::now();
    thread::sleep(STABLE_AFTER);
    let early = measure("early", &deployment, record);
    // Longer than two timeouts of the route, by which streams from before the drill have ended.
    thread::sleep(LATE_AFTER.saturating_sub(returned.elapsed()));
    let late = measure("late", &deployment, record);
    record.add("runners", &deployment.runs());
    for name in GATEWAYS {
        record.add(&format!("log of {name}"), &deployment.log_of(name));
    }
    early || late
}

// Has streams begin, cuts them off and takes them up at other machines. Returns whether the rule was
// broken.
fn measure(name: &str, deployment: &Deployment, record: &mut Record) -> bool {
    let front = |number: usize| deployment.gateways[number % GATEWAYS.len()].front;
    let mut requests = Requests::default();
    for number in 0..STREAMS {
        let id = format!("{name}-{number}");
        let call = Call::generation(&id, "/summary/x", 5_000, EVENTS);
        let breaks_after = Some(EVENTS_BEFORE_BREAK);
        let call = Call {
            breaks_after,
            ..call
        };
        requests.send(front(number), call);
    }
    let begun = requests.finish(record);
    let has_begun = |answer: &Answer| answer.status == 200 && events(answer) > 0;
    let begin = begun.iter().filter(|(_, answer)| has_begun(answer)).count();
    let mut requests = Requests::default();
    let mut taken_up = 0;
    for (number, (call, answer)) in begun.iter().enumerate() {
        if has_begun(answer) {
            taken_up += 1;
            // Retries reach other machines.
            requests.send(front(number + 1), call.resume(answer));
        }
    }
    let resumed = requests.finish(record);
    let go_on = resumed
        .iter()
        .filter(|(_, answer)| has_begun(answer))
        .count();
    record.note(&format!(
        "{name}: {begin} of {STREAMS} new streams have begun and were cut off, {go_on} of {taken_up} \
         go on at other machines"
    ));
    let begin_share = begin as f64 / STREAMS as f64;
    taken_up >= MIN_TAKEN_UP && (go_on as f64) < 0.5 * begin_share * taken_up as f64
}
