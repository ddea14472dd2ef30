//! The server for clients.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use anyhow::Context;
use http::HeaderValue;
use http::Request;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use dogwoodpier_process::clock;

use crate::dispatch;
use crate::state::SharedGateway;
use crate::traffic::TrackedStream;
use crate::traffic::Traffic;

// Limit on a request's head before a configuration is in force; hyper allows no smaller one.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
// Time between two checks of a connection without activity.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
// Pause after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds the address for clients and serves it for as long as the process lives.
pub async fn start(gateway: SharedGateway) -> anyhow::Result<()> {
    let address = gateway.settings.load().client_address;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("can't bind client_address {address}"))?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve(gateway.clone(), stream));
                }
                Err(error) => {
                    log::warn!("can't accept a connection at {address}: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve(gateway: SharedGateway, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("client closed its connection before it was served: {error}");
        return;
    }
    let traffic = Traffic::new(clock::now());
    let service = service_fn(|request: Request<Incoming>| {
        let active = traffic.begin_request();
        let gateway = gateway.clone();
        async move {
            let mut response = dispatch::serve(gateway.clone(), request).await;
            if gateway.drain.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response.body_mut().hold_active(active);
            Ok::<_, Infallible>(response)
        }
    });
    let max_header_bytes =
        gateway
            .configuration
            .load()
            .as_ref()
            .map_or(DEFAULT_MAX_HEADER_BYTES, |current| {
                current
                    .limits
                    .max_header_bytes
                    .max(DEFAULT_MAX_HEADER_BYTES)
            });
    let io = TokioIo::new(TrackedStream::new(stream, traffic.clone()));
    let connection = http1::Builder::new()
        .max_buf_size(max_header_bytes)
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
            () = gateway.close_idle.notified(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(CONNECTION_CHECK_INTERVAL) => {
                let limits = gateway.configuration.load().as_ref().map(|current| current.limits);
                let Some(limits) = limits else { continue };
                let now = clock::now();
                if traffic.head_timed_out(&limits, now) {
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
