//! Starts nodes and stand-ins as processes, sends model requests with streamed answers, orders that
//! may run once and lookups, and kills one node meanwhile.
//!
//! Prints the state of a node and then the counts of the outcomes of all requests. Exits with an
//! error if a request was lost or doubled.

mod report;
mod work;

use std::env;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use anyhow::Context;
use anyhow::ensure;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;
use dogwoodpier_fakes::fleet::Placement;
use dogwoodpier_fakes::fleet::UpstreamKind;
use dogwoodpier_fakes::fleet::UpstreamPlan;

use crate::report::Report;
use crate::work::Addresses;
use crate::work::Job;

const SEED: u64 = 7;
const NODES: usize = 4;
const DATA_CENTRES: usize = 2;
const JOBS: usize = 400;
const CALLERS: usize = 24;
const KILL_AFTER_JOBS: usize = JOBS / 3;
// Long enough that the killed node has orders in flight.
const ORDER_WORK_MS: u64 = 50;
const KILLED_NODE: &str = "node-2";
const DUMPED_NODE: &str = "node-1";
const SERVICE: &str = "orders-1";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("starting {NODES} nodes, 5 engines, a plain service and the platform's stand-in");
    let mut fleet = Fleet::start(plan()?).await?;
    let addresses: Addresses = Arc::new(
        fleet
            .nodes()
            .values()
            .map(|node| node.caller_address)
            .collect(),
    );
    println!("sending {JOBS} requests; {KILLED_NODE} is killed after {KILL_AFTER_JOBS}");

    let next = Arc::new(AtomicUsize::new(0));
    let report = Arc::new(Mutex::new(Report::default()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let seed = SEED + number as u64;
            tokio::spawn(run_jobs(
                seed,
                next.clone(),
                addresses.clone(),
                report.clone(),
            ))
        })
        .collect();
    while next.load(Ordering::SeqCst) < KILL_AFTER_JOBS {
        tokio::task::yield_now().await;
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    fleet.node_mut(KILLED_NODE).kill().await?;
    for caller in callers {
        caller.await?;
    }

    let mut report = Arc::into_inner(report)
        .and_then(|report| report.into_inner().ok())
        .context("a caller panicked")?;
    report.compare_with_service(&fleet.stats(SERVICE).await?);
    let dump = fleet.node(DUMPED_NODE).dump().await?;
    println!(
        "state of {DUMPED_NODE}:\n{}",
        serde_json::to_string_pretty(&dump)?
    );
    println!("{report}");
    ensure!(report.is_successful(), "requests were lost or doubled");
    Ok(())
}

// Runs jobs until there are no more.
async fn run_jobs(
    seed: u64,
    next: Arc<AtomicUsize>,
    addresses: Addresses,
    report: Arc<Mutex<Report>>,
) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        let number = next.fetch_add(1, Ordering::SeqCst);
        if number >= JOBS {
            return;
        }
        let job = Job::new(number);
        let first_node = random.random_range(0..addresses.len());
        let outcome = job.run(&addresses, first_node).await;
        report
            .lock()
            .expect("no caller panics with the report")
            .add(job, outcome);
    }
}

fn plan() -> anyhow::Result<FleetPlan> {
    let directory = program_directory()?;
    let engine = |role| EngineOptions::new(role);
    let mut plan = FleetPlan::new(directory.join("dogwoodpier"), NODES, DATA_CENTRES)
        .engine("prefill-1", "quotes-prefill", engine(EngineRole::Prefill))
        .engine("prefill-2", "quotes-prefill", engine(EngineRole::Prefill))
        .engine("decode-1", "quotes-decode", engine(EngineRole::Decode))
        .engine("decode-2", "quotes-decode", engine(EngineRole::Decode))
        .engine("decode-3", "quotes-decode", engine(EngineRole::Decode));
    plan.upstreams.push(UpstreamPlan {
        name: SERVICE.to_owned(),
        data_centre: "dc-1".to_owned(),
        pool: "order-service".to_owned(),
        kind: UpstreamKind::Service {
            work_ms: ORDER_WORK_MS,
        },
    });
    plan.placement = Placement::Processes {
        directory: directory.join("examples"),
    };
    plan.declarations = include_str!("../../../../examples/declarations.toml").to_owned();
    Ok(plan)
}

// Returns the directory of the binaries, one above that of this example.
fn program_directory() -> anyhow::Result<PathBuf> {
    let own = env::current_exe().context("can't tell the path of this program")?;
    let directory = own
        .parent()
        .and_then(Path::parent)
        .context("no directory above this program")?;
    let program = directory.join("dogwoodpier");
    ensure!(
        program.exists(),
        "{} is missing: build the binaries and examples first, as examples/demo.sh does",
        program.display()
    );
    Ok(directory.to_owned())
}
