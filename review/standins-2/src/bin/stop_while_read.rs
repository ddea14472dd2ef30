//! A gateway is stopped while clients read the answers to orders slowly.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::client;
use review_standins_2::configuration;
use review_standins_2::gateway::Gateway;
use review_standins_2::gateway::Options;
use review_standins_2::http;
use review_standins_2::record;
use review_standins_2::record::Record;
use review_standins_2::runner;
use review_standins_2::runner::Next;
use review_standins_2::store::Store;

const ORDERS: usize = 5;
// Deadline of the clients and time-out of the route.
const TIMEOUT_MS: u64 = 14_000;
// Within the limit of 1 MiB that the gateway has for answers of plain services.
const ANSWER_BYTES: usize = 1_000_000;
// A client needs 6.7 s at this rate, less than `grace-s`.
const BYTES_PER_S: u64 = 150_000;
const STEP_BYTES: usize = 15_000;
const GRACE: Duration = Duration::from_secs(8);
const WORK: Duration = Duration::from_millis(20);
// Time from the requests to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(300);

struct Outcome {
    id: String,
    status: u16,
    bytes: usize,
    ended: Duration,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Arc::new(Record::create(&folder));
    std::process::exit(play(&record));
}

fn play(record: &Arc<Record>) -> i32 {
    let store = Store::start();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for name in ["runner-1", "runner-2"] {
        let (runs, record) = (runs.clone(), record.clone());
        let address = runner::start(move |request, connection| {
            let id = request.field("dogwoodpier-request-id").to_owned();
            record.line(format!("{name} runs {id}"));
            runs.lock().unwrap().push(id.clone());
            thread::sleep(WORK);
            let body = "x".repeat(ANSWER_BYTES);
            let sent = connection.stream.write_all(&runner::sealed(&id, &body));
            record.line(format!("{name} has answered {id}: {sent:?}"));
            Next::Keep
        });
        let entry = runner::entry(configuration::PLAIN, address, 6, None);
        store.put("servers", name, entry);
    }
    store.put("config", "main", configuration::configuration(TIMEOUT_MS));
    let mut gateway = Gateway::start("front-1", &store, &Options::default());
    gateway.wait_ready();
    let started = Instant::now();
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..ORDERS)
        .map(|number| {
            let (record, address) = (record.clone(), gateway.address);
            let id = format!("order-{number}");
            thread::spawn(move || order(&record, address, id, started))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if record::has_trouble() {
        record.line("SIGTERM to the gateway");
        gateway.signal("TERM");
    }
    let watched = has_ended.clone();
    let outcomes = thread::scope(|scope| {
        scope.spawn(|| {
            while !watched.load(Ordering::Relaxed) && !gateway.has_ended() {
                thread::sleep(Duration::from_millis(10));
            }
            if !watched.load(Ordering::Relaxed) {
                record.line("the gateway's process has ended");
            }
        });
        let outcomes: Vec<Outcome> = clients
            .into_iter()
            .filter_map(|client| client.join().ok().flatten())
            .collect();
        has_ended.store(true, Ordering::Relaxed);
        outcomes
    });
    if outcomes.len() < ORDERS || runs.lock().unwrap().len() < ORDERS {
        record.say("not all orders were passed on");
        return record::NOT_RUN;
    }
    let mut lost = 0;
    for outcome in &outcomes {
        let is_complete = outcome.bytes == ANSWER_BYTES;
        let is_in_time =
            outcome.ended < Duration::from_millis(TIMEOUT_MS) && outcome.ended < STOP_AFTER + GRACE;
        record.say(format!(
            "{}: status {}, {} of {ANSWER_BYTES} bytes after {} ms{}",
            outcome.id,
            outcome.status,
            outcome.bytes,
            outcome.ended.as_millis(),
            if is_complete {
                ""
            } else {
                ", the connection has ended"
            }
        ));
        lost += u32::from(!is_complete && is_in_time);
    }
    record.say(format!("{lost} of {ORDERS} answers lost"));
    match lost {
        0 => record::HELD,
        _ => record::BROKEN,
    }
}

fn order(
    record: &Record,
    address: std::net::SocketAddr,
    id: String,
    started: Instant,
) -> Option<Outcome> {
    let mut connection = http::connect(address, Duration::from_millis(TIMEOUT_MS)).ok()?;
    let request = client::request(configuration::ORDER, &id, TIMEOUT_MS, "");
    connection.get_mut().write_all(request.as_bytes()).ok()?;
    record.line(format!("{id} sent"));
    let head = http::read_head(&mut connection).ok()??;
    record.line(format!("{id} answered: {}", head.first_line));
    let mut bytes = 0;
    let mut step = vec![0; STEP_BYTES];
    while bytes < ANSWER_BYTES {
        match connection.read(&mut step) {
            Ok(0) | Err(_) => break,
            Ok(read) => {
                bytes += read;
                thread::sleep(Duration::from_micros(read as u64 * 1_000_000 / BYTES_PER_S));
            }
        }
    }
    record.line(format!("{id}: {bytes} bytes"));
    Some(Outcome {
        id,
        status: head.status(),
        bytes,
        ended: started.elapsed(),
    })
}
