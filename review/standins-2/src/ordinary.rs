//! Ordinary clients that send orders over connections which they keep, and the sound runners of these.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::configuration;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::runner;
use crate::runner::Next;
use crate::store::Store;

const RUNNERS: usize = 4;
const SLOTS: u32 = 6;
const CLIENTS: usize = 24;
// Work of an order, as on the sheet of kovacevic-pier.
const WORK: Duration = Duration::from_millis(60);
const WAIT_MS: u64 = 3_000;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const PREFIX: &str = "order-";
// Key of a tenant of their own, whose quota has no limit.
const KEY: &str = "key-2";
/// Answers that clients may lose: LOST speaks of more.
pub const ALLOWED: usize = 3;

/// What the clients and the runners have seen.
#[derive(Default)]
pub struct Ledger {
    begun: Mutex<BTreeSet<String>>,
    answered: AtomicUsize,
    lost: AtomicUsize,
    ends: AtomicBool,
}

/// Adds the tenant of the ordinary clients to a configuration.
pub fn add_tenant(configuration: &mut Value) {
    if let Some(tenants) = configuration["tenants"].as_array_mut() {
        tenants.push(json!({ "name": "tenant-2", "api-keys": [KEY] }));
    }
}

/// Starts the runners of the plain service. Other requests than those of the ordinary clients are answered
/// with `body`, at once.
pub fn start_runners(store: &Store, ledger: &Arc<Ledger>, body: &str) {
    for number in 0..RUNNERS {
        let (ledger, body) = (ledger.clone(), body.to_owned());
        let address = runner::start(move |request, connection| {
            let id = request.field("dogwoodpier-request-id");
            let answer = match id.starts_with(PREFIX) {
                true => {
                    ledger.begun.lock().unwrap().insert(id.to_owned());
                    thread::sleep(WORK);
                    runner::sealed(id, "done")
                }
                false => runner::sealed(id, &body),
            };
            match connection.stream.write_all(&answer) {
                Ok(()) => Next::Keep,
                Err(_) => Next::Close,
            }
        });
        let entry = runner::entry(configuration::PLAIN, address, SLOTS, None);
        store.put("servers", &format!("runner-{number}"), entry);
    }
}

/// Starts the clients. Each sends its next order once it has the answer to the last one.
pub fn start_clients(
    address: SocketAddr,
    record: &Arc<Record>,
    ledger: &Arc<Ledger>,
) -> Vec<JoinHandle<()>> {
    (0..CLIENTS)
        .map(|client| {
            let (record, ledger) = (record.clone(), ledger.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !ledger.ends.load(Ordering::Relaxed) {
                    keep_sending(address, client, &mut number, &record, &ledger);
                    thread::sleep(RECONNECT_PAUSE);
                }
            })
        })
        .collect()
}

// Sends orders over one connection until it ends.
fn keep_sending(
    address: SocketAddr,
    client: usize,
    number: &mut usize,
    record: &Record,
    ledger: &Ledger,
) {
    let Ok(mut connection) = http::connect(address, Duration::from_millis(WAIT_MS)) else {
        return;
    };
    let mut is_kept = false;
    while !ledger.ends.load(Ordering::Relaxed) {
        *number += 1;
        let id = format!("{PREFIX}{client}-{number}");
        let request = client::request(configuration::ORDER, &id, WAIT_MS, "");
        let request = request.replace(configuration::KEY, KEY);
        if connection.get_mut().write_all(request.as_bytes()).is_err() {
            return;
        }
        match http::read_message(&mut connection) {
            Ok(Some(answer)) => {
                is_kept = true;
                match answer.status() {
                    200 => drop(ledger.answered.fetch_add(1, Ordering::Relaxed)),
                    _ => pause_after(&id, &answer, record),
                }
                if answer.field("connection") == "close" {
                    return;
                }
            }
            // The client's own time is over; the connection was not closed.
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
            Ok(None) | Err(_) => {
                if is_kept && ledger.begun.lock().unwrap().contains(&id) {
                    ledger.lost.fetch_add(1, Ordering::Relaxed);
                    record.line(format!("{id}: at a runner, closed without an answer"));
                }
                return;
            }
        }
    }
}

// Waits as a refusal asks.
fn pause_after(id: &str, answer: &Message, record: &Record) {
    let body = String::from_utf8_lossy(&answer.body);
    record.line(format!("{id}: {} {body}", answer.first_line));
    let wait_s = answer.field("retry-after").parse().unwrap_or(0.0);
    thread::sleep(RECONNECT_PAUSE.max(Duration::from_secs_f64(wait_s)));
}

impl Ledger {
    /// Ends the clients and returns the numbers of orders that were answered, and of those from kept
    /// connections that were passed on and whose connection was closed without an answer.
    pub fn finish(&self, clients: Vec<JoinHandle<()>>) -> (usize, usize) {
        self.ends.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        (count(&self.answered), count(&self.lost))
    }
}
