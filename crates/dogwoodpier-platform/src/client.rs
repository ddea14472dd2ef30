//! Client of the object API.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use serde_json::Value;
use tokio::sync::watch;

use dogwoodpier_derive::plain;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;

use crate::calls::CONFLICT_INDEX;
use crate::calls::CallCount;
use crate::calls::Calls;
use crate::calls::Operation;
use crate::calls::result_index;
use crate::error::Error;
use crate::error::Result;
use crate::protocol::Call;
use crate::protocol::Protocol;
use crate::wire;
use crate::wire::Changes;
use crate::wire::InstanceList;
use crate::wire::Listing;
use crate::wire::Object;

/// Several times the size of a page of a listing, and of an object, which has up to a megabyte.
/// Bounds memory if a faulty store sends an endless response: the smallest instances have less than
/// 100 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Address and timeouts of the platform.
#[plain]
pub struct ClientOptions {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Timeout of one call. For a watch, its waiting time is added.
    pub timeout_ms: u64,
}

/// Condition of a write.
#[plain]
#[derive(Copy, Eq)]
pub enum Precondition {
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
        /// The current object, `None` if it doesn't exist.
        current: Option<Object>,
    },
}

/// Result of a watch.
#[plain]
pub enum WatchOutcome {
    /// Changes after the revision, empty if there were none within the waiting time.
    Changes(Changes),
    /// The platform no longer has the changes after the revision, so objects have to be listed again.
    TooOld,
}

/// Client of the object API. Clones share connections and counters.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    timeout_ms: u64,
    calls: Arc<Calls>,
    // Highest era of the store that any response has named.
    era: watch::Sender<u64>,
    protocol: &'static Protocol,
}

/// A response with its whole body.
struct Reply {
    status: StatusCode,
    body: Bytes,
    era: u64,
}

impl Client {
    /// Returns a client for the project's own object API. It connects on the first call.
    pub fn new(options: ClientOptions) -> Self {
        Self::with_protocol(options, &wire::PROTOCOL)
    }

    /// Returns a client that uses `protocol`. It connects on the first call.
    pub fn with_protocol(options: ClientOptions, protocol: &'static Protocol) -> Self {
        let pool = Pool::new(PoolOptions {
            address: options.address,
            connect_timeout_ms: options.timeout_ms,
        });
        Self {
            pool,
            timeout_ms: options.timeout_ms,
            calls: Arc::new(Calls::default()),
            era: watch::Sender::new(0),
            protocol,
        }
    }

    /// Returns an object, or `None` if it doesn't exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let call = (self.protocol.get)(kind, name);
        let result = self.call(call, self.timeout_ms).await.and_then(|reply| {
            if reply.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let body = reply.ok_body()?;
            (self.protocol.decode_object)(kind, body).map(Some)
        });
        self.counted(Operation::Get, result)
    }

    /// Returns all objects of a kind whose name starts with a prefix.
    ///
    /// The revision is that of the first page, so that a watch from it doesn't miss changes that were
    /// made while later pages were read.
    pub async fn list(&self, kind: &str, prefix: &str) -> Result<Listing> {
        self.list_pages(kind, prefix, self.protocol.list).await
    }

    /// Like [`Self::list`], but cheaper. The result may be some seconds old.
    pub async fn list_stale(&self, kind: &str, prefix: &str) -> Result<Listing> {
        self.list_pages(kind, prefix, self.protocol.list_stale)
            .await
    }

    async fn list_pages(
        &self,
        kind: &str,
        prefix: &str,
        page_call: fn(&str, &str, Option<&str>) -> Call,
    ) -> Result<Listing> {
        let mut listing: Option<Listing> = None;
        loop {
            let after = listing.as_ref().and_then(|listing| listing.items.last());
            let call = page_call(kind, prefix, after.map(|object| &*object.name));
            let result = self.call(call, self.timeout_ms).await.and_then(|reply| {
                let mut page = (self.protocol.decode_page)(kind, reply.ok_body()?)?;
                page.listing.era = reply.era;
                Ok(page)
            });
            let page = self.counted(Operation::List, result)?;
            let has_more = page.has_more && !page.listing.items.is_empty();
            match &mut listing {
                None => listing = Some(page.listing),
                // The store was restored in between, so the pages don't belong together.
                Some(first) if first.era != page.listing.era => {
                    listing = None;
                    continue;
                }
                Some(listing) => listing.items.extend(page.listing.items),
            }
            if !has_more {
                return listing.ok_or_else(|| Error::Protocol("listing without pages".to_owned()));
            }
        }
    }

    /// Writes an object if the condition holds.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        precondition: Precondition,
    ) -> Result<PutOutcome> {
        let call = (self.protocol.put)(kind, name, value, precondition)?;
        let result = self
            .call(call, self.timeout_ms)
            .await
            .and_then(|reply| self.put_outcome(kind, &reply));
        self.counted_put(Operation::Put, result)
    }

    /// Deletes an object if the condition holds. An object that doesn't exist is a conflict
    /// without a current object.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        precondition: Precondition,
    ) -> Result<PutOutcome> {
        let call = (self.protocol.delete)(kind, name, precondition);
        let result = self.call(call, self.timeout_ms).await.and_then(|reply| {
            if reply.status == StatusCode::NOT_FOUND {
                return Ok(PutOutcome::Conflict { current: None });
            }
            self.put_outcome(kind, &reply)
        });
        self.counted_put(Operation::Delete, result)
    }

    /// Returns the changes to objects of the given kinds after a revision. If there are none yet,
    /// waits for at most `wait_ms`.
    pub async fn watch(&self, kinds: &[&str], after: u64, wait_ms: u64) -> Result<WatchOutcome> {
        let call = (self.protocol.watch)(kinds, after, wait_ms);
        let timeout_ms = self.timeout_ms.saturating_add(wait_ms);
        let result = self.call(call, timeout_ms).await.and_then(|reply| {
            if reply.status == StatusCode::GONE {
                return Ok(WatchOutcome::TooOld);
            }
            let mut changes = (self.protocol.decode_changes)(kinds, reply.ok_body()?)?;
            changes.era = reply.era;
            Ok(WatchOutcome::Changes(changes))
        });
        self.counted(Operation::Watch, result)
    }

    /// Returns the platform's list of instances.
    pub async fn instances(&self) -> Result<InstanceList> {
        let call = Call::get("/v1/instances".to_owned());
        let result = self
            .call(call, self.timeout_ms)
            .await
            .and_then(|reply| wire::decode(reply.ok_body()?));
        self.counted(Operation::Instances, result)
    }

    /// Returns the highest era of the store that any response has named, and its changes. Zero if none
    /// has named one.
    pub fn era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Drops all connections. Called if it became known by other means that they no longer work.
    pub fn reset_connections(&self) {
        self.pool.reset_connections();
    }

    /// Returns the number of calls by operation and result.
    pub fn call_counts(&self) -> Vec<CallCount> {
        self.calls.snapshot()
    }

    /// Returns the bytes of bodies sent and received since the start.
    pub fn body_bytes(&self) -> (u64, u64) {
        self.calls.body_bytes()
    }

    fn put_outcome(&self, kind: &str, reply: &Reply) -> Result<PutOutcome> {
        if reply.status == StatusCode::CONFLICT {
            let current = (self.protocol.decode_conflict)(kind, &reply.body)?;
            return Ok(PutOutcome::Conflict { current });
        }
        let version = (self.protocol.decode_written)(reply.ok_body()?)?;
        Ok(PutOutcome::Written { version })
    }

    async fn call(&self, call: Call, timeout_ms: u64) -> Result<Reply> {
        let Call { method, path, body } = call;
        self.calls.add_sent(body.len());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let mut response = self.pool.send(request, timeout_ms).await?;
        let era = self.record_era(&response.headers);
        let body = response
            .read_body(MAX_RESPONSE_BYTES, self.timeout_ms)
            .await?;
        self.calls.add_received(body.len());
        let reply = Reply {
            status: response.status,
            body,
            era,
        };
        match reply.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::NotDone(format!("status {}", reply.status)))
            }
            _ => Ok(reply),
        }
    }

    // Returns the era that a response names, or the highest known one if it names none.
    fn record_era(&self, headers: &HeaderMap) -> u64 {
        let known = *self.era.borrow();
        let named = self.protocol.era_header.and_then(|name| headers.get(name));
        let Some(named) = named else {
            return known;
        };
        let Some(era) = named
            .to_str()
            .ok()
            .and_then(|era| era.trim().parse::<u64>().ok())
        else {
            log::warn!("the store names an era that isn't a number: {named:?}");
            return known;
        };
        self.era.send_if_modified(|known| {
            let is_newer = era > *known;
            *known = era.max(*known);
            is_newer
        });
        era
    }

    fn counted<T>(&self, operation: Operation, result: Result<T>) -> Result<T> {
        self.calls.count(operation, result_index(&result));
        result
    }

    fn counted_put(&self, operation: Operation, result: Result<PutOutcome>) -> Result<PutOutcome> {
        match result {
            Ok(PutOutcome::Conflict { .. }) => self.calls.count(operation, CONFLICT_INDEX),
            _ => self.calls.count(operation, result_index(&result)),
        }
        result
    }
}

impl Reply {
    fn ok_body(&self) -> Result<&[u8]> {
        if self.status.is_success() {
            return Ok(&self.body);
        }
        Err(Error::Protocol(format!("status {}", self.status)))
    }
}
