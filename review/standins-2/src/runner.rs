//! Runners whose answers a case writes by itself.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;

/// What a runner does after an answer.
pub enum Next {
    /// Keeps the connection.
    Keep,
    /// Closes the connection.
    Close,
}

/// The connection on which a request came.
pub struct Connection {
    /// Stream for the answer.
    pub stream: TcpStream,
    /// What the case notes about the connection.
    pub note: String,
}

/// Starts a runner and returns its address. `answer` is called with each request.
pub fn start<A>(answer: A) -> SocketAddr
where
    A: Fn(&Message, &mut Connection) -> Next + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve(stream, &*answer));
        }
    });
    address
}

fn serve<A>(stream: TcpStream, answer: &A)
where
    A: Fn(&Message, &mut Connection) -> Next,
{
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let mut connection = Connection {
        stream: writer,
        note: String::new(),
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        if let Next::Close = answer(&request, &mut connection) {
            return;
        }
    }
}

/// Returns the entry of a runner in the store.
pub fn entry(service: &str, address: SocketAddr, slots: u32, stage: Option<&str>) -> Value {
    let mut entry = json!({
        "service": service,
        "address": address.to_string(),
        "zone": "a",
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": 1_700_000_000_000_u64,
    });
    if let Some(stage) = stage {
        entry["stage"] = stage.into();
        entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
    }
    entry
}

/// Returns the head and body of an answer with a seal.
pub fn sealed(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nDogwoodpier-Request-Id: {id}\r\nDogwoodpier-Upstream-Seal: s.{id}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// Returns the refusal of a runner that is full.
pub fn refusal(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nDogwoodpier-Request-Id: {id}\r\n\
         Dogwoodpier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
