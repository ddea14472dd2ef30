//! A model of three nodes that share one slot, around the real decisions on claims.

mod messages;
mod parts;
mod slot;

use std::collections::BTreeMap;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::Attempt;
use dogwoodpier_core::claims::ClaimDecision;
use dogwoodpier_core::claims::ClaimKey;
use dogwoodpier_core::claims::ClaimSettings;
use dogwoodpier_core::claims::Outcome;
use dogwoodpier_core::claims::RecordState;

use self::parts::Life;
use self::parts::Message;
use self::parts::Node;
use self::parts::Platform;
use self::parts::Tried;

/// Nodes.
pub const NODES: usize = 3;
/// Keys that orders come with.
pub const KEYS: usize = 2;
const FINGERPRINT: u64 = 7;
/// Length of the standby's promise.
pub const PROMISE_MS: u64 = 3_000;
const CALL_TIMEOUT_MS: u64 = 1_000;
const WINDOW_MS: u64 = 20_000;
const DISPATCH_MS: u64 = 5_000;
const LONG_LEASE_MS: u64 = 12_000;
const GROUP_BYTES: usize = 100;
const WRITE_INTERVAL_MS: u64 = 200;

/// What happens next. Indices of attempts and messages are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Step {
    /// Everything that is due happens and every message arrives.
    Run,
    Ask(usize, usize),
    AskAgain(usize, usize),
    GiveUp(usize),
    Finish(usize),
    Work(usize),
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Renew(usize),
    ReplaceStandby(usize, usize),
    TakeOver(usize),
    /// Whether the successor hears of the claims; whether the slot is written.
    HandOver(bool, bool),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Outage(bool),
    CutOff(usize, bool),
    Wait(u64),
    /// The holder dies or is paused, and its standby takes over once its promise has run out.
    FailOver(bool),
    /// The platform answers, every node runs, and everything that is due happens.
    Heal,
    /// Every copy of claims that is on its way to the standby is lost, or to the platform.
    LoseCopies(bool),
    /// Every ask and answer arrives, but no copy of claims.
    DeliverAnswers,
}

/// The nodes, the platform and what is on its way between them.
pub struct Fleet {
    now: TimeMs,
    platform: Platform,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    attempts: Vec<Tried>,
    /// Key, attempt and time of each dispatch.
    pub dispatches: Vec<(usize, usize, TimeMs)>,
}

fn key(index: usize) -> ClaimKey {
    ClaimKey {
        workspace: "ograde".into(),
        idempotency_key: format!("order-{index}").into(),
    }
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        window_ms: WINDOW_MS,
        dispatch_ms: DISPATCH_MS,
        max_keys: 1_000,
        max_outcome_bytes: 10,
    }
}

impl Fleet {
    pub fn new() -> Self {
        let now = TimeMs(1_000_000);
        let mut fleet = Self {
            now,
            platform: Platform {
                down: false,
                revision: 0,
                version: 0,
                changed_ms: now,
                holder: Life(0, 0),
                standby: Life(1, 0),
                groups: BTreeMap::new(),
            },
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            messages: Vec::new(),
            attempts: Vec::new(),
            dispatches: Vec::new(),
        };
        fleet.become_holder(Life(0, 0), Life(1, 0));
        fleet.renew(0);
        fleet
    }

    fn life(&self, node: usize) -> Life {
        Life(node, self.nodes[node].incarnation)
    }

    fn lives(&self, life: Life) -> bool {
        self.life(life.0) == life
    }

    fn reaches_platform(&self, node: usize) -> bool {
        !self.platform.down && !self.nodes[node].cut_off && !self.nodes[node].paused
    }

    fn ask(&mut self, key: usize, at: usize) {
        if self.nodes[at].paused {
            return;
        }
        let index = self.attempts.len();
        self.attempts.push(Tried {
            key,
            from: self.life(at),
            attempt: Attempt::new(index as u64 + 1, DISPATCH_MS, self.now),
            asked_ms: self.now,
            given_up: false,
            dispatched: false,
        });
        self.messages
            .push(Message::Ask(index, self.platform.holder.0));
    }

    fn ask_again(&mut self, attempt: usize, to: usize) {
        let tried = &self.attempts[attempt];
        if self.lives(tried.from) && !self.nodes[tried.from.0].paused && !tried.given_up {
            self.messages.push(Message::Ask(attempt, to));
        }
    }

    fn give_up(&mut self, attempt: usize) {
        let from = self.attempts[attempt].from;
        if self.attempts[attempt].dispatched || !self.lives(from) || self.nodes[from.0].paused {
            return;
        }
        self.attempts[attempt].given_up = true;
        let to = self.platform.holder.0;
        self.messages
            .push(Message::Ended(attempt, to, RecordState::NotRun));
    }

    fn finish(&mut self, attempt: usize) {
        let tried = &self.attempts[attempt];
        if !tried.dispatched || !self.lives(tried.from) {
            return;
        }
        let outcome = Outcome {
            status: 200,
            headers: Vec::new(),
            body: Some(b"done".to_vec()),
        };
        let to = self.platform.holder.0;
        self.messages
            .push(Message::Ended(attempt, to, RecordState::Finished(outcome)));
    }

    // What a holder does by itself: copies records, and answers asks that can be decided.
    fn work(&mut self, node: usize) {
        let now = self.now;
        let from = self.life(node);
        let Some(tenure) = &mut self.nodes[node].tenure else {
            return;
        };
        let overdue = |sent_ms: Option<TimeMs>| {
            sent_ms.is_some_and(|sent_ms| now.since(sent_ms) > CALL_TIMEOUT_MS)
        };
        if overdue(tenure.keep_sent_ms) {
            tenure.keep_sent_ms = None;
        }
        if overdue(tenure.write_sent_ms) {
            tenure.write_sent_ms = None;
            tenure.groups.handle_write_unknown();
        }
        if tenure.keep_sent_ms.is_none()
            && let Some(message) = tenure.table.replication_message(tenure.version, now)
        {
            tenure.keep_sent_ms = Some(now);
            self.messages
                .push(Message::Keep(from, tenure.standby.0, message));
        }
        if let Some(write) = tenure.groups.next_write(&tenure.table, false, now) {
            tenure.write_sent_ms = Some(now);
            self.messages.push(Message::Write(from, write));
        }
        let held_version = tenure.held_version(now);
        for attempt in std::mem::take(&mut tenure.waiting) {
            let tried = &self.attempts[attempt];
            let id = tried.attempt.attempt_id;
            if tenure.table.may_grant(&key(tried.key), id, held_version) {
                self.messages
                    .push(Message::Answer(attempt, ClaimDecision::Granted));
            } else {
                tenure.waiting.push(attempt);
            }
        }
    }

    fn run(&mut self) {
        for _ in 0..4 {
            for node in (0..NODES)
                .filter(|node| !self.nodes[*node].paused)
                .collect::<Vec<_>>()
            {
                self.renew(node);
                self.work(node);
            }
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message);
            }
        }
    }

    fn fail_over(&mut self, dies: bool) {
        let (holder, standby) = (self.platform.holder.0, self.platform.standby.0);
        if dies {
            self.crash(holder);
        } else {
            self.nodes[holder].paused = true;
        }
        self.now = self.now.after(PROMISE_MS + 100);
        self.take_over(standby);
    }

    fn heal(&mut self) {
        self.platform.down = false;
        for node in &mut self.nodes {
            node.paused = false;
            node.cut_off = false;
        }
        self.run();
    }

    fn deliver_answers(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            if matches!(message, Message::Ask(..) | Message::Answer(..)) {
                self.deliver(message);
            } else {
                self.messages.push(message);
            }
        }
    }

    fn lose_copies(&mut self, to_standby: bool) {
        self.messages.retain(|message| match message {
            Message::Keep(..) => !to_standby,
            Message::Write(..) => to_standby,
            _ => true,
        });
    }

    pub fn apply(&mut self, step: &Step) {
        let attempts = self.attempts.len().max(1);
        let messages = self.messages.len().max(1);
        match *step {
            Step::Run => self.run(),
            Step::Ask(key, at) => self.ask(key, at),
            Step::Wait(wait_ms) => self.now = self.now.after(wait_ms),
            Step::Outage(down) => self.platform.down = down,
            Step::Renew(node) => self.renew(node),
            Step::ReplaceStandby(node, standby) => self.replace_standby(node, standby),
            Step::TakeOver(node) => self.take_over(node),
            Step::HandOver(told, written) => self.hand_over(told, written),
            Step::Crash(node) => self.crash(node),
            Step::Pause(node) => self.nodes[node].paused = true,
            Step::Resume(node) => self.nodes[node].paused = false,
            Step::Heal => self.heal(),
            Step::FailOver(dies) => self.fail_over(dies),
            Step::LoseCopies(to_standby) => self.lose_copies(to_standby),
            Step::DeliverAnswers => self.deliver_answers(),
            Step::CutOff(node, cut) => self.nodes[node].cut_off = cut,
            Step::Work(node) if !self.nodes[node].paused => self.work(node),
            _ if attempts > self.attempts.len() => {}
            Step::AskAgain(attempt, to) => self.ask_again(attempt % attempts, to),
            Step::GiveUp(attempt) => self.give_up(attempt % attempts),
            Step::Finish(attempt) => self.finish(attempt % attempts),
            _ if messages > self.messages.len() => {}
            Step::Deliver(message) => {
                let message = self.messages.remove(message % messages);
                self.deliver(message);
            }
            Step::Double(message) => {
                let message = self.messages[message % messages].clone();
                self.messages.push(message);
            }
            Step::Lose(message) => {
                self.messages.remove(message % messages);
            }
            Step::Work(_) => {}
        }
    }
}
