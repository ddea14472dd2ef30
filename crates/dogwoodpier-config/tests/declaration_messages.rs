//! Checks that all problems of declarations are reported at once, each with its line, its field and
//! what is expected instead.

use dogwoodpier_config::Problem;
use dogwoodpier_config::keys;
use dogwoodpier_config::parse;
use dogwoodpier_config::resolve;

const EXAMPLE: &str = include_str!("../../../examples/declarations.toml");

fn problems(text: &str) -> Vec<Problem> {
    parse::parse("d.toml", text).map_or_else(|problems| problems.0, |_| Vec::new())
}

// Replaces a line of the example and asserts that a problem with the path and message is reported at
// the replacement.
#[track_caller]
fn assert_problem(line: &str, replacement: &str, path: &str, message_part: &str) {
    assert!(EXAMPLE.contains(line), "the example has no line {line:?}");
    let text = EXAMPLE.replacen(line, replacement, 1);
    let found = problems(&text);
    let first_line = 1 + EXAMPLE[..EXAMPLE.find(line).unwrap()].matches('\n').count();
    let lines = first_line..=first_line + replacement.matches('\n').count();
    assert!(
        found.iter().any(|problem| problem.path == path
            && problem.message.contains(message_part)
            && lines.contains(&problem.line)),
        "expected {path} with {message_part:?} at {lines:?}, found {found:#?}"
    );
}

#[test]
fn example_declarations_are_valid() {
    let declarations = parse::parse("d.toml", EXAMPLE).unwrap_or_else(|found| panic!("{found}"));
    let effective = resolve::resolve(&declarations, 7).unwrap();
    assert_eq!(effective.version, 7);
    assert_eq!(
        effective.workspaces["franchises"].rate_tokens_per_s.0,
        60_000
    );
    assert_eq!(effective.workspaces["sales"].rate_tokens_per_s.0, 20_000);
    let workspace = effective.workspace_of_key(&keys::hash_key("sales-key"));
    assert_eq!(workspace.map(|name| &**name), Some("sales"));
}

#[test]
fn all_field_errors_are_reported_at_once() {
    let text = EXAMPLE
        .replacen("slot_count = 32", "slot_count = 0", 1)
        .replacen("weight = 1", "weight = \"heavy\"", 1)
        .replacen("kind = \"decode\"", "kind = \"decoder\"", 1)
        .replacen("value = 60_000", "", 1);
    let paths: Vec<String> = problems(&text)
        .into_iter()
        .map(|found| found.path)
        .collect();
    assert_eq!(
        paths,
        [
            "defaults.workspaces.weight",
            "pools.quotes-decode.kind",
            "exceptions[0].value"
        ]
    );
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = EXAMPLE
        .replacen("slot_count = 32", "slot_count = 0", 1)
        .replacen("workspace = \"sales\"", "workspace = \"sails\"", 1)
        .replacen("value = 10", "value = 1000", 1);
    let paths: Vec<String> = problems(&text)
        .into_iter()
        .map(|found| found.path)
        .collect();
    assert_eq!(
        paths,
        [
            "fleet.slot_count",
            "keys.sales-2026.workspace",
            "exceptions[1].value"
        ]
    );
}

#[test]
fn plain_text_keys_are_rejected_and_not_repeated() {
    let hash = format!("sha256 = \"{}\"", keys::hash_key("sales-key"));
    let plain = "key = \"sales-key\"";
    assert_problem(
        &hash,
        plain,
        "keys.sales-2026.key",
        "dogwoodpierctl hash-key",
    );
    let as_hash = "sha256 = \"sales-key\"";
    assert_problem(
        &hash,
        as_hash,
        "keys.sales-2026.sha256",
        "dogwoodpierctl hash-key",
    );
    for replacement in [plain, as_hash] {
        let found = problems(&EXAMPLE.replacen(&hash, replacement, 1));
        assert!(
            found
                .iter()
                .all(|problem| !problem.to_string().contains("sales-key")),
            "a message repeats the key: {found:?}"
        );
    }
}

#[test]
fn invalid_references_are_reported() {
    assert_problem(
        "pool = \"order-service\"",
        "pool = \"quotes-decode\"",
        "routes.orders.pool",
        "must be of kind \"service\"",
    );
    assert_problem(
        "decode_pool = \"quotes-decode\"",
        "decode_pool = \"nowhere\"",
        "models.quotes.decode_pool",
        "no declared pool",
    );
    assert_problem(
        "allowed = [\"quotes\", \"stock\"]",
        "allowed = [\"quotas\"]",
        "workspaces.sales.allowed",
        "no declared model or route",
    );
    assert_problem(
        "path_prefix = \"/stock\"",
        "path_prefix = \"/catalogue\"",
        "routes.stock.path_prefix",
        "routes.catalogue takes GET",
    );
}

#[test]
fn inconsistent_limits_are_reported() {
    assert_problem(
        "burst_tokens = 80_000",
        "burst_tokens = 5",
        "defaults.workspaces.burst_tokens",
        "less than a call of routes.stock costs",
    );
    assert_problem(
        "rate_tokens_per_s = 20_000",
        "rate_tokens_per_s = 0",
        "defaults.workspaces.rate_tokens_per_s",
        "must be a whole number from 1",
    );
}

#[test]
fn invalid_exceptions_are_reported() {
    let reason = "reason = \"Season files of all stores arrive in the same two weeks.\"";
    assert_problem(
        reason,
        "reason = \"  \"",
        "exceptions[0].reason",
        "is empty",
    );
    assert_problem(
        "change = \"workspaces.franchises.rate_tokens_per_s\"",
        "change = \"workspaces.franchises.rate\"",
        "exceptions[0].change",
        "may change rate_tokens_per_s, burst_tokens",
    );
    assert_problem(
        "allowed = [\"quotes\", \"stock\"]",
        "weight = 3",
        "workspaces.sales.weight",
        "add [[exceptions]] with change = \"workspaces.sales.weight\"",
    );
}

#[test]
fn unknown_fields_and_syntax_errors_are_reported() {
    assert_problem(
        "open = true",
        "opened = true",
        "routes.catalogue.opened",
        "unknown field; known here: path_prefix",
    );
    assert_problem("open = true", "open = yes", "", "not valid TOML");
}

#[test]
fn routes_match_whole_segments() {
    let declarations = parse::parse("d.toml", EXAMPLE).unwrap();
    let effective = resolve::resolve(&declarations, 1).unwrap();
    let name = |method: &str, path: &str| effective.route(method, path).map(|r| r.name.to_string());
    assert_eq!(
        name("GET", "/catalogue/posts").as_deref(),
        Some("catalogue")
    );
    assert_eq!(name("GET", "/catalogues"), None);
    assert_eq!(name("GET", "/catalogue/../stock"), None);
    assert_eq!(name("GET", "/catalogue/%2E%2e/stock"), None);
    assert_eq!(name("GET", "/catalogue/..%5Cstock"), None);
    assert_eq!(name("POST", "/stock"), None);
}
