//! Connections to upstreams through a relay.
//!
//! An instance that has lost its links to upstreams reaches them through a peer that hasn't. The
//! peer accepts `CONNECT` with the id of an upstream, connects to it and forwards bytes in both
//! directions without looking at them.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::upgrade;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::io::copy;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::connections;
use crate::connections::Destination;
use crate::error::SendError;

/// Names the upstream that a relay is to connect to.
pub const UPSTREAM_ID: HeaderName = HeaderName::from_static("upstream-id");

// Time for which a relay that could not be used is tried after all others.
const AVOIDANCE: Duration = Duration::from_secs(2);
// Relays that must have failed to connect before an upstream counts as unreachable: one of them may
// be about to notice that it has lost its own links.
const MIN_UNREACHABLE: usize = 2;
// A relay connects to the upstream in the time that a connection may take, so its answer takes as
// long again at most.
const ANSWER_CONNECT_TIMES: u32 = 2;
// Pause after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Relays that recently could not be used.
#[derive(Default)]
pub(crate) struct RelayFailures {
    avoided: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl RelayFailures {
    fn record(&self, relay: SocketAddr) {
        let now = Instant::now();
        let mut avoided = self.lock();
        avoided.retain(|_, deadline| *deadline > now);
        avoided.insert(relay, now + AVOIDANCE);
    }

    // Returns the relays with those that are avoided last.
    fn order(&self, relays: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = Instant::now();
        let avoided = self.lock();
        let is_avoided =
            |relay: &SocketAddr| avoided.get(relay).is_some_and(|deadline| *deadline > now);
        let mut ordered = relays.to_vec();
        ordered.sort_by_key(is_avoided);
        ordered
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Instant>> {
        self.avoided.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// Why a relay did not connect to an upstream.
enum RelayError {
    // The relay can't be reached, or can't connect to any upstream.
    Unusable(String),
    // The relay does not know the upstream.
    Unknown,
    // The relay can't reach the upstream.
    Unreachable,
}

/// Connects to an upstream through the first of its relays that can, and returns that relay too.
///
/// # Errors
///
/// Returns [`SendError::NotConnected`] if relays can't reach the upstream, and [`SendError::NotSent`]
/// if no relay can be used.
pub(crate) async fn connect(
    to: &Destination,
    failures: &RelayFailures,
) -> Result<(Upgraded, SocketAddr), SendError> {
    let mut unreachable = 0;
    let mut detail = "no relay".to_owned();
    for relay in failures.order(&to.relays) {
        match connect_through(relay, to).await {
            Ok(connection) => return Ok((connection, relay)),
            Err(RelayError::Unusable(error)) => {
                failures.record(relay);
                detail = error;
            }
            Err(RelayError::Unknown) => "the upstream is unknown there".clone_into(&mut detail),
            Err(RelayError::Unreachable) => unreachable += 1,
        }
        if unreachable >= MIN_UNREACHABLE.min(to.relays.len()) {
            let detail = "relays can't connect".to_owned();
            return Err(SendError::NotConnected(detail));
        }
    }
    Err(SendError::NotSent(detail))
}

async fn connect_through(relay: SocketAddr, to: &Destination) -> Result<Upgraded, RelayError> {
    let unusable = |error: String| RelayError::Unusable(error);
    let stream = connections::open(relay, to.connect_timeout_ms)
        .await
        .map_err(|error| unusable(error.to_string()))?;
    let limit = Duration::from_millis(to.connect_timeout_ms) * ANSWER_CONNECT_TIMES;
    tokio::time::timeout(limit, request_tunnel(stream, to))
        .await
        .unwrap_or_else(|_| Err(unusable("the relay did not answer".to_owned())))
}

async fn request_tunnel(stream: TcpStream, to: &Destination) -> Result<Upgraded, RelayError> {
    let unusable = |error: hyper::Error| RelayError::Unusable(error.to_string());
    let (mut sender, connection) = client::handshake(TokioIo::new(stream))
        .await
        .map_err(unusable)?;
    tokio::spawn(async move { connection.with_upgrades().await.ok() });
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(to.address.to_string())
        .header(UPSTREAM_ID, &*to.id)
        .body(Empty::<Bytes>::new())
        .map_err(|error| RelayError::Unusable(error.to_string()))?;
    let response = sender.send_request(request).await.map_err(unusable)?;
    match response.status() {
        StatusCode::OK => upgrade::on(response).await.map_err(unusable),
        StatusCode::NOT_FOUND => Err(RelayError::Unknown),
        StatusCode::BAD_GATEWAY => Err(RelayError::Unreachable),
        status => Err(RelayError::Unusable(format!("status {status}"))),
    }
}

/// Serves a relay, for as long as the process lives. `admit` returns the upstream with an id and a
/// guard that is dropped with the connection, or the status of the refusal. At most
/// `max_connections` connections are relayed at once. `handle_failure` is called with an upstream
/// that can't be connected to, and returns the status of the refusal.
pub async fn serve<A, G, H, F>(
    listener: TcpListener,
    max_connections: usize,
    admit: A,
    handle_failure: H,
) where
    A: Fn(&str) -> Result<(Destination, G), StatusCode> + Clone + Send + Sync + 'static,
    G: Send + 'static,
    H: Fn(Destination) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = StatusCode> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a connection to relay: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (permits, admit, handle_failure) =
            (permits.clone(), admit.clone(), handle_failure.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let permit = permits.clone().try_acquire_owned().ok();
            let admitted = match request.method() {
                &Method::CONNECT => admit(upstream_id(&request)),
                _ => Err(StatusCode::METHOD_NOT_ALLOWED),
            };
            let handle_failure = handle_failure.clone();
            async move {
                let result = match (permit, admitted) {
                    (_, Err(status)) => Err(status),
                    (None, _) => Err(StatusCode::SERVICE_UNAVAILABLE),
                    (Some(permit), Ok((to, guard))) => {
                        open_tunnel(request, to, (permit, guard), handle_failure).await
                    }
                };
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = result.err().unwrap_or(StatusCode::OK);
                Ok::<_, Infallible>(response)
            }
        });
        tokio::spawn(async move {
            let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.with_upgrades().await {
                log::debug!("a relayed connection failed: {error}");
            }
        });
    }
}

fn upstream_id(request: &Request<Incoming>) -> &str {
    let id = request.headers().get(UPSTREAM_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or_default()
}

async fn open_tunnel<G, H, F>(
    request: Request<Incoming>,
    to: Destination,
    guards: (OwnedSemaphorePermit, G),
    handle_failure: H,
) -> Result<(), StatusCode>
where
    G: Send + 'static,
    H: Fn(Destination) -> F,
    F: Future<Output = StatusCode>,
{
    let Ok(upstream) = connections::open(to.address, to.connect_timeout_ms).await else {
        return Err(handle_failure(to).await);
    };
    tokio::spawn(async move {
        let _guards = guards;
        if let Ok(upgraded) = upgrade::on(request).await
            && let Err(error) = forward(upgraded, upstream).await
        {
            log::debug!("a relayed connection ended: {error}");
        }
    });
    Ok(())
}

// Forwards bytes until either side ends its connection.
async fn forward(upgraded: Upgraded, upstream: TcpStream) -> std::io::Result<()> {
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        return Err(std::io::Error::other("not a TCP connection"));
    };
    let mut peer = parts.io.into_inner();
    peer.set_nodelay(true)?;
    let (mut from_upstream, mut to_upstream) = upstream.into_split();
    to_upstream.write_all(&parts.read_buf).await?;
    let (mut from_peer, mut to_peer) = peer.split();
    let result = tokio::select! {
        result = copy(&mut from_upstream, &mut to_peer) => result,
        result = copy(&mut from_peer, &mut to_upstream) => result,
    };
    // A reset must not look like the regular end of a response.
    if result.is_err() {
        peer.set_zero_linger()?;
    }
    result.map(drop)
}
