//! Members of the fleet: the platform's list joined with heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use dogwoodpier_core::TimeMs;
use dogwoodpier_derive::plain;
use dogwoodpier_proto::NodeInfo;

// Longest lag of the platform's list that does no harm.
const LISTING_GRACE_MS: u64 = 30_000;

/// What is known of the other nodes.
pub struct Members {
    own_instance: Arc<str>,
    member_timeout_ms: u64,
    by_instance: BTreeMap<String, Member>,
}

#[plain]
struct Member {
    info: NodeInfo,
    // Absent until the first sign of life.
    heard_ms: Option<TimeMs>,
    // The last call to it that was answered, and the last that was made.
    answered_ms: Option<TimeMs>,
    tried_ms: Option<TimeMs>,
    // The last call to it that was not answered.
    failed_ms: Option<TimeMs>,
    listed: bool,
    // Until then the member is kept though the lagging list may not have it yet.
    listing_deadline_ms: TimeMs,
}

impl Members {
    /// Returns an empty set. It never takes in `own_instance`, which is no peer of itself. A member
    /// counts as alive for `member_timeout_ms` after a sign of life.
    pub fn new(own_instance: Arc<str>, member_timeout_ms: u64) -> Self {
        Self {
            own_instance,
            member_timeout_ms,
            by_instance: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list. It adds and removes addresses but is no sign of life.
    pub fn take_listed(&mut self, nodes: Vec<NodeInfo>, now: TimeMs) {
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
                    // A heartbeat's address is newer than the list's, unless the member is silent.
                    if member.silent(now, self.member_timeout_ms) {
                        member.info.peer_address = info.peer_address;
                    }
                }
                None => self.add(info, None, true, now),
            }
        }
        let timeout_ms = self.member_timeout_ms;
        self.by_instance.retain(|_, member| {
            let new = now < member.listing_deadline_ms;
            member.listed || new || !member.silent(now, timeout_ms)
        });
    }

    /// Takes in a registration. It names the newest incarnation of an instance, but is no sign of
    /// life, since the object outlives the process.
    pub fn take_registered(&mut self, info: NodeInfo, now: TimeMs) {
        let id = info.id.clone().unwrap_or_default();
        match self.by_instance.get_mut(&id.instance) {
            Some(member) if member.incarnation() == id.incarnation => {}
            // Registrations of one instance arrive in order, so this one is later. Yet what the
            // member itself has said lately is later still.
            Some(member) if member.silent(now, self.member_timeout_ms) => {
                member.info = info;
            }
            Some(_) => {}
            None => self.add(info, None, false, now),
        }
    }

    /// Takes in a sign of life from the node itself.
    pub fn take_heard(&mut self, info: NodeInfo, now: TimeMs) {
        let instance = info.id.clone().unwrap_or_default().instance;
        match self.by_instance.get_mut(&instance) {
            Some(member) => {
                member.info = info;
                member.heard_ms = Some(now);
            }
            None => self.add(info, Some(now), false, now),
        }
    }

    /// Takes in a node that another member knows.
    pub fn take_known(&mut self, info: NodeInfo, now: TimeMs) {
        let instance = info.id.clone().unwrap_or_default().instance;
        if !self.by_instance.contains_key(&instance) {
            self.add(info, None, false, now);
        }
    }

    /// Notes that a call to the member is about to be made.
    pub fn note_tried(&mut self, instance: &str, now: TimeMs) {
        if let Some(member) = self.by_instance.get_mut(instance) {
            member.tried_ms = Some(now);
        }
    }

    /// Notes that a call to the member was made, and whether it was answered.
    pub fn note_call(&mut self, instance: &str, answered: bool, now: TimeMs) {
        if let Some(member) = self.by_instance.get_mut(instance) {
            member.tried_ms = Some(now);
            if answered {
                member.answered_ms = Some(now);
            } else {
                member.failed_ms = Some(now);
            }
        }
    }

    /// Returns the members that are presumed alive and not draining: those heard lately, and
    /// listed ones of which nothing speaks against it. In a large fleet a node hears only a part
    /// of the others, and all must presume the same members to pick the same ones.
    pub fn alive(&self, now: TimeMs) -> Vec<NodeInfo> {
        self.by_instance
            .values()
            .filter(|member| !member.info.draining)
            .filter(|member| member.presumed_alive(now, self.member_timeout_ms))
            .map(|member| member.info.clone())
            .collect()
    }

    /// Returns every member that there is an address of.
    pub fn all(&self) -> Vec<NodeInfo> {
        self.by_instance
            .values()
            .map(|member| member.info.clone())
            .collect()
    }

    /// Returns how many members there are addresses of.
    pub fn count(&self) -> usize {
        self.by_instance.len()
    }

    /// Returns whether an incarnation may still live.
    pub fn may_live(&self, incarnation: u64, silence_ms: u64, now: TimeMs) -> bool {
        self.by_instance.values().any(|member| {
            let silent = member.silent(now, silence_ms) && member.failed_since_heard();
            member.incarnation() == incarnation && !silent
        })
    }

    /// Returns how many members were tried lately.
    pub fn tried(&self, now: TimeMs) -> usize {
        let tried_lately = |time_ms: TimeMs| now.since(time_ms) <= self.member_timeout_ms;
        self.by_instance
            .values()
            .filter(|member| member.tried_ms.is_some_and(tried_lately))
            .count()
    }

    /// Returns the share of the members tried lately that answered.
    pub fn reach(&self, now: TimeMs) -> Option<f64> {
        let window_ms = self.member_timeout_ms;
        let recent = |time_ms: Option<TimeMs>| time_ms.is_some_and(|t| now.since(t) <= window_ms);
        let tried = self
            .by_instance
            .values()
            .filter(|member| recent(member.tried_ms))
            .count();
        let answered = self
            .by_instance
            .values()
            .filter(|member| recent(member.answered_ms))
            .count();
        (tried > 0).then(|| answered as f64 / tried as f64)
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
                    "heard_age_ms": age_ms(member.heard_ms),
                    "answered_age_ms": age_ms(member.answered_ms),
                })
            })
            .collect()
    }

    fn add(&mut self, info: NodeInfo, heard_ms: Option<TimeMs>, listed: bool, now: TimeMs) {
        let instance = info.id.clone().unwrap_or_default().instance;
        if instance == *self.own_instance {
            return;
        }
        let member = Member {
            info,
            heard_ms,
            answered_ms: None,
            tried_ms: None,
            failed_ms: None,
            listed,
            listing_deadline_ms: now.after(LISTING_GRACE_MS),
        };
        self.by_instance.insert(instance, member);
    }
}

impl Member {
    fn presumed_alive(&self, now: TimeMs, timeout_ms: u64) -> bool {
        !self.silent(now, timeout_ms) || (self.listed && !self.failed_since_heard())
    }

    fn failed_since_heard(&self) -> bool {
        self.failed_ms
            .is_some_and(|failed_ms| self.heard_ms.is_none_or(|heard_ms| failed_ms > heard_ms))
    }

    fn incarnation(&self) -> u64 {
        self.info.id.as_ref().map_or(0, |id| id.incarnation)
    }

    fn silent(&self, now: TimeMs, timeout_ms: u64) -> bool {
        self.heard_ms
            .is_none_or(|heard_ms| now.since(heard_ms) > timeout_ms)
    }
}
