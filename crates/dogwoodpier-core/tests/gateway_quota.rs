//! Tests of quotas across instances: in no window are more units admitted than the rate and burst
//! allow, whichever peers are reachable.

mod common;
#[path = "common/members.rs"]
mod members;

use std::sync::Arc;

use proptest::prelude::*;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::quota::Decision;
use dogwoodpier_core::gateway::quota::Membership;
use dogwoodpier_core::gateway::quota::Overdraft;
use dogwoodpier_core::gateway::quota::Quotas;
use dogwoodpier_core::gateway::routes::QuotaUnit;
use dogwoodpier_core::gateway::routes::Workspace;

use self::members::Members;

const RATE_PER_S: u64 = 10_000;
const BURST: u64 = 10_000;
const COST: u64 = 500;
const WINDOW_MS: u64 = 8_000;

fn workspace() -> Workspace {
    Workspace {
        name: "firm".into(),
        priority: None,
        unit: QuotaUnit::Tokens { default_tokens: 1 },
        rate_per_s: RATE_PER_S,
        burst: BURST,
    }
}

/// Instances that share a quota. Each asks the instance that it considers the workspace's owner.
struct Fleet {
    members: Members,
    quotas: Vec<Quotas>,
    own_shares: Vec<Quotas>,
    admitted: Vec<(u64, u64)>,
}

impl Fleet {
    fn new(size: usize, delay_ms: u64) -> Self {
        Self {
            members: Members::new(size, delay_ms),
            quotas: (0..size).map(|_| Quotas::default()).collect(),
            own_shares: (0..size).map(|_| Quotas::default()).collect(),
            admitted: Vec::new(),
        }
    }

    fn request(&mut self, instance: usize, now_ms: u64, partition_at: Option<usize>) -> bool {
        let now = TimeMs(now_ms);
        let owner = self
            .members
            .reachable_owner(instance, "firm", now, partition_at);
        if let Some(owner) = owner {
            let membership = self.members.membership(owner, now);
            return self.decide(owner, membership, now, |fleet| &mut fleet.quotas);
        }
        let members = self.members.membership(instance, now).members;
        let membership = Membership {
            members,
            reachable: 1,
        };
        self.decide(instance, membership, now, |fleet| &mut fleet.own_shares)
    }

    fn decide<Q>(&mut self, at: usize, membership: Membership, now: TimeMs, quotas: Q) -> bool
    where
        Q: Fn(&mut Self) -> &mut Vec<Quotas>,
    {
        let quotas = &mut quotas(self)[at];
        let decision = quotas.admit(&workspace(), COST, membership, Overdraft::NONE, now);
        if decision == Decision::Admitted {
            self.admitted.push((now.0, COST));
        }
        decision == Decision::Admitted
    }

    // Advances the buckets of every instance, which happens once a second.
    fn advance(&mut self, now_ms: u64) {
        let now = TimeMs(now_ms);
        for instance in 0..self.quotas.len() {
            let is_owner = self.members.owner(instance, "firm", now) == instance;
            let owned = is_owner.then(|| Arc::new(workspace()));
            let membership = self.members.membership(instance, now);
            self.quotas[instance].advance(&owned, membership, now);
        }
    }

    fn step(&mut self, now_ms: u64, partition_at: Option<usize>) {
        self.members.step(now_ms, partition_at);
        if now_ms.is_multiple_of(1_000) {
            self.advance(now_ms);
        }
    }

    fn max_admitted_in_window(&self) -> u64 {
        self.admitted
            .iter()
            .map(|(from_ms, _)| {
                self.admitted
                    .iter()
                    .filter(|(at_ms, _)| (*from_ms..from_ms + WINDOW_MS).contains(at_ms))
                    .map(|(_, units)| units)
                    .sum()
            })
            .max()
            .unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(common::config(7, 40))]

    // A workspace sends 15 times its rate, spread unevenly over the instances, while reports are
    // delayed and the fleet may be partitioned in two.
    #[test]
    fn admitted_units_stay_within_quota(
        size in 2_usize..8,
        delay_ms in 1_u64..120,
        partition in proptest::option::of((0_u64..15_000, 2_000_u64..8_000)),
        picks in proptest::collection::vec(0_usize..64, 200),
    ) {
        let mut fleet = Fleet::new(size, delay_ms);
        for step in 0..4_000_u64 {
            let now_ms = step * 5;
            let partition_at = partition
                .filter(|(from_ms, for_ms)| (*from_ms..from_ms + for_ms).contains(&now_ms))
                .map(|_| size / 2);
            fleet.step(now_ms, partition_at);
            // Squaring prefers low numbers.
            let pick = picks[step as usize % picks.len()];
            fleet.request(pick * pick / 64 % size, now_ms, partition_at);
            if step % 2 == 0 {
                fleet.request(0, now_ms, partition_at);
            }
        }
        // A single owner admits exactly the rate and burst. The allowance covers what the two sides
        // of a partition admit until they notice it, and after it has healed until they agree on
        // the owner again.
        let partition_allowance = partition.map_or(0, |_| 1_000 * 300);
        let allowed = RATE_PER_S * WINDOW_MS / 1_000 + BURST + partition_allowance;
        prop_assert!(fleet.max_admitted_in_window() <= allowed);
    }
}

#[test]
fn one_instance_can_use_the_whole_rate() {
    let mut fleet = Fleet::new(4, 5);
    for step in 0..4_000_u64 {
        let now_ms = step * 5;
        fleet.step(now_ms, None);
        // All requests arrive at one instance.
        fleet.request(0, now_ms, None);
    }
    let total: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    assert!(total >= RATE_PER_S * 19, "only {total} units in 20 s");
}

// With 300 instances, an equal share of the burst is less than one request.
#[test]
fn hundreds_of_instances_share_the_rate() {
    let mut fleet = Fleet::new(300, 40);
    for step in 0..400_u64 {
        let now_ms = step * 25;
        fleet.step(now_ms, None);
        fleet.request(step as usize * 7 % 300, now_ms, None);
    }
    let total: u64 = fleet.admitted.iter().map(|(_, units)| units).sum();
    let full_rate = RATE_PER_S * 10;
    assert!(
        (full_rate * 9 / 10..=full_rate + BURST).contains(&total),
        "{total}"
    );
}

#[test]
fn refund_is_limited_by_the_burst() {
    let mut quotas = Quotas::default();
    let request = |quotas: &mut Quotas, now_ms| {
        let now = TimeMs(now_ms);
        quotas.admit(&workspace(), COST, Membership::ALONE, Overdraft::NONE, now)
    };
    request(&mut quotas, 0);
    let mut admitted = 0;
    while request(&mut quotas, 5_000) == Decision::Admitted {
        admitted += 1;
    }
    quotas.refund("firm", COST);
    assert_eq!(request(&mut quotas, 5_000), Decision::Admitted);
    assert!(matches!(
        request(&mut quotas, 5_000),
        Decision::Rejected { .. }
    ));
    // A refund does not fill a bucket beyond its burst.
    quotas.refund("firm", BURST * 10);
    let mut after = 0;
    while request(&mut quotas, 9_000) == Decision::Admitted {
        after += 1;
    }
    assert_eq!((admitted, after), (BURST / COST, BURST / COST));
}

// Another owner has admitted requests in the meantime; a full bucket would admit the burst once
// more.
#[test]
fn bucket_of_regained_workspace_is_empty() {
    let mut quotas = Quotas::default();
    let owned = Some(Arc::new(workspace()));
    let request = |quotas: &mut Quotas, now_ms| {
        let now = TimeMs(now_ms);
        quotas.admit(&workspace(), COST, Membership::ALONE, Overdraft::NONE, now)
    };
    quotas.advance(&owned, Membership::ALONE, TimeMs(0));
    quotas.advance(&owned, Membership::ALONE, TimeMs(5_000));
    assert_eq!(request(&mut quotas, 5_000), Decision::Admitted);
    quotas.advance(&None, Membership::ALONE, TimeMs(11_000));
    quotas.advance(&owned, Membership::ALONE, TimeMs(12_000));
    assert!(matches!(
        request(&mut quotas, 12_000),
        Decision::Rejected { .. }
    ));
}

#[test]
fn share_of_unreachable_peers_is_not_used() {
    let mut quotas = Quotas::default();
    let membership = Membership {
        members: 4,
        reachable: 1,
    };
    let mut admitted = 0;
    for step in 0..2_000_u64 {
        let now = TimeMs(step * 5);
        if quotas.admit(&workspace(), 100, membership, Overdraft::NONE, now) == Decision::Admitted {
            admitted += 100;
        }
    }
    let share = (RATE_PER_S * 10 + BURST) / 4;
    assert!(
        (share * 8 / 10..=share).contains(&admitted),
        "{admitted} of {share}"
    );
}

// Units that were lent must not shut out requests within the rate, nor be lent again before the rate has
// repaid them.
#[test]
fn overdraft_is_repaid_from_the_rate() {
    let mut quotas = Quotas::default();
    let lent = Overdraft { units: 5_000 };
    // Returns the units of all requests that are admitted at a time.
    let mut use_up = |overdraft, now_ms| {
        let (workspace, now) = (workspace(), TimeMs(now_ms));
        let mut admit = || quotas.admit(&workspace, COST, Membership::ALONE, overdraft, now);
        let mut units = 0;
        while admit() == Decision::Admitted {
            units += COST;
        }
        units
    };
    assert_eq!(use_up(Overdraft::NONE, 0), 0);
    assert_eq!(use_up(Overdraft::NONE, 5_000), BURST);
    assert_eq!(use_up(lent, 5_000), 5_000);
    assert_eq!(use_up(lent, 5_000), 0);
    // The exact rate is admitted, and nothing is lent beyond it.
    assert_eq!(use_up(Overdraft::NONE, 5_400), 4_000);
    assert_eq!(use_up(lent, 5_400), 0);
    assert_eq!(use_up(lent, 5_600), 2_000);
    // The bucket is full after a second, and half of what was lent is repaid after a quarter more.
    assert_eq!(use_up(lent, 6_850), BURST + 2_500);
    // All of it is repaid half a second after the bucket is full.
    assert_eq!(use_up(lent, 9_000), BURST + 5_000);
}
