//! Replay of a day with two bursts, in which one workspace sends several times its rate, against four
//! upstreams that reject requests when they are full. Instances know each other's load from reports
//! that are up to 0.8 s old.
//!
//! Guards against requests that are passed from one full upstream to the next, and against a
//! workspace that takes the capacity of the others. The selection without a queue is replayed next
//! to the one with it, on the same requests.

mod load;
mod replay;

use self::load::Day;
use self::load::HOT;
use self::load::Totals;
use self::replay::Policy;

const SEEDS: u64 = 3;
// Bound on the sends that upstreams may reject, of 20,000 requests.
const MAX_REJECTED: f64 = 300.0;

// Replays a day for several seeds. Returns the totals without and with a queue.
fn replay(name: &str, day: fn(usize, u64) -> Day, instances: usize) -> (Totals, Totals) {
    let run = |policy, title| {
        let mut totals = Totals::default();
        for seed in 1..=SEEDS {
            totals.add(&replay::run(&day(instances, seed), policy));
        }
        println!(
            "{name}, {instances} instances, {title}: {}",
            totals.describe()
        );
        totals
    };
    let before = run(Policy::SelectOnly, "without a queue");
    (before, run(Policy::Queue, "with a queue"))
}

fn rejected_of_20_000(totals: &Totals) -> f64 {
    f64::from(totals.rejected_sends) * 20_000.0 / f64::from(totals.requests)
}

// The queue must not protect the upstreams at the expense of the well-behaved workspaces.
fn assert_shares_are_kept(before: &Totals, after: &Totals) {
    for workspace in (0..after.on_time.len()).filter(|workspace| *workspace != HOT) {
        let (before, after) = (before.on_time[workspace], after.on_time[workspace]);
        assert!(
            after >= before,
            "workspace {workspace}: {after} on time, {before} before"
        );
    }
    // Requests that get no response are the excess of the workspace that sends too many.
    assert!(after.lost_of_others <= before.lost_of_others, "{after:?}");
}

#[test]
fn bursts_are_not_sent_to_full_upstreams() {
    let (before, after) = replay("bursts", Day::of_contention, 82);
    assert!(
        rejected_of_20_000(&before) > 2_000.0,
        "the load isn't that of the observed day"
    );
    assert!(rejected_of_20_000(&after) < MAX_REJECTED, "{after:?}");
    assert_shares_are_kept(&before, &after);
    // A request that is rejected although there is capacity would be worse than a late response.
    assert!(
        after.on_time.iter().sum::<u32>() >= before.on_time.iter().sum(),
        "{after:?}"
    );
    assert!(
        f64::from(after.lost) < 0.01 * f64::from(after.requests),
        "{after:?}"
    );
}

#[test]
fn heavy_bursts_are_not_sent_to_full_upstreams() {
    let (before, after) = replay("heavy bursts", Day::of_heavy_contention, 82);
    assert!(rejected_of_20_000(&after) < MAX_REJECTED, "{after:?}");
    assert_shares_are_kept(&before, &after);
    assert!(after.on_time[HOT] >= before.on_time[HOT], "{after:?}");
}

// Far more instances than places at the upstreams. Most of them learn late that the upstreams are
// full, as each sends only a few requests and reports are 5.5 s old.
#[test]
fn many_instances_flood_upstreams_less() {
    let (before, after) = replay("bursts", Day::of_contention, 550);
    assert!(
        2 * after.rejected_sends < before.rejected_sends,
        "{after:?}"
    );
    // With so little effect, a single workspace may have a few more or less by chance.
    let others = |totals: &Totals| totals.on_time[HOT + 1..].iter().sum::<u32>();
    assert!(others(&after) >= others(&before), "{after:?}");
}

#[test]
fn calm_load_is_served_as_before() {
    let (before, after) = replay("calm", Day::calm, 82);
    assert_eq!(after, before);
}
