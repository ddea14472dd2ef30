//! Drives the engine filters for one request to a model, once for each attempt.

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
use dogwoodpier_core::selection::price_ms;
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
use super::decode::Bounds;
use super::decode::DecodeFailure;
use super::model_call::ModelCall;
use super::prefill;
use super::prefill::Computed;
use super::prefill::Prompt;
use super::queue;
use super::reserve::Seat;
use super::reserve::Wanted;
use super::transfer;

// Failures of engines that one request outlives.
const MAX_FAILURES: u32 = 5;
// Parts of an answer that wait for a slow caller; the engine never waits for it.
const BUFFERED_OUTPUTS: usize = 1_024;
const RETRY_AFTER_MS: u64 = 1_000;
const NO_ENGINE_MS: u64 = 1_000;
const CRASH_RECHECK: Duration = Duration::from_millis(50);
const POLL: Duration = Duration::from_millis(25);

/// A part of an answer.
#[derive(Clone, Debug)]
pub enum Output {
    /// One token.
    Token(Arc<str>),
    /// The end of a whole answer, with its reason.
    Finish(Arc<str>),
}

/// A request to a model that was admitted.
pub struct Job {
    /// Request.
    pub request: Request,
    /// Its body.
    pub call: ModelCall,
    /// Pools of the model.
    pub model: Model,
    /// Settings of the prefill pool.
    pub prefill_pool: Pool,
    /// Settings of the decode pool.
    pub decode_pool: Pool,
    /// Workspace and key.
    pub authenticated: Authenticated,
    /// False if nothing may be sent again after a failure.
    pub may_repeat: bool,
    /// Time by which the first decode must be reserved.
    pub queue_deadline_ms: TimeMs,
    /// Right to run now.
    pub permit: RunPermit,
    /// Tokens taken.
    pub admission: Admission,
}

/// Starts a job and returns the parts of its answer. They end with a finish or a refusal. The job
/// ends once the receiver is dropped.
pub fn start(node: &SharedNode, job: Job) -> mpsc::Receiver<Result<Output, Refusal>> {
    let (outputs, receiver) = mpsc::channel(BUFFERED_OUTPUTS);
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
        refusal = authenticate::key_ended(&node, &authenticated) => refusal,
        () = tokio::time::sleep(limit) => Refusal::not_run(
            RefusalReason::DeadlineExceeded,
            "the answer was not whole by the deadline",
        ),
    };
    let refusal = Refusal {
        execution: task.execution,
        ..refusal
    };
    // Everything of the request is given back before its caller hears of the end.
    drop(task);
    let limit = Duration::from_millis(node.settings.tuning.write_timeout_ms);
    // A caller that takes nothing for that long is given up.
    let _ = tokio::time::timeout(limit, outputs.send(Err(refusal))).await;
}

/// The attempts of one job.
struct Task<'a> {
    node: &'a SharedNode,
    job: Job,
    outputs: &'a mpsc::Sender<Result<Output, Refusal>>,
    delivery: Delivery,
    execution: Execution,
    failures: u32,
    attempts: u32,
    unfit: BTreeSet<Arc<str>>,
}

/// Why an attempt ended.
enum Failure {
    /// For good.
    Final(Refusal),
    /// An engine failed; another may do.
    Engine(Arc<str>, EngineError),
    /// The prefill's result was gone before it was fetched.
    ResultGone,
    /// No decode engine had room for the result of a prefill.
    NoRoom,
    /// The events of a stream made no whole answer.
    Broken(String),
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
            failures: 0,
            attempts: 0,
            unfit: BTreeSet::new(),
        }
    }

    async fn run(&mut self) -> Result<(), Refusal> {
        loop {
            match self.attempt().await {
                Ok(()) => return Ok(()),
                Err(Failure::Final(refusal)) => return Err(refusal),
                Err(failure) => self.recover(failure).await?,
            }
        }
    }

    async fn attempt(&mut self) -> Result<(), Failure> {
        self.attempts += 1;
        let (seat, computed) = if self.node.settings.routing.policy == RoutingPolicy::Reserve {
            let wanted = self.wanted();
            let seat = queue::find_seat(self.node, &wanted, self.unfit.clone()).await?;
            let mut computed = self.prefill().await?;
            self.transfer(&mut computed, &seat).await?;
            (seat, computed)
        } else {
            let mut computed = self.prefill().await?;
            let seat = self.find_unkept_seat(&computed).await?;
            self.transfer(&mut computed, &seat).await?;
            (seat, computed)
        };
        // Frees the prefill engine's copy.
        drop(computed);
        self.decode(&seat).await
    }

    async fn prefill(&mut self) -> Result<Computed, Failure> {
        let prompt = self.prompt();
        let no_engine = || {
            Refusal::not_run(
                RefusalReason::NoUpstream,
                "no engine can prefill the prompt",
            )
            .retry_after(RETRY_AFTER_MS)
        };
        let hint = self.choose_prefill(&prompt).await.ok_or_else(no_engine)?;
        let before = self.execution;
        // Until the engine says otherwise: a caller may leave at any moment.
        self.ran(Execution::Unknown);
        let prompt_tokens = Tokens(self.job.call.prompt_tokens);
        self.job.admission.set_prompt_tokens(prompt_tokens);
        match prefill::prefill(self.node, &prompt, &hint).await {
            Ok(computed) => Ok(computed),
            Err(failure) => {
                let is_certain = matches!(
                    failure.error,
                    EngineError::NotSent(_) | EngineError::Busy(_)
                );
                if is_certain {
                    self.execution = before;
                }
                if self.execution == Execution::NotRun {
                    self.job.admission.set_prompt_tokens(Tokens(0));
                }
                Err(Failure::Engine(failure.engine, failure.error))
            }
        }
    }

    // Waits a little for an engine to come back if there is none.
    async fn choose_prefill(&mut self, prompt: &Prompt) -> Option<PrefillHint> {
        let give_up_ms = clock::now().after(NO_ENGINE_MS);
        loop {
            let hint = prefill::choose(self.node, prompt, &self.unfit);
            if hint.is_some() || clock::now() >= give_up_ms {
                return hint;
            }
            self.unfit.clear();
            tokio::time::sleep(POLL).await;
        }
    }

    async fn find_unkept_seat(&mut self, computed: &Computed) -> Result<Seat, Failure> {
        let wanted = self.wanted();
        while clock::now() < computed.expires_ms {
            let seat = queue::find_unkept_seat(self.node, &wanted, &self.unfit).await;
            if let Some(seat) = seat {
                return Ok(seat);
            }
            tokio::time::sleep(POLL).await;
        }
        Err(Failure::NoRoom)
    }

    async fn transfer(&mut self, computed: &mut Computed, seat: &Seat) -> Result<(), Failure> {
        let timeout_ms = self.job.prefill_pool.progress_timeout_ms;
        let deadline_ms = self.job.request.deadline_ms;
        transfer::transfer(self.node, computed, seat, timeout_ms, deadline_ms)
            .await
            .map_err(|error| match error {
                EngineError::Gone(_) => Failure::ResultGone,
                error => Failure::Engine(seat.engine.name.clone(), error),
            })
    }

    async fn decode(&mut self, seat: &Seat) -> Result<(), Failure> {
        let stream_id: Arc<str> = format!("{}-{}", self.job.request.id, self.attempts).into();
        let admission = &mut self.job.admission;
        let execution = &mut self.execution;
        let bounds = Bounds {
            max_tokens: self.job.call.max_tokens,
            progress_timeout_ms: self.job.decode_pool.progress_timeout_ms,
            write_timeout_ms: self.node.settings.tuning.write_timeout_ms,
        };
        let result = decode::decode(
            seat,
            &stream_id,
            bounds,
            &mut self.delivery,
            self.outputs,
            || {
                *execution = Execution::Ran;
                admission.use_tokens(Tokens(1));
            },
        )
        .await;
        result.map_err(|failure| match failure {
            DecodeFailure::Engine(error) => Failure::Engine(seat.engine.name.clone(), error),
            DecodeFailure::Stream(fault) => Failure::Broken(fault.to_string()),
            DecodeFailure::CallerGone => Failure::Final(Refusal::new(
                RefusalReason::DeadlineExceeded,
                Execution::Ran,
                "the caller has left or takes nothing",
            )),
        })
    }

    // Decides whether another attempt may follow.
    async fn recover(&mut self, failure: Failure) -> Result<(), Refusal> {
        self.failures += 1;
        let cause = match failure {
            Failure::Final(refusal) => return Err(refusal),
            Failure::ResultGone => "the prefill's result was gone before its transfer".to_owned(),
            Failure::NoRoom => "no decode engine had room in time".to_owned(),
            Failure::Broken(cause) => cause,
            Failure::Engine(engine, error) => {
                self.engine_failed(&engine, &error).await?;
                error.to_string()
            }
        };
        let may_repeat = self.job.may_repeat || self.execution == Execution::NotRun;
        if !may_repeat || self.failures > MAX_FAILURES {
            let reason = RefusalReason::UpstreamFailed;
            return Err(Refusal::new(reason, self.execution, cause).retry_after(RETRY_AFTER_MS));
        }
        if self.delivery.delivered_tokens() > 0 {
            counter!(counters::DECODE_RESUMES_TOTAL).increment(1);
        }
        Ok(())
    }

    async fn engine_failed(&mut self, name: &Arc<str>, error: &EngineError) -> Result<(), Refusal> {
        self.unfit.insert(name.clone());
        let is_lost = matches!(
            error,
            EngineError::NotSent(_) | EngineError::Timeout { .. } | EngineError::Cut(_)
        );
        if !is_lost {
            return Ok(());
        }
        self.node.upstreams.record_failure(name);
        let was_running = matches!(error, EngineError::Cut(_));
        if !was_running || !self.has_crashed(name).await {
            return Ok(());
        }
        let fingerprint = self.job.request.fingerprint;
        let start = self.node.upstreams.failure_count(name);
        self.job.permit.crashed(name, start).await;
        // Others that were running there may go first now, or this request not at all.
        self.job.permit = RunPermit::default();
        self.job.permit = self
            .node
            .quarantine
            .enter_again(self.node, fingerprint, self.job.request.deadline_ms)
            .await?;
        Ok(())
    }

    // A cut may also come from the connection alone: an engine that still answers has not crashed.
    async fn has_crashed(&self, name: &str) -> bool {
        let Some(engine) = self.node.upstreams.engine(name) else {
            return true;
        };
        if engine.client.load().await.is_err() {
            return true;
        }
        // An engine that is going down may still answer on another connection.
        tokio::time::sleep(CRASH_RECHECK).await;
        engine.client.load().await.is_err()
    }

    fn wanted(&self) -> Wanted {
        let call = &self.job.call;
        let tokens_per_piece = self
            .node
            .upstreams
            .tokens_per_piece(&self.job.model.decode_pool);
        // An answer that has begun is worth waiting for to the end.
        let deadline_ms = if self.delivery.delivered_tokens() == 0 {
            self.reserve_deadline_ms()
        } else {
            self.job.request.deadline_ms
        };
        Wanted {
            pool: self.job.model.decode_pool.clone(),
            workspace: self.job.authenticated.name.clone(),
            weight: self.job.authenticated.workspace.weight,
            room: EngineCapacity {
                sequences: 1,
                pieces: count_pieces(call.prompt_tokens + call.max_tokens, tokens_per_piece),
            },
            cost_tokens: call.prompt_tokens + call.max_tokens,
            deadline_ms,
        }
    }

    // The prefill must still fit before the first token is due.
    fn reserve_deadline_ms(&self) -> TimeMs {
        let now = clock::now();
        let queue_deadline_ms = self.job.queue_deadline_ms;
        let prompt_tokens = self.job.call.prompt_tokens;
        let price_ms = prefill::choose(self.node, &self.prompt(), &self.unfit)
            .map_or(0, |hint| price_ms(&hint, prompt_tokens));
        let left_ms = queue_deadline_ms.remaining(now);
        now.after(left_ms.saturating_sub(price_ms).max(left_ms / 2))
    }

    fn prompt(&self) -> Prompt {
        let text: Arc<str> = if self.delivery.delivered_tokens() == 0 {
            self.job.call.prompt.clone()
        } else {
            format!("{}{}", self.job.call.prompt, self.delivery.delivered_text()).into()
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

    fn ran(&mut self, execution: Execution) {
        if self.execution == Execution::NotRun {
            self.execution = execution;
        }
    }
}

/// Returns the tokens that a call may cost.
pub fn cost_tokens(call: &ModelCall) -> Tokens {
    Tokens(count_tokens(&call.prompt) + call.max_tokens)
}
