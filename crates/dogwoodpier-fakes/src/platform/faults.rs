//! Faults of the platform.

use dogwoodpier_derive::wire;

/// How an outage shows.
#[wire]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Calls get status 503.
    Refuse,
    /// Calls get no answer.
    Hang,
    /// Connections are cut.
    Cut,
}

/// Faults in force. A body of `POST /control/faults` replaces all of them.
#[wire]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The outage, if there is one.
    pub outage: Option<Outage>,
    /// Delay of each call.
    pub slow_ms: u64,
    /// Number of next writes whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// Number of next writes that are lost with their answer.
    pub lose_writes: u32,
    /// Kind of the objects whose writes may be lost; all if absent.
    pub lose_only_kind: Option<String>,
}
