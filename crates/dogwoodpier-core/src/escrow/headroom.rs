//! Limits how much of a refund may enter a bucket.
//!
//! A request is charged an estimate, and the unused rest is refunded much later. If the rest had never
//! been taken, the bucket would have been fuller in the meantime and would have lost the accrual that
//! did not fit. Refunding the whole rest could then allow more tokens than burst and rate do. So a
//! refund is limited to the least room that the bucket had since the charge.

use std::collections::VecDeque;

use super::amount::MicroTokens;

// Bounds the memory; beyond it the oldest minima are merged, which can only reduce refunds.
const MAX_MINIMA: usize = 256;

/// The least room in a bucket since any earlier mark.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    next_sequence: u64,
    // Suffix minima of the recorded rooms: sequence numbers and rooms both rise strictly.
    minima: VecDeque<Minimum>,
}

#[derive(Clone, Copy, Debug)]
struct Minimum {
    sequence: u64,
    room: MicroTokens,
}

impl Headroom {
    /// Records the current room in the bucket.
    pub fn record(&mut self, room: MicroTokens) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.push(Minimum { sequence, room });
        if self.minima.len() > MAX_MINIMA {
            self.merge_oldest();
        }
    }

    /// Returns a mark for a charge that is made now.
    pub fn mark(&self) -> u64 {
        self.next_sequence
    }

    /// Takes up to `amount` from the least room recorded since the mark, and returns how much. The
    /// result is zero if no room was recorded since.
    pub fn take(&mut self, mark: u64, amount: MicroTokens) -> MicroTokens {
        let least = self
            .minima
            .iter()
            .find(|minimum| minimum.sequence >= mark)
            .map_or(MicroTokens(0), |minimum| minimum.room);
        let taken = amount.min(least);
        // For later refunds the bucket counts as holding the taken amount from the mark on.
        let minima = std::mem::take(&mut self.minima);
        for mut minimum in minima {
            if minimum.sequence >= mark {
                minimum.room -= taken;
            }
            self.push(minimum);
        }
        taken
    }

    fn push(&mut self, minimum: Minimum) {
        while self
            .minima
            .back()
            .is_some_and(|last| last.room >= minimum.room)
        {
            self.minima.pop_back();
        }
        self.minima.push_back(minimum);
    }

    // Lowers the second minimum to the oldest one, which is the smallest, and drops the oldest.
    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.minima.pop_front()
            && let Some(next) = self.minima.front_mut()
        {
            next.room = oldest.room;
        }
    }
}
