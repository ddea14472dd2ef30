//! The upstreams that are known to an instance.
//!
//! Entries come from a store that may be unavailable. During an outage the last known entries stay
//! valid. Entries may expire in the store in the meantime, so an upstream whose entry is missing
//! just after an outage is kept for a grace period before it is removed.

use std::collections::BTreeMap;
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
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    entries: BTreeMap<Arc<str>, Entry>,
    // Upstreams known to be draining from their own answers or from a peer's report, with the start
    // time of their incarnation. Their entries in the store may show it later or never.
    draining_incarnations: BTreeMap<Arc<str>, Option<u64>>,
    /// Evacuated data centres, whose upstreams receive no new requests.
    pub evacuations: Evacuations,
}

// Number of draining incarnations above which those without an entry are dropped.
const MAX_DRAINING_INCARNATIONS: usize = 1_000;

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
        if let Some(entry) = self.entries.get_mut(&id)
            && *entry.upstream == upstream
        {
            return entry.removal_deadline_ms.take().is_some();
        }
        let entry = Entry {
            upstream: Arc::new(upstream),
            removal_deadline_ms: None,
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
        if self.draining_incarnations.len() >= MAX_DRAINING_INCARNATIONS {
            let entries = &self.entries;
            self.draining_incarnations
                .retain(|id, _| entries.contains_key(id));
        }
        self.draining_incarnations
            .insert(id.into(), started_unix_ms);
        has_changed
    }

    /// Returns the upstreams that accept no new requests, with the start time of their incarnation.
    pub fn draining(&self) -> BTreeMap<Arc<str>, Option<u64>> {
        self.all()
            .filter(|upstream| !upstream.accepts_work)
            .map(|upstream| (upstream.id.clone(), upstream.started_unix_ms))
            .collect()
    }

    /// Removes an upstream, at once or when `removal_deadline_ms` has passed. Returns whether it
    /// was known.
    pub fn remove(&mut self, id: &str, removal_deadline_ms: Option<TimeMs>) -> bool {
        match removal_deadline_ms {
            None => self.entries.remove(id).is_some(),
            Some(deadline_ms) => {
                let Some(entry) = self.entries.get_mut(id) else {
                    return false;
                };
                entry.removal_deadline_ms.get_or_insert(deadline_ms);
                true
            }
        }
    }

    /// Replaces all entries by a listing. Entries that are missing from it are removed as by
    /// [`Self::remove`].
    pub fn replace<L>(&mut self, listing: L, removal_deadline_ms: Option<TimeMs>)
    where
        L: IntoIterator<Item = Upstream>,
    {
        let mut missing: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for upstream in listing {
            missing.retain(|id| *id != upstream.id);
            self.upsert(upstream);
        }
        for id in missing {
            self.remove(&id, removal_deadline_ms);
        }
    }

    /// Removes the upstreams whose grace period has ended, and returns their ids.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Arc<str>> {
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
            self.entries.remove(id);
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

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }
}
