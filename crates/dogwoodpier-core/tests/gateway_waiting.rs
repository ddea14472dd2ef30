//! The line for engines: who waits, who is refused, and who is next when load is at its worst.

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

/// Counts of a burst.
#[derive(Debug, Default, PartialEq)]
struct Burst {
    on_time: u32,
    late: u32,
    refused_at_once: u32,
    gave_up: u32,
}

// Requests come every `gap_ms` for four seconds, and a slot becomes free every `slot_ms`.
fn play(gap_ms: u64, slot_ms: u64) -> Burst {
    let mut line = WaitQueue::default();
    let mut burst = Burst::default();
    let mut waiting: Vec<Waiter> = Vec::new();
    for now_ms in 0..8_000_u64 {
        let now = TimeMs(now_ms);
        if now_ms < 4_000 && now_ms % gap_ms == 0 {
            let request = waiter(now_ms, 1, now_ms);
            match line.enqueue(request, false, 0.5, now) {
                Enqueue::Queued => waiting.push(request),
                Enqueue::Rejected { .. } => burst.refused_at_once += 1,
            }
        }
        if now_ms % slot_ms == 0
            && let Some(next) = line.peek(now).copied()
        {
            line.dequeue(next.ticket, now);
            waiting.retain(|request| request.ticket != next.ticket);
            let late = next.on_time_deadline_ms < now;
            burst.late += u32::from(late);
            burst.on_time += u32::from(!late);
        }
        for left in waiting.extract_if(.., |request| request.queue_deadline_ms <= now) {
            line.remove(left.ticket);
            burst.gave_up += 1;
        }
    }
    burst
}

#[test]
fn twice_the_load() {
    let burst = play(25, 50);
    // 80 slots come free while requests come, and some more for those that still wait then.
    assert!(burst.on_time >= 75, "{burst:?}");
    assert!(burst.late <= 5, "{burst:?}");
    // Those that can't be on time are told so when they come, not when their time is over.
    assert!(burst.refused_at_once >= 55, "{burst:?}");
    assert!(burst.gave_up <= 10, "{burst:?}");
}

#[test]
fn light_load_never_refuses() {
    let burst = play(100, 50);
    assert_eq!(
        (burst.refused_at_once, burst.gave_up, burst.late),
        (0, 0, 0)
    );
}

#[test]
fn urgent_first() {
    let mut line = WaitQueue::default();
    line.enqueue(waiter(1, 2, 0), false, 0.0, TimeMs(0));
    line.enqueue(waiter(2, 1, 10), false, 0.0, TimeMs(10));
    line.enqueue(waiter(3, 1, 20), false, 0.0, TimeMs(20));
    assert_eq!(line.peek(TimeMs(30)).map(|next| next.ticket), Some(2));
    // One that can't be on time any more goes after those that can.
    assert_eq!(line.peek(TimeMs(705)).map(|next| next.ticket), Some(2));
    assert_eq!(line.peek(TimeMs(715)).map(|next| next.ticket), Some(3));
}

#[test]
fn returned_may_wait() {
    let mut line = WaitQueue::default();
    let late = Waiter {
        ticket: 1,
        priority: 1,
        on_time_deadline_ms: TimeMs(0),
        queue_deadline_ms: TimeMs(2_200),
    };
    assert!(matches!(
        line.enqueue(late, false, 0.0, TimeMs(0)),
        Enqueue::Rejected { .. }
    ));
    assert_eq!(line.enqueue(late, true, 0.0, TimeMs(0)), Enqueue::Queued);
}

#[test]
fn returning_is_spread() {
    let line = WaitQueue::default();
    let first = line.retry_after_ms(0.0);
    let last = line.retry_after_ms(1.0);
    assert!(last >= first + 1_500, "{first} to {last} ms");
}

#[test]
fn stop_takes_what_ends() {
    let stop = Shutdown {
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
    assert!(stop.accepts(&route, TimeMs(2_000)));
    assert!(!stop.accepts(&route, TimeMs(3_000)));
    route.retry_policy = RetryPolicy::AtMostOnce;
    assert!(stop.accepts(&route, TimeMs(6_700)));
    assert!(!stop.accepts(&route, TimeMs(6_900)));
}
