//! Connections to many upstreams, each used for one request at a time.
//!
//! Unlike [`crate::Pool`], this passes on the head and body of a response as they arrive, and
//! resends a request over another connection if its connection was closed before any byte was sent.
//! A connection may lead through a relay, see [`crate::relay`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::rt::Read;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::error::SendError;
use crate::pool::describe;
use crate::relay;
use crate::relay::RelayFailures;
use crate::response;

// Idle connections are no longer used this long before the upstream closes them, so that a request
// doesn't meet a connection that is about to be closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);
// Assumed if an upstream doesn't state how long it keeps idle connections open.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
// Idle connections are not kept longer, whatever an upstream states.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(600);
const KEEP_ALIVE: &str = "keep-alive";
// Maximum number of bytes of a response that are buffered, which also bounds the size of its head.
// Common servers limit heads to a quarter of this; a faulty upstream may send an endless one.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

// Largest response to a witness's request, beyond which its connection is not reused.
const MAX_WITNESS_BYTES: usize = 64 * 1024;

// An established connection.
struct Channel {
    sender: SendRequest<Full<Bytes>>,
    // The relay that it leads through.
    relay: Option<SocketAddr>,
    // Its sender is dropped once the connection has ended.
    end: watch::Receiver<()>,
}

struct Idle {
    channel: Channel,
    deadline: Instant,
    was_used: bool,
}

// A connection that was taken for a request.
struct Taken {
    channel: Channel,
    is_new: bool,
    // Whether a request was sent over it before.
    was_used: bool,
}

#[derive(Default)]
struct Shared {
    idle: Mutex<BTreeMap<Arc<str>, Vec<Idle>>>,
    // Limit on the idle connections; 0 if there is none.
    max_idle: AtomicUsize,
    relay_failures: RelayFailures,
}

/// Connections to upstreams, pooled by the upstream's id. Clones share them.
#[derive(Clone, Default)]
pub struct Connections {
    shared: Arc<Shared>,
}

/// Upstream that a request is sent to.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Id of the upstream. Its connections are never used for another upstream.
    pub id: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Maximum time to establish a connection.
    pub connect_timeout_ms: u64,
    /// Relays to connect through, in order of preference. If empty, connects directly.
    pub relays: Vec<SocketAddr>,
}

/// A response whose head has been read. Dropping it before the end of its body closes the connection.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, read as it arrives.
    pub body: Incoming,
    /// Whether the head states how the body ends, so that a body read without an error is known to be
    /// complete.
    pub is_framed: bool,
    /// Whether a new connection was established for the request.
    pub connected: bool,
    /// Whether another request was sent over the connection before.
    pub was_used: bool,
    /// The relay that the connection leads through; absent if it leads directly to the upstream.
    pub relay: Option<SocketAddr>,
    returning: Box<ConnectionReturn>,
}

/// A connection to the process that is sending a response over another connection. A process that
/// ends closes both, and so does a relay, so a response over the witness proves that the other
/// connection didn't end with its process.
pub struct Witness {
    returning: ConnectionReturn,
    end: watch::Receiver<()>,
    /// Whether it was established for this purpose.
    pub is_new: bool,
}

/// A connection that can be returned to the pool once the response has been read to its end.
pub struct ConnectionReturn {
    connections: Connections,
    id: Arc<str>,
    channel: Option<Channel>,
    keep_alive: Duration,
    was_used: bool,
}

impl Connections {
    /// Sends a request and returns the head of its response. Has no timeout of its own: the caller
    /// has to limit the time.
    pub async fn send(
        &self,
        to: &Destination,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Reply, SendError> {
        loop {
            let mut taken = self.take_or_connect(to).await?;
            let mut error = match taken.channel.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.reply(to, taken, response)),
                Err(error) => error,
            };
            let Some(unsent) = error.take_message() else {
                let detail = describe(error.error());
                return Err(match error.error().is_parse() {
                    true => SendError::Unreadable(detail),
                    false => SendError::Cut(detail),
                });
            };
            if taken.is_new {
                return Err(SendError::NotConnected(describe(error.error())));
            }
            request = unsent;
        }
    }

    /// Establishes a connection if none is idle. Returns whether one was established.
    pub async fn prepare(&self, to: &Destination) -> Result<bool, SendError> {
        let taken = self.take_or_connect(to).await?;
        let returning = ConnectionReturn {
            connections: self.clone(),
            id: to.id.clone(),
            channel: Some(taken.channel),
            keep_alive: DEFAULT_KEEP_ALIVE,
            was_used: taken.was_used,
        };
        returning.return_to_pool();
        Ok(taken.is_new)
    }

    /// Takes an idle connection that leads to an upstream through `relay`, or establishes one.
    pub async fn witness(
        &self,
        to: &Destination,
        relay: Option<SocketAddr>,
    ) -> Result<Witness, SendError> {
        let taken = match self.take_idle(&to.id, |channel| channel.relay == relay) {
            Some(taken) => taken,
            None => self.establish(to).await?,
        };
        Ok(Witness {
            end: taken.channel.end.clone(),
            is_new: taken.is_new,
            returning: ConnectionReturn {
                connections: self.clone(),
                id: to.id.clone(),
                channel: Some(taken.channel),
                keep_alive: DEFAULT_KEEP_ALIVE,
                was_used: taken.was_used,
            },
        })
    }

    /// Establishes a new connection to an upstream and closes it at once, as it may occupy one of the
    /// upstream's slots. Idle connections may belong to a process that has ended.
    pub async fn probe(&self, to: &Destination) -> Result<(), SendError> {
        match to.relays.is_empty() {
            true => open(to.address, to.connect_timeout_ms).await.map(drop),
            false => relay::connect(to, &self.shared.relay_failures)
                .await
                .map(drop),
        }
    }

    /// Limits the number of idle connections. A connection that becomes idle beyond it is closed.
    pub fn set_max_idle(&self, max_idle: usize) {
        let max_idle = max_idle.max(1);
        self.shared.max_idle.store(max_idle, Ordering::Relaxed);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle().clear();
    }

    /// Closes the idle connections to an upstream. Called after one of them stopped responding, or
    /// once the upstream is gone.
    pub fn close_idle(&self, id: &str) {
        self.idle().remove(id);
    }

    fn reply(&self, to: &Destination, taken: Taken, response: http::Response<Incoming>) -> Reply {
        let (head, body) = response.into_parts();
        let keep_alive = keep_alive(&head.headers);
        let is_framed = body.is_end_stream() || response::is_framed(&head.headers);
        Reply {
            status: head.status,
            headers: head.headers,
            body,
            is_framed,
            connected: taken.is_new,
            was_used: taken.was_used,
            relay: taken.channel.relay,
            returning: Box::new(ConnectionReturn {
                connections: self.clone(),
                id: to.id.clone(),
                channel: (is_framed && keep_alive > Duration::ZERO).then_some(taken.channel),
                keep_alive,
                was_used: true,
            }),
        }
    }

    async fn take_or_connect(&self, to: &Destination) -> Result<Taken, SendError> {
        match self.take_idle(&to.id, |_| true) {
            Some(taken) => Ok(taken),
            None => self.establish(to).await,
        }
    }

    async fn establish(&self, to: &Destination) -> Result<Taken, SendError> {
        Ok(Taken {
            channel: self.connect(to).await?,
            is_new: true,
            was_used: false,
        })
    }

    async fn connect(&self, to: &Destination) -> Result<Channel, SendError> {
        if to.relays.is_empty() {
            let stream = open(to.address, to.connect_timeout_ms).await?;
            return handshake(TokioIo::new(stream), None).await;
        }
        let (tunnel, relay) = relay::connect(to, &self.shared.relay_failures).await?;
        handshake(tunnel, Some(relay)).await
    }

    fn take_idle<F>(&self, id: &str, is_suitable: F) -> Option<Taken>
    where
        F: Fn(&Channel) -> bool,
    {
        let now = Instant::now();
        let mut connections = self.idle();
        let idle = connections.get_mut(id)?;
        idle.retain(|entry| !entry.channel.sender.is_closed() && entry.deadline > now);
        let index = idle.iter().rposition(|entry| {
            let channel = &entry.channel;
            channel.sender.is_ready() && is_suitable(channel)
        })?;
        let entry = idle.remove(index);
        Some(Taken {
            channel: entry.channel,
            is_new: false,
            was_used: entry.was_used,
        })
    }

    fn idle(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Vec<Idle>>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reply {
    /// Splits the response into its body and the connection to return to the pool after the body's
    /// end.
    pub fn into_body(self) -> (Incoming, ConnectionReturn) {
        (self.body, *self.returning)
    }
}

impl ConnectionReturn {
    /// Makes the connection available to other requests. Must be called only after the response's
    /// body has been read to its end.
    pub fn return_to_pool(mut self) {
        let Some(channel) = self.channel.take() else {
            return;
        };
        let entry = Idle {
            channel,
            deadline: Instant::now() + self.keep_alive,
            was_used: self.was_used,
        };
        let max_idle = self.connections.shared.max_idle.load(Ordering::Relaxed);
        let mut idle = self.connections.idle();
        let is_full = |idle: &BTreeMap<Arc<str>, Vec<Idle>>| {
            max_idle > 0 && idle.values().map(Vec::len).sum::<usize>() >= max_idle
        };
        if is_full(&idle) {
            let now = Instant::now();
            for entries in idle.values_mut() {
                entries.retain(|entry| !entry.channel.sender.is_closed() && entry.deadline > now);
            }
        }
        if !is_full(&idle) {
            idle.entry(self.id.clone()).or_default().push(entry);
        }
    }
}

impl Witness {
    /// Waits until the connection has ended.
    pub async fn ended(&mut self) {
        // Nothing is ever sent, so the wait ends with the connection.
        let _ = self.end.changed().await;
    }

    /// Sends a request and returns the head of its response. Has no timeout of its own. Returns the
    /// connection to the pool if it can be used again.
    pub async fn request(self, request: Request<Full<Bytes>>) -> Result<Parts, SendError> {
        let mut returning = self.returning;
        let Some(channel) = returning.channel.as_mut() else {
            return Err(SendError::NotSent("no connection".to_owned()));
        };
        let response = channel.sender.send_request(request).await;
        let response = response.map_err(|error| SendError::Cut(describe(&error)))?;
        let (head, body) = response.into_parts();
        let is_framed = body.is_end_stream() || response::is_framed(&head.headers);
        returning.keep_alive = keep_alive(&head.headers);
        returning.was_used = true;
        if is_framed && returning.keep_alive > Duration::ZERO {
            // The head is the proof, so nobody waits for the body.
            tokio::spawn(async move {
                let body = Limited::new(body, MAX_WITNESS_BYTES).collect();
                if let Ok(Ok(_)) = tokio::time::timeout(DEFAULT_KEEP_ALIVE, body).await {
                    returning.return_to_pool();
                }
            });
        }
        Ok(head)
    }
}

/// Opens a TCP connection.
pub(crate) async fn open(address: SocketAddr, timeout_ms: u64) -> Result<TcpStream, SendError> {
    let limit = Duration::from_millis(timeout_ms);
    tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::NotConnected("connect timed out".to_owned()))?
        .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
        .map_err(|error| SendError::NotConnected(error.to_string()))
}

async fn handshake<T>(io: T, relay: Option<SocketAddr>) -> Result<Channel, SendError>
where
    T: Read + Write + Unpin + Send + 'static,
{
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(io)
        .await
        .map_err(|error| SendError::NotConnected(error.to_string()))?;
    let (open, end) = watch::channel(());
    tokio::spawn(async move {
        // Errors of the connection are reported by the request in progress.
        connection.await.ok();
        drop(open);
    });
    Ok(Channel { sender, relay, end })
}

// Returns for how long a connection may be reused after this response, zero if not at all.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let must_close = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    if must_close {
        return Duration::ZERO;
    }
    let stated_timeout = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|option| option.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    stated_timeout
        .unwrap_or(DEFAULT_KEEP_ALIVE)
        .min(MAX_KEEP_ALIVE)
        .saturating_sub(KEEP_ALIVE_MARGIN)
}
