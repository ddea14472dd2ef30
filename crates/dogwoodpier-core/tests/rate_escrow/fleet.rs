//! The accounts of a few nodes, with a model of the rights to slots and of the network.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::TokensPerSecond;
use dogwoodpier_core::escrow::Account;
use dogwoodpier_core::escrow::Admission;
use dogwoodpier_core::escrow::Charge;
use dogwoodpier_core::escrow::Limit;
use dogwoodpier_core::escrow::LoanRequest;
use dogwoodpier_core::escrow::MicroTokens;
use dogwoodpier_core::escrow::ReceivedLoan;
use dogwoodpier_core::escrow::SlotBacking;
use dogwoodpier_core::slots::lease;

use super::clock;
use super::oracle::Bounds;
use super::steps::Step;

pub const NODES: usize = 3;
pub const SLOTS: u32 = 6;
pub const BURST_TOKENS: u64 = 60;
pub const PROMISE_MS: u64 = 3_000;
pub const LOAN_MS: u64 = 2_000;
pub const HOUR_MS: u64 = 3_600_000;
pub const DRIFTS_PPM: [i64; NODES] = [1_000, -1_000, 0];

pub struct Peer {
    pub account: Account,
    pub backings: Vec<SlotBacking>,
    pub limit_version: usize,
    pub paused: bool,
    // For each slot, the version by which the peer last became its holder, as far as it knows.
    versions: [u64; SLOTS as usize],
}

pub enum Message {
    LoanRequest {
        from: usize,
        to: usize,
        tokens: u64,
        as_broker: bool,
        requested_ms: TimeMs,
    },
    LoanReply {
        from: usize,
        to: usize,
        loan: ReceivedLoan,
    },
    Settle {
        from: usize,
        to: usize,
        loan_id: u64,
        returned: Tokens,
    },
    // A write to the platform that made `to` the holder of the slot.
    SlotHandOver {
        to: usize,
        slot: u32,
        version: u64,
        level: MicroTokens,
    },
}

// The right to act on a slot, as given by the platform and the standby's promise.
pub struct SlotRight {
    holder: usize,
    version: u64,
    // True time from which the standby may claim the slot.
    ends_true_ms: u64,
}

pub struct Request {
    pub true_ms: u64,
    node: usize,
    charge: Option<Charge>,
    pub tokens: u64,
}

pub struct Fleet {
    drifts_ppm: [i64; NODES],
    pub true_ms: u64,
    pub peers: Vec<Peer>,
    rights: Vec<SlotRight>,
    pub network: Vec<Message>,
    cut_links: Vec<(usize, usize)>,
    pub limits: Vec<Limit>,
    pub bounds: Bounds,
    pub requests: Vec<Request>,
    next_loan_id: u64,
}

impl Fleet {
    pub fn new(drifts_ppm: [i64; NODES], rate_tokens_per_s: u64) -> Self {
        let limit = limit(rate_tokens_per_s, BURST_TOKENS);
        let mut fleet = Self {
            drifts_ppm,
            true_ms: 10_000,
            peers: Vec::new(),
            rights: Vec::new(),
            network: Vec::new(),
            cut_links: Vec::new(),
            limits: vec![limit],
            bounds: Bounds::default(),
            requests: Vec::new(),
            next_loan_id: 0,
        };
        for node in 0..NODES {
            let account = Account::new(limit, fleet.now(node));
            fleet.peers.push(Peer {
                account,
                backings: Vec::new(),
                limit_version: 0,
                paused: false,
                versions: [0; SLOTS as usize],
            });
        }
        for slot in 0..SLOTS {
            let holder = slot as usize % NODES;
            fleet.rights.push(SlotRight {
                holder,
                version: 1,
                ends_true_ms: fleet.true_ms,
            });
            fleet.begin_tenure(holder, slot);
            fleet.renew_slot(slot);
        }
        fleet.true_ms += 1;
        for node in 0..NODES {
            fleet.renew(node);
            let now = fleet.now(node);
            let peer = &mut fleet.peers[node];
            let full = limit.burst_tokens.into();
            for slot in 0..SLOTS {
                peer.account.receive(slot, full, &peer.backings, now);
            }
        }
        fleet.record_bounds();
        fleet
    }

    pub fn now(&self, node: usize) -> TimeMs {
        TimeMs(clock::reading(
            self.true_ms,
            HOUR_MS * (node as u64 + 1),
            self.drifts_ppm[node],
        ))
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Wait { ms } => self.true_ms += ms,
            Step::Admit { node, tokens } => self.admit(node, tokens),
            Step::Settle { index, percent } => self.settle(index, percent),
            Step::Borrow {
                from,
                to,
                tokens,
                as_broker,
                at_once,
            } => {
                let requested_ms = self.now(from);
                let request = Message::LoanRequest {
                    from,
                    to,
                    tokens,
                    as_broker,
                    requested_ms,
                };
                if from != to && !self.peers[from].paused {
                    self.send(request, at_once);
                }
            }
            Step::Deliver { index, repeat } => self.deliver(index, repeat),
            Step::Lose { index } => {
                if index < self.network.len() {
                    self.network.swap_remove(index);
                }
            }
            Step::ToggleLink { from, to } => {
                match self.cut_links.iter().position(|cut| *cut == (from, to)) {
                    Some(index) => {
                        self.cut_links.swap_remove(index);
                    }
                    None => self.cut_links.push((from, to)),
                }
            }
            Step::ReturnLoans { node, all } => self.return_loans(node, all),
            Step::TogglePause { node } => self.peers[node].paused ^= true,
            Step::Renew { node } => self.renew(node),
            Step::RenewAll => (0..NODES).for_each(|node| self.renew(node)),
            Step::RenewSlot { slot } => self.renew_slot(slot),
            Step::Reclaim { node, slot } => self.reclaim(node, slot),
            Step::HandOver { to, slot, at_once } => self.hand_over(to, slot, at_once),
            Step::ChangeLimit {
                rate,
                burst,
                everywhere,
            } => {
                self.limits.push(limit(rate, burst));
                if everywhere {
                    (0..NODES).for_each(|node| self.apply_limit(node));
                }
            }
            Step::ApplyLimit { node } => self.apply_limit(node),
            Step::Drain { node } => self.drain(node),
            Step::DrainAll => (0..NODES).for_each(|node| self.drain(node)),
        }
    }

    pub fn admit(&mut self, node: usize, tokens: u64) {
        let now = self.now(node);
        let peer = &mut self.peers[node];
        if peer.paused {
            return;
        }
        peer.account.record_demand(Tokens(tokens), now);
        let admission = peer.account.admit(Tokens(tokens), &peer.backings, now);
        if let Admission::Admitted(charge) = admission {
            self.requests.push(Request {
                true_ms: self.true_ms,
                node,
                charge: Some(charge),
                tokens,
            });
        }
    }

    pub fn drain(&mut self, node: usize) {
        let tokens = self.spendable(node);
        if tokens > 0 {
            self.admit(node, tokens);
        }
    }

    pub fn settle(&mut self, index: usize, percent: u64) {
        let open = self
            .requests
            .iter_mut()
            .filter(|request| request.charge.is_some());
        let Some(request) = open.rev().nth(index) else {
            return;
        };
        if self.peers[request.node].paused {
            return;
        }
        let charge = request
            .charge
            .take()
            .expect("only requests with a charge are selected");
        request.tokens = request.tokens * percent / 100;
        let (node, actual) = (request.node, Tokens(request.tokens));
        let now = self.now(node);
        let peer = &mut self.peers[node];
        peer.account.settle(charge, actual, &peer.backings, now);
    }

    // Sends a message. With `at_once` it is delivered immediately, together with its answers.
    pub fn send(&mut self, message: Message, at_once: bool) {
        let before = self.network.len();
        self.network.push(message);
        let mut budget = if at_once { 4 } else { 0 };
        while budget > 0 && self.network.len() > before {
            self.deliver(self.network.len() - 1, false);
            budget -= 1;
        }
    }

    pub fn deliver(&mut self, index: usize, repeat: bool) {
        if index >= self.network.len() {
            return;
        }
        let message = self.network.swap_remove(index);
        let (from, to) = match &message {
            Message::LoanRequest { from, to, .. }
            | Message::LoanReply { from, to, .. }
            | Message::Settle { from, to, .. } => (*from, *to),
            Message::SlotHandOver { to, .. } => (*to, *to),
        };
        if self.peers[to].paused {
            self.network.push(message);
            return;
        }
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let now = self.now(to);
        let peer = &mut self.peers[to];
        let copy = match message {
            Message::LoanRequest {
                from,
                to,
                tokens,
                as_broker,
                requested_ms,
            } => {
                let new_id = || {
                    self.next_loan_id += 1;
                    self.next_loan_id
                };
                let request = LoanRequest {
                    wanted: Tokens(tokens),
                    is_urgent: true,
                    as_broker,
                    valid_ms: LOAN_MS,
                };
                let loans = peer.account.lend(request, &peer.backings, now, new_id);
                for terms in loans {
                    let loan = ReceivedLoan {
                        loan_id: terms.loan_id,
                        lender_address: to.to_string().into(),
                        tokens: terms.tokens,
                        valid_ms: terms.valid_ms,
                        requested_ms,
                    };
                    self.network.push(Message::LoanReply {
                        from: to,
                        to: from,
                        loan,
                    });
                }
                None
            }
            Message::LoanReply { from, to, loan } => {
                peer.account.receive_loan(loan.clone(), now);
                Some(Message::LoanReply { from, to, loan })
            }
            Message::Settle {
                from,
                to,
                loan_id,
                returned,
            } => {
                peer.account
                    .settle_loan(loan_id, returned, &peer.backings, now);
                Some(Message::Settle {
                    from,
                    to,
                    loan_id,
                    returned,
                })
            }
            Message::SlotHandOver {
                to,
                slot,
                version,
                level,
            } => {
                if self.rights[slot as usize].version == version {
                    self.begin_tenure(to, slot);
                    self.renew_slot(slot);
                    let peer = &mut self.peers[to];
                    // The slot's floors count from the next millisecond on.
                    peer.account
                        .receive(slot, level, &peer.backings, now.after(1));
                }
                None
            }
        };
        if repeat {
            self.network.extend(copy);
        }
    }

    pub fn return_loans(&mut self, node: usize, all: bool) {
        if self.peers[node].paused {
            return;
        }
        let now = self.now(node);
        let account = &mut self.peers[node].account;
        let settlements = if all {
            account.settle_all(now)
        } else {
            account.settle_due(now)
        };
        for settlement in settlements {
            let to = settlement.lender_address.parse().expect("node number");
            self.network.push(Message::Settle {
                from: node,
                to,
                loan_id: settlement.loan_id,
                returned: settlement.returned,
            });
        }
    }

    // Renews the promises for all slots that the node holds. The requests are sent and answered now.
    pub fn renew(&mut self, node: usize) {
        for slot in 0..SLOTS {
            if self.rights[slot as usize].holder == node {
                self.renew_slot(slot);
            }
        }
    }

    pub fn renew_slot(&mut self, slot: u32) {
        let right = &mut self.rights[slot as usize];
        let node = right.holder;
        // A node that does not yet know that it is the holder again gets no promise for its former
        // tenure, since the former standby has sent a claim for that version.
        let is_known = self.peers[node].versions[slot as usize] == right.version;
        if self.peers[node].paused || !is_known {
            return;
        }
        let deadline_ms = lease::requester_deadline(self.now(node), PROMISE_MS);
        let backings = &mut self.peers[node].backings;
        if let Some(backing) = backings.iter_mut().find(|backing| backing.slot == slot) {
            backing.act_deadline_ms = deadline_ms;
            // The standby's promise lasts a little longer than the holder counts on it.
            self.rights[slot as usize].ends_true_ms = self.true_ms + PROMISE_MS;
        }
    }

    // The standby claims the slot of a holder that is dead, paused or unreachable.
    pub fn reclaim(&mut self, node: usize, slot: u32) {
        let right = &mut self.rights[slot as usize];
        if self.true_ms < right.ends_true_ms || self.peers[node].paused || right.holder == node {
            return;
        }
        right.holder = node;
        right.version += 1;
        self.begin_tenure(node, slot);
        self.renew_slot(slot);
    }

    pub fn begin_tenure(&mut self, node: usize, slot: u32) {
        let since_ms = self.now(node).after(1);
        let version = self.rights[slot as usize].version;
        let peer = &mut self.peers[node];
        peer.versions[slot as usize] = version;
        peer.backings.retain(|backing| backing.slot != slot);
        peer.backings.push(SlotBacking {
            slot,
            since_ms,
            act_deadline_ms: TimeMs(0),
        });
    }

    pub fn hand_over(&mut self, to: usize, slot: u32, at_once: bool) {
        let from = self.rights[slot as usize].holder;
        let now = self.now(from);
        let peer = &mut self.peers[from];
        let held = peer.backings.iter().any(|backing| backing.slot == slot);
        if from == to || peer.paused || !held {
            return;
        }
        let acts = |backing: &SlotBacking| backing.slot == slot && backing.act_deadline_ms > now;
        if !peer.backings.iter().any(acts) || !peer.account.may_release(slot, &peer.backings, now) {
            return;
        }
        let level = peer.account.release(slot, &peer.backings, now);
        peer.backings.retain(|backing| backing.slot != slot);
        let right = &mut self.rights[slot as usize];
        right.holder = to;
        right.version += 1;
        right.ends_true_ms = self.true_ms;
        let version = right.version;
        let handed = Message::SlotHandOver {
            to,
            slot,
            version,
            level,
        };
        self.send(handed, at_once);
    }

    pub fn apply_limit(&mut self, node: usize) {
        if self.peers[node].paused {
            return;
        }
        let now = self.now(node);
        let version = self.limits.len() - 1;
        let peer = &mut self.peers[node];
        peer.limit_version = version;
        peer.account
            .set_limit(self.limits[version], &peer.backings, now);
        self.record_bounds();
    }
}

pub fn limit(rate: u64, burst: u64) -> Limit {
    Limit {
        rate_tokens_per_s: TokensPerSecond(rate),
        burst_tokens: Tokens(burst),
        slot_count: SLOTS,
    }
}
