//! What an upstream saw of its callers, so that a test can search it for keys.

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
    /// Path with query.
    pub uri: String,
    /// Names and values of headers.
    pub headers: Vec<(String, String)>,
    /// Body, invalid UTF-8 replaced.
    pub body: String,
}

impl SeenRequest {
    fn size_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        self.uri.len() + headers + self.body.len()
    }
}

/// The latest requests of a server, a bounded number of bytes.
#[derive(Default)]
pub struct Seen {
    records: Mutex<Records>,
}

#[derive(Default)]
struct Records {
    requests: VecDeque<SeenRequest>,
    size_bytes: usize,
}

impl Seen {
    /// Records a request.
    pub fn record(&self, request: &Request<Bytes>) {
        let headers = request
            .headers()
            .iter()
            .map(|(name, value)| (name.to_string(), lossy(value.as_bytes())))
            .collect();
        let record = SeenRequest {
            method: request.method().to_string(),
            uri: request.uri().to_string(),
            headers,
            body: lossy(request.body()),
        };
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.size_bytes += record.size_bytes();
        records.requests.push_back(record);
        while records.size_bytes > MAX_RECORDED_BYTES
            && let Some(oldest) = records.requests.pop_front()
        {
            records.size_bytes -= oldest.size_bytes();
        }
    }

    /// Returns the recorded requests, oldest first.
    pub fn all(&self) -> Vec<SeenRequest> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.requests.iter().cloned().collect()
    }
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
