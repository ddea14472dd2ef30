//! Export and import of KV caches over links of limited bandwidth.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::Request;
use http::StatusCode;
use http::header;
use tokio::sync::mpsc;
use tokio::time::Instant;

use dogwoodpier_derive::wire;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;
use dogwoodpier_upstream::wire::ImportRequest;

use crate::engine::api::Engine;
use crate::engine::state::Imported;
use crate::engine::text::TextState;
use crate::respond;
use crate::respond::BodyChunk;
use crate::server::Answer;

/// Maximum bytes that a transfer sends before other transfers can use the link.
const MAX_CHUNK_BYTES: u64 = 4_096;
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Much longer than any transfer: callers decide when to abort one, not the engine.
const PROGRESS_TIMEOUT_MS: u64 = 600_000;
const DESCRIPTION_HEADER: HeaderName = HeaderName::from_static("x-kv-description");

/// Metadata of a KV cache, sent to the importing engine in a header.
#[wire]
struct KvDescription {
    text: TextState,
    prompt_tokens: u64,
    pieces: u32,
}

/// One direction of an engine's link.
pub struct Link {
    bytes_per_s: u64,
    /// Time until which the link is busy with bytes that were handed to it.
    busy_until: Mutex<Instant>,
}

impl Link {
    /// Returns an idle link.
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Hands bytes to the link and waits until it has sent them, after those handed to it before.
    async fn transmit(&self, bytes: u64) {
        let duration = Duration::from_micros(bytes.saturating_mul(1_000_000) / self.bytes_per_s);
        let done = {
            let mut busy_until = self
                .busy_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *busy_until = (*busy_until).max(Instant::now()) + duration;
            *busy_until
        };
        tokio::time::sleep_until(done).await;
    }
}

/// Sends the KV cache of a prefill result.
pub fn export(engine: &Arc<Engine>, handle: &str) -> Answer {
    let handle: Arc<str> = handle.into();
    let description = {
        let mut state = engine.lock();
        let Some(result) = state.results.get_mut(&handle) else {
            return respond::text(StatusCode::NOT_FOUND, "no such prefill result");
        };
        result.is_exporting = true;
        KvDescription {
            text: result.text,
            prompt_tokens: result.prompt_tokens,
            pieces: result.pieces,
        }
    };
    let size_bytes = u64::from(description.pieces) * engine.options.bytes_per_piece;
    let (chunks, receiver) = mpsc::channel(1);
    tokio::spawn(send_chunks(Arc::clone(engine), handle, size_bytes, chunks));
    let mut response = respond::stream("application/octet-stream", receiver)?;
    let text = serde_json::to_string(&description).map_err(|_| crate::server::Cut)?;
    let text = text.parse().map_err(|_| crate::server::Cut)?;
    response.headers_mut().insert(DESCRIPTION_HEADER, text);
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, size_bytes.into());
    Ok(response)
}

async fn send_chunks(
    engine: Arc<Engine>,
    handle: Arc<str>,
    size_bytes: u64,
    chunks: mpsc::Sender<BodyChunk>,
) {
    let mut remaining_bytes = size_bytes;
    while remaining_bytes > 0 {
        let chunk_bytes = remaining_bytes.min(MAX_CHUNK_BYTES);
        engine.outbound.transmit(chunk_bytes).await;
        engine.wait_while_stalled().await;
        let chunk = Bytes::from(vec![0_u8; usize::try_from(chunk_bytes).unwrap_or_default()]);
        if chunks.send(Ok(chunk)).await.is_err() {
            break;
        }
        remaining_bytes -= chunk_bytes;
    }
    let mut state = engine.lock();
    if remaining_bytes == 0 {
        state.results.remove(&handle);
        engine.prefill_wake.notify_one();
    } else if let Some(result) = state.results.get_mut(&handle) {
        result.is_exporting = false;
    }
}

/// Fetches a KV cache from another engine into a reservation.
pub async fn import(engine: &Engine, request: ImportRequest) -> Answer {
    let (mut alive, pieces) = {
        let state = engine.lock();
        match state.reservations.get(&request.hold) {
            Some(reservation) => (reservation.alive.subscribe(), reservation.pieces),
            None => return respond::text(StatusCode::GONE, "no such hold"),
        }
    };
    let fetched = tokio::select! {
        fetched = fetch(engine, &request) => fetched,
        // This branch completes when the reservation is dropped; the sender never sends.
        _ = alive.changed() => return respond::text(StatusCode::GONE, "hold was cancelled"),
    };
    let Some(description) = fetched else {
        return respond::text(StatusCode::GONE, "source has no such prefill result");
    };
    let mut state = engine.lock();
    if description.pieces > pieces {
        let free = state.free(&engine.options);
        return respond::json(StatusCode::CONFLICT, &free);
    }
    let Some(reservation) = state.reservations.get_mut(&request.hold) else {
        return respond::text(StatusCode::GONE, "hold was cancelled");
    };
    reservation.imported = Some(Imported {
        text: description.text,
        prompt_tokens: description.prompt_tokens,
    });
    respond::json(StatusCode::OK, &serde_json::json!({}))
}

/// Reads a KV cache from its source. Returns `None` if the source can't be reached, doesn't have
/// it, or sends an incomplete answer.
async fn fetch(engine: &Engine, request: &ImportRequest) -> Option<KvDescription> {
    let pool = Pool::new(PoolOptions {
        address: request.source.parse().ok()?,
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
    });
    let get = Request::get(format!("/v1/kv/{}", request.kv_handle))
        .body(Bytes::new())
        .ok()?;
    let mut answer = pool
        .send_on_new_connection(get, PROGRESS_TIMEOUT_MS)
        .await
        .ok()?;
    if answer.status != StatusCode::OK {
        return None;
    }
    let description = answer.headers.get(DESCRIPTION_HEADER)?.to_str().ok()?;
    let description: KvDescription = serde_json::from_str(description).ok()?;
    while let Some(chunk) = answer.next_chunk(PROGRESS_TIMEOUT_MS).await.ok()? {
        engine.inbound.transmit(chunk.len() as u64).await;
        engine.wait_while_stalled().await;
    }
    Some(description)
}
