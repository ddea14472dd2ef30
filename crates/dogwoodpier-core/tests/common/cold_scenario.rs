//! What happens in a run of a fleet with a cold upstream.

use dogwoodpier_core::gateway::routes::ColdStart;
use dogwoodpier_core::gateway::upstreams::Upstream;

/// Id of the upstream.
pub const UPSTREAM: &str = "i-1";

/// A fault during a run.
#[derive(Clone, Debug)]
pub enum Fault {
    /// No message passes between two halves of the fleet, or only in one direction.
    Partition {
        from_ms: u64,
        for_ms: u64,
        one_way: bool,
    },
    /// An instance is killed and starts again.
    Restart {
        at_ms: u64,
        instance: usize,
        for_ms: u64,
    },
    /// All instances are killed and start again.
    RestartAll { at_ms: u64, for_ms: u64 },
    /// An instance is killed for good.
    Leave { at_ms: u64, instance: usize },
    /// A new instance starts.
    Join { at_ms: u64 },
    /// Nothing can be read from the store.
    StoreOutage { from_ms: u64, for_ms: u64 },
    /// The upstream becomes cold again.
    ColdAgain { at_ms: u64 },
}

/// A run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub size: usize,
    pub rate_per_s: f64,
    pub max_delay_ms: u64,
    pub loss: f64,
    pub duplication: f64,
    pub faults: Vec<Fault>,
    pub seed: u64,
    /// Time between two reports: several seconds in a large fleet.
    pub heartbeat_ms: u64,
    /// Whether there are pauses without requests.
    pub has_pauses: bool,
    /// Whether permits are kept until the same times, such as the ends of prefills that began together.
    pub has_joint_sends: bool,
}

/// Returns the cold start of the service.
pub fn cold_start(rate_per_s: f64) -> ColdStart {
    ColdStart {
        duration_ms: 3_000,
        rate_per_s,
    }
}

/// Returns an incarnation of the upstream.
pub fn upstream(started_unix_ms: u64) -> Upstream {
    Upstream {
        id: UPSTREAM.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        software_version: "v1".into(),
        slots: 6,
        accepts_work: true,
        stage: None,
        started_unix_ms: Some(started_unix_ms),
    }
}
