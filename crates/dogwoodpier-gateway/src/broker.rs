//! One instance a service gives out the slots of its engines.
//!
//! Load pattern: a slot becomes free while requests wait at many instances. If each of them took it
//! by what it knows of the others, all would take the same one. So the instances agree on a broker
//! by rendezvous hashing over the members that they rely on, and ask it. The broker's state is soft: the
//! reports of its peers rebuild it at another instance. An instance whose broker doesn't answer asks
//! the next one, and at last places by what it knows itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::gateway::placement::Outcome;
use dogwoodpier_derive::wire;
use dogwoodpier_process::clock;

use crate::exchange::Message;
use crate::lines;
use crate::lines::Claim;
use crate::lines::Place;
use crate::lines::Refused;
use crate::owners;
use crate::owners::ANSWER_TIMEOUT;
use crate::owners::Owner;
use crate::state::Gateway;
use crate::state::Holder;
use crate::state::SharedGateway;

// Questions without an answer after which a broker is given up.
const MAX_SILENT_BROKER_ASKS: u32 = 3;
// Time between two questions while a request waits in a broker's line.
const WAITING_INTERVAL: Duration = Duration::from_millis(250);
// Questions to brokers, silent or not, before an instance places by itself.
const MAX_ASKS: usize = 4;
// Time for which the answer to a question is kept for questions that are repeated.
const ANSWER_LIFE_MS: u64 = 5_000;

/// A question for a place. Times are given from the moment of sending.
#[wire]
pub struct Ask {
    /// Instance that asks.
    pub instance: Arc<str>,
    /// Identifies the question at that instance.
    pub ticket: u64,
    /// Identity of the request, for logs.
    pub request_id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of KV cache.
    pub kv_tokens: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Time left to get a slot for an answer that is on time.
    pub on_time_in_ms: u64,
    /// Time left until the request leaves the line.
    pub leave_in_ms: u64,
    /// Whether its client was refused before.
    pub returned: bool,
    /// Engine that just failed the request.
    pub except: Option<Arc<str>>,
    /// Engines that want nothing from the instance, and for how many milliseconds.
    pub paused: BTreeMap<Arc<str>, u64>,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
}

/// What a broker says to a question.
#[wire]
pub enum Verdict {
    /// The request is in line.
    Waiting,
    /// The request has a place.
    Granted {
        /// Engine to decode on.
        decode: Arc<str>,
        /// Engine to prefill on.
        prefill: Option<Arc<str>>,
    },
    /// There will be no place in time.
    Refused {
        /// Time after which its client should come back.
        retry_after_ms: u64,
    },
}

/// An answer to a question.
#[wire]
pub struct Answer {
    /// The question.
    pub ticket: u64,
    /// What the broker says.
    pub verdict: Verdict,
}

/// How an engine that was granted did.
#[wire]
#[derive(Copy, Eq)]
pub enum Result {
    /// It served, or nothing is known.
    Used,
    /// It rejected the request as full.
    Full,
    /// It couldn't be reached.
    Unreachable,
    /// Another incarnation has its address.
    Replaced,
    /// The instance doesn't know it, or not yet.
    Unknown,
}

/// The end of the use of an engine that was granted.
#[wire]
pub struct Release {
    /// Instance that held it.
    pub instance: Arc<str>,
    /// The question.
    pub ticket: u64,
    /// The engine.
    pub upstream: Arc<str>,
    /// How it did.
    pub result: Result,
}

enum Asked {
    Waiting(AbortHandle),
    Decided {
        verdict: Verdict,
        life_deadline_ms: TimeMs,
    },
}

/// Questions under way, asked and answered.
pub struct Broker {
    next_ticket: AtomicU64,
    // Questions of this instance.
    own: Mutex<BTreeMap<u64, mpsc::UnboundedSender<Verdict>>>,
    // Questions of peers.
    peers: Mutex<BTreeMap<(Arc<str>, u64), Asked>>,
}

impl Default for Broker {
    fn default() -> Self {
        Self {
            // Peers may still remember questions of the process before this one.
            next_ticket: AtomicU64::new(rand::random()),
            own: Mutex::default(),
            peers: Mutex::default(),
        }
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Gets a place for a request from the service's broker.
pub async fn place(
    gateway: &SharedGateway,
    mut claim: Claim,
) -> std::result::Result<Place, Refused> {
    for _ in 0..MAX_ASKS {
        let Owner::Peer { instance, address } = owners::choose(gateway, &claim.service) else {
            break;
        };
        match ask(gateway, address, &claim).await {
            Asking::Decided(result) => return result,
            Asking::Silent => gateway.owners.suspect(gateway, &instance, &claim.service),
            // The broker is told of it, and has others.
            Asking::Unusable(decode) => claim.except = Some(decode),
        }
    }
    lines::wait(gateway, claim, Holder::Own).await
}

/// Returns the addresses of the brokers of all services with engines, those who follow them included.
pub fn addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let configuration = gateway.configuration.load();
    let services = configuration
        .iter()
        .flat_map(|configuration| configuration.services.values());
    let mut addresses: Vec<SocketAddr> = services
        .filter(|service| service.engine.is_some())
        .flat_map(|service| owners::addresses(gateway, &service.name))
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Withdraws a question of this instance when its client leaves before it is decided.
struct OwnAsk<'a> {
    gateway: &'a Gateway,
    broker: SocketAddr,
    ticket: u64,
    decided: bool,
}

impl Drop for OwnAsk<'_> {
    fn drop(&mut self) {
        locked(&self.gateway.broker.own).remove(&self.ticket);
        if self.decided {
            return;
        }
        let withdrawal = Message::Withdraw {
            instance: self.gateway.settings.load().instance.clone(),
            ticket: self.ticket,
        };
        self.gateway.tell(self.broker, &withdrawal);
    }
}

// How a question to a broker ended.
enum Asking {
    Decided(std::result::Result<Place, Refused>),
    // It didn't answer.
    Silent,
    // This instance can't use the engine that it was given to decode on, or the one to prefill on.
    Unusable(Arc<str>),
}

// Asks a broker.
async fn ask(gateway: &SharedGateway, broker: SocketAddr, claim: &Claim) -> Asking {
    let ticket = gateway.broker.next_ticket.fetch_add(1, Ordering::Relaxed);
    let (sender, mut verdicts) = mpsc::unbounded_channel();
    locked(&gateway.broker.own).insert(ticket, sender);
    let mut own = OwnAsk {
        gateway,
        broker,
        ticket,
        decided: false,
    };
    let instance = gateway.settings.load().instance.clone();
    let mut silent = 0;
    let mut patience = ANSWER_TIMEOUT;
    while silent < MAX_SILENT_BROKER_ASKS {
        let now = clock::now();
        let question = Ask {
            instance: instance.clone(),
            ticket,
            request_id: claim.request_id.clone(),
            service: claim.service.clone(),
            prompt_tokens: claim.prompt_tokens,
            kv_tokens: claim.kv_tokens,
            priority: claim.priority,
            on_time_in_ms: claim.on_time_deadline_ms.remaining(now),
            leave_in_ms: claim.leave_deadline_ms.remaining(now),
            returned: claim.returned,
            except: claim.except.clone(),
            paused: claim
                .paused
                .iter()
                .map(|(upstream, deadline_ms)| (upstream.clone(), deadline_ms.remaining(now)))
                .collect(),
            data_centre: claim.data_centre.clone(),
        };
        gateway.tell(broker, &Message::Ask(question));
        match tokio::time::timeout(patience, verdicts.recv()).await {
            Ok(Some(Verdict::Waiting)) => {
                silent = 0;
                patience = WAITING_INTERVAL;
            }
            Ok(Some(Verdict::Refused { retry_after_ms })) => {
                own.decided = true;
                return Asking::Decided(Err(Refused { retry_after_ms }));
            }
            Ok(Some(Verdict::Granted { decode, prefill })) => {
                own.decided = true;
                return accept(gateway, broker, ticket, claim, &decode, prefill.as_ref());
            }
            Ok(None) => return Asking::Silent,
            Err(_) => {
                silent += 1;
                // Another broker doesn't know of the latest places: a busy one is worth waiting for.
                patience = ANSWER_TIMEOUT * 2_u32.pow(silent);
            }
        }
    }
    Asking::Silent
}

// Takes a granted place, unless this instance knows that an engine takes no work, or doesn't know it:
// then one of the two doesn't hear the store, or heard it earlier than the other.
fn accept(
    gateway: &SharedGateway,
    broker: SocketAddr,
    ticket: u64,
    claim: &Claim,
    decode: &Arc<str>,
    prefill: Option<&Arc<str>>,
) -> Asking {
    let known = |id: &Arc<str>| gateway.beliefs().upstreams.get(id).cloned();
    let usable = |id: &Arc<str>| {
        known(id).filter(|upstream| gateway.beliefs().upstreams.is_available(upstream))
    };
    let (Some(decode), None | Some(Some(_))) = (usable(decode), prefill.map(usable)) else {
        for upstream in [Some(decode), prefill].into_iter().flatten() {
            let result = match known(upstream) {
                Some(_) if usable(upstream).is_some() => Result::Used,
                Some(_) => Result::Replaced,
                None => Result::Unknown,
            };
            release(gateway, broker, ticket, upstream.clone(), result);
        }
        return Asking::Unusable(decode.clone());
    };
    let holder = Holder::Granted { broker, ticket };
    let prefill = prefill.and_then(usable);
    Asking::Decided(Ok(lines::begin(
        gateway,
        claim,
        &decode,
        prefill.as_ref(),
        &holder,
    )))
}

fn release(gateway: &Gateway, broker: SocketAddr, ticket: u64, upstream: Arc<str>, result: Result) {
    let release = Release {
        instance: gateway.settings.load().instance.clone(),
        ticket,
        upstream,
        result,
    };
    gateway.tell(broker, &Message::Release(release));
}

/// Takes the answer to a question of this instance in.
pub fn take_answer(gateway: &Gateway, from: SocketAddr, answer: Answer) {
    let sender = locked(&gateway.broker.own).get(&answer.ticket).cloned();
    match (sender, answer.verdict) {
        (Some(sender), verdict) => {
            // The request may have left in this moment; its place is given back below next time.
            if sender.send(verdict).is_err() {
                log::debug!("an answer for a request that has left");
            }
        }
        (None, Verdict::Granted { decode, prefill }) => {
            for upstream in [Some(decode), prefill].into_iter().flatten() {
                release(gateway, from, answer.ticket, upstream, Result::Used);
            }
        }
        (None, _) => {}
    }
}

/// Takes the question of a peer in, and answers it now and once it is decided.
pub fn take_ask(gateway: &SharedGateway, from: SocketAddr, question: Ask) {
    let key = (question.instance.clone(), question.ticket);
    let now = clock::now();
    let mut asked = locked(&gateway.broker.peers);
    asked.retain(|_, asked| match asked {
        Asked::Waiting(_) => true,
        Asked::Decided {
            life_deadline_ms, ..
        } => *life_deadline_ms > now,
    });
    let ticket = question.ticket;
    let verdict = match asked.get(&key) {
        Some(Asked::Waiting(_)) => Verdict::Waiting,
        Some(Asked::Decided { verdict, .. }) => verdict.clone(),
        None => {
            let task = tokio::spawn(decide(gateway.clone(), from, question));
            asked.insert(key, Asked::Waiting(task.abort_handle()));
            // The task answers as soon as it has decided, mostly at once.
            return;
        }
    };
    drop(asked);
    gateway.tell(from, &Message::Answer(Answer { ticket, verdict }));
}

async fn decide(gateway: SharedGateway, from: SocketAddr, question: Ask) {
    let key = (question.instance.clone(), question.ticket);
    let holder = Holder::Peer {
        instance: question.instance.clone(),
        ticket: question.ticket,
    };
    let now = clock::now();
    let claim = Claim {
        request_id: question.request_id,
        service: question.service,
        prompt_tokens: question.prompt_tokens,
        kv_tokens: question.kv_tokens,
        priority: question.priority,
        on_time_deadline_ms: now.after(question.on_time_in_ms),
        leave_deadline_ms: now.after(question.leave_in_ms),
        returned: question.returned,
        except: question.except,
        paused: question
            .paused
            .into_iter()
            .map(|(upstream, pause_ms)| (upstream, now.after(pause_ms)))
            .collect(),
        data_centre: question.data_centre,
    };
    let waiting = lines::wait(&gateway, claim, holder);
    tokio::pin!(waiting);
    let ticket = key.1;
    let result = tokio::select! {
        biased;
        result = &mut waiting => result,
        () = tokio::time::sleep(ANSWER_TIMEOUT / 4) => {
            let verdict = Verdict::Waiting;
            gateway.tell(from, &Message::Answer(Answer { ticket, verdict }));
            waiting.await
        }
    };
    let verdict = match result {
        Ok(place) => Verdict::Granted {
            decode: place.decode.hand_over(),
            prefill: place.prefill.map(crate::state::UseGuard::hand_over),
        },
        Err(refused) => Verdict::Refused {
            retry_after_ms: refused.retry_after_ms,
        },
    };
    let decided = Asked::Decided {
        verdict: verdict.clone(),
        life_deadline_ms: clock::now().after(ANSWER_LIFE_MS),
    };
    locked(&gateway.broker.peers).insert(key, decided);
    gateway.tell(from, &Message::Answer(Answer { ticket, verdict }));
}

/// Takes back a place that a peer no longer uses.
pub fn take_release(gateway: &Gateway, release: &Release) {
    let now = clock::now();
    {
        let mut beliefs = gateway.beliefs();
        let released =
            beliefs
                .exchange
                .release(&release.instance, release.ticket, &release.upstream, now);
        if let Some(used) = released {
            let configuration = gateway.configuration.load();
            beliefs.note_place_ended(&configuration, &release.upstream, used, release.result);
        }
        let outcome = match release.result {
            Result::Used => {
                beliefs.records.record_freed(&release.upstream);
                None
            }
            Result::Full => Some(Outcome::Full),
            Result::Unreachable => Some(Outcome::Unreachable),
            Result::Replaced => Some(Outcome::Replaced),
            Result::Unknown => Some(Outcome::Unknown),
        };
        if let Some(outcome) = outcome {
            beliefs
                .records
                .record_outcome(&release.upstream, outcome, now);
        }
    }
    gateway.lines.slot_freed();
}

/// Takes back the question of a peer whose request has left.
pub fn take_withdrawal(gateway: &Gateway, instance: &Arc<str>, ticket: u64) {
    let asked = locked(&gateway.broker.peers).remove(&(instance.clone(), ticket));
    if let Some(Asked::Waiting(task)) = asked {
        task.abort();
    }
}
