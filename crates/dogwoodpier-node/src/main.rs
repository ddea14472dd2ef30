//! The `dogwoodpier` binary: one node.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use dogwoodpier_config::Problems;
use dogwoodpier_gateway::Settings as GatewaySettings;
use dogwoodpier_gateway::settings as gateway_settings;
use dogwoodpier_node::cli;
use dogwoodpier_node::cli::Order;
use dogwoodpier_node::settings;
use dogwoodpier_node::settings::Settings;
use dogwoodpier_node::start;
use dogwoodpier_node::telemetry;
use dogwoodpier_process::recorder;

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
        Some(Order::Gateway(file)) => match gateway_settings::load(&file) {
            Ok(settings) => exit_code(run_gateway(settings, file)),
            Err(problems) => wrong_settings(&problems),
        },
        Some(Order::CheckGateway(file)) => match gateway_settings::load(&file) {
            Ok(_) => {
                println!("{}: the settings are right", file.display());
                ExitCode::SUCCESS
            }
            Err(problems) => wrong_settings(&problems),
        },
        None => ExitCode::from(EXIT_WRONG_SETTINGS),
    }
}

fn wrong_settings(problems: &Problems) -> ExitCode {
    eprintln!("{problems}");
    ExitCode::from(EXIT_WRONG_SETTINGS)
}

fn load(file: &Path) -> Result<Settings, ExitCode> {
    settings::load(file).map_err(|problems| wrong_settings(&problems))
}

fn run(settings: Settings) -> ExitCode {
    exit_code(try_run(settings))
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dogwoodpier: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn try_run(settings: Settings) -> anyhow::Result<()> {
    telemetry::start_logs(&settings.log, &settings.instance)?;
    recorder::start()?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(start::run(settings))
}

// A gateway's instances are small: one thread saves them the cost of waking others.
fn run_gateway(settings: GatewaySettings, file: PathBuf) -> anyhow::Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(dogwoodpier_gateway::start::run(
            settings,
            file,
            dogwoodpier_adapter::dialect(),
        ))
}
