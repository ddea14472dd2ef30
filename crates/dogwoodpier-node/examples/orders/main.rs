//! Measures orders with idempotency keys: refusals with and without the platform, latency, and the
//! writes to the platform.
//!
//! Arguments: the path of the node program, the number of nodes, the orders a second, and the
//! seconds of each phase. The stand-ins run in this process.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use tokio::task::JoinSet;

use dogwoodpier_fakes::caller::TestClient;
use dogwoodpier_fakes::fleet::EXAMPLE_ORDER_KEY;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::platform::PlatformFaults;
use dogwoodpier_fakes::platform::faults::Outage;
use dogwoodpier_fakes::service::ServiceStats;

const WRITES_METRIC: &str = "dogwoodpier_claim_writes_total";
const READY_ATTEMPTS: u32 = 600;
const READY_PAUSE: Duration = Duration::from_millis(100);
const SLOTS: usize = 32;
const MAX_LATENCY_US: u64 = 60_000_000;

struct Arguments {
    program: String,
    nodes: usize,
    orders_per_s: u64,
    phase_s: u64,
}

/// Results of the orders of one phase.
struct Phase {
    sent: u64,
    answered: u64,
    refused: BTreeMap<String, u64>,
    latency_us: Histogram<u64>,
    claim_writes: f64,
    platform_writes: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = arguments()?;
    let plan = FleetPlan::example(&arguments.program, arguments.nodes);
    let mut fleet = Fleet::start(plan).await?;
    let mut names: Vec<String> = fleet.nodes().keys().cloned().collect();
    wait_for_claims(&fleet, &names).await?;
    let mut next_number = 0;
    let with_platform = run_phase(&fleet, &names, &arguments, &mut next_number).await?;
    with_platform.print("platform up", arguments.phase_s);

    let outage = PlatformFaults {
        outage: Some(Outage::Hang),
        ..PlatformFaults::default()
    };
    fleet.set_platform_faults(&outage).await?;
    let without_platform = run_phase(&fleet, &names, &arguments, &mut next_number).await?;
    without_platform.print("platform out", arguments.phase_s);

    fleet
        .set_platform_faults(&PlatformFaults::default())
        .await?;
    let after_outage = run_phase(&fleet, &names, &arguments, &mut next_number).await?;
    after_outage.print("platform back", arguments.phase_s);

    let killed_node = names.pop().context("no node")?;
    fleet.node_mut(&killed_node).kill().await?;
    let with_killed_node = run_phase(&fleet, &names, &arguments, &mut next_number).await?;
    with_killed_node.print("one node killed", arguments.phase_s);

    let stats: ServiceStats = fleet.stats("orders-1").await?;
    let doubled = stats
        .runs_by_body
        .values()
        .filter(|runs| **runs > 1)
        .count();
    println!("orders run {}, doubled {doubled}", stats.runs_by_body.len());
    Ok(())
}

fn arguments() -> anyhow::Result<Arguments> {
    let mut values = std::env::args().skip(1);
    let mut next = |name: &str| values.next().with_context(|| format!("{name} is missing"));
    Ok(Arguments {
        program: next("program")?,
        nodes: next("nodes")?.parse()?,
        orders_per_s: next("orders a second")?.parse()?,
        phase_s: next("seconds of a phase")?.parse()?,
    })
}

async fn wait_for_claims(fleet: &Fleet, names: &[String]) -> anyhow::Result<()> {
    for _ in 0..READY_ATTEMPTS {
        let mut ready = 0;
        for name in names {
            let dump = fleet.node(name).dump().await?;
            let slots = dump["claims"]["slots"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            ready += slots.iter().filter(|slot| can_grant_claims(slot)).count();
        }
        if ready == SLOTS {
            return Ok(());
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
    anyhow::bail!("the nodes don't decide on all slots")
}

fn can_grant_claims(slot: &Value) -> bool {
    slot["held"] == true && slot["blocked"] == false && slot["standby_confirmed"] == true
}

async fn run_phase(
    fleet: &Fleet,
    names: &[String],
    arguments: &Arguments,
    next_number: &mut u64,
) -> anyhow::Result<Phase> {
    let claims_before = claim_writes(fleet, names).await?;
    let writes_before = platform_writes(fleet).await?;
    let mut phase = Phase {
        sent: 0,
        answered: 0,
        refused: BTreeMap::new(),
        latency_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
        claim_writes: 0.0,
        platform_writes: 0,
    };
    let mut orders = JoinSet::new();
    let send_interval = Duration::from_secs(1) / u32::try_from(arguments.orders_per_s)?;
    let mut interval = tokio::time::interval(send_interval);
    for number in 0..arguments.orders_per_s * arguments.phase_s {
        interval.tick().await;
        let name = &names[usize::try_from(number)? % names.len()];
        let caller = TestClient::new(fleet.node(name).caller_address, Some(EXAMPLE_ORDER_KEY));
        orders.spawn(send_order(caller, *next_number + number));
        phase.sent += 1;
    }
    *next_number += phase.sent;
    while let Some(joined) = orders.join_next().await {
        let (result, latency_us) = joined?;
        match result {
            Ok(()) => phase.answered += 1,
            Err(reason) => *phase.refused.entry(reason).or_insert(0) += 1,
        }
        phase.latency_us.saturating_record(latency_us);
    }
    phase.claim_writes = claim_writes(fleet, names).await? - claims_before;
    phase.platform_writes = platform_writes(fleet).await?.saturating_sub(writes_before);
    Ok(phase)
}

async fn send_order(caller: TestClient, number: u64) -> (Result<(), String>, u64) {
    let key = format!("order-{number}");
    let headers = [("idempotency-key", key.as_str())];
    let body = Bytes::from(format!("{{\"order\":{number}}}"));
    let sent = Instant::now();
    let answer = caller.call(Method::POST, "/orders", &headers, body).await;
    let latency_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
    let result = match answer {
        Ok(answer) if answer.status == StatusCode::OK => Ok(()),
        Ok(answer) => Err(rejection_reason(&answer.body)),
        Err(error) => Err(error.to_string()),
    };
    (result, latency_us)
}

fn rejection_reason(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let text = |name: &str| error[name].as_str().unwrap_or("").to_owned();
    format!("{}/{}", text("code"), text("execution"))
}

async fn claim_writes(fleet: &Fleet, names: &[String]) -> anyhow::Result<f64> {
    let mut writes = 0.0;
    for name in names {
        let metrics = fleet.node(name).metrics().await?;
        let claims = metrics
            .iter()
            .filter(|(name, _)| name.starts_with(WRITES_METRIC));
        writes += claims.map(|(_, count)| count).sum::<f64>();
    }
    Ok(writes)
}

async fn platform_writes(fleet: &Fleet) -> anyhow::Result<u64> {
    let calls = fleet.platform_calls().await?;
    let is_write = |name: &str| name.contains("put") || name.contains("delete");
    Ok(calls
        .iter()
        .filter(|(name, _)| is_write(name))
        .map(|(_, count)| count)
        .sum())
}

impl Phase {
    fn print(&self, name: &str, phase_s: u64) {
        let ms = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{name}: sent {} answered {} refused {:?} p50 {:.1} ms p99 {:.1} ms, {:.3} claim writes \
             an order, {:.1} platform writes/s",
            self.sent,
            self.answered,
            self.refused,
            ms(0.5),
            ms(0.99),
            self.claim_writes / self.sent as f64,
            self.platform_writes as f64 / phase_s as f64,
        );
    }
}
