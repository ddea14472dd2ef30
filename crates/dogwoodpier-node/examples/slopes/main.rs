//! Measures what a node costs as the fleet grows: processor time, memory, bytes exchanged with
//! peers and calls to the platform, each over several sizes of one dimension, with the slope.
//!
//! Run it as a release build on an otherwise idle machine:
//! `slopes [nodes|workspaces|upstreams|slots|requests]`.

mod declare;
mod load;
mod sample;

use std::env;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;

use dogwoodpier_fakes::engine::EngineOptions;
use dogwoodpier_fakes::engine::EngineRole;
use dogwoodpier_fakes::fleet::Fleet;
use dogwoodpier_fakes::fleet::FleetPlan;

use crate::declare::Sizes;
use crate::sample::Cost;
use crate::sample::Reading;

const SETTLE_TIME: Duration = Duration::from_secs(8);
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

const DEFAULT_SIZES: Sizes = Sizes {
    nodes: 8,
    workspaces: 10,
    upstreams: 8,
    slots: 32,
    requests_per_s: 0,
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let wanted = env::args().nth(1);
    let mut found = false;
    for (name, sizes) in dimensions() {
        if wanted.as_ref().is_none_or(|wanted| wanted == name) {
            found = true;
            measure_dimension(name, &sizes).await?;
        }
    }
    if !found {
        bail!("no such dimension; take one of nodes, workspaces, upstreams, slots, requests");
    }
    Ok(())
}

fn dimensions() -> Vec<(&'static str, Vec<(u32, Sizes)>)> {
    let vary = |values: &[u32], set: fn(&mut Sizes, u32)| {
        let with = |value: &u32| {
            let mut sizes = DEFAULT_SIZES;
            set(&mut sizes, *value);
            (*value, sizes)
        };
        values.iter().map(with).collect()
    };
    vec![
        (
            "nodes",
            vary(&[4, 8, 16, 32, 48], |sizes, value| sizes.nodes = value),
        ),
        (
            "workspaces",
            vary(&[10, 500, 1_900], |sizes, value| sizes.workspaces = value),
        ),
        (
            "upstreams",
            vary(&[8, 32, 128], |sizes, value| sizes.upstreams = value),
        ),
        (
            "slots",
            vary(&[32, 128, 512], |sizes, value| sizes.slots = value),
        ),
        (
            "requests",
            vary(&[0, 100, 200, 400], |sizes, value| {
                sizes.requests_per_s = value
            }),
        ),
    ]
}

async fn measure_dimension(name: &str, sizes: &[(u32, Sizes)]) -> anyhow::Result<()> {
    println!("\n{name}, mean of all nodes");
    println!("{:>10} {}", name, Cost::HEADER);
    let mut points = Vec::new();
    for (value, sizes) in sizes {
        let cost = measure(sizes)
            .await
            .with_context(|| format!("{name} {value}"))?;
        println!("{value:>10} {cost}");
        points.push((f64::from(*value), cost));
    }
    println!("{:>10} {}", "slope", Cost::slope(&points));
    Ok(())
}

async fn measure(sizes: &Sizes) -> anyhow::Result<Cost> {
    let fleet = Fleet::start(plan(sizes)?).await?;
    let load = load::start(&fleet, sizes.requests_per_s);
    tokio::time::sleep(SETTLE_TIME).await;
    let before = Reading::take(&fleet).await?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let after = Reading::take(&fleet).await?;
    load.abort();
    Ok(Cost::between(&before, &after))
}

fn plan(sizes: &Sizes) -> anyhow::Result<FleetPlan> {
    let own = env::current_exe().context("can't tell the path of this program")?;
    let directory = own
        .parent()
        .and_then(Path::parent)
        .context("no directory above this program")?;
    let mut plan = FleetPlan::new(directory.join("dogwoodpier"), sizes.nodes as usize, 4);
    for number in 0..sizes.upstreams {
        let (role, pool) = if number % 2 == 0 {
            (EngineRole::Prefill, declare::PREFILL_POOL)
        } else {
            (EngineRole::Decode, declare::DECODE_POOL)
        };
        plan = plan.engine(&format!("engine-{number}"), pool, EngineOptions::new(role));
    }
    plan = plan.service("service-0", declare::SERVICE_POOL);
    plan.declarations = declare::declarations(sizes);
    Ok(plan)
}
