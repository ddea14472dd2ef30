//! The load of a day, and what became of it.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of workspaces.
pub const WORKSPACES: usize = 16;
/// The workspace that sends several times its rate.
pub const HOT: usize = 0;

/// The load of a day.
pub struct Day {
    /// Number of instances.
    pub instances: usize,
    /// Seed of the random choices.
    pub seed: u64,
    /// Requests by time of arrival: workspace and priority.
    pub arrivals: BTreeMap<u64, Vec<(usize, u8)>>,
}

impl Day {
    /// Returns 80 s at 201 requests/s with two bursts of 2 s by one workspace, in which there are a
    /// tenth more requests than the upstreams can take. Without a queue, they reject about as many
    /// sends as on the day that the bursts were observed: 2,054 of 20,019.
    pub fn of_contention(instances: usize, seed: u64) -> Self {
        Self::new(instances, seed, 680.0, 2_000)
    }

    /// Returns the same with half more requests than the upstreams can take.
    pub fn of_heavy_contention(instances: usize, seed: u64) -> Self {
        Self::new(instances, seed, 1_000.0, 2_000)
    }

    /// Returns 80 s at 201 requests/s.
    pub fn calm(instances: usize, seed: u64) -> Self {
        Self::new(instances, seed, 0.0, 0)
    }

    fn new(instances: usize, seed: u64, burst_per_s: f64, burst_ms: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arrivals: BTreeMap<u64, Vec<(usize, u8)>> = BTreeMap::new();
        for now in 0..80_000_u64 {
            let mut add = |rate_per_s: f64, priority: u8, workspace: Option<usize>| {
                // Rates are a few requests per millisecond at most.
                let mut rest = rate_per_s / 1_000.0;
                while rest > 0.0 {
                    if random.random::<f64>() < rest {
                        let workspace =
                            workspace.unwrap_or_else(|| random.random_range(0..WORKSPACES));
                        arrivals.entry(now).or_default().push((workspace, priority));
                    }
                    rest -= 1.0;
                }
            };
            add(119.0, 1, None);
            add(82.5, 2, None);
            if now.wrapping_sub(20_000) < burst_ms || now.wrapping_sub(50_000) < burst_ms {
                add(burst_per_s * 0.6, 1, Some(HOT));
                add(burst_per_s * 0.4, 2, Some(HOT));
            }
        }
        Self {
            instances,
            seed,
            arrivals,
        }
    }
}

/// What became of the requests of a day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests, without those that return.
    pub requests: u32,
    /// Sends to upstreams.
    pub sends: u32,
    /// Sends that an upstream rejected as full.
    pub rejected_sends: u32,
    /// Rejections by the gateway.
    pub rejections: u32,
    /// Requests that got a response.
    pub served: u32,
    /// Requests that got a response after the objective.
    pub late: u32,
    /// Requests that got no response before their deadline.
    pub lost: u32,
    /// The same without those of the hot workspace.
    pub lost_of_others: u32,
    /// Responses on time by workspace.
    pub on_time: Vec<u32>,
    /// Requests by workspace.
    pub sent: Vec<u32>,
}

impl Totals {
    /// Adds the totals of another day.
    pub fn add(&mut self, other: &Self) {
        let counts = [
            (&mut self.requests, other.requests),
            (&mut self.sends, other.sends),
            (&mut self.rejected_sends, other.rejected_sends),
            (&mut self.rejections, other.rejections),
            (&mut self.served, other.served),
            (&mut self.late, other.late),
            (&mut self.lost, other.lost),
            (&mut self.lost_of_others, other.lost_of_others),
        ];
        for (count, more) in counts {
            *count += more;
        }
        for (counts, others) in [
            (&mut self.on_time, &other.on_time),
            (&mut self.sent, &other.sent),
        ] {
            counts.resize(others.len(), 0);
            for (count, more) in counts.iter_mut().zip(others) {
                *count += more;
            }
        }
    }

    /// Returns the totals as text.
    pub fn describe(&self) -> String {
        let others = |counts: &[u32]| counts[HOT + 1..].iter().sum::<u32>();
        format!(
            "{} requests, {} sends, {} of them rejected, {} rejections, {} served, {} late, {} \
             lost, {} of them of the others; on time: {} of {} of the hot workspace, {} of {} of the others",
            self.requests,
            self.sends,
            self.rejected_sends,
            self.rejections,
            self.served,
            self.late,
            self.lost,
            self.lost_of_others,
            self.on_time[HOT],
            self.sent[HOT],
            others(&self.on_time),
            others(&self.sent),
        )
    }
}
