//! Parts of the model: nodes, the platform and messages.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::Attempt;
use dogwoodpier_core::claims::ClaimDecision;
use dogwoodpier_core::claims::ClaimTable;
use dogwoodpier_core::claims::GroupContent;
use dogwoodpier_core::claims::GroupWrite;
use dogwoodpier_core::claims::Groups;
use dogwoodpier_core::claims::RecordState;
use dogwoodpier_core::claims::Replica;
use dogwoodpier_core::claims::ReplicationMessage;

/// Number of a node, and of one of its incarnations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeIncarnation(pub usize, pub u64);

#[derive(Clone, Debug)]
pub enum Message {
    /// Attempt and the node that is asked for the claim.
    Request(usize, usize),
    Answer(usize, ClaimDecision),
    Ended(usize, usize, RecordState),
    Replicate(NodeIncarnation, usize, ReplicationMessage),
    ReplicationReply(NodeIncarnation, ReplicationMessage, bool),
    Write(NodeIncarnation, GroupWrite),
    WriteResult(NodeIncarnation, GroupWrite, Result<u64, u64>),
}

pub struct Platform {
    pub down: bool,
    pub revision: u64,
    pub version: u64,
    pub changed_ms: TimeMs,
    pub holder: NodeIncarnation,
    pub standby: NodeIncarnation,
    pub groups: BTreeMap<Arc<str>, (u64, GroupContent)>,
}

#[derive(Default)]
pub struct Node {
    pub incarnation: u64,
    pub paused: bool,
    pub cut_off: bool,
    pub tenure: Option<Tenure>,
    pub replica: Replica,
    pub promise_deadline_ms: TimeMs,
}

pub struct Tenure {
    pub version: u64,
    pub standby: NodeIncarnation,
    pub act_deadline_ms: TimeMs,
    pub table: ClaimTable,
    pub groups: Groups,
    pub waiting: Vec<usize>,
    pub replication_sent_ms: Option<TimeMs>,
    pub write_sent_ms: Option<TimeMs>,
}

pub struct OrderAttempt {
    pub key: usize,
    pub from: NodeIncarnation,
    pub attempt: Attempt,
    pub requested_ms: TimeMs,
    pub abandoned: bool,
    pub dispatched: bool,
}

impl Tenure {
    /// Returns the version of the slot if its holder may act on it.
    pub fn held_version(&self, now: TimeMs) -> Option<u64> {
        (now < self.act_deadline_ms).then_some(self.version)
    }
}
