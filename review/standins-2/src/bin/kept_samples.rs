//! Many requests come, and then a crowd whose bodies stop just short of their end. Nobody reads the
//! gateway's metrics meanwhile. The platform kills the process once it exceeds its memory, while ordinary
//! clients have orders at sound runners.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use review_standins_2::client;
use review_standins_2::configuration;
use review_standins_2::gateway::Gateway;
use review_standins_2::gateway::Options;
use review_standins_2::http;
use review_standins_2::ordinary;
use review_standins_2::ordinary::Ledger;
use review_standins_2::record;
use review_standins_2::record::Record;
use review_standins_2::store::Store;

// The smallest machine of the deployments in force.
const MEMORY_MB: u32 = 88;
const FLOOD: Duration = Duration::from_secs(80);
const FLOOD_CONNECTIONS: usize = 4;
const FLOOD_BATCH: usize = 200;
// Too short for a send, so that no runner gets these requests.
const FLOOD_WAIT_MS: u64 = 2;
// With the ordinary clients fewer connections than the gateway keeps.
const CROWD: usize = 415;
const BODY_BYTES: usize = 65_000;
const MISSING_BYTES: usize = 10;
const LARGE_ANSWERS: usize = 20;
const ANSWER_BYTES: usize = 1_000_000;
const WAIT_MS: u64 = 14_000;
const WATCHED: Duration = Duration::from_secs(4);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Arc::new(Record::create(&folder));
    std::process::exit(play(&record));
}

fn play(record: &Arc<Record>) -> i32 {
    let store = Store::start();
    let ledger = Arc::new(Ledger::default());
    ordinary::start_runners(&store, &ledger, &"x".repeat(ANSWER_BYTES));
    let mut configuration = configuration::configuration(WAIT_MS);
    ordinary::add_tenant(&mut configuration);
    // Orders need no key, and no quota bounds them.
    configuration["routes"][0]["public"] = json!(true);
    store.put("config", "main", configuration);
    let options = Options {
        memory_mb: MEMORY_MB,
        ..Options::default()
    };
    let mut gateway = Gateway::start("front-1", &store, &options);
    gateway.wait_ready();
    record.say(format!(
        "resident at the start: {:.1} MB",
        gateway.resident_mb()
    ));
    let clients = ordinary::start_clients(gateway.address, record, &ledger);
    if record::has_trouble() {
        let answers = flood(record, &gateway);
        thread::sleep(Duration::from_secs(2));
        let resident_mb = gateway.resident_mb();
        record.say(format!(
            "{answers} requests answered, resident {resident_mb:.1} MB after them"
        ));
    }
    let (crowd, largest_mb) = press(record, &mut gateway);
    thread::sleep(Duration::from_secs(1));
    let (answered, lost) = ledger.finish(clients);
    drop(crowd);
    record.say(format!(
        "resident {largest_mb:.1} MB of {MEMORY_MB} MB at most with the crowd; of the ordinary orders \
         {answered} answered, {lost} passed on and closed without an answer"
    ));
    if answered == 0 {
        return record::NOT_RUN;
    }
    match lost > ordinary::ALLOWED {
        true => record::BROKEN,
        false => record::HELD,
    }
}

// Sends many requests ahead and reads their answers. Returns the number of answers.
fn flood(record: &Record, gateway: &Gateway) -> usize {
    let answers = Arc::new(AtomicUsize::new(0));
    let request = client::request(configuration::ORDER, "flood", FLOOD_WAIT_MS, "");
    let mut streams = Vec::new();
    for _ in 0..FLOOD_CONNECTIONS {
        let Ok(connection) = http::connect(gateway.address, FLOOD) else {
            continue;
        };
        let mut stream = connection.into_inner();
        let (Ok(reading), Ok(closing)) = (stream.try_clone(), stream.try_clone()) else {
            continue;
        };
        streams.push(closing);
        let answers = answers.clone();
        thread::spawn(move || {
            let mut reader = BufReader::with_capacity(1 << 16, reading);
            while let Ok(Some(_)) = http::read_message(&mut reader) {
                answers.fetch_add(1, Ordering::Relaxed);
            }
        });
        let batch = request.repeat(FLOOD_BATCH);
        thread::spawn(move || while stream.write_all(batch.as_bytes()).is_ok() {});
    }
    let begun = Instant::now();
    while begun.elapsed() < FLOOD {
        thread::sleep(Duration::from_secs(4));
        record.line(format!(
            "{} requests answered, resident {:.1} MB",
            answers.load(Ordering::Relaxed),
            gateway.resident_mb()
        ));
    }
    for stream in streams {
        let _ = stream.shutdown(Shutdown::Both);
    }
    answers.load(Ordering::Relaxed)
}

// Opens the crowd's connections. Returns them and the largest resident memory.
fn press(record: &Record, gateway: &mut Gateway) -> (Vec<TcpStream>, f64) {
    let mut open = Vec::new();
    for number in 0..CROWD {
        let id = format!("crowd-{number}");
        let request = client::request(configuration::ORDER, &id, WAIT_MS, "");
        let length = format!("Content-Length: {BODY_BYTES}");
        let request = request.replace("Content-Length: 0", &length);
        let body = vec![b'x'; BODY_BYTES - MISSING_BYTES];
        open.extend(send(gateway.address, &[request.as_bytes(), &body].concat()));
    }
    thread::sleep(Duration::from_secs(1));
    record.line(format!(
        "with bodies: resident {:.1} MB",
        gateway.resident_mb()
    ));
    for number in 0..LARGE_ANSWERS {
        let id = format!("large-{number}");
        let request = client::request(configuration::ORDER, &id, WAIT_MS, "");
        open.extend(send(gateway.address, request.as_bytes()));
    }
    let mut largest_mb: f64 = 0.0;
    let begun = Instant::now();
    while begun.elapsed() < WATCHED {
        thread::sleep(Duration::from_millis(250));
        largest_mb = largest_mb.max(gateway.resident_mb());
        if gateway.kill_over_memory(MEMORY_MB, record) {
            break;
        }
    }
    (open, largest_mb)
}

fn send(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = http::connect(address, Duration::from_secs(5))
        .ok()?
        .into_inner();
    stream.write_all(bytes).ok()?;
    Some(stream)
}
