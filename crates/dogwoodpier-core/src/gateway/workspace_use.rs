//! Recent use of a service by workspace.
//!
//! Load pattern: one workspace sends several times as much as each of the others for some seconds.
//! An instance sends only a few requests a second, and its queue is empty most of the time, so the
//! use of the last seconds has to be remembered for the workspaces to be compared.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;

// Time in which the remembered use falls to 1/e: the length of a short burst. A workspace whose
// burst is over is treated like the others after about as long.
const DECAY_MS: f64 = 2_000.0;
// Use below which a workspace is forgotten: less than a request of five time constants ago.
const MIN_USE: f64 = 0.01;
// Number of remembered workspaces from which on those without recent use are removed.
const PRUNE_LEN: usize = 64;

/// Requests sent by each workspace, divided by its weight, with decay.
#[derive(Debug, Default)]
pub struct WorkspaceUse {
    uses: BTreeMap<Arc<str>, Use>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    sends: f64,
    updated_ms: TimeMs,
}

impl Use {
    fn at(self, now: TimeMs) -> f64 {
        self.sends * (-(now.since(self.updated_ms) as f64) / DECAY_MS).exp()
    }
}

impl WorkspaceUse {
    /// Counts a request of a workspace.
    pub fn record(&mut self, workspace: &Arc<str>, weight: u32, now: TimeMs) {
        if self.uses.len() >= PRUNE_LEN && !self.uses.contains_key(workspace) {
            self.uses.retain(|_, used| used.at(now) >= MIN_USE);
        }
        let sends = self.of(workspace, now) + 1.0 / f64::from(weight.max(1));
        let used = Use {
            sends,
            updated_ms: now,
        };
        self.uses.insert(workspace.clone(), used);
    }

    /// Returns the use of a workspace.
    pub fn of(&self, workspace: &str, now: TimeMs) -> f64 {
        self.uses.get(workspace).map_or(0.0, |used| used.at(now))
    }

    /// Returns whether a workspace uses no more than the average of the workspaces with recent use. A
    /// workspace alone has no one to share with.
    pub fn is_within_share(&self, workspace: &str, now: TimeMs) -> bool {
        let own = self.of(workspace, now);
        let others = self.uses.iter().filter(|(name, _)| ***name != *workspace);
        let (count, total) = others
            .map(|(_, used)| used.at(now))
            .filter(|used| *used >= MIN_USE)
            .fold((0_u32, 0.0), |(count, total), used| {
                (count + 1, total + used)
            });
        count > 0 && own * f64::from(count) <= total
    }
}
