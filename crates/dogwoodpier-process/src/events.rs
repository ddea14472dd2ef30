//! Structured log of events on standard output, one JSON object a line.
//!
//! Writers never wait: lines go through a bounded queue to a thread of their own, and each kind of
//! event has a budget of lines a second. What is left out is counted and reported.

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

// Lines that may wait for standard output: a second's worth of a busy instance.
const QUEUE_LINES: usize = 2_048;
const SECOND_MS: u64 = 1_000;

/// Bounds of the log.
#[derive(Clone, Copy, Debug)]
pub struct EventOptions {
    /// Most lines a second of one kind of event.
    pub lines_per_s: u32,
}

impl Default for EventOptions {
    fn default() -> Self {
        // Twenty kinds of events together then stay below the rate of a slow terminal or collector.
        Self { lines_per_s: 100 }
    }
}

#[derive(Default)]
struct Budget {
    second: u64,
    written: u32,
    left_out: u64,
}

struct Shared {
    instance: String,
    options: EventOptions,
    sender: SyncSender<String>,
    budgets: Mutex<BTreeMap<&'static str, Budget>>,
    queue_full: AtomicU64,
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
                budgets: Mutex::default(),
                queue_full: AtomicU64::new(0),
            }),
        }
    }

    /// Writes an event with its fields, an object. Never blocks.
    pub fn write(&self, event: &'static str, fields: Value) {
        let Some(left_out) = self.take(event, clock::now()) else {
            return;
        };
        let mut line = Map::new();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
        line.insert("unix_ms".to_owned(), unix_ms.into());
        line.insert("instance".to_owned(), self.shared.instance.as_str().into());
        line.insert("event".to_owned(), event.into());
        if left_out > 0 {
            line.insert("lines_left_out".to_owned(), left_out.into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let line = Value::Object(line).to_string();
        if self.shared.sender.try_send(line).is_err() {
            self.shared.queue_full.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines lost because standard output was too slow.
    pub fn lines_lost(&self) -> u64 {
        self.shared.queue_full.load(Ordering::Relaxed)
    }

    // Returns how many lines of this kind were left out before, or `None` if this one is too.
    fn take(&self, event: &'static str, now: TimeMs) -> Option<u64> {
        let mut budgets = self
            .shared
            .budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(event).or_default();
        let second = now.0 / SECOND_MS;
        if budget.second != second {
            budget.second = second;
            budget.written = 0;
        }
        if budget.written >= self.shared.options.lines_per_s {
            budget.left_out += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.left_out))
    }
}

fn write_lines<W>(receiver: &Receiver<String>, mut output: W)
where
    W: Write,
{
    while let Ok(line) = receiver.recv() {
        // A closed standard output leaves nowhere to report to.
        if writeln!(output, "{line}").is_err() {
            return;
        }
    }
}
