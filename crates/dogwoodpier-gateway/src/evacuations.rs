//! Evacuations of data centres by operators.

use dogwoodpier_core::gateway::evacuations;
use dogwoodpier_core::gateway::evacuations::Evacuations;
use dogwoodpier_core::gateway::store_position::StorePosition;
use dogwoodpier_platform::wire::Change;
use dogwoodpier_process::clock;

use crate::counters;
use crate::readiness;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::store;
use crate::store::Follower;
use crate::store::StoreOutage;

// An evacuation has to be in force at once, and few of them follow each other.
const BATCH_DELAY_MS: u64 = 100;

/// Returns the follower of the evacuations.
pub fn follower(gateway: &Gateway) -> Follower {
    Follower {
        kind: gateway.dialect.objects.evacuation_kind,
        replace: |gateway, listing, _, _| {
            let data_centres = listing.items.iter().map(|object| object.name.clone());
            let position = StorePosition::new(listing.era, listing.revision);
            let listed = Evacuations::from_listing(position, data_centres);
            merge(gateway, listed, "store");
        },
        change: apply_change,
        batch_delay_ms: |_| BATCH_DELAY_MS,
        // Peers' reports reveal a watch whose connection is dead.
        max_watch_ms: |_| store::MAX_WATCH_MS,
        reads_store: |gateway| is_watcher(gateway) || !readiness::knows_evacuations(gateway),
    }
}

/// Returns whether this instance watches the store for evacuations and notifies its peers of them.
pub fn is_watcher(gateway: &Gateway) -> bool {
    let settings = gateway.settings.load();
    let state = gateway.state();
    let peers = state.peer_reports.live_peers(clock::now());
    let peers = peers.map(|(peer, _)| &**peer);
    settings.evacuations && evacuations::is_watcher(&settings.instance, peers)
}

fn apply_change(gateway: &SharedGateway, change: Change, position: StorePosition, _: &StoreOutage) {
    let name = &change.object.name;
    let changed = {
        let evacuations = &mut gateway.state().upstreams.evacuations;
        evacuations.apply_change(position, name, !change.deleted)
    };
    if changed {
        log_evacuations(gateway, "store");
    }
}

/// Merges a state that was read from the store or received from a peer.
pub fn merge(gateway: &SharedGateway, state: Evacuations, source: &str) {
    let grace_ms = gateway.settings.load().entry_grace_ms;
    let keep_deadline_ms = clock::now().after(grace_ms);
    let changed = {
        let evacuations = &mut gateway.state().upstreams.evacuations;
        evacuations.merge(state, keep_deadline_ms)
    };
    if changed {
        log_evacuations(gateway, source);
    }
}

/// Logs the evacuated data centres after a change, and passes them on.
pub fn log_evacuations(gateway: &SharedGateway, source: &str) {
    let (data_centres, available) = {
        let state = gateway.state();
        let upstreams = &state.upstreams;
        let data_centres: Vec<_> = upstreams.evacuations.data_centres().cloned().collect();
        let available = upstreams
            .all()
            .filter(|upstream| upstreams.is_available(upstream));
        (data_centres, available.count())
    };
    metrics::gauge!(counters::EVACUATED).set(data_centres.len() as f64);
    gateway.events.write(
        "evacuations",
        serde_json::json!({
            "data_centres": data_centres,
            "source": source,
            "upstreams_left": available,
        }),
    );
    gateway.report_needed.notify_one();
    gateway.queues.slot_freed();
}
