//! The hold of one attempt of one request.

use std::collections::HashSet;
use std::sync::Arc;

use dogwoodpier_core::holds::HoldId;

use crate::clock;
use crate::state::SharedNode;

/// A hold in use. Dropping it cancels it at each engine that may keep state for it and releases its
/// reservations.
pub struct Hold {
    node: SharedNode,
    id: HoldId,
    tag: Arc<str>,
    // Engines that may keep state for the hold.
    engines: HashSet<Arc<str>>,
    // Engines whose coordinators may have a reservation or a queue entry for the hold.
    coordinators: HashSet<Arc<str>>,
}

impl Hold {
    /// Begins a new hold.
    pub fn begin(node: &SharedNode) -> Self {
        let id = node.upstreams.begin_hold(node.incarnation);
        Self {
            node: node.clone(),
            id,
            tag: id.to_string().into(),
            engines: HashSet::new(),
            coordinators: HashSet::new(),
        }
    }

    /// Returns the id.
    pub fn id(&self) -> HoldId {
        self.id
    }

    /// Returns the id in the text form that engines use.
    pub fn tag(&self) -> &Arc<str> {
        &self.tag
    }

    /// Records that the engine may keep state for the hold. Must precede the call that creates the
    /// state, so that a lost reply cannot leave it behind.
    pub fn add_engine(&mut self, engine: &Arc<str>) {
        self.engines.insert(engine.clone());
    }

    /// Records that the engine keeps no state for the hold.
    pub fn remove_engine(&mut self, engine: &Arc<str>) {
        self.engines.remove(engine);
    }

    /// Records that the engine's coordinator may have a reservation or a queue entry for the hold.
    pub fn add_coordinator(&mut self, engine: &Arc<str>) {
        self.coordinators.insert(engine.clone());
    }

    /// Cancels the hold at one engine and releases the reservation at its coordinator.
    pub fn release_engine(&mut self, engine: &Arc<str>) {
        let may_keep_state = self.engines.remove(engine);
        let may_be_reserved = self.coordinators.remove(engine);
        if may_keep_state {
            self.node.upstreams.cancel(engine, self.id, clock::now());
        } else if may_be_reserved {
            self.node.upstreams.release(engine, self.id);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let engines = std::mem::take(&mut self.engines);
        // Reservations at the other engines are released once the engine has acknowledged the
        // cancel, because the capacity is not free before that.
        for engine in self.coordinators.difference(&engines) {
            self.node.upstreams.release(engine, self.id);
        }
        self.node.upstreams.end_hold(self.id, engines, clock::now());
    }
}
