//! Updates on suspects that instances send each other.

use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::Crash;
use super::SuspectTable;

/// An update on a suspect. Times are relative to the moment of sending, because the clocks of
/// instances differ.
#[wire]
#[derive(Copy, Eq)]
pub enum SuspectUpdate {
    /// An upstream crashed while the request was in flight there.
    Crashed {
        /// Hash of the request.
        fingerprint: u64,
        /// Hash of the upstream in the upper half, of its incarnation in the lower.
        crash_id: u64,
        /// Time for which the crash counts.
        expires_in_ms: u64,
    },
    /// An upstream answered the request, so the request did not cause the crashes before the
    /// answer.
    Answered {
        /// Hash of the request.
        fingerprint: u64,
        /// Time since the answer.
        ago_ms: u64,
    },
}

impl SuspectTable {
    /// Records a crash that this instance has observed. Returns the update to send to the peers, or
    /// `None` if no new crash was added, such as for one that is already known.
    pub fn record_crash(
        &mut self,
        fingerprint: u64,
        crash_id: u64,
        now: TimeMs,
    ) -> Option<SuspectUpdate> {
        let crash = self.observe(fingerprint, crash_id, false, now);
        self.insert(crash, true, now).then(|| crash.as_update(now))
    }

    /// Records that an upstream answered a request. Returns the update to send to the peers if the
    /// request was a suspect.
    pub fn record_answer(&mut self, fingerprint: u64, now: TimeMs) -> Option<SuspectUpdate> {
        self.clear_crashes(fingerprint, now, true, now)
            .then_some(SuspectUpdate::Answered {
                fingerprint,
                ago_ms: 0,
            })
    }

    /// Applies an update from a peer. Returns whether it changed the table.
    pub fn handle_update(&mut self, update: SuspectUpdate, now: TimeMs) -> bool {
        match update {
            SuspectUpdate::Crashed {
                fingerprint,
                crash_id,
                expires_in_ms,
            } => {
                let max_ms = self.settings().crash_ms;
                let crash = Crash {
                    fingerprint,
                    crash_id,
                    alone: false,
                    expires_ms: now.after(expires_in_ms.min(max_ms)),
                };
                self.handle_report(crash, now)
            }
            SuspectUpdate::Answered {
                fingerprint,
                ago_ms,
            } => {
                let answered_ms = TimeMs(now.0.saturating_sub(ago_ms));
                self.clear_crashes(fingerprint, answered_ms, false, now)
            }
        }
    }
}

impl Crash {
    /// Returns the update that reports this crash.
    pub(super) fn as_update(&self, now: TimeMs) -> SuspectUpdate {
        SuspectUpdate::Crashed {
            fingerprint: self.fingerprint,
            crash_id: self.crash_id,
            expires_in_ms: self.expires_ms.remaining(now),
        }
    }
}
