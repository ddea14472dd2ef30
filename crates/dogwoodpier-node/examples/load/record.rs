//! What became of each request.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodpier_derive::plain;
use dogwoodpier_fakes::engine::EngineStats;

/// What became of one request.
#[plain]
pub struct Record {
    /// Time at which it was sent, from the start of the load.
    pub at: Duration,
    /// Place of its workspace in the deployment.
    pub workspace: usize,
    /// What it was.
    pub kind: Kind,
    /// Whether it was within its workspace's rate.
    pub within_rate: bool,
    /// How it ended.
    pub end: End,
    /// Time to the first token, or to the whole answer of a plain service.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// What a request was.
#[plain]
#[derive(Copy, Eq)]
pub enum Kind {
    /// A model's answer.
    Completion,
    /// An order that may run once.
    Order,
    /// A lookup.
    Lookup,
}

/// How a request ended.
#[plain]
pub enum End {
    /// The whole and right answer came.
    Whole,
    /// A whole answer came, but not that of this request.
    Wrong,
    /// It was refused: error code and what is known of its execution.
    Refused {
        /// Error code.
        code: String,
        /// Execution.
        execution: String,
        /// True if part of an answer had come.
        after_start: bool,
    },
    /// The connection ended without an answer.
    Lost(String),
}

/// All that a run left behind.
pub struct Records {
    /// Start and end of the measured part.
    pub measured: (Duration, Duration),
    /// Requests.
    pub requests: Vec<Record>,
    /// Counters of the engines over the measured part and its tail.
    pub engines: BTreeMap<String, EngineStats>,
    /// Texts of orders by how often they ran.
    pub order_runs: BTreeMap<String, u64>,
    /// Texts of orders with what their caller was told.
    pub order_ends: BTreeMap<String, End>,
    /// Calls on the platform by operation.
    pub platform_calls: BTreeMap<String, u64>,
    /// Time of the whole load.
    pub load_time: Duration,
}
