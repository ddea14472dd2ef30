//! Computes the KV cache of a prompt at a prefill engine.

use std::collections::BTreeSet;
use std::sync::Arc;

use metrics::counter;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::selection::PrefillHint;
use dogwoodpier_core::selection::estimate_prefill_ms;
use dogwoodpier_core::selection::rank_prefill;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::prefix::count_tokens;
use dogwoodpier_upstream::wire::PrefillReply;
use dogwoodpier_upstream::wire::PrefillRequest;

use crate::clock;
use crate::counters;
use crate::settings::RoutingPolicy;
use crate::state::SharedNode;
use crate::upstreams::Engine;
use crate::upstreams::Hold;

// A prefill times out after this multiple of its estimate plus the pool's progress timeout.
const ESTIMATE_TIMEOUT_FACTOR: u64 = 4;

/// A prompt to prefill.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Pool of prefill engines.
    pub pool: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Prompt, followed by the output delivered so far.
    pub text: Arc<str>,
    /// Priority; larger values are served first.
    pub priority: i32,
    /// Time after which the result is no longer needed.
    pub deadline_ms: TimeMs,
    /// Longest time without progress of an engine.
    pub progress_timeout_ms: u64,
}

/// The KV cache of a prompt at its prefill engine. Dropping it frees the cache there and counts the
/// prefill as wasted unless [`PrefillResult::mark_transferred`] was called.
pub struct PrefillResult {
    /// Engine.
    pub engine: Engine,
    /// Reply of the engine.
    pub reply: PrefillReply,
    /// Time until which the engine keeps the cache.
    pub expires_ms: TimeMs,
    is_transferred: bool,
    _hold: Hold,
}

impl PrefillResult {
    /// Records that a decode engine has received the cache.
    pub fn mark_transferred(&mut self) {
        self.is_transferred = true;
    }
}

impl Drop for PrefillResult {
    fn drop(&mut self) {
        if !self.is_transferred {
            let wasted_tokens = self.reply.prompt_tokens - self.reply.cached_tokens;
            counter!(counters::PREFILL_WASTED_TOKENS_TOTAL).increment(wasted_tokens);
        }
    }
}

/// A prefill that failed.
#[derive(Debug)]
pub struct PrefillFailure {
    /// Engine.
    pub engine: Arc<str>,
    /// Cause.
    pub error: EngineError,
}

/// Chooses the engine for a prompt according to the routing policy, among those that are not in
/// `excluded`.
pub fn choose_engine(
    node: &SharedNode,
    prompt: &Prompt,
    excluded: &BTreeSet<Arc<str>>,
) -> Option<PrefillHint> {
    let now = clock::now();
    let mut hints = node
        .upstreams
        .prefill_hints(&prompt.pool, &prompt.model, &prompt.text, now);
    hints.retain(|hint| !excluded.contains(&hint.engine));
    if hints.is_empty() {
        return None;
    }
    match node.settings.routing.policy {
        RoutingPolicy::Reserve => {}
        RoutingPolicy::RoundRobin => {
            let index = node.upstreams.next_round_robin() as usize % hints.len();
            return Some(hints.swap_remove(index));
        }
        RoutingPolicy::LeastLoaded => {
            for hint in &mut hints {
                hint.cached_tokens = 0;
                hint.link_wait_ms = 0;
            }
        }
    }
    rank_prefill(hints, count_tokens(&prompt.text), rand::random)
        .into_iter()
        .next()
}

/// Prefills a prompt at the chosen engine.
pub async fn prefill(
    node: &SharedNode,
    prompt: &Prompt,
    hint: &PrefillHint,
) -> Result<PrefillResult, PrefillFailure> {
    let failure = |error| PrefillFailure {
        engine: hint.engine.clone(),
        error,
    };
    let Some(engine) = node.upstreams.engine(&hint.engine) else {
        return Err(failure(EngineError::NotSent("no such engine".to_owned())));
    };
    let mut hold = Hold::begin(node);
    hold.add_engine(&engine.name);
    let now = clock::now();
    let prompt_tokens = count_tokens(&prompt.text);
    let estimate_ms = estimate_prefill_ms(hint, prompt_tokens);
    let timeout_ms = prompt
        .deadline_ms
        .remaining(now)
        .min(estimate_ms * ESTIMATE_TIMEOUT_FACTOR + prompt.progress_timeout_ms);
    let request = PrefillRequest {
        hold: hold.tag().clone(),
        model: prompt.model.clone(),
        prompt: prompt.text.clone(),
        priority: prompt.priority,
        deadline_in_ms: timeout_ms,
    };
    let uncached_tokens = prompt_tokens.saturating_sub(hint.cached_tokens);
    let id = hold.id();
    node.upstreams
        .record_prefill_sent(&engine.name, id, uncached_tokens, now);
    let queued_prefill = QueuedPrefillGuard {
        node,
        engine: &engine.name,
        hold: &hold,
    };
    let result = engine.client.prefill(&request, timeout_ms).await;
    drop(queued_prefill);
    let reply = result.map_err(failure)?;
    node.upstreams
        .record_prefill_computed(&engine.name, &prompt.model, &prompt.text);
    counter!(counters::PREFILL_TOKENS_TOTAL).increment(reply.prompt_tokens - reply.cached_tokens);
    Ok(PrefillResult {
        engine,
        expires_ms: clock::now().after(reply.expires_in_ms),
        reply,
        is_transferred: false,
        _hold: hold,
    })
}

// Removes a prefill's tokens from the engine's queue when dropped, also if the request is
// cancelled.
struct QueuedPrefillGuard<'a> {
    node: &'a SharedNode,
    engine: &'a Arc<str>,
    hold: &'a Hold,
}

impl Drop for QueuedPrefillGuard<'_> {
    fn drop(&mut self) {
        self.node
            .upstreams
            .record_prefill_ended(self.engine, self.hold.id());
    }
}
