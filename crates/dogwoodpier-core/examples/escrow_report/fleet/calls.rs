//! Calls between nodes: the requests of borrowers, the loans of lenders, and their arrival times.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::escrow::LoanRequest;
use dogwoodpier_core::escrow::ReceivedLoan;
use dogwoodpier_core::escrow::SlotBacking;

use super::AHEAD_BACKOFF_MS;
use super::BACKOFF_MS;
use super::DIRECT_BORROW_INTERVAL_MS;
use super::Event;
use super::Fleet;
use super::LOAN_MS;
use super::NO_DEADLINE;
use super::ONE_WAY_MS;

impl Fleet<'_> {
    pub(super) fn borrow_for_waiting(&mut self, node: usize) {
        let peer = &mut self.peers[node];
        if peer.is_borrowing || peer.waiting.is_empty() {
            return;
        }
        let wanted = Tokens(peer.waiting.iter().map(|waiting| waiting.cost.0).sum());
        let missing = wanted.saturating_sub(peer.account.spendable().floor_tokens());
        for waiting in &mut peer.waiting {
            waiting.borrow_attempts += 1;
        }
        self.start_borrowing(node, missing, true);
    }

    pub(super) fn start_borrowing(&mut self, borrower: usize, wanted: Tokens, is_urgent: bool) {
        self.peers[borrower].is_borrowing = true;
        let asked_ms = self.now;
        self.count_calls(1);
        let event = Event::BrokerCollects {
            borrower,
            wanted,
            is_urgent,
            asked_ms,
        };
        if self.broker() == borrower {
            self.handle_event(event);
        } else {
            self.schedule(ONE_WAY_MS, event);
        }
    }

    pub(super) fn count_calls(&mut self, calls: usize) {
        if self.is_measured() {
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
        if lender == borrower || !self.peers[lender].is_alive || wanted.0 == 0 {
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
                requested_ms: asked_ms,
            };
            self.peers[borrower].account.receive_loan(loan, now);
        }
        lent
    }

    // Borrows from all other nodes: in the first round a part of the missing tokens from each, in
    // the second round the whole rest.
    pub(super) fn collect_from_peers(
        &mut self,
        borrower: usize,
        wanted: Tokens,
        excluded: usize,
        is_urgent: bool,
        asked_ms: TimeMs,
    ) -> Tokens {
        let lenders: Vec<usize> = (0..self.peers.len())
            .filter(|node| *node != borrower && *node != excluded && self.peers[*node].is_alive)
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

    pub(super) fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::BrokerCollects {
                borrower,
                wanted,
                is_urgent,
                asked_ms,
            } => {
                let broker = self.broker();
                let tokens_before = self.peers[borrower].account.spendable().floor_tokens();
                if broker == borrower {
                    self.collect_from_peers(borrower, wanted, borrower, is_urgent, asked_ms);
                    let event = Event::Borrowed {
                        borrower,
                        wanted,
                        tokens_before,
                    };
                    self.schedule(2 * ONE_WAY_MS, event);
                    return;
                }
                let lent = self.lend(broker, borrower, wanted, true, is_urgent, asked_ms);
                let missing = wanted.saturating_sub(lent);
                if missing.0 > 0 && now >= self.peers[broker].broker_backoff_deadline_ms {
                    let collected =
                        self.collect_from_peers(broker, missing, borrower, is_urgent, now);
                    if collected.0 == 0 {
                        self.peers[broker].broker_backoff_deadline_ms = now.after(BACKOFF_MS);
                    }
                }
                let event = Event::BrokerLends {
                    borrower,
                    wanted: missing,
                    is_urgent,
                    asked_ms,
                };
                self.schedule(2 * ONE_WAY_MS, event);
            }
            Event::BrokerLends {
                borrower,
                wanted,
                is_urgent,
                asked_ms,
            } => {
                let broker = self.broker();
                let lent = self.lend(broker, borrower, wanted, true, is_urgent, asked_ms);
                let wanted = wanted.saturating_sub(lent);
                self.schedule(
                    ONE_WAY_MS,
                    Event::DirectBorrow {
                        borrower,
                        wanted,
                        is_urgent,
                    },
                );
            }
            Event::DirectBorrow {
                borrower,
                wanted,
                is_urgent,
            } => {
                let tokens_before = self.peers[borrower].account.spendable().floor_tokens();
                let peer = &mut self.peers[borrower];
                let due = wanted.0 > 0 && now >= peer.next_direct_borrow_ms;
                if due {
                    peer.next_direct_borrow_ms = now.after(DIRECT_BORROW_INTERVAL_MS);
                    self.collect_from_peers(borrower, wanted, self.broker(), is_urgent, now);
                }
                let delay_ms = if due { 2 * ONE_WAY_MS } else { 0 };
                let event = Event::Borrowed {
                    borrower,
                    wanted,
                    tokens_before,
                };
                if delay_ms == 0 {
                    self.handle_event(event);
                } else {
                    self.schedule(delay_ms, event);
                }
            }
            Event::Borrowed {
                borrower,
                wanted,
                tokens_before,
            } => {
                let peer = &mut self.peers[borrower];
                peer.is_borrowing = false;
                if wanted.0 > 0 && peer.account.spendable().floor_tokens() <= tokens_before {
                    peer.backoff_deadline_ms = now.after(BACKOFF_MS);
                    peer.ahead_backoff_deadline_ms = now.after(AHEAD_BACKOFF_MS);
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
            Event::Finished {
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
            Event::ClaimSlot { node, slot } => self.peers[node].backings.push(SlotBacking {
                slot,
                since_ms: now.after(1),
                act_deadline_ms: NO_DEADLINE,
            }),
        }
    }
}
