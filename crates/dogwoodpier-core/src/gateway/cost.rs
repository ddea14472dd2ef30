//! Expected cost of a request, learned by route and workspace.
//!
//! Load pattern: requests of equal prompt and equal limit write outputs of very different lengths,
//! and a tenth of the requests cause most of the work. Lengths are alike within a route and a
//! workspace. Each combination has a histogram of output tokens that decays, so that a workspace
//! whose lengths jump is learned again within some ten requests. A combination without requests
//! takes the histogram of its route as its prior.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

// Class limits grow by powers of two, from 16 tokens to half a million.
const CLASSES: usize = 16;
const FIRST_CLASS_TOKENS: f64 = 16.0;
// Requests of a combination that count as much as its prior.
const PRIOR_REQUESTS: f64 = 8.0;
// Part of a class that is left after another request: the last 20 requests or so count.
const DECAY: f64 = 0.95;
// Quantile that a request is assumed to stay below where too low an estimate costs memory.
const HIGH_QUANTILE: f64 = 0.9;
// Bound of the combinations that are remembered: those of 1,900 workspaces that each use two routes,
// in about 600 kB.
const MAX_COMBINATIONS: usize = 4_000;
// The same for the routes alone.
const MAX_ROUTES: usize = 500;

/// Expected cost of a request.
#[plain]
#[derive(Copy)]
pub struct ExpectedCost {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Average number of output tokens.
    pub output_tokens: f64,
    /// Number of output tokens that nine of ten requests stay below.
    pub high_output_tokens: f64,
}

#[derive(Clone, Copy, Debug)]
struct Histogram {
    weights: [f32; CLASSES],
    used: u64,
}

impl Histogram {
    const EMPTY: Self = Self {
        weights: [0.0; CLASSES],
        used: 0,
    };

    fn record(&mut self, class: usize, used: u64) {
        for weight in &mut self.weights {
            *weight *= DECAY as f32;
        }
        self.weights[class] += 1.0;
        self.used = used;
    }

    fn total(&self) -> f64 {
        self.weights.iter().copied().map(f64::from).sum()
    }
}

fn class_of(tokens: u64) -> usize {
    let ratio = tokens as f64 / FIRST_CLASS_TOKENS;
    (ratio.max(1.0).log2().ceil() as usize).min(CLASSES - 1)
}

fn class_limit(class: usize) -> f64 {
    FIRST_CLASS_TOKENS * 2.0_f64.powi(class as i32)
}

/// Expected output lengths by route and workspace.
#[derive(Debug, Default)]
pub struct CostModel {
    routes: BTreeMap<Arc<str>, Histogram>,
    combinations: BTreeMap<(Arc<str>, Option<Arc<str>>), Histogram>,
    recorded: u64,
}

impl CostModel {
    /// Returns the expected cost of a request of `prompt_tokens` that may write up to
    /// `max_output_tokens`. `None` before the first request of the route has ended.
    pub fn expect(
        &self,
        route: &Arc<str>,
        workspace: Option<&Arc<str>>,
        prompt_tokens: u64,
        max_output_tokens: u64,
    ) -> Option<ExpectedCost> {
        let prior = self.routes.get(route)?;
        let key = (route.clone(), workspace.cloned());
        let own = self.combinations.get(&key).unwrap_or(&Histogram::EMPTY);
        let (own_total, prior_total) = (own.total(), prior.total().max(f64::MIN_POSITIVE));
        let total = own_total + PRIOR_REQUESTS;
        let shares = (0..CLASSES).map(|class| {
            let prior = f64::from(prior.weights[class]) / prior_total * PRIOR_REQUESTS;
            (f64::from(own.weights[class]) + prior) / total
        });
        let max = max_output_tokens as f64;
        let (mut average, mut below, mut high) = (0.0, 0.0, None);
        for (class, share) in shares.enumerate() {
            let limit = class_limit(class).min(max);
            // The middle of a class whose lower limit is half of the upper one.
            average += share * (class_limit(class) * 0.75).min(max);
            below += share;
            if below >= HIGH_QUANTILE && high.is_none() {
                high = Some(limit);
            }
        }
        Some(ExpectedCost {
            prompt_tokens,
            output_tokens: average,
            high_output_tokens: high.unwrap_or(max),
        })
    }

    /// Records the output of a request that has ended by itself.
    pub fn record(&mut self, route: &Arc<str>, workspace: Option<&Arc<str>>, output_tokens: u64) {
        self.recorded += 1;
        let class = class_of(output_tokens);
        let used = self.recorded;
        histogram(&mut self.routes, route.clone(), MAX_ROUTES).record(class, used);
        let key = (route.clone(), workspace.cloned());
        histogram(&mut self.combinations, key, MAX_COMBINATIONS).record(class, used);
    }

    /// Returns the number of combinations of route and workspace that are remembered.
    pub fn len(&self) -> usize {
        self.combinations.len()
    }

    /// Returns whether no request has been recorded.
    pub fn is_empty(&self) -> bool {
        self.combinations.is_empty()
    }
}

// Returns the histogram of a key. A new one replaces the one that was used least recently if there
// are `limit` of them.
fn histogram<K>(histograms: &mut BTreeMap<K, Histogram>, key: K, limit: usize) -> &mut Histogram
where
    K: Clone + Ord,
{
    if histograms.len() >= limit && !histograms.contains_key(&key) {
        let by_use = histograms.iter().min_by_key(|(_, known)| known.used);
        if let Some(oldest) = by_use.map(|(key, _)| key.clone()) {
            histograms.remove(&oldest);
        }
    }
    histograms.entry(key).or_insert(Histogram::EMPTY)
}
