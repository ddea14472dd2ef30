//! A gateway is killed after an engine of a new version has served for some seconds beside those of the
//! old one. The new engine leaves, and then clients take up streams.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use review_standins_2::client;
use review_standins_2::configuration;
use review_standins_2::gateway::Gateway;
use review_standins_2::gateway::Options;
use review_standins_2::http;
use review_standins_2::http::Message;
use review_standins_2::record;
use review_standins_2::record::Record;
use review_standins_2::runner;
use review_standins_2::runner::Connection;
use review_standins_2::runner::Next;
use review_standins_2::store::Store;

// Time-out of the route, short so that the records' times pass within the play.
const TIMEOUT_MS: u64 = 3_000;
const OLD_ENGINES: usize = 8;
const STREAMS: usize = 20;
const ROUNDS: usize = 3;
const EVENTS: u64 = 20;
const STREAM_INTERVAL: Duration = Duration::from_millis(150);
const COMPLETE: &str = "200, complete";
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const KINDS: &str = "gateway-streams";
// Twice what the gateways' own times add up to: two lives of a stream of two time-outs each, and as
// much again.
const REST: Duration = Duration::from_secs(36);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&folder);
    std::process::exit(play(&record));
}

fn play(record: &Record) -> i32 {
    let store = Store::start();
    let mut configuration = configuration::configuration(800);
    configuration["routes"][1]["timeout-ms"] = json!(TIMEOUT_MS);
    for number in 0..OLD_ENGINES {
        register(&store, &format!("old-{number}"), "v1");
    }
    store.put("config", "main", configuration);
    let mut gateways: Vec<Gateway> = ["front-1", "front-2", "front-3"]
        .iter()
        .map(|name| Gateway::start(name, &store, &Options::default()))
        .collect();
    gateways.iter_mut().for_each(Gateway::wait_ready);
    thread::sleep(Duration::from_secs(7));
    record.say(format!(
        "an engine of version v2 comes beside {OLD_ENGINES} of v1"
    ));
    let new = "new-1";
    let address = register(&store, new, "v2");
    thread::sleep(Duration::from_secs(2));
    // The instance that maintains the default version of the service has written it. Another one is killed.
    let killed = gateways
        .iter()
        .position(|gateway| gateway.log_lines("\"default_version\"").is_empty());
    let Some(killed) = killed else {
        record.say("no gateway can be killed");
        return record::NOT_RUN;
    };
    for round in 0..ROUNDS {
        thread::scope(|scope| {
            for number in 0..STREAMS {
                let address = gateways[killed].address;
                let id = format!("before-{round}-{number}");
                scope.spawn(move || begin(address, &id, EVENTS));
            }
        });
    }
    record.say(format!(
        "{} streams begun at {}; {} records of streams",
        ROUNDS * STREAMS,
        gateways[killed].name,
        store.count(KINDS)
    ));
    if store.count(KINDS) == 0 {
        return record::NOT_RUN;
    }
    if record::has_trouble() {
        record.say(format!(
            "{} is killed and started again",
            gateways[killed].name
        ));
        gateways[killed].restart("KILL");
    }
    thread::sleep(Duration::from_secs(1));
    record.say("the engine of version v2 leaves");
    let mut entry = entry(address, "v2");
    entry["state"] = json!("draining");
    store.put("servers", new, entry);
    thread::sleep(Duration::from_secs(3));
    store.remove("servers", new);
    thread::sleep(REST);
    record.say(format!(
        "{} records of streams are left",
        store.count(KINDS)
    ));
    gateways.iter_mut().for_each(Gateway::wait_ready);
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
    let outcomes: Vec<(u64, String)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..STREAMS)
            .map(|number| {
                let first = addresses[number % addresses.len()];
                let second = addresses[(number + 1) % addresses.len()];
                thread::sleep(STREAM_INTERVAL);
                scope.spawn(move || {
                    let id = format!("stream-{number}");
                    // The connection ends after two events, as if it were reset.
                    let events = begin(first, &id, 2);
                    (events, resume(second, &format!("{id}-again"), 2))
                })
            })
            .collect();
        let outcomes = clients.into_iter().filter_map(|client| client.join().ok());
        outcomes.collect()
    });
    for (number, (events, outcome)) in outcomes.iter().enumerate() {
        record.line(format!(
            "stream-{number}: {events} events, taken up: {outcome}"
        ));
    }
    let begun = outcomes.iter().filter(|(events, _)| *events == 2).count();
    let resumed = outcomes
        .iter()
        .filter(|(_, outcome)| outcome == COMPLETE)
        .count();
    record.say(format!(
        "{STREAMS} streams: {begun} begun, {resumed} went on"
    ));
    if begun < STREAMS / 2 {
        return record::NOT_RUN;
    }
    match resumed * 2 < begun {
        true => record::BROKEN,
        false => record::HELD,
    }
}

// Starts an engine and registers it. Returns its address.
fn register(store: &Store, name: &str, version: &str) -> SocketAddr {
    let address = runner::start(|request, connection| match stream(request, connection) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    });
    store.put("servers", name, entry(address, version));
    address
}

fn entry(address: SocketAddr, version: &str) -> Value {
    let mut entry = runner::entry(configuration::ENGINES, address, 12, Some("decode"));
    entry["version"] = json!(version);
    entry
}

fn stream(request: &Message, connection: &mut Connection) -> std::io::Result<()> {
    let id = request.field("dogwoodpier-request-id");
    let last: u64 = request.field("last-event-id").parse().unwrap_or(0);
    write!(
        connection.stream,
        "HTTP/1.1 200 OK\r\nDogwoodpier-Request-Id: {id}\r\nDogwoodpier-Upstream-Seal: s.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    for number in last + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {number}\ndata: {number}\n\n");
        write!(connection.stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    write!(connection.stream, "0\r\n\r\n")
}

fn headers() -> &'static str {
    "Dogwoodpier-Model-Name: m\r\nDogwoodpier-Token-Count: 20,20\r\nDogwoodpier-Prefix-Hash: a:10,b:10\r\n"
}

// Begins a stream and reads some events. Returns their number.
fn begin(address: SocketAddr, id: &str, events: u64) -> u64 {
    let request = client::request(configuration::STREAM, id, TIMEOUT_MS, headers());
    let Some(mut connection) = send(address, &request) else {
        return 0;
    };
    match http::read_head(&mut connection) {
        Ok(Some(head)) if head.status() == 200 => read_events(&mut connection, events).0,
        _ => 0,
    }
}

// Takes up a stream without naming the attempt that began it. The client comes back once if it is asked to.
fn resume(address: SocketAddr, id: &str, last: u64) -> String {
    let deadline = Instant::now() + Duration::from_millis(TIMEOUT_MS);
    let further = format!("{}Last-Event-Id: {last}\r\n", headers());
    let mut outcome = String::new();
    for attempt in 0..2 {
        let left_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let id = format!("{id}-{attempt}");
        let request = client::request(configuration::STREAM, &id, left_ms, &further);
        let Some(mut connection) = send(address, &request) else {
            return "no connection".to_owned();
        };
        let Ok(Some(head)) = http::read_head(&mut connection) else {
            return "no answer".to_owned();
        };
        if head.status() == 200 {
            let (events, is_complete) = read_events(&mut connection, EVENTS);
            let is_complete = is_complete && events == EVENTS - last;
            return if is_complete {
                COMPLETE
            } else {
                "200, incomplete"
            }
            .to_owned();
        }
        let wait: f64 = head.field("retry-after").parse().unwrap_or(0.5);
        outcome = format!("{} after {} attempts", head.first_line, attempt + 1);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    outcome
}

fn send(address: SocketAddr, request: &str) -> Option<BufReader<TcpStream>> {
    let mut connection = http::connect(address, Duration::from_millis(TIMEOUT_MS)).ok()?;
    connection.get_mut().write_all(request.as_bytes()).ok()?;
    Some(connection)
}

// Reads events until there are `count` or the stream has ended. Returns their number and whether it has.
fn read_events(connection: &mut BufReader<TcpStream>, count: u64) -> (u64, bool) {
    let mut events = 0;
    while let Ok(Some(chunk)) = http::read_chunk(connection) {
        if chunk.is_empty() {
            return (events, true);
        }
        events += chunk.windows(2).filter(|end| end == b"\n\n").count() as u64;
        if events >= count && count < EVENTS {
            break;
        }
    }
    (events, false)
}
