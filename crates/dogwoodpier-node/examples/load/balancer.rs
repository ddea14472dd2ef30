//! The platform's load balancer: spreads callers over the nodes that are ready.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_http::Pool;
use dogwoodpier_http::PoolOptions;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT_MS: u64 = 500;

/// Load balancer over the nodes that were ready at the last check.
pub struct Balancer {
    nodes: Vec<SocketAddr>,
    state: Mutex<State>,
}

struct State {
    ready: Vec<usize>,
    random: StdRng,
}

impl Balancer {
    /// Starts a balancer over the nodes of a fleet. It checks their readiness periodically.
    pub fn start(fleet: &Fleet, seed: u64) -> Arc<Self> {
        let nodes: Vec<SocketAddr> = fleet.nodes().values().map(|n| n.caller_address).collect();
        let operators: Vec<SocketAddr> =
            fleet.nodes().values().map(|n| n.operator_address).collect();
        let balancer = Arc::new(Self {
            state: Mutex::new(State {
                ready: (0..nodes.len()).collect(),
                random: StdRng::seed_from_u64(seed),
            }),
            nodes,
        });
        tokio::spawn(check_readiness(Arc::downgrade(&balancer), operators));
        balancer
    }

    /// Returns the caller with a key at a random node that was ready at the last check.
    pub fn caller<'a>(
        &self,
        callers: &'a BTreeMap<(SocketAddr, String), TestClient>,
        key: &str,
    ) -> Option<&'a TestClient> {
        let node = {
            let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let state = &mut *guard;
            let index = state.random.random_range(0..state.ready.len().max(1));
            *state.ready.get(index)?
        };
        callers.get(&(self.nodes[node], key.to_owned()))
    }

    /// Returns all nodes.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }
}

async fn check_readiness(balancer: std::sync::Weak<Balancer>, operators: Vec<SocketAddr>) {
    let pools: Vec<Pool> = operators
        .into_iter()
        .map(|address| {
            Pool::new(PoolOptions {
                address,
                connect_timeout_ms: CHECK_TIMEOUT_MS,
            })
        })
        .collect();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let mut ready = Vec::new();
        for (index, pool) in pools.iter().enumerate() {
            if is_ready(pool).await {
                ready.push(index);
            }
        }
        let Some(balancer) = balancer.upgrade() else {
            return;
        };
        let mut state = balancer
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.ready = ready;
    }
}

async fn is_ready(pool: &Pool) -> bool {
    let Ok(request) = Request::get("/ready").body(Bytes::new()) else {
        return false;
    };
    let answer = pool.send_on_new_connection(request, CHECK_TIMEOUT_MS).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}
