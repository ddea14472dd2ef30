//! Replays the load of a workspace that sends far more than its rate: large prompts to engines with
//! spare capacity, and small calls to a plain service without any. One exact bucket decides next to
//! ours. Guards against small calls that are shut out by units that were lent to prompts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::quota::Membership;
use dogwoodpier_core::gateway::quota::Overdraft;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::routes::QuotaUnit;
use dogwoodpier_core::gateway::routes::Workspace;

const RATE_PER_S: u64 = 195_148;
const BURST: u64 = 195_148;
// The smallest tolerance of the deployments, and the part of it that is lent.
const SLACK: u64 = 73_000;
const OVERDRAFT: Overdraft = Overdraft { units: 43_800 };
const WINDOW_MS: u64 = 8_000;
const DURATION_MS: u64 = 20_000;
const CALL_UNITS: u64 = 200;
// One of so many admitted requests doesn't run and is refunded.
const NOT_RUN_DIVISOR: u32 = 30;

fn workspace() -> Workspace {
    Workspace {
        name: "hot".into(),
        priority: None,
        unit: QuotaUnit::Tokens { default_tokens: 1 },
        rate_per_s: RATE_PER_S,
        burst: BURST,
    }
}

#[derive(Clone, Copy)]
struct Request {
    at_ms: u64,
    units: u64,
    // Whether units beyond the rate may be lent for it.
    has_room: bool,
    // Time after which it is refunded if it doesn't run.
    refund_after_ms: Option<u64>,
}

// Small calls all the time, and prompts at 1.4 times the rate, with pauses in between.
fn load(seed: u64) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for at_ms in 0..DURATION_MS {
        let is_hot = at_ms % 5_000 > 1_500;
        let mut add = |random: &mut StdRng, units, has_room| {
            let is_run = random.random_range(0..NOT_RUN_DIVISOR) > 0;
            let refund_after_ms = (!is_run).then(|| random.random_range(20..200));
            requests.push(Request {
                at_ms,
                units,
                has_room,
                refund_after_ms,
            });
        };
        if random.random_bool(0.3) {
            add(&mut random, CALL_UNITS, false);
        }
        if is_hot && random.random_bool(0.0165) {
            let units = random.random_range(15_000..18_000);
            add(&mut random, units, true);
        }
    }
    requests
}

// One bucket without anything that is lent.
struct ExactBucket {
    level: f64,
    updated_ms: u64,
}

impl ExactBucket {
    fn refill(&mut self, now_ms: u64) {
        let refill = (now_ms - self.updated_ms) as f64 * RATE_PER_S as f64 / 1_000.0;
        self.level = (self.level + refill).min(BURST as f64);
        self.updated_ms = now_ms;
    }

    fn admit(&mut self, units: u64, now_ms: u64) -> bool {
        self.refill(now_ms);
        let is_admitted = self.level >= units as f64;
        if is_admitted {
            self.level -= units as f64;
        }
        is_admitted
    }
}

#[derive(Debug, Default)]
struct Comparison {
    exact: u32,
    // Requests that only the exact bucket admitted.
    lost: u32,
    lost_calls: u32,
    // Longest time between calls that both admitted, with one in between that only the exact bucket did.
    longest_shut_out_ms: u64,
    // Most units that ran in any window.
    max_units: u64,
}

fn compare(seed: u64) -> Comparison {
    let mut quotas = Quotas::default();
    let mut exact = ExactBucket {
        level: 0.0,
        updated_ms: 0,
    };
    let mut refunds = BinaryHeap::new();
    let mut comparison = Comparison::default();
    let mut run: Vec<(u64, u64)> = Vec::new();
    let mut shut_out_ms = None;
    let membership = Membership::ALONE;
    for request in load(seed) {
        let Request { at_ms, units, .. } = request;
        while let Some(Reverse((due_ms, is_exact, units))) = refunds.peek().copied()
            && due_ms <= at_ms
        {
            refunds.pop();
            if is_exact {
                exact.level += units as f64;
            } else {
                quotas.refund("hot", units);
            }
        }
        let overdraft = match request.has_room {
            true => OVERDRAFT,
            false => Overdraft::NONE,
        };
        let now = TimeMs(at_ms);
        let decision = quotas.admit(&workspace(), units, membership, overdraft, now);
        let is_admitted = decision == Decision::Admitted;
        let is_exact = exact.admit(units, at_ms);
        if let Some(after_ms) = request.refund_after_ms {
            let due_ms = at_ms + after_ms;
            if is_admitted {
                refunds.push(Reverse((due_ms, false, units)));
            }
            if is_exact {
                refunds.push(Reverse((due_ms, true, units)));
            }
        } else if is_admitted {
            run.push((at_ms, units));
        }
        comparison.exact += u32::from(is_exact);
        if is_exact && !is_admitted {
            comparison.lost += 1;
            comparison.lost_calls += u32::from(units == CALL_UNITS);
            let since_ms = *shut_out_ms.get_or_insert(at_ms);
            let longest_ms = comparison.longest_shut_out_ms;
            comparison.longest_shut_out_ms = longest_ms.max(at_ms - since_ms);
        } else if is_admitted && units == CALL_UNITS {
            shut_out_ms = None;
        }
    }
    comparison.max_units = max_in_window(&run);
    comparison
}

fn max_in_window(run: &[(u64, u64)]) -> u64 {
    let mut first = 0;
    let mut total = 0;
    let mut largest = 0;
    for (at_ms, units) in run {
        total += units;
        while run[first].0 + WINDOW_MS <= *at_ms {
            total -= run[first].1;
            first += 1;
        }
        largest = largest.max(total);
    }
    largest
}

#[test]
fn requests_that_an_exact_bucket_admits_are_admitted() {
    for seed in 0..20 {
        let comparison = compare(seed);
        println!("seed {seed}: {comparison:?}");
        let Comparison { exact, lost, .. } = comparison;
        assert!(lost * 100 < exact, "seed {seed}: {comparison:?}");
        assert!(comparison.longest_shut_out_ms < 100, "{comparison:?}");
        let exact_units = RATE_PER_S * WINDOW_MS / 1_000 + BURST;
        assert!(comparison.max_units <= exact_units + OVERDRAFT.units);
        assert!(comparison.max_units <= exact_units * 11 / 10 + SLACK);
    }
}

fn admit(quotas: &mut Quotas, units: u64, overdraft: Overdraft, now_ms: u64) -> Decision {
    let now = TimeMs(now_ms);
    quotas.admit(&workspace(), units, Membership::ALONE, overdraft, now)
}

// Returns quotas whose bucket is full at 10 s.
fn full() -> Quotas {
    let mut quotas = Quotas::default();
    admit(&mut quotas, 0, Overdraft::NONE, 0);
    admit(&mut quotas, 0, Overdraft::NONE, 10_000);
    quotas
}

// The time to retry after contained the units that were lent to others.
#[test]
fn retry_after_is_the_time_until_the_bucket_holds_the_units() {
    let mut quotas = full();
    assert_eq!(
        admit(&mut quotas, BURST, Overdraft::NONE, 10_000),
        Decision::Admitted
    );
    assert_eq!(
        admit(&mut quotas, 17_000, OVERDRAFT, 10_000),
        Decision::Admitted
    );
    let units = RATE_PER_S / 10;
    let Decision::Rejected {
        retry_after_ms,
        level,
    } = admit(&mut quotas, units, Overdraft::NONE, 10_000)
    else {
        panic!("the bucket is empty");
    };
    assert_eq!((retry_after_ms.abs_diff(100) <= 1, level), (true, 0));
    let later_ms = 10_000 + retry_after_ms;
    assert_eq!(
        admit(&mut quotas, units, Overdraft::NONE, later_ms),
        Decision::Admitted
    );
}

// A refund must be usable at once, and neither fill the bucket beyond its burst nor repay more than was
// lent.
#[test]
fn refunds_count_at_once() {
    let mut quotas = full();
    admit(&mut quotas, BURST, Overdraft::NONE, 10_000);
    quotas.refund("hot", 1_000);
    assert_eq!(
        admit(&mut quotas, 1_000, Overdraft::NONE, 10_000),
        Decision::Admitted
    );
    let again = admit(&mut quotas, 1, Overdraft::NONE, 10_000);
    assert!(matches!(again, Decision::Rejected { .. }));
    assert_eq!(
        admit(&mut quotas, 40_000, OVERDRAFT, 10_000),
        Decision::Admitted
    );
    quotas.refund("hot", BURST + 50_000);
    let mut admitted = 0;
    while admit(&mut quotas, 1_000, OVERDRAFT, 10_000) == Decision::Admitted {
        admitted += 1_000;
    }
    let most = BURST + OVERDRAFT.units;
    assert!((most - 2_000..=most).contains(&admitted), "{admitted}");
}

// The bucket of an owner that stood still refilled for a time in which the next owner had admitted the
// same units.
#[test]
fn bucket_does_not_refill_while_the_owner_stands_still() {
    let mut quotas = full();
    for now_ms in (10_000..12_000).step_by(250) {
        assert!(!quotas.observe(TimeMs(now_ms)));
    }
    admit(&mut quotas, BURST, Overdraft::NONE, 11_750);
    assert!(quotas.observe(TimeMs(16_000)));
    let woken = admit(&mut quotas, CALL_UNITS, Overdraft::NONE, 16_000);
    assert!(matches!(woken, Decision::Rejected { .. }), "{woken:?}");
    assert!(!quotas.observe(TimeMs(16_250)));
    let later = admit(&mut quotas, CALL_UNITS, Overdraft::NONE, 16_250);
    assert_eq!(later, Decision::Admitted);
}
