//! Tests of the retry budget: the retries of all instances together stay within it.

use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::retries::PREFILL_RESERVE;
use dogwoodpier_core::gateway::retries::RetryBudget;
use dogwoodpier_core::gateway::retries::RetryOptions;

const OPTIONS: RetryOptions = RetryOptions {
    ratio: 0.2,
    allowance: 50.0,
    window_ms: 10_000,
};

#[test]
fn total_retries_stay_within_budget() {
    let service: Arc<str> = "engines".into();
    let mut instances: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::default()).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for now_ms in (0..30_000_u64).step_by(10) {
        let now = TimeMs(now_ms);
        // The first instances get more requests than the last ones, and every request is attempted
        // four times.
        let instance = (now_ms / 10 % 28) as usize / 4 * (now_ms / 10 % 28) as usize / 28;
        instances[instance].count_request(&service, &OPTIONS, now);
        requests.push(now_ms);
        for _ in 0..3 {
            if instances[instance].take_retry(&service, &OPTIONS, 7, 0.0, now) {
                retries.push(now_ms);
            }
        }
    }
    let count_in_window = |times: &[u64], from_ms: u64| {
        let window = from_ms..from_ms + OPTIONS.window_ms;
        times.iter().filter(|time| window.contains(time)).count() as f64
    };
    for from_ms in (0..20_000).step_by(500) {
        let allowed = OPTIONS.ratio * count_in_window(&requests, from_ms) + OPTIONS.allowance;
        let taken = count_in_window(&retries, from_ms);
        assert!(taken <= allowed, "{taken} of {allowed} from {from_ms} ms");
    }
    assert!(
        count_in_window(&retries, 10_000) >= 150.0,
        "less than the budget is used"
    );
}

#[test]
fn service_with_one_request_has_allowance() {
    let service: Arc<str> = "desk".into();
    let mut budget = RetryBudget::default();
    budget.count_request(&service, &OPTIONS, TimeMs(0));
    assert!(budget.take_retry(&service, &OPTIONS, 1, 0.0, TimeMs(0)));
}

#[test]
fn rejected_prefills_use_reserved_budget() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let now = TimeMs(0);
    let mut retries = 0;
    while budget.take_retry(&service, &OPTIONS, 1, PREFILL_RESERVE, now) {
        retries += 1;
    }
    // Prefills continue after the last retry, until the part of the budget that is reserved for
    // them is used up.
    let mut rejected = 0;
    while budget.take_prefill_retry(&service, &OPTIONS, 1, now) {
        rejected += 1;
    }
    assert!(rejected >= 10, "{rejected}");
    assert_eq!(f64::from(retries + rejected), OPTIONS.allowance);
}

// One of 86 instances, which has counted a single request, so its budget is less than one retry.
#[test]
fn prefill_needs_less_than_one_retry() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let now = TimeMs(0);
    budget.count_request(&service, &OPTIONS, now);
    assert!(budget.take_prefill_retry(&service, &OPTIONS, 86, now));
    // A prefill that is not accepted uses up the budget; one that is accepted does not.
    assert!(!budget.take_prefill_retry(&service, &OPTIONS, 86, now));
    budget.refund(&service);
    assert!(budget.take_prefill_retry(&service, &OPTIONS, 86, now));
}

// Prefill engines stop answering: all prefills sent to them in the meantime may turn out to be
// retries.
#[test]
fn prefills_in_flight_stay_within_budget() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let mut in_flight = 0;
    for step in 0..100 {
        let now = TimeMs(step * 20);
        budget.count_request(&service, &OPTIONS, now);
        in_flight += u64::from(budget.take_prefill_retry(&service, &OPTIONS, 1, now));
    }
    let allowed = OPTIONS.allowance + OPTIONS.ratio * 100.0;
    assert!(in_flight as f64 <= allowed, "{in_flight} of {allowed}");
    // Accepted prefills are refunded and free budget for others.
    for _ in 0..in_flight {
        budget.refund(&service);
    }
    assert!(budget.take_prefill_retry(&service, &OPTIONS, 1, TimeMs(3_000)));
}

#[test]
fn small_budget_reserves_nothing_for_prefills() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let now = TimeMs(0);
    for _ in 0..3 {
        budget.count_request(&service, &OPTIONS, now);
    }
    assert!(budget.take_retry(&service, &OPTIONS, 86, PREFILL_RESERVE, now));
}
