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
// Time after which the uses are scaled anew. Their scale grows by e in each `DECAY_MS`, far from the
// largest number.
const RESCALE_MS: u64 = 200_000;

/// Requests sent by each workspace, divided by its weight, with decay.
#[derive(Debug, Default)]
pub struct WorkspaceUse {
    // Instead of all uses decaying, newer ones are larger by `scale`.
    uses: BTreeMap<Arc<str>, f64>,
    scaled_ms: TimeMs,
}

impl WorkspaceUse {
    /// Counts a request of a workspace.
    pub fn record(&mut self, workspace: &Arc<str>, weight: u32, now: TimeMs) {
        let is_new = !self.uses.contains_key(workspace);
        if now.since(self.scaled_ms) >= RESCALE_MS || (is_new && self.uses.len() >= PRUNE_LEN) {
            self.rescale(now);
        }
        let sent = self.scale(now) / f64::from(weight.max(1));
        *self.uses.entry(workspace.clone()).or_default() += sent;
    }

    /// Returns the use of a workspace.
    pub fn of(&self, workspace: &str, now: TimeMs) -> f64 {
        self.uses.get(workspace).copied().unwrap_or(0.0) / self.scale(now)
    }

    /// Returns whether a workspace uses no more than the average of the others with recent use. A
    /// workspace alone has no one to share with.
    pub fn is_within_share(&self, workspace: &str, now: TimeMs) -> bool {
        let own = self.uses.get(workspace).copied().unwrap_or(0.0);
        let min_use = MIN_USE * self.scale(now);
        let others = self.uses.iter().filter(|(name, _)| ***name != *workspace);
        let (count, total) = others
            .map(|(_, used)| *used)
            .filter(|used| *used >= min_use)
            .fold((0_u32, 0.0), |(count, total), used| {
                (count + 1, total + used)
            });
        count > 0 && own * f64::from(count) <= total
    }

    fn scale(&self, now: TimeMs) -> f64 {
        (now.since(self.scaled_ms) as f64 / DECAY_MS).exp()
    }

    // Also removes the workspaces without recent use.
    fn rescale(&mut self, now: TimeMs) {
        let scale = self.scale(now);
        self.uses.retain(|_, used| {
            *used /= scale;
            *used >= MIN_USE
        });
        self.scaled_ms = now;
    }
}
