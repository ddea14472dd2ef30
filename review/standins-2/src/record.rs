//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::exit;
use std::sync::Mutex;
use std::time::Instant;

/// Exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code if the rule held.
pub const HELD: i32 = 0;
/// Exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

/// Writes lines with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &str) -> Self {
        let path = Path::new(folder).join("record.txt");
        match File::create(path) {
            Ok(file) => Self {
                file: Mutex::new(file),
                started: Instant::now(),
            },
            Err(error) => {
                eprintln!("the record can't be written: {error}");
                exit(NOT_RUN)
            }
        }
    }

    /// Writes a line.
    pub fn line<T: AsRef<str>>(&self, text: T) {
        let elapsed_ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{elapsed_ms:>7} ms  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say<T: AsRef<str>>(&self, text: T) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Returns whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}
