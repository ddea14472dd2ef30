//! A pool of connections to one address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::error::SendError;
use crate::response::Generation;
use crate::response::StreamingResponse;

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Options of a pool.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// Address of the server.
    pub address: SocketAddr,
    /// Maximum time to establish a connection.
    pub connect_timeout_ms: u64,
}

/// Connections to one address. Clones share them.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<PoolShared>,
}

pub(crate) struct PoolShared {
    options: PoolOptions,
    current: Mutex<Current>,
}

struct Current {
    client: HttpClient,
    generation: u64,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(options: PoolOptions) -> Self {
        let current = Current {
            client: new_client(&options),
            generation: 0,
        };
        Self {
            shared: Arc::new(PoolShared {
                options,
                current: Mutex::new(current),
            }),
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.shared.options.address
    }

    /// Returns how many times the connections were dropped.
    pub fn connection_resets(&self) -> u64 {
        self.shared.current().1
    }

    /// Drops all connections.
    pub fn reset_connections(&self) {
        self.shared.reset_connections(self.shared.current().1);
    }

    /// Sends a request over a pooled connection and returns the head of the response.
    ///
    /// The request's URI is a path with query. If no response arrives within `timeout_ms`, returns an
    /// error and drops the pool's connections.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        timeout_ms: u64,
    ) -> Result<StreamingResponse, SendError> {
        let request = self.with_absolute_uri(request)?;
        let (client, number) = self.shared.current();
        let limit = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(limit, client.request(request)).await {
            Ok(Ok(response)) => Ok(StreamingResponse::new(response, self.generation(number))),
            Ok(Err(error)) if error.is_connect() => Err(SendError::NotSent(describe(&error))),
            Ok(Err(error)) => Err(SendError::Cut(describe(&error))),
            Err(_) => {
                self.shared.reset_connections(number);
                Err(SendError::Timeout { timeout_ms })
            }
        }
    }

    /// Sends a request over a new connection that isn't pooled. Meant for requests that must not be
    /// repeated: a pooled connection may turn out to be closed only after bytes have been sent.
    pub async fn send_on_new_connection(
        &self,
        mut request: Request<Bytes>,
        timeout_ms: u64,
    ) -> Result<StreamingResponse, SendError> {
        let address = self.address();
        *request.uri_mut() = path_of(&request)
            .parse()
            .map_err(|error: http::uri::InvalidUri| SendError::NotSent(error.to_string()))?;
        if !request.headers().contains_key(header::HOST) {
            let host = HeaderValue::from_str(&address.to_string())
                .map_err(|error| SendError::NotSent(error.to_string()))?;
            request.headers_mut().insert(header::HOST, host);
        }
        let connect_limit = Duration::from_millis(self.shared.options.connect_timeout_ms);
        let stream = tokio::time::timeout(connect_limit, TcpStream::connect(address))
            .await
            .map_err(|_| SendError::NotSent("connect timed out".to_owned()))?
            .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        tokio::spawn(connection);
        let limit = Duration::from_millis(timeout_ms);
        let (_, number) = self.shared.current();
        match tokio::time::timeout(limit, sender.send_request(request.map(Full::new))).await {
            Ok(Ok(response)) => Ok(StreamingResponse::new(response, self.generation(number))),
            Ok(Err(error)) => Err(SendError::Cut(describe(&error))),
            Err(_) => Err(SendError::Timeout { timeout_ms }),
        }
    }

    fn generation(&self, number: u64) -> Generation {
        Generation {
            pool: Arc::clone(&self.shared),
            number,
        }
    }

    fn with_absolute_uri(
        &self,
        request: Request<Bytes>,
    ) -> Result<Request<Full<Bytes>>, SendError> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address().to_string())
            .path_and_query(path_of(&request))
            .build()
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (mut head, body) = request.into_parts();
        head.uri = uri;
        Ok(Request::from_parts(head, Full::new(body)))
    }
}

impl PoolShared {
    /// Drops the connections of a generation, unless they have been dropped already.
    pub(crate) fn reset_connections(&self, generation: u64) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.generation == generation {
            current.client = new_client(&self.options);
            current.generation += 1;
        }
    }

    fn current(&self) -> (HttpClient, u64) {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        (current.client.clone(), current.generation)
    }
}

fn path_of(request: &Request<Bytes>) -> &str {
    request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
}

fn new_client(options: &PoolOptions) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(options.connect_timeout_ms)));
    // The client must not retry requests that may have run.
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Returns the message of an error, followed by those of its causes.
pub(crate) fn describe<E>(error: &E) -> String
where
    E: std::error::Error,
{
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
