//! Parameters of a run.

/// Distribution of the requests over the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Requests arrive evenly at all nodes.
    Even,
    /// Half of the requests arrive at one node, the others evenly at all nodes.
    Skewed,
    /// All requests arrive at one node.
    OneNode,
}

/// How nodes obtain tokens beyond their own floors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lending {
    /// Not at all. This is the baseline.
    FloorsOnly,
    /// By loans through the broker and directly from other nodes.
    Loans,
}

/// The failure that occurs at [`Scenario::FAILURE_MS`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// No failure.
    None,
    /// A node fails, and its standbys claim its slots once the promises have ended.
    Reclaimed,
    /// A node fails while the platform is out, so that no node can claim its slots.
    PlatformOut,
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub nodes: usize,
    pub slot_count: u32,
    pub promise_ms: u64,
    pub rate_tokens_per_s: u64,
    pub burst_tokens: u64,
    pub load_percent: u64,
    pub pattern: Pattern,
    pub lending: Lending,
    pub failure: Failure,
}

impl Scenario {
    /// Time at which the failure occurs.
    pub const FAILURE_MS: u64 = 20_000;
    /// Duration of the measurement after a failure.
    pub const AFTER_FAILURE_MS: u64 = 10_000;
    /// Duration of a run.
    pub const END_MS: u64 = 60_000;
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 8,
            slot_count: 32,
            promise_ms: 3_000,
            rate_tokens_per_s: 50_000,
            burst_tokens: 50_000,
            load_percent: 95,
            pattern: Pattern::Even,
            lending: Lending::Loans,
            failure: Failure::None,
        }
    }
}
