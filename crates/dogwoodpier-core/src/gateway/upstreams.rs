//! The upstreams that an instance knows of.
//!
//! Entries come from a store that can be away. While it is away the last entries hold. Entries may
//! lapse in the meantime, so an entry that is missing when the store has just returned keeps its
//! upstream for a grace time, and only then counts as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dogwoodpier_derive::plain;

use crate::TimeMs;

use super::evacuations::Evacuations;

/// What a model engine does.
#[plain]
#[derive(Copy, Eq)]
pub enum Stage {
    /// Computes the KV cache of prompts for other engines.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Both.
    Colocated,
}

/// An upstream as its entry tells it.
#[plain]
#[derive(Eq)]
pub struct Upstream {
    /// Identity of this incarnation's entry.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub accepts_work: bool,
    /// Present for a model engine.
    pub stage: Option<Stage>,
    /// Wall clock of its start, if it tells: another value is another incarnation.
    pub started_unix_ms: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    upstream: Arc<Upstream>,
    // Set while the entry is missing and its absence may be due to an outage of the store.
    gone_deadline_ms: Option<TimeMs>,
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct Upstreams {
    entries: BTreeMap<Arc<str>, Entry>,
    // Upstreams that said themselves or by a peer that they leave, with the start of their incarnation:
    // their entries may tell so later, or never.
    leaving: BTreeMap<Arc<str>, Option<u64>>,
    /// Data centres whose upstreams get nothing new.
    pub evacuations: Evacuations,
}

// Leaving upstreams that are remembered after their entries are gone.
const MAX_LEAVING: usize = 1_000;

impl Upstreams {
    /// Returns the ids of upstreams at the address of `upstream` that started before it: it runs in
    /// their place.
    pub fn replaced_by(&self, upstream: &Upstream) -> Vec<Arc<str>> {
        let before = |other: &Upstream| match (other.started_unix_ms, upstream.started_unix_ms) {
            (Some(other), Some(own)) => other < own,
            _ => false,
        };
        self.all()
            .filter(|other| other.id != upstream.id && other.address == upstream.address)
            .filter(|other| before(other))
            .map(|other| other.id.clone())
            .collect()
    }

    /// Adds or replaces an upstream. Returns whether anything changed.
    pub fn upsert(&mut self, mut upstream: Upstream) -> bool {
        let id = upstream.id.clone();
        match self.leaving.get(&id) {
            // An incarnation that leaves doesn't come back.
            Some(started_unix_ms) if *started_unix_ms == upstream.started_unix_ms => {
                upstream.accepts_work = false;
            }
            Some(_) => {
                self.leaving.remove(&id);
            }
            None => {}
        }
        if let Some(entry) = self.entries.get_mut(&id)
            && *entry.upstream == upstream
        {
            return entry.gone_deadline_ms.take().is_some();
        }
        let entry = Entry {
            upstream: Arc::new(upstream),
            gone_deadline_ms: None,
        };
        self.entries.insert(id, entry);
        true
    }

    /// Notes that an upstream takes no more work, unless another incarnation of it is known. Returns
    /// whether that is news of a known upstream.
    pub fn mark_draining(&mut self, id: &str, started_unix_ms: Option<u64>) -> bool {
        let entry = self.entries.get_mut(id);
        if entry
            .as_ref()
            .is_some_and(|entry| entry.upstream.started_unix_ms != started_unix_ms)
        {
            return false;
        }
        let is_news = entry.is_some_and(|entry| {
            let accepts_work = entry.upstream.accepts_work;
            Arc::make_mut(&mut entry.upstream).accepts_work = false;
            accepts_work
        });
        if self.leaving.len() >= MAX_LEAVING {
            let entries = &self.entries;
            self.leaving.retain(|id, _| entries.contains_key(id));
        }
        self.leaving.insert(id.into(), started_unix_ms);
        is_news
    }

    /// Returns the upstreams that take no more work, with the start of their incarnation.
    pub fn draining(&self) -> BTreeMap<Arc<str>, Option<u64>> {
        self.all()
            .filter(|upstream| !upstream.accepts_work)
            .map(|upstream| (upstream.id.clone(), upstream.started_unix_ms))
            .collect()
    }

    /// Removes an upstream, at once or once `keep_deadline_ms` has passed. Returns whether it was
    /// known.
    pub fn remove(&mut self, id: &str, keep_deadline_ms: Option<TimeMs>) -> bool {
        match keep_deadline_ms {
            None => self.entries.remove(id).is_some(),
            Some(deadline_ms) => {
                let Some(entry) = self.entries.get_mut(id) else {
                    return false;
                };
                entry.gone_deadline_ms.get_or_insert(deadline_ms);
                true
            }
        }
    }

    /// Replaces all entries by a listing; those missing there go as with [`Self::remove`].
    pub fn replace<L>(&mut self, listing: L, keep_deadline_ms: Option<TimeMs>)
    where
        L: IntoIterator<Item = Upstream>,
    {
        let mut missing: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for upstream in listing {
            missing.retain(|id| *id != upstream.id);
            self.upsert(upstream);
        }
        for id in missing {
            self.remove(&id, keep_deadline_ms);
        }
    }

    /// Removes the upstreams whose grace time is over, and returns their ids.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Arc<str>> {
        let expired: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry
                    .gone_deadline_ms
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

    /// Returns the upstreams of a service that may get new work.
    pub fn available<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.entries
            .values()
            .map(|entry| &entry.upstream)
            .filter(move |upstream| *upstream.service == *service && self.is_available(upstream))
    }

    /// Returns whether an upstream may get new work.
    pub fn is_available(&self, upstream: &Upstream) -> bool {
        upstream.accepts_work && !self.evacuations.contains(&upstream.data_centre)
    }

    /// Returns whether a service has upstreams that take work, all of them in evacuated data centres.
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
