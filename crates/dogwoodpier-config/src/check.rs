//! Checks that declarations are consistent: references, bounds, and limits that fit each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::declarations::Declarations;
use crate::declarations::Exception;
use crate::declarations::Field;
use crate::declarations::PoolValues;
use crate::declarations::RouteEntry;
use crate::declarations::RouteValues;
use crate::declarations::WorkspaceValues;
use crate::effective::PoolKind;
use crate::keys;
use crate::problem::Finding;

const MAX_SLOTS: u32 = 4_096;
const MAX_NAME_LENGTH: usize = 63;
const EXCEPTION_PATH_PARTS: usize = 3;

// Prefix of the paths that nodes serve themselves.
const MODEL_API_PREFIX: &str = "/v1/";
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Returns all problems, in order of sections.
pub fn validate(declarations: &Declarations) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_fleet(declarations, &mut findings);
    check_names(declarations, &mut findings);
    check_workspaces(declarations, &mut findings);
    check_keys(declarations, &mut findings);
    check_models(declarations, &mut findings);
    check_routes(declarations, &mut findings);
    check_exceptions(declarations, &mut findings);
    if findings.is_empty() {
        // Limits can be compared only if all names, references and bounds are valid.
        check_limits(declarations, &mut findings);
    }
    findings
}

/// Returns a message that states the bounds of a field.
pub fn bounds_message(field: &Field) -> String {
    format!("must be a whole number from {} to {}", field.min, field.max)
}

/// Returns whether a value is within the bounds of a field.
pub fn is_within_bounds(field: &Field, value: i64) -> bool {
    (field.min..=field.max).contains(&value)
}

// Values that replace defaults, as pairs of field and value, by the name of the entry.
type OverridesByName<'d> = BTreeMap<&'d str, Vec<(&'d str, i64)>>;

/// The exceptions of declarations, indexed by the entry that they change.
pub struct Exceptions<'d> {
    declarations: &'d Declarations,
    by_kind: BTreeMap<&'d str, OverridesByName<'d>>,
}

impl<'d> Exceptions<'d> {
    /// Indexes the exceptions of declarations.
    pub fn new(declarations: &'d Declarations) -> Self {
        let mut by_kind: BTreeMap<&str, OverridesByName<'_>> = BTreeMap::new();
        for exception in &declarations.exceptions {
            if let Some(target) = parse_target(exception) {
                by_kind
                    .entry(target.kind)
                    .or_default()
                    .entry(target.name)
                    .or_default()
                    .push((target.field, exception.value));
            }
        }
        Self {
            declarations,
            by_kind,
        }
    }

    /// Returns the values of a workspace: the defaults with its exceptions applied.
    pub fn workspace_values(&self, name: &str) -> WorkspaceValues {
        let mut values = self.declarations.defaults.workspaces.clone();
        for (field, value) in self.overrides("workspaces", name) {
            values.set(field, *value);
        }
        values
    }

    /// Returns the values of a pool: the defaults with its exceptions applied.
    pub fn pool_values(&self, name: &str) -> PoolValues {
        let mut values = self.declarations.defaults.pools.clone();
        for (field, value) in self.overrides("pools", name) {
            values.set(field, *value);
        }
        values
    }

    /// Returns the values of a route: the defaults with its exceptions applied.
    pub fn route_values(&self, name: &str) -> RouteValues {
        let mut values = self.declarations.defaults.routes.clone();
        for (field, value) in self.overrides("routes", name) {
            values.set(field, *value);
        }
        values
    }

    fn overrides(&self, kind: &str, name: &str) -> &[(&'d str, i64)] {
        self.by_kind
            .get(kind)
            .and_then(|by_name| by_name.get(name))
            .map_or(&[], Vec::as_slice)
    }
}

// The field that an exception's `change` names.
struct Target<'e> {
    kind: &'e str,
    name: &'e str,
    field: &'e str,
}

fn parse_target(exception: &Exception) -> Option<Target<'_>> {
    let mut parts = exception.change.splitn(EXCEPTION_PATH_PARTS, '.');
    Some(Target {
        kind: parts.next()?,
        name: parts.next()?,
        field: parts.next()?,
    })
}

fn check_fleet(declarations: &Declarations, findings: &mut Vec<Finding>) {
    let count = declarations.fleet.slot_count;
    if count == 0 || count > MAX_SLOTS {
        let message = format!("must be a whole number from 1 to {MAX_SLOTS}");
        findings.push(Finding::new("fleet.slot_count", message));
    }
}

fn check_names(declarations: &Declarations, findings: &mut Vec<Finding>) {
    let mut check = |kind: &str, name: &str| {
        let valid = !name.is_empty()
            && name.len() <= MAX_NAME_LENGTH
            && !name.starts_with('-')
            && name
                .bytes()
                .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-'));
        if !valid {
            let message =
                format!("a name is 1 to {MAX_NAME_LENGTH} lower-case letters, digits and hyphens");
            findings.push(Finding::new(format!("{kind}.{name}"), message));
        }
    };
    for name in declarations.workspaces.keys() {
        check("workspaces", name);
    }
    for name in declarations.keys.keys() {
        check("keys", name);
    }
    for name in declarations.pools.keys() {
        check("pools", name);
    }
    for name in declarations.routes.keys() {
        check("routes", name);
    }
    for name in declarations.models.keys() {
        if declarations.routes.contains_key(name) {
            let message = "a route has the same name, so `allowed` couldn't tell them apart: \
                           rename one";
            findings.push(Finding::new(format!("models.{name}"), message));
        }
    }
}

fn check_workspaces(declarations: &Declarations, findings: &mut Vec<Finding>) {
    for (name, workspace) in &declarations.workspaces {
        for allowed in &workspace.allowed {
            let exists = declarations.models.contains_key(allowed)
                || declarations.routes.contains_key(allowed);
            if !exists {
                let message = format!("{allowed:?} is no declared model or route");
                findings.push(Finding::new(format!("workspaces.{name}.allowed"), message));
            }
        }
    }
}

fn check_keys(declarations: &Declarations, findings: &mut Vec<Finding>) {
    let mut names: BTreeMap<&Arc<str>, &Arc<str>> = BTreeMap::new();
    for (name, key) in &declarations.keys {
        let path = format!("keys.{name}");
        if !declarations.workspaces.contains_key(&key.workspace) {
            let message = format!("{:?} is no declared workspace", key.workspace);
            findings.push(Finding::new(format!("{path}.workspace"), message));
        }
        if !keys::is_key_hash(&key.sha256) {
            // The value may be a key in plain text, so the message doesn't repeat it.
            let message = format!(
                "is no SHA-256 hash in lower-case hex: {}",
                keys::HASH_KEY_HELP
            );
            findings.push(Finding::new(format!("{path}.sha256"), message));
        } else if let Some(other) = names.insert(&key.sha256, name) {
            let message = format!("is the same key as keys.{other}: keep one of them");
            findings.push(Finding::new(format!("{path}.sha256"), message));
        }
    }
}

fn check_models(declarations: &Declarations, findings: &mut Vec<Finding>) {
    for (name, model) in &declarations.models {
        let path = format!("models.{name}.prefill_pool");
        check_pool(
            declarations,
            path,
            &model.prefill_pool,
            PoolKind::Prefill,
            findings,
        );
        let path = format!("models.{name}.decode_pool");
        check_pool(
            declarations,
            path,
            &model.decode_pool,
            PoolKind::Decode,
            findings,
        );
    }
}

fn check_pool(
    declarations: &Declarations,
    path: String,
    pool: &str,
    kind: PoolKind,
    findings: &mut Vec<Finding>,
) {
    match declarations.pools.get(pool) {
        None => findings.push(Finding::new(path, format!("{pool:?} is no declared pool"))),
        Some(entry) if entry.kind != kind => {
            let expected = format!("{kind:?}").to_lowercase();
            let message = format!("pool {pool:?} must be of kind \"{expected}\"");
            findings.push(Finding::new(path, message));
        }
        Some(_) => {}
    }
}

fn check_routes(declarations: &Declarations, findings: &mut Vec<Finding>) {
    let mut taken: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for (name, route) in &declarations.routes {
        let path = format!("routes.{name}");
        check_pool(
            declarations,
            format!("{path}.pool"),
            &route.pool,
            PoolKind::Service,
            findings,
        );
        check_prefix(&path, route, findings);
        for method in &route.methods {
            if !METHODS.contains(&method.as_ref()) {
                let message = format!("{method:?} is not one of {}", METHODS.join(", "));
                findings.push(Finding::new(format!("{path}.methods"), message));
            }
        }
        let methods: BTreeSet<&str> = if route.methods.is_empty() {
            METHODS.into_iter().collect()
        } else {
            route.methods.iter().map(|method| &**method).collect()
        };
        for method in methods {
            if let Some(other) = taken.insert((&route.path_prefix, method), name) {
                let message = format!("routes.{other} takes {method} of the same path_prefix too");
                findings.push(Finding::new(format!("{path}.path_prefix"), message));
                break;
            }
        }
    }
}

fn check_prefix(path: &str, route: &RouteEntry, findings: &mut Vec<Finding>) {
    let prefix = &*route.path_prefix;
    let field = format!("{path}.path_prefix");
    if !prefix.starts_with('/') || prefix.contains(['?', '#', '%', ' ']) || prefix.contains("//") {
        let message = "must start with a slash and hold only plain path segments, \
                       for example \"/orders\"";
        findings.push(Finding::new(field, message));
    } else if prefix
        .split('/')
        .any(|segment| matches!(segment, "." | ".."))
    {
        findings.push(Finding::new(
            field,
            "must not hold the segments \".\" and \"..\"",
        ));
    } else if format!("{prefix}/").starts_with(MODEL_API_PREFIX) {
        let message = format!("paths under {MODEL_API_PREFIX} belong to the model API");
        findings.push(Finding::new(field, message));
    }
}

fn check_exceptions(declarations: &Declarations, findings: &mut Vec<Finding>) {
    let mut seen: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for (index, exception) in declarations.exceptions.iter().enumerate() {
        let path = format!("exceptions[{index}]");
        if exception.reason.trim().is_empty() {
            let message = "is empty: say in a sentence why this deviates from the default";
            findings.push(Finding::new(format!("{path}.reason"), message));
        }
        if let Some(first) = seen.insert(&exception.change, index) {
            let message = format!("exceptions[{first}] changes the same field: keep one of them");
            findings.push(Finding::new(format!("{path}.change"), message));
        }
        check_target(declarations, &path, exception, findings);
    }
}

fn check_target(
    declarations: &Declarations,
    path: &str,
    exception: &Exception,
    findings: &mut Vec<Finding>,
) {
    let change = &exception.change;
    let Some(target) = parse_target(exception) else {
        let message = format!("{change:?} must have the form \"workspaces.NAME.FIELD\"");
        return findings.push(Finding::new(format!("{path}.change"), message));
    };
    let (exists, fields) = match target.kind {
        "workspaces" => (
            declarations.workspaces.contains_key(target.name),
            WorkspaceValues::FIELDS,
        ),
        "pools" => (
            declarations.pools.contains_key(target.name),
            PoolValues::FIELDS,
        ),
        "routes" => (
            declarations.routes.contains_key(target.name),
            RouteValues::FIELDS,
        ),
        _ => {
            let message = format!("{change:?} must start with workspaces, pools or routes");
            return findings.push(Finding::new(format!("{path}.change"), message));
        }
    };
    if !exists {
        let message = format!("{}.{} is not declared", target.kind, target.name);
        findings.push(Finding::new(format!("{path}.change"), message));
    }
    match fields.iter().find(|field| field.name == target.field) {
        None => {
            let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
            let message = format!(
                "{:?} can't be changed; an exception in {} may change {}",
                target.field,
                target.kind,
                names.join(", ")
            );
            findings.push(Finding::new(format!("{path}.change"), message));
        }
        Some(field) if !is_within_bounds(field, exception.value) => {
            let message = format!("{}, not {}", bounds_message(field), exception.value);
            findings.push(Finding::new(format!("{path}.value"), message));
        }
        Some(_) => {}
    }
}

fn check_limits(declarations: &Declarations, findings: &mut Vec<Finding>) {
    let exceptions = Exceptions::new(declarations);
    let costs: BTreeMap<&Arc<str>, u64> = declarations
        .routes
        .iter()
        .filter(|(_, route)| !route.open)
        .map(|(name, _)| (name, exceptions.route_values(name).cost_tokens))
        .collect();
    for (name, workspace) in &declarations.workspaces {
        let values = exceptions.workspace_values(name);
        if values.request_timeout_ms < values.first_token_target_ms {
            let message = format!(
                "{} is less than first_token_target_ms {} of workspaces.{name}",
                values.request_timeout_ms, values.first_token_target_ms
            );
            let path = path_of_value(declarations, name, "request_timeout_ms");
            findings.push(Finding::new(path, message));
        }
        for (route_name, cost_tokens) in &costs {
            let usable = workspace.allowed.is_empty() || workspace.allowed.contains(*route_name);
            if usable && *cost_tokens > values.burst_tokens {
                let message = format!(
                    "{} is less than a call of routes.{route_name} costs ({cost_tokens}), so each \
                     from workspaces.{name} would be refused: raise it, lower the cost, or leave \
                     the route out of `allowed`",
                    values.burst_tokens
                );
                let path = path_of_value(declarations, name, "burst_tokens");
                findings.push(Finding::new(path, message));
            }
        }
    }
}

// Returns the path of the field that sets a workspace's value: its exception, or the default if there
// is none.
fn path_of_value(declarations: &Declarations, name: &str, field: &str) -> String {
    let change = format!("workspaces.{name}.{field}");
    declarations
        .exceptions
        .iter()
        .position(|exception| *exception.change == *change)
        .map_or_else(
            || format!("defaults.workspaces.{field}"),
            |index| format!("exceptions[{index}].value"),
        )
}
