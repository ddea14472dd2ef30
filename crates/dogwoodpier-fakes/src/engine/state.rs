//! What an engine keeps.

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

const MAX_CANCELLED: usize = 100_000;

/// State of an engine.
pub struct State {
    /// Room at a decode engine by hold.
    pub reservations: HashMap<Arc<str>, Reservation>,
    /// Prefills that wait or run, in order of arrival.
    pub jobs: Vec<PrefillJob>,
    /// Results of prefills by handle.
    pub results: HashMap<Arc<str>, PrefillResult>,
    /// Decodes that run.
    pub running: Vec<Sequence>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Faults in force.
    pub faults: EngineFaults,
    /// Counters.
    pub stats: EngineStats,
    /// The load report as last published.
    pub published: Option<(Instant, LoadReport)>,
    /// Number of the next prefill.
    pub next_job: u64,
    cancelled: HashMap<Arc<str>, ()>,
    cancelled_order: VecDeque<Arc<str>>,
}

/// Room at a decode engine. Dropping it ends what waits on `alive`.
pub struct Reservation {
    /// Decode sequences.
    pub sequences: u32,
    /// KV pieces.
    pub pieces: u32,
    /// Start of the hold.
    pub since: Instant,
    /// The KV cache, once fetched.
    pub imported: Option<Imported>,
    /// Closed when the reservation ends.
    pub alive: watch::Sender<()>,
}

/// A KV cache that was fetched for a decode.
#[derive(Clone, Copy)]
pub struct Imported {
    /// Text before the decode.
    pub text: TextState,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

/// A prefill that waits or runs.
pub struct PrefillJob {
    /// Number, in order of arrival.
    pub number: u64,
    /// Tag.
    pub hold: Arc<str>,
    /// Larger goes first.
    pub priority: i32,
    /// Time after which the result is useless.
    pub deadline: Instant,
    /// Start of the hold.
    pub since: Instant,
    /// Prefix hashes of the prompt.
    pub hashes: Vec<u64>,
    /// Text of the prompt, reduced.
    pub text: TextState,
    /// True if the prompt crashes the engine.
    pub crashes: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Pieces of the prompt.
    pub pieces: u32,
    /// Tokens from the cache, known once the prefill runs.
    pub cached_tokens: Option<u64>,
    /// Tokens computed so far.
    pub computed_tokens: u64,
    /// Where the result goes.
    pub reply: oneshot::Sender<PrefillReply>,
}

impl PrefillJob {
    /// Returns the tokens that are still to be computed, as far as known.
    pub fn remaining_tokens(&self) -> u64 {
        self.prompt_tokens - self.cached_tokens.unwrap_or(0) - self.computed_tokens
    }
}

/// The result of a prefill.
pub struct PrefillResult {
    /// Tag.
    pub hold: Arc<str>,
    /// Text of the prompt, reduced.
    pub text: TextState,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens computed for it.
    pub computed_tokens: u64,
    /// Pieces of the prompt.
    pub pieces: u32,
    /// Start of the hold.
    pub since: Instant,
    /// True while it is fetched, so that it doesn't expire.
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
            published: None,
            next_job: 0,
            cancelled: HashMap::new(),
            cancelled_order: VecDeque::new(),
        }
    }

    /// Returns the pieces held, without the prefix cache.
    pub fn held_pieces(&self) -> u32 {
        let reserved: u32 = self.reservations.values().map(|r| r.pieces).sum();
        let results: u32 = self.results.values().map(|r| r.pieces).sum();
        let running: u32 = self
            .jobs
            .iter()
            .filter(|job| job.cached_tokens.is_some())
            .map(|job| job.pieces)
            .sum();
        reserved + results + running
    }

    /// Returns the decode sequences held.
    pub fn held_sequences(&self) -> u32 {
        self.reservations.values().map(|r| r.sequences).sum()
    }

    /// Returns what is free.
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

    /// Frees all that is kept for a hold, and refuses it from now on.
    pub fn cancel(&mut self, hold: &Arc<str>) -> bool {
        if self.cancelled.insert(hold.clone(), ()).is_none() {
            self.cancelled_order.push_back(hold.clone());
        }
        if self.cancelled_order.len() > MAX_CANCELLED
            && let Some(oldest) = self.cancelled_order.pop_front()
        {
            self.cancelled.remove(&oldest);
        }
        let released_decode = self.cancel_decode(hold);
        let released_prefill = self.cancel_prefill(hold);
        released_decode || released_prefill
    }

    /// Returns what is kept, by hold.
    pub fn holds(&self) -> Vec<HoldEntry> {
        let entry = |hold: &Arc<str>, sequences, pieces, since: Instant| HoldEntry {
            hold: hold.clone(),
            sequences,
            pieces,
            age_ms: u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        let reserved = self
            .reservations
            .iter()
            .map(|(hold, r)| entry(hold, r.sequences, r.pieces, r.since));
        let results = self
            .results
            .values()
            .map(|r| entry(&r.hold, 0, r.pieces, r.since));
        let jobs = self
            .jobs
            .iter()
            .map(|job| entry(&job.hold, 0, job.pieces, job.since));
        reserved.chain(results).chain(jobs).collect()
    }

    /// Returns the load now.
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
        let before = self.jobs.len() + self.results.len();
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
        before > self.jobs.len() + self.results.len()
    }
}
