//! Tests of the wait queue under overload: which requests are queued, rejected and served next, and
//! which are accepted during shutdown.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::routes::RetryPolicy;
use dogwoodpier_core::gateway::routes::Route;
use dogwoodpier_core::gateway::shutdown::Shutdown;
use dogwoodpier_core::gateway::wait_queue::Enqueue;
use dogwoodpier_core::gateway::wait_queue::WaitQueue;
use dogwoodpier_core::gateway::wait_queue::Waiter;

const OBJECTIVE_MS: u64 = 700;

fn waiter(ticket: u64, priority: u8, now_ms: u64) -> Waiter {
    Waiter {
        ticket,
        priority,
        on_time_deadline_ms: TimeMs(now_ms + OBJECTIVE_MS),
        queue_deadline_ms: TimeMs(now_ms + OBJECTIVE_MS + 250),
    }
}

/// Numbers of requests in a burst by outcome.
#[derive(Debug, Default, PartialEq)]
struct Burst {
    on_time: u32,
    late: u32,
    rejected: u32,
    timed_out: u32,
}

// Simulates a burst: a request arrives every `request_interval_ms` for four seconds, and a slot
// becomes free every `slot_interval_ms`.
fn simulate_burst(request_interval_ms: u64, slot_interval_ms: u64) -> Burst {
    let mut queue = WaitQueue::default();
    let mut burst = Burst::default();
    let mut waiting: Vec<Waiter> = Vec::new();
    for now_ms in 0..8_000_u64 {
        let now = TimeMs(now_ms);
        if now_ms < 4_000 && now_ms % request_interval_ms == 0 {
            let request = waiter(now_ms, 1, now_ms);
            match queue.enqueue(request, false, 0.5, now) {
                Enqueue::Queued => waiting.push(request),
                Enqueue::Rejected { .. } => burst.rejected += 1,
            }
        }
        if now_ms % slot_interval_ms == 0
            && let Some(next) = queue.peek(now).copied()
        {
            queue.dequeue(next.ticket, now);
            waiting.retain(|request| request.ticket != next.ticket);
            let is_late = next.on_time_deadline_ms < now;
            burst.late += u32::from(is_late);
            burst.on_time += u32::from(!is_late);
        }
        for left in waiting.extract_if(.., |request| request.queue_deadline_ms <= now) {
            queue.remove(left.ticket);
            burst.timed_out += 1;
        }
    }
    burst
}

#[test]
fn twice_the_load_rejects_early() {
    let burst = simulate_burst(25, 50);
    // 80 slots become free while requests arrive, and some more for those still queued afterwards.
    assert!(burst.on_time >= 75, "{burst:?}");
    assert!(burst.late <= 5, "{burst:?}");
    // Requests that cannot be answered on time are rejected on arrival, not when they time out.
    assert!(burst.rejected >= 55, "{burst:?}");
    assert!(burst.timed_out <= 10, "{burst:?}");
}

#[test]
fn light_load_rejects_nothing() {
    let burst = simulate_burst(100, 50);
    assert_eq!((burst.rejected, burst.timed_out, burst.late), (0, 0, 0));
}

// Engines with rate limits grant four slots per second together. A burst before the queue has seen
// any grant is rejected on arrival, except for what can be answered on time.
#[test]
fn rate_limits_reject_early() {
    let mut queue = WaitQueue::default();
    queue.set_min_grant_interval(250.0);
    let mut queued = 0;
    for ticket in 0..20 {
        match queue.enqueue(waiter(ticket, 1, 0), false, 0.5, TimeMs(0)) {
            Enqueue::Queued => queued += 1,
            Enqueue::Rejected { retry_after_ms } => assert!(retry_after_ms >= 500),
        }
    }
    assert_eq!(queued, OBJECTIVE_MS / 250);
}

#[test]
fn peek_prefers_urgent_then_on_time() {
    let mut queue = WaitQueue::default();
    queue.enqueue(waiter(1, 2, 0), false, 0.0, TimeMs(0));
    queue.enqueue(waiter(2, 1, 10), false, 0.0, TimeMs(10));
    queue.enqueue(waiter(3, 1, 20), false, 0.0, TimeMs(20));
    assert_eq!(queue.peek(TimeMs(30)).map(|next| next.ticket), Some(2));
    // A request that is late is served after those that can still be on time.
    assert_eq!(queue.peek(TimeMs(705)).map(|next| next.ticket), Some(2));
    assert_eq!(queue.peek(TimeMs(715)).map(|next| next.ticket), Some(3));
}

#[test]
fn previously_rejected_request_may_wait() {
    let mut queue = WaitQueue::default();
    let late = Waiter {
        ticket: 1,
        priority: 1,
        on_time_deadline_ms: TimeMs(0),
        queue_deadline_ms: TimeMs(2_200),
    };
    assert!(matches!(
        queue.enqueue(late, false, 0.0, TimeMs(0)),
        Enqueue::Rejected { .. }
    ));
    assert_eq!(queue.enqueue(late, true, 0.0, TimeMs(0)), Enqueue::Queued);
}

#[test]
fn retry_after_is_spread() {
    let queue = WaitQueue::default();
    let first = queue.retry_after_ms(0.0);
    let last = queue.retry_after_ms(1.0);
    assert!(last >= first + 1_500, "{first} to {last} ms");
}

#[test]
fn shutdown_accepts_requests_that_end_in_time() {
    let shutdown = Shutdown {
        notice_deadline_ms: TimeMs(2_600),
        exit_ms: TimeMs(7_600),
    };
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        retry_policy: RetryPolicy::Stream { resumable: false },
        timeout_ms: 800,
        objective_ms: 300,
        priority: 1,
        max_attempts: 1,
        public: false,
        targets: Vec::new(),
    };
    assert!(shutdown.accepts(&route, TimeMs(2_000)));
    assert!(!shutdown.accepts(&route, TimeMs(3_000)));
    route.retry_policy = RetryPolicy::AtMostOnce;
    assert!(shutdown.accepts(&route, TimeMs(6_700)));
    assert!(!shutdown.accepts(&route, TimeMs(6_900)));
}
