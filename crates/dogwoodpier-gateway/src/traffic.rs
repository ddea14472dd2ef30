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
use tokio::sync::Notify;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::client_limits::Phase;
use dogwoodpier_core::gateway::client_limits::Progress;
use dogwoodpier_core::gateway::routes::ClientLimits;
use dogwoodpier_process::clock;

#[derive(Debug)]
struct ConnectionState {
    requests: AtomicUsize,
    last_activity_ms: AtomicU64,
    // Time of the first byte of a request whose head isn't complete; 0 if there is none.
    head_started_ms: AtomicU64,
    // Requests whose body is being read: one at most.
    bodies: AtomicUsize,
    // Time at which that body began.
    body_started_ms: AtomicU64,
    // Time since which the client takes no bytes although there are some; 0 if it takes them.
    unread_since_ms: AtomicU64,
    close: Notify,
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
                bodies: AtomicUsize::new(0),
                body_started_ms: AtomicU64::new(0),
                unread_since_ms: AtomicU64::new(0),
                close: Notify::new(),
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

    /// Counts the body of a request as being read until the returned guard is dropped.
    pub fn begin_body(&self) -> ReadBody {
        let now = clock::now().0;
        self.shared.body_started_ms.store(now, Ordering::Relaxed);
        self.shared.bodies.fetch_add(1, Ordering::Relaxed);
        ReadBody {
            shared: self.shared.clone(),
        }
    }

    /// Returns what the connection is doing.
    pub fn progress(&self) -> Progress {
        let shared = &self.shared;
        let unread_since_ms = shared.unread_since_ms.load(Ordering::Relaxed);
        let head_started_ms = shared.head_started_ms.load(Ordering::Relaxed);
        let last_activity_ms = shared.last_activity_ms.load(Ordering::Relaxed);
        let is_requested = shared.requests.load(Ordering::Relaxed) > 0;
        let (phase, progress_ms) = if unread_since_ms > 0 {
            (Phase::Unread, unread_since_ms)
        } else if shared.bodies.load(Ordering::Relaxed) > 0 {
            (Phase::Body, last_activity_ms)
        } else if is_requested {
            (Phase::Serving, last_activity_ms)
        } else if head_started_ms > 0 {
            (Phase::Head, head_started_ms)
        } else {
            (Phase::Idle, last_activity_ms)
        };
        let begun_ms = match phase {
            Phase::Body => shared.body_started_ms.load(Ordering::Relaxed),
            Phase::Idle | Phase::Head | Phase::Serving | Phase::Unread => progress_ms,
        };
        Progress {
            phase,
            progress_ms: TimeMs(progress_ms),
            begun_ms: TimeMs(begun_ms),
        }
    }

    /// Has the connection closed.
    pub fn close(&self) {
        self.shared.close.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.shared.close.notified().await;
    }

    fn record_write<T>(&self, result: &Poll<io::Result<T>>) {
        match result {
            Poll::Pending => {
                let now = clock::now().0;
                let unread = &self.shared.unread_since_ms;
                // It keeps the time at which the client stopped reading.
                let _ = unread.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
            }
            Poll::Ready(_) => self.shared.unread_since_ms.store(0, Ordering::Relaxed),
        }
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

/// The body of a request that is being read. Dropping it ends the count.
pub struct ReadBody {
    shared: Arc<ConnectionState>,
}

impl Drop for ReadBody {
    fn drop(&mut self) {
        self.shared.bodies.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stream whose reads and writes are recorded.
pub struct TrackedStream<S> {
    inner: S,
    traffic: Traffic,
}

impl<S> TrackedStream<S> {
    /// Returns a stream that records its reads and writes in `traffic`.
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
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.traffic.record_write(&result);
        result
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
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.traffic.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
