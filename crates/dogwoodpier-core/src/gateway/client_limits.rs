//! Limits on what clients may have an instance hold: bytes and connections.
//!
//! Load pattern: clients that operators don't control send many large bodies at once and stop short of
//! their end, pipeline requests and don't read the responses, or open very many connections and leave
//! them. Each request is legal, but together they exceed the memory or the descriptors of an instance.
//! Bytes are granted as they arrive. Large bodies share a part of the budget only, so that small
//! ordinary requests still find room while large ones are rejected. If connections run out, those
//! that have made no progress for the longest time are closed first.

use dogwoodpier_derive::plain;

use crate::TimeMs;

/// Bodies and heads up to this size may use the reserve. Ordinary bodies have at most 55 kB.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Memory of a client's connection besides bodies: the buffers for reading and writing (16 KiB each),
/// the tasks, and what is lost when buffers grow. 720 connections took 43 KB each while bodies
/// arrived.
pub const CONNECTION_BYTES: usize = 48 * 1024;

// Parts of an instance's memory in sixteenths. What remains is for the process itself (9 MB of the
// smallest instance's 88 MB at rest) and for memory that the allocator can't reuse at once.
const MEMORY_PARTS: usize = 16;
const REQUEST_PARTS: usize = 4;
const RESPONSE_PARTS: usize = 2;
const RESERVE_PARTS: usize = 1;
const CONNECTION_PARTS: usize = 4;
// Part of the descriptors that clients may use. Their requests use as many for upstreams; with half
// of the descriptors, 500 clients took 308 of 300.
const CLIENT_DESCRIPTOR_DIVISOR: usize = 4;
// Part of the descriptors that clients of each of the servers of pages may use.
const PAGE_DESCRIPTOR_DIVISOR: usize = 24;
// Part of the descriptors that idle connections to upstreams may use. With too few, requests wait for new
// connections, which also take slots of upstreams.
const IDLE_UPSTREAM_DIVISOR: usize = 4;
// Part of the connections of a server that may be closing while others take their places.
const CLOSING_DIVISOR: usize = 8;
const MAX_CLOSING_CONNECTIONS: usize = 16;
// A balancer and operators need a few connections at a time.
const MAX_PAGE_CONNECTIONS: usize = 64;

/// What bytes are held for.
#[plain]
#[derive(Copy, Eq)]
pub enum Purpose {
    /// Heads and bodies of requests.
    Request,
    /// Bodies of responses.
    Response,
}

/// Bytes that an instance holds for clients.
#[plain]
#[derive(Copy, Default, Eq)]
pub struct Held {
    /// Heads and bodies of requests.
    pub request_bytes: usize,
    /// Bodies of responses.
    pub response_bytes: usize,
}

impl Held {
    /// Returns all bytes.
    pub fn total_bytes(&self) -> usize {
        self.request_bytes + self.response_bytes
    }

    /// Returns the bytes held for a purpose.
    pub fn bytes(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Request => &mut self.request_bytes,
            Purpose::Response => &mut self.response_bytes,
        }
    }
}

/// Limits on the bytes that are held at once.
#[plain]
#[derive(Copy, Eq)]
pub struct ByteLimits {
    /// Limit on requests, above which only small ones are granted more.
    pub request_bytes: usize,
    /// Limit on responses, above which only small ones are granted more.
    pub response_bytes: usize,
    /// Limit on all of them.
    pub total_bytes: usize,
}

impl ByteLimits {
    /// Returns the limits of an instance with `memory_bytes` of memory.
    pub fn of_memory(memory_bytes: usize) -> Self {
        let part = memory_bytes / MEMORY_PARTS;
        Self {
            request_bytes: part * REQUEST_PARTS,
            response_bytes: part * RESPONSE_PARTS,
            total_bytes: part * (REQUEST_PARTS + RESPONSE_PARTS + RESERVE_PARTS),
        }
    }

    /// Returns whether something that takes `item_bytes` so far may take `added_bytes` more.
    pub fn grants(
        &self,
        mut held: Held,
        purpose: Purpose,
        item_bytes: usize,
        added_bytes: usize,
    ) -> bool {
        let limit_bytes = match purpose {
            Purpose::Request => self.request_bytes,
            Purpose::Response => self.response_bytes,
        };
        let is_small = item_bytes + added_bytes <= SMALL_BYTES;
        held.total_bytes() + added_bytes <= self.total_bytes
            && (is_small || *held.bytes(purpose) + added_bytes <= limit_bytes)
    }

    /// Returns whether so much is held that connections without progress are closed.
    pub fn are_short(&self, held: Held) -> bool {
        let large_bytes = self.request_bytes + self.response_bytes;
        held.request_bytes > self.request_bytes / 4 * 3
            || held.response_bytes > self.response_bytes / 4 * 3
            || held.total_bytes() > large_bytes / 4 * 3
    }
}

/// Returns how many connections clients may have at an instance with `memory_bytes` of memory and
/// `descriptors` descriptors.
pub fn max_client_connections(memory_bytes: usize, descriptors: usize) -> usize {
    let by_memory = memory_bytes / MEMORY_PARTS * CONNECTION_PARTS / CONNECTION_BYTES;
    by_memory
        .min(descriptors / CLIENT_DESCRIPTOR_DIVISOR)
        .max(1)
}

/// Returns how many connections each of the servers of pages may have.
pub fn max_page_connections(descriptors: usize) -> usize {
    (descriptors / PAGE_DESCRIPTOR_DIVISOR).clamp(1, MAX_PAGE_CONNECTIONS)
}

/// Returns how many idle connections to upstreams are kept.
pub fn max_idle_upstream_connections(descriptors: usize) -> usize {
    descriptors / IDLE_UPSTREAM_DIVISOR
}

/// Returns how many connections a server may have while those that were closed to make room for others
/// have not ended.
pub fn max_with_closing(max_connections: usize) -> usize {
    max_connections + (max_connections / CLOSING_DIVISOR).clamp(1, MAX_CLOSING_CONNECTIONS)
}

/// What a connection of a client is doing.
#[plain]
#[derive(Copy, Eq)]
pub enum Phase {
    /// No request is in progress.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// The body of a request is being read.
    Body,
    /// A request is being served.
    Serving,
    /// The client does not read the response.
    Unread,
}

/// The phase of a connection and the time of its last progress.
#[plain]
#[derive(Copy, Eq)]
pub struct Progress {
    /// Phase.
    pub phase: Phase,
    /// Time of the last progress. A head makes none before it is complete.
    pub progress_ms: TimeMs,
    /// Time at which the body that is being read began; that of the last progress in other phases.
    pub begun_ms: TimeMs,
}

/// Time limits on progress.
#[plain]
#[derive(Copy, Eq)]
pub struct ProgressLimits {
    /// Time after which a body of which nothing arrives is given up.
    pub body_ms: u64,
    /// Time after which a response of which nothing is read is given up.
    pub response_ms: u64,
}

impl Default for ProgressLimits {
    fn default() -> Self {
        Self {
            // As long as connections may be idle.
            body_ms: 15_000,
            // A receiver makes room in steps of up to 64 KB, so that a client that reads 2.2 KB/s
            // makes progress twice in this time.
            response_ms: 60_000,
        }
    }
}

impl ProgressLimits {
    /// Returns whether a connection's response has been unread for too long.
    pub fn is_unread_too_long(&self, progress: Progress, now: TimeMs) -> bool {
        progress.phase == Phase::Unread && now.since(progress.progress_ms) > self.response_ms
    }
}

/// Why a connection is closed before its client closes it.
#[plain]
#[derive(Copy, Eq)]
pub enum Cause {
    /// There are too many connections.
    Connections,
    /// It holds bytes without making progress, and others need them.
    Bytes,
    /// The head of a request did not arrive in time.
    Head,
    /// The response was not read in time.
    Unread,
}

impl Cause {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes => "bytes",
            Self::Head => "head",
            Self::Unread => "unread",
        }
    }
}

/// Returns the connection to close if there are too many: the one without progress for the longest
/// time. Never one whose request is being served.
pub fn least_useful<I, C>(connections: C) -> Option<I>
where
    C: IntoIterator<Item = (I, Progress)>,
{
    let closable = connections
        .into_iter()
        .filter(|(_, progress)| progress.phase != Phase::Serving);
    let first = closable.min_by_key(|(_, progress)| progress.progress_ms);
    first.map(|(connection, _)| connection)
}

/// Returns the connection to close if bytes are short: the one that has held bytes without progress
/// for the longest time, if that is at least `min_stalled_ms`.
pub fn longest_stalled<I, C>(connections: C, min_stalled_ms: u64, now: TimeMs) -> Option<I>
where
    C: IntoIterator<Item = (I, Progress)>,
{
    let stalled = connections.into_iter().filter(|(_, progress)| {
        matches!(progress.phase, Phase::Body | Phase::Unread)
            && now.since(progress.progress_ms) >= min_stalled_ms
    });
    let first = stalled.min_by_key(|(_, progress)| progress.progress_ms);
    first.map(|(connection, _)| connection)
}

/// Returns the connection to close if there is no room for a small request and no connection is
/// stalled: the one whose body has been arriving for the longest time, if that is at least
/// `min_age_ms`. Small bodies arrive within milliseconds.
pub fn oldest_body<I, C>(connections: C, min_age_ms: u64, now: TimeMs) -> Option<I>
where
    C: IntoIterator<Item = (I, Progress)>,
{
    let old = connections.into_iter().filter(|(_, progress)| {
        progress.phase == Phase::Body && now.since(progress.begun_ms) >= min_age_ms
    });
    let first = old.min_by_key(|(_, progress)| progress.begun_ms);
    first.map(|(connection, _)| connection)
}
