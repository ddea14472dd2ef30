//! The record of a case: what was sent, answered and run.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Instant;

use crate::client::Answer;

/// Lines of the record.
pub struct Record {
    started: Instant,
    lines: Vec<String>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            lines: Vec::new(),
        }
    }
}

impl Record {
    /// Adds a line with the time, and prints it.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:7.3} s  {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        self.lines.push(line);
    }

    /// Adds the answer to a request.
    pub fn answer(&mut self, id: &str, answer: &Answer) {
        let events = answer.body.matches("\n\n").count();
        self.lines.push(format!(
            "answer to {id}: status {}, {} bytes, {events} events, complete {}, after {} ms {}",
            answer.status,
            answer.body.len(),
            answer.complete,
            answer.elapsed.as_millis(),
            answer.problem,
        ));
    }

    /// Adds lines that others have written.
    pub fn add(&mut self, title: &str, text: &str) {
        self.lines.push(format!("-- {title}"));
        self.lines.extend(text.lines().map(str::to_owned));
    }

    /// Writes the record to a folder.
    pub fn save(&self, folder: &str) -> io::Result<()> {
        let text = self.lines.join("\n") + "\n";
        fs::write(Path::new(folder).join("record.txt"), text)
    }
}
