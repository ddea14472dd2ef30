//! The configuration in force at this node.

use std::sync::Arc;

use arc_swap::ArcSwap;

use dogwoodpier_config::Effective;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::TimeMs;
use dogwoodpier_proto::FetchConfigReply;
use dogwoodpier_proto::NodeInfo;

use crate::state::SharedNode;

/// The configuration in force and how fresh the node's knowledge of it is.
#[derive(Default)]
pub struct ConfigStore {
    current: ArcSwap<Effective>,
}

impl ConfigStore {
    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Effective> {
        self.current.load_full()
    }

    /// Returns the workspace whose key this is. Refuses unknown and withdrawn keys, and all keys
    /// while the node can't know which are withdrawn.
    pub fn authenticate(&self, _key: &str, _now: TimeMs) -> Result<Arc<str>, Refusal> {
        Err(Refusal::not_run(
            dogwoodpier_core::RefusalReason::InvalidKey,
            "no configuration",
        ))
    }

    /// Returns the age of the newest contact with the platform that this node knows of, its own or a
    /// peer's.
    pub fn platform_contact_age_ms(&self, _now: TimeMs) -> u64 {
        u64::MAX
    }

    /// Takes in what a peer says in a heartbeat. A higher version is fetched from it in the
    /// background.
    pub fn heard(
        &self,
        _peer: &NodeInfo,
        _config_version: u64,
        _contact_age_ms: u64,
        _now: TimeMs,
    ) {
    }

    /// Returns the configuration in force for a peer that has an older one.
    pub fn fetch(&self, _newer_than: u64) -> FetchConfigReply {
        FetchConfigReply::default()
    }

    /// Returns the state as JSON, without key hashes.
    pub fn dump(&self, _now: TimeMs) -> serde_json::Value {
        serde_json::json!({ "version": self.current().version })
    }
}

/// Keeps the configuration up to date from the platform's watch and from peers.
pub async fn run(_node: SharedNode) {}
