//! Records of claims as they are stored and replicated.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use dogwoodpier_derive::wire;

/// An idempotency key within its workspace.
#[wire]
#[derive(Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Key that the caller sent.
    pub idempotency_key: Arc<str>,
}

/// Place of a record in the order of one slot's records. Of two records of a key, the later one
/// counts.
#[wire]
#[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Stamp {
    /// Version of the slot that was replaced by the tenure in which the record was made.
    pub tenure_version: u64,
    /// Number of the record within the tenure.
    pub revision: u64,
}

/// State of the latest attempt with a key.
#[wire]
pub struct Record {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request that came with the key.
    pub fingerprint: u64,
    /// Random id of the attempt.
    pub attempt_id: u64,
    /// Place among the slot's records.
    pub stamp: Stamp,
    /// Progress of the attempt.
    pub state: RecordState,
}

/// Progress of an attempt.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// It may have been dispatched, or may be yet.
    Pending,
    /// It was not dispatched and will never be.
    NotRun,
    /// The upstream answered it.
    Finished(Outcome),
}

/// The upstream's answer to an attempt.
#[wire]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<OutcomeHeader>,
    /// Body, absent if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// A header of a recorded answer.
#[wire]
pub struct OutcomeHeader {
    /// Name in lower case.
    pub name: Arc<str>,
    /// Raw value.
    pub value: Vec<u8>,
}

// JSON sizes by which the size of groups is estimated: the fixed fields of a record, and one byte of
// the answer, written as a number of up to three digits and a comma.
const FIXED_FIELDS_BYTES: usize = 160;
const JSON_BYTES_PER_BYTE: usize = 4;

impl Record {
    /// Returns the size of the recorded answer in bytes, zero if there is none.
    pub fn outcome_bytes(&self) -> usize {
        match &self.state {
            RecordState::Finished(outcome) => outcome.size_bytes(),
            RecordState::Pending | RecordState::NotRun => 0,
        }
    }

    /// Returns an upper estimate of the record's size on the platform in bytes.
    pub fn size_bytes(&self) -> usize {
        let names = self.key.workspace.len() + self.key.idempotency_key.len();
        FIXED_FIELDS_BYTES + names + self.outcome_bytes() * JSON_BYTES_PER_BYTE
    }
}

impl Outcome {
    /// Returns the size of headers and body in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Returns the slot that decides on a key.
pub fn slot_of(key: &ClaimKey, slot_count: u32) -> u32 {
    let workspace = xxh3_64_with_seed(key.workspace.as_bytes(), 0);
    let hash = xxh3_64_with_seed(key.idempotency_key.as_bytes(), workspace);
    let slot = hash % u64::from(slot_count.max(1));
    u32::try_from(slot).unwrap_or_default()
}
