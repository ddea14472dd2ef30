//! A replay of requests on upstreams of uneven speed, seen by instances with old figures.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::cost_placement;
use dogwoodpier_core::gateway::cost_placement::CostSelector;
use dogwoodpier_core::gateway::peer_reports::UpstreamLoad;
use dogwoodpier_core::gateway::placement::Candidate;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_core::gateway::placement::Selector;
use dogwoodpier_core::gateway::placement::UpstreamHealth;
use dogwoodpier_core::gateway::speed::ObservedSpeed;
use dogwoodpier_core::gateway::speed::StatedLoad;
use dogwoodpier_core::gateway::speed::UpstreamSpeeds;
use dogwoodpier_core::gateway::upstreams;
use dogwoodpier_core::gateway::upstreams::Upstream;

const DURATION_MS: u64 = 40_000;
// The first part, in which speeds are learned, is replayed but not measured.
const WARMUP_MS: u64 = 10_000;
// Pause before a request that found no free slot is placed again.
const RETRY_MS: u64 = 20;
const KV_TOKENS: u64 = 1_000;
const CAPACITY_KV_TOKENS: u64 = 1_000_000;
const SLOWDOWN_MS: u64 = 600;

/// How a request is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// On the upstream with the fewest requests in flight per slot.
    LeastInFlight,
    /// On the one of two random upstreams with the fewer requests in flight.
    TwoChoices,
    /// As without stated speeds.
    Present,
    /// By expected finish.
    ByCost,
    /// On the upstream that finishes it first.
    Oracle,
}

/// Work of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Plain,
    Prefill,
    Decode,
}

/// What the upstreams state as their slowness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Figures {
    True,
    /// Fast while slow, slow while fast.
    Opposite,
    Random,
}

/// Upstreams, the requests to them, and what the instances know of them.
#[derive(Clone)]
pub struct Scenario {
    pub stage: Stage,
    /// Usual speeds of the upstreams.
    pub speeds: Vec<f64>,
    /// Time after which each upstream takes over the speed of the next one.
    pub speed_change_ms: Option<u64>,
    pub slots: u64,
    pub instances: usize,
    pub requests_per_s: f64,
    /// Average work of a request at an upstream of speed 1.
    pub work_ms: f64,
    /// Part of the requests with ten times the work.
    pub costly_fraction: f64,
    /// Part of the time in which an upstream is 2.5 times as slow.
    pub slow_fraction: f64,
    /// Part of the instances that receive stated loads.
    pub sampling_fraction: f64,
    /// Age of the reports of peers and of the stated loads.
    pub figure_age_ms: u64,
    pub figures: Figures,
    /// Expected output of a request, relative to what it writes.
    pub expected_ratio: f64,
}

impl Scenario {
    /// Six plain upstreams, a third of them 2.4 times as slow, used by 20 instances.
    pub fn plain() -> Self {
        Self {
            stage: Stage::Plain,
            speeds: vec![1.7, 1.7, 0.7, 1.7, 1.7, 0.7],
            speed_change_ms: None,
            slots: 6,
            instances: 20,
            requests_per_s: 900.0,
            work_ms: 30.0,
            costly_fraction: 0.0,
            slow_fraction: 0.15,
            sampling_fraction: 1.0,
            figure_age_ms: 300,
            figures: Figures::True,
            expected_ratio: 1.0,
        }
    }

    /// Engines of speeds 0.7, 0.7 and 1.7 that a broker allocates.
    pub fn engines(stage: Stage) -> Self {
        let decodes = stage == Stage::Decode;
        Self {
            stage,
            speeds: [0.7, 0.7, 1.7].repeat(6),
            slots: if decodes { 12 } else { 1 },
            instances: 1,
            // Half of the capacity.
            requests_per_s: if decodes { 54.0 } else { 75.0 },
            work_ms: if decodes { 2_000.0 } else { 120.0 },
            figure_age_ms: 0,
            ..Self::plain()
        }
    }

    /// Upstreams of speeds 1 to 4 that pass to the next one every 10 s.
    pub fn with_changing_speeds(self) -> Self {
        Self {
            speeds: vec![1.0, 2.0, 3.0, 4.0],
            speed_change_ms: Some(10_000),
            ..self
        }
    }

    /// Returns the mean time of a request, in milliseconds.
    pub fn mean_ms(&self, policy: Policy, seed: u64) -> f64 {
        Replay::new(self, policy, seed).run()
    }

    fn slowdown(&self, upstream: usize, now_ms: u64) -> f64 {
        // A hash of the phase and the upstream.
        let phase = now_ms / SLOWDOWN_MS * 1_000 + upstream as u64;
        let hash = (phase + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let hash = (hash ^ (hash >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        match ((hash >> 33) as f64) < self.slow_fraction * (1_u64 << 31) as f64 {
            true => 2.5,
            false => 1.0,
        }
    }

    fn slowness(&self, upstream: usize, now_ms: u64) -> f64 {
        let changes = self.speed_change_ms.map_or(0, |every_ms| now_ms / every_ms);
        let speed = self.speeds[(upstream + changes as usize) % self.speeds.len()];
        self.slowdown(upstream, now_ms) / speed
    }
}

#[derive(Clone, Copy)]
struct Placed {
    instance: usize,
    sent_ms: u64,
    end_ms: f64,
    work_ms: f64,
    // Load that its instance knew of at the upstream.
    known: UpstreamLoad,
}

struct Instance {
    health: UpstreamHealth,
    speeds: UpstreamSpeeds,
}

struct Replay<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: StdRng,
    upstreams: Vec<Arc<Upstream>>,
    placed: Vec<Vec<Placed>>,
    instances: Vec<Instance>,
    // Ends of requests that their instances have not seen.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
}

impl<'a> Replay<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let upstream = |index: usize| Upstream {
            id: format!("u{index}").into(),
            service: "service".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "a".into(),
            software_version: "v1".into(),
            slots: scenario.slots as u32,
            accepts_work: true,
            stage: match scenario.stage {
                Stage::Plain => None,
                Stage::Prefill => Some(upstreams::Stage::Prefill),
                Stage::Decode => Some(upstreams::Stage::Decode),
            },
            started_unix_ms: None,
        };
        let count = scenario.speeds.len();
        let instance = |_| Instance {
            health: UpstreamHealth::default(),
            speeds: UpstreamSpeeds::default(),
        };
        Self {
            scenario,
            policy,
            rng: StdRng::seed_from_u64(seed),
            upstreams: (0..count).map(upstream).map(Arc::new).collect(),
            placed: vec![Vec::new(); count],
            instances: (0..scenario.instances).map(instance).collect(),
            ends: BinaryHeap::new(),
        }
    }

    fn run(mut self) -> f64 {
        let mut arrivals = BinaryHeap::new();
        let mut arrival_ms = 0.0;
        // The arrivals and their work are the same with each policy.
        while arrival_ms < DURATION_MS as f64 {
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            arrival_ms -= uniform.ln() * 1_000.0 / self.scenario.requests_per_s;
            let is_costly = self.rng.random_bool(self.scenario.costly_fraction);
            let average = 1.0 + 9.0 * self.scenario.costly_fraction;
            let cost = if is_costly { 10.0 } else { 1.0 } / average;
            let instance = self.rng.random_range(0..self.scenario.instances);
            let spread = self.rng.random_range(0.8..1.2);
            let work_us = (cost * spread * self.scenario.work_ms * 1_000.0) as u64;
            let arrived_ms = arrival_ms as u64;
            arrivals.push(Reverse((arrived_ms, arrived_ms, instance, work_us)));
        }
        let (mut total_ms, mut count) = (0.0, 0);
        while let Some(Reverse((now_ms, arrived_ms, instance, work_us))) = arrivals.pop() {
            self.deliver(now_ms);
            let work_ms = work_us as f64 / 1_000.0;
            let Some(upstream) = self.select(instance, work_ms, now_ms) else {
                let retry_ms = now_ms + RETRY_MS;
                arrivals.push(Reverse((retry_ms, arrived_ms, instance, work_us)));
                continue;
            };
            let end_ms = self.place(upstream, instance, work_ms, now_ms);
            if arrived_ms >= WARMUP_MS {
                total_ms += end_ms - arrived_ms as f64;
                count += 1;
            }
        }
        total_ms / f64::from(count)
    }

    // Returns the time at which an upstream would finish a request.
    fn finish_ms(&self, upstream: usize, work_ms: f64, now_ms: u64) -> f64 {
        let mut ends: Vec<f64> = self.placed[upstream]
            .iter()
            .map(|placed| placed.end_ms)
            .filter(|end_ms| *end_ms > now_ms as f64)
            .collect();
        let slots = self.scenario.slots as usize;
        let start_ms = if ends.len() < slots {
            now_ms as f64
        } else {
            ends.sort_by(f64::total_cmp);
            ends[ends.len() - slots]
        };
        // Slowdowns pass while the request runs.
        let (mut at_ms, mut left_ms) = (start_ms, work_ms);
        loop {
            let slowness = self.scenario.slowness(upstream, at_ms as u64);
            let phase_end_ms = ((at_ms as u64 / SLOWDOWN_MS + 1) * SLOWDOWN_MS) as f64;
            let done_ms = (phase_end_ms - at_ms) / slowness;
            if done_ms >= left_ms {
                return at_ms + left_ms * slowness;
            }
            left_ms -= done_ms;
            at_ms = phase_end_ms;
        }
    }

    fn place(&mut self, upstream: usize, instance: usize, work_ms: f64, now_ms: u64) -> f64 {
        let end_ms = self.finish_ms(upstream, work_ms, now_ms);
        let known = self.known_load(upstream, instance, now_ms);
        // Figures of the past include requests that have ended since.
        let oldest_ms = now_ms.saturating_sub(self.scenario.figure_age_ms + 100);
        self.placed[upstream].retain(|placed| placed.end_ms >= oldest_ms as f64);
        self.placed[upstream].push(Placed {
            instance,
            sent_ms: now_ms,
            end_ms,
            work_ms,
            known,
        });
        self.ends
            .push(Reverse((end_ms.ceil() as u64, upstream, instance)));
        end_ms
    }

    // Returns the load that an instance knows of: its own, and that of the others as last reported.
    fn known_load(&self, upstream: usize, instance: usize, now_ms: u64) -> UpstreamLoad {
        let reported_ms = now_ms.saturating_sub(self.scenario.figure_age_ms);
        let mut load = UpstreamLoad::default();
        for placed in &self.placed[upstream] {
            let as_of_ms = match placed.instance == instance {
                true => now_ms,
                false => reported_ms,
            };
            if placed.sent_ms <= as_of_ms && placed.end_ms > as_of_ms as f64 {
                load.add(self.load_of(placed.work_ms));
            }
        }
        load
    }

    fn load_of(&self, work_ms: f64) -> UpstreamLoad {
        let is_prefill = self.scenario.stage == Stage::Prefill;
        UpstreamLoad {
            requests: 1,
            prefill_tokens: if is_prefill { tokens(work_ms) } else { 0 },
            kv_tokens: KV_TOKENS,
        }
    }

    // Has the instances see the requests that have ended.
    fn deliver(&mut self, now_ms: u64) {
        while let Some(Reverse((end_ms, upstream, instance))) = self.ends.peek().copied() {
            if end_ms > now_ms {
                break;
            }
            self.ends.pop();
            let ended = self.placed[upstream]
                .iter()
                .find(|placed| placed.instance == instance && placed.end_ms.ceil() as u64 == end_ms)
                .copied();
            if let Some(placed) = ended {
                self.record_end(upstream, placed, end_ms);
            }
        }
    }

    fn record_end(&mut self, upstream: usize, placed: Placed, end_ms: u64) {
        let scenario = self.scenario;
        let now = TimeMs(end_ms);
        let id = self.upstreams[upstream].id.clone();
        let elapsed_ms = end_ms - placed.sent_ms;
        let stated = self.stated(upstream, end_ms.saturating_sub(scenario.figure_age_ms));
        let sampling = (scenario.instances as f64 * scenario.sampling_fraction) as usize;
        let instance = &mut self.instances[placed.instance];
        instance
            .health
            .record_outcome(&id, Outcome::Answered { elapsed_ms }, now);
        if placed.instance >= sampling {
            return;
        }
        let unit_ms = match scenario.stage {
            Stage::Plain => elapsed_ms.max(1) as f64,
            Stage::Prefill => {
                let queued_tokens = placed.known.prefill_tokens + tokens(placed.work_ms);
                cost_placement::prefill_unit_ms(elapsed_ms, queued_tokens).unwrap_or(1.0)
            }
            Stage::Decode => elapsed_ms as f64 / tokens(placed.work_ms) as f64,
        };
        let observed = ObservedSpeed {
            unit_ms,
            slowness: stated.slowness,
            count: 1,
        };
        let speeds = &mut instance.speeds;
        speeds.record_stated(&"service".into(), &id, stated, now);
        speeds.record_observed(&id, observed, now);
    }

    fn stated(&mut self, upstream: usize, at_ms: u64) -> StatedLoad {
        let in_flight = self.placed[upstream]
            .iter()
            .filter(|placed| placed.sent_ms <= at_ms && placed.end_ms > at_ms as f64)
            .count() as u32;
        let slots = self.scenario.slots as u32;
        let slowdown = self.scenario.slowdown(upstream, at_ms);
        let (in_flight, slowness) = match self.scenario.figures {
            Figures::True => (in_flight, slowdown),
            Figures::Opposite => (
                (slots * 2).saturating_sub(in_flight),
                if slowdown > 1.0 { 0.5 } else { 2.5 },
            ),
            Figures::Random => (
                self.rng.random_range(0..slots * 2),
                self.rng.random_range(0.5..4.0),
            ),
        };
        StatedLoad {
            running: in_flight.min(slots),
            waiting: in_flight.saturating_sub(slots),
            slots,
            slowness: Some(slowness),
        }
    }

    fn select(&mut self, instance: usize, work_ms: f64, now_ms: u64) -> Option<usize> {
        let candidates: Vec<Candidate> = (0..self.upstreams.len())
            .map(|index| Candidate {
                upstream: self.upstreams[index].clone(),
                load: self.known_load(index, instance, now_ms),
            })
            .collect();
        let draw = self.rng.random();
        // A slot is needed to decode.
        let needs_slot = self.scenario.stage == Stage::Decode;
        let usable: Vec<usize> = (0..candidates.len())
            .filter(|index| {
                !needs_slot || u64::from(candidates[*index].load.requests) < self.scenario.slots
            })
            .collect();
        let known = &self.instances[instance];
        let selector = Selector {
            data_centre: "a",
            health: &known.health,
            now: TimeMs(now_ms),
        };
        let policy = match self.policy {
            // As before an upstream has stated a speed.
            Policy::ByCost if !known.speeds.is_stated("service", TimeMs(now_ms)) => Policy::Present,
            policy => policy,
        };
        match policy {
            Policy::LeastInFlight => {
                let shift = draw as usize % usable.len().max(1);
                let shifted = usable.iter().cycle().skip(shift).take(usable.len());
                shifted
                    .copied()
                    .min_by_key(|index| candidates[*index].load.requests)
            }
            Policy::TwoChoices => {
                let count = usable.len();
                let first = usable[(draw as usize).checked_rem(count)?];
                let second = usable[self.rng.random_range(0..count)];
                [first, second]
                    .into_iter()
                    .min_by_key(|index| candidates[*index].load.requests)
            }
            Policy::Present => match self.scenario.stage {
                Stage::Plain => selector.select_plain(&candidates, draw),
                Stage::Prefill => selector.select_prefill(&candidates, tokens(work_ms)),
                Stage::Decode => selector.select_decode(&candidates, KV_TOKENS, CAPACITY_KV_TOKENS),
            },
            Policy::ByCost => {
                let by_cost = CostSelector {
                    selector,
                    speeds: &known.speeds,
                    draw,
                };
                match self.scenario.stage {
                    Stage::Plain => by_cost.select_plain(&candidates),
                    Stage::Prefill => by_cost.select_prefill(&candidates, tokens(work_ms)),
                    Stage::Decode => by_cost.select_decode(
                        &candidates,
                        KV_TOKENS,
                        CAPACITY_KV_TOKENS,
                        tokens(work_ms) as f64 * self.scenario.expected_ratio,
                    ),
                }
            }
            Policy::Oracle => usable.into_iter().min_by(|first, second| {
                let first = self.finish_ms(*first, work_ms, now_ms);
                first.total_cmp(&self.finish_ms(*second, work_ms, now_ms))
            }),
        }
    }
}

// Returns the tokens of a prompt or an output that takes `work_ms` at speed 1.
fn tokens(work_ms: f64) -> u64 {
    ((work_ms * 10.0) as u64).max(1)
}
