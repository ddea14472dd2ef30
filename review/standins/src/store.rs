//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Message;

const PREFIX: &str = "/dogwoodpier/objects/";
const SERVERS: &str = "servers";
/// Time between two writes of a runner.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LAPSE_HEARTBEATS: u32 = 3;

type Key = (String, String);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Key, Value>,
    events: Vec<(u64, String, Value)>,
    beats: BTreeMap<String, Instant>,
    down: bool,
    // How often the store has come back from a copy.
    restores: u64,
}

/// A copy of what a store holds.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<Key, Value>,
    events: Vec<(u64, String, Value)>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

/// Addresses that one machine sees instead of others, as its paths lead through proxies.
pub type View = Vec<(String, String)>;

impl Store {
    /// Starts a store, whose runners' entries lapse.
    pub fn start() -> Self {
        let store = Self::default();
        let lapsing = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                lapsing.remove_lapsed();
            }
        });
        store
    }

    /// Opens an address at which the store is reached.
    pub fn open(&self, view: View) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        http::serve(listener, move |request, stream| {
            store.answer(request, stream, &view)
        });
        address
    }

    /// Writes an object in place of the operator.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.lock().put(kind, name, spec);
        self.shared.changed.notify_all();
    }

    /// Turns the store off: it answers 503, which means that nothing was done. Or turns it on again.
    pub fn set_down(&self, down: bool) {
        let mut state = self.lock();
        state.down = down;
        let now = Instant::now();
        // Runners renew their entries first.
        for beat in state.beats.values_mut() {
            *beat = now;
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
            events: state.events.clone(),
        }
    }

    /// Goes back to a copy. What the operator and the runners wrote since has to be written again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.lock();
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events = copy.events;
        state.restores += 1;
        drop(state);
        self.shared.changed.notify_all();
    }

    fn remove_lapsed(&self) {
        let mut state = self.lock();
        if state.down {
            return;
        }
        let limit = HEARTBEAT * LAPSE_HEARTBEATS;
        let beats = state.beats.iter();
        let lapsed: Vec<String> = beats
            .filter(|(_, beat)| beat.elapsed() > limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &lapsed {
            state.beats.remove(name);
            state.remove(SERVERS, name);
        }
        drop(state);
        if !lapsed.is_empty() {
            self.shared.changed.notify_all();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no thread panics")
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, view: &View) -> io::Result<bool> {
        let (status, body) = self.execute(request);
        let mut text = body.to_string();
        for (address, seen) in view {
            text = text.replace(&format!("\"{address}\""), &format!("\"{seen}\""));
        }
        let era = (1 + self.lock().restores).to_string();
        let headers = [
            ("content-type", "application/json"),
            ("store-era", era.as_str()),
        ];
        http::respond(stream, status, &headers, text.as_bytes())?;
        Ok(true)
    }

    fn execute(&self, request: &Message) -> (&'static str, Value) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix(PREFIX).unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let option = |name: &str| {
            let mut options = query.split('&').filter_map(|option| option.split_once('='));
            let found = options.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        if self.lock().down {
            return ("503 Service Unavailable", Value::Null);
        }
        if let Some(after) = option("watch") {
            let wait = Duration::from_millis(option("wait-ms").unwrap_or(0));
            return self.watch(kind, after, wait);
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expected = body["metadata"]["revision"].as_u64().or(option("revision"));
        let mut state = self.lock();
        let result = match request.word(0) {
            "GET" if name.is_empty() => ("200 OK", state.list(kind)),
            "POST" => {
                let name = body["metadata"]["name"].as_str().unwrap_or_default();
                match state.get(kind, name) {
                    Some(object) => ("409 Conflict", object),
                    None => ("200 OK", state.put(kind, name, body["spec"].clone())),
                }
            }
            method => match (method, state.get(kind, name)) {
                (_, None) => ("404 Not Found", Value::Null),
                ("GET", Some(object)) => ("200 OK", object),
                (_, Some(object))
                    if expected.is_some_and(|revision| {
                        object["metadata"]["revision"].as_u64() != Some(revision)
                    }) =>
                {
                    ("409 Conflict", object)
                }
                ("DELETE", Some(_)) => ("200 OK", state.remove(kind, name)),
                _ => ("200 OK", state.put(kind, name, body["spec"].clone())),
            },
        };
        drop(state);
        self.shared.changed.notify_all();
        result
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, Value) {
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.down {
                return ("503 Service Unavailable", Value::Null);
            }
            if after > state.revision {
                return ("410 Gone", Value::Null);
            }
            let events = state.events.iter();
            let events: Vec<Value> = events
                .filter(|(revision, other, _)| *revision > after && other == kind)
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json!({ "events": events, "store-revision": state.revision });
                return ("200 OK", body);
            }
            let woken = self.shared.changed.wait_timeout(state, left);
            state = woken.expect("no thread panics").0;
        }
    }
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.objects.get(&key).cloned()
    }

    fn list(&self, kind: &str) -> Value {
        let objects = self.objects.iter();
        let items: Vec<&Value> = objects
            .filter(|((other, _), _)| other == kind)
            .map(|(_, object)| object)
            .collect();
        json!({ "items": items, "has-more": false, "store-revision": self.revision })
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        if kind == SERVERS {
            self.beats.insert(name.to_owned(), Instant::now());
        }
        let unchanged = self.get(kind, name).filter(|object| {
            let without_sequence = |value: &Value| {
                let mut value = value.clone();
                if let Some(entry) = value.as_object_mut().filter(|_| kind == SERVERS) {
                    entry.remove("sequence");
                }
                value
            };
            without_sequence(&object["spec"]) == without_sequence(&spec)
        });
        if let Some(object) = unchanged {
            return object;
        }
        self.revision += 1;
        let metadata = json!({ "name": name, "revision": self.revision, "finalizers": [] });
        let object = json!({ "metadata": metadata, "spec": spec, "status": null });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.record(kind, false, &object);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.remove(&key) else {
            return Value::Null;
        };
        self.revision += 1;
        self.record(kind, true, &object);
        object
    }

    fn record(&mut self, kind: &str, removed: bool, object: &Value) {
        let event = json!({ "object": object, "removed": removed });
        self.events.push((self.revision, kind.to_owned(), event));
    }
}
