//! The upstreams that are known to an instance.
//!
//! Entries come from a store that may be unavailable. During an outage the last known entries stay
//! valid. Entries may expire in the store in the meantime, so an upstream whose entry is missing
//! just after an outage is kept for a grace period before it is removed. A store that was restored
//! from a copy may also have the entries of upstreams that have left since the copy was made.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::evacuations::Evacuations;

/// Work that a model engine does.
#[plain]
#[derive(Copy, Eq)]
pub enum Stage {
    /// Computes the KV cache of prompts for other engines.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Both prefills and decodes.
    Colocated,
}

/// An upstream as described by its entry in the store.
#[plain]
#[derive(Eq)]
pub struct Upstream {
    /// Identifier of the entry.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Version of its software.
    pub software_version: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub accepts_work: bool,
    /// Present if the upstream is a model engine.
    pub stage: Option<Stage>,
    /// Wall-clock time at which it started, if known. A different value means a different
    /// incarnation.
    pub started_unix_ms: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    // Set while the entry is missing from the store and this may be due to an outage.
    removal_deadline_ms: Option<TimeMs>,
    // Set while the upstream is known to have left and a restored store has its entry again.
    held_back: Option<HeldBack>,
}

// The entry of an upstream that gets no requests until its writer has confirmed it.
#[derive(Debug)]
struct HeldBack {
    upstream: Upstream,
    deadline_ms: TimeMs,
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    entries: BTreeMap<Arc<str>, Entry>,
    // Upstreams known to be draining from their entries, their own answers or a peer's report, with
    // the start time of their incarnation. Their entries may show it later or never, or no more once
    // the store was restored from a copy.
    draining_incarnations: BTreeMap<Arc<str>, Option<u64>>,
    // Incarnations whose entries were removed, the latest last.
    left: VecDeque<(Arc<str>, Option<u64>)>,
    /// Evacuated data centres, whose upstreams receive no new requests.
    pub evacuations: Evacuations,
}

// Number of draining incarnations above which those without an entry are dropped.
const MAX_DRAINING_INCARNATIONS: usize = 1_000;
// Several times the upstreams that leave a large service within the age of a copy of the store.
const MAX_LEFT: usize = 500;

impl Upstreams {
    /// Returns the ids of the upstreams that `upstream` has replaced: those with the same address
    /// that started before it.
    pub fn replaced_by(&self, upstream: &Upstream) -> Vec<Arc<str>> {
        let started_before =
            |other: &Upstream| match (other.started_unix_ms, upstream.started_unix_ms) {
                (Some(other), Some(own)) => other < own,
                _ => false,
            };
        self.all()
            .filter(|other| other.id != upstream.id && other.address == upstream.address)
            .filter(|other| started_before(other))
            .map(|other| other.id.clone())
            .collect()
    }

    /// Adds or replaces an upstream. Returns whether anything changed.
    pub fn upsert(&mut self, mut upstream: Upstream) -> bool {
        let id = upstream.id.clone();
        self.left.retain(|(left, _)| *left != id);
        match self.draining_incarnations.get(&id) {
            // An incarnation that is draining never accepts requests again, even if its entry
            // states that it does.
            Some(started_unix_ms) if *started_unix_ms == upstream.started_unix_ms => {
                upstream.accepts_work = false;
            }
            Some(_) => {
                self.draining_incarnations.remove(&id);
            }
            None => {}
        }
        // Incarnations without a start time can't be told apart.
        if !upstream.accepts_work && upstream.started_unix_ms.is_some() {
            self.record_draining(&id, upstream.started_unix_ms);
        }
        if let Some(entry) = self.entries.get_mut(&id)
            && *entry.upstream == upstream
        {
            entry.held_back = None;
            return entry.removal_deadline_ms.take().is_some();
        }
        let entry = Entry {
            upstream: Arc::new(upstream),
            removal_deadline_ms: None,
            held_back: None,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Marks an incarnation of an upstream as draining, so that it receives no new requests, unless
    /// another incarnation is known. Returns whether a known upstream accepted requests until now.
    pub fn mark_draining(&mut self, id: &str, started_unix_ms: Option<u64>) -> bool {
        let entry = self.entries.get_mut(id);
        if entry
            .as_ref()
            .is_some_and(|entry| entry.upstream.started_unix_ms != started_unix_ms)
        {
            return false;
        }
        let has_changed = entry.is_some_and(|entry| {
            let accepts_work = entry.upstream.accepts_work;
            Arc::make_mut(&mut entry.upstream).accepts_work = false;
            accepts_work
        });
        self.record_draining(id, started_unix_ms);
        has_changed
    }

    fn record_draining(&mut self, id: &str, started_unix_ms: Option<u64>) {
        if self.draining_incarnations.len() >= MAX_DRAINING_INCARNATIONS {
            let entries = &self.entries;
            self.draining_incarnations
                .retain(|id, _| entries.contains_key(id));
        }
        self.draining_incarnations
            .insert(id.into(), started_unix_ms);
    }

    /// Returns the upstreams that accept no new requests, with the start time of their incarnation.
    pub fn draining(&self) -> BTreeMap<Arc<str>, Option<u64>> {
        let entries = self.entries.values();
        // One that is held back may turn out to be alive.
        let draining = entries
            .filter(|entry| !entry.upstream.accepts_work && entry.held_back.is_none())
            .map(|entry| &entry.upstream);
        draining
            .map(|upstream| (upstream.id.clone(), upstream.started_unix_ms))
            .collect()
    }

    /// Removes an upstream, at once or when `removal_deadline_ms` has passed. Returns whether it
    /// was known.
    pub fn remove(&mut self, id: &str, removal_deadline_ms: Option<TimeMs>) -> bool {
        match removal_deadline_ms {
            None => {
                let entry = self.entries.remove(id);
                if let Some(entry) = &entry {
                    self.record_left(&entry.upstream);
                }
                entry.is_some()
            }
            Some(deadline_ms) => {
                let Some(entry) = self.entries.get_mut(id) else {
                    return false;
                };
                entry.removal_deadline_ms.get_or_insert(deadline_ms);
                true
            }
        }
    }

    fn record_left(&mut self, upstream: &Upstream) {
        if self.left.len() >= MAX_LEFT {
            self.left.pop_front();
        }
        self.left
            .push_back((upstream.id.clone(), upstream.started_unix_ms));
    }

    fn has_left(&self, upstream: &Upstream) -> bool {
        let mut left = self.left.iter();
        left.any(|(id, started_unix_ms)| {
            *id == upstream.id && *started_unix_ms == upstream.started_unix_ms
        })
    }

    /// Replaces all entries by a listing. Entries that are missing from it are removed as by
    /// [`Self::remove`].
    ///
    /// If the listing is the first one since the store was restored from a copy, upstreams in it
    /// that are known to have left get no requests until their entries change or
    /// `held_back_deadline_ms` has passed.
    pub fn replace<L>(
        &mut self,
        listing: L,
        removal_deadline_ms: Option<TimeMs>,
        held_back_deadline_ms: Option<TimeMs>,
    ) where
        L: IntoIterator<Item = Upstream>,
    {
        let mut missing: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for upstream in listing {
            missing.retain(|id| *id != upstream.id);
            let entry = self.entries.get(&upstream.id);
            let held_back = entry.and_then(|entry| entry.held_back.as_ref());
            if held_back.is_some_and(|held_back| held_back.upstream == upstream) {
                continue;
            }
            match held_back_deadline_ms.filter(|_| self.has_left(&upstream)) {
                Some(deadline_ms) => self.hold_back(upstream, deadline_ms),
                None => drop(self.upsert(upstream)),
            }
        }
        for id in missing {
            self.remove(&id, removal_deadline_ms);
        }
    }

    fn hold_back(&mut self, upstream: Upstream, deadline_ms: TimeMs) {
        let entry = Entry {
            upstream: Arc::new(Upstream {
                accepts_work: false,
                ..upstream.clone()
            }),
            removal_deadline_ms: None,
            held_back: Some(HeldBack {
                upstream,
                deadline_ms,
            }),
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    // Accepts the entries that were held back and are still there: a store drops those of upstreams
    // that don't renew them.
    fn release_held_back(&mut self, now: TimeMs) {
        let entries = self.entries.values_mut();
        let due = entries.filter_map(|entry| {
            let held_back = entry
                .held_back
                .take_if(|held_back| held_back.deadline_ms <= now)?;
            Some(held_back.upstream)
        });
        for upstream in due.collect::<Vec<_>>() {
            self.upsert(upstream);
        }
    }

    /// Removes the upstreams whose grace period has ended, and returns their ids.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Arc<str>> {
        self.release_held_back(now);
        let expired: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry
                    .removal_deadline_ms
                    .is_some_and(|deadline| deadline <= now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id, None);
        }
        expired
    }

    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Returns the upstreams of a service that may receive new requests.
    pub fn available<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.entries
            .values()
            .map(|entry| &entry.upstream)
            .filter(move |upstream| *upstream.service == *service && self.is_available(upstream))
    }

    /// Returns whether an upstream may receive new requests.
    pub fn is_available(&self, upstream: &Upstream) -> bool {
        upstream.accepts_work && !self.evacuations.contains(&upstream.data_centre)
    }

    /// Returns whether a service has upstreams that accept new requests, but all of them are in
    /// evacuated data centres.
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut accepting = self
            .all()
            .filter(|upstream| upstream.accepts_work && *upstream.service == *service)
            .peekable();
        accepting.peek().is_some() && !accepting.any(|upstream| self.is_available(upstream))
    }

    /// Returns the service and the software version of each engine.
    pub fn engine_versions(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.all()
            .filter(|upstream| upstream.stage.is_some())
            .map(|upstream| (&upstream.service, &upstream.software_version))
    }

    /// Returns the slots of a service's engines by software version.
    pub fn version_slots(&self, service: &str) -> BTreeMap<Arc<str>, u32> {
        let mut slots = BTreeMap::new();
        let engines = self.all().filter(|upstream| upstream.stage.is_some());
        for engine in engines.filter(|engine| *engine.service == *service) {
            *slots.entry(engine.software_version.clone()).or_default() += engine.slots;
        }
        slots
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }
}
