//! Faults of an engine.

use dogwoodpier_derive::wire;

/// Faults in force. A body of `POST /control/faults` replaces all of them.
#[wire]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// True if the engine answers nothing and makes no progress.
    pub hang: bool,
    /// True if transfers make no progress.
    pub stall_transfers: bool,
    /// Factor on all times of computing, in percent.
    pub slow_percent: u64,
    /// True to crash at once.
    pub crash_now: bool,
    /// Number of next tokens that carry another request's id.
    pub cross_tokens: u32,
    /// Number of next tokens that are sent twice.
    pub duplicate_tokens: u32,
    /// Tokens after which a decode is cut, for the next `cut_streams` decodes.
    pub cut_after_tokens: u64,
    /// Number of next decodes that are cut.
    pub cut_streams: u32,
    /// Number of next cancels that are lost before they take effect.
    pub lose_cancels: u32,
    /// Number of next cancels whose answer is lost.
    pub lose_cancel_answers: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            hang: false,
            stall_transfers: false,
            slow_percent: 100,
            crash_now: false,
            cross_tokens: 0,
            duplicate_tokens: 0,
            cut_after_tokens: 0,
            cut_streams: 0,
            lose_cancels: 0,
            lose_cancel_answers: 0,
        }
    }
}
