//! A weighted fair queue over workspaces, which serves the requests of one workspace by deadline.
//!
//! Each workspace has a tag: the cost of the service that it received, divided by its weight. The
//! workspace with the lowest tag is served next. A workspace that was idle starts at the virtual
//! time of the queue, so that it receives its share from now on and no credit for the time it was
//! idle.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;
use crate::Tokens;

// Fixed-point scale of the tags: the tag of one token at weight one.
const TAG_SCALE: u128 = 1 << 20;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// Workspace that the request belongs to.
    pub workspace: Arc<str>,
    /// Weight of the workspace.
    pub weight: u32,
    /// Cost of the request, which is charged to the workspace when the request is served.
    pub cost_tokens: Tokens,
    /// Time after which the request no longer needs to be served.
    pub deadline_ms: TimeMs,
    /// The queued item.
    pub item: T,
}

/// A queue with one subqueue per workspace.
#[derive(Debug)]
pub struct FairQueue<T> {
    workspaces: BTreeMap<Arc<str>, WorkspaceQueue<T>>,
    // Virtual time: the highest tag at which a workspace was served by `pop`. It never decreases.
    virtual_time: u128,
    len: usize,
    next_arrival: u64,
}

#[derive(Debug)]
struct WorkspaceQueue<T> {
    tag: u128,
    weight: u32,
    // By deadline, then by order of arrival.
    waiting: BTreeMap<(TimeMs, u64), Waiting<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            workspaces: BTreeMap::new(),
            virtual_time: 0,
            len: 0,
            next_arrival: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of requests in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is in the queue.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let virtual_time = self.virtual_time;
        let queue = self
            .workspaces
            .entry(waiting.workspace.clone())
            .or_insert_with(|| WorkspaceQueue {
                tag: virtual_time,
                weight: waiting.weight,
                waiting: BTreeMap::new(),
            });
        if queue.waiting.is_empty() {
            queue.tag = queue.tag.max(virtual_time);
        }
        queue.weight = waiting.weight.max(1);
        queue
            .waiting
            .insert((waiting.deadline_ms, self.next_arrival), waiting);
        self.next_arrival += 1;
        self.len += 1;
    }

    /// Returns the request that is served next.
    pub fn peek(&self) -> Option<&Waiting<T>> {
        let queue = &self.workspaces[&self.next_workspace()?];
        queue.waiting.values().next()
    }

    /// Removes the request that is served next and charges its workspace.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        let name = self.next_workspace()?;
        let queue = self.workspaces.get_mut(&name)?;
        let (_, waiting) = queue.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.tag);
        queue.tag += tag_step(waiting.cost_tokens, queue.weight);
        self.len -= 1;
        self.remove_idle();
        Some(waiting)
    }

    /// Removes the first request, in the order of service, for which `fits` is true, and charges
    /// its workspace.
    pub fn pop_where<F>(&mut self, mut fits: F) -> Option<Waiting<T>>
    where
        F: FnMut(&Waiting<T>) -> bool,
    {
        let mut workspaces: Vec<(u128, Arc<str>)> = self
            .workspaces
            .iter()
            .map(|(name, queue)| (queue.tag, name.clone()))
            .collect();
        workspaces.sort();
        for (_, name) in workspaces {
            let queue = self.workspaces.get_mut(&name)?;
            let found = queue.waiting.iter().find(|(_, waiting)| fits(waiting));
            let Some(key) = found.map(|(key, _)| *key) else {
                continue;
            };
            let waiting = queue.waiting.remove(&key)?;
            queue.tag += tag_step(waiting.cost_tokens, queue.weight);
            self.len -= 1;
            self.remove_idle();
            return Some(waiting);
        }
        None
    }

    /// Charges a workspace for a request that was served without queueing.
    pub fn charge(&mut self, workspace: &Arc<str>, weight: u32, cost_tokens: Tokens) {
        let virtual_time = self.virtual_time;
        let queue = self
            .workspaces
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceQueue {
                tag: virtual_time,
                weight,
                waiting: BTreeMap::new(),
            });
        queue.tag = queue.tag.max(virtual_time) + tag_step(cost_tokens, weight.max(1));
        if self.len == 0 {
            // With no request waiting, the tags have nothing to be compared with.
            self.workspaces.clear();
        }
    }

    /// Removes and returns every request for which `should_remove` is true, without charging its
    /// workspace.
    pub fn remove_where<F>(&mut self, mut should_remove: F) -> Vec<Waiting<T>>
    where
        F: FnMut(&Waiting<T>) -> bool,
    {
        let mut removed = Vec::new();
        for queue in self.workspaces.values_mut() {
            let keys: Vec<_> = queue
                .waiting
                .iter()
                .filter(|(_, waiting)| should_remove(waiting))
                .map(|(key, _)| *key)
                .collect();
            for key in keys {
                removed.extend(queue.waiting.remove(&key));
            }
        }
        self.len -= removed.len();
        self.remove_idle();
        removed
    }

    /// Calls `visit` with each item until it returns true. Returns whether it did.
    pub fn find_mut<F>(&mut self, mut visit: F) -> bool
    where
        F: FnMut(&mut T) -> bool,
    {
        self.workspaces
            .values_mut()
            .flat_map(|queue| queue.waiting.values_mut())
            .any(|waiting| visit(&mut waiting.item))
    }

    /// Returns the number of requests that would be served before one that is added now, if no
    /// others are added later.
    pub fn ahead(&self, workspace: &str, weight: u32, deadline_ms: TimeMs) -> u64 {
        let weight = weight.max(1);
        let mut ahead = 0;
        let mut own_tag = self.virtual_time;
        if let Some(queue) = self.workspaces.get(workspace) {
            own_tag = own_tag.max(queue.tag);
            for (_, waiting) in queue.waiting.range(..=(deadline_ms, u64::MAX)) {
                own_tag += tag_step(waiting.cost_tokens, weight);
                ahead += 1;
            }
        }
        for (name, queue) in &self.workspaces {
            if **name == *workspace {
                continue;
            }
            let mut tag = queue.tag;
            for waiting in queue.waiting.values() {
                if tag >= own_tag {
                    break;
                }
                tag += tag_step(waiting.cost_tokens, queue.weight);
                ahead += 1;
            }
        }
        ahead
    }

    /// Returns the number of waiting requests of each workspace.
    pub fn lengths(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.workspaces
            .iter()
            .map(|(name, queue)| (name, queue.waiting.len()))
    }

    fn next_workspace(&self) -> Option<Arc<str>> {
        self.workspaces
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .min_by_key(|(_, queue)| queue.tag)
            .map(|(name, _)| name.clone())
    }

    // Drops workspaces without requests whose tag is at or below the virtual time. A higher tag is
    // kept, because the workspace is still charged for service that it received ahead of the
    // others.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces
            .retain(|_, queue| !queue.waiting.is_empty() || queue.tag > virtual_time);
        if self.len == 0 {
            self.workspaces.clear();
        }
    }
}

fn tag_step(cost_tokens: Tokens, weight: u32) -> u128 {
    u128::from(cost_tokens.0.max(1)) * TAG_SCALE / u128::from(weight)
}
