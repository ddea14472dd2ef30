//! The `dogwoodpier` binary: one node.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use dogwoodpier_config::Problems;
use dogwoodpier_gateway::Settings as GatewaySettings;
use dogwoodpier_gateway::settings as gateway_settings;
use dogwoodpier_node::cli;
use dogwoodpier_node::cli::Action;
use dogwoodpier_node::settings;
use dogwoodpier_node::settings::Settings;
use dogwoodpier_node::start;
use dogwoodpier_node::telemetry;
use dogwoodpier_process::recorder;

const EXIT_CODE_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    match cli::parse(&cli::command().get_matches()) {
        Some(Action::Run(file)) => {
            with_settings(settings::load(&file), |settings| exit_code(run(settings)))
        }
        Some(Action::Check(file)) => with_settings(settings::load(&file), |_| report_valid(&file)),
        Some(Action::Gateway(file)) => with_settings(gateway_settings::load(&file), |settings| {
            exit_code(run_gateway(settings, file))
        }),
        Some(Action::CheckGateway(file)) => {
            with_settings(gateway_settings::load(&file), |_| report_valid(&file))
        }
        None => ExitCode::from(EXIT_CODE_INVALID_SETTINGS),
    }
}

// Calls `action` with the settings, or prints the problems found in them.
fn with_settings<T, G>(settings: Result<T, Problems>, action: G) -> ExitCode
where
    G: FnOnce(T) -> ExitCode,
{
    settings.map_or_else(
        |problems| {
            eprintln!("{problems}");
            ExitCode::from(EXIT_CODE_INVALID_SETTINGS)
        },
        action,
    )
}

fn report_valid(file: &Path) -> ExitCode {
    println!("{}: the settings are right", file.display());
    ExitCode::SUCCESS
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

fn run(settings: Settings) -> anyhow::Result<()> {
    telemetry::start_logs(&settings.log, &settings.instance)?;
    recorder::start()?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(start::run(settings))
}

// A gateway runs on small instances: a single thread avoids the cost of waking other threads.
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
