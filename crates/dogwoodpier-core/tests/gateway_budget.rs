//! The retries of all instances together stay within the budget.

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
fn fleet_within_budget() {
    let service: Arc<str> = "engines".into();
    let mut instances: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::default()).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for now_ms in (0..30_000_u64).step_by(10) {
        let now = TimeMs(now_ms);
        // The first instances get more than the last ones, and every request is tried four times.
        let instance = (now_ms / 10 % 28) as usize / 4 * (now_ms / 10 % 28) as usize / 28;
        instances[instance].count_request(&service, &OPTIONS, now);
        requests.push(now_ms);
        for _ in 0..3 {
            if instances[instance].take_retry(&service, &OPTIONS, 7, 0.0, now) {
                retries.push(now_ms);
            }
        }
    }
    let within = |times: &[u64], from_ms: u64| {
        let window = from_ms..from_ms + OPTIONS.window_ms;
        times.iter().filter(|time| window.contains(time)).count() as f64
    };
    for from_ms in (0..20_000).step_by(500) {
        let allowed = OPTIONS.ratio * within(&requests, from_ms) + OPTIONS.allowance;
        let taken = within(&retries, from_ms);
        assert!(taken <= allowed, "{taken} of {allowed} from {from_ms} ms");
    }
    assert!(within(&retries, 10_000) >= 150.0, "the budget is used");
}

#[test]
fn calm_service_has_allowance() {
    let service: Arc<str> = "desk".into();
    let mut budget = RetryBudget::default();
    budget.count_request(&service, &OPTIONS, TimeMs(0));
    assert!(budget.take_retry(&service, &OPTIONS, 1, 0.0, TimeMs(0)));
}

#[test]
fn rejected_prefills_are_paid() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let now = TimeMs(0);
    let mut retries = 0;
    while budget.take_retry(&service, &OPTIONS, 1, PREFILL_RESERVE, now) {
        retries += 1;
    }
    // Prefills go on after the last retry, until as many were rejected as the budget kept for them.
    let mut rejected = 0;
    while budget.take_prefill_retry(&service, &OPTIONS, 1, now) {
        rejected += 1;
    }
    assert!(rejected >= 10, "{rejected}");
    assert_eq!(f64::from(retries + rejected), OPTIONS.allowance);
}

// One of 86 instances, of whose service it has seen a single request.
#[test]
fn small_share_allows_prefills() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let now = TimeMs(0);
    budget.count_request(&service, &OPTIONS, now);
    assert!(budget.take_prefill_retry(&service, &OPTIONS, 86, now));
    // One that wasn't accepted uses it up, one that was doesn't.
    assert!(!budget.take_prefill_retry(&service, &OPTIONS, 86, now));
    budget.refund(&service);
    assert!(budget.take_prefill_retry(&service, &OPTIONS, 86, now));
}

// Prefill engines that fall silent: all that is sent to them meanwhile may count as retries.
#[test]
fn prefills_under_way_are_paid() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let mut under_way = 0;
    for step in 0..100 {
        let now = TimeMs(step * 20);
        budget.count_request(&service, &OPTIONS, now);
        under_way += u64::from(budget.take_prefill_retry(&service, &OPTIONS, 1, now));
    }
    let allowed = OPTIONS.allowance + OPTIONS.ratio * 100.0;
    assert!(under_way as f64 <= allowed, "{under_way} of {allowed}");
    // Those that are accepted after all make room for others.
    for _ in 0..under_way {
        budget.refund(&service);
    }
    assert!(budget.take_prefill_retry(&service, &OPTIONS, 1, TimeMs(3_000)));
}

#[test]
fn small_budgets_keep_nothing() {
    let service: Arc<str> = "engines".into();
    let mut budget = RetryBudget::default();
    let now = TimeMs(0);
    for _ in 0..3 {
        budget.count_request(&service, &OPTIONS, now);
    }
    assert!(budget.take_retry(&service, &OPTIONS, 86, PREFILL_RESERVE, now));
}
