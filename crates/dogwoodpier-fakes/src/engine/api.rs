//! HTTP server of the engine's API.

use std::future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use dogwoodpier_upstream::wire::CancelReply;
use dogwoodpier_upstream::wire::CancelRequest;
use dogwoodpier_upstream::wire::HoldList;
use dogwoodpier_upstream::wire::LoadReport;
use dogwoodpier_upstream::wire::ReserveRequest;

use crate::crash::Crash;
use crate::engine::decode;
use crate::engine::faults::EngineFaults;
use crate::engine::options::EngineOptions;
use crate::engine::prefill;
use crate::engine::state::Reservation;
use crate::engine::state::State;
use crate::engine::transfer;
use crate::engine::transfer::Link;
use crate::faults::take_one;
use crate::respond;
use crate::seen::RequestRecorder;
use crate::server::Answer;
use crate::server::Cut;
use crate::server::Server;

/// Interval at which a hanging or stalled task checks whether the fault has been cleared.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);
const KV_PATH_PREFIX: &str = "/v1/kv/";

/// Stand-in for a model engine.
pub struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) crash: Crash,
    pub(crate) prefill_wake: Notify,
    pub(crate) decode_wake: Notify,
    pub(crate) outbound: Link,
    pub(crate) inbound: Link,
    seen: RequestRecorder,
    state: Mutex<State>,
}

impl Engine {
    /// Starts a server and the tasks that compute prefills and decodes and publish the load.
    pub async fn start(options: EngineOptions, crash: Crash) -> std::io::Result<Server> {
        let engine = Arc::new(Self {
            crash: crash.clone(),
            prefill_wake: Notify::new(),
            decode_wake: Notify::new(),
            outbound: Link::new(options.link_bytes_per_s),
            inbound: Link::new(options.link_bytes_per_s),
            seen: RequestRecorder::default(),
            state: Mutex::new(State::new(&options)),
            options,
        });
        spawn_until_crash(&engine, prefill::run(Arc::clone(&engine)));
        spawn_until_crash(&engine, decode::run(Arc::clone(&engine)));
        spawn_until_crash(&engine, publish_load(Arc::clone(&engine)));
        Server::start(engine.options.address, crash, move |request| {
            let engine = Arc::clone(&engine);
            async move { engine.handle(request).await }
        })
        .await
    }

    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Answer {
        let path = request.uri().path();
        if path.starts_with("/control/") {
            return self.control(&request);
        }
        self.seen.record(&request);
        if self.lock().faults.hang {
            return future::pending().await;
        }
        match path {
            "/v1/prefill" if self.options.role.prefills() => match respond::parse(&request) {
                Ok(parsed) => prefill::serve(&self, parsed).await,
                Err(error) => error.to_answer(),
            },
            "/v1/reserve" if self.options.role.decodes() => self.reserve(&request),
            "/v1/kv/import" if self.options.role.decodes() => match respond::parse(&request) {
                Ok(parsed) => transfer::import(&self, parsed).await,
                Err(error) => error.to_answer(),
            },
            "/v1/decode" if self.options.role.decodes() => match respond::parse(&request) {
                Ok(parsed) => decode::serve(&self, parsed),
                Err(error) => error.to_answer(),
            },
            "/v1/cancel" => self.cancel(&request),
            "/v1/holds" => {
                let holds = self.lock().holds();
                respond::json(StatusCode::OK, &HoldList { holds })
            }
            "/v1/load" => respond::json(StatusCode::OK, &self.published_load()),
            "/v1/cache/events" => {
                let after = respond::query(&request, "after").and_then(|after| after.parse().ok());
                let events = self.lock().cache.events_after(after.unwrap_or(0));
                respond::json(StatusCode::OK, &events)
            }
            _ => match path.strip_prefix(KV_PATH_PREFIX) {
                Some(handle) => transfer::export(&self, handle),
                None => respond::text(StatusCode::NOT_FOUND, "no such call"),
            },
        }
    }

    fn reserve(&self, request: &Request<Bytes>) -> Answer {
        let request: ReserveRequest = match respond::parse(request) {
            Ok(parsed) => parsed,
            Err(error) => return error.to_answer(),
        };
        let mut state = self.lock();
        if state.is_cancelled(&request.hold) {
            return respond::text(StatusCode::GONE, "hold was cancelled");
        }
        if state.reservations.contains_key(&request.hold) {
            return respond::json(StatusCode::OK, &serde_json::json!({}));
        }
        let free = state.free(&self.options);
        if request.sequences > free.free_sequences || request.pieces > free.free_pieces {
            state.stats.busy_refusals += 1;
            return respond::json(StatusCode::CONFLICT, &free);
        }
        state.reservations.insert(
            request.hold,
            Reservation {
                sequences: request.sequences,
                pieces: request.pieces,
                held_since: Instant::now(),
                imported: None,
                alive: watch::Sender::new(()),
            },
        );
        let sequences = state.held_sequences();
        state.stats.peak_sequences = state.stats.peak_sequences.max(sequences);
        let capacity = self.options.max_pieces.saturating_sub(state.held_pieces());
        state.cache.shrink(capacity as usize);
        if take_one(&mut state.faults.lose_reserve_answers) {
            return Err(Cut);
        }
        respond::json(StatusCode::OK, &serde_json::json!({}))
    }

    fn cancel(&self, request: &Request<Bytes>) -> Answer {
        let request: CancelRequest = match respond::parse(request) {
            Ok(parsed) => parsed,
            Err(error) => return error.to_answer(),
        };
        let mut state = self.lock();
        if take_one(&mut state.faults.lose_cancels) {
            return Err(Cut);
        }
        let released = state.cancel(&request.hold);
        self.prefill_wake.notify_one();
        if take_one(&mut state.faults.lose_cancel_answers) {
            return Err(Cut);
        }
        respond::json(StatusCode::OK, &CancelReply { released })
    }

    fn control(&self, request: &Request<Bytes>) -> Answer {
        match request.uri().path() {
            "/control/faults" => match respond::parse::<EngineFaults>(request) {
                Ok(faults) => {
                    let crash_now = faults.crash_now;
                    self.lock().faults = faults;
                    if crash_now {
                        self.crash.now();
                        return Err(Cut);
                    }
                }
                Err(error) => return error.to_answer(),
            },
            "/control/stats" => return respond::json(StatusCode::OK, &self.lock().stats()),
            "/control/seen" => return respond::json(StatusCode::OK, &self.seen.all()),
            _ => return respond::text(StatusCode::NOT_FOUND, "no such call"),
        }
        respond::text(StatusCode::OK, "done")
    }

    /// Returns the load report that was published last, with its age.
    fn published_load(&self) -> LoadReport {
        let state = self.lock();
        match &state.published_load {
            Some((published_at, report)) => LoadReport {
                age_ms: u64::try_from(published_at.elapsed().as_millis()).unwrap_or(u64::MAX),
                ..report.clone()
            },
            None => state.load(&self.options),
        }
    }

    /// Returns the time that a prefill takes to compute `tokens`, with the slowdown fault applied.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.options.prefill_tokens_per_s.max(1);
        self.apply_slowdown(Duration::from_micros(tokens * 1_000_000 / rate))
    }

    /// Applies the slowdown fault to a computation time.
    pub(crate) fn apply_slowdown(&self, time: Duration) -> Duration {
        let percent = u32::try_from(self.lock().faults.slow_percent).unwrap_or(u32::MAX);
        time * percent / 100
    }

    pub(crate) async fn wait_while_hanging(&self) {
        while self.lock().faults.hang {
            tokio::time::sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn wait_while_stalled(&self) {
        loop {
            let faults = self.lock().faults.clone();
            if !faults.stall_transfers && !faults.hang {
                return;
            }
            tokio::time::sleep(FAULT_POLL_INTERVAL).await;
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn spawn_until_crash<F>(engine: &Arc<Engine>, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let crash = engine.crash.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = crash.wait() => {}
        }
    });
}

async fn publish_load(engine: Arc<Engine>) {
    let interval = Duration::from_millis(engine.options.load_interval_ms.max(1));
    loop {
        {
            let mut state = engine.lock();
            let report = state.load(&engine.options);
            state.published_load = Some((Instant::now(), report));
        }
        tokio::time::sleep(interval).await;
    }
}
