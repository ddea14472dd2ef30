//! A sound metadata store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;

const PREFIX: &str = "/dogwoodpier/objects/";

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
    calls: u64,
}

/// A running store. Clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Address.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr().expect("an address"),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object for the operator or a runner.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
    }

    /// Removes an object for the operator or a runner.
    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().remove(kind, name);
        changed.notify_all();
    }

    /// Returns the number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state
            .objects
            .keys()
            .filter(|(known, _)| known == kind)
            .count()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.0.lock().unwrap().calls
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read_message(&mut reader) {
            let (status, value) = self.answer(&call);
            let body = value.to_string();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Value) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let path = path.strip_prefix(PREFIX).unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let option = |name: &str| {
            let mut options = query.split('&').filter_map(|option| option.split_once('='));
            let found = options.find(|(known, _)| *known == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.calls += 1;
        if let Some(after) = option("watch") {
            let wait = Duration::from_millis(option("wait-ms").unwrap_or(0));
            let deadline = Instant::now() + wait;
            loop {
                let events = state.events_after(kind, after);
                let left = deadline.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return (
                        200,
                        json!({ "events": events, "store-revision": state.revision }),
                    );
                }
                state = changed.wait_timeout(state, left).unwrap().0;
            }
        }
        let answer = state.execute(call, kind, name, option("revision"));
        changed.notify_all();
        answer
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self
            .objects
            .get(&key)
            .filter(|object| object["spec"] == spec)
        {
            return object.clone();
        }
        self.revision += 1;
        let metadata = json!({ "name": name, "revision": self.revision });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        self.objects.insert(key, object.clone());
        let event = json!({ "removed": false, "object": object });
        self.events.push((self.revision, kind.to_owned(), event));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            let event = json!({ "removed": true, "object": object });
            self.events.push((self.revision, kind.to_owned(), event));
        }
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<Value> {
        let events = self.events.iter();
        let events = events.filter(|(revision, known, _)| *revision > after && known == kind);
        events.map(|(_, _, event)| event.clone()).collect()
    }

    fn execute(
        &mut self,
        call: &Message,
        kind: &str,
        name: &str,
        revision: Option<u64>,
    ) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        let key = |name: &str| (kind.to_owned(), name.to_owned());
        let method = call.word(0);
        if method == "GET" && name.is_empty() {
            let objects = self.objects.iter();
            let items = objects.filter(|((known, _), _)| known == kind);
            let items: Vec<&Value> = items.map(|(_, object)| object).collect();
            let revision = self.revision;
            let page = json!({ "items": items, "has-more": false, "store-revision": revision });
            return (200, page);
        }
        if method == "POST" {
            let name = body["metadata"]["name"].as_str().unwrap_or("");
            return match self.objects.get(&key(name)) {
                Some(object) => (409, object.clone()),
                None => (200, self.put(kind, name, body["spec"].clone())),
            };
        }
        let Some(object) = self.objects.get(&key(name)).cloned() else {
            return (404, Value::Null);
        };
        let expected = body["metadata"]["revision"].as_u64().or(revision);
        match method {
            "GET" => (200, object),
            _ if expected.is_some_and(|expected| object["metadata"]["revision"] != expected) => {
                (409, object)
            }
            "DELETE" => {
                self.remove(kind, name);
                (200, object)
            }
            _ => (200, self.put(kind, name, body["spec"].clone())),
        }
    }
}
