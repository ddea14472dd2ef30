//! A model of three nodes that share one slot. The claim tables, groups and replicas are the real
//! ones.

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

use self::parts::Message;
use self::parts::Node;
use self::parts::NodeIncarnation;
use self::parts::OrderAttempt;
use self::parts::Platform;

/// Number of nodes.
pub const NODES: usize = 3;
/// Number of idempotency keys.
pub const KEYS: usize = 2;
// By the number of an attempt.
const FINGERPRINTS: [u64; 5] = [7, 7, 7, 8, 7];
/// Length of the standby's promise.
pub const PROMISE_MS: u64 = 3_000;
const CALL_TIMEOUT_MS: u64 = 1_000;
const WINDOW_MS: u64 = 20_000;
const DISPATCH_MS: u64 = 5_000;
const LONG_LEASE_MS: u64 = 12_000;
const GROUP_BYTES: usize = 100;
const WRITE_INTERVAL_MS: u64 = 200;

/// The next event. Indices of attempts and messages are taken modulo their current number.
#[derive(Clone, Debug)]
pub enum Step {
    /// Every running node does what is due, and every message is delivered.
    Run,
    /// Key, and the node that receives the order.
    Request(usize, usize),
    /// Attempt, and the node that is asked for the claim this time.
    RepeatRequest(usize, usize),
    Abandon(usize),
    Finish(usize),
    RunHolder(usize),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Renew(usize),
    ReplaceStandby(usize, usize),
    TakeOver(usize),
    /// Whether the successor receives the copies of the claims; whether the slot is written.
    HandOver(bool, bool),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Outage(bool),
    CutOff(usize, bool),
    Wait(u64),
    /// The holder crashes (true) or is paused (false), and its standby takes over once its promise has
    /// run out.
    FailOver(bool),
    /// The platform and all nodes work again, followed by [`Step::Run`].
    Heal,
    /// All copies of claims in flight to the standby (true) or to the platform (false) are lost.
    LoseCopies(bool),
    /// All requests for claims and answers to them are delivered, but no copies of claims.
    DeliverAnswers,
}

/// The nodes, the platform and the messages in flight between them.
pub struct Fleet {
    now: TimeMs,
    platform: Platform,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    attempts: Vec<OrderAttempt>,
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
                holder: NodeIncarnation(0, 0),
                standby: NodeIncarnation(1, 0),
                groups: BTreeMap::new(),
            },
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            messages: Vec::new(),
            attempts: Vec::new(),
            dispatches: Vec::new(),
        };
        fleet.become_holder(NodeIncarnation(0, 0), NodeIncarnation(1, 0));
        fleet.renew(0);
        fleet
    }

    fn incarnation_of(&self, node: usize) -> NodeIncarnation {
        NodeIncarnation(node, self.nodes[node].incarnation)
    }

    fn is_alive(&self, node: NodeIncarnation) -> bool {
        self.incarnation_of(node.0) == node
    }

    fn reaches_platform(&self, node: usize) -> bool {
        !self.platform.down && !self.nodes[node].cut_off && !self.nodes[node].paused
    }

    fn request(&mut self, key: usize, node: usize) {
        if self.nodes[node].paused {
            return;
        }
        let index = self.attempts.len();
        self.attempts.push(OrderAttempt {
            key,
            from: self.incarnation_of(node),
            attempt: Attempt::new(index as u64 + 1, DISPATCH_MS, self.now),
            requested_ms: self.now,
            abandoned: false,
            dispatched: false,
        });
        self.messages
            .push(Message::Request(index, self.platform.holder.0));
    }

    fn repeat_request(&mut self, attempt: usize, to: usize) {
        let order_attempt = &self.attempts[attempt];
        if self.is_alive(order_attempt.from)
            && !self.nodes[order_attempt.from.0].paused
            && !order_attempt.abandoned
        {
            self.messages.push(Message::Request(attempt, to));
        }
    }

    fn abandon(&mut self, attempt: usize) {
        let from = self.attempts[attempt].from;
        if self.attempts[attempt].dispatched || !self.is_alive(from) || self.nodes[from.0].paused {
            return;
        }
        self.attempts[attempt].abandoned = true;
        let to = self.platform.holder.0;
        self.messages
            .push(Message::Ended(attempt, to, RecordState::NotRun));
    }

    fn finish(&mut self, attempt: usize) {
        let order_attempt = &self.attempts[attempt];
        if !order_attempt.dispatched || !self.is_alive(order_attempt.from) {
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

    // Replicates a holder's records and answers the waiting requests that can be granted.
    fn run_holder(&mut self, node: usize) {
        let now = self.now;
        let from = self.incarnation_of(node);
        let Some(tenure) = &mut self.nodes[node].tenure else {
            return;
        };
        let overdue = |sent_ms: Option<TimeMs>| {
            sent_ms.is_some_and(|sent_ms| now.since(sent_ms) > CALL_TIMEOUT_MS)
        };
        if overdue(tenure.replication_sent_ms) {
            tenure.replication_sent_ms = None;
        }
        if overdue(tenure.write_sent_ms) {
            tenure.write_sent_ms = None;
            tenure.groups.handle_write_unknown();
        }
        if tenure.replication_sent_ms.is_none()
            && let Some(message) = tenure.table.replication_message(tenure.version, now)
        {
            tenure.replication_sent_ms = Some(now);
            self.messages
                .push(Message::Replicate(from, tenure.standby.0, message));
        }
        if let Some(write) = tenure.groups.next_write(&tenure.table, false, now) {
            tenure.write_sent_ms = Some(now);
            self.messages.push(Message::Write(from, write));
        }
        let held_version = tenure.held_version(now);
        for attempt in std::mem::take(&mut tenure.waiting) {
            let order_attempt = &self.attempts[attempt];
            let id = order_attempt.attempt.attempt_id;
            if tenure
                .table
                .may_grant(&key(order_attempt.key), id, held_version)
            {
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
                self.run_holder(node);
            }
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message);
            }
        }
    }

    fn fail_over(&mut self, crashes: bool) {
        let (holder, standby) = (self.platform.holder.0, self.platform.standby.0);
        if crashes {
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
            if matches!(message, Message::Request(..) | Message::Answer(..)) {
                self.deliver(message);
            } else {
                self.messages.push(message);
            }
        }
    }

    fn lose_copies(&mut self, to_standby: bool) {
        self.messages.retain(|message| match message {
            Message::Replicate(..) => !to_standby,
            Message::Write(..) => to_standby,
            _ => true,
        });
    }

    pub fn apply(&mut self, step: &Step) {
        let attempts = self.attempts.len().max(1);
        let messages = self.messages.len().max(1);
        match *step {
            Step::Run => self.run(),
            Step::Request(key, node) => self.request(key, node),
            Step::Wait(wait_ms) => self.now = self.now.after(wait_ms),
            Step::Outage(down) => self.platform.down = down,
            Step::Renew(node) => self.renew(node),
            Step::ReplaceStandby(node, standby) => self.replace_standby(node, standby),
            Step::TakeOver(node) => self.take_over(node),
            Step::HandOver(copied, written) => self.hand_over(copied, written),
            Step::Crash(node) => self.crash(node),
            Step::Pause(node) => self.nodes[node].paused = true,
            Step::Resume(node) => self.nodes[node].paused = false,
            Step::Heal => self.heal(),
            Step::FailOver(crashes) => self.fail_over(crashes),
            Step::LoseCopies(to_standby) => self.lose_copies(to_standby),
            Step::DeliverAnswers => self.deliver_answers(),
            Step::CutOff(node, cut_off) => self.nodes[node].cut_off = cut_off,
            Step::RunHolder(node) if !self.nodes[node].paused => self.run_holder(node),
            _ if attempts > self.attempts.len() => {}
            Step::RepeatRequest(attempt, to) => self.repeat_request(attempt % attempts, to),
            Step::Abandon(attempt) => self.abandon(attempt % attempts),
            Step::Finish(attempt) => self.finish(attempt % attempts),
            _ if messages > self.messages.len() => {}
            Step::Deliver(message) => {
                let message = self.messages.remove(message % messages);
                self.deliver(message);
            }
            Step::Duplicate(message) => {
                let message = self.messages[message % messages].clone();
                self.messages.push(message);
            }
            Step::Lose(message) => {
                self.messages.remove(message % messages);
            }
            Step::RunHolder(_) => {}
        }
    }
}
