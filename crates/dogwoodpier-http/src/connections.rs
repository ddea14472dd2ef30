//! Connections to many upstreams, each used for one request at a time.
//!
//! Unlike [`crate::Pool`], the head and body of an answer are handed on as they come, and a request
//! whose connection turned out closed before a byte was sent is sent over another one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::error::SendError;
use crate::pool::describe;

// Connections are not used in the last part of the time for which an upstream keeps them open.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);
// Assumed where an upstream doesn't say how long it keeps a connection open.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
const KEEP_ALIVE: &str = "keep-alive";
// Bytes of an answer that are held before they are taken, its whole head among them. Usual servers
// bound heads to a quarter of this; an upstream in trouble may send one without end.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    deadline: Instant,
}

#[derive(Default)]
struct Shared {
    idle: Mutex<BTreeMap<Arc<str>, Vec<Idle>>>,
}

/// Connections by upstream. Clones share them.
#[derive(Clone, Default)]
pub struct Connections {
    shared: Arc<Shared>,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Identity of the upstream; its connections serve no other one.
    pub id: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Longest time to make a connection.
    pub connect_timeout_ms: u64,
}

/// An answer with its head read. Dropping it early closes its connection.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as it comes.
    pub body: Incoming,
    /// Whether a new connection was made for it.
    pub connected: bool,
    returning: ConnectionReturn,
}

/// A connection that is given back once its answer was read to the end.
pub struct ConnectionReturn {
    connections: Connections,
    id: Arc<str>,
    sender: Option<Sender>,
    keep: Duration,
}

impl Connections {
    /// Sends a request and returns the head of its answer. The caller bounds the time.
    pub async fn send(
        &self,
        to: &Destination,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Reply, SendError> {
        loop {
            let (mut sender, connected) = self.take_or_connect(to).await?;
            let mut error = match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.reply(to, sender, response, connected)),
                Err(error) => error,
            };
            let Some(unsent) = error.take_message() else {
                let detail = describe(error.error());
                return Err(match error.error().is_parse() {
                    true => SendError::Unreadable(detail),
                    false => SendError::Cut(detail),
                });
            };
            if connected {
                return Err(SendError::NotSent(describe(error.error())));
            }
            request = unsent;
        }
    }

    /// Makes a connection if none is idle. Returns whether one was made.
    pub async fn prepare(&self, to: &Destination) -> Result<bool, SendError> {
        let (sender, connected) = self.take_or_connect(to).await?;
        let returning = ConnectionReturn {
            connections: self.clone(),
            id: to.id.clone(),
            sender: Some(sender),
            keep: DEFAULT_KEEP_ALIVE,
        };
        returning.return_to_pool();
        Ok(connected)
    }

    /// Closes the idle connections of an upstream: after one has gone silent, or once it is gone.
    pub fn close_idle(&self, id: &str) {
        self.idle().remove(id);
    }

    fn reply(
        &self,
        to: &Destination,
        sender: Sender,
        response: http::Response<Incoming>,
        connected: bool,
    ) -> Reply {
        let (head, body) = response.into_parts();
        let keep = keep_alive(&head.headers);
        Reply {
            status: head.status,
            headers: head.headers,
            body,
            connected,
            returning: ConnectionReturn {
                connections: self.clone(),
                id: to.id.clone(),
                sender: (keep > Duration::ZERO).then_some(sender),
                keep,
            },
        }
    }

    // Returns an idle connection, or a new one and true.
    async fn take_or_connect(&self, to: &Destination) -> Result<(Sender, bool), SendError> {
        match self.take_idle(&to.id) {
            Some(sender) => Ok((sender, false)),
            None => Ok((connect(to).await?, true)),
        }
    }

    fn take_idle(&self, id: &str) -> Option<Sender> {
        let now = Instant::now();
        let mut all = self.idle();
        let idle = all.get_mut(id)?;
        idle.retain(|entry| !entry.sender.is_closed() && entry.deadline > now);
        let place = idle.iter().rposition(|entry| entry.sender.is_ready())?;
        Some(idle.remove(place).sender)
    }

    fn idle(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Vec<Idle>>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reply {
    /// Returns the parts: the body, and the connection to give back after its end.
    pub fn into_body(self) -> (Incoming, ConnectionReturn) {
        (self.body, self.returning)
    }
}

impl ConnectionReturn {
    /// Makes the connection available to other requests. The answer's body has been read to its end.
    pub fn return_to_pool(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let entry = Idle {
            sender,
            deadline: Instant::now() + self.keep,
        };
        self.connections
            .idle()
            .entry(self.id.clone())
            .or_default()
            .push(entry);
    }
}

/// Returns whether an upstream takes connections. Idle ones don't tell: they may be those of a process
/// that has ended. The one that is made is closed at once, as it may hold one of the upstream's slots.
pub async fn accepts_connections(to: &Destination) -> bool {
    open(to).await.is_ok()
}

async fn open(to: &Destination) -> Result<TcpStream, SendError> {
    let limit = Duration::from_millis(to.connect_timeout_ms);
    tokio::time::timeout(limit, TcpStream::connect(to.address))
        .await
        .map_err(|_| SendError::NotSent("connect timed out".to_owned()))?
        .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
        .map_err(|error| SendError::NotSent(error.to_string()))
}

async fn connect(to: &Destination) -> Result<Sender, SendError> {
    let stream = open(to).await?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    // Errors of the connection reach the request that is under way.
    tokio::spawn(async move { connection.await.ok() });
    Ok(sender)
}

// How long the connection of an answer may be used again, zero if not at all.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    if closes {
        return Duration::ZERO;
    }
    let stated = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    stated
        .unwrap_or(DEFAULT_KEEP_ALIVE)
        .saturating_sub(KEEP_ALIVE_MARGIN)
}
