//! The load as a list of requests with their times, from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_derive::plain;
use dogwoodpier_upstream::prefix::BYTES_PER_TOKEN;

use crate::deployment::Deployment;
use crate::deployment::Workspace;

/// Documents of a workspace begin with one of this many templates, in percent of its requests.
const TEMPLATES: u64 = 6;
const TEMPLATE_PERCENT: u32 = 40;
/// Part of a prompt that is its template, at most.
const TEMPLATE_TOKENS: u64 = 1_024;
/// Callers allow this much more than the answer needs, in percent.
const ALLOWED_PERCENT: u64 = 130;

/// One request.
#[plain]
pub struct Arrival {
    /// Time from the start of the load.
    pub at: Duration,
    /// Place of the workspace in the deployment.
    pub workspace: usize,
    /// What is asked.
    pub ask: Ask,
}

/// What a request asks.
#[plain]
pub enum Ask {
    /// A model's answer.
    Completion {
        /// Prompt.
        prompt: String,
        /// Most output tokens.
        max_tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// An order that may run once; the text is unique.
    Order(String),
    /// A lookup that may be repeated.
    Lookup(String),
}

/// Returns the requests of some seconds, in order of time.
pub fn schedule(
    deployment: &Deployment,
    alone: Option<&str>,
    seed: u64,
    length: Duration,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (place, workspace) in deployment.workspaces.iter().enumerate() {
        if alone.is_some_and(|alone| alone != workspace.name) {
            continue;
        }
        // A stream of its own for each workspace, so that it is the same alone as with others.
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(place as u64));
        for at in poisson(&mut random, workspace.requests_per_s(), length) {
            let ask = completion(&mut random, workspace, arrivals.len());
            arrivals.push(Arrival {
                at,
                workspace: place,
                ask,
            });
        }
    }
    if alone.is_none() {
        arrivals.extend(desk_calls(deployment, seed, length));
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn desk_calls(deployment: &Deployment, seed: u64, length: Duration) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(999));
    // The desk is the workspace with the highest priority.
    let workspace = (0..deployment.workspaces.len())
        .max_by_key(|place| deployment.workspaces[*place].priority)
        .unwrap_or_default();
    let orders = poisson(&mut random, deployment.orders_per_s, length);
    let lookups = poisson(&mut random, deployment.lookups_per_s, length);
    let order = |(number, at): (usize, Duration)| Arrival {
        at,
        workspace,
        ask: Ask::Order(format!("order {seed}-{number}")),
    };
    let lookup = |(number, at): (usize, Duration)| Arrival {
        at,
        workspace,
        ask: Ask::Lookup(format!("item-{}", number % 100)),
    };
    let orders = orders.into_iter().enumerate().map(order);
    orders
        .chain(lookups.into_iter().enumerate().map(lookup))
        .collect()
}

/// Returns times of a Poisson process.
fn poisson(random: &mut StdRng, per_s: f64, length: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at_s -= uniform.ln() / per_s.max(f64::MIN_POSITIVE);
        if at_s >= length.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at_s));
    }
}

fn completion(random: &mut StdRng, workspace: &Workspace, number: usize) -> Ask {
    let prompt_tokens = random.random_range(workspace.prompt_tokens.clone());
    let answer_tokens = random.random_range(workspace.answer_tokens.clone());
    let mut prompt = String::new();
    if random.random_range(0..100) < TEMPLATE_PERCENT {
        let template = random.random_range(0..TEMPLATES);
        let tokens = TEMPLATE_TOKENS.min(prompt_tokens / 2);
        let head = format!("{} template {template}. ", workspace.name);
        fill(&mut prompt, &head, tokens);
    }
    let body = format!(
        "{} request {number} {:016x} #stop={answer_tokens}# ",
        workspace.name,
        random.random::<u64>()
    );
    fill(&mut prompt, &body, prompt_tokens);
    Ask::Completion {
        prompt_tokens: dogwoodpier_upstream::prefix::count_tokens(&prompt),
        prompt,
        max_tokens: answer_tokens * ALLOWED_PERCENT / 100,
    }
}

/// Repeats a text until the prompt has some tokens; the first repeat is always whole.
fn fill(prompt: &mut String, text: &str, tokens: u64) {
    let size_bytes = usize::try_from(tokens).unwrap_or_default() * BYTES_PER_TOKEN;
    prompt.push_str(text);
    while prompt.len() + text.len() <= size_bytes {
        prompt.push_str(text);
    }
}
