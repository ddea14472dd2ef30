//! Calls between nodes: what borrowers ask for, what lenders give, and when it arrives.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::LoanRequest;
use dogwoodpier_core::escrow::ReceivedLoan;
use dogwoodpier_core::escrow::SlotBacking;

use super::DIRECT_INTERVAL_MS;
use super::DRY_AHEAD_MS;
use super::DRY_MS;
use super::Event;
use super::FOREVER;
use super::Fleet;
use super::LOAN_MS;
use super::ONE_WAY_MS;

impl Fleet<'_> {
    pub(super) fn gather_for_waiting(&mut self, node: usize) {
        let peer = &mut self.peers[node];
        if peer.gathering || peer.waiting.is_empty() {
            return;
        }
        let wanted = Tokens(peer.waiting.iter().map(|waiting| waiting.cost.0).sum());
        let short = wanted.saturating_sub(peer.account.spendable().floor_tokens());
        for waiting in &mut peer.waiting {
            waiting.gathers += 1;
        }
        self.gather(node, short, true);
    }

    pub(super) fn gather(&mut self, borrower: usize, wanted: Tokens, is_urgent: bool) {
        self.peers[borrower].gathering = true;
        let asked_ms = self.now;
        self.count_calls(1);
        let collect = Event::Collect {
            borrower,
            wanted,
            is_urgent,
            asked_ms,
        };
        if self.broker() == borrower {
            self.handle(collect);
        } else {
            self.after(ONE_WAY_MS, collect);
        }
    }

    pub(super) fn count_calls(&mut self, calls: usize) {
        if self.measured() {
            self.outcome.borrow_calls += calls as u64;
        }
    }

    pub(super) fn lend(
        &mut self,
        lender: usize,
        borrower: usize,
        wanted: Tokens,
        as_broker: bool,
        is_urgent: bool,
        asked_ms: TimeMs,
    ) -> Tokens {
        let now = self.now;
        if lender == borrower || !self.peers[lender].alive || wanted.0 == 0 {
            return Tokens(0);
        }
        let request = LoanRequest {
            wanted,
            is_urgent,
            as_broker,
            valid_ms: LOAN_MS,
        };
        let next_loan_id = &mut self.next_loan_id;
        let peer = &mut self.peers[lender];
        let loans = peer.account.lend(request, &peer.backings, now, || {
            *next_loan_id += 1;
            *next_loan_id
        });
        let mut lent = Tokens(0);
        for terms in loans {
            lent = lent + terms.tokens;
            let loan = ReceivedLoan {
                loan_id: terms.loan_id,
                lender_address: lender.to_string().into(),
                tokens: terms.tokens,
                valid_ms: terms.valid_ms,
                asked_ms,
            };
            self.peers[borrower].account.receive_loan(loan, now);
        }
        lent
    }

    // Asks all others for their part of what is missing, then for all of it.
    pub(super) fn collect(
        &mut self,
        borrower: usize,
        wanted: Tokens,
        excluded: usize,
        is_urgent: bool,
        asked_ms: TimeMs,
    ) -> Tokens {
        let lenders: Vec<usize> = (0..self.peers.len())
            .filter(|node| *node != borrower && *node != excluded && self.peers[*node].alive)
            .collect();
        let mut missing = wanted;
        for divisor in [(lenders.len() as u64).div_ceil(2).max(1), 1] {
            let part = Tokens(missing.0.div_ceil(divisor));
            if missing.0 > 0 {
                self.count_calls(lenders.len());
            }
            for lender in &lenders {
                let wanted = part.min(missing);
                missing = missing.saturating_sub(
                    self.lend(*lender, borrower, wanted, false, is_urgent, asked_ms),
                );
            }
        }
        wanted.saturating_sub(missing)
    }

    pub(super) fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Collect {
                borrower,
                wanted,
                is_urgent,
                asked_ms,
            } => {
                let broker = self.broker();
                let before = self.peers[borrower].account.spendable().floor_tokens();
                if broker == borrower {
                    self.collect(borrower, wanted, borrower, is_urgent, asked_ms);
                    let event = Event::Gathered {
                        borrower,
                        wanted,
                        before,
                    };
                    self.after(2 * ONE_WAY_MS, event);
                    return;
                }
                let lent = self.lend(broker, borrower, wanted, true, is_urgent, asked_ms);
                let missing = wanted.saturating_sub(lent);
                if missing.0 > 0 && now >= self.peers[broker].dry_broker_deadline_ms {
                    let collected = self.collect(broker, missing, borrower, is_urgent, now);
                    if collected.0 == 0 {
                        self.peers[broker].dry_broker_deadline_ms = now.after(DRY_MS);
                    }
                }
                let event = Event::Broker {
                    borrower,
                    wanted: missing,
                    is_urgent,
                    asked_ms,
                };
                self.after(2 * ONE_WAY_MS, event);
            }
            Event::Broker {
                borrower,
                wanted,
                is_urgent,
                asked_ms,
            } => {
                let broker = self.broker();
                let lent = self.lend(broker, borrower, wanted, true, is_urgent, asked_ms);
                let wanted = wanted.saturating_sub(lent);
                self.after(
                    ONE_WAY_MS,
                    Event::Direct {
                        borrower,
                        wanted,
                        is_urgent,
                    },
                );
            }
            Event::Direct {
                borrower,
                wanted,
                is_urgent,
            } => {
                let before = self.peers[borrower].account.spendable().floor_tokens();
                let peer = &mut self.peers[borrower];
                let due = wanted.0 > 0 && now >= peer.next_direct_ms;
                if due {
                    peer.next_direct_ms = now.after(DIRECT_INTERVAL_MS);
                    self.collect(borrower, wanted, self.broker(), is_urgent, now);
                }
                let delay_ms = if due { 2 * ONE_WAY_MS } else { 0 };
                let event = Event::Gathered {
                    borrower,
                    wanted,
                    before,
                };
                if delay_ms == 0 {
                    self.handle(event);
                } else {
                    self.after(delay_ms, event);
                }
            }
            Event::Gathered {
                borrower,
                wanted,
                before,
            } => {
                let peer = &mut self.peers[borrower];
                peer.gathering = false;
                if wanted.0 > 0 && peer.account.spendable().floor_tokens() <= before {
                    peer.dry_deadline_ms = now.after(DRY_MS);
                    peer.dry_ahead_deadline_ms = now.after(DRY_AHEAD_MS);
                }
                for waiting in std::mem::take(&mut peer.waiting) {
                    self.try_admit(borrower, waiting);
                }
            }
            Event::Settle {
                lender,
                loan_id,
                returned,
            } => {
                let peer = &mut self.peers[lender];
                peer.account
                    .settle_loan(loan_id, returned, &peer.backings, now);
            }
            Event::Done {
                node,
                charge,
                actual,
            } => match node {
                None => self
                    .central
                    .settle(charge, actual, &self.central_backings, now),
                Some(node) => {
                    let peer = &mut self.peers[node];
                    peer.account.settle(charge, actual, &peer.backings, now);
                }
            },
            Event::Claim { node, slot } => self.peers[node].backings.push(SlotBacking {
                slot,
                since_ms: now.after(1),
                act_deadline_ms: FOREVER,
            }),
        }
    }
}
