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
        Some(Order::Run(file)) => with(settings::load(&file), |settings| exit_code(run(settings))),
        Some(Order::Check(file)) => with(settings::load(&file), |_| report_right(&file)),
        Some(Order::Gateway(file)) => with(gateway_settings::load(&file), |settings| {
            exit_code(run_gateway(settings, file))
        }),
        Some(Order::CheckGateway(file)) => {
            with(gateway_settings::load(&file), |_| report_right(&file))
        }
        None => ExitCode::from(EXIT_WRONG_SETTINGS),
    }
}

// Goes on with settings, or prints what is wrong with them.
fn with<T, G>(settings: Result<T, Problems>, go_on: G) -> ExitCode
where
    G: FnOnce(T) -> ExitCode,
{
    settings.map_or_else(
        |problems| {
            eprintln!("{problems}");
            ExitCode::from(EXIT_WRONG_SETTINGS)
        },
        go_on,
    )
}

fn report_right(file: &Path) -> ExitCode {
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
