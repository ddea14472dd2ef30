//! Clients send many requests ahead on a connection and don't read the answers. Each request is of
//! legal size and resumes a stream whose id is long. The platform kills the process once it exceeds its
//! memory, while ordinary clients have orders at sound runners.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
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
use review_standins_2::ordinary;
use review_standins_2::ordinary::Ledger;
use review_standins_2::record;
use review_standins_2::record::Record;
use review_standins_2::runner;
use review_standins_2::runner::Connection;
use review_standins_2::runner::Next;
use review_standins_2::store::Store;

const MEMORY_MB: u32 = 110;
const CROWD: usize = 30;
// A head has 16,384 bytes at most.
const ID_BYTES: usize = 12_000;
const SHORT_ID_BYTES: usize = 16;
const WATCHED: Duration = Duration::from_secs(25);
const WAIT_MS: u64 = 14_000;
const SETTLE: Duration = Duration::from_secs(1);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Arc::new(Record::create(&folder));
    std::process::exit(play(&record));
}

fn play(record: &Arc<Record>) -> i32 {
    let store = Store::start();
    let runs = Arc::new(AtomicUsize::new(0));
    for (name, stage) in [
        ("engine-1", "prefill"),
        ("engine-2", "decode"),
        ("engine-3", "decode"),
    ] {
        let runs = runs.clone();
        let address = runner::start(move |request, connection| {
            let id = request.field("dogwoodpier-request-id");
            let answered = match request.field("dogwoodpier-serving-stage") {
                "prefill" => answer_prefill(id, connection),
                _ => {
                    runs.fetch_add(1, Ordering::Relaxed);
                    answer_stream(id, connection)
                }
            };
            match answered {
                Ok(()) => Next::Keep,
                Err(_) => Next::Close,
            }
        });
        let entry = runner::entry(configuration::ENGINES, address, 12, Some(stage));
        store.put("servers", name, entry);
    }
    let ledger = Arc::new(Ledger::default());
    ordinary::start_runners(&store, &ledger, "");
    let mut configuration = configuration::configuration(800);
    ordinary::add_tenant(&mut configuration);
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
    thread::sleep(SETTLE);
    // The same requests, with ids of the usual length, are the play without the disruption.
    let id_bytes = match record::has_trouble() {
        true => ID_BYTES,
        false => SHORT_ID_BYTES,
    };
    record.say(format!(
        "{CROWD} clients send ahead and read nothing, with heads of {} bytes",
        request(0, 0, id_bytes).len()
    ));
    let sent = Arc::new(AtomicUsize::new(0));
    for number in 0..CROWD {
        let (address, sent) = (gateway.address, sent.clone());
        thread::spawn(move || send_ahead(address, number, id_bytes, &sent));
    }
    let begun = Instant::now();
    let mut largest_mb: f64 = 0.0;
    let mut is_killed = false;
    while begun.elapsed() < WATCHED && !is_killed {
        thread::sleep(Duration::from_millis(250));
        largest_mb = largest_mb.max(gateway.resident_mb());
        record.line(format!(
            "resident {largest_mb:.1} MB at most; {} requests sent, {} run",
            sent.load(Ordering::Relaxed),
            runs.load(Ordering::Relaxed)
        ));
        is_killed = gateway.kill_over_memory(MEMORY_MB, record);
    }
    thread::sleep(SETTLE);
    let (answered, lost) = ledger.finish(clients);
    let sent = sent.load(Ordering::Relaxed);
    record.say(format!(
        "{sent} requests of the crowd sent; resident {largest_mb:.1} MB of {MEMORY_MB} MB at most; of the \
         ordinary orders {answered} answered, {lost} passed on and closed without an answer"
    ));
    if sent == 0 || runs.load(Ordering::Relaxed) == 0 || answered == 0 {
        return record::NOT_RUN;
    }
    match lost > ordinary::ALLOWED {
        true => record::BROKEN,
        false => record::HELD,
    }
}

fn answer_prefill(id: &str, connection: &mut Connection) -> std::io::Result<()> {
    let body = "{\"kv-handle\":\"3fa09c41b7d5\",\"tokens\":1,\"version\":1}";
    write!(
        connection.stream,
        "HTTP/1.1 200 OK\r\nDogwoodpier-Request-Id: {id}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn answer_stream(id: &str, connection: &mut Connection) -> std::io::Result<()> {
    let body = "id: 2\ndata: end\n\n";
    write!(
        connection.stream,
        "HTTP/1.1 200 OK\r\nDogwoodpier-Request-Id: {id}\r\nDogwoodpier-Upstream-Seal: s.{id}\r\n\
         Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn request(client: usize, number: usize, id_bytes: usize) -> String {
    let first = format!("{client:04x}{number:08x}");
    let first = format!("{first}{}", "0".repeat(id_bytes - first.len()));
    let further = format!(
        "Dogwoodpier-Model-Name: m\r\nDogwoodpier-Token-Count: 1,1\r\n\
         Dogwoodpier-Prefix-Hash: 1:1\r\nResumes: {first}\r\nLast-Event-Id: 1\r\n"
    );
    let id = format!("{client:04x}{number:08x}");
    client::request(configuration::STREAM, &id, WAIT_MS, &further)
}

fn send_ahead(address: SocketAddr, client: usize, id_bytes: usize, sent: &AtomicUsize) {
    let Ok(mut connection) = http::connect(address, Duration::from_secs(60)) else {
        return;
    };
    for number in 0.. {
        let request = request(client, number, id_bytes);
        if connection.get_mut().write_all(request.as_bytes()).is_err() {
            return;
        }
        sent.fetch_add(1, Ordering::Relaxed);
    }
}
