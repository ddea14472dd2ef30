//! The command line of `dogwoodpier`.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// The action selected by the command line.
pub enum Action {
    /// Run a node with the settings of a file.
    Run(PathBuf),
    /// Check the settings of a file.
    Check(PathBuf),
    /// Run a gateway with the settings of a file.
    Gateway(PathBuf),
    /// Check the settings of a gateway.
    CheckGateway(PathBuf),
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("File of settings, TOML")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    Command::new("dogwoodpier")
        .about("Routes requests to model engines and plain services")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Runs a node until it receives SIGTERM, then drains it and exits")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks settings and prints all problems; exit code 2 if there are any")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("gateway")
                .about("Runs a gateway in front of the users' platform until it receives SIGTERM")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check-gateway")
                .about("Checks the settings of a gateway; exit code 2 if there are problems")
                .arg(settings),
        )
}

/// Returns the action that the matches of [`command`] select, `None` if they select none.
pub fn parse(matches: &ArgMatches) -> Option<Action> {
    let (name, matches) = matches.subcommand()?;
    let settings = matches.get_one::<PathBuf>("settings")?.clone();
    match name {
        "run" => Some(Action::Run(settings)),
        "check" => Some(Action::Check(settings)),
        "gateway" => Some(Action::Gateway(settings)),
        "check-gateway" => Some(Action::CheckGateway(settings)),
        _ => None,
    }
}
