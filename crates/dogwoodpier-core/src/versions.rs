//! Versions of the configuration: which one is in force, and which are known to exist.

use dogwoodpier_derive::plain;

/// The versions that a node knows of. Version zero stands for no configuration.
#[plain]
#[derive(Default)]
pub struct Versions {
    in_force: u64,
    keys: u64,
    highest_seen: u64,
}

impl Versions {
    /// Returns the version in force.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the version whose key withdrawals are in force. It is above `in_force` while the
    /// node can read only the keys of a newer version.
    pub fn keys(&self) -> u64 {
        self.keys
    }

    /// Returns the highest version known to exist.
    pub fn highest_seen(&self) -> u64 {
        self.highest_seen
    }

    /// Records that a version exists. Returns whether the node should fetch it.
    pub fn observe(&mut self, version: u64) -> bool {
        self.highest_seen = self.highest_seen.max(version);
        version > self.keys
    }

    /// Puts a whole version in force. Returns false and changes nothing unless the version is
    /// higher than all versions in force before, so that an outdated read never reverts the
    /// configuration.
    pub fn activate(&mut self, version: u64) -> bool {
        if version <= self.keys {
            return false;
        }
        self.in_force = version;
        self.activate_keys(version)
    }

    /// Puts the key withdrawals of a version in force. Returns false and changes nothing unless the
    /// version is higher than all versions in force before.
    pub fn activate_keys(&mut self, version: u64) -> bool {
        if version <= self.keys {
            return false;
        }
        self.keys = version;
        self.observe(version);
        true
    }

    /// Returns whether a version is known to exist whose key withdrawals aren't in force.
    pub fn is_behind(&self) -> bool {
        self.highest_seen > self.keys
    }
}
