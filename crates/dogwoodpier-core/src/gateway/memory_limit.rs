//! Adaptive limit on how much KV cache memory of a service's engines is allocated.
//!
//! Load pattern: memory is the bottleneck, and requests whose answers are longer than expected stay
//! longest, so that engines hold more than is counted for them. With a limit that is too high,
//! every third request is rejected after its prompt was read; with one that is too low, engines
//! idle while requests wait. Each rejection by an engine that is nearly full lowers the limit a
//! little, and each accepted request raises it by far less.

// Decrease of the limit for each rejection, relative to the limit, and increase for each accepted
// request, relative to the memory. They balance at about three rejections in a hundred requests.
const REJECTION_DECREASE_FRACTION: f64 = 0.01;
const ACCEPTANCE_INCREASE_FRACTION: f64 = 0.000_3;
// Lower bound of the limit, and the use below which a rejection is not attributed to a lack of
// memory. Both are relative to the memory.
const MIN_LIMIT_FRACTION: f64 = 0.5;
const MIN_REJECTED_USE_FRACTION: f64 = 0.6;

/// Fraction of the configured memory of engines that may be allocated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimit {
    fraction: f64,
}

impl Default for MemoryLimit {
    fn default() -> Self {
        Self { fraction: 1.0 }
    }
}

impl MemoryLimit {
    /// Returns how many tokens of a memory of `kv_tokens` may be allocated.
    pub fn limit(self, kv_tokens: u64) -> u64 {
        (kv_tokens as f64 * self.fraction) as u64
    }

    /// Records a rejection by an engine with a memory of `kv_tokens` that would have held
    /// `held_kv_tokens` with the rejected request.
    pub fn record_rejected(&mut self, held_kv_tokens: u64, kv_tokens: u64) {
        if held_kv_tokens as f64 >= kv_tokens as f64 * MIN_REJECTED_USE_FRACTION {
            self.fraction =
                (self.fraction * (1.0 - REJECTION_DECREASE_FRACTION)).max(MIN_LIMIT_FRACTION);
        }
    }

    /// Records that an engine accepted a request.
    pub fn record_accepted(&mut self) {
        self.fraction = (self.fraction + ACCEPTANCE_INCREASE_FRACTION).min(1.0);
    }
}
