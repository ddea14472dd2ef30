//! Faults that the stand-in for an engine injects.

use dogwoodpier_derive::wire;

/// Faults to inject. The body of `POST /control/faults` replaces all of them.
#[wire]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// True to leave all calls unanswered and stop all prefills, decodes and transfers.
    pub hang: bool,
    /// True to stop all transfers of KV cache.
    pub stall_transfers: bool,
    /// Computation times in percent of the normal ones; 100 for no slowdown.
    pub slow_percent: u64,
    /// True to crash when the faults are set.
    pub crash_now: bool,
    /// Number of next tokens that are sent with the id of another request.
    pub cross_tokens: u32,
    /// Number of next tokens that are sent twice.
    pub duplicate_tokens: u32,
    /// Number of tokens after which the streams of the next `cut_streams` decodes are cut.
    pub cut_after_tokens: u64,
    /// Number of next decodes whose streams are cut.
    pub cut_streams: u32,
    /// Number of next cancels that are not applied; their connection is closed without an answer.
    pub lose_cancels: u32,
    /// Number of next cancels that are applied; their connection is closed without an answer.
    pub lose_cancel_answers: u32,
    /// Number of next reservations that are made; their connection is closed without an answer.
    pub lose_reserve_answers: u32,
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
            lose_reserve_answers: 0,
        }
    }
}
