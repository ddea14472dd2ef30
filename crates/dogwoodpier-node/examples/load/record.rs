//! Results of the requests of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodpier_derive::plain;
use dogwoodpier_fakes::engine::EngineStats;

/// Result of one request.
#[plain]
pub struct Record {
    /// Time at which it was sent, from the start of the load.
    pub at: Duration,
    /// Index of its workspace in the deployment.
    pub workspace: usize,
    /// Kind of the request.
    pub kind: Kind,
    /// Whether it was within its workspace's rate.
    pub within_rate: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time to the first token, or to the complete answer of a plain service.
    pub first_answer: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Kind of a request.
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
pub enum Outcome {
    /// The answer was complete and correct.
    Complete,
    /// The answer was complete, but not that of this request.
    Wrong,
    /// The request was refused.
    Refused {
        /// Error code.
        code: String,
        /// Whether the request ran, as reported with the refusal.
        execution: String,
        /// True if part of the answer had been received.
        after_start: bool,
    },
    /// There was neither a complete answer nor a refusal. Contains the cause.
    Lost(String),
}

/// Results of a run.
pub struct Records {
    /// Start and end of the measured part.
    pub measured: (Duration, Duration),
    /// Requests.
    pub requests: Vec<Record>,
    /// Counters of the engines over the whole load, by name.
    pub engines: BTreeMap<String, EngineStats>,
    /// Number of times that each order ran, by its text.
    pub order_runs: BTreeMap<String, u64>,
    /// Outcome of each order for its caller, by its text.
    pub order_outcomes: BTreeMap<String, Outcome>,
    /// Calls on the platform by operation.
    pub platform_calls: BTreeMap<String, u64>,
    /// Duration of the whole load.
    pub load_time: Duration,
}
