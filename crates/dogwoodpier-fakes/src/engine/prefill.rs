//! Prefills. The queue is ordered by priority and computed in chunks, so that a prefill of higher
//! priority can overtake one that is running.

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

/// Maximum tokens per chunk. After each chunk the prefill to compute next is chosen again.
const CHUNK_TOKENS: u64 = 512;
/// Interval at which an engine with nothing to compute checks the deadlines of waiting prefills.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Part of a prefill that is computed in one go.
struct Chunk {
    /// Number of the prefill.
    number: u64,
    tokens: u64,
}

/// Enqueues a prefill and waits for its result.
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

/// Computes the queued prefills, one chunk at a time.
pub async fn run(engine: Arc<Engine>) {
    let mut chunk_end = Instant::now();
    loop {
        let Some(chunk) = next_chunk(&engine) else {
            // The timeout makes sure that waiting prefills past their deadline are dropped.
            let _ = tokio::time::timeout(QUEUE_POLL_INTERVAL, engine.prefill_wake.notified()).await;
            continue;
        };
        chunk_end = chunk_end.max(Instant::now()) + engine.prefill_time(chunk.tokens);
        tokio::time::sleep_until(chunk_end).await;
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
    let number = state.next_job_number;
    state.next_job_number += 1;
    state.jobs.push(PrefillJob {
        number,
        hold: request.hold,
        priority: request.priority,
        deadline: now + Duration::from_millis(request.deadline_in_ms),
        held_since: now,
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

/// Chooses the prefill to compute next, starts it if it is waiting, and returns its next chunk.
fn next_chunk(engine: &Engine) -> Option<Chunk> {
    let mut guard = engine.lock();
    let state = &mut *guard;
    drop_expired_jobs(state);
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
        // The last token is always computed, because the decode starts from its output.
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

fn drop_expired_jobs(state: &mut State) {
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
    let Some(index) = state.jobs.iter().position(|job| job.number == chunk.number) else {
        // The prefill was cancelled while this chunk was computed.
        state.stats.cancelled_tokens += chunk.tokens;
        return;
    };
    state.jobs[index].computed_tokens += chunk.tokens;
    if state.jobs[index].remaining_tokens() > 0 {
        return;
    }
    let job = state.jobs.remove(index);
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
            held_since: job.held_since,
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
    // If the caller has disconnected, the result expires.
    let _ = job.reply.send(reply);
    tokio::spawn(expire(Arc::clone(engine), handle));
}

async fn expire(engine: Arc<Engine>, handle: Arc<str>) {
    let ttl = Duration::from_millis(engine.options.prefill_ttl_ms);
    loop {
        tokio::time::sleep(ttl).await;
        let mut state = engine.lock();
        match state.results.get(&handle) {
            None => return,
            // The result is being fetched, so expiry is checked again after another TTL.
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
