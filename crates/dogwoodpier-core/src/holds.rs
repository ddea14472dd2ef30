//! Holds on engines: those that this node uses, those that it must cancel, and those that are
//! orphaned.
//!
//! A hold tags everything that an engine keeps for one attempt of one request. Tags are never
//! reused, so cancelling a tag that is no longer in use is harmless, however late the cancel
//! arrives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use dogwoodpier_derive::key;
use dogwoodpier_derive::plain;

use crate::TimeMs;

// Time between two tries of a cancel. It doubles with each try, up to the maximum.
const FIRST_RETRY_MS: u64 = 100;
const MAX_RETRY_MS: u64 = 1_000;

/// Tag of everything that engines keep for one attempt of one request.
#[key]
pub struct HoldId {
    /// Incarnation of the node that created the hold.
    pub incarnation: u64,
    /// Sequence number within the incarnation, which is never reused.
    pub sequence: u64,
}

/// Error for a text that is not the tag of a hold.
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

/// The holds of one node: those in use, and the cancels that engines have not acknowledged yet.
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
    /// Creates a new hold, which is in use until [`HoldLedger::end`].
    pub fn begin(&mut self, incarnation: u64) -> HoldId {
        self.last_sequence += 1;
        let hold = HoldId {
            incarnation,
            sequence: self.last_sequence,
        };
        self.live.insert(hold);
        hold
    }

    /// Ends a hold and schedules its cancel at each of `engines`, which must include all engines
    /// that may keep anything for it.
    pub fn end<I>(&mut self, hold: HoldId, engines: I, now: TimeMs)
    where
        I: IntoIterator<Item = Arc<str>>,
    {
        self.live.remove(&hold);
        for engine in engines {
            self.cancel(engine, hold, now);
        }
    }

    /// Schedules the cancel of a hold at one engine. The hold may stay in use at other engines.
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

    /// Returns the cancels to send now. Each is returned again, with backoff, until it is
    /// acknowledged.
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

    /// Returns the time at which the next cancel is due.
    pub fn next_due_ms(&self) -> Option<TimeMs> {
        self.cancels.values().map(|cancel| cancel.next_try_ms).min()
    }

    /// Handles an engine's acknowledgement of a cancel.
    pub fn handle_cancel_ack(&mut self, engine: &Arc<str>, hold: HoldId) {
        self.cancels.remove(&(engine.clone(), hold));
    }

    /// Drops the cancels at engines for which `exists` is false, as these engines keep nothing any
    /// more.
    pub fn retain_engines<F>(&mut self, mut exists: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.cancels.retain(|(engine, _), _| exists(engine));
    }

    /// Returns the number of holds in use and the number of unacknowledged cancels.
    pub fn counts(&self) -> (usize, usize) {
        (self.live.len(), self.cancels.len())
    }
}

/// What is known about whether the owner of a hold, the node that created it, still uses it.
#[plain]
#[derive(Copy, Eq)]
pub enum OwnerStatus {
    /// The owner reports that it uses the hold, or it didn't answer but may still be running.
    InUse,
    /// The owner reports that it doesn't use the hold.
    NotInUse,
    /// The owner's incarnation has been unreachable, or another one has replaced it.
    Unreachable,
}

/// Decides which holds of one engine are orphans.
#[derive(Debug, Default)]
pub struct Audit {
    unreachable_since_ms: BTreeMap<HoldId, TimeMs>,
}

impl Audit {
    /// Takes the holds that an engine keeps, with the status of their owners, and returns the
    /// orphans. A hold whose owner is unreachable counts as an orphan once the owner has been
    /// unreachable at each audit for `grace_ms`, because an owner may be slow to become known.
    ///
    /// Each orphan must be cancelled once. If it is still there at the next audit, it is decided on
    /// anew, because an owner that was cut off may be reachable again by then.
    pub fn orphans<I>(&mut self, holds: I, grace_ms: u64, now: TimeMs) -> Vec<HoldId>
    where
        I: IntoIterator<Item = (HoldId, OwnerStatus)>,
    {
        let mut unreachable = BTreeMap::new();
        let mut orphans = Vec::new();
        for (hold, owner) in holds {
            match owner {
                OwnerStatus::InUse => {}
                OwnerStatus::NotInUse => orphans.push(hold),
                OwnerStatus::Unreachable => {
                    let since_ms = self.unreachable_since_ms.get(&hold).copied().unwrap_or(now);
                    unreachable.insert(hold, since_ms);
                    if now.since(since_ms) >= grace_ms {
                        orphans.push(hold);
                    }
                }
            }
        }
        self.unreachable_since_ms = unreachable;
        orphans
    }
}
