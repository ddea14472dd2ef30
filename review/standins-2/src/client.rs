//! Requests of clients.

use crate::configuration::HOST;
use crate::configuration::KEY;

/// Returns a request without a body. `further` are header lines, each with its end.
pub fn request(path: &str, id: &str, wait_ms: u64, further: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nDogwoodpier-Request-Id: {id}\r\n\
         Dogwoodpier-Deadline-Remaining: {wait_ms}\r\nAuthorization: Bearer {KEY}\r\n{further}\
         Content-Length: 0\r\n\r\n"
    )
}
