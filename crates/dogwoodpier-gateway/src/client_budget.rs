//! Guards of the bytes and connections that clients use. Dropping a guard returns what it holds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use dogwoodpier_core::gateway::client_limits;
use dogwoodpier_core::gateway::client_limits::Cause;
use dogwoodpier_core::gateway::client_limits::Held;
use dogwoodpier_core::gateway::client_limits::Progress;
use dogwoodpier_core::gateway::client_limits::Purpose;
use dogwoodpier_http::Connections;
use dogwoodpier_process::clock;

use crate::counters;
use crate::settings::Settings;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::traffic::Traffic;

// First allocation of a body. Most bodies fit into a few of them.
const FIRST_ALLOCATION_BYTES: usize = 4_096;
// Descriptors that are assumed if the limit of the process can't be read: the usual default.
const DEFAULT_DESCRIPTORS: usize = 1_024;
// A client that is slow but sound makes progress within this time. Only used while bytes are short.
const MIN_STALLED_MS: u64 = 2_000;
// Time between two searches for a stalled connection: a search reads all connections.
const SEARCH_INTERVAL_MS: u64 = 20;

/// Counts of what clients use.
pub struct ClientBudget {
    held: Mutex<Held>,
    /// Connections of clients.
    pub clients: Arc<ConnectionTable>,
    process_descriptors: usize,
    next_search_ms: AtomicU64,
}

impl Default for ClientBudget {
    fn default() -> Self {
        Self {
            held: Mutex::default(),
            clients: Arc::new(ConnectionTable::new("clients")),
            process_descriptors: process_descriptors().unwrap_or(DEFAULT_DESCRIPTORS),
            next_search_ms: AtomicU64::new(0),
        }
    }
}

// Returns the limit on the descriptors of this process.
fn process_descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

impl ClientBudget {
    /// Returns the bytes that are held now.
    pub fn held(&self) -> Held {
        *self.lock()
    }

    /// Returns the number of descriptors that the process may use.
    pub fn descriptors(&self, settings: &Settings) -> usize {
        settings.max_descriptors.unwrap_or(self.process_descriptors)
    }

    /// Applies the settings to the pool of connections to upstreams.
    pub fn limit_idle_upstreams(&self, settings: &Settings, connections: &Connections) {
        let descriptors = self.descriptors(settings);
        connections.set_max_idle(client_limits::max_idle_upstream_connections(descriptors));
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A count of bytes that are held for one request or response.
pub struct HeldBytes {
    gateway: SharedGateway,
    purpose: Purpose,
    bytes: usize,
}

/// There is no room for more bytes.
#[derive(Debug)]
pub struct NoRoom;

impl HeldBytes {
    /// Returns a count of no bytes.
    pub fn new(gateway: &SharedGateway, purpose: Purpose) -> Self {
        Self {
            gateway: gateway.clone(),
            purpose,
            bytes: 0,
        }
    }

    /// Counts `bytes` in total if there is room for them.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let added = bytes.saturating_sub(self.bytes);
        let limits = self.gateway.settings.load().byte_limits;
        let budget = &self.gateway.client_budget;
        let (is_granted, are_short) = {
            let mut held = budget.lock();
            let is_granted = limits.grants(*held, self.purpose, self.bytes, added);
            if is_granted {
                *held.bytes(self.purpose) += added;
                self.bytes += added;
            }
            (is_granted, limits.are_short(*held))
        };
        if are_short || !is_granted {
            let is_small = bytes <= client_limits::SMALL_BYTES;
            close_stalled(&self.gateway, is_small && !is_granted);
        }
        match is_granted {
            true => Ok(()),
            false => {
                let purpose = match self.purpose {
                    Purpose::Request => "request",
                    Purpose::Response => "response",
                };
                metrics::counter!(counters::BYTES_DENIED_TOTAL, "purpose" => purpose).increment(1);
                Err(NoRoom)
            }
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        *self.gateway.client_budget.lock().bytes(self.purpose) -= self.bytes;
    }
}

// Closes the connection that has held bytes without progress for the longest time. If there is none
// and a small request found no room, closes the one whose body has been arriving for the longest time.
fn close_stalled(gateway: &Gateway, is_urgent: bool) {
    let now = clock::now();
    let budget = &gateway.client_budget;
    let next_ms = budget.next_search_ms.load(Ordering::Relaxed);
    if now.0 < next_ms {
        return;
    }
    let after = now.after(SEARCH_INTERVAL_MS).0;
    budget.next_search_ms.store(after, Ordering::Relaxed);
    budget.clients.close_one(gateway, Cause::Bytes, |open| {
        let stalled = client_limits::longest_stalled(open.iter().copied(), MIN_STALLED_MS, now);
        stalled.or_else(|| match is_urgent {
            true => client_limits::oldest_body(open, MIN_STALLED_MS, now),
            false => None,
        })
    });
}

/// A body that is being collected, counted by its allocation as it arrives.
pub struct Buffer {
    bytes: Vec<u8>,
    held: HeldBytes,
}

impl Buffer {
    /// Returns an empty body.
    pub fn new(gateway: &SharedGateway, purpose: Purpose) -> Self {
        Self {
            bytes: Vec::new(),
            held: HeldBytes::new(gateway, purpose),
        }
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes if there is room for them. The whole body has at most `max_bytes`.
    pub fn push(&mut self, data: &[u8], max_bytes: usize) -> Result<(), NoRoom> {
        let needed = self.bytes.len() + data.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = (capacity + capacity / 2).max(FIRST_ALLOCATION_BYTES);
            let target = grown.min(max_bytes).max(needed);
            self.held.grow_to(target)?;
            self.bytes.reserve_exact(target - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body. Its bytes are counted until the last reference to them is dropped.
    pub fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The open connections of a server.
pub struct ConnectionTable {
    server: &'static str,
    open: Mutex<BTreeMap<u64, Traffic>>,
    count: AtomicUsize,
    next_id: AtomicU64,
}

/// An open connection. Dropping it ends the count.
pub struct OpenConnection {
    table: Arc<ConnectionTable>,
    id: u64,
}

impl ConnectionTable {
    /// Returns the table of a server without connections.
    pub fn new(server: &'static str) -> Self {
        Self {
            server,
            open: Mutex::default(),
            count: AtomicUsize::new(0),
            next_id: AtomicU64::new(0),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection. If there are `max_connections` already, closes the least useful one. Returns
    /// `None` if none can be closed.
    pub fn admit(
        self: &Arc<Self>,
        gateway: &Gateway,
        traffic: &Traffic,
        max_connections: usize,
    ) -> Option<OpenConnection> {
        if self.len() >= max_connections {
            let has_closed = self.close_least_useful(gateway);
            if !has_closed || self.len() >= client_limits::max_with_closing(max_connections) {
                metrics::counter!(
                    counters::CLIENT_REFUSED_TOTAL,
                    "server" => self.server
                )
                .increment(1);
                return None;
            }
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.count.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(id, traffic.clone());
        Some(OpenConnection {
            table: self.clone(),
            id,
        })
    }

    /// Closes the least useful connection. Returns whether there was one.
    pub fn close_least_useful(&self, gateway: &Gateway) -> bool {
        self.close_one(gateway, Cause::Connections, |open| {
            client_limits::least_useful(open)
        })
    }

    // Closes the connection that `select` returns.
    fn close_one<S>(&self, gateway: &Gateway, cause: Cause, select: S) -> bool
    where
        S: FnOnce(Vec<(u64, Progress)>) -> Option<u64>,
    {
        let mut open = self.lock();
        let progress = open.iter().map(|(id, traffic)| (*id, traffic.progress()));
        let Some(traffic) = select(progress.collect()).and_then(|id| open.remove(&id)) else {
            return false;
        };
        drop(open);
        self.record_closed(gateway, &traffic, cause);
        traffic.close();
        true
    }

    /// Counts and logs a connection that is closed before its client closes it.
    pub fn record_closed(&self, gateway: &Gateway, traffic: &Traffic, cause: Cause) {
        let (server, cause) = (self.server, cause.as_str());
        metrics::counter!(counters::CLIENT_CLOSED_TOTAL, "server" => server, "cause" => cause)
            .increment(1);
        let progress = traffic.progress();
        gateway.events.write(
            "client_closed",
            serde_json::json!({
                "server": server,
                "cause": cause,
                "phase": format!("{:?}", progress.phase).to_lowercase(),
                "stalled_ms": clock::now().since(progress.progress_ms),
                "connections": self.len(),
                "held_bytes": gateway.client_budget.held().total_bytes(),
            }),
        );
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Traffic>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.lock().remove(&self.id);
        self.table.count.fetch_sub(1, Ordering::Relaxed);
    }
}
