//! The list of instances, published with a delay.

use std::time::Duration;

use tokio::time::Instant;

use dogwoodpier_platform::wire::InstanceList;

/// The instance list. Changes become visible after a delay.
pub struct LaggingList {
    lag: Duration,
    /// Lists with their times of publication, oldest first. Outdated lists are removed when the
    /// published one is read.
    history: Vec<(Instant, InstanceList)>,
}

impl LaggingList {
    /// Returns an empty list whose changes are published after `lag_ms`.
    pub fn new(lag_ms: u64) -> Self {
        let empty = InstanceList {
            instances: Vec::new(),
        };
        Self {
            lag: Duration::from_millis(lag_ms),
            history: vec![(Instant::now(), empty)],
        }
    }

    /// Replaces the list. The change is published after the lag.
    pub fn set(&mut self, mut list: InstanceList) {
        list.instances.sort_by(|a, b| a.name.cmp(&b.name));
        self.history.push((Instant::now() + self.lag, list));
    }

    /// Returns the list that is currently published.
    pub fn published(&mut self) -> &InstanceList {
        let now = Instant::now();
        let index = self
            .history
            .iter()
            .rposition(|(from, _)| *from <= now)
            .unwrap_or(0);
        self.history.drain(..index);
        &self.history[0].1
    }
}
