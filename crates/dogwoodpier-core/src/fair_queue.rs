//! A queue that serves workspaces by weight, and the requests of one workspace by deadline.
//!
//! Each workspace has a tag, the service it got divided by its weight; the lowest tag is served
//! next. A workspace that was idle starts at the current tag of the queue, so that it gets its share
//! from now on and no credit for the past.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::TimeMs;
use crate::Tokens;

// Fixed point of the tags: the tag of one token at weight one.
const TAG_SCALE: u128 = 1 << 20;

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting<T> {
    /// Workspace that it belongs to.
    pub workspace: Arc<str>,
    /// Share of the workspace.
    pub weight: u32,
    /// Service that it will get.
    pub cost_tokens: Tokens,
    /// Time after which it is useless.
    pub deadline_ms: TimeMs,
    /// What is waiting.
    pub item: T,
}

/// A queue with one line a workspace.
#[derive(Debug)]
pub struct FairQueue<T> {
    lines: BTreeMap<Arc<str>, Line<T>>,
    // Tag of the workspace that was served last; it never falls.
    current_tag: u128,
    len: usize,
    next_arrival: u64,
}

#[derive(Debug)]
struct Line<T> {
    tag: u128,
    weight: u32,
    // By deadline, then by arrival.
    waiting: BTreeMap<(TimeMs, u64), Waiting<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            current_tag: 0,
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

    /// Returns true if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting<T>) {
        let current_tag = self.current_tag;
        let line = self
            .lines
            .entry(waiting.workspace.clone())
            .or_insert_with(|| Line {
                tag: current_tag,
                weight: waiting.weight,
                waiting: BTreeMap::new(),
            });
        if line.waiting.is_empty() {
            line.tag = line.tag.max(current_tag);
        }
        line.weight = waiting.weight.max(1);
        line.waiting
            .insert((waiting.deadline_ms, self.next_arrival), waiting);
        self.next_arrival += 1;
        self.len += 1;
    }

    /// Returns the request that is next.
    pub fn peek(&self) -> Option<&Waiting<T>> {
        let line = &self.lines[&self.next_line()?];
        line.waiting.values().next()
    }

    /// Removes the request that is next and charges its workspace.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        let name = self.next_line()?;
        let line = self.lines.get_mut(&name)?;
        let (_, waiting) = line.waiting.pop_first()?;
        self.current_tag = self.current_tag.max(line.tag);
        line.tag += tag_step(waiting.cost_tokens, line.weight);
        self.len -= 1;
        self.forget_idle();
        Some(waiting)
    }

    /// Removes the first request, in the order of service, for which `fits` is true, and charges its
    /// workspace.
    pub fn pop_where<F>(&mut self, mut fits: F) -> Option<Waiting<T>>
    where
        F: FnMut(&Waiting<T>) -> bool,
    {
        let mut lines: Vec<(u128, Arc<str>)> = self
            .lines
            .iter()
            .map(|(name, line)| (line.tag, name.clone()))
            .collect();
        lines.sort();
        for (_, name) in lines {
            let line = self.lines.get_mut(&name)?;
            let found = line.waiting.iter().find(|(_, waiting)| fits(waiting));
            let Some(key) = found.map(|(key, _)| *key) else {
                continue;
            };
            let waiting = line.waiting.remove(&key)?;
            line.tag += tag_step(waiting.cost_tokens, line.weight);
            self.len -= 1;
            self.forget_idle();
            return Some(waiting);
        }
        None
    }

    /// Charges a workspace for service that it got without waiting.
    pub fn charge(&mut self, workspace: &Arc<str>, weight: u32, cost_tokens: Tokens) {
        let current_tag = self.current_tag;
        let line = self.lines.entry(workspace.clone()).or_insert_with(|| Line {
            tag: current_tag,
            weight,
            waiting: BTreeMap::new(),
        });
        line.tag = line.tag.max(current_tag) + tag_step(cost_tokens, weight.max(1));
        if self.len == 0 {
            // Nobody waits, so service has a lead over nobody.
            self.lines.clear();
        }
    }

    /// Removes and returns every request for which `gone` is true, without charge.
    pub fn remove_where<F>(&mut self, mut gone: F) -> Vec<Waiting<T>>
    where
        F: FnMut(&Waiting<T>) -> bool,
    {
        let mut removed = Vec::new();
        for line in self.lines.values_mut() {
            let keys: Vec<_> = line
                .waiting
                .iter()
                .filter(|(_, waiting)| gone(waiting))
                .map(|(key, _)| *key)
                .collect();
            for key in keys {
                removed.extend(line.waiting.remove(&key));
            }
        }
        self.len -= removed.len();
        self.forget_idle();
        removed
    }

    /// Shows items to `visit` until it returns true. Returns whether it did.
    pub fn find_mut<F>(&mut self, mut visit: F) -> bool
    where
        F: FnMut(&mut T) -> bool,
    {
        self.lines
            .values_mut()
            .flat_map(|line| line.waiting.values_mut())
            .any(|waiting| visit(&mut waiting.item))
    }

    /// Returns how many requests would be served before one that joins now, if no other joined.
    pub fn ahead(&self, workspace: &str, weight: u32, deadline_ms: TimeMs) -> u64 {
        let weight = weight.max(1);
        let mut ahead = 0;
        let mut own_tag = self.current_tag;
        if let Some(line) = self.lines.get(workspace) {
            own_tag = own_tag.max(line.tag);
            for (_, waiting) in line.waiting.range(..=(deadline_ms, u64::MAX)) {
                own_tag += tag_step(waiting.cost_tokens, weight);
                ahead += 1;
            }
        }
        for (name, line) in &self.lines {
            if **name == *workspace {
                continue;
            }
            let mut tag = line.tag;
            for waiting in line.waiting.values() {
                if tag >= own_tag {
                    break;
                }
                tag += tag_step(waiting.cost_tokens, line.weight);
                ahead += 1;
            }
        }
        ahead
    }

    /// Returns the number of waiting requests by workspace.
    pub fn lengths(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.lines
            .iter()
            .map(|(name, line)| (name, line.waiting.len()))
    }

    fn next_line(&self) -> Option<Arc<str>> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty())
            .min_by_key(|(_, line)| line.tag)
            .map(|(name, _)| name.clone())
    }

    // Drops empty lines that are not ahead of the queue; the others still owe for what they got.
    fn forget_idle(&mut self) {
        let current_tag = self.current_tag;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.tag > current_tag);
        if self.len == 0 {
            self.lines.clear();
        }
    }
}

fn tag_step(cost_tokens: Tokens, weight: u32) -> u128 {
    u128::from(cost_tokens.0.max(1)) * TAG_SCALE / u128::from(weight)
}
