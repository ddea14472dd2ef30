//! Members of the fleet, by the platform's list, registrations and heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_derive::plain;
use dogwoodpier_proto::NodeInfo;

// A new member is kept for this long even if the platform's list, which lags, doesn't have it yet.
const LISTING_GRACE_MS: u64 = 30_000;

/// The known members of the fleet besides this node.
pub struct Members {
    own_instance: Arc<str>,
    member_timeout_ms: u64,
    by_instance: BTreeMap<String, Member>,
}

#[plain]
struct Member {
    info: NodeInfo,
    // Time of the last heartbeat from it, absent until the first.
    last_heartbeat_ms: Option<TimeMs>,
    // Times of the last call to it that was answered, and of the last that was made.
    answered_ms: Option<TimeMs>,
    called_ms: Option<TimeMs>,
    // Time of the last call to it that was not answered.
    failed_ms: Option<TimeMs>,
    listed: bool,
    // Until then the member is kept even if the platform's list doesn't have it.
    listing_deadline_ms: TimeMs,
}

impl Members {
    /// Returns an empty set. Entries of `own_instance` are never added, since a node is no peer of
    /// itself. A member counts as alive for `member_timeout_ms` after a heartbeat.
    pub fn new(own_instance: Arc<str>, member_timeout_ms: u64) -> Self {
        Self {
            own_instance,
            member_timeout_ms,
            by_instance: BTreeMap::new(),
        }
    }

    /// Applies the platform's list. It adds and removes members but doesn't prove them alive.
    pub fn update_listed(&mut self, nodes: Vec<NodeInfo>, now: TimeMs) {
        for member in self.by_instance.values_mut() {
            member.listed = false;
        }
        for info in nodes {
            match self
                .by_instance
                .get_mut(&info.id.clone().unwrap_or_default().instance)
            {
                Some(member) => {
                    member.listed = true;
                    // The address from a recent heartbeat is newer than the list's.
                    if member.heartbeat_timed_out(now, self.member_timeout_ms) {
                        member.info.peer_address = info.peer_address;
                    }
                }
                None => self.add(info, None, true, now),
            }
        }
        let timeout_ms = self.member_timeout_ms;
        self.by_instance.retain(|_, member| {
            let in_grace = now < member.listing_deadline_ms;
            member.listed || in_grace || !member.heartbeat_timed_out(now, timeout_ms)
        });
    }

    /// Applies a registration. It names the newest incarnation of an instance but doesn't prove it
    /// alive, since the object outlives the process.
    pub fn record_registration(&mut self, info: NodeInfo, now: TimeMs) {
        let id = info.id.clone().unwrap_or_default();
        match self.by_instance.get_mut(&id.instance) {
            Some(member) if member.incarnation() == id.incarnation => {}
            // Registrations of one instance arrive in order, so this one is newer than the last. A
            // recent heartbeat of the member itself is newer still and takes precedence.
            Some(member) if member.heartbeat_timed_out(now, self.member_timeout_ms) => {
                member.info = info;
            }
            Some(_) => {}
            None => self.add(info, None, false, now),
        }
    }

    /// Applies the sender's description in a heartbeat or in the answer to one.
    pub fn record_heartbeat(&mut self, info: NodeInfo, now: TimeMs) {
        let instance = info.id.clone().unwrap_or_default().instance;
        match self.by_instance.get_mut(&instance) {
            Some(member) => {
                member.info = info;
                member.last_heartbeat_ms = Some(now);
            }
            None => self.add(info, Some(now), false, now),
        }
    }

    /// Adds a node that another member knows, unless it is known already.
    pub fn add_known(&mut self, info: NodeInfo, now: TimeMs) {
        let instance = info.id.clone().unwrap_or_default().instance;
        if !self.by_instance.contains_key(&instance) {
            self.add(info, None, false, now);
        }
    }

    /// Records that a call to the member is about to be made.
    pub fn record_call_started(&mut self, instance: &str, now: TimeMs) {
        if let Some(member) = self.by_instance.get_mut(instance) {
            member.called_ms = Some(now);
        }
    }

    /// Records that a call to the member was made, and whether it was answered.
    pub fn record_call(&mut self, instance: &str, answered: bool, now: TimeMs) {
        if let Some(member) = self.by_instance.get_mut(instance) {
            member.called_ms = Some(now);
            if answered {
                member.answered_ms = Some(now);
            } else {
                member.failed_ms = Some(now);
            }
        }
    }

    /// Returns the members that are presumed alive and not draining: those with a recent heartbeat,
    /// and those in the platform's list unless a call to them has failed since their last heartbeat.
    /// The list is needed since a node of a large fleet gets heartbeats of only some members, while
    /// all nodes must work with the same members to choose the same ones.
    pub fn alive(&self, now: TimeMs) -> Vec<NodeInfo> {
        self.by_instance
            .values()
            .filter(|member| !member.info.draining)
            .filter(|member| member.presumed_alive(now, self.member_timeout_ms))
            .map(|member| member.info.clone())
            .collect()
    }

    /// Returns all members.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.by_instance
            .values()
            .map(|member| member.info.clone())
            .collect()
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.by_instance.len()
    }

    /// Returns whether an incarnation may still be running.
    pub fn may_be_running(&self, incarnation: u64, silence_ms: u64, now: TimeMs) -> bool {
        self.by_instance.values().any(|member| {
            let unresponsive =
                member.heartbeat_timed_out(now, silence_ms) && member.failed_since_heartbeat();
            member.incarnation() == incarnation && !unresponsive
        })
    }

    /// Returns how many members were called within the last `member_timeout_ms`.
    pub fn recently_called_count(&self, now: TimeMs) -> usize {
        let is_recent = |time_ms: TimeMs| now.since(time_ms) <= self.member_timeout_ms;
        self.by_instance
            .values()
            .filter(|member| member.called_ms.is_some_and(is_recent))
            .count()
    }

    /// Returns the share of the members called within the last `member_timeout_ms` that answered in
    /// that time, `None` if none was called.
    pub fn answered_share(&self, now: TimeMs) -> Option<f64> {
        let window_ms = self.member_timeout_ms;
        let is_recent =
            |time_ms: Option<TimeMs>| time_ms.is_some_and(|t| now.since(t) <= window_ms);
        let called = self
            .by_instance
            .values()
            .filter(|member| is_recent(member.called_ms))
            .count();
        let answered = self
            .by_instance
            .values()
            .filter(|member| is_recent(member.answered_ms))
            .count();
        (called > 0).then(|| answered as f64 / called as f64)
    }

    /// Returns the state as JSON.
    pub fn dump(&self, now: TimeMs) -> serde_json::Value {
        let age_ms = |time_ms: Option<TimeMs>| time_ms.map(|time_ms| now.since(time_ms));
        self.by_instance
            .iter()
            .map(|(instance, member)| {
                serde_json::json!({
                    "instance": instance,
                    "peer_address": member.info.peer_address,
                    "data_centre": member.info.data_centre,
                    "draining": member.info.draining,
                    "listed": member.listed,
                    "heard_age_ms": age_ms(member.last_heartbeat_ms),
                    "answered_age_ms": age_ms(member.answered_ms),
                })
            })
            .collect()
    }

    fn add(
        &mut self,
        info: NodeInfo,
        last_heartbeat_ms: Option<TimeMs>,
        listed: bool,
        now: TimeMs,
    ) {
        let instance = info.id.clone().unwrap_or_default().instance;
        if instance == *self.own_instance {
            return;
        }
        let member = Member {
            info,
            last_heartbeat_ms,
            answered_ms: None,
            called_ms: None,
            failed_ms: None,
            listed,
            listing_deadline_ms: now.after(LISTING_GRACE_MS),
        };
        self.by_instance.insert(instance, member);
    }
}

impl Member {
    fn presumed_alive(&self, now: TimeMs, timeout_ms: u64) -> bool {
        !self.heartbeat_timed_out(now, timeout_ms)
            || (self.listed && !self.failed_since_heartbeat())
    }

    fn failed_since_heartbeat(&self) -> bool {
        self.failed_ms.is_some_and(|failed_ms| {
            self.last_heartbeat_ms
                .is_none_or(|last_heartbeat_ms| failed_ms > last_heartbeat_ms)
        })
    }

    fn incarnation(&self) -> u64 {
        self.info.id.as_ref().map_or(0, |id| id.incarnation)
    }

    fn heartbeat_timed_out(&self, now: TimeMs, timeout_ms: u64) -> bool {
        self.last_heartbeat_ms
            .is_none_or(|last_heartbeat_ms| now.since(last_heartbeat_ms) > timeout_ms)
    }
}
