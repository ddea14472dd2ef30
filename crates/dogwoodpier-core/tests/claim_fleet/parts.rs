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

/// One life of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Life(pub usize, pub u64);

#[derive(Clone, Debug)]
pub enum Message {
    Ask(usize, usize),
    Answer(usize, ClaimDecision),
    Ended(usize, usize, RecordState),
    Keep(Life, usize, ReplicationMessage),
    Kept(Life, ReplicationMessage, bool),
    Write(Life, GroupWrite),
    Written(Life, GroupWrite, Result<u64, u64>),
}

pub struct Platform {
    pub down: bool,
    pub revision: u64,
    pub version: u64,
    pub changed_ms: TimeMs,
    pub holder: Life,
    pub standby: Life,
    pub groups: BTreeMap<Arc<str>, (u64, GroupContent)>,
}

#[derive(Default)]
pub struct Node {
    pub incarnation: u64,
    pub paused: bool,
    pub cut_off: bool,
    pub tenure: Option<Tenure>,
    pub copies: Replica,
    pub promise_deadline_ms: TimeMs,
}

pub struct Tenure {
    pub version: u64,
    pub standby: Life,
    pub act_deadline_ms: TimeMs,
    pub table: ClaimTable,
    pub groups: Groups,
    pub waiting: Vec<usize>,
    pub keep_sent_ms: Option<TimeMs>,
    pub write_sent_ms: Option<TimeMs>,
}

pub struct Tried {
    pub key: usize,
    pub from: Life,
    pub attempt: Attempt,
    pub asked_ms: TimeMs,
    pub given_up: bool,
    pub dispatched: bool,
}

impl Tenure {
    /// Returns the version of the slot if its holder may act on it.
    pub fn held_version(&self, now: TimeMs) -> Option<u64> {
        (now < self.act_deadline_ms).then_some(self.version)
    }
}
