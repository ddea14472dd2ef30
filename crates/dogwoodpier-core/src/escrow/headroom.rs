//! How much of what a request gives back may enter its bucket.
//!
//! A request is charged an estimate, and gives back the rest much later. Had the rest never been
//! taken, the bucket would have been fuller in between, and would have lost the accrual that no
//! longer fitted. Giving back the whole rest would then let more run than burst and rate allow. So a
//! refund is bounded by the least room that the bucket had since the charge.

use std::collections::VecDeque;

use super::amount::MicroTokens;

const MAX_MINIMA: usize = 256;

/// The least headroom of a bucket since any earlier moment.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    next_sequence: u64,
    // Suffix minima: rising sequences with strictly rising amounts.
    minima: VecDeque<Minimum>,
}

#[derive(Clone, Copy, Debug)]
struct Minimum {
    sequence: u64,
    room: MicroTokens,
}

impl Headroom {
    /// Records the room in the bucket now.
    pub fn note(&mut self, room: MicroTokens) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.push(Minimum { sequence, room });
        if self.minima.len() > MAX_MINIMA {
            self.merge_oldest();
        }
    }

    /// Returns a mark for the moment of a charge.
    pub fn mark(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the least room noted since the mark, and takes as much of `amount` as fits from it.
    pub fn take(&mut self, mark: u64, amount: MicroTokens) -> MicroTokens {
        let least = self
            .minima
            .iter()
            .find(|minimum| minimum.sequence >= mark)
            .map_or(MicroTokens(0), |minimum| minimum.room);
        let taken = amount.min(least);
        // Later refunds see a bucket that held the taken amount from the mark on.
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

    // The oldest minimum is the smallest, so it bounds the next one from below.
    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.minima.pop_front()
            && let Some(next) = self.minima.front_mut()
        {
            next.room = oldest.room;
        }
    }
}
