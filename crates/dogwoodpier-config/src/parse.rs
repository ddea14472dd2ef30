//! Parses declarations from TOML.

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
    let mut diagnostics = Diagnostics::new(file, text);
    let table = diagnostics.parse();
    let declarations = read(TableReader::root(table.get_ref()), &mut diagnostics);
    if diagnostics.is_clean() {
        for finding in check::validate(&declarations) {
            diagnostics.add(finding);
        }
    }
    diagnostics.finish(declarations)
}

fn read(mut root: TableReader<'_, '_>, diagnostics: &mut Diagnostics<'_>) -> Declarations {
    let mut declarations = Declarations::default();
    let mut fleet = root.table("fleet", diagnostics);
    fleet.require(
        "slot_count",
        "give the number of slots, about four for each node",
        diagnostics,
    );
    if let Some(count) = fleet.integer("slot_count", diagnostics) {
        // A count that doesn't fit is out of bounds. It becomes zero, which the check reports.
        declarations.fleet.slot_count = u32::try_from(count).unwrap_or(0);
    }
    fleet.finish(diagnostics);
    read_defaults(&mut root, &mut declarations, diagnostics);
    for (name, fields) in root.entries("workspaces", diagnostics) {
        declarations
            .workspaces
            .insert(name, read_workspace(fields, diagnostics));
    }
    for (name, fields) in root.entries("keys", diagnostics) {
        if let Some(entry) = read_key(fields, diagnostics) {
            declarations.keys.insert(name, entry);
        }
    }
    for (name, fields) in root.entries("pools", diagnostics) {
        if let Some(entry) = read_pool(fields, diagnostics) {
            declarations.pools.insert(name, entry);
        }
    }
    for (name, fields) in root.entries("models", diagnostics) {
        if let Some(model) = read_model(fields, diagnostics) {
            declarations.models.insert(name, model);
        }
    }
    for (name, fields) in root.entries("routes", diagnostics) {
        if let Some(entry) = read_route(fields, diagnostics) {
            declarations.routes.insert(name, entry);
        }
    }
    for fields in root.tables("exceptions", diagnostics) {
        declarations
            .exceptions
            .extend(read_exception(fields, diagnostics));
    }
    root.finish(diagnostics);
    declarations
}

fn read_defaults(
    root: &mut TableReader<'_, '_>,
    declarations: &mut Declarations,
    diagnostics: &mut Diagnostics<'_>,
) {
    let mut defaults = root.table("defaults", diagnostics);
    let workspaces = defaults.table("workspaces", diagnostics);
    read_values(
        workspaces,
        WorkspaceValues::FIELDS,
        diagnostics,
        |field, value| declarations.defaults.workspaces.set(field, value),
    );
    let pools = defaults.table("pools", diagnostics);
    read_values(pools, PoolValues::FIELDS, diagnostics, |field, value| {
        declarations.defaults.pools.set(field, value)
    });
    let routes = defaults.table("routes", diagnostics);
    read_values(routes, RouteValues::FIELDS, diagnostics, |field, value| {
        declarations.defaults.routes.set(field, value)
    });
    defaults.finish(diagnostics);
}

// Reads the default values of one kind and passes each to `set`.
fn read_values<S>(
    mut fields: TableReader<'_, '_>,
    value_fields: &'static [Field],
    diagnostics: &mut Diagnostics<'_>,
    mut set: S,
) where
    S: FnMut(&str, i64) -> bool,
{
    for field in value_fields {
        if field.required {
            fields.require(field.name, &check::bounds_message(field), diagnostics);
        }
        if let Some(value) = fields.integer(field.name, diagnostics)
            && (!check::is_within_bounds(field, value) || !set(field.name, value))
        {
            let message = format!("{}, not {value}", check::bounds_message(field));
            diagnostics.add(Finding::new(fields.path_of(field.name), message));
        }
    }
    fields.finish(diagnostics);
}

fn read_workspace(
    mut fields: TableReader<'_, '_>,
    diagnostics: &mut Diagnostics<'_>,
) -> WorkspaceEntry {
    let entry = WorkspaceEntry {
        allowed: fields.texts("allowed", diagnostics),
    };
    reject_values(
        &mut fields,
        "workspaces",
        WorkspaceValues::FIELDS,
        diagnostics,
    );
    fields.finish(diagnostics);
    entry
}

fn read_key(
    mut fields: TableReader<'_, '_>,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<KeyEntry> {
    let workspace = required_text(
        &mut fields,
        "workspace",
        "name the key's workspace",
        diagnostics,
    );
    for field in ["key", "secret", "value", "token"] {
        if fields.has(field) {
            fields.value(field, diagnostics);
            diagnostics.add(Finding::new(
                fields.path_of(field),
                format!(
                    "a key in plain text must not be in the file: {}",
                    keys::HASH_KEY_HELP
                ),
            ));
        }
    }
    let sha256 = required_text(&mut fields, "sha256", keys::HASH_KEY_HELP, diagnostics);
    fields.finish(diagnostics);
    Some(KeyEntry {
        workspace: workspace?,
        sha256: sha256?,
    })
}

fn read_pool(
    mut fields: TableReader<'_, '_>,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<PoolEntry> {
    let expected = "must be \"prefill\", \"decode\" or \"service\"";
    let kind = required_text(&mut fields, "kind", expected, diagnostics);
    let kind = match kind.as_deref() {
        Some("prefill") => Some(PoolKind::Prefill),
        Some("decode") => Some(PoolKind::Decode),
        Some("service") => Some(PoolKind::Service),
        Some(other) => {
            let message = format!("{expected}, not {other:?}");
            diagnostics.add(Finding::new(fields.path_of("kind"), message));
            None
        }
        None => None,
    };
    reject_values(&mut fields, "pools", PoolValues::FIELDS, diagnostics);
    fields.finish(diagnostics);
    Some(PoolEntry { kind: kind? })
}

fn read_model(mut fields: TableReader<'_, '_>, diagnostics: &mut Diagnostics<'_>) -> Option<Model> {
    let prefill = "name a pool of kind \"prefill\"";
    let prefill_pool = required_text(&mut fields, "prefill_pool", prefill, diagnostics);
    let decode = "name a pool of kind \"decode\"";
    let decode_pool = required_text(&mut fields, "decode_pool", decode, diagnostics);
    fields.finish(diagnostics);
    Some(Model {
        prefill_pool: prefill_pool?,
        decode_pool: decode_pool?,
    })
}

fn read_route(
    mut fields: TableReader<'_, '_>,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<RouteEntry> {
    let prefix = "give the start of the path, for example \"/orders\"";
    let path_prefix = required_text(&mut fields, "path_prefix", prefix, diagnostics);
    let methods = fields.texts("methods", diagnostics);
    let service = "name a pool of kind \"service\"";
    let pool = required_text(&mut fields, "pool", service, diagnostics);
    fields.require(
        "idempotent",
        "say true if a call may be repeated, false if it must run at most once",
        diagnostics,
    );
    let idempotent = fields.flag("idempotent", diagnostics);
    let open = fields.flag("open", diagnostics).unwrap_or(false);
    reject_values(&mut fields, "routes", RouteValues::FIELDS, diagnostics);
    fields.finish(diagnostics);
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
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Exception> {
    let what = "name what changes, for example \"workspaces.NAME.rate_tokens_per_s\"";
    let change = required_text(&mut fields, "change", what, diagnostics);
    fields.require(
        "value",
        "give the value in place of the default",
        diagnostics,
    );
    let value = fields.integer("value", diagnostics);
    let why = "say in a sentence why this deviates from the default";
    let reason = required_text(&mut fields, "reason", why, diagnostics);
    fields.finish(diagnostics);
    Some(Exception {
        change: change?,
        value: value?,
        reason: reason?,
    })
}

fn required_text(
    fields: &mut TableReader<'_, '_>,
    field: &'static str,
    expected: &str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Arc<str>> {
    fields.require(field, expected, diagnostics);
    fields.text(field, diagnostics)
}

// Reports values that may be set only in the defaults or by an exception.
fn reject_values(
    fields: &mut TableReader<'_, '_>,
    kind: &str,
    value_fields: &'static [Field],
    diagnostics: &mut Diagnostics<'_>,
) {
    for field in value_fields {
        if !fields.has(field.name) {
            continue;
        }
        fields.value(field.name, diagnostics);
        let path = fields.path_of(field.name);
        let message = format!(
            "is set for all in [defaults.{kind}]; to deviate add [[exceptions]] with \
             change = \"{path}\", a value and a reason"
        );
        diagnostics.add(Finding::new(path, message));
    }
}
