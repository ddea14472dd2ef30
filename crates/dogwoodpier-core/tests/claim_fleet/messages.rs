//! Messages between nodes and to the platform, and what answers mean to those who asked.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::ClaimAttempt;
use dogwoodpier_core::claims::ClaimDecision;
use dogwoodpier_core::claims::ClaimProgress;
use dogwoodpier_core::claims::GroupWrite;
use dogwoodpier_core::claims::RecordState;

use super::FINGERPRINT;
use super::Fleet;
use super::WINDOW_MS;
use super::key;
use super::parts::Message;

impl Fleet {
    pub(super) fn receiver(&self, message: &Message) -> usize {
        match message {
            Message::Ask(_, to) | Message::Ended(_, to, _) | Message::Keep(_, to, _) => *to,
            Message::Kept(to, ..) | Message::Write(to, _) | Message::Written(to, ..) => to.0,
            Message::Answer(attempt, _) => self.attempts[*attempt].from.0,
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
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
                let kept = self.nodes[to].copies.apply(&message, self.now);
                self.messages.push(Message::Kept(from, message, kept));
            }
            Message::Kept(to, message, kept) if self.lives(to) => {
                if let Some(tenure) = &mut self.nodes[to.0].tenure {
                    tenure.keep_sent_ms = None;
                    tenure.table.handle_standby_reply(&message, kept);
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

    pub(super) fn write_group(&mut self, write: &GroupWrite) -> Result<u64, u64> {
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

    pub(super) fn take_written(&mut self, to: usize, write: &GroupWrite, result: Result<u64, u64>) {
        let Some(tenure) = &mut self.nodes[to].tenure else {
            return;
        };
        // An answer after its timeout is dropped, as the client does.
        if tenure.write_sent_ms.take().is_none() {
            return;
        }
        match result {
            Ok(version) => tenure
                .groups
                .handle_written(&mut tenure.table, write, version),
            Err(version) => tenure.groups.handle_conflict(version),
        }
    }

    pub(super) fn take_ask(&mut self, attempt: usize, to: usize) {
        let now = self.now;
        let tried = &self.attempts[attempt];
        let ask = ClaimAttempt {
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
        match tenure.table.request(&ask, held_version, now) {
            ClaimProgress::Decided(verdict) => {
                self.messages.push(Message::Answer(attempt, verdict))
            }
            ClaimProgress::Recorded => tenure.waiting.push(attempt),
        }
    }

    pub(super) fn take_end(&mut self, attempt: usize, to: usize, state: RecordState) {
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

    pub(super) fn take_answer(&mut self, attempt: usize, verdict: &ClaimDecision) {
        let now = self.now;
        if !self.lives(self.attempts[attempt].from) {
            return;
        }
        let tried = &mut self.attempts[attempt];
        let may_dispatch = !tried.given_up && !tried.dispatched && tried.attempt.may_dispatch(now);
        match verdict {
            ClaimDecision::Granted if may_dispatch => {
                tried.dispatched = true;
                self.check_dispatch(attempt);
            }
            ClaimDecision::Unavailable {
                never_dispatched: true,
                ..
            } => self.check_not_run(attempt),
            _ => {}
        }
    }

    // The oracle: within a window, a key is dispatched once.
    pub(super) fn check_dispatch(&mut self, attempt: usize) {
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
    pub(super) fn check_not_run(&self, attempt: usize) {
        let tried = &self.attempts[attempt];
        let asked_ms = tried.asked_ms;
        let ran = self.dispatches.iter().find(|(key, _, at_ms)| {
            *key == tried.key && *at_ms < asked_ms && self.now.since(*at_ms) < WINDOW_MS
        });
        assert!(ran.is_none(), "not-run told of {attempt}, but {ran:?} ran");
    }
}
