//! Faults that the stand-in for the platform injects.

use dogwoodpier_derive::wire;

/// Behaviour of the platform during an outage.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Calls get status 503.
    Refuse,
    /// Calls are left unanswered.
    Hang,
    /// Connections are closed without an answer.
    Cut,
}

/// Faults to inject. The body of `POST /control/faults` replaces all of them.
#[wire]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Current outage, if any.
    pub outage: Option<Outage>,
    /// Delay before each call is handled.
    pub slow_ms: u64,
    /// Number of next writes that are applied; their connection is closed without an answer.
    pub lose_answers: u32,
    /// Number of next writes that are not applied; their connection is closed without an answer.
    pub lose_writes: u32,
    /// Restricts `lose_answers` and `lose_writes` to objects of this kind; all kinds if absent.
    pub lose_only_kind: Option<String>,
}
