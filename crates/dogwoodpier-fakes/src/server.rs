//! The HTTP server that all stand-ins share.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::crash::Crash;
use crate::respond::Body;

/// Error of a handler or body that makes the server close the connection without completing the
/// answer.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed by an injected fault")]
pub struct Cut;

/// Result of a request handler.
pub type Answer = Result<Response<Body>, Cut>;

/// A running server. It stops when dropped.
pub struct Server {
    address: SocketAddr,
    crash: Crash,
}

impl Server {
    /// Listens on an address, where port 0 picks a free port, and answers each request with
    /// `handle`.
    ///
    /// The future that `handle` returns is dropped if the caller disconnects.
    pub async fn start<H, F>(address: SocketAddr, crash: Crash, handle: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        tokio::spawn(accept(listener, crash.clone(), Arc::new(handle)));
        Ok(Self { address, crash })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops all connections. Does nothing for a server whose crash exits the
    /// process.
    pub fn stop(&self) {
        if let Crash::StopServer(_) = self.crash {
            self.crash.now();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept<H, F>(listener: TcpListener, crash: Crash, handle: Arc<H>)
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = crash.wait() => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(serve(stream, crash.clone(), Arc::clone(&handle)));
        }
    }
}

async fn serve<H, F>(stream: TcpStream, crash: Crash, handle: Arc<H>)
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    // Answers are small, so Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let handle = Arc::clone(&handle);
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
            handle(Request::from_parts(head, body)).await
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Tests make connections fail on purpose, so errors are ignored.
        _ = connection => {}
        () = crash.wait() => {}
    }
}
