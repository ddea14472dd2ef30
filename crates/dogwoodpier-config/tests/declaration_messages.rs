//! Wrong declarations are reported all at once, by line and field, with what would be right.

use dogwoodpier_config::Problem;
use dogwoodpier_config::keys;
use dogwoodpier_config::parse;
use dogwoodpier_config::resolve;

const EXAMPLE: &str = include_str!("../../../examples/declarations.toml");

fn problems(text: &str) -> Vec<Problem> {
    parse::parse("d.toml", text).map_or_else(|problems| problems.0, |_| Vec::new())
}

// Replaces a line of the example, and asserts that the problem is found at the replaced line.
#[track_caller]
fn assert_found(line: &str, replaced_by: &str, path: &str, message_part: &str) {
    assert!(EXAMPLE.contains(line), "the example has no line {line:?}");
    let text = EXAMPLE.replacen(line, replaced_by, 1);
    let found = problems(&text);
    let first_line = 1 + EXAMPLE[..EXAMPLE.find(line).unwrap()].matches('\n').count();
    let lines = first_line..=first_line + replaced_by.matches('\n').count();
    assert!(
        found.iter().any(|problem| problem.path == path
            && problem.message.contains(message_part)
            && lines.contains(&problem.line)),
        "expected {path} with {message_part:?} at {lines:?}, found {found:#?}"
    );
}

#[test]
fn example_is_valid() {
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
fn all_problems_at_once() {
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
fn several_findings_of_meaning() {
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
fn plain_text_key() {
    let hash = format!("sha256 = \"{}\"", keys::hash_key("sales-key"));
    let plain = "key = \"sales-key\"";
    assert_found(
        &hash,
        plain,
        "keys.sales-2026.key",
        "dogwoodpierctl hash-key",
    );
    let as_hash = "sha256 = \"sales-key\"";
    assert_found(
        &hash,
        as_hash,
        "keys.sales-2026.sha256",
        "dogwoodpierctl hash-key",
    );
    for replaced_by in [plain, as_hash] {
        let found = problems(&EXAMPLE.replacen(&hash, replaced_by, 1));
        assert!(
            found
                .iter()
                .all(|problem| !problem.to_string().contains("sales-key")),
            "a message repeats the key: {found:?}"
        );
    }
}

#[test]
fn references() {
    assert_found(
        "pool = \"order-service\"",
        "pool = \"quotes-decode\"",
        "routes.orders.pool",
        "must be of kind \"service\"",
    );
    assert_found(
        "decode_pool = \"quotes-decode\"",
        "decode_pool = \"nowhere\"",
        "models.quotes.decode_pool",
        "no declared pool",
    );
    assert_found(
        "allowed = [\"quotes\", \"stock\"]",
        "allowed = [\"quotas\"]",
        "workspaces.sales.allowed",
        "no declared model or route",
    );
    assert_found(
        "path_prefix = \"/stock\"",
        "path_prefix = \"/catalogue\"",
        "routes.stock.path_prefix",
        "routes.catalogue takes GET",
    );
}

#[test]
fn limits_make_sense() {
    assert_found(
        "burst_tokens = 80_000",
        "burst_tokens = 5",
        "defaults.workspaces.burst_tokens",
        "less than a call of routes.stock costs",
    );
    assert_found(
        "rate_tokens_per_s = 20_000",
        "rate_tokens_per_s = 0",
        "defaults.workspaces.rate_tokens_per_s",
        "must be a whole number from 1",
    );
}

#[test]
fn exceptions_need_reasons() {
    let reason = "reason = \"Season files of all stores arrive in the same two weeks.\"";
    assert_found(
        reason,
        "reason = \"  \"",
        "exceptions[0].reason",
        "is empty",
    );
    assert_found(
        "change = \"workspaces.franchises.rate_tokens_per_s\"",
        "change = \"workspaces.franchises.rate\"",
        "exceptions[0].change",
        "may change rate_tokens_per_s, burst_tokens",
    );
    assert_found(
        "allowed = [\"quotes\", \"stock\"]",
        "weight = 3",
        "workspaces.sales.weight",
        "add [[exceptions]] with change = \"workspaces.sales.weight\"",
    );
}

#[test]
fn unknown_fields_and_syntax() {
    assert_found(
        "open = true",
        "opened = true",
        "routes.catalogue.opened",
        "unknown field; known here: path_prefix",
    );
    assert_found("open = true", "open = yes", "", "not valid TOML");
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
