//! What must hold after every step.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::freshness::KeyValidity;

use super::BOUND_MS;
use super::CALM_MS;
use super::Fleet;
use super::NODES;

impl Fleet {
    pub(super) fn accepted(&self) -> u64 {
        self.accepted_ms.len() as u64
    }

    pub(super) fn accepted_before(&self, time_ms: u64) -> u64 {
        let before = |accepted_ms: &&u64| **accepted_ms <= time_ms;
        self.accepted_ms.iter().take_while(before).count() as u64
    }

    pub(super) fn check(&mut self) {
        let accepted = self.accepted();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let in_force = node.versions.in_force();
            assert!(
                in_force >= node.highest_taken,
                "node {index} went back from {} to {in_force}",
                node.highest_taken
            );
            assert!(in_force <= accepted, "node {index} made up a version");
            node.highest_taken = in_force;
            let trust = node
                .freshness
                .key_validity(&node.versions, TimeMs(self.now_ms));
            let highest_seen = node.versions.highest_seen();
            if node
                .seen
                .last()
                .is_none_or(|(last, _)| *last < highest_seen)
            {
                node.seen.push((highest_seen, self.now_ms));
            }
            let is_long_behind = node.seen.iter().any(|(version, seen_ms)| {
                *version > node.versions.keys() && self.now_ms - seen_ms > BOUND_MS
            });
            assert!(
                node.is_paused || !is_long_behind || trust == KeyValidity::Stale,
                "node {index} takes keys though it knows of a version that it lacks ({trust:?})"
            );
            assert!(
                node.is_paused || trust == KeyValidity::Stale || node.versions.keys() >= self.due,
                "node {index} at {} takes keys that version {} withdrew ({trust:?})",
                node.versions.keys(),
                self.due
            );
        }
        if self.is_calm() && self.now_ms - self.calm_since_ms >= CALM_MS {
            self.check_calm();
        }
    }

    pub(super) fn is_calm(&self) -> bool {
        let nodes_run = self
            .nodes
            .iter()
            .all(|node| !node.is_paused && node.reply_delay_ms == 0);
        let platform_is_alike = self.is_out || self.nodes.iter().all(|node| node.has_platform);
        nodes_run && platform_is_alike && self.links.iter().flatten().all(|link| *link)
    }

    // In calm, also in the calm of an outage: one version in force, and keys are taken. In an outage
    // that takes a majority which has kept its memory since before.
    pub(super) fn check_calm(&self) {
        let steady = self.is_steady.iter().filter(|steady| **steady).count();
        let known = self.nodes.iter().map(|node| node.versions.in_force()).max();
        let due = if self.is_out {
            known.unwrap_or(0)
        } else {
            self.accepted_before(self.now_ms - CALM_MS)
        };
        for (index, node) in self.nodes.iter().enumerate() {
            let keys = node.versions.keys();
            assert!(keys >= due, "node {index} still at {keys} instead of {due}");
            let trust = node
                .freshness
                .key_validity(&node.versions, TimeMs(self.now_ms));
            assert!(
                due == 0 || trust != KeyValidity::Stale || (self.is_out && steady <= NODES / 2),
                "node {index} refuses keyed requests without a cause"
            );
        }
    }
}
