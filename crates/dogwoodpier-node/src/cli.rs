//! The command line of `dogwoodpier`.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// What the command line asks for.
pub enum Order {
    /// Run a node with the settings of a file.
    Run(PathBuf),
    /// Check the settings of a file.
    Check(PathBuf),
    /// Run a gateway with the settings of a file.
    Gateway(PathBuf),
    /// Check the settings of a gateway.
    CheckGateway(PathBuf),
}

/// Returns the command line's description.
pub fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings of the node, TOML")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    Command::new("dogwoodpier")
        .about("Routes requests to model engines and plain services")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Runs a node until it gets SIGTERM, then drains and ends")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks settings and prints all that is wrong; exit code 2 if anything is")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("gateway")
                .about("Runs a gateway before the users' platform until it gets SIGTERM")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("check-gateway")
                .about("Checks the settings of a gateway; exit code 2 if anything is wrong")
                .arg(settings),
        )
}

/// Returns what the matches of [`command`] ask for.
pub fn order(matches: &ArgMatches) -> Option<Order> {
    let (name, matches) = matches.subcommand()?;
    let settings = matches.get_one::<PathBuf>("settings")?.clone();
    match name {
        "run" => Some(Order::Run(settings)),
        "check" => Some(Order::Check(settings)),
        "gateway" => Some(Order::Gateway(settings)),
        "check-gateway" => Some(Order::CheckGateway(settings)),
        _ => None,
    }
}
