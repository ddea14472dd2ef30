//! The simulated fleet: the accounts of its nodes, one stream of requests, and calls with a fixed
//! latency.

mod calls;

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::TokensPerSecond;
use dogwoodpier_core::escrow::Account;
use dogwoodpier_core::escrow::Admission;
use dogwoodpier_core::escrow::Charge;
use dogwoodpier_core::escrow::Limit;
use dogwoodpier_core::escrow::SlotBacking;

use super::scenario::Failure;
use super::scenario::Lending;
use super::scenario::Pattern;
use super::scenario::Scenario;

const ONE_WAY_MS: u64 = 1;
const TICK_MS: u64 = 100;
const LOAN_MS: u64 = 2_000;
const BACKOFF_MS: u64 = 100;
const DIRECT_BORROW_INTERVAL_MS: u64 = 1_000;
const AHEAD_BACKOFF_MS: u64 = 500;
const MAX_BORROW_ATTEMPTS: u32 = 2;
const COST_TOKENS: std::ops::RangeInclusive<u64> = 100..=900;
const MEAN_COST_TOKENS: u64 = 500;
const CLAIM_DELAY_MS: u64 = 200;
// The simulated clock starts above zero, as the clock of a node does.
const START_MS: u64 = 3_600_000;
const NO_DEADLINE: TimeMs = TimeMs(u64::MAX);

/// The measurements of a run.
#[derive(Default)]
pub struct Outcome {
    central_admitted: u64,
    central_tokens: u64,
    admitted_tokens: u64,
    refused_within_rate: u64,
    borrow_calls: u64,
    measured_ms: u64,
}

impl Outcome {
    pub fn refused_within_rate_percent(&self) -> f64 {
        100.0 * self.refused_within_rate as f64 / self.central_admitted.max(1) as f64
    }

    pub fn admitted_ratio(&self) -> f64 {
        self.admitted_tokens as f64 / self.central_tokens.max(1) as f64
    }

    pub fn borrow_calls_per_s(&self) -> f64 {
        self.borrow_calls as f64 * 1_000.0 / self.measured_ms.max(1) as f64
    }
}

struct Peer {
    account: Account,
    backings: Vec<SlotBacking>,
    waiting: Vec<Waiting>,
    is_borrowing: bool,
    backoff_deadline_ms: TimeMs,
    ahead_backoff_deadline_ms: TimeMs,
    broker_backoff_deadline_ms: TimeMs,
    next_direct_borrow_ms: TimeMs,
    is_alive: bool,
}

struct Waiting {
    cost: Tokens,
    admitted_by_central: bool,
    borrow_attempts: u32,
}

enum Event {
    // The request reaches the broker, which borrows from other nodes what it lacks.
    BrokerCollects {
        borrower: usize,
        wanted: Tokens,
        is_urgent: bool,
        asked_ms: TimeMs,
    },
    // The broker has collected tokens from other nodes and lends them.
    BrokerLends {
        borrower: usize,
        wanted: Tokens,
        is_urgent: bool,
        asked_ms: TimeMs,
    },
    DirectBorrow {
        borrower: usize,
        wanted: Tokens,
        is_urgent: bool,
    },
    Borrowed {
        borrower: usize,
        wanted: Tokens,
        tokens_before: Tokens,
    },
    Settle {
        lender: usize,
        loan_id: u64,
        returned: Tokens,
    },
    Finished {
        node: Option<usize>,
        charge: Charge,
        actual: Tokens,
    },
    ClaimSlot {
        node: usize,
        slot: u32,
    },
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    now: TimeMs,
    peers: Vec<Peer>,
    central: Account,
    central_backings: Vec<SlotBacking>,
    events: BTreeMap<TimeMs, Vec<Event>>,
    next_loan_id: u64,
    outcome: Outcome,
}

/// Runs a scenario.
pub fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(scenario, seed);
    let interval_ms = (MEAN_COST_TOKENS * 100_000) as f64
        / (scenario.rate_tokens_per_s * scenario.load_percent) as f64;
    let mut next_arrival_ms = 0.0;
    for elapsed_ms in 1..Scenario::END_MS {
        fleet.now = TimeMs(START_MS + elapsed_ms);
        if elapsed_ms == Scenario::FAILURE_MS {
            fleet.inject_failure();
        }
        for event in fleet.events.remove(&fleet.now).unwrap_or_default() {
            fleet.handle_event(event);
        }
        while next_arrival_ms <= elapsed_ms as f64 {
            fleet.handle_arrival();
            let uniform: f64 = fleet.rng.random_range(f64::EPSILON..1.0);
            next_arrival_ms -= interval_ms * uniform.ln();
        }
        if elapsed_ms % TICK_MS == 0 {
            fleet.tick();
        }
    }
    fleet.outcome
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let now = TimeMs(START_MS);
        let limit = |slot_count| Limit {
            rate_tokens_per_s: TokensPerSecond(scenario.rate_tokens_per_s),
            burst_tokens: Tokens(scenario.burst_tokens),
            slot_count,
        };
        let backing = |slot| SlotBacking {
            slot,
            since_ms: now,
            act_deadline_ms: NO_DEADLINE,
        };
        let peers = (0..scenario.nodes).map(|node| {
            let own = |slot: &u32| *slot as usize % scenario.nodes == node;
            let backings: Vec<SlotBacking> =
                (0..scenario.slot_count).filter(own).map(backing).collect();
            let mut account = Account::new(limit(scenario.slot_count), now);
            for held in &backings {
                account.receive(
                    held.slot,
                    Tokens(scenario.burst_tokens).into(),
                    &backings,
                    now,
                );
            }
            Peer {
                account,
                backings,
                waiting: Vec::new(),
                is_borrowing: false,
                backoff_deadline_ms: TimeMs(0),
                ahead_backoff_deadline_ms: TimeMs(0),
                broker_backoff_deadline_ms: TimeMs(0),
                next_direct_borrow_ms: TimeMs(0),
                is_alive: true,
            }
        });
        let central_backings = vec![backing(0)];
        let mut central = Account::new(limit(1), now);
        central.receive(
            0,
            Tokens(scenario.burst_tokens).into(),
            &central_backings,
            now,
        );
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            now,
            peers: peers.collect(),
            central,
            central_backings,
            events: BTreeMap::new(),
            next_loan_id: 0,
            outcome: Outcome::default(),
        }
    }

    fn is_measured(&self) -> bool {
        let elapsed_ms = self.now.0 - START_MS;
        let end_ms = Scenario::FAILURE_MS + Scenario::AFTER_FAILURE_MS;
        let window = Scenario::FAILURE_MS..end_ms;
        self.scenario.failure == Failure::None || window.contains(&elapsed_ms)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let time_ms = self.now.after(delay_ms);
        self.events.entry(time_ms).or_default().push(event);
    }

    // Returns the broker: the first live node after node 0. Another node takes over if it fails.
    fn broker(&self) -> usize {
        (0..self.peers.len())
            .find(|node| *node != 0 && self.peers[*node].is_alive)
            .unwrap_or(0)
    }

    fn inject_failure(&mut self) {
        if self.scenario.failure == Failure::None {
            return;
        }
        let failed = self.peers.len() - 1;
        self.peers[failed].is_alive = false;
        self.peers[failed].waiting.clear();
        let slots: Vec<u32> = self.peers[failed].backings.iter().map(|b| b.slot).collect();
        if self.scenario.failure == Failure::Reclaimed {
            for (index, slot) in slots.into_iter().enumerate() {
                let node = index % failed;
                self.schedule(
                    self.scenario.promise_ms + CLAIM_DELAY_MS,
                    Event::ClaimSlot { node, slot },
                );
            }
        }
    }

    fn handle_arrival(&mut self) {
        let cost = Tokens(self.rng.random_range(COST_TOKENS));
        let alive_count = self.peers.iter().filter(|peer| peer.is_alive).count();
        let node = match self.scenario.pattern {
            Pattern::Even => self.rng.random_range(0..alive_count),
            Pattern::Skewed if self.rng.random_bool(0.5) => self.rng.random_range(0..alive_count),
            Pattern::Skewed | Pattern::OneNode => 0,
        };
        let now = self.now;
        let admission = self.central.admit(cost, &self.central_backings, now);
        let admitted_by_central = matches!(admission, Admission::Admitted(_));
        if let Admission::Admitted(charge) = admission {
            self.outcome.central_admitted += u64::from(self.is_measured());
            self.outcome.central_tokens += charge.tokens.0 * u64::from(self.is_measured());
            self.schedule_finish(None, charge);
        }
        self.peers[node].account.record_demand(cost, now);
        self.try_admit(
            node,
            Waiting {
                cost,
                admitted_by_central,
                borrow_attempts: 0,
            },
        );
    }

    // Schedules the end of a request, which has then used between half and all of the charged
    // tokens.
    fn schedule_finish(&mut self, node: Option<usize>, charge: Charge) {
        let part: u64 = self.rng.random_range(50..=100);
        let actual = Tokens(charge.tokens.0 * part / 100);
        let delay_ms = self.rng.random_range(200..3_000);
        self.schedule(
            delay_ms,
            Event::Finished {
                node,
                charge,
                actual,
            },
        );
    }

    fn try_admit(&mut self, node: usize, waiting: Waiting) {
        let now = self.now;
        let peer = &mut self.peers[node];
        match peer.account.admit(waiting.cost, &peer.backings, now) {
            Admission::Admitted(charge) => {
                self.outcome.admitted_tokens += charge.tokens.0 * u64::from(self.is_measured());
                self.schedule_finish(Some(node), charge);
            }
            Admission::Short(_)
                if self.scenario.lending == Lending::Loans
                    && waiting.borrow_attempts < MAX_BORROW_ATTEMPTS
                    && (peer.is_borrowing || now >= peer.backoff_deadline_ms) =>
            {
                peer.waiting.push(waiting);
                self.borrow_for_waiting(node);
            }
            _ => self.refuse(&waiting),
        }
    }

    fn refuse(&mut self, waiting: &Waiting) {
        let within_rate = waiting.admitted_by_central && self.is_measured();
        self.outcome.refused_within_rate += u64::from(within_rate);
    }

    fn tick(&mut self) {
        let now = self.now;
        if self.is_measured() {
            self.outcome.measured_ms += TICK_MS;
        }
        for node in 0..self.peers.len() {
            if !self.peers[node].is_alive || self.scenario.lending == Lending::FloorsOnly {
                continue;
            }
            for settlement in self.peers[node].account.settle_due(now) {
                let lender = settlement
                    .lender_address
                    .parse()
                    .expect("an address is the index of a node");
                let event = Event::Settle {
                    lender,
                    loan_id: settlement.loan_id,
                    returned: settlement.returned,
                };
                self.schedule(ONE_WAY_MS, event);
            }
            let peer = &mut self.peers[node];
            let wanted = peer.account.borrow_target(&peer.backings, now);
            if wanted.0 > 0 && !peer.is_borrowing && now >= peer.ahead_backoff_deadline_ms {
                self.start_borrowing(node, wanted, false);
            }
        }
    }
}
