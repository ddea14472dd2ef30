//! The list of instances, published late.

use std::time::Duration;

use tokio::time::Instant;

use dogwoodpier_platform::wire::InstanceList;

/// The list as it was set over time.
pub struct LaggingList {
    lag: Duration,
    /// Lists by the time from which they are published.
    history: Vec<(Instant, InstanceList)>,
}

impl LaggingList {
    /// Returns an empty list; changes are published after `lag_ms`.
    pub fn new(lag_ms: u64) -> Self {
        let empty = InstanceList {
            instances: Vec::new(),
        };
        Self {
            lag: Duration::from_millis(lag_ms),
            history: vec![(Instant::now(), empty)],
        }
    }

    /// Sets the list.
    pub fn set(&mut self, mut list: InstanceList) {
        list.instances.sort_by(|a, b| a.name.cmp(&b.name));
        self.history.push((Instant::now() + self.lag, list));
    }

    /// Returns the list that is published now.
    pub fn published(&mut self) -> &InstanceList {
        let now = Instant::now();
        let place = self
            .history
            .iter()
            .rposition(|(from, _)| *from <= now)
            .unwrap_or(0);
        self.history.drain(..place);
        &self.history[0].1
    }
}
