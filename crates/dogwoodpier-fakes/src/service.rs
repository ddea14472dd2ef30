//! Stand-in for a plain service that counts the calls that it ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use tokio::sync::mpsc;

use dogwoodpier_derive::plain;
use dogwoodpier_derive::wire;

use crate::crash::Crash;
use crate::faults::delay;
use crate::faults::take_one;
use crate::respond;
use crate::seen::RequestRecorder;
use crate::server::Answer;
use crate::server::Cut;
use crate::server::Server;

/// Header with the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Delay that lets the server flush the first half of a truncated answer before it closes the
/// connection.
const FLUSH_DELAY: Duration = Duration::from_millis(20);
/// A request body that contains this text crashes the service before the call runs.
pub const CRASH_MARKER: &str = "#crash#";

/// Options of a stand-in for a plain service.
#[plain]
pub struct ServiceOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Duration of each call.
    pub work_ms: u64,
}

/// Faults to inject. The body of `POST /control/faults` replaces all of them.
#[wire]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of next calls at which the service crashes before it runs them.
    pub die_before: u32,
    /// Number of next calls at which the service crashes after it ran them.
    pub die_after: u32,
    /// Number of next calls whose connection is closed before they run.
    pub cut_before: u32,
    /// Number of next calls whose connection is closed after they ran.
    pub cut_after: u32,
    /// Number of next calls that get the answer to the previous call.
    pub cross_answers: u32,
    /// Number of next calls whose connection is closed in the middle of the answer body.
    pub truncate: u32,
    /// Number of next calls that get status 500 after they ran.
    pub fail_after: u32,
    /// Delay of each call before it runs.
    pub delay_ms: u64,
    /// True to leave all calls unanswered.
    pub hang: bool,
}

/// Counters of the calls that a service ran.
#[wire]
#[derive(Default)]
pub struct ServiceStats {
    /// Calls that ran.
    pub runs: u64,
    /// Calls that ran, by their `x-request-id`.
    pub runs_by_id: BTreeMap<String, u64>,
    /// Calls that ran, by method, path and body.
    pub runs_by_body: BTreeMap<String, u64>,
}

/// Body of a service's answer.
#[wire]
pub struct ServiceAnswer {
    /// The `x-request-id` of the call.
    pub request_id: String,
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub uri: String,
    /// Body of the call, with invalid UTF-8 replaced.
    pub body: String,
    /// Number of calls that this service has run, including this one.
    pub runs: u64,
}

/// Stand-in for a plain service.
pub struct Service {
    work_ms: u64,
    crash: Crash,
    seen: RequestRecorder,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: ServiceFaults,
    stats: ServiceStats,
    last_answer: Option<ServiceAnswer>,
}

impl Service {
    /// Starts a server without faults.
    pub async fn start(options: ServiceOptions, crash: Crash) -> std::io::Result<Server> {
        let service = Arc::new(Self {
            work_ms: options.work_ms,
            crash: crash.clone(),
            seen: RequestRecorder::default(),
            inner: Mutex::default(),
        });
        Server::start(options.address, crash, move |request| {
            let service = Arc::clone(&service);
            async move { service.handle(request).await }
        })
        .await
    }

    async fn handle(&self, request: Request<Bytes>) -> Answer {
        if request.uri().path().starts_with("/control/") {
            return self.control(&request);
        }
        self.seen.record(&request);
        self.inject_faults_before_run(&request).await?;
        let answer = self.run(&request);
        delay(self.work_ms).await;
        self.inject_faults_after_run(answer)
    }

    async fn inject_faults_before_run(&self, request: &Request<Bytes>) -> Result<(), Cut> {
        let (delay_ms, hang) = {
            let mut inner = self.lock();
            if take_one(&mut inner.faults.die_before) {
                self.crash.now();
                return Err(Cut);
            }
            if take_one(&mut inner.faults.cut_before) {
                return Err(Cut);
            }
            (inner.faults.delay_ms, inner.faults.hang)
        };
        if String::from_utf8_lossy(request.body()).contains(CRASH_MARKER) {
            self.crash.now();
            return Err(Cut);
        }
        if hang {
            std::future::pending::<()>().await;
        }
        delay(delay_ms).await;
        Ok(())
    }

    fn run(&self, request: &Request<Bytes>) -> ServiceAnswer {
        let request_id = request
            .headers()
            .get(REQUEST_ID_HEADER)
            .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
            .unwrap_or_default();
        let method = request.method().to_string();
        let uri = request.uri().to_string();
        let body = String::from_utf8_lossy(request.body()).into_owned();
        let mut inner = self.lock();
        let stats = &mut inner.stats;
        stats.runs += 1;
        *stats.runs_by_id.entry(request_id.clone()).or_default() += 1;
        let by_body = format!("{method} {uri} {body}");
        *stats.runs_by_body.entry(by_body).or_default() += 1;
        ServiceAnswer {
            request_id,
            method,
            uri,
            body,
            runs: stats.runs,
        }
    }

    fn inject_faults_after_run(&self, answer: ServiceAnswer) -> Answer {
        let mut inner = self.lock();
        let previous = inner.last_answer.replace(answer.clone());
        let faults = &mut inner.faults;
        if take_one(&mut faults.die_after) {
            self.crash.now();
            return Err(Cut);
        }
        if take_one(&mut faults.cut_after) {
            return Err(Cut);
        }
        if take_one(&mut faults.fail_after) {
            return respond::text(StatusCode::INTERNAL_SERVER_ERROR, "failed on purpose");
        }
        if take_one(&mut faults.truncate) {
            return truncated_answer(&answer);
        }
        if let Some(previous) = previous
            && take_one(&mut faults.cross_answers)
        {
            return complete_answer(&previous);
        }
        complete_answer(&answer)
    }

    fn control(&self, request: &Request<Bytes>) -> Answer {
        match request.uri().path() {
            "/control/faults" => match respond::parse::<ServiceFaults>(request) {
                Ok(faults) => self.lock().faults = faults,
                Err(error) => return error.to_answer(),
            },
            "/control/stats" => return respond::json(StatusCode::OK, &self.lock().stats),
            "/control/seen" => return respond::json(StatusCode::OK, &self.seen.all()),
            _ => return respond::text(StatusCode::NOT_FOUND, "no such call"),
        }
        respond::text(StatusCode::OK, "done")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn complete_answer(answer: &ServiceAnswer) -> Answer {
    let mut response = respond::json(StatusCode::OK, answer)?;
    let id = HeaderValue::from_str(&answer.request_id).map_err(|_| Cut)?;
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    Ok(response)
}

fn truncated_answer(answer: &ServiceAnswer) -> Answer {
    let body = serde_json::to_vec(answer).map_err(|_| Cut)?;
    let (chunks, receiver) = mpsc::channel(1);
    let first_half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    tokio::spawn(async move {
        // Sending fails if the caller has disconnected, which ends the connection anyway.
        let _ = chunks.send(Ok(first_half)).await;
        // On the error the server would drop the bytes that it hasn't flushed yet.
        tokio::time::sleep(FLUSH_DELAY).await;
        let _ = chunks.send(Err(Cut)).await;
    });
    let mut response = respond::stream("application/json", receiver)?;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, body.len().into());
    let id = HeaderValue::from_str(&answer.request_id).map_err(|_| Cut)?;
    headers.insert(REQUEST_ID_HEADER, id);
    Ok(response)
}
