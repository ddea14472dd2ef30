//! What a run is made of.

/// Where requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// At all nodes alike.
    Even,
    /// Half of them at one node.
    Skewed,
    /// All at one node.
    OneNode,
}

/// What nodes do beyond their own floors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lending {
    /// Nothing: the naive version.
    FloorsOnly,
    /// Loans through the broker and directly.
    Loans,
}

/// What fails at [`Scenario::DEATH_MS`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// Nothing.
    None,
    /// A node; its standbys claim its slots once their promises are over.
    Reclaimed,
    /// A node while the platform is out, so that nobody can claim its slots.
    PlatformOut,
}

/// One run.
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
    /// Time at which the failure strikes.
    pub const DEATH_MS: u64 = 20_000;
    /// Length of the window after a failure that is measured.
    pub const AFTER_DEATH_MS: u64 = 10_000;
    /// Length of a run.
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
