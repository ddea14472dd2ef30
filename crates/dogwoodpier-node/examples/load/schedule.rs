//! Generates the load from a seed, as a list of requests with their times.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_derive::plain;
use dogwoodpier_upstream::prefix::BYTES_PER_TOKEN;

use crate::deployment::Deployment;
use crate::deployment::Workspace;

/// Number of templates of a workspace with which prompts begin.
const TEMPLATE_COUNT: u64 = 6;
/// Requests whose prompt begins with a template, in percent.
const TEMPLATE_PERCENT: u32 = 40;
/// Most tokens of a prompt that are its template.
const MAX_TEMPLATE_TOKENS: u64 = 1_024;
/// Limit that callers set for the tokens of an answer, in percent of the tokens that it needs.
const MAX_TOKENS_PERCENT: u64 = 130;

/// One request.
#[plain]
pub struct Arrival {
    /// Time from the start of the load.
    pub at: Duration,
    /// Index of the workspace in the deployment.
    pub workspace: usize,
    /// Content of the request.
    pub payload: Payload,
}

/// Content of a request.
#[plain]
pub enum Payload {
    /// A model's answer.
    Completion {
        /// Prompt.
        prompt: String,
        /// Maximum number of output tokens.
        max_tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// An order that may run once; the text is unique.
    Order(String),
    /// A lookup that may be repeated.
    Lookup(String),
}

/// Returns the requests within `duration`, in order of time.
pub fn schedule(
    deployment: &Deployment,
    alone: Option<&str>,
    seed: u64,
    duration: Duration,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, workspace) in deployment.workspaces.iter().enumerate() {
        if alone.is_some_and(|alone| alone != workspace.name) {
            continue;
        }
        // Each workspace has its own random stream, so that the same values are drawn for it alone
        // and together with others.
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        for at in poisson(&mut random, workspace.requests_per_s(), duration) {
            let payload = completion(&mut random, workspace, arrivals.len());
            arrivals.push(Arrival {
                at,
                workspace: index,
                payload,
            });
        }
    }
    if alone.is_none() {
        arrivals.extend(service_calls(deployment, seed, duration));
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn service_calls(deployment: &Deployment, seed: u64, duration: Duration) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(999));
    // Orders and lookups are sent by the workspace with the highest priority.
    let workspace = (0..deployment.workspaces.len())
        .max_by_key(|index| deployment.workspaces[*index].priority)
        .unwrap_or_default();
    let orders = poisson(&mut random, deployment.orders_per_s, duration);
    let lookups = poisson(&mut random, deployment.lookups_per_s, duration);
    let order = |(number, at): (usize, Duration)| Arrival {
        at,
        workspace,
        payload: Payload::Order(format!("order {seed}-{number}")),
    };
    let lookup = |(number, at): (usize, Duration)| Arrival {
        at,
        workspace,
        payload: Payload::Lookup(format!("item-{}", number % 100)),
    };
    let orders = orders.into_iter().enumerate().map(order);
    orders
        .chain(lookups.into_iter().enumerate().map(lookup))
        .collect()
}

/// Returns the times of the events of a Poisson process within `duration`.
fn poisson(random: &mut StdRng, per_s: f64, duration: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at_s -= uniform.ln() / per_s.max(f64::MIN_POSITIVE);
        if at_s >= duration.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at_s));
    }
}

fn completion(random: &mut StdRng, workspace: &Workspace, number: usize) -> Payload {
    let prompt_tokens = random.random_range(workspace.prompt_tokens.clone());
    let answer_tokens = random.random_range(workspace.answer_tokens.clone());
    let mut prompt = String::new();
    if random.random_range(0..100) < TEMPLATE_PERCENT {
        let template = random.random_range(0..TEMPLATE_COUNT);
        let tokens = MAX_TEMPLATE_TOKENS.min(prompt_tokens / 2);
        let head = format!("{} template {template}. ", workspace.name);
        append_repeated(&mut prompt, &head, tokens);
    }
    let body = format!(
        "{} request {number} {:016x} #stop={answer_tokens}# ",
        workspace.name,
        random.random::<u64>()
    );
    append_repeated(&mut prompt, &body, prompt_tokens);
    Payload::Completion {
        prompt_tokens: dogwoodpier_upstream::prefix::count_tokens(&prompt),
        prompt,
        max_tokens: answer_tokens * MAX_TOKENS_PERCENT / 100,
    }
}

/// Appends a text repeatedly while the prompt stays within `tokens`, but at least once.
fn append_repeated(prompt: &mut String, text: &str, tokens: u64) {
    let size_bytes = usize::try_from(tokens).unwrap_or_default() * BYTES_PER_TOKEN;
    prompt.push_str(text);
    while prompt.len() + text.len() <= size_bytes {
        prompt.push_str(text);
    }
}
