//! Activity on a client's connection: requests, idle times and incomplete heads.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::routes::ClientLimits;
use dogwoodpier_process::clock;

#[derive(Debug)]
struct ConnectionState {
    requests: AtomicUsize,
    last_activity_ms: AtomicU64,
    // Time of the first byte of a request whose head isn't complete; 0 if there is none.
    head_started_ms: AtomicU64,
}

/// The activity of one connection. Clones share it.
#[derive(Clone, Debug)]
pub struct Traffic {
    shared: Arc<ConnectionState>,
}

/// A request in progress. Dropping it ends the count.
#[derive(Debug)]
pub struct ActiveRequest {
    shared: Arc<ConnectionState>,
}

impl Traffic {
    /// Returns the activity of a connection that has just been accepted.
    pub fn new(now: TimeMs) -> Self {
        Self {
            shared: Arc::new(ConnectionState {
                requests: AtomicUsize::new(0),
                last_activity_ms: AtomicU64::new(now.0),
                head_started_ms: AtomicU64::new(0),
            }),
        }
    }

    /// Counts a request whose head was read.
    pub fn begin_request(&self) -> ActiveRequest {
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        self.shared.head_started_ms.store(0, Ordering::Relaxed);
        ActiveRequest {
            shared: self.shared.clone(),
        }
    }

    /// Returns whether the connection has been idle for longer than the limit.
    pub fn is_idle(&self, limits: &ClientLimits, now: TimeMs) -> bool {
        let last_activity_ms = TimeMs(self.shared.last_activity_ms.load(Ordering::Relaxed));
        self.shared.requests.load(Ordering::Relaxed) == 0
            && now.since(last_activity_ms) > limits.idle_timeout_ms
    }

    /// Returns whether a request's head has been incomplete for longer than the limit.
    pub fn head_timed_out(&self, limits: &ClientLimits, now: TimeMs) -> bool {
        let started_ms = self.shared.head_started_ms.load(Ordering::Relaxed);
        started_ms != 0 && now.since(TimeMs(started_ms)) > limits.header_timeout_ms
    }

    fn record_read(&self) {
        let now = clock::now().0;
        self.shared.last_activity_ms.store(now, Ordering::Relaxed);
        if self.shared.requests.load(Ordering::Relaxed) == 0
            && self.shared.head_started_ms.load(Ordering::Relaxed) == 0
        {
            self.shared.head_started_ms.store(now, Ordering::Relaxed);
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.shared
            .last_activity_ms
            .store(clock::now().0, Ordering::Relaxed);
        self.shared.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream whose reads are recorded.
pub struct TrackedStream<S> {
    inner: S,
    traffic: Traffic,
}

impl<S> TrackedStream<S> {
    /// Returns a stream that records its reads in `traffic`.
    pub fn new(inner: S, traffic: Traffic) -> Self {
        Self { inner, traffic }
    }
}

impl<S> AsyncRead for TrackedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length_before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > length_before {
            self.traffic.record_read();
        }
        result
    }
}

impl<S> AsyncWrite for TrackedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
