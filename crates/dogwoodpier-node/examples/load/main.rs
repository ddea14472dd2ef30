//! Starts real nodes and stand-ins, all as processes, sends them the load of one of two
//! deployments, and prints the figures that its users measure. Build everything with
//! `cargo build --release --workspace --bins --examples` first.

#![forbid(unsafe_code)]

mod arguments;
mod balancer;
mod deployment;
mod drive;
mod faults;
mod policing;
mod record;
mod report;
mod schedule;
mod summary;

use crate::arguments::Arguments;
use crate::summary::Summary;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let arguments = Arguments::read()?;
    let mut summaries: Vec<Summary> = Vec::new();
    for run in arguments.runs() {
        eprintln!("running {run}");
        let records = drive::drive(&arguments, &run).await?;
        let summary = Summary::of(&run, &records);
        report::print_run(&summary);
        summaries.push(summary);
    }
    report::print_comparison(&summaries);
    if let Some(path) = &arguments.json {
        report::write_json(path, &summaries)?;
    }
    Ok(())
}
