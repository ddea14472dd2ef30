//! HTTP server of the object API.

use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::sync::watch;
use tokio::time::Instant;

use dogwoodpier_derive::plain;
use dogwoodpier_platform::wire::Conflict;
use dogwoodpier_platform::wire::InstanceList;
use dogwoodpier_platform::wire::PutBody;
use dogwoodpier_platform::wire::Written;

use crate::crash::Crash;
use crate::faults::delay;
use crate::faults::take_one;
use crate::platform::faults::Outage;
use crate::platform::faults::PlatformFaults;
use crate::platform::instances::LaggingList;
use crate::platform::store::Store;
use crate::platform::store::WriteResult;
use crate::respond;
use crate::server::Answer;
use crate::server::Cut;
use crate::server::Server;

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
const OBJECTS_PATH: &str = "/v1/objects/";

/// Options of a stand-in for the platform.
#[plain]
pub struct PlatformOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Delay until a change of the instance list is published.
    pub instances_lag_ms: u64,
}

/// Stand-in for the platform.
pub struct Platform {
    inner: Mutex<Inner>,
    /// Store revision; updated after each write and each change of the faults to wake the pending
    /// watch calls.
    changed: watch::Sender<u64>,
}

struct Inner {
    store: Store,
    instances: LaggingList,
    faults: PlatformFaults,
    calls: BTreeMap<&'static str, u64>,
}

impl Platform {
    /// Starts a server with an empty store.
    pub async fn start(options: PlatformOptions, crash: Crash) -> std::io::Result<Server> {
        let platform = Arc::new(Self {
            inner: Mutex::new(Inner {
                store: Store::default(),
                instances: LaggingList::new(options.instances_lag_ms),
                faults: PlatformFaults::default(),
                calls: BTreeMap::new(),
            }),
            changed: watch::Sender::new(0),
        });
        Server::start(options.address, crash, move |request| {
            let platform = Arc::clone(&platform);
            async move { platform.handle(request).await }
        })
        .await
    }

    async fn handle(&self, request: Request<Bytes>) -> Answer {
        let path = request.uri().path();
        if path.starts_with("/control/") {
            return self.control(&request);
        }
        let slow_ms = self.count_call(operation(&request));
        delay(slow_ms).await;
        self.apply_outage().await?;
        if self.lock().faults.outage == Some(Outage::Refuse) {
            return respond::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        match path {
            "/v1/instances" => respond::json(StatusCode::OK, self.lock().instances.published()),
            "/v1/watch" => self.watch(&request).await,
            _ => match path.strip_prefix(OBJECTS_PATH) {
                Some(object_path) => self.handle_object(&request, object_path),
                None => respond::text(StatusCode::NOT_FOUND, "no such call"),
            },
        }
    }

    fn handle_object(&self, request: &Request<Bytes>, object_path: &str) -> Answer {
        let Some((kind, name)) = object_path.split_once('/') else {
            let prefix = respond::unescape(respond::query(request, "prefix").unwrap_or_default());
            let listing = self
                .lock()
                .store
                .list(&respond::unescape(object_path), &prefix);
            return respond::json(StatusCode::OK, &listing);
        };
        let kind = respond::unescape(kind);
        let name = respond::unescape(name);
        if request.method() == Method::GET {
            return match self.lock().store.get(&kind, &name) {
                Some(object) => respond::json(StatusCode::OK, object),
                None => respond::text(StatusCode::NOT_FOUND, "no such object"),
            };
        }
        if request.body().len() > MAX_VALUE_BYTES {
            return respond::text(StatusCode::PAYLOAD_TOO_LARGE, "value over a megabyte");
        }
        let if_version = match respond::query(request, "if_version").map(str::parse) {
            Some(Err(_)) => return respond::text(StatusCode::BAD_REQUEST, "bad if_version"),
            Some(Ok(version)) => Some(version),
            None => None,
        };
        self.write(request, &kind, &name, if_version)
    }

    fn write(
        &self,
        request: &Request<Bytes>,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
    ) -> Answer {
        let mut inner = self.lock();
        let only_kind = inner.faults.lose_only_kind.as_deref();
        let may_lose = only_kind.is_none_or(|only_kind| only_kind == kind);
        if may_lose && take_one(&mut inner.faults.lose_writes) {
            return Err(Cut);
        }
        let written = if *request.method() == Method::DELETE {
            inner.store.delete(kind, name, if_version)
        } else {
            match respond::parse::<PutBody>(request) {
                Ok(body) => Some(inner.store.put(kind, name, body.value, if_version)),
                Err(error) => return error.to_answer(),
            }
        };
        self.changed.send_replace(inner.store.revision());
        if may_lose && take_one(&mut inner.faults.lose_answers) {
            return Err(Cut);
        }
        match written {
            Some(WriteResult::Applied(version)) => {
                respond::json(StatusCode::OK, &Written { version })
            }
            Some(WriteResult::Conflict(current)) => {
                respond::json(StatusCode::CONFLICT, &Conflict { current })
            }
            None => respond::text(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    async fn watch(&self, request: &Request<Bytes>) -> Answer {
        let numeric_parameter = |name| respond::query(request, name)?.parse::<u64>().ok();
        let (Some(after), Some(wait_ms)) =
            (numeric_parameter("after"), numeric_parameter("wait_ms"))
        else {
            return respond::text(StatusCode::BAD_REQUEST, "after and wait_ms are numbers");
        };
        let kinds = respond::unescape(respond::query(request, "kinds").unwrap_or_default());
        let kinds: Vec<&str> = kinds.split(',').collect();
        let deadline = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let Some(changes) = self.lock().store.changes(&kinds, after) else {
                return respond::text(StatusCode::GONE, "revision too old");
            };
            if !changes.changes.is_empty() || Instant::now() >= deadline {
                return respond::json(StatusCode::OK, &changes);
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
            self.apply_outage().await?;
            if self.lock().faults.outage == Some(Outage::Refuse) {
                return respond::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
            }
        }
    }

    fn control(&self, request: &Request<Bytes>) -> Answer {
        let mut inner = self.lock();
        match request.uri().path() {
            "/control/instances" => match respond::parse::<InstanceList>(request) {
                Ok(list) => inner.instances.set(list),
                Err(error) => return error.to_answer(),
            },
            "/control/faults" => match respond::parse::<PlatformFaults>(request) {
                Ok(faults) => {
                    inner.faults = faults;
                    self.changed.send_replace(inner.store.revision());
                }
                Err(error) => return error.to_answer(),
            },
            "/control/stats" => return respond::json(StatusCode::OK, &inner.calls),
            _ => return respond::text(StatusCode::NOT_FOUND, "no such call"),
        }
        respond::text(StatusCode::OK, "done")
    }

    /// Leaves a call unanswered or closes its connection if the current outage asks for that.
    /// Rejections of [`Outage::Refuse`] are sent by the callers of this function.
    async fn apply_outage(&self) -> Result<(), Cut> {
        let outage = self.lock().faults.outage;
        match outage {
            Some(Outage::Hang) => future::pending().await,
            Some(Outage::Cut) => Err(Cut),
            Some(Outage::Refuse) | None => Ok(()),
        }
    }

    /// Counts a call and returns the delay to inject.
    fn count_call(&self, operation: &'static str) -> u64 {
        let mut inner = self.lock();
        *inner.calls.entry(operation).or_default() += 1;
        inner.faults.slow_ms
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn operation(request: &Request<Bytes>) -> &'static str {
    let path = request.uri().path();
    match (request.method(), path) {
        (_, "/v1/instances") => "instances",
        (_, "/v1/watch") => "watch",
        (&Method::PUT, _) => "put",
        (&Method::DELETE, _) => "delete",
        _ if path.trim_start_matches(OBJECTS_PATH).contains('/') => "get",
        _ => "list",
    }
}
