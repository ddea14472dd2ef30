//! Tests of the memory limit, which adapts to the memory that engines really have.

use dogwoodpier_core::gateway::memory_limit::MemoryLimit;

const KV_TOKENS: u64 = 28_000;
const REQUEST_KV_TOKENS: u64 = 3_000;
const REQUEST_COUNT: u64 = 4_000;

// Fills an engine that accepts requests up to a fraction of its configured memory. Returns the
// percentage of requests rejected in the second half of the run.
fn percent_rejected(real_fraction: f64) -> f64 {
    let mut limit = MemoryLimit::default();
    let mut rejected = 0;
    for request in 0..REQUEST_COUNT {
        // Requests differ in size, so engines are rarely filled exactly to the limit.
        let held = limit.limit(KV_TOKENS) - request * 53 % 1_500;
        if held as f64 > KV_TOKENS as f64 * real_fraction {
            limit.record_rejected(held, KV_TOKENS);
            rejected += u64::from(request >= REQUEST_COUNT / 2);
        } else {
            limit.record_accepted();
        }
    }
    rejected as f64 * 100.0 / (REQUEST_COUNT / 2) as f64
}

#[test]
fn few_requests_are_rejected() {
    for real_fraction in [0.95, 0.85, 0.7] {
        let rejected = percent_rejected(real_fraction);
        assert!(rejected <= 5.0, "{rejected} % at {real_fraction}");
    }
}

#[test]
fn limit_recovers_to_whole_memory() {
    let mut limit = MemoryLimit::default();
    for _ in 0..20 {
        limit.record_rejected(KV_TOKENS, KV_TOKENS);
    }
    assert!(limit.limit(KV_TOKENS) < KV_TOKENS * 9 / 10);
    for _ in 0..1_000 {
        limit.record_accepted();
    }
    assert_eq!(limit.limit(KV_TOKENS), KV_TOKENS);
}

// Rejections by an engine that is nearly empty have other causes than memory and must not lower the
// limit. The limit has a lower bound of half the memory.
#[test]
fn rejections_by_nearly_empty_engines_are_ignored() {
    let mut limit = MemoryLimit::default();
    for _ in 0..500 {
        limit.record_rejected(REQUEST_KV_TOKENS, KV_TOKENS);
    }
    assert_eq!(limit.limit(KV_TOKENS), KV_TOKENS);
    for _ in 0..500 {
        limit.record_rejected(KV_TOKENS, KV_TOKENS);
    }
    assert_eq!(limit.limit(KV_TOKENS), KV_TOKENS / 2);
}
