//! Runs the engine filters for one request to a model, once for each attempt.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use tokio::sync::mpsc;

use dogwoodpier_config::effective::Model;
use dogwoodpier_config::effective::Pool;
use dogwoodpier_core::Execution;
use dogwoodpier_core::Refusal;
use dogwoodpier_core::RefusalReason;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::Tokens;
use dogwoodpier_core::delivery::Delivery;
use dogwoodpier_core::reservations::EngineCapacity;
use dogwoodpier_core::selection::PrefillHint;
use dogwoodpier_core::selection::estimate_prefill_ms;
use dogwoodpier_upstream::engine::EngineError;
use dogwoodpier_upstream::prefix::count_pieces;
use dogwoodpier_upstream::prefix::count_tokens;

use crate::clock;
use crate::counters;
use crate::quarantine::RunPermit;
use crate::settings::RoutingPolicy;
use crate::state::SharedNode;

use super::Request;
use super::admit::Admission;
use super::authenticate;
use super::authenticate::Authenticated;
use super::decode;
use super::decode::DecodeFailure;
use super::decode::DecodeLimits;
use super::model_call::ModelCall;
use super::prefill;
use super::prefill::PrefillResult;
use super::prefill::Prompt;
use super::queue;
use super::reserve::DecodeReservation;
use super::reserve::ReservationRequest;
use super::transfer;

// Failed attempts that may be followed by another one; the next failure ends the request.
const MAX_FAILED_ATTEMPTS: u32 = 5;
// Parts of an answer that are buffered for a slow caller. Once the buffer is full, the decode fails
// if the caller takes no part within the write timeout.
const OUTPUT_BUFFER_LEN: usize = 1_024;
const RETRY_AFTER_MS: u64 = 1_000;
const NO_ENGINE_TIMEOUT_MS: u64 = 1_000;
const CRASH_RECHECK_DELAY: Duration = Duration::from_millis(50);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A part of an answer.
#[derive(Clone, Debug)]
pub enum Output {
    /// One token.
    Token(Arc<str>),
    /// The end of a complete answer, with its finish reason.
    Finish(Arc<str>),
}

/// An admitted request to a model.
pub struct Job {
    /// Request.
    pub request: Request,
    /// Parsed body of the request.
    pub call: ModelCall,
    /// Model, with the names of its pools.
    pub model: Model,
    /// Settings of the prefill pool.
    pub prefill_pool: Pool,
    /// Settings of the decode pool.
    pub decode_pool: Pool,
    /// Workspace and key.
    pub authenticated: Authenticated,
    /// Whether the request may be tried again after an engine may have worked on it.
    pub may_repeat: bool,
    /// Time by which the first token is due, or the deadline of the request if that is earlier.
    pub queue_deadline_ms: TimeMs,
    /// Permit of the quarantine to run now.
    pub permit: RunPermit,
    /// Tokens taken from the limit of the workspace.
    pub admission: Admission,
}

/// Starts a job and returns the channel for the parts of its answer, the last of which is a finish
/// or a refusal. The job is cancelled when the receiver is dropped.
pub fn start(node: &SharedNode, job: Job) -> mpsc::Receiver<Result<Output, Refusal>> {
    let (outputs, receiver) = mpsc::channel(OUTPUT_BUFFER_LEN);
    tokio::spawn(run(node.clone(), job, outputs));
    receiver
}

async fn run(node: SharedNode, job: Job, outputs: mpsc::Sender<Result<Output, Refusal>>) {
    let authenticated = job.authenticated.clone();
    let deadline_ms = job.request.deadline_ms;
    let limit = Duration::from_millis(deadline_ms.remaining(clock::now()));
    let mut task = Task::new(&node, job, &outputs);
    let refusal = tokio::select! {
        result = task.run() => match result {
            Ok(()) => return,
            Err(refusal) => refusal,
        },
        () = outputs.closed() => return,
        refusal = authenticate::wait_until_key_invalid(&node, &authenticated) => refusal,
        () = tokio::time::sleep(limit) => Refusal::not_run(
            RefusalReason::DeadlineExceeded,
            "the answer was not whole by the deadline",
        ),
    };
    let refusal = Refusal {
        execution: task.execution,
        ..refusal
    };
    // Releases the holds, tokens and permit of the request before the refusal is sent.
    drop(task);
    let limit = Duration::from_millis(node.settings.tuning.write_timeout_ms);
    // The refusal is dropped if the caller reads nothing within the write timeout.
    let _ = tokio::time::timeout(limit, outputs.send(Err(refusal))).await;
}

/// The attempts of one job.
struct Task<'a> {
    node: &'a SharedNode,
    job: Job,
    outputs: &'a mpsc::Sender<Result<Output, Refusal>>,
    delivery: Delivery,
    execution: Execution,
    failed_attempts: u32,
    attempts: u32,
    excluded: BTreeSet<Arc<str>>,
}

/// Why an attempt ended.
enum Failure {
    /// The request is refused without another attempt.
    Final(Refusal),
    /// An engine failed; another one may be tried.
    Engine(Arc<str>, EngineError),
    /// The prefill engine no longer had the result when it was to be transferred.
    ResultGone,
    /// No decode engine had free capacity before the result of the prefill expired.
    NoCapacity,
    /// The events of the decode stream do not form a complete answer.
    InvalidStream(String),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Final(refusal)
    }
}

impl<'a> Task<'a> {
    fn new(
        node: &'a SharedNode,
        job: Job,
        outputs: &'a mpsc::Sender<Result<Output, Refusal>>,
    ) -> Self {
        Self {
            node,
            delivery: Delivery::new(job.request.id.clone(), job.call.max_tokens),
            job,
            outputs,
            execution: Execution::NotRun,
            failed_attempts: 0,
            attempts: 0,
            excluded: BTreeSet::new(),
        }
    }

    async fn run(&mut self) -> Result<(), Refusal> {
        loop {
            match self.run_attempt().await {
                Ok(()) => return Ok(()),
                Err(Failure::Final(refusal)) => return Err(refusal),
                Err(failure) => self.recover(failure).await?,
            }
        }
    }

    async fn run_attempt(&mut self) -> Result<(), Failure> {
        self.attempts += 1;
        let (reservation, prefilled) =
            if self.node.settings.routing.policy == RoutingPolicy::Reserve {
                let request = self.reservation_request();
                let reservation =
                    queue::reserve_decode(self.node, &request, self.excluded.clone()).await?;
                let mut prefilled = self.prefill().await?;
                self.transfer(&mut prefilled, &reservation).await?;
                (reservation, prefilled)
            } else {
                let mut prefilled = self.prefill().await?;
                let reservation = self.reserve_without_coordinator(&prefilled).await?;
                self.transfer(&mut prefilled, &reservation).await?;
                (reservation, prefilled)
            };
        // Frees the KV cache at the prefill engine.
        drop(prefilled);
        self.decode(&reservation).await
    }

    async fn prefill(&mut self) -> Result<PrefillResult, Failure> {
        let prompt = self.prompt();
        let no_engine = || {
            Refusal::not_run(
                RefusalReason::NoUpstream,
                "no engine can prefill the prompt",
            )
            .retry_after(RETRY_AFTER_MS)
        };
        let hint = self.choose_prefill(&prompt).await.ok_or_else(no_engine)?;
        let previous_execution = self.execution;
        // Recorded before the call and corrected by the engine's reply, because the request may be
        // cancelled at any time while the call runs.
        self.record_execution(Execution::Unknown);
        let prompt_tokens = Tokens(self.job.call.prompt_tokens);
        self.job.admission.set_prompt_tokens(prompt_tokens);
        match prefill::prefill(self.node, &prompt, &hint).await {
            Ok(prefilled) => Ok(prefilled),
            Err(failure) => {
                let is_certain = matches!(
                    failure.error,
                    EngineError::NotSent(_) | EngineError::Busy(_)
                );
                if is_certain {
                    self.execution = previous_execution;
                }
                if self.execution == Execution::NotRun {
                    self.job.admission.set_prompt_tokens(Tokens(0));
                }
                Err(Failure::Engine(failure.engine, failure.error))
            }
        }
    }

    // Waits for a prefill engine if there is none: up to `NO_ENGINE_TIMEOUT_MS`, or until the deadline
    // if part of the answer has been delivered. Engines that were excluded are then tried again.
    async fn choose_prefill(&mut self, prompt: &Prompt) -> Option<PrefillHint> {
        let no_engine_deadline_ms = match self.answer_begun() {
            true => self.job.request.deadline_ms,
            false => clock::now().after(NO_ENGINE_TIMEOUT_MS),
        };
        loop {
            let hint = prefill::choose_engine(self.node, prompt, &self.excluded);
            if hint.is_some() || clock::now() >= no_engine_deadline_ms {
                return hint;
            }
            self.excluded.clear();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn reserve_without_coordinator(
        &mut self,
        prefilled: &PrefillResult,
    ) -> Result<DecodeReservation, Failure> {
        let request = self.reservation_request();
        while clock::now() < prefilled.expires_ms {
            let reservation =
                queue::reserve_without_coordinator(self.node, &request, &self.excluded).await;
            if let Some(reservation) = reservation {
                return Ok(reservation);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Failure::NoCapacity)
    }

    async fn transfer(
        &mut self,
        prefilled: &mut PrefillResult,
        reservation: &DecodeReservation,
    ) -> Result<(), Failure> {
        let timeout_ms = self.job.prefill_pool.progress_timeout_ms;
        let deadline_ms = self.job.request.deadline_ms;
        transfer::transfer(self.node, prefilled, reservation, timeout_ms, deadline_ms)
            .await
            .map_err(|error| match error {
                EngineError::Gone(_) => Failure::ResultGone,
                error => Failure::Engine(reservation.engine.name.clone(), error),
            })
    }

    async fn decode(&mut self, reservation: &DecodeReservation) -> Result<(), Failure> {
        let stream_id: Arc<str> = format!("{}-{}", self.job.request.id, self.attempts).into();
        let admission = &mut self.job.admission;
        let execution = &mut self.execution;
        let limits = DecodeLimits {
            max_tokens: self.job.call.max_tokens,
            progress_timeout_ms: self.job.decode_pool.progress_timeout_ms,
            write_timeout_ms: self.node.settings.tuning.write_timeout_ms,
        };
        let result = decode::decode(
            reservation,
            &stream_id,
            limits,
            &mut self.delivery,
            self.outputs,
            || {
                *execution = Execution::Ran;
                admission.add_used_tokens(Tokens(1));
            },
        )
        .await;
        result.map_err(|failure| match failure {
            DecodeFailure::Engine(error) => Failure::Engine(reservation.engine.name.clone(), error),
            DecodeFailure::Stream(fault) => Failure::InvalidStream(fault.to_string()),
            DecodeFailure::CallerGone => Failure::Final(Refusal::new(
                RefusalReason::DeadlineExceeded,
                Execution::Ran,
                "the caller has left or takes nothing",
            )),
        })
    }

    // Returns a refusal if no other attempt may follow.
    async fn recover(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.failed_attempts += 1;
        let cause = match failure {
            Failure::Final(refusal) => return Err(refusal),
            Failure::ResultGone => "the prefill's result was gone before its transfer".to_owned(),
            Failure::NoCapacity => "no decode engine had room in time".to_owned(),
            Failure::InvalidStream(cause) => cause,
            Failure::Engine(engine, error) => {
                self.handle_engine_failure(&engine, &error).await?;
                error.to_string()
            }
        };
        let may_repeat = self.job.may_repeat || self.execution == Execution::NotRun;
        if !may_repeat || self.failed_attempts > MAX_FAILED_ATTEMPTS {
            let reason = RefusalReason::UpstreamFailed;
            return Err(Refusal::new(reason, self.execution, cause).retry_after(RETRY_AFTER_MS));
        }
        if self.answer_begun() {
            counter!(counters::DECODE_RESUMES_TOTAL).increment(1);
        }
        Ok(())
    }

    async fn handle_engine_failure(
        &mut self,
        name: &Arc<str>,
        error: &EngineError,
    ) -> Result<(), Refusal> {
        self.excluded.insert(name.clone());
        let is_unresponsive = matches!(
            error,
            EngineError::NotSent(_) | EngineError::Timeout { .. } | EngineError::Cut(_)
        );
        if !is_unresponsive {
            return Ok(());
        }
        self.node.upstreams.record_failure(name);
        let was_running = matches!(error, EngineError::Cut(_));
        if !was_running || !self.has_crashed(name).await {
            return Ok(());
        }
        let fingerprint = self.job.request.fingerprint;
        let failure_count = self.node.upstreams.failure_count(name);
        self.job.permit.record_crash(name, failure_count).await;
        // The request must pass the quarantine again: as a suspect it may have to wait for its
        // turn, or be refused.
        self.job.permit = RunPermit::default();
        self.job.permit = self
            .node
            .quarantine
            .readmit(self.node, fingerprint, self.job.request.deadline_ms)
            .await?;
        Ok(())
    }

    // Returns whether an engine no longer answers. A cut connection alone does not show a crash.
    async fn has_crashed(&self, name: &str) -> bool {
        let Some(engine) = self.node.upstreams.engine(name) else {
            return true;
        };
        if engine.client.load().await.is_err() {
            return true;
        }
        // An engine that is terminating may still answer once on another connection.
        tokio::time::sleep(CRASH_RECHECK_DELAY).await;
        engine.client.load().await.is_err()
    }

    fn reservation_request(&self) -> ReservationRequest {
        let call = &self.job.call;
        let tokens_per_piece = self
            .node
            .upstreams
            .tokens_per_piece(&self.job.model.decode_pool);
        // Once part of the answer is delivered, the request waits until its own deadline.
        let deadline_ms = if self.answer_begun() {
            self.job.request.deadline_ms
        } else {
            self.reserve_deadline_ms()
        };
        ReservationRequest {
            pool: self.job.model.decode_pool.clone(),
            workspace: self.job.authenticated.name.clone(),
            weight: self.job.authenticated.workspace.weight,
            required: EngineCapacity {
                sequences: 1,
                pieces: count_pieces(call.prompt_tokens + call.max_tokens, tokens_per_piece),
            },
            cost_tokens: call.prompt_tokens + call.max_tokens,
            deadline_ms,
            answer_begun: self.answer_begun(),
        }
    }

    fn answer_begun(&self) -> bool {
        self.delivery.delivered_tokens() > 0
    }

    // Leaves time for the prefill before the first token is due, but keeps at least half of the
    // remaining time for the reservation.
    fn reserve_deadline_ms(&self) -> TimeMs {
        let now = clock::now();
        let queue_deadline_ms = self.job.queue_deadline_ms;
        let prompt_tokens = self.job.call.prompt_tokens;
        let prefill_ms = prefill::choose_engine(self.node, &self.prompt(), &self.excluded)
            .map_or(0, |hint| estimate_prefill_ms(&hint, prompt_tokens));
        let remaining_ms = queue_deadline_ms.remaining(now);
        now.after(
            remaining_ms
                .saturating_sub(prefill_ms)
                .max(remaining_ms / 2),
        )
    }

    fn prompt(&self) -> Prompt {
        let text: Arc<str> = if self.answer_begun() {
            format!("{}{}", self.job.call.prompt, self.delivery.delivered_text()).into()
        } else {
            self.job.call.prompt.clone()
        };
        Prompt {
            pool: self.job.model.prefill_pool.clone(),
            model: self.job.call.model.clone(),
            text,
            priority: self.job.authenticated.workspace.priority,
            deadline_ms: self.job.request.deadline_ms,
            progress_timeout_ms: self.job.prefill_pool.progress_timeout_ms,
        }
    }

    fn record_execution(&mut self, execution: Execution) {
        if self.execution == Execution::NotRun {
            self.execution = execution;
        }
    }
}

/// Returns the largest number of tokens that a call may use.
pub fn cost_tokens(call: &ModelCall) -> Tokens {
    Tokens(count_tokens(&call.prompt) + call.max_tokens)
}
