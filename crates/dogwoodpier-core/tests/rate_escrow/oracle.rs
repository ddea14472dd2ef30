//! The oracle, which compares the tokens consumed in each interval with the limit.

use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::Admission;

use super::fleet::Fleet;
use super::fleet::LOAN_MS;
use super::fleet::NODES;

/// The largest rate and burst in force at any node, over time.
#[derive(Default)]
pub struct Bounds {
    intervals: Vec<Interval>,
}

struct Interval {
    begin_ms: u64,
    rate_tokens_per_s: u64,
    burst_tokens: u64,
}

impl Bounds {
    fn record(&mut self, begin_ms: u64, rate_tokens_per_s: u64, burst_tokens: u64) {
        self.intervals.push(Interval {
            begin_ms,
            rate_tokens_per_s,
            burst_tokens,
        });
    }

    // Returns the allowed thousandths of a token. Loans made under an earlier, larger limit may be spent
    // until they end.
    fn allowed_millitokens(&self, from_ms: u64, to_ms: u64) -> u64 {
        let mut burst_tokens = 0;
        let mut accrued_millitokens = 0;
        for (index, interval) in self.intervals.iter().enumerate() {
            let end_ms = self
                .intervals
                .get(index + 1)
                .map_or(u64::MAX, |next| next.begin_ms);
            if end_ms.saturating_add(LOAN_MS) >= from_ms && interval.begin_ms <= to_ms {
                burst_tokens = burst_tokens.max(interval.burst_tokens);
            }
            let overlap_ms = end_ms
                .min(to_ms)
                .saturating_sub(interval.begin_ms.max(from_ms));
            accrued_millitokens += interval.rate_tokens_per_s * overlap_ms;
        }
        burst_tokens * 1_000 + accrued_millitokens
    }
}

impl Fleet {
    pub fn record_bounds(&mut self) {
        let limits = self
            .peers
            .iter()
            .map(|peer| &self.limits[peer.limit_version]);
        let rate = limits.clone().map(|limit| limit.rate_tokens_per_s.0).max();
        let burst = limits.map(|limit| limit.burst_tokens.0).max();
        self.bounds
            .record(self.true_ms, rate.unwrap_or(0), burst.unwrap_or(0));
    }

    // Checks each interval that ends now, assuming that every node spends all tokens that it may.
    pub fn check(&self) {
        let mut sum: u64 = (0..NODES).map(|node| self.spendable(node)).sum();
        let allowed_now = self.bounds.allowed_millitokens(self.true_ms, self.true_ms);
        assert!(
            sum * 1_000 <= allowed_now,
            "{sum} tokens could be consumed at once"
        );
        for request in self.requests.iter().rev() {
            sum += request.tokens;
            let allowed = self
                .bounds
                .allowed_millitokens(request.true_ms, self.true_ms);
            assert!(
                sum * 1_000 <= allowed,
                "{sum} tokens consumed from {} to {} ms, but {allowed} thousandths allowed",
                request.true_ms,
                self.true_ms,
            );
        }
    }

    // Returns the tokens that a node could spend, by admitting requests on a copy of its account.
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
