//! The oracle: sums over intervals.

use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::Admission;

use super::fleet::Fleet;
use super::fleet::LOAN_MS;
use super::fleet::NODES;

/// The largest rate and burst in force at any node, over time.
#[derive(Default)]
pub struct Bounds {
    pieces: Vec<Piece>,
}

struct Piece {
    begin_ms: u64,
    rate_tokens_per_s: u64,
    burst_tokens: u64,
}

impl Bounds {
    fn note(&mut self, begin_ms: u64, rate_tokens_per_s: u64, burst_tokens: u64) {
        self.pieces.push(Piece {
            begin_ms,
            rate_tokens_per_s,
            burst_tokens,
        });
    }

    // Loans of an earlier, larger limit may be spent until they end.
    fn allowed_millis(&self, from_ms: u64, to_ms: u64) -> u64 {
        let mut burst_tokens = 0;
        let mut accrued_millis = 0;
        for (index, piece) in self.pieces.iter().enumerate() {
            let end_ms = self
                .pieces
                .get(index + 1)
                .map_or(u64::MAX, |next| next.begin_ms);
            if end_ms.saturating_add(LOAN_MS) >= from_ms && piece.begin_ms <= to_ms {
                burst_tokens = burst_tokens.max(piece.burst_tokens);
            }
            let overlap_ms = end_ms
                .min(to_ms)
                .saturating_sub(piece.begin_ms.max(from_ms));
            accrued_millis += piece.rate_tokens_per_s * overlap_ms;
        }
        burst_tokens * 1_000 + accrued_millis
    }
}

impl Fleet {
    pub fn note_bounds(&mut self) {
        let limits = self
            .peers
            .iter()
            .map(|peer| &self.limits[peer.limit_version]);
        let rate = limits.clone().map(|limit| limit.rate_tokens_per_s.0).max();
        let burst = limits.map(|limit| limit.burst_tokens.0).max();
        self.bounds
            .note(self.true_ms, rate.unwrap_or(0), burst.unwrap_or(0));
    }

    // Checks each interval that ends now, were every node to spend all that it may.
    pub fn check(&self) {
        let mut sum: u64 = (0..NODES).map(|node| self.spendable(node)).sum();
        let allowed_now = self.bounds.allowed_millis(self.true_ms, self.true_ms);
        assert!(sum * 1_000 <= allowed_now, "{sum} tokens could run at once");
        for run in self.runs.iter().rev() {
            sum += run.tokens;
            let allowed = self.bounds.allowed_millis(run.true_ms, self.true_ms);
            assert!(
                sum * 1_000 <= allowed,
                "{sum} tokens run from {} to {} ms, allowed are {allowed} thousandths",
                run.true_ms,
                self.true_ms,
            );
        }
    }

    // Tries it out on a copy, through the call that requests use.
    pub fn spendable(&self, node: usize) -> u64 {
        let peer = &self.peers[node];
        if peer.paused {
            return 0;
        }
        let now = self.now(node);
        let mut account = peer.account.clone();
        let mut spent = 0;
        for tokens in (0..8).rev().map(|bit| 1 << bit) {
            while let Admission::Admitted(_) = account.admit(Tokens(tokens), &peer.backings, now) {
                spent += tokens;
            }
        }
        spent
    }
}
