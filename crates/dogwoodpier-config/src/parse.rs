//! Parsing of declarations from TOML.

use std::sync::Arc;

use crate::check;
use crate::declarations::Declarations;
use crate::declarations::Exception;
use crate::declarations::Field;
use crate::declarations::KeyEntry;
use crate::declarations::PoolEntry;
use crate::declarations::PoolValues;
use crate::declarations::RouteEntry;
use crate::declarations::RouteValues;
use crate::declarations::WorkspaceEntry;
use crate::declarations::WorkspaceValues;
use crate::effective::Model;
use crate::effective::PoolKind;
use crate::keys;
use crate::problem::Finding;
use crate::problem::Problems;
use crate::reader::Diagnostics;
use crate::reader::TableReader;

/// Parses and checks declarations. `file` names the text in messages.
pub fn parse(file: &str, text: &str) -> Result<Declarations, Problems> {
    let mut report = Diagnostics::new(file, text);
    let table = report.parse();
    let declarations = read(TableReader::root(table.get_ref()), &mut report);
    if report.is_clean() {
        for finding in check::findings(&declarations) {
            report.add(finding);
        }
    }
    report.finish(declarations)
}

fn read(mut root: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Declarations {
    let mut found = Declarations::default();
    let mut fleet = root.table("fleet", report);
    fleet.require(
        "slot_count",
        "give the number of slots, about four for each node",
        report,
    );
    if let Some(count) = fleet.integer("slot_count", report) {
        // A count that doesn't fit is out of bounds, as zero is.
        found.fleet.slot_count = u32::try_from(count).unwrap_or(0);
    }
    fleet.finish(report);
    read_defaults(&mut root, &mut found, report);
    for (name, fields) in root.entries("workspaces", report) {
        found
            .workspaces
            .insert(name, read_workspace(fields, report));
    }
    for (name, fields) in root.entries("keys", report) {
        if let Some(entry) = read_key(fields, report) {
            found.keys.insert(name, entry);
        }
    }
    for (name, fields) in root.entries("pools", report) {
        if let Some(entry) = read_pool(fields, report) {
            found.pools.insert(name, entry);
        }
    }
    for (name, fields) in root.entries("models", report) {
        if let Some(model) = read_model(fields, report) {
            found.models.insert(name, model);
        }
    }
    for (name, fields) in root.entries("routes", report) {
        if let Some(entry) = read_route(fields, report) {
            found.routes.insert(name, entry);
        }
    }
    for fields in root.tables("exceptions", report) {
        found.exceptions.extend(read_exception(fields, report));
    }
    root.finish(report);
    found
}

fn read_defaults(
    root: &mut TableReader<'_, '_>,
    found: &mut Declarations,
    report: &mut Diagnostics<'_>,
) {
    let mut defaults = root.table("defaults", report);
    let workspaces = defaults.table("workspaces", report);
    read_values(
        workspaces,
        WorkspaceValues::FIELDS,
        report,
        |field, value| found.defaults.workspaces.set(field, value),
    );
    let pools = defaults.table("pools", report);
    read_values(pools, PoolValues::FIELDS, report, |field, value| {
        found.defaults.pools.set(field, value)
    });
    let routes = defaults.table("routes", report);
    read_values(routes, RouteValues::FIELDS, report, |field, value| {
        found.defaults.routes.set(field, value)
    });
    defaults.finish(report);
}

// Reads the fields of one kind of defaults and gives each to `set`.
fn read_values<S>(
    mut fields: TableReader<'_, '_>,
    known: &'static [Field],
    report: &mut Diagnostics<'_>,
    mut set: S,
) where
    S: FnMut(&str, i64) -> bool,
{
    for field in known {
        if field.required {
            fields.require(field.name, &check::bounds(field), report);
        }
        if let Some(value) = fields.integer(field.name, report)
            && (!check::within(field, value) || !set(field.name, value))
        {
            let message = format!("{}, not {value}", check::bounds(field));
            report.add(Finding::new(fields.path_of(field.name), message));
        }
    }
    fields.finish(report);
}

fn read_workspace(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> WorkspaceEntry {
    let entry = WorkspaceEntry {
        allowed: fields.texts("allowed", report),
    };
    refuse_values(&mut fields, "workspaces", WorkspaceValues::FIELDS, report);
    fields.finish(report);
    entry
}

fn read_key(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Option<KeyEntry> {
    let workspace = required_text(&mut fields, "workspace", "name the key's workspace", report);
    for plain in ["key", "secret", "value", "token"] {
        if fields.has(plain) {
            fields.value(plain, report);
            report.add(Finding::new(
                fields.path_of(plain),
                format!(
                    "a key in plain text must not be in the file: {}",
                    keys::HASH_KEY_HELP
                ),
            ));
        }
    }
    let sha256 = required_text(&mut fields, "sha256", keys::HASH_KEY_HELP, report);
    fields.finish(report);
    Some(KeyEntry {
        workspace: workspace?,
        sha256: sha256?,
    })
}

fn read_pool(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Option<PoolEntry> {
    let right = "must be \"prefill\", \"decode\" or \"service\"";
    let kind = required_text(&mut fields, "kind", right, report);
    let kind = match kind.as_deref() {
        Some("prefill") => Some(PoolKind::Prefill),
        Some("decode") => Some(PoolKind::Decode),
        Some("service") => Some(PoolKind::Service),
        Some(other) => {
            let message = format!("{right}, not {other:?}");
            report.add(Finding::new(fields.path_of("kind"), message));
            None
        }
        None => None,
    };
    refuse_values(&mut fields, "pools", PoolValues::FIELDS, report);
    fields.finish(report);
    Some(PoolEntry { kind: kind? })
}

fn read_model(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Option<Model> {
    let prefill = "name a pool of kind \"prefill\"";
    let prefill_pool = required_text(&mut fields, "prefill_pool", prefill, report);
    let decode = "name a pool of kind \"decode\"";
    let decode_pool = required_text(&mut fields, "decode_pool", decode, report);
    fields.finish(report);
    Some(Model {
        prefill_pool: prefill_pool?,
        decode_pool: decode_pool?,
    })
}

fn read_route(mut fields: TableReader<'_, '_>, report: &mut Diagnostics<'_>) -> Option<RouteEntry> {
    let prefix = "give the start of the path, for example \"/orders\"";
    let path_prefix = required_text(&mut fields, "path_prefix", prefix, report);
    let methods = fields.texts("methods", report);
    let service = "name a pool of kind \"service\"";
    let pool = required_text(&mut fields, "pool", service, report);
    fields.require(
        "idempotent",
        "say true if a call may be repeated, false if it must run at most once",
        report,
    );
    let idempotent = fields.flag("idempotent", report);
    let open = fields.flag("open", report).unwrap_or(false);
    refuse_values(&mut fields, "routes", RouteValues::FIELDS, report);
    fields.finish(report);
    Some(RouteEntry {
        path_prefix: path_prefix?,
        methods,
        pool: pool?,
        idempotent: idempotent?,
        open,
    })
}

fn read_exception(
    mut fields: TableReader<'_, '_>,
    report: &mut Diagnostics<'_>,
) -> Option<Exception> {
    let what = "name what changes, for example \"workspaces.NAME.rate_tokens_per_s\"";
    let change = required_text(&mut fields, "change", what, report);
    fields.require("value", "give the value in place of the default", report);
    let value = fields.integer("value", report);
    let why = "say in a sentence why this deviates from the default";
    let reason = required_text(&mut fields, "reason", why, report);
    fields.finish(report);
    Some(Exception {
        change: change?,
        value: value?,
        reason: reason?,
    })
}

fn required_text(
    fields: &mut TableReader<'_, '_>,
    field: &'static str,
    right: &str,
    report: &mut Diagnostics<'_>,
) -> Option<Arc<str>> {
    fields.require(field, right, report);
    fields.text(field, report)
}

// Reports values that belong into the defaults or an exception.
fn refuse_values(
    fields: &mut TableReader<'_, '_>,
    kind: &str,
    known: &'static [Field],
    report: &mut Diagnostics<'_>,
) {
    for field in known {
        if !fields.has(field.name) {
            continue;
        }
        fields.value(field.name, report);
        let path = fields.path_of(field.name);
        let message = format!(
            "is set for all in [defaults.{kind}]; to deviate add [[exceptions]] with \
             change = \"{path}\", a value and a reason"
        );
        report.add(Finding::new(path, message));
    }
}
