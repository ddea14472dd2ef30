//! Delivery of messages to nodes and the platform, and the checks at each dispatch and refusal.

use dogwoodpier_core::TimeMs;
use dogwoodpier_core::claims::ClaimAttempt;
use dogwoodpier_core::claims::ClaimDecision;
use dogwoodpier_core::claims::ClaimProgress;
use dogwoodpier_core::claims::GroupWrite;
use dogwoodpier_core::claims::RecordState;

use super::FINGERPRINTS;
use super::Fleet;
use super::WINDOW_MS;
use super::key;
use super::parts::Message;

impl Fleet {
    pub(super) fn receiver(&self, message: &Message) -> usize {
        match message {
            Message::Request(_, to) | Message::Ended(_, to, _) | Message::Replicate(_, to, _) => {
                *to
            }
            Message::ReplicationReply(to, ..)
            | Message::Write(to, _)
            | Message::WriteResult(to, ..) => to.0,
            Message::Answer(attempt, _) => self.attempts[*attempt].from.0,
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        let to = self.receiver(&message);
        // A write that was sent to the platform arrives there, whatever happens to its sender.
        if self.nodes[to].paused && !matches!(message, Message::Write(..)) {
            self.messages.push(message);
            return;
        }
        match message {
            Message::Request(attempt, to) => self.handle_request(attempt, to),
            Message::Ended(attempt, to, state) => self.handle_end(attempt, to, state),
            Message::Answer(attempt, decision) => self.handle_answer(attempt, &decision),
            Message::Replicate(from, to, message) => {
                let kept = self.nodes[to].replica.apply(&message, self.now);
                self.messages
                    .push(Message::ReplicationReply(from, message, kept));
            }
            Message::ReplicationReply(to, message, kept) if self.is_alive(to) => {
                if let Some(tenure) = &mut self.nodes[to.0].tenure {
                    tenure.replication_sent_ms = None;
                    tenure.table.handle_standby_reply(&message, kept);
                }
            }
            Message::Write(from, write) if !self.platform.down => {
                let result = self.write_group(&write);
                if !self.nodes[from.0].cut_off {
                    self.messages
                        .push(Message::WriteResult(from, write, result));
                }
            }
            Message::WriteResult(to, write, result) if self.is_alive(to) => {
                self.handle_write_result(to.0, &write, result);
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

    pub(super) fn handle_write_result(
        &mut self,
        to: usize,
        write: &GroupWrite,
        result: Result<u64, u64>,
    ) {
        let Some(tenure) = &mut self.nodes[to].tenure else {
            return;
        };
        // An answer after the timeout is dropped, as the platform client does.
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

    pub(super) fn handle_request(&mut self, attempt: usize, to: usize) {
        let now = self.now;
        let order_attempt = &self.attempts[attempt];
        let claim_attempt = ClaimAttempt {
            key: key(order_attempt.key),
            fingerprint: fingerprint(attempt),
            attempt_id: order_attempt.attempt.attempt_id,
        };
        let Some(tenure) = &mut self.nodes[to].tenure else {
            return;
        };
        let Some(held_version) = tenure.held_version(now) else {
            return;
        };
        match tenure.table.request(&claim_attempt, held_version, now) {
            ClaimProgress::Decided(decision) => {
                self.messages.push(Message::Answer(attempt, decision))
            }
            ClaimProgress::Recorded => tenure.waiting.push(attempt),
        }
    }

    pub(super) fn handle_end(&mut self, attempt: usize, to: usize, state: RecordState) {
        let now = self.now;
        let order_attempt = &self.attempts[attempt];
        let id = order_attempt.attempt.attempt_id;
        if let Some(tenure) = &mut self.nodes[to].tenure
            && let Some(held_version) = tenure.held_version(now)
        {
            let key = key(order_attempt.key);
            tenure.table.record(&key, id, state, held_version, now);
        }
    }

    pub(super) fn handle_answer(&mut self, attempt: usize, decision: &ClaimDecision) {
        let now = self.now;
        if !self.is_alive(self.attempts[attempt].from) {
            return;
        }
        let order_attempt = &mut self.attempts[attempt];
        let may_dispatch = !order_attempt.abandoned
            && !order_attempt.dispatched
            && order_attempt.attempt.may_dispatch(now);
        match decision {
            ClaimDecision::Granted if may_dispatch => {
                order_attempt.dispatched = true;
                self.check_dispatch(attempt);
            }
            ClaimDecision::Unavailable {
                never_dispatched: true,
                ..
            } => self.check_not_run(attempt),
            ClaimDecision::Recorded(_) => self.check_recorded(attempt),
            _ => {}
        }
    }

    // Checks that a key is dispatched at most once within a window.
    pub(super) fn check_dispatch(&mut self, attempt: usize) {
        let now = self.now;
        let key = self.attempts[attempt].key;
        let recent = |dispatched_ms: TimeMs| now.since(dispatched_ms) < WINDOW_MS;
        let earlier = self
            .dispatches
            .iter()
            .find(|(other, _, dispatched_ms)| *other == key && recent(*dispatched_ms));
        assert!(
            earlier.is_none(),
            "key {key} dispatched twice: {earlier:?} and attempt {attempt} at {now:?}"
        );
        self.dispatches.push((key, attempt, now));
    }

    // Checks that an attempt is told `never_dispatched` only if no dispatch of its key from before the
    // request is still within the window.
    pub(super) fn check_not_run(&self, attempt: usize) {
        let order_attempt = &self.attempts[attempt];
        let requested_ms = order_attempt.requested_ms;
        let ran = self.dispatches.iter().find(|(key, _, dispatched_ms)| {
            *key == order_attempt.key
                && *dispatched_ms < requested_ms
                && self.now.since(*dispatched_ms) < WINDOW_MS
        });
        assert!(
            ran.is_none(),
            "attempt {attempt} was told never_dispatched after dispatch {ran:?}"
        );
    }

    // Checks that an attempt is told only the outcome of the same order.
    pub(super) fn check_recorded(&self, attempt: usize) {
        let key = self.attempts[attempt].key;
        let mut dispatches = self.dispatches.iter();
        let is_same = |other: usize| fingerprint(other) == fingerprint(attempt);
        assert!(
            dispatches.any(|(other_key, other, _)| *other_key == key && is_same(*other)),
            "attempt {attempt} was told the outcome of another order with key {key}"
        );
    }
}

// Returns the fingerprint of an attempt's order. Some callers use a key for two orders.
fn fingerprint(attempt: usize) -> u64 {
    FINGERPRINTS[attempt % FINGERPRINTS.len()]
}
