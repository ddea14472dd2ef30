//! The `dogwoodpierctl` binary, the operators' command line tool.

use std::process::ExitCode;

use dogwoodpier_ctl::Error;
use dogwoodpier_ctl::cli;
use dogwoodpier_ctl::commands;

const EXIT_INVALID_INPUT: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_UNKNOWN_OUTCOME: u8 = 4;

#[tokio::main]
async fn main() -> ExitCode {
    match commands::run(&cli::command().get_matches()).await {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            exit_code(&error)
        }
    }
}

fn exit_code(error: &Error) -> ExitCode {
    match error {
        Error::Declarations(_) | Error::Argument(_) | Error::Input { .. } => {
            ExitCode::from(EXIT_INVALID_INPUT)
        }
        Error::Conflict(_) => ExitCode::from(EXIT_CONFLICT),
        Error::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN_OUTCOME),
        _ => ExitCode::FAILURE,
    }
}
