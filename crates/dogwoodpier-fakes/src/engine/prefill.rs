//! Prefills: a queue by priority that shares the engine's speed.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::Instant;

use dogwoodpier_upstream::prefix;
use dogwoodpier_upstream::wire::PrefillReply;
use dogwoodpier_upstream::wire::PrefillRequest;

use crate::engine::api::Engine;
use crate::engine::state::PrefillJob;
use crate::engine::state::PrefillResult;
use crate::engine::state::State;
use crate::engine::text::CRASH_MARKER;
use crate::engine::text::TextState;
use crate::respond;
use crate::respond::ErrorAnswer;
use crate::server::Answer;

/// Tokens that are computed before the queue is looked at again.
const CHUNK_TOKENS: u64 = 512;
/// Longest time until a waiting prefill's deadline is noticed.
const QUEUE_CHECK: Duration = Duration::from_millis(50);

/// A part of a prefill that is being computed.
struct Chunk {
    number: u64,
    tokens: u64,
}

/// Takes a prefill into the queue and waits for its result.
pub async fn serve(engine: &Engine, request: PrefillRequest) -> Answer {
    let (reply, result) = oneshot::channel();
    if let Err(error) = enqueue(engine, request, reply) {
        return error.to_answer();
    }
    engine.prefill_wake.notify_one();
    match result.await {
        Ok(reply) => respond::json(StatusCode::OK, &reply),
        Err(_) => respond::text(StatusCode::GONE, "cancelled or past its deadline"),
    }
}

/// Computes the queue, one chunk at a time.
pub async fn run(engine: Arc<Engine>) {
    let mut cursor = Instant::now();
    loop {
        let Some(chunk) = next_chunk(&engine) else {
            // The bound makes deadlines of waiting prefills show.
            let _ = tokio::time::timeout(QUEUE_CHECK, engine.prefill_wake.notified()).await;
            continue;
        };
        cursor = cursor.max(Instant::now()) + engine.prefill_time(chunk.tokens);
        tokio::time::sleep_until(cursor).await;
        engine.wait_while_hanging().await;
        finish_chunk(&engine, &chunk);
    }
}

fn enqueue(
    engine: &Engine,
    request: PrefillRequest,
    reply: oneshot::Sender<PrefillReply>,
) -> Result<(), ErrorAnswer> {
    let tokens_per_piece = engine.options.tokens_per_piece;
    let prompt_tokens = prefix::count_tokens(&request.prompt).max(1);
    let pieces = prefix::count_pieces(prompt_tokens, tokens_per_piece);
    let mut state = engine.lock();
    if state.is_cancelled(&request.hold) {
        return Err(ErrorAnswer::new(StatusCode::GONE, "hold was cancelled"));
    }
    if pieces > engine.options.max_pieces {
        state.stats.busy_refusals += 1;
        let free = serde_json::to_string(&state.free(&engine.options)).unwrap_or_default();
        return Err(ErrorAnswer::new(StatusCode::CONFLICT, &free));
    }
    let now = Instant::now();
    let number = state.next_job;
    state.next_job += 1;
    state.jobs.push(PrefillJob {
        number,
        hold: request.hold,
        priority: request.priority,
        deadline: now + Duration::from_millis(request.deadline_in_ms),
        since: now,
        hashes: prefix::prefix_hashes(&request.model, &request.prompt, tokens_per_piece),
        text: TextState::after(&request.prompt),
        crashes: request.prompt.contains(CRASH_MARKER),
        prompt_tokens,
        pieces,
        cached_tokens: None,
        computed_tokens: 0,
        reply,
    });
    Ok(())
}

/// Picks the prefill to go on with, and starts it if it is new.
fn next_chunk(engine: &Engine) -> Option<Chunk> {
    let mut guard = engine.lock();
    let state = &mut *guard;
    drop_late(state);
    let free_pieces = state.free(&engine.options).free_pieces;
    let job = state
        .jobs
        .iter_mut()
        .filter(|job| job.cached_tokens.is_some() || job.pieces <= free_pieces)
        .max_by_key(|job| (job.priority, std::cmp::Reverse(job.number)))?;
    if job.crashes {
        drop(guard);
        engine.crash.now();
        return None;
    }
    if job.cached_tokens.is_none() {
        let hits = state.cache.lookup(&job.hashes) as u64;
        let cached = hits * u64::from(engine.options.tokens_per_piece);
        // The last token is always computed, since its output starts the decode.
        let cached = cached.min(job.prompt_tokens - 1);
        job.cached_tokens = Some(cached);
        state.stats.cached_tokens += cached;
    }
    let chunk = Chunk {
        number: job.number,
        tokens: job.remaining_tokens().min(CHUNK_TOKENS),
    };
    let capacity = engine.options.max_pieces - state.held_pieces();
    state.cache.shrink(capacity as usize);
    Some(chunk)
}

fn drop_late(state: &mut State) {
    let now = Instant::now();
    let mut wasted_tokens = 0;
    state.jobs.retain(|job| {
        let keep = job.deadline > now;
        wasted_tokens += if keep { 0 } else { job.computed_tokens };
        keep
    });
    state.stats.expired_tokens += wasted_tokens;
}

fn finish_chunk(engine: &Arc<Engine>, chunk: &Chunk) {
    let mut state = engine.lock();
    state.stats.prefill_tokens += chunk.tokens;
    let Some(place) = state.jobs.iter().position(|job| job.number == chunk.number) else {
        // Cancelled while this chunk ran.
        state.stats.cancelled_tokens += chunk.tokens;
        return;
    };
    state.jobs[place].computed_tokens += chunk.tokens;
    if state.jobs[place].remaining_tokens() > 0 {
        return;
    }
    let job = state.jobs.remove(place);
    let handle: Arc<str> = format!("kv-{}", job.number).into();
    let capacity = engine.options.max_pieces - state.held_pieces().min(engine.options.max_pieces);
    state.cache.store(&job.hashes, capacity as usize);
    state.stats.prefills += 1;
    state.results.insert(
        handle.clone(),
        PrefillResult {
            hold: job.hold,
            text: job.text,
            prompt_tokens: job.prompt_tokens,
            computed_tokens: job.computed_tokens,
            pieces: job.pieces,
            since: job.since,
            is_exporting: false,
        },
    );
    let reply = PrefillReply {
        kv_handle: handle.clone(),
        pieces: job.pieces,
        prompt_tokens: job.prompt_tokens,
        cached_tokens: job.cached_tokens.unwrap_or(0),
        expires_in_ms: engine.options.prefill_ttl_ms,
    };
    // A caller that went away is noticed by the result's expiry.
    let _ = job.reply.send(reply);
    tokio::spawn(expire(Arc::clone(engine), handle));
}

async fn expire(engine: Arc<Engine>, handle: Arc<str>) {
    let life = Duration::from_millis(engine.options.prefill_ttl_ms);
    loop {
        tokio::time::sleep(life).await;
        let mut state = engine.lock();
        match state.results.get(&handle) {
            None => return,
            // Looked at again after another life.
            Some(result) if result.is_exporting => {}
            Some(result) => {
                state.stats.expired_tokens += result.computed_tokens;
                state.results.remove(&handle);
                engine.prefill_wake.notify_one();
                return;
            }
        }
    }
}
