//! The server for clients.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use dogwoodpier_core::gateway::client_limits;
use dogwoodpier_core::gateway::client_limits::Cause;
use dogwoodpier_core::gateway::routes::ClientLimits;
use dogwoodpier_process::clock;

use crate::body::ResponseBody;
use crate::client_budget::ConnectionTable;
use crate::client_budget::OpenConnection;
use crate::dispatch;
use crate::state::SharedGateway;
use crate::traffic::TrackedStream;
use crate::traffic::Traffic;

// Limit on a request's head before a configuration is in force; hyper allows no smaller one.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
// Limits on the clients of pages, and on all clients before a configuration is in force.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
    max_body_bytes: 0,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
// The shortest header field is a name of one byte, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
// Time between two checks of a connection without activity.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
// Pause after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
// Buffers of the system for a connection, which doubles them. They bound what a client that doesn't
// read takes outside of the process, and the steps in which a slow reader is seen to make progress.
const SYSTEM_BUFFER_BYTES: u32 = 128 * 1024;
// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds the address for clients and serves it for as long as the process lives.
pub async fn start(gateway: SharedGateway) -> anyhow::Result<()> {
    let address = gateway.settings.load().client_address;
    let listener = bind(address).with_context(|| format!("can't bind client_address {address}"))?;
    tokio::spawn(async move {
        let table = gateway.client_budget.clients.clone();
        loop {
            let stream = accept(&gateway, &listener, &table).await;
            let traffic = Traffic::new(clock::now());
            let settings = gateway.settings.load();
            let descriptors = gateway.client_budget.descriptors(&settings);
            let max_connections =
                client_limits::max_client_connections(settings.memory_bytes, descriptors);
            let Some(open) = table.admit(&gateway, &traffic, max_connections) else {
                continue;
            };
            let connection = Connection {
                gateway: gateway.clone(),
                table: table.clone(),
                open,
                traffic,
                is_page: false,
            };
            // The state of a request is allocated once there is one.
            tokio::spawn(connection.serve(stream, |gateway, request| {
                Box::pin(dispatch::serve(gateway, request))
            }));
        }
    });
    Ok(())
}

/// Binds an address, with bounded buffers for its connections.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SYSTEM_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(SYSTEM_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns the next connection. If there are no descriptors, closes the least useful connection.
pub async fn accept(
    gateway: &SharedGateway,
    listener: &TcpListener,
    table: &ConnectionTable,
) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                table.close_least_useful(gateway);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A connection of a client.
pub struct Connection {
    /// Gateway.
    pub gateway: SharedGateway,
    /// Table of the server.
    pub table: Arc<ConnectionTable>,
    /// Counts the connection.
    pub open: OpenConnection,
    /// Its activity.
    pub traffic: Traffic,
    /// Whether it is served pages. These are served until the process ends, and the limits of the
    /// configuration don't apply.
    pub is_page: bool,
}

impl Connection {
    /// Serves the connection with `respond` until it ends.
    pub async fn serve<R, F>(self, stream: TcpStream, respond: R)
    where
        R: Fn(SharedGateway, Request<Incoming>) -> F,
        F: Future<Output = Response<ResponseBody>>,
    {
        let Self {
            gateway,
            table,
            open: _open,
            traffic,
            is_page,
        } = self;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("client closed its connection before it was served: {error}");
            return;
        }
        let service = service_fn(|mut request: Request<Incoming>| {
            let active = traffic.begin_request();
            let gateway = gateway.clone();
            request.extensions_mut().insert(traffic.clone());
            let response = respond(gateway.clone(), request);
            async move {
                let mut response = response.await;
                if !is_page && gateway.drain.is_draining() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response.body_mut().hold_active(active);
                Ok::<_, Infallible>(response)
            }
        });
        let max_header_bytes = limits(&gateway, is_page)
            .max_header_bytes
            .max(DEFAULT_MAX_HEADER_BYTES);
        let io = TokioIo::new(TrackedStream::new(stream, traffic.clone()));
        let connection = http1::Builder::new()
            .max_buf_size(max_header_bytes)
            .max_headers(max_header_bytes / MIN_FIELD_BYTES)
            .serve_connection(io, service);
        let mut connection = pin!(connection);
        let mut closing = false;
        loop {
            tokio::select! {
                served = connection.as_mut() => {
                    if let Err(error) = served {
                        log::debug!("client connection failed: {error}");
                    }
                    return;
                }
                () = traffic.closed() => return,
                () = gateway.close_idle.notified(), if !closing && !is_page => {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = tokio::time::sleep(CONNECTION_CHECK_INTERVAL) => {
                    let limits = limits(&gateway, is_page);
                    let progress_limits = gateway.settings.load().progress_limits;
                    let now = clock::now();
                    if traffic.head_timed_out(&limits, now) {
                        table.record_closed(&gateway, &traffic, Cause::Head);
                        return;
                    }
                    if progress_limits.is_unread_too_long(traffic.progress(), now) {
                        table.record_closed(&gateway, &traffic, Cause::Unread);
                        return;
                    }
                    if traffic.is_idle(&limits, now) && !closing {
                        closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

fn limits(gateway: &SharedGateway, is_page: bool) -> ClientLimits {
    let configuration = gateway.configuration.load();
    let configured = configuration.as_ref().filter(|_| !is_page);
    configured.map_or(DEFAULT_LIMITS, |current| current.limits)
}
