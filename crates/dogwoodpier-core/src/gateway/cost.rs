//! Expected cost of a request, learned by route and workspace.
//!
//! Load pattern: requests of equal prompt and equal stated length write outputs of very different
//! lengths, and a tenth of the requests cause most of the work. How an output compares to the length
//! that its request states is alike within a route and a workspace. Each combination has a histogram
//! of that ratio, which decays, so that a workspace whose lengths jump is learned again within some
//! twenty requests. A combination without requests takes the histogram of its route as its prior.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_derive::plain;

// Classes of the ratio of an output to its stated length. Their limits grow by the root of two, from
// a thirty-second to 90 times the stated length.
const CLASSES: usize = 24;
const FIRST_CLASS_RATIO: f64 = 1.0 / 32.0;
// Requests of a combination that count as much as its prior.
const PRIOR_REQUESTS: f64 = 8.0;
// Part of a class that is left after another request: the last 20 requests or so count.
const DECAY: f64 = 0.95;
// Bound of the combinations that are remembered: those of 1,900 workspaces that each use two routes,
// in about 1 MB.
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

fn class_of(ratio: f64) -> usize {
    let steps = (ratio / FIRST_CLASS_RATIO).max(1.0).log2() * 2.0;
    (steps.ceil() as usize).min(CLASSES - 1)
}

// Returns the middle of a class.
fn class_ratio(class: usize) -> f64 {
    FIRST_CLASS_RATIO * 2.0_f64.powf((class as f64 - 0.5) / 2.0)
}

/// Expected output lengths by route and workspace.
#[derive(Debug, Default)]
pub struct CostModel {
    routes: BTreeMap<Arc<str>, Histogram>,
    combinations: BTreeMap<(Arc<str>, Option<Arc<str>>), Histogram>,
    recorded: u64,
}

impl CostModel {
    /// Returns the expected cost of a request of `prompt_tokens` that states an output of
    /// `stated_tokens`. `None` before the first request of the route has ended.
    pub fn expect(
        &self,
        route: &Arc<str>,
        workspace: Option<&Arc<str>>,
        prompt_tokens: u64,
        stated_tokens: u64,
    ) -> Option<ExpectedCost> {
        let prior = self.routes.get(route)?;
        let key = (route.clone(), workspace.cloned());
        let own = self.combinations.get(&key).unwrap_or(&Histogram::EMPTY);
        let prior_total = prior.total().max(f64::MIN_POSITIVE);
        let total = own.total() + PRIOR_REQUESTS;
        let ratio: f64 = (0..CLASSES)
            .map(|class| {
                let prior = f64::from(prior.weights[class]) / prior_total * PRIOR_REQUESTS;
                (f64::from(own.weights[class]) + prior) / total * class_ratio(class)
            })
            .sum();
        Some(ExpectedCost {
            prompt_tokens,
            output_tokens: ratio * stated_tokens as f64,
        })
    }

    /// Records the output of a request that has ended by itself.
    pub fn record(
        &mut self,
        route: &Arc<str>,
        workspace: Option<&Arc<str>>,
        stated_tokens: u64,
        output_tokens: u64,
    ) {
        self.recorded += 1;
        let class = class_of(output_tokens as f64 / stated_tokens.max(1) as f64);
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
