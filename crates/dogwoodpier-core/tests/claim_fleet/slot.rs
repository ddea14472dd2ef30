//! The slot's object on the platform, its leases and promises, and the changes of its holder.

use dogwoodpier_core::claims::ClaimTable;
use dogwoodpier_core::claims::Groups;
use dogwoodpier_core::claims::Handover;

use super::Fleet;
use super::GROUP_BYTES;
use super::LONG_LEASE_MS;
use super::NODES;
use super::PROMISE_MS;
use super::WRITE_INTERVAL_MS;
use super::parts::Node;
use super::parts::NodeIncarnation;
use super::parts::Tenure;
use super::settings;

impl Fleet {
    pub(super) fn write_slot(&mut self, holder: NodeIncarnation, standby: NodeIncarnation) {
        let platform = &mut self.platform;
        platform.revision += 1;
        platform.version = platform.revision;
        platform.changed_ms = self.now;
        platform.holder = holder;
        platform.standby = standby;
    }

    // Writes the slot on behalf of its new holder, which then loads the slot's claims.
    pub(super) fn become_holder(&mut self, holder: NodeIncarnation, standby: NodeIncarnation) {
        let superseded_version = self.platform.version;
        self.write_slot(holder, standby);
        let now = self.now;
        let version = self.platform.version;
        let groups = self.platform.groups.values();
        let loaded = groups.flat_map(|group| group.1.records.clone()).collect();
        let node = &mut self.nodes[holder.0];
        let handover = match superseded_version {
            0 => Some(Handover::default()),
            version => node.replica.complete_at(version),
        };
        node.tenure = Some(Tenure {
            version,
            standby,
            act_deadline_ms: now,
            table: ClaimTable::take_over(settings(), superseded_version, loaded, handover, now),
            groups: Groups::new(0, GROUP_BYTES, WRITE_INTERVAL_MS),
            waiting: Vec::new(),
            replication_sent_ms: None,
            write_sent_ms: None,
        });
    }

    // Renews the standby's promise. The promise starts at the standby before the holder relies on it.
    pub(super) fn renew(&mut self, node: usize) {
        let now = self.now;
        let Some(tenure) = &self.nodes[node].tenure else {
            return;
        };
        let standby = tenure.standby;
        // A standby that has taken over gives no promise to the former holder.
        let superseded = self.platform.version != tenure.version;
        let paused = self.nodes[node].paused || self.nodes[standby.0].paused;
        if superseded || paused || !self.is_alive(standby) {
            return;
        }
        // The long lease limits how long a holder that can't reach the platform may act.
        let lease_deadline_ms = self.platform.changed_ms.after(LONG_LEASE_MS);
        self.nodes[standby.0].promise_deadline_ms = now.after(PROMISE_MS);
        if let Some(tenure) = &mut self.nodes[node].tenure {
            tenure.act_deadline_ms = now.after(PROMISE_MS).min(lease_deadline_ms);
        }
    }

    pub(super) fn replace_standby(&mut self, node: usize, standby: usize) {
        let holder = self.incarnation_of(node);
        let may_write = self.reaches_platform(node) && self.platform.holder == holder;
        if !may_write || standby == node || self.nodes[standby].paused {
            return;
        }
        let standby = self.incarnation_of(standby);
        self.nodes[standby.0].promise_deadline_ms = self.now.after(PROMISE_MS);
        self.write_slot(holder, standby);
        if let Some(tenure) = &mut self.nodes[node].tenure {
            tenure.version = self.platform.version;
            tenure.standby = standby;
        }
        self.renew(node);
    }

    pub(super) fn take_over(&mut self, node: usize) {
        let claimant = self.incarnation_of(node);
        let promise_deadline_ms = self.nodes[node].promise_deadline_ms;
        let as_standby = self.platform.standby == claimant && self.now >= promise_deadline_ms;
        let by_lease = self.now.since(self.platform.changed_ms) >= LONG_LEASE_MS;
        let holds = self.platform.holder == claimant;
        if self.reaches_platform(node) && !holds && (as_standby || by_lease) {
            self.become_holder(claimant, self.incarnation_of((node + 1) % NODES));
            self.renew(node);
        }
    }

    pub(super) fn hand_over(&mut self, copied: bool, written: bool) {
        let node = self.platform.holder.0;
        let successor = (node + 2) % NODES;
        let version = self.platform.version;
        let holds = self.platform.holder == self.incarnation_of(node);
        if !self.reaches_platform(node) || !holds || self.nodes[successor].paused {
            return;
        }
        let Some(tenure) = &mut self.nodes[node].tenure else {
            return;
        };
        let message = tenure.table.freeze(version, self.now);
        if copied {
            self.nodes[successor].replica.apply(&message, self.now);
        }
        if copied && !written && self.attempts.len().is_multiple_of(2) {
            // The successor confirms that it has dropped the copies, so the holder resumes at once.
            self.nodes[successor].replica.withdraw(version);
            if let Some(tenure) = &mut self.nodes[node].tenure {
                tenure.table.unfreeze(version);
            }
        }
        if written {
            self.nodes[node].tenure = None;
            self.become_holder(self.incarnation_of(successor), self.incarnation_of(node));
            self.renew(successor);
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        self.nodes[node] = Node {
            incarnation: self.nodes[node].incarnation + 1,
            cut_off: self.nodes[node].cut_off,
            ..Node::default()
        };
    }
}
