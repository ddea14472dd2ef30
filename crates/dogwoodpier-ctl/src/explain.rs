//! Explains from the logs of instances what happened to a request, and why.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

use serde_json::Map;
use serde_json::Value;

use crate::error::Error;
use crate::error::Result;

// Time before a request's first line within which changes of an instance's state may have affected the
// request. It is longer than any entry or report stays valid.
const LOOKBACK_MS: u64 = 5_000;
// Fields that `describe` doesn't list by name: it prints them in columns, or they are the same for all
// events of the request.
const COMMON_FIELDS: [&str; 4] = ["unix_ms", "instance", "event", "request_id"];

/// An event that an instance logged.
#[derive(Clone, Debug)]
struct Event {
    unix_ms: u64,
    fields: Map<String, Value>,
}

impl Event {
    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }
}

/// Reads log files and returns a description of the events that concern a request.
pub fn explain<'a, F>(request_id: &str, files: F) -> Result<String>
where
    F: IntoIterator<Item = &'a Path>,
{
    let mut events = Vec::new();
    let mut unreadable = 0;
    for file in files {
        let bytes = std::fs::read(file).map_err(|source| Error::Input {
            what: file.display().to_string(),
            source,
        })?;
        parse_events(
            &String::from_utf8_lossy(&bytes),
            &mut events,
            &mut unreadable,
        );
    }
    Ok(report(request_id, events, unreadable))
}

// Parses the events of a log. A line may start with a prefix, as log collectors add. Lines that are
// truncated or aren't events are counted and skipped.
fn parse_events(text: &str, events: &mut Vec<Event>, unreadable: &mut usize) {
    for line in text.lines() {
        let Some(start) = line.find("{\"") else {
            continue;
        };
        let event = serde_json::from_str::<Map<String, Value>>(&line[start..]).ok();
        let event = event.and_then(|fields| {
            let unix_ms = fields.get("unix_ms")?.as_u64()?;
            fields.get("event")?.as_str()?;
            Some(Event { unix_ms, fields })
        });
        match event {
            Some(event) => events.push(event),
            None => *unreadable += 1,
        }
    }
}

fn report(request_id: &str, mut events: Vec<Event>, unreadable: usize) -> String {
    events.sort_by_key(|event| event.unix_ms);
    let request_events: Vec<&Event> = events
        .iter()
        .filter(|event| event.text("request_id") == request_id)
        .collect();
    let mut report = String::new();
    let mut push_line = |text: String| {
        // Writing to a string can't fail.
        let _ = writeln!(report, "{text}");
    };
    if unreadable > 0 {
        push_line(format!(
            "{unreadable} lines are cut or of another version; passed over"
        ));
    }
    let Some(first) = request_events.first() else {
        push_line(format!(
            "no line tells of request {request_id}: it reached none of these instances"
        ));
        return report;
    };
    let last_ms = request_events
        .last()
        .map_or(first.unix_ms, |event| event.unix_ms);
    let span = first.unix_ms.saturating_sub(LOOKBACK_MS)..=last_ms;
    let upstreams: BTreeSet<&str> = request_events
        .iter()
        .flat_map(|event| ["upstream", "decode", "prefill"].map(|field| event.text(field)))
        .filter(|id| !id.is_empty())
        .collect();
    let state_events = events.iter().filter(|event| {
        let concerns_upstream = upstreams.contains(event.text("upstream"));
        let general = ["store", "owner_silent", "stopping", "settings"];
        event.text("request_id").is_empty()
            && span.contains(&event.unix_ms)
            && (concerns_upstream || general.contains(&event.text("event")))
    });
    let mut described: Vec<&Event> = request_events.iter().copied().chain(state_events).collect();
    described.sort_by_key(|event| event.unix_ms);
    for event in described {
        push_line(describe(event, first.unix_ms));
    }
    push_line(conclusion(&request_events));
    report
}

fn describe(event: &Event, start_ms: u64) -> String {
    let offset_ms = event.unix_ms as i64 - start_ms as i64;
    let mut text = format!(
        "{offset_ms:>7} ms  {:<16} {:<20}",
        event.text("instance"),
        event.text("event")
    );
    for (name, value) in &event.fields {
        if !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null() {
            // Writing to a string can't fail.
            let _ = write!(text, " {name}={value}");
        }
    }
    text
}

fn conclusion(request_events: &[&Event]) -> String {
    let last = |names: &[&str]| {
        let mut events = request_events.iter().rev();
        events.find(|event| names.contains(&event.text("event")))
    };
    if let Some(rejected) = last(&["rejected"]) {
        let cause = last(&["over_quota", "not_placed", "answer_unusable", "send_failed"]);
        let cause = cause.map_or_else(String::new, |cause| {
            let detail = [
                cause.text("cause"),
                cause.text("result"),
                cause.text("detail"),
            ];
            let detail: Vec<&str> = detail.into_iter().filter(|text| !text.is_empty()).collect();
            format!(", after {} {}", cause.text("event"), detail.join(": "))
        });
        return format!(
            "The gateway answered {} itself: {}{cause}.",
            rejected.fields["status"],
            rejected.text("reason")
        );
    }
    if let Some(ended) = last(&["stream_ended"]) {
        return format!(
            "The stream from {} ended: {}; {} bytes, longest pause {} ms.",
            ended.text("upstream"),
            ended.text("outcome"),
            ended.fields["bytes"],
            ended.fields["longest_gap_ms"],
        );
    }
    match last(&["answered"]) {
        Some(answered) => format!(
            "An upstream's answer was delivered with status {}.",
            answered.fields["status"]
        ),
        None => "No line tells how it ended: its client left, or the log ends before.".to_owned(),
    }
}
