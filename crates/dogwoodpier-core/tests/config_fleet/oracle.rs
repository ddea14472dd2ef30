//! Invariants that are checked after every step.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::freshness::KeyValidity;

use super::Fleet;
use super::NODES;
use super::RECOVERY_MS;
use super::WITHDRAWAL_BOUND_MS;

impl Fleet {
    pub(super) fn accepted(&self) -> u64 {
        self.accepted_ms.len() as u64
    }

    pub(super) fn accepted_by(&self, time_ms: u64) -> u64 {
        let is_accepted = |accepted_ms: &&u64| **accepted_ms <= time_ms;
        self.accepted_ms.iter().take_while(is_accepted).count() as u64
    }

    pub(super) fn check_invariants(&mut self) {
        let accepted = self.accepted();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let in_force = node.versions.in_force();
            assert!(
                in_force >= node.highest_in_force,
                "node {index} reverted from version {} to {in_force}",
                node.highest_in_force
            );
            assert!(
                in_force <= accepted,
                "node {index} has a version that was never accepted"
            );
            node.highest_in_force = in_force;
            let validity = node
                .freshness
                .key_validity(&node.versions, TimeMs(self.now_ms));
            let highest_seen = node.versions.highest_seen();
            if node
                .observed
                .last()
                .is_none_or(|(last, _)| *last < highest_seen)
            {
                node.observed.push((highest_seen, self.now_ms));
            }
            let is_long_behind = node.observed.iter().any(|(version, observed_ms)| {
                *version > node.versions.keys() && self.now_ms - observed_ms > WITHDRAWAL_BOUND_MS
            });
            assert!(
                node.is_paused || !is_long_behind || validity == KeyValidity::Stale,
                "node {index} accepts keys although it knows of a newer version ({validity:?})"
            );
            assert!(
                node.is_paused
                    || validity == KeyValidity::Stale
                    || node.versions.keys() >= self.required_version,
                "node {index} at version {} accepts keys that version {} withdrew ({validity:?})",
                node.versions.keys(),
                self.required_version
            );
        }
        if self.has_no_fault() && self.now_ms - self.last_fault_ms >= RECOVERY_MS {
            self.check_fault_free();
        }
    }

    pub(super) fn has_no_fault(&self) -> bool {
        let nodes_run = self
            .nodes
            .iter()
            .all(|node| !node.is_paused && node.reply_delay_ms == 0);
        let platform_is_consistent =
            self.has_outage || self.nodes.iter().all(|node| node.has_platform);
        nodes_run && platform_is_consistent && self.links.iter().flatten().all(|link| *link)
    }

    // Checks that without faults, also during an outage of the platform, one version is in force
    // and keys are valid. During an outage, keys have to be valid only if a majority of nodes has
    // been steady since before it.
    pub(super) fn check_fault_free(&self) {
        let steady = self.is_steady.iter().filter(|steady| **steady).count();
        let known = self.nodes.iter().map(|node| node.versions.in_force()).max();
        let required_version = if self.has_outage {
            known.unwrap_or(0)
        } else {
            self.accepted_by(self.now_ms - RECOVERY_MS)
        };
        for (index, node) in self.nodes.iter().enumerate() {
            let keys = node.versions.keys();
            assert!(
                keys >= required_version,
                "node {index} still at version {keys} instead of {required_version}"
            );
            let validity = node
                .freshness
                .key_validity(&node.versions, TimeMs(self.now_ms));
            assert!(
                required_version == 0
                    || validity != KeyValidity::Stale
                    || (self.has_outage && steady <= NODES / 2),
                "the keys of node {index} are stale without a cause"
            );
        }
    }
}
