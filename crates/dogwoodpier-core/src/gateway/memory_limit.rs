//! How far the memory of a service's engines can be filled.
//!
//! Load pattern: memory binds, and requests whose answers are longer than expected stay longest, so that
//! engines hold more than is counted for them. At a limit that is too high every third request is
//! rejected after its prompt was read; at one that is too low engines idle while requests wait. Each
//! rejection by an engine that is nearly full lowers the limit a little, and each request that was
//! served raises it by far less.

// Change of the limit with a rejection and with a served request. They balance at about three
// rejections in a hundred requests.
const STEP_DOWN: f64 = 0.01;
const STEP_UP: f64 = 0.000_3;
// Least limit, and least use at which a rejection tells something about memory.
const MIN_PART: f64 = 0.5;
const TELLING_PART: f64 = 0.6;

/// Part of the stated memory of engines that can be given out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimit {
    part: f64,
}

impl Default for MemoryLimit {
    fn default() -> Self {
        Self { part: 1.0 }
    }
}

impl MemoryLimit {
    /// Returns the memory that can be given out of `kv_tokens`.
    pub fn limit(self, kv_tokens: u64) -> u64 {
        (kv_tokens as f64 * self.part) as u64
    }

    /// Notes that a request was rejected by an engine that would have held `held_kv_tokens` with it, of a
    /// memory of `kv_tokens`.
    pub fn record_rejected(&mut self, held_kv_tokens: u64, kv_tokens: u64) {
        if held_kv_tokens as f64 >= kv_tokens as f64 * TELLING_PART {
            self.part = (self.part * (1.0 - STEP_DOWN)).max(MIN_PART);
        }
    }

    /// Notes that a request was taken by its engine.
    pub fn record_accepted(&mut self) {
        self.part = (self.part + STEP_UP).min(1.0);
    }
}
