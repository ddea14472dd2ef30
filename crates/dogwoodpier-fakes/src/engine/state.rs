//! State of an engine.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;

use dogwoodpier_upstream::wire::Busy;
use dogwoodpier_upstream::wire::HoldEntry;
use dogwoodpier_upstream::wire::LoadReport;
use dogwoodpier_upstream::wire::PrefillReply;

use crate::engine::cache::PrefixCache;
use crate::engine::decode::Sequence;
use crate::engine::faults::EngineFaults;
use crate::engine::options::EngineOptions;
use crate::engine::report::EngineStats;
use crate::engine::text::TextState;

const MAX_CANCELLED_HOLDS: usize = 100_000;

/// Reservations, prefills, decodes and counters of an engine.
pub struct State {
    /// Reserved decode capacity, by hold.
    pub reservations: HashMap<Arc<str>, Reservation>,
    /// Waiting and running prefills, in order of arrival.
    pub jobs: Vec<PrefillJob>,
    /// Prefill results that haven't been fetched, by handle.
    pub results: HashMap<Arc<str>, PrefillResult>,
    /// Running decodes.
    pub running: Vec<Sequence>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Faults to inject.
    pub faults: EngineFaults,
    /// Counters.
    pub stats: EngineStats,
    /// Load report that was published last, with its time.
    pub published_load: Option<(Instant, LoadReport)>,
    /// Number that the next prefill gets.
    pub next_job_number: u64,
    /// Cancelled holds. Later calls for them are rejected.
    cancelled: HashMap<Arc<str>, ()>,
    /// Cancelled holds in order of cancellation, to forget the oldest.
    cancelled_order: VecDeque<Arc<str>>,
}

/// Reserved decode capacity. Dropping it aborts an import that is in progress.
pub struct Reservation {
    /// Decode sequences.
    pub sequences: u32,
    /// KV pieces.
    pub pieces: u32,
    /// Time at which the hold started.
    pub held_since: Instant,
    /// KV cache, if it has been fetched and not yet used by a decode.
    pub imported: Option<Imported>,
    /// Channel that closes when the reservation ends. Nothing is sent over it.
    pub alive: watch::Sender<()>,
}

/// KV cache that was fetched for a decode.
#[derive(Clone, Copy)]
pub struct Imported {
    /// Text state after the prompt.
    pub text: TextState,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

/// A waiting or running prefill.
pub struct PrefillJob {
    /// Number, in order of arrival.
    pub number: u64,
    /// Hold that the prefill belongs to.
    pub hold: Arc<str>,
    /// Priority; larger values are computed first.
    pub priority: i32,
    /// Time at which the prefill is dropped if it hasn't finished.
    pub deadline: Instant,
    /// Time at which the hold started.
    pub held_since: Instant,
    /// Prefix hashes of the prompt.
    pub hashes: Vec<u64>,
    /// Text state after the prompt.
    pub text: TextState,
    /// True if computing this prefill crashes the engine.
    pub crashes: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Pieces of the prompt.
    pub pieces: u32,
    /// Tokens found in the prefix cache; absent until the prefill starts.
    pub cached_tokens: Option<u64>,
    /// Tokens that have been computed.
    pub computed_tokens: u64,
    /// Channel for the result.
    pub reply: oneshot::Sender<PrefillReply>,
}

impl PrefillJob {
    /// Returns the number of tokens to compute. Before the prefill starts, cached tokens are
    /// unknown and count as not cached.
    pub fn remaining_tokens(&self) -> u64 {
        self.prompt_tokens - self.cached_tokens.unwrap_or(0) - self.computed_tokens
    }
}

/// The result of a prefill.
pub struct PrefillResult {
    /// Hold that the prefill belongs to.
    pub hold: Arc<str>,
    /// Text state after the prompt.
    pub text: TextState,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that were computed, without those found in the prefix cache.
    pub computed_tokens: u64,
    /// Pieces of the prompt.
    pub pieces: u32,
    /// Time at which the hold started.
    pub held_since: Instant,
    /// True while the result is being fetched, during which it doesn't expire.
    pub is_exporting: bool,
}

impl State {
    /// Returns the state of an idle engine.
    pub fn new(options: &EngineOptions) -> Self {
        Self {
            reservations: HashMap::new(),
            jobs: Vec::new(),
            results: HashMap::new(),
            running: Vec::new(),
            cache: PrefixCache::new(options),
            faults: EngineFaults::default(),
            stats: EngineStats::default(),
            published_load: None,
            next_job_number: 0,
            cancelled: HashMap::new(),
            cancelled_order: VecDeque::new(),
        }
    }

    /// Returns the number of pieces held, without those of the prefix cache.
    pub fn held_pieces(&self) -> u32 {
        let reserved: u32 = self
            .reservations
            .values()
            .map(|reservation| reservation.pieces)
            .sum();
        let results: u32 = self.results.values().map(|result| result.pieces).sum();
        let running: u32 = self
            .jobs
            .iter()
            .filter(|job| job.cached_tokens.is_some())
            .map(|job| job.pieces)
            .sum();
        reserved + results + running
    }

    /// Returns the number of decode sequences held.
    pub fn held_sequences(&self) -> u32 {
        self.reservations
            .values()
            .map(|reservation| reservation.sequences)
            .sum()
    }

    /// Returns the free capacity.
    pub fn free(&self, options: &EngineOptions) -> Busy {
        Busy {
            free_sequences: options.max_sequences.saturating_sub(self.held_sequences()),
            free_pieces: options.max_pieces.saturating_sub(self.held_pieces()),
        }
    }

    /// Returns true if a hold was cancelled.
    pub fn is_cancelled(&self, hold: &str) -> bool {
        self.cancelled.contains_key(hold)
    }

    /// Releases everything that a hold keeps, and makes later calls for it fail. Returns true if
    /// anything was released.
    pub fn cancel(&mut self, hold: &Arc<str>) -> bool {
        if self.cancelled.insert(hold.clone(), ()).is_none() {
            self.cancelled_order.push_back(hold.clone());
        }
        if self.cancelled_order.len() > MAX_CANCELLED_HOLDS
            && let Some(oldest) = self.cancelled_order.pop_front()
        {
            self.cancelled.remove(&oldest);
        }
        let released_decode = self.cancel_decode(hold);
        let released_prefill = self.cancel_prefill(hold);
        released_decode || released_prefill
    }

    /// Lists the reservations, prefills and prefill results with their holds.
    pub fn holds(&self) -> Vec<HoldEntry> {
        let entry = |hold: &Arc<str>, sequences, pieces, held_since: Instant| HoldEntry {
            hold: hold.clone(),
            sequences,
            pieces,
            age_ms: u64::try_from(held_since.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        let reserved = self.reservations.iter().map(|(hold, reservation)| {
            entry(
                hold,
                reservation.sequences,
                reservation.pieces,
                reservation.held_since,
            )
        });
        let results = self
            .results
            .values()
            .map(|result| entry(&result.hold, 0, result.pieces, result.held_since));
        let jobs = self
            .jobs
            .iter()
            .map(|job| entry(&job.hold, 0, job.pieces, job.held_since));
        reserved.chain(results).chain(jobs).collect()
    }

    /// Returns the current load.
    pub fn load(&self, options: &EngineOptions) -> LoadReport {
        LoadReport {
            age_ms: 0,
            sequences: self.held_sequences(),
            max_sequences: options.max_sequences,
            pieces: self.held_pieces(),
            max_pieces: options.max_pieces,
            queued_prompt_tokens: self.jobs.iter().map(PrefillJob::remaining_tokens).sum(),
            prefill_tokens_per_s: options.prefill_tokens_per_s,
            tokens_per_piece: options.tokens_per_piece,
        }
    }

    /// Returns the counters.
    pub fn stats(&self) -> EngineStats {
        EngineStats {
            holds: u32::try_from(self.holds().len()).unwrap_or(u32::MAX),
            sequences: self.held_sequences(),
            pieces: self.held_pieces(),
            ..self.stats.clone()
        }
    }

    fn cancel_decode(&mut self, hold: &Arc<str>) -> bool {
        self.running.retain(|sequence| sequence.hold != *hold);
        let Some(reservation) = self.reservations.remove(hold) else {
            return false;
        };
        if let Some(imported) = reservation.imported {
            self.stats.unused_import_tokens += imported.prompt_tokens;
        }
        true
    }

    fn cancel_prefill(&mut self, hold: &Arc<str>) -> bool {
        let count_before = self.jobs.len() + self.results.len();
        let mut wasted_tokens = 0;
        self.jobs.retain(|job| {
            let keep = job.hold != *hold;
            wasted_tokens += if keep { 0 } else { job.computed_tokens };
            keep
        });
        self.results.retain(|_, result| {
            let keep = result.hold != *hold;
            wasted_tokens += if keep { 0 } else { result.computed_tokens };
            keep
        });
        self.stats.cancelled_tokens += wasted_tokens;
        count_before > self.jobs.len() + self.results.len()
    }
}
