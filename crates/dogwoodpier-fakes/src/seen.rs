//! Records the requests that an upstream received, so that tests can check that no API key leaks to
//! upstreams.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http::Request;

use dogwoodpier_derive::wire;

const MAX_RECORDED_BYTES: usize = 8 * 1024 * 1024;

/// A request as it arrived.
#[wire]
pub struct SeenRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Names and values of headers.
    pub headers: Vec<(String, String)>,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

impl SeenRequest {
    fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        self.uri.len() + headers + self.body.len()
    }
}

/// Recorder of the most recent requests of a server. The oldest are dropped beyond
/// `MAX_RECORDED_BYTES`.
#[derive(Default)]
pub struct RequestRecorder {
    log: Mutex<RequestLog>,
}

#[derive(Default)]
struct RequestLog {
    requests: VecDeque<SeenRequest>,
    size_bytes: usize,
}

impl RequestRecorder {
    /// Records a request.
    pub fn record(&self, request: &Request<Bytes>) {
        let headers = request
            .headers()
            .iter()
            .map(|(name, value)| (name.to_string(), lossy(value.as_bytes())))
            .collect();
        let seen = SeenRequest {
            method: request.method().to_string(),
            uri: request.uri().to_string(),
            headers,
            body: lossy(request.body()),
        };
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.size_bytes += seen.size_bytes();
        log.requests.push_back(seen);
        while log.size_bytes > MAX_RECORDED_BYTES
            && let Some(oldest) = log.requests.pop_front()
        {
            log.size_bytes -= oldest.size_bytes();
        }
    }

    /// Returns the recorded requests, oldest first.
    pub fn all(&self) -> Vec<SeenRequest> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.requests.iter().cloned().collect()
    }
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
