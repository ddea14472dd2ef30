//! Data centres that operators have evacuated.

use dogwoodpier_core::gateway::evacuations;
use dogwoodpier_core::gateway::evacuations::Evacuations;
use dogwoodpier_platform::wire::Change;
use dogwoodpier_process::clock;

use crate::counters;
use crate::readiness;
use crate::state::Gateway;
use crate::state::SharedGateway;
use crate::store;
use crate::store::Follower;
use crate::store::Outage;

// The change has to be in force at once, and few follow each other.
const GATHER_MS: u64 = 100;

/// Returns the follower of the evacuations.
pub fn follower(gateway: &Gateway) -> Follower {
    Follower {
        kind: gateway.dialect.objects.evacuation_kind,
        replace: |gateway, listing, _| {
            let data_centres = listing.items.iter().map(|object| object.name.clone());
            let listed = Evacuations::from_listing(listing.revision, data_centres);
            take(gateway, listed, "store");
        },
        change: take_change,
        gather_ms: |_| GATHER_MS,
        // A watch that went deaf is noticed by what peers tell.
        watch_ms: |_| store::MAX_WATCH_MS,
        asks_store: |gateway| is_watcher(gateway) || !readiness::knows_evacuations(gateway),
    }
}

/// Returns whether this instance watches the store for evacuations, and tells its peers of them.
pub fn is_watcher(gateway: &Gateway) -> bool {
    let settings = gateway.settings.load();
    let beliefs = gateway.beliefs();
    let peers = beliefs.exchange.live_peers(clock::now());
    let peers = peers.map(|(peer, _)| &**peer);
    settings.evacuations && evacuations::is_watcher(&settings.instance, peers)
}

fn take_change(gateway: &SharedGateway, change: Change, revision: u64, _: &Outage) {
    let name = &change.object.name;
    let changed = {
        let evacuations = &mut gateway.beliefs().upstreams.evacuations;
        evacuations.apply_change(revision, name, !change.deleted)
    };
    if changed {
        log(gateway, "store");
    }
}

/// Takes in a state that the store or a peer tells.
pub fn take(gateway: &SharedGateway, state: Evacuations, source: &str) {
    let changed = gateway.beliefs().upstreams.evacuations.merge(state);
    if changed {
        log(gateway, source);
    }
}

fn log(gateway: &SharedGateway, source: &str) {
    let (data_centres, kept) = {
        let beliefs = gateway.beliefs();
        let upstreams = &beliefs.upstreams;
        let data_centres: Vec<_> = upstreams.evacuations.data_centres().cloned().collect();
        let kept = upstreams
            .all()
            .filter(|upstream| upstreams.is_available(upstream));
        (data_centres, kept.count())
    };
    metrics::gauge!(counters::EVACUATED).set(data_centres.len() as f64);
    gateway.events.write(
        "evacuations",
        serde_json::json!({
            "data_centres": data_centres,
            "source": source,
            "upstreams_left": kept,
        }),
    );
    gateway.use_changed.notify_one();
    gateway.lines.slot_freed();
}
