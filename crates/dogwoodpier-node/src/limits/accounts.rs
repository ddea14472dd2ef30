//! The accounts of this node, in shards by workspace.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dogwoodpier_config::EffectiveConfig;
use dogwoodpier_core::TimeMs;
use dogwoodpier_core::escrow::Account;
use dogwoodpier_core::escrow::Limit;
use dogwoodpier_core::escrow::MicroTokens;
use dogwoodpier_core::escrow::SlotBacking;
use dogwoodpier_core::rendezvous;
use dogwoodpier_core::slots::Acquired;
use dogwoodpier_core::slots::SlotTable;
use dogwoodpier_core::slots::StartLevel;
use dogwoodpier_core::slots::Write;

use crate::state::Node;

const SHARDS: usize = 16;

type Shard = BTreeMap<Arc<str>, Account>;

/// The accounts of all workspaces. Locks are taken in the order: shards by number, then slots.
pub(super) struct Accounts {
    shards: Vec<Mutex<Shard>>,
    // Version of the configuration whose workspaces all have an account.
    opened_version: AtomicU64,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            opened_version: AtomicU64::new(0),
        }
    }
}

impl Accounts {
    /// Runs `act` on the account of a workspace, or returns `None` if there is no such workspace.
    pub(super) fn with<F, R>(&self, node: &Node, workspace: &str, now: TimeMs, act: F) -> Option<R>
    where
        F: FnOnce(&mut Account, &[SlotBacking]) -> R,
    {
        let config = node.config.current();
        let limit = limit(&config, workspace, node.slots.count())?;
        let mut shard = lock(self.shard_of(workspace));
        // Read under the shard's lock, so that no slot is handed over between.
        let backings = node.slots.backings(now);
        let account = shard
            .entry(workspace.into())
            .or_insert_with(|| Account::new(limit, now));
        account.set_limit(limit, &backings, now);
        Some(act(account, &backings))
    }

    /// Opens an account for each workspace that has none, so that it accrues from now on and not only
    /// from its first request.
    pub(super) fn open_all(&self, node: &Node, now: TimeMs) {
        let config = node.config.current();
        let ready = node.slots.count() > 0;
        if !ready || self.opened_version.swap(config.version, Ordering::Relaxed) == config.version {
            return;
        }
        for workspace in config.workspaces.keys() {
            self.with(node, workspace, now, |_, _| ());
        }
    }

    /// Runs `act` on the accounts of all workspaces, and forgets those that no longer exist.
    pub(super) fn for_each<F>(&self, node: &Node, now: TimeMs, mut act: F)
    where
        F: FnMut(&Arc<str>, &mut Account, &[SlotBacking]),
    {
        let config = node.config.current();
        for shard in &self.shards {
            let mut shard = lock(shard);
            let backings = node.slots.backings(now);
            shard.retain(|workspace, _| config.workspaces.contains_key(workspace));
            for (workspace, account) in shard.iter_mut() {
                act(workspace, account, &backings);
            }
        }
    }

    /// Adds the levels that came with a slot.
    pub(super) fn take_slot(&self, node: &Node, acquired: Acquired, now: TimeMs) {
        let config = node.config.current();
        let slot = acquired.slot;
        let levels: BTreeMap<Arc<str>, MicroTokens> = match acquired.start {
            StartLevel::Empty => return,
            StartLevel::Levels(levels) => levels,
            StartLevel::Full => config
                .workspaces
                .keys()
                .filter_map(|name| {
                    let limit = limit(&config, name, node.slots.count())?;
                    Some((name.clone(), limit.burst_floor(slot)))
                })
                .collect(),
        };
        // The slot counts from the next millisecond on.
        let now = now.after(1);
        for (workspace, level) in levels {
            self.with(node, &workspace, now, |account, backings| {
                account.receive(slot, level, backings, now);
            });
        }
    }

    /// Takes a slot's share out of all accounts and lets `hand_over` write it down, with no account
    /// in use meanwhile.
    pub(super) fn release_slot<F>(
        &self,
        node: &Node,
        slot: u32,
        now: TimeMs,
        hand_over: F,
    ) -> Option<Write>
    where
        F: FnOnce(&mut SlotTable, BTreeMap<Arc<str>, MicroTokens>) -> Option<Write>,
    {
        let mut shards: Vec<MutexGuard<'_, Shard>> = self.shards.iter().map(lock).collect();
        let backings = node.slots.backings(now);
        let releasable = node.slots.read(|table| table.may_hand_over(slot, now));
        let covered = shards
            .iter_mut()
            .flat_map(|shard| shard.values_mut())
            .all(|account| account.may_release(slot, &backings, now));
        if releasable != Some(true) || !covered {
            return None;
        }
        let mut levels = BTreeMap::new();
        for (workspace, account) in shards.iter_mut().flat_map(|shard| shard.iter_mut()) {
            levels.insert(workspace.clone(), account.release(slot, &backings, now));
        }
        node.slots.write(|table| hand_over(table, levels)).flatten()
    }

    /// Returns the state as JSON.
    pub(super) fn dump(&self, _now: TimeMs) -> serde_json::Value {
        let mut workspaces = serde_json::Map::new();
        for shard in &self.shards {
            for (workspace, account) in lock(shard).iter() {
                let bucket = account.bucket();
                let entry = serde_json::json!({
                    "level_tokens": bucket.level().floor_tokens().0,
                    "lent_tokens": bucket.outstanding().floor_tokens().0,
                    "spendable_tokens": account.spendable().floor_tokens().0,
                    "fleet_rate_tokens_per_s": bucket.limit().rate_tokens_per_s.0,
                    "fleet_burst_tokens": bucket.limit().burst_tokens.0,
                });
                workspaces.insert(workspace.to_string(), entry);
            }
        }
        workspaces.into()
    }

    fn shard_of(&self, workspace: &str) -> &Mutex<Shard> {
        let weight = rendezvous::weight(workspace, "shard");
        let count = self.shards.len() as u64;
        let index = usize::try_from(weight % count).unwrap_or(0);
        &self.shards[index]
    }
}

// The number of slots is the one that the node began with, whatever a later configuration says.
fn limit(config: &EffectiveConfig, workspace: &str, slot_count: u32) -> Option<Limit> {
    let workspace = config.workspaces.get(workspace)?;
    Some(Limit {
        rate_tokens_per_s: workspace.rate_tokens_per_s,
        burst_tokens: workspace.burst_tokens,
        slot_count,
    })
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
