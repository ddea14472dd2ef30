//! Clients send requests of legal size made of many short fields, while ordinary clients send orders.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
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

// Time-out of the route.
const TIMEOUT_MS: u64 = 800;
// An order that was sent so long ago has to have an answer.
const LATE: Duration = Duration::from_millis(TIMEOUT_MS + 500);
// Deadline of the ordinary clients, so that they still wait then.
const WAIT_MS: u64 = 3_000;
const ORDERS: usize = 100;
const ORDER_INTERVAL: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(20);
// Clients that don't behave. Each waits for an answer before it sends its next request.
const CROWD: usize = 100;
// Together these take 15,900 of the 16,384 bytes that a head may have.
const CONNECTION_OPTIONS: usize = 3_900;
const SHORT_FIELDS: usize = 1_950;
const SETTLE: Duration = Duration::from_secs(2);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Arc::new(Record::create(&folder));
    std::process::exit(play(&record));
}

fn play(record: &Arc<Record>) -> i32 {
    let store = Store::start();
    for name in ["runner-1", "runner-2"] {
        let record = record.clone();
        let address = runner::start(move |request, connection| {
            let id = request.field("dogwoodpier-request-id").to_owned();
            if id.starts_with("order") {
                record.line(format!("{name} runs {id}"));
            }
            thread::sleep(WORK);
            match connection.stream.write_all(&runner::sealed(&id, "done")) {
                Ok(()) => Next::Keep,
                Err(_) => Next::Close,
            }
        });
        let entry = runner::entry(configuration::PLAIN, address, 6, None);
        store.put("servers", name, entry);
    }
    store.put("config", "main", configuration::configuration(TIMEOUT_MS));
    let mut gateway = Gateway::start("front-1", &store, &Options::default());
    gateway.wait_ready();
    let address = gateway.address;
    let ends = Arc::new(AtomicBool::new(false));
    let odd = Arc::new(AtomicUsize::new(0));
    if record::has_trouble() {
        record.say(format!(
            "{CROWD} clients begin, with heads of {} bytes",
            odd_request(0, 0).len()
        ));
        for number in 0..CROWD {
            let (ends, odd) = (ends.clone(), odd.clone());
            thread::spawn(move || misbehave(address, number, &ends, &odd));
        }
    }
    thread::sleep(SETTLE);
    let begun = Instant::now();
    let elapsed: Arc<Mutex<Vec<(Option<u16>, Duration)>>> = Arc::default();
    let orders: Vec<_> = (0..ORDERS)
        .map(|number| {
            thread::sleep(ORDER_INTERVAL);
            let (record, elapsed) = (record.clone(), elapsed.clone());
            thread::spawn(move || {
                let outcome = order(&record, address, number);
                elapsed.lock().unwrap().push(outcome);
            })
        })
        .collect();
    for order in orders {
        let _ = order.join();
    }
    let handled = odd.load(Ordering::Relaxed);
    record.say(format!(
        "{handled} answers to the odd clients, {:.1} a second",
        handled as f64 / (begun.elapsed() + SETTLE).as_secs_f64()
    ));
    let is_alive = !gateway.has_ended();
    record.say(format!(
        "the process runs: {is_alive}; its readiness page: {}",
        gateway.is_ready()
    ));
    ends.store(true, Ordering::Relaxed);
    let outcomes = elapsed.lock().unwrap();
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let late = outcomes
        .iter()
        .filter(|(_, elapsed)| *elapsed > timeout)
        .count();
    let unanswered = outcomes
        .iter()
        .filter(|(_, elapsed)| *elapsed > LATE)
        .count();
    let served = outcomes
        .iter()
        .filter(|(status, _)| *status == Some(200))
        .count();
    record.say(format!(
        "{ORDERS} orders: {served} served; {late} unanswered at the time-out, {unanswered} of these \
         unanswered half a second later"
    ));
    if !record::has_trouble() && served < ORDERS / 2 {
        return record::NOT_RUN;
    }
    // At least eight, and more than a quarter of them, or more than half as the other line says.
    match unanswered >= 8 && unanswered * 2 > late {
        true => record::BROKEN,
        false => record::HELD,
    }
}

// Sends an order over a new connection. Returns its status and the time to its answer or end.
fn order(record: &Record, address: SocketAddr, number: usize) -> (Option<u16>, Duration) {
    let id = format!("order-{number}");
    let begun = Instant::now();
    let answer =
        http::connect(address, Duration::from_millis(WAIT_MS)).and_then(|mut connection| {
            let request = client::request(configuration::ORDER, &id, WAIT_MS, "");
            connection.get_mut().write_all(request.as_bytes())?;
            http::read_message(&mut connection)
        });
    let elapsed = begun.elapsed();
    let status = answer.ok().flatten().map(|answer| answer.status());
    record.line(format!("{id}: {status:?} after {} ms", elapsed.as_millis()));
    (status, elapsed)
}

fn odd_request(client: usize, number: usize) -> String {
    let options = vec!["a"; CONNECTION_OPTIONS].join(",");
    let fields = "b:\r\n".repeat(SHORT_FIELDS);
    let further = format!("Connection: {options}\r\n{fields}");
    client::request(
        configuration::ORDER,
        &format!("odd-{client}-{number}"),
        WAIT_MS,
        &further,
    )
}

fn misbehave(address: SocketAddr, client: usize, ends: &AtomicBool, answers: &AtomicUsize) {
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        let Ok(mut connection) = http::connect(address, Duration::from_secs(20)) else {
            thread::sleep(Duration::from_millis(500));
            continue;
        };
        while !ends.load(Ordering::Relaxed) {
            let request = odd_request(client, number);
            number += 1;
            if connection.get_mut().write_all(request.as_bytes()).is_err() {
                break;
            }
            match http::read_message(&mut connection) {
                Ok(Some(_)) => answers.fetch_add(1, Ordering::Relaxed),
                _ => break,
            };
        }
    }
}
