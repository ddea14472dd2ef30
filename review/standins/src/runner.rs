//! Stand-in of a runner, as a process of its own.
//!
//! Standard input takes orders: `drain` makes it leave, `spoil N` has each Nth answer of the prefill
//! stage go on without end, `sound` ends that. It exits with the end of its input.

use std::fs::OpenOptions;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;
use crate::store::HEARTBEAT;

const REQUEST_ID: &str = "Dogwoodpier-Request-Id";
const SEAL: &str = "Dogwoodpier-Upstream-Seal";
// The pages' drain-ms, and the little longer for which a runner goes on.
const DRAIN: Duration = Duration::from_millis(2_000);
const DRAIN_MARGIN: Duration = Duration::from_millis(300);
const SPOILED_INTERVAL: Duration = Duration::from_millis(100);

struct Runner {
    options: Value,
    born: u64,
    draining: AtomicBool,
    active: AtomicUsize,
    // Each so many answers of the prefill stage one is spoiled; 0 for none.
    spoiled_each: AtomicU64,
    prefills: AtomicU64,
    sequence: AtomicU64,
    address: SocketAddr,
}

/// Runs a runner until its input ends.
pub fn run(options: &str) -> io::Result<()> {
    let options: Value = serde_json::from_str(options)?;
    let address = options["address"].as_str().unwrap_or("127.0.0.1:0");
    let listener = TcpListener::bind(address)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let runner = Arc::new(Runner {
        address: listener.local_addr()?,
        options,
        born: now.map_or(0, |now| now.as_millis() as u64),
        draining: AtomicBool::new(false),
        active: AtomicUsize::new(0),
        spoiled_each: AtomicU64::new(0),
        prefills: AtomicU64::new(0),
        sequence: AtomicU64::new(0),
    });
    let serving = runner.clone();
    http::serve(listener, move |request, stream| {
        serving.answer(request, stream)
    });
    let beating = runner.clone();
    thread::spawn(move || {
        loop {
            // A store that is down answers later.
            let _ = beating.write_entry();
            thread::sleep(HEARTBEAT);
        }
    });
    println!("{}", runner.address);
    for order in io::stdin().lock().lines() {
        let order = order?;
        match order.split_once(' ') {
            Some(("spoil", each)) => {
                let each = each.parse().unwrap_or(0);
                runner.spoiled_each.store(each, Ordering::SeqCst);
            }
            _ if order == "sound" => runner.spoiled_each.store(0, Ordering::SeqCst),
            _ if order == "drain" => runner.leave(),
            _ => eprintln!("unknown order {order}"),
        }
    }
    Ok(())
}

impl Runner {
    fn text(&self, field: &str) -> &str {
        self.options[field].as_str().unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        self.options[field].as_u64().unwrap_or(0)
    }

    fn log(&self, line: &str) {
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.text("log"));
        let line = format!("{} {} {line}\n", self.text("id"), self.text("version"));
        if let Err(error) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            eprintln!("the log can't be written: {error}");
        }
    }

    // Writes the entry, and returns once the store has accepted it.
    fn write_entry(&self) -> io::Result<()> {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let mut entry = json!({
            "service": self.text("service"),
            "address": self.address.to_string(),
            "zone": "zg-a",
            "version": self.text("version"),
            "slots": self.number("slots"),
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence.fetch_add(1, Ordering::SeqCst),
            "born": self.born,
        });
        if !self.text("stage").is_empty() {
            entry["stage"] = self.options["stage"].clone();
            entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
        }
        let id = self.text("id");
        let body = json!({ "metadata": { "name": id }, "spec": entry }).to_string();
        let collection = "/dogwoodpier/objects/servers";
        match self.call("POST", collection, &body)? {
            409 => match self.call("PUT", &format!("{collection}/{id}"), &body)? {
                200 => Ok(()),
                status => Err(io::Error::other(format!("status {status}"))),
            },
            200 => Ok(()),
            status => Err(io::Error::other(format!("status {status}"))),
        }
    }

    fn call(&self, method: &str, path: &str, body: &str) -> io::Result<u16> {
        let mut stream = TcpStream::connect(self.text("store"))?;
        let length = body.len();
        let text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?.unwrap_or_default();
        Ok(head.word(1).parse().unwrap_or(0))
    }

    // Reports that it drains, serves for `drain-ms` after the store has accepted that and a little
    // longer, and exits.
    fn leave(&self) {
        self.draining.store(true, Ordering::SeqCst);
        while let Err(error) = self.write_entry() {
            eprintln!("the entry can't be written: {error}");
            thread::sleep(Duration::from_millis(100));
        }
        self.log("draining acknowledged");
        thread::sleep(DRAIN + DRAIN_MARGIN);
        self.log(&format!(
            "exits, active {}",
            self.active.load(Ordering::SeqCst)
        ));
        std::process::exit(0);
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("dogwoodpier-request-id").unwrap_or_default();
        let expected = request.header("dogwoodpier-expect-instance");
        if expected.is_some_and(|expected| expected != self.text("id")) {
            return self.reject(stream, "421 Misdirected Request", id);
        }
        let prefills = request.header("dogwoodpier-serving-stage") == Some("prefill");
        if prefills != (self.text("stage") == "prefill") {
            return self.reject(stream, "421 Misdirected Request", id);
        }
        let limit = self.number("slots") as usize;
        if self.active.fetch_add(1, Ordering::SeqCst) >= limit {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return self.reject(stream, "503 Service Unavailable", id);
        }
        let result = match self.text("stage") {
            "" => self.serve_plain(stream, id),
            "prefill" => self.prefill(stream, id),
            _ => self.decode(request, stream, id),
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        if let Err(error) = &result {
            self.log(&format!("ends {id}: {error}"));
        }
        result
    }

    fn reject(&self, stream: &mut TcpStream, status: &str, id: &str) -> io::Result<bool> {
        self.log(&format!("rejects {id} with {status}"));
        let mut headers = vec![("Dogwoodpier-Not-Executed", "1"), (REQUEST_ID, id)];
        if self.draining.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        http::respond(stream, status, &headers, b"")?;
        Ok(true)
    }

    // Writes the head of an answer. One without a length ends with its connection.
    fn begin(&self, stream: &mut TcpStream, id: &str, kind: &str) -> io::Result<()> {
        let framing = match self.text("framing") {
            "unframed" => "Connection: close\r\n",
            _ => "Transfer-Encoding: chunked\r\n",
        };
        let leaving = match self.draining.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n{SEAL}: s\r\nContent-Type: {kind}\r\n\
             Dogwoodpier-Weight-Versions: 1\r\n{leaving}{framing}\r\n"
        );
        stream.write_all(head.as_bytes())
    }

    fn piece(&self, stream: &mut TcpStream, text: &str) -> io::Result<()> {
        match self.text("framing") {
            "unframed" => stream.write_all(text.as_bytes()),
            _ => stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()),
        }
    }

    // Ends an answer. Returns whether its connection stays open.
    fn end(&self, stream: &mut TcpStream) -> io::Result<bool> {
        if self.text("framing") == "unframed" {
            return Ok(false);
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    fn serve_plain(&self, stream: &mut TcpStream, id: &str) -> io::Result<bool> {
        self.log(&format!("runs {id}"));
        thread::sleep(Duration::from_millis(self.number("work_ms")));
        self.begin(stream, id, "text/plain")?;
        for number in 1..=self.number("events") {
            self.piece(stream, &format!("piece {number} for {id}\n"))?;
            thread::sleep(Duration::from_millis(self.number("gap_ms")));
        }
        self.log(&format!("completes {id}"));
        self.end(stream)
    }

    fn prefill(&self, stream: &mut TcpStream, id: &str) -> io::Result<bool> {
        thread::sleep(Duration::from_millis(self.number("work_ms")));
        let number = self.prefills.fetch_add(1, Ordering::SeqCst) + 1;
        let each = self.spoiled_each.load(Ordering::SeqCst);
        if each > 0 && number.is_multiple_of(each) {
            return self.spoil(stream, id);
        }
        let handle = format!("{:x}{number:x}", self.born);
        let body = json!({ "kv-handle": handle, "tokens": 1, "version": 1 }).to_string();
        let headers = [(REQUEST_ID, id), ("Content-Type", "application/json")];
        http::respond(stream, "200 OK", &headers, body.as_bytes())?;
        Ok(true)
    }

    // Bytes that are no answer, without end, until the caller closes.
    fn spoil(&self, stream: &mut TcpStream, id: &str) -> io::Result<bool> {
        self.log(&format!("spoils the prefill of {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\nContent-Type: application/json\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        loop {
            stream.write_all(b"~~~~~~~~")?;
            thread::sleep(SPOILED_INTERVAL);
        }
    }

    fn decode(&self, request: &Message, stream: &mut TcpStream, id: &str) -> io::Result<bool> {
        let header = |name: &str| request.header(name).and_then(|text| text.parse().ok());
        let limit = Duration::from_millis(header("dogwoodpier-deadline-remaining").unwrap_or(0));
        let deadline = Instant::now() + limit;
        let after: u64 = header("last-event-id").unwrap_or(0);
        self.log(&format!("runs {id} after {after}"));
        self.begin(stream, id, "text/event-stream")?;
        for number in after + 1..=self.number("events") {
            thread::sleep(Duration::from_millis(self.number("gap_ms")));
            if Instant::now() > deadline {
                return Err(io::Error::other("the deadline has passed"));
            }
            let (runner, version) = (self.text("id"), self.text("version"));
            self.piece(
                stream,
                &format!("id: {number}\ndata: {id} {runner} {version}\n\n"),
            )?;
        }
        self.log(&format!("completes {id}"));
        self.end(stream)
    }
}
