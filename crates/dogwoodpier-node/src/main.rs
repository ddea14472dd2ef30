//! The `dogwoodpier` binary: one node.

use std::path::Path;
use std::process::ExitCode;

use dogwoodpier_node::cli;
use dogwoodpier_node::cli::Order;
use dogwoodpier_node::settings;
use dogwoodpier_node::settings::Settings;
use dogwoodpier_node::start;
use dogwoodpier_node::telemetry;

const EXIT_WRONG_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    match cli::order(&cli::command().get_matches()) {
        Some(Order::Run(file)) => load(&file).map_or_else(|code| code, run),
        Some(Order::Check(file)) => load(&file).map_or_else(
            |code| code,
            |_| {
                println!("{}: the settings are right", file.display());
                ExitCode::SUCCESS
            },
        ),
        None => ExitCode::from(EXIT_WRONG_SETTINGS),
    }
}

fn load(file: &Path) -> Result<Settings, ExitCode> {
    settings::load(file).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_WRONG_SETTINGS)
    })
}

fn run(settings: Settings) -> ExitCode {
    match try_run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dogwoodpier: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn try_run(settings: Settings) -> anyhow::Result<()> {
    telemetry::start_logs(&settings.log, &settings.instance)?;
    telemetry::start_metrics()?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(start::run(settings))
}
