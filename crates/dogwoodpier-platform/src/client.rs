//! The client.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use dogwoodpier_derive::plain;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;

use crate::calls::CONFLICT;
use crate::calls::CallCount;
use crate::calls::Calls;
use crate::calls::Operation;
use crate::calls::result_place;
use crate::error::Error;
use crate::error::Result;
use crate::wire::Changes;
use crate::wire::Conflict;
use crate::wire::InstanceList;
use crate::wire::Listing;
use crate::wire::Object;
use crate::wire::Written;

/// Listings can hold many objects of up to a megabyte each.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// What RFC 3986 leaves unreserved.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Where the platform is and how long its calls may take.
#[plain]
pub struct ClientOptions {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Longest time for one call; a watch gets its wait on top.
    pub timeout_ms: u64,
}

/// Condition of a write.
#[plain]
#[derive(Copy, Eq)]
pub enum Expect {
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(u64),
    /// No condition.
    Any,
}

/// Result of a write.
#[plain]
pub enum PutOutcome {
    /// The write took effect.
    Written {
        /// New version of the object.
        version: u64,
    },
    /// The condition didn't hold and nothing was written.
    Conflict {
        /// The object as it is, absent if it doesn't exist.
        current: Option<Object>,
    },
}

/// Result of a watch.
#[plain]
pub enum WatchOutcome {
    /// Changes after the revision, none if the wait ended without any.
    Changes(Changes),
    /// The platform no longer knows the changes after the revision: list again.
    TooOld,
}

/// Client of the object API. Clones share connections and counters.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    timeout_ms: u64,
    calls: Arc<Calls>,
}

/// An answer with its body read.
struct Reply {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// Returns a client; it connects with the first call.
    pub fn new(options: ClientOptions) -> Self {
        let pool = Pool::new(PoolOptions {
            address: options.address,
            connect_timeout_ms: options.timeout_ms,
        });
        Self {
            pool,
            timeout_ms: options.timeout_ms,
            calls: Arc::new(Calls::default()),
        }
    }

    /// Returns an object, or `None` if it doesn't exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = object_path(kind, name, Expect::Any);
        let result = self.read(&path, self.timeout_ms).await.and_then(|reply| {
            if reply.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            reply.decode_ok().map(Some)
        });
        self.counted(Operation::Get, result)
    }

    /// Returns all objects of a kind whose name starts with a prefix.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Listing> {
        let path = format!("/v1/objects/{}?prefix={}", escape(kind), escape(prefix));
        let result = self
            .read(&path, self.timeout_ms)
            .await
            .and_then(|reply| reply.decode_ok());
        self.counted(Operation::List, result)
    }

    /// Writes an object if the condition holds.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        expect: Expect,
    ) -> Result<PutOutcome> {
        let path = object_path(kind, name, expect);
        let body = encode(&PutBodyRef { value })?;
        let result = self
            .call(Method::PUT, &path, body, self.timeout_ms)
            .await
            .and_then(Reply::into_put_outcome);
        self.counted_put(Operation::Put, result)
    }

    /// Deletes an object if the condition holds. An object that doesn't exist is a conflict
    /// without a current object.
    pub async fn delete(&self, kind: &str, name: &str, expect: Expect) -> Result<PutOutcome> {
        let path = object_path(kind, name, expect);
        let result = self
            .call(Method::DELETE, &path, Bytes::new(), self.timeout_ms)
            .await
            .and_then(|reply| {
                if reply.status == StatusCode::NOT_FOUND {
                    return Ok(PutOutcome::Conflict { current: None });
                }
                reply.into_put_outcome()
            });
        self.counted_put(Operation::Delete, result)
    }

    /// Waits at most `wait_ms` for changes of objects of some kinds after a revision.
    pub async fn watch(&self, kinds: &[&str], after: u64, wait_ms: u64) -> Result<WatchOutcome> {
        let kinds: Vec<String> = kinds.iter().map(|kind| escape(kind)).collect();
        let path = format!(
            "/v1/watch?kinds={}&after={after}&wait_ms={wait_ms}",
            kinds.join(",")
        );
        let timeout_ms = self.timeout_ms.saturating_add(wait_ms);
        let result = self.read(&path, timeout_ms).await.and_then(|reply| {
            if reply.status == StatusCode::GONE {
                return Ok(WatchOutcome::TooOld);
            }
            reply.decode_ok().map(WatchOutcome::Changes)
        });
        self.counted(Operation::Watch, result)
    }

    /// Returns the platform's list of instances.
    pub async fn instances(&self) -> Result<InstanceList> {
        let result = self
            .read("/v1/instances", self.timeout_ms)
            .await
            .and_then(|reply| reply.decode_ok());
        self.counted(Operation::Instances, result)
    }

    /// Returns how often each operation had each result.
    pub fn call_counts(&self) -> Vec<CallCount> {
        self.calls.snapshot()
    }

    /// Returns the bytes of bodies sent and received since the start.
    pub fn body_bytes(&self) -> (u64, u64) {
        self.calls.body_bytes()
    }

    async fn read(&self, path: &str, timeout_ms: u64) -> Result<Reply> {
        self.call(Method::GET, path, Bytes::new(), timeout_ms).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Reply> {
        self.calls.add_sent(body.len());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let mut answer = self.pool.send(request, timeout_ms).await?;
        let body = answer.read_body(MAX_ANSWER_BYTES, self.timeout_ms).await?;
        self.calls.add_received(body.len());
        let reply = Reply {
            status: answer.status,
            body,
        };
        match reply.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::NotDone(format!("status {}", reply.status)))
            }
            _ => Ok(reply),
        }
    }

    fn counted<T>(&self, operation: Operation, result: Result<T>) -> Result<T> {
        self.calls.count(operation, result_place(&result));
        result
    }

    fn counted_put(&self, operation: Operation, result: Result<PutOutcome>) -> Result<PutOutcome> {
        match result {
            Ok(PutOutcome::Conflict { .. }) => self.calls.count(operation, CONFLICT),
            _ => self.calls.count(operation, result_place(&result)),
        }
        result
    }
}

impl Reply {
    fn decode_ok<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        if self.status != StatusCode::OK {
            return Err(Error::Protocol(format!("status {}", self.status)));
        }
        self.decode()
    }

    fn decode<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|error| Error::Protocol(error.to_string()))
    }

    fn into_put_outcome(self) -> Result<PutOutcome> {
        if self.status == StatusCode::CONFLICT {
            let conflict: Conflict = self.decode()?;
            return Ok(PutOutcome::Conflict {
                current: conflict.current,
            });
        }
        let written: Written = self.decode_ok()?;
        Ok(PutOutcome::Written {
            version: written.version,
        })
    }
}

/// Body of a write that borrows its content, in the form of `wire::PutBody`.
#[derive(Serialize)]
struct PutBodyRef<'a> {
    value: &'a Value,
}

fn encode<T>(body: &T) -> Result<Bytes>
where
    T: Serialize,
{
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| Error::Protocol(error.to_string()))
}

fn object_path(kind: &str, name: &str, expect: Expect) -> String {
    let path = format!("/v1/objects/{}/{}", escape(kind), escape(name));
    match expect {
        Expect::Absent => format!("{path}?if_version=0"),
        Expect::Version(version) => format!("{path}?if_version={version}"),
        Expect::Any => path,
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}
