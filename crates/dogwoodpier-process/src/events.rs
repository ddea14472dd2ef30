//! Structured event log on standard output, one JSON object per line.
//!
//! Writers never block: a bounded queue passes the lines to a separate thread, and each kind of
//! event has a limit of lines per second. Lines above the limit are dropped, counted and reported.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Map;
use serde_json::Value;

use dogwoodpier_core::TimeMs;

use crate::clock;

// Lines that may wait for standard output, about one second of a busy instance's output.
const QUEUE_LINES: usize = 2_048;
const SECOND_MS: u64 = 1_000;

/// Options of the event log.
#[derive(Clone, Copy, Debug)]
pub struct EventOptions {
    /// Maximum number of lines per second for one kind of event.
    pub lines_per_s: u32,
}

impl Default for EventOptions {
    fn default() -> Self {
        // At this limit, twenty kinds of events together stay below the rate of a slow terminal or log
        // collector.
        Self { lines_per_s: 100 }
    }
}

#[derive(Default)]
struct LineLimit {
    second: u64,
    written: u32,
    dropped: u64,
}

struct Shared {
    instance: String,
    options: EventOptions,
    sender: SyncSender<String>,
    limits: Mutex<BTreeMap<&'static str, LineLimit>>,
    lines_lost: AtomicU64,
}

/// The event log of a process. Clones share it.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<Shared>,
}

impl EventLog {
    /// Returns a log that writes to standard output.
    pub fn to_stdout(instance: &str, options: EventOptions) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&receiver, std::io::stdout()));
        Self::with_sender(instance, options, sender)
    }

    /// Returns a log that sends its lines to `sender`.
    pub fn with_sender(instance: &str, options: EventOptions, sender: SyncSender<String>) -> Self {
        Self {
            shared: Arc::new(Shared {
                instance: instance.to_owned(),
                options,
                sender,
                limits: Mutex::default(),
                lines_lost: AtomicU64::new(0),
            }),
        }
    }

    /// Writes an event with its fields, given as a JSON object. Never blocks.
    pub fn write(&self, event: &'static str, fields: Value) {
        let Some(dropped) = self.admit_line(event, clock::now()) else {
            return;
        };
        let mut line = Map::new();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
        line.insert("unix_ms".to_owned(), unix_ms.into());
        line.insert("instance".to_owned(), self.shared.instance.as_str().into());
        line.insert("event".to_owned(), event.into());
        if dropped > 0 {
            line.insert("lines_left_out".to_owned(), dropped.into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let line = Value::Object(line).to_string();
        if self.shared.sender.try_send(line).is_err() {
            self.shared.lines_lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines lost because standard output was too slow.
    pub fn lines_lost(&self) -> u64 {
        self.shared.lines_lost.load(Ordering::Relaxed)
    }

    // Counts a line against the limit of its kind. Returns how many lines of the kind were dropped since
    // the last one that was written, or `None` if this one is dropped, too.
    fn admit_line(&self, event: &'static str, now: TimeMs) -> Option<u64> {
        let mut limits = self
            .shared
            .limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let limit = limits.entry(event).or_default();
        let second = now.0 / SECOND_MS;
        if limit.second != second {
            limit.second = second;
            limit.written = 0;
        }
        if limit.written >= self.shared.options.lines_per_s {
            limit.dropped += 1;
            return None;
        }
        limit.written += 1;
        Some(std::mem::take(&mut limit.dropped))
    }
}

fn write_lines<W>(receiver: &Receiver<String>, mut output: W)
where
    W: Write,
{
    while let Ok(line) = receiver.recv() {
        // Standard output is closed, so the error can't be reported anywhere.
        if writeln!(output, "{line}").is_err() {
            return;
        }
    }
}
