//! Holds on engines: what this node has made, what it must cancel, and which are orphans.
//!
//! A hold tags everything that an engine keeps for one attempt of one request. Tags are never used
//! twice, so a cancel of a tag that is not alive can do no harm, however late it arrives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use dogwoodpier_derive::key;
use dogwoodpier_derive::plain;

use crate::TimeMs;

// Time from one try of a cancel to the next; it doubles up to the maximum.
const FIRST_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 1_000;

/// Tag of what engines keep for one attempt of one request.
#[key]
pub struct HoldId {
    /// Incarnation of the node that made it.
    pub incarnation: u64,
    /// Number within the incarnation, never used twice.
    pub sequence: u64,
}

/// A text that is not a hold's tag.
#[plain]
#[derive(Eq, thiserror::Error)]
#[error("a hold is written as 16 hex digits, a dash and a number")]
pub struct InvalidHold;

impl fmt::Display for HoldId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{}", self.incarnation, self.sequence)
    }
}

impl FromStr for HoldId {
    type Err = InvalidHold;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (incarnation, sequence) = text.split_once('-').ok_or(InvalidHold)?;
        Ok(Self {
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| InvalidHold)?,
            sequence: sequence.parse().map_err(|_| InvalidHold)?,
        })
    }
}

/// The holds of one node: those in use, and those to cancel until the engine acknowledges it.
#[derive(Debug, Default)]
pub struct HoldLedger {
    last_sequence: u64,
    live: BTreeSet<HoldId>,
    cancels: BTreeMap<(Arc<str>, HoldId), Cancel>,
}

#[plain]
struct Cancel {
    next_try_ms: TimeMs,
    backoff_ms: u64,
}

impl HoldLedger {
    /// Makes a new hold, which is alive until [`HoldLedger::end`].
    pub fn begin(&mut self, incarnation: u64) -> HoldId {
        self.last_sequence += 1;
        let hold = HoldId {
            incarnation,
            sequence: self.last_sequence,
        };
        self.live.insert(hold);
        hold
    }

    /// Ends a hold. It must be cancelled at each of the engines that may keep something for it.
    pub fn end<I>(&mut self, hold: HoldId, engines: I, now: TimeMs)
    where
        I: IntoIterator<Item = Arc<str>>,
    {
        self.live.remove(&hold);
        for engine in engines {
            self.cancel(engine, hold, now);
        }
    }

    /// Asks for a cancel at one engine while the hold may live on at others.
    pub fn cancel(&mut self, engine: Arc<str>, hold: HoldId, now: TimeMs) {
        self.cancels.entry((engine, hold)).or_insert(Cancel {
            next_try_ms: now,
            backoff_ms: FIRST_RETRY_MS,
        });
    }

    /// Returns whether this node still uses a hold.
    pub fn is_live(&self, hold: HoldId) -> bool {
        self.live.contains(&hold)
    }

    /// Returns the cancels to send now. Each comes again until it is acknowledged.
    pub fn due_cancels(&mut self, now: TimeMs) -> Vec<(Arc<str>, HoldId)> {
        let mut due = Vec::new();
        for ((engine, hold), cancel) in &mut self.cancels {
            if cancel.next_try_ms <= now {
                cancel.next_try_ms = now.after(cancel.backoff_ms);
                cancel.backoff_ms = (cancel.backoff_ms * 2).min(MAX_RETRY_MS);
                due.push((engine.clone(), *hold));
            }
        }
        due
    }

    /// Returns when the next cancel is due.
    pub fn next_due_ms(&self) -> Option<TimeMs> {
        self.cancels.values().map(|cancel| cancel.next_try_ms).min()
    }

    /// Takes in an engine's acknowledgement of a cancel.
    pub fn handle_cancel_ack(&mut self, engine: &Arc<str>, hold: HoldId) {
        self.cancels.remove(&(engine.clone(), hold));
    }

    /// Drops the cancels at engines for which `exists` is false: their memory is gone with them.
    pub fn retain_engines<F>(&mut self, mut exists: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.cancels.retain(|(engine, _), _| exists(engine));
    }

    /// Returns the number of holds in use and of cancels that are not acknowledged.
    pub fn counts(&self) -> (usize, usize) {
        (self.live.len(), self.cancels.len())
    }
}

/// What is known of the node that made a hold.
#[plain]
#[derive(Copy, Eq)]
pub enum OwnerStatus {
    /// The node itself says that it uses the hold, or it can't be asked but was heard lately.
    InUse,
    /// The node itself says that it doesn't use the hold.
    NotInUse,
    /// The incarnation has been silent, or another one has replaced it.
    Unreachable,
}

/// Decides which holds of one engine are orphans.
#[derive(Debug, Default)]
pub struct Audit {
    silent_since_ms: BTreeMap<HoldId, TimeMs>,
}

impl Audit {
    /// Takes in the holds that an engine keeps with what is known of their owners, and returns the
    /// orphans. A silent owner's hold counts as an orphan after `grace_ms` of silence at each
    /// audit, since the owner may be slow to become known.
    ///
    /// Each orphan is to be cancelled once. It comes again with the next audit if it is still
    /// there, under a new verdict: an owner that was cut off may be back by then.
    pub fn orphans<I>(&mut self, holds: I, grace_ms: u64, now: TimeMs) -> Vec<HoldId>
    where
        I: IntoIterator<Item = (HoldId, OwnerStatus)>,
    {
        let mut silent = BTreeMap::new();
        let mut orphans = Vec::new();
        for (hold, owner) in holds {
            match owner {
                OwnerStatus::InUse => {}
                OwnerStatus::NotInUse => orphans.push(hold),
                OwnerStatus::Unreachable => {
                    let since_ms = self.silent_since_ms.get(&hold).copied().unwrap_or(now);
                    silent.insert(hold, since_ms);
                    if now.since(since_ms) >= grace_ms {
                        orphans.push(hold);
                    }
                }
            }
        }
        self.silent_since_ms = silent;
        orphans
    }
}
