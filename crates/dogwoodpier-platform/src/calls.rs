//! Counters of calls, for what the platform charges and for the node's budget.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dogwoodpier_derive::key;
use dogwoodpier_derive::plain;

use crate::error::Error;

/// Operation of the object API.
#[key]
pub enum Operation {
    /// Read of one object.
    Get,
    /// Read of all objects of a kind.
    List,
    /// Write of one object.
    Put,
    /// Deletion of one object.
    Delete,
    /// Wait for changes.
    Watch,
    /// Read of the list of instances.
    Instances,
}

impl Operation {
    const ALL: [Self; 6] = [
        Self::Get,
        Self::List,
        Self::Put,
        Self::Delete,
        Self::Watch,
        Self::Instances,
    ];

    /// Returns the name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Watch => "watch",
            Self::Instances => "instances",
        }
    }
}

/// Number of calls of one operation with one result.
#[plain]
pub struct CallCount {
    /// The operation.
    pub operation: Operation,
    /// `ok`, `conflict`, `not_done`, `unknown` or `protocol_error`.
    pub result: &'static str,
    /// Calls since the start.
    pub calls: u64,
}

const RESULTS: [&str; 5] = ["ok", "conflict", "not_done", "unknown", "protocol_error"];

/// Index in [`RESULTS`] of a write whose condition didn't hold.
pub(crate) const CONFLICT_INDEX: usize = 1;

/// Counters of one client.
#[derive(Default)]
pub(crate) struct Calls {
    counts: [[AtomicU64; RESULTS.len()]; Operation::ALL.len()],
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Calls {
    pub(crate) fn count(&self, operation: Operation, result_index: usize) {
        self.counts[operation as usize][result_index].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self) -> Vec<CallCount> {
        let mut all = Vec::new();
        for operation in Operation::ALL {
            for (index, result) in RESULTS.into_iter().enumerate() {
                let calls = self.counts[operation as usize][index].load(Ordering::Relaxed);
                all.push(CallCount {
                    operation,
                    result,
                    calls,
                });
            }
        }
        all
    }

    pub(crate) fn body_bytes(&self) -> (u64, u64) {
        (
            self.sent_bytes.load(Ordering::Relaxed),
            self.received_bytes.load(Ordering::Relaxed),
        )
    }
}

/// Returns the index in [`RESULTS`] of the result of a call without a conflict.
pub(crate) fn result_index<T>(result: &Result<T, Error>) -> usize {
    match result {
        Ok(_) => 0,
        Err(Error::NotDone(_)) => 2,
        Err(Error::Unknown(_)) => 3,
        Err(Error::Protocol(_)) => 4,
    }
}
