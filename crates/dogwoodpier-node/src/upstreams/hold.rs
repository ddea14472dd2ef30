//! A hold in use by one attempt of one request.

use std::collections::HashSet;
use std::sync::Arc;

use dogwoodpier_core::holds::HoldId;

use crate::clock;
use crate::state::SharedNode;

/// A hold in use. Dropping it cancels it at each engine that may keep something for it and gives
/// its reservations back.
pub struct Hold {
    node: SharedNode,
    id: HoldId,
    tag: Arc<str>,
    touched: HashSet<Arc<str>>,
    reserved: HashSet<Arc<str>>,
}

impl Hold {
    /// Makes a new hold.
    pub fn begin(node: &SharedNode) -> Self {
        let id = node.upstreams.begin_hold(node.incarnation);
        Self {
            node: node.clone(),
            id,
            tag: id.to_string().into(),
            touched: HashSet::new(),
            reserved: HashSet::new(),
        }
    }

    /// Returns the id.
    pub fn id(&self) -> HoldId {
        self.id
    }

    /// Returns the id as engines know it.
    pub fn tag(&self) -> &Arc<str> {
        &self.tag
    }

    /// Notes that the engine may keep something from now on. Precedes the call that makes it so.
    pub fn touch(&mut self, engine: &Arc<str>) {
        self.touched.insert(engine.clone());
    }

    /// Notes that the engine has said it keeps nothing.
    pub fn untouch(&mut self, engine: &Arc<str>) {
        self.touched.remove(engine);
    }

    /// Notes that the engine's coordinator may have a reservation or a place in its queue.
    pub fn ask_coordinator(&mut self, engine: &Arc<str>) {
        self.reserved.insert(engine.clone());
    }

    /// Gives back what one engine and its coordinator have for the hold.
    pub fn leave(&mut self, engine: &Arc<str>) {
        let touched = self.touched.remove(engine);
        let reserved = self.reserved.remove(engine);
        if touched {
            self.node.upstreams.cancel(engine, self.id, clock::now());
        } else if reserved {
            self.node.upstreams.release(engine, self.id);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let touched = std::mem::take(&mut self.touched);
        // The others are released once the engine has acknowledged the cancel: not before that is
        // the room free.
        for engine in self.reserved.difference(&touched) {
            self.node.upstreams.release(engine, self.id);
        }
        self.node.upstreams.end_hold(self.id, touched, clock::now());
    }
}
