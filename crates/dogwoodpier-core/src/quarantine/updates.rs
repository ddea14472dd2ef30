//! What instances tell each other of suspects.

use dogwoodpier_derive::wire;

use crate::TimeMs;

use super::Crash;
use super::SuspectTable;

/// News of a suspect. Times are given from the moment of sending: clocks of instances differ.
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
    /// An upstream answered the request, so that crashes before were not its own.
    Answered {
        /// Hash of the request.
        fingerprint: u64,
        /// Time since the answer.
        ago_ms: u64,
    },
}

impl SuspectTable {
    /// Notes a crash that this instance has seen. Returns the news of it unless it was known.
    pub fn record_crash(
        &mut self,
        fingerprint: u64,
        crash_id: u64,
        now: TimeMs,
    ) -> Option<SuspectUpdate> {
        let crash = self.observe(fingerprint, crash_id, false, now);
        self.insert(crash, true, now).then(|| crash.as_update(now))
    }

    /// Notes that an upstream answered a request. Returns the news of it if the request was a suspect.
    pub fn record_answer(&mut self, fingerprint: u64, now: TimeMs) -> Option<SuspectUpdate> {
        self.acquit(fingerprint, now, true, now)
            .then_some(SuspectUpdate::Answered {
                fingerprint,
                ago_ms: 0,
            })
    }

    /// Takes in what a peer tells. Returns whether it changed anything.
    pub fn handle_update(&mut self, news: SuspectUpdate, now: TimeMs) -> bool {
        match news {
            SuspectUpdate::Crashed {
                fingerprint,
                crash_id,
                expires_in_ms,
            } => {
                let longest_ms = self.settings().crash_ms;
                let crash = Crash {
                    fingerprint,
                    crash_id,
                    alone: false,
                    expires_ms: now.after(expires_in_ms.min(longest_ms)),
                };
                self.handle_report(crash, now)
            }
            SuspectUpdate::Answered {
                fingerprint,
                ago_ms,
            } => {
                let answered_ms = TimeMs(now.0.saturating_sub(ago_ms));
                self.acquit(fingerprint, answered_ms, false, now)
            }
        }
    }
}

impl Crash {
    /// Returns the news of this crash.
    pub(super) fn as_update(&self, now: TimeMs) -> SuspectUpdate {
        SuspectUpdate::Crashed {
            fingerprint: self.fingerprint,
            crash_id: self.crash_id,
            expires_in_ms: self.expires_ms.remaining(now),
        }
    }
}
