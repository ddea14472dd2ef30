//! Compares two versions of declarations field by field.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;

use dogwoodpier_derive::plain;

use crate::declarations::Declarations;

/// A field that differs.
#[plain]
pub struct Change {
    /// Path of the field.
    pub path: String,
    /// Value before the change, absent if the field is new.
    pub before: Option<String>,
    /// Value after the change, absent if the field was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ {}: {before} -> {after}", self.path)
            }
            (None, Some(after)) => write!(formatter, "+ {}: {after}", self.path),
            (Some(before), None) => write!(formatter, "- {}: {before}", self.path),
            (None, None) => write!(formatter, "  {}", self.path),
        }
    }
}

/// Returns the fields that differ, in order of their paths. Exceptions are identified by the field
/// that they change, so their order doesn't matter.
pub fn diff(before: &Declarations, after: &Declarations) -> Vec<Change> {
    let before = fields(before);
    let after = fields(after);
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path))
        .map(|path| Change {
            path: path.clone(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        })
        .collect()
}

fn fields(declarations: &Declarations) -> BTreeMap<String, String> {
    let mut value = serde_json::to_value(declarations).expect("declarations have only text keys");
    let mut flattened = BTreeMap::new();
    if let Some(sections) = value.as_object_mut() {
        sections.remove("exceptions");
    }
    flatten("", &value, &mut flattened);
    for exception in &declarations.exceptions {
        flattened.insert(
            format!("exceptions[{}]", exception.change),
            format!("{} ({})", exception.value, exception.reason),
        );
    }
    flattened
}

fn flatten(path: &str, value: &Value, flattened: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten(&path, field, flattened);
            }
        }
        other => {
            flattened.insert(path.to_owned(), other.to_string());
        }
    }
}
