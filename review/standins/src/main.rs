//! Stand-ins of the review's scripts, and the scripts' courses.
//!
//! `standins case NAME FOLDER` plays a case and writes `record.txt` to the folder. It exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.

mod cases;
mod client;
mod deployment;
mod http;
mod path;
mod record;
mod runner;
mod store;

use std::panic;
use std::process::ExitCode;

use self::record::Record;

const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// Ends a case that can't run. What it started is ended on the way.
pub fn cannot_run(reason: &str) -> ! {
    panic!("the case can't run: {reason}")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["runner", options] => match runner::run(options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("the runner ends: {error}");
                ExitCode::FAILURE
            }
        },
        ["case", name, folder] => play(name, folder),
        _ => {
            eprintln!("use: standins case NAME FOLDER");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn play(name: &str, folder: &str) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record::default();
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| {
        cases::play(name, has_trouble, &mut record)
    }));
    let verdict = match result {
        Ok(true) => "broken",
        Ok(false) => "held",
        Err(_) => "not run",
    };
    record.note(&format!("case {name}, trouble {has_trouble}: {verdict}"));
    if let Err(error) = record.save(folder) {
        eprintln!("the record can't be written: {error}");
    }
    match verdict {
        "broken" => ExitCode::from(BROKEN),
        "held" => ExitCode::SUCCESS,
        _ => ExitCode::from(NOT_RUN),
    }
}
