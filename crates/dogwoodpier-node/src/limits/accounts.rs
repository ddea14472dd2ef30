//! Token accounts of this node, sharded by workspace.

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

/// Accounts of all workspaces. Lock order: shards by number, then slots.
pub(super) struct Accounts {
    shards: Vec<Mutex<Shard>>,
    // Version of the latest configuration for which `open_all` has opened the accounts.
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
    /// Runs `action` on the account of a workspace, or returns `None` if there is no such
    /// workspace.
    pub(super) fn with<F, R>(
        &self,
        node: &Node,
        workspace: &str,
        now: TimeMs,
        action: F,
    ) -> Option<R>
    where
        F: FnOnce(&mut Account, &[SlotBacking]) -> R,
    {
        let config = node.config.current();
        let limit = limit(&config, workspace, node.slots.count())?;
        let mut shard = lock(self.shard_of(workspace));
        // Read under the shard's lock, so that no slot is handed over meanwhile.
        let backings = node.slots.backings(now);
        let account = shard
            .entry(workspace.into())
            .or_insert_with(|| Account::new(limit, now));
        account.set_limit(limit, &backings, now);
        Some(action(account, &backings))
    }

    /// Opens an account for each workspace that has none, so that it accrues tokens from now on
    /// instead of from its first request.
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

    /// Runs `action` on the accounts of all workspaces, and drops accounts of removed workspaces.
    pub(super) fn for_each<F>(&self, node: &Node, now: TimeMs, mut action: F)
    where
        F: FnMut(&Arc<str>, &mut Account, &[SlotBacking]),
    {
        let config = node.config.current();
        for shard in &self.shards {
            let mut shard = lock(shard);
            let backings = node.slots.backings(now);
            shard.retain(|workspace, _| config.workspaces.contains_key(workspace));
            for (workspace, account) in shard.iter_mut() {
                action(workspace, account, &backings);
            }
        }
    }

    /// Adds the levels of an acquired slot to the accounts.
    pub(super) fn add_slot(&self, node: &Node, acquired: Acquired, now: TimeMs) {
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
        // The slot backs the accounts from the next millisecond on.
        let now = now.after(1);
        for (workspace, level) in levels {
            self.with(node, &workspace, now, |account, backings| {
                account.receive(slot, level, backings, now);
            });
        }
    }

    /// Takes a slot's share out of all accounts and passes it to `hand_over`, which returns the
    /// write that hands the slot over. All accounts are locked meanwhile.
    ///
    /// Returns `None` if the slot may not be handed over, an outstanding loan still depends on it,
    /// or `hand_over` returns `None`.
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

    /// Returns the accounts' state as JSON.
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

// The number of slots is the one that the node started with; later configurations don't change it.
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
