//! A model of three nodes that share one slot, around the real decisions on claims.

mod parts;

use std::collections::BTreeMap;

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::Ask;
use dogwoodpier_core::claims::Asked;
use dogwoodpier_core::claims::Attempt;
use dogwoodpier_core::claims::ClaimKey;
use dogwoodpier_core::claims::ClaimSettings;
use dogwoodpier_core::claims::ClaimTable;
use dogwoodpier_core::claims::GroupWrite;
use dogwoodpier_core::claims::Groups;
use dogwoodpier_core::claims::Handover;
use dogwoodpier_core::claims::Outcome;
use dogwoodpier_core::claims::RecordState;
use dogwoodpier_core::claims::Verdict;

use self::parts::Life;
use self::parts::Message;
use self::parts::Node;
use self::parts::Platform;
use self::parts::Tenure;
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

    fn write_slot(&mut self, holder: Life, standby: Life) {
        let platform = &mut self.platform;
        platform.revision += 1;
        platform.version = platform.revision;
        platform.changed_ms = self.now;
        platform.holder = holder;
        platform.standby = standby;
    }

    // A conditional write of the slot, then the load of its claims.
    fn become_holder(&mut self, holder: Life, standby: Life) {
        let superseded_version = self.platform.version;
        self.write_slot(holder, standby);
        let now = self.now;
        let version = self.platform.version;
        let groups = self.platform.groups.values();
        let loaded = groups.flat_map(|group| group.1.records.clone()).collect();
        let node = &mut self.nodes[holder.0];
        let handover = match superseded_version {
            0 => Some(Handover::default()),
            version => node.copies.complete_at(version),
        };
        node.tenure = Some(Tenure {
            version,
            standby,
            act_deadline_ms: now,
            table: ClaimTable::take_over(settings(), superseded_version, loaded, handover, now),
            groups: Groups::new(0, GROUP_BYTES, WRITE_INTERVAL_MS),
            waiting: Vec::new(),
            keep_sent_ms: None,
            write_sent_ms: None,
        });
    }

    // A heartbeat: the standby promises before the holder counts on it.
    fn renew(&mut self, node: usize) {
        let now = self.now;
        let Some(tenure) = &self.nodes[node].tenure else {
            return;
        };
        let standby = tenure.standby;
        // A standby that has taken over promises nothing to the former holder.
        let superseded = self.platform.version != tenure.version;
        let silent = self.nodes[node].paused || self.nodes[standby.0].paused;
        if superseded || silent || !self.lives(standby) {
            return;
        }
        // The long lease bounds what a holder that is cut off from the platform may do.
        let lease_deadline_ms = self.platform.changed_ms.after(LONG_LEASE_MS);
        self.nodes[standby.0].promise_deadline_ms = now.after(PROMISE_MS);
        if let Some(tenure) = &mut self.nodes[node].tenure {
            tenure.act_deadline_ms = now.after(PROMISE_MS).min(lease_deadline_ms);
        }
    }

    fn replace_standby(&mut self, node: usize, standby: usize) {
        let holder = self.life(node);
        let may_write = self.reaches_platform(node) && self.platform.holder == holder;
        if !may_write || standby == node || self.nodes[standby].paused {
            return;
        }
        let standby = self.life(standby);
        self.nodes[standby.0].promise_deadline_ms = self.now.after(PROMISE_MS);
        self.write_slot(holder, standby);
        if let Some(tenure) = &mut self.nodes[node].tenure {
            tenure.version = self.platform.version;
            tenure.standby = standby;
        }
        self.renew(node);
    }

    fn take_over(&mut self, node: usize) {
        let life = self.life(node);
        let promise_deadline_ms = self.nodes[node].promise_deadline_ms;
        let as_standby = self.platform.standby == life && self.now >= promise_deadline_ms;
        let by_lease = self.now.since(self.platform.changed_ms) >= LONG_LEASE_MS;
        let holds = self.platform.holder == life;
        if self.reaches_platform(node) && !holds && (as_standby || by_lease) {
            self.become_holder(life, self.life((node + 1) % NODES));
            self.renew(node);
        }
    }

    fn hand_over(&mut self, told: bool, written: bool) {
        let node = self.platform.holder.0;
        let successor = (node + 2) % NODES;
        let version = self.platform.version;
        let holds = self.platform.holder == self.life(node);
        if !self.reaches_platform(node) || !holds || self.nodes[successor].paused {
            return;
        }
        let Some(tenure) = &mut self.nodes[node].tenure else {
            return;
        };
        let message = tenure.table.freeze(version, self.now);
        if told {
            self.nodes[successor].copies.keep(&message, self.now);
        }
        if told && !written && self.attempts.len().is_multiple_of(2) {
            // The successor confirms that it has dropped them; the holder goes on at once.
            self.nodes[successor].copies.withdraw(version);
            if let Some(tenure) = &mut self.nodes[node].tenure {
                tenure.table.thaw(version);
            }
        }
        if written {
            self.nodes[node].tenure = None;
            self.become_holder(self.life(successor), self.life(node));
            self.renew(successor);
        }
    }

    fn crash(&mut self, node: usize) {
        self.nodes[node] = Node {
            incarnation: self.nodes[node].incarnation + 1,
            cut_off: self.nodes[node].cut_off,
            ..Node::default()
        };
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
            tenure.groups.lost();
        }
        if tenure.keep_sent_ms.is_none()
            && let Some(message) = tenure.table.keep_message(tenure.version, now)
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
                    .push(Message::Answer(attempt, Verdict::Granted));
            } else {
                tenure.waiting.push(attempt);
            }
        }
    }

    fn receiver(&self, message: &Message) -> usize {
        match message {
            Message::Ask(_, to) | Message::Ended(_, to, _) | Message::Keep(_, to, _) => *to,
            Message::Kept(to, ..) | Message::Write(to, _) | Message::Written(to, ..) => to.0,
            Message::Answer(attempt, _) => self.attempts[*attempt].from.0,
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = self.receiver(&message);
        // What was sent to the platform arrives, whatever has become of the sender.
        if self.nodes[to].paused && !matches!(message, Message::Write(..)) {
            self.messages.push(message);
            return;
        }
        match message {
            Message::Ask(attempt, to) => self.take_ask(attempt, to),
            Message::Ended(attempt, to, state) => self.take_end(attempt, to, state),
            Message::Answer(attempt, verdict) => self.take_answer(attempt, &verdict),
            Message::Keep(from, to, message) => {
                let kept = self.nodes[to].copies.keep(&message, self.now);
                self.messages.push(Message::Kept(from, message, kept));
            }
            Message::Kept(to, message, kept) if self.lives(to) => {
                if let Some(tenure) = &mut self.nodes[to.0].tenure {
                    tenure.keep_sent_ms = None;
                    tenure.table.standby_answered(&message, kept);
                }
            }
            Message::Write(from, write) if !self.platform.down => {
                let result = self.write_group(&write);
                if !self.nodes[from.0].cut_off {
                    self.messages.push(Message::Written(from, write, result));
                }
            }
            Message::Written(to, write, result) if self.lives(to) => {
                self.take_written(to.0, &write, result);
            }
            _ => {}
        }
    }

    fn write_group(&mut self, write: &GroupWrite) -> Result<u64, u64> {
        let platform = &mut self.platform;
        let current = platform.groups.get(&write.name).map_or(0, |group| group.0);
        if current != write.expected_version {
            return Err(current);
        }
        platform.revision += 1;
        let group = (platform.revision, write.content.clone());
        platform.groups.insert(write.name.clone(), group);
        Ok(platform.revision)
    }

    fn take_written(&mut self, to: usize, write: &GroupWrite, result: Result<u64, u64>) {
        let Some(tenure) = &mut self.nodes[to].tenure else {
            return;
        };
        // An answer after its timeout is dropped, as the client does.
        if tenure.write_sent_ms.take().is_none() {
            return;
        }
        match result {
            Ok(version) => tenure.groups.written(&mut tenure.table, write, version),
            Err(version) => tenure.groups.conflicted(version),
        }
    }

    fn take_ask(&mut self, attempt: usize, to: usize) {
        let now = self.now;
        let tried = &self.attempts[attempt];
        let ask = Ask {
            key: key(tried.key),
            fingerprint: FINGERPRINT,
            attempt_id: tried.attempt.attempt_id,
        };
        let Some(tenure) = &mut self.nodes[to].tenure else {
            return;
        };
        let Some(held_version) = tenure.held_version(now) else {
            return;
        };
        match tenure.table.ask(&ask, held_version, now) {
            Asked::Answer(verdict) => self.messages.push(Message::Answer(attempt, verdict)),
            Asked::Recorded => tenure.waiting.push(attempt),
        }
    }

    fn take_end(&mut self, attempt: usize, to: usize, state: RecordState) {
        let now = self.now;
        let tried = &self.attempts[attempt];
        let id = tried.attempt.attempt_id;
        if let Some(tenure) = &mut self.nodes[to].tenure
            && let Some(held_version) = tenure.held_version(now)
        {
            let key = key(tried.key);
            tenure.table.record(&key, id, state, held_version, now);
        }
    }

    fn take_answer(&mut self, attempt: usize, verdict: &Verdict) {
        let now = self.now;
        if !self.lives(self.attempts[attempt].from) {
            return;
        }
        let tried = &mut self.attempts[attempt];
        let may_dispatch = !tried.given_up && !tried.dispatched && tried.attempt.may_dispatch(now);
        match verdict {
            Verdict::Granted if may_dispatch => {
                tried.dispatched = true;
                self.check_dispatch(attempt);
            }
            Verdict::Unavailable {
                never_dispatched: true,
                ..
            } => self.check_not_run(attempt),
            _ => {}
        }
    }

    // The oracle: within a window, a key is dispatched once.
    fn check_dispatch(&mut self, attempt: usize) {
        let now = self.now;
        let key = self.attempts[attempt].key;
        let recent = |at_ms: TimeMs| now.since(at_ms) < WINDOW_MS;
        let earlier = self
            .dispatches
            .iter()
            .find(|(other, _, at_ms)| *other == key && recent(*at_ms));
        assert!(
            earlier.is_none(),
            "key {key} dispatched twice: {earlier:?} and attempt {attempt} at {now:?}"
        );
        self.dispatches.push((key, attempt, now));
    }

    // `not-run` is said of a key only if nothing was dispatched with it before the attempt.
    fn check_not_run(&self, attempt: usize) {
        let tried = &self.attempts[attempt];
        let asked_ms = tried.asked_ms;
        let ran = self.dispatches.iter().find(|(key, _, at_ms)| {
            *key == tried.key && *at_ms < asked_ms && self.now.since(*at_ms) < WINDOW_MS
        });
        assert!(ran.is_none(), "not-run told of {attempt}, but {ran:?} ran");
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
