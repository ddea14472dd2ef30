//! The command line of `dogwoodpierctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

const DEFAULT_TIMEOUT_MS: &str = "5000";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("dogwoodpierctl")
        .about("Operates a fleet of dogwoodpier nodes")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("IP:PORT")
                .help("Address of the platform's object API")
                .global(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .help("Time limit of one call")
                .global(true)
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64)),
        )
        .subcommands([
            Command::new("validate")
                .about(
                    "Checks declarations and prints all problems; exits with code 2 if there are any",
                )
                .arg(file()),
            Command::new("plan")
                .about("Shows field by field what an apply would change")
                .arg(file()),
            apply(),
            Command::new("get")
                .about("Prints the declarations in force, or those of a former version")
                .arg(version("Version to print instead of the one in force")),
            Command::new("history").about("Lists the versions in the history, newest first"),
            Command::new("status")
                .about("Shows which version each instance runs")
                .arg(node().action(ArgAction::Append)),
            Command::new("dump")
                .about("Prints the state of one node as JSON")
                .arg(node().required(true)),
            Command::new("explain")
                .about("Explains from logs of gateways what happened to a request, and why")
                .arg(
                    Arg::new("request-id")
                        .value_name("REQUEST-ID")
                        .help("Identity of the request")
                        .required(true),
                )
                .arg(
                    Arg::new("files")
                        .value_name("FILES")
                        .help("Log files of one or more instances")
                        .required(true)
                        .action(ArgAction::Append)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf)),
                ),
            Command::new("hash-key")
                .about("Reads a key from standard input and prints its hash for the declarations"),
        ])
}

/// Returns the path of the file of declarations.
pub fn file_of(matches: &ArgMatches) -> Option<&PathBuf> {
    matches.get_one("file")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Puts declarations in force")
        .arg(file())
        .arg(
            Arg::new("message")
                .long("message")
                .short('m')
                .value_name("TEXT")
                .help("What changes and why, kept in the history")
                .required(true),
        )
        .arg(
            Arg::new("expect-version")
                .long("expect-version")
                .value_name("N")
                .help("Version that `plan` showed as in force; 0 for the first")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Author of the change; defaults to the user's name"),
        )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("File of declarations in TOML")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn version(help: &'static str) -> Arg {
    Arg::new("version")
        .long("version")
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn node() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("IP:PORT")
        .help("A node's address for operators; `status` uses all registered nodes if none is given")
        .value_parser(value_parser!(SocketAddr))
}
